//! A turn that was answered whole can be continued for its retention, whatever happens to the
//! records of the turns before it.

#[allow(dead_code)]
#[path = "support/streams.rs"]
mod streams;
mod support;

use stageyoke_directory::{GroupNumber, StoreGroups};
use stageyoke_store::keys::TurnKey;
use streams::{
    LONG_TURNS, Replica, SHORT_RETENTION_SECONDS, SHORT_TURNS, STREAM, System, input_of,
};
use tokio::task::LocalSet;

/// Time in seconds after which the turns of `SHORT_TURNS` need not be retained.
const EXPIRY_SECONDS: u64 = SHORT_RETENTION_SECONDS + 30;
/// Data of the events of `STREAM`, as they are stored.
const OUTPUT: &str = "a\n";

async fn run_local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

/// Returns the name of a program whose records are stored in this group.
fn program_of(groups: &StoreGroups, group: u32) -> String {
    let mut names = (0..).map(|number| format!("program-{number}"));
    let is_stored_there = |name: &String| {
        let TurnKey(hash) = TurnKey::of(name);
        groups.group_of_hash(hash) == Some(GroupNumber(group))
    };
    names.find(is_stored_there).expect("a program")
}

fn assert_served(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Returns the body of a turn that goes on from these turns.
fn body_of_chain(turns: &[&str]) -> String {
    let inputs: Vec<String> = turns.iter().map(|turn| input_of(turn)).collect();
    inputs.join(OUTPUT)
}

/// Guards against a turn that goes on from another program's and is lost once that one's group
/// drops its own turns, since only the own group hears of the continuation.
#[tokio::test]
async fn a_turn_is_kept_with_its_chain_when_other_groups_drop_theirs() {
    run_local(async {
        let replica = Replica::start(STREAM, STREAM).await;
        let system = System::start(9, 1, vec![("v1", replica)]).await;
        let groups = system.form_groups(3);
        let front = system.start_front().await;
        let programs: Vec<String> = (0..3).map(|group| program_of(&groups, group)).collect();
        let turns = ["first", "second", "third"];
        for (number, turn) in turns.iter().enumerate() {
            let path = match number {
                2 => LONG_TURNS,
                _ => SHORT_TURNS,
            };
            let previous = number.checked_sub(1).map_or("", |before| turns[before]);
            let answer = front.send_turn(path, turn, &programs[number], previous);
            assert_served(&answer.await);
        }
        // Segments expire once there are newer ones.
        for (number, program) in programs.iter().enumerate() {
            let id = format!("newer-{number}");
            assert_served(&front.send_turn(LONG_TURNS, &id, program, "").await);
        }
        system.expire_in(EXPIRY_SECONDS).await;
        let other_front = system.start_front().await;
        let answer = other_front.send_turn(LONG_TURNS, "fourth", &programs[2], "third");
        assert_served(&answer.await);
        let body = body_of_chain(&["first", "second", "third", "fourth"]);
        assert_eq!(system.body_of("fourth"), Some(body));
    })
    .await;
}
