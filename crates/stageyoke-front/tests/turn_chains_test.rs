//! A turn that was answered whole can be continued for its retention, whatever happens to the
//! records of the turns before it.

#[allow(dead_code)]
#[path = "support/streams.rs"]
mod streams;
mod support;

use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{GroupNumber, StoreGroups};
use stageyoke_store::keys::TurnKey;
use streams::{
    LONG_TURNS, Replica, SHORT_RETENTION_SECONDS, SHORT_TURNS, STREAM, System, TURN_TIMEOUT,
    input_of,
};
use tokio::task::LocalSet;

/// Time in seconds after which the turns of `SHORT_TURNS` need not be retained.
const EXPIRY_SECONDS: u64 = SHORT_RETENTION_SECONDS + TURN_TIMEOUT.as_secs() + 30;
/// Time for which a replica runs each turn.
const SERVICE_TIME: Duration = Duration::from_millis(300);
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

/// Guards against a turn that is answered whole although the turns before it expired while it ran.
#[tokio::test]
async fn a_turn_is_kept_with_a_chain_that_expires_while_it_runs() {
    run_local(async {
        let replica = Replica::start_slow(STREAM, SERVICE_TIME).await;
        let system = System::start(3, 1, vec![("v1", replica)]).await;
        system.form_group();
        let front = Rc::new(system.start_front().await);
        let first = front.send_turn(SHORT_TURNS, "first", "program", "");
        assert_served(&first.await);
        // Segments expire once there are newer ones.
        assert_served(&front.send_turn(LONG_TURNS, "newer", "other", "").await);
        let running = {
            let front = front.clone();
            tokio::task::spawn_local(async move {
                let turn = front.send_turn(LONG_TURNS, "second", "program", "first");
                turn.await
            })
        };
        while system.body_of("second").is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        system.expire_in(EXPIRY_SECONDS).await;
        assert!(!running.is_finished(), "the turn was to run meanwhile");
        assert_served(&running.await.expect("an answer"));
        let other_front = system.start_front().await;
        let third = other_front.send_turn(LONG_TURNS, "third", "program", "second");
        assert_served(&third.await);
        let body = body_of_chain(&["first", "second", "third"]);
        assert_eq!(system.body_of("third"), Some(body));
    })
    .await;
}

/// Guards against a turn that expires too early because its caller got the end of the answer late.
#[tokio::test]
async fn a_turn_is_retained_from_the_latest_end_of_its_answer() {
    run_local(async {
        let replica = Replica::start(STREAM, STREAM).await;
        let system = System::start(3, 1, vec![("v1", replica)]).await;
        system.form_group();
        let front = system.start_front().await;
        let first = front.send_turn(SHORT_TURNS, "first", "program", "");
        assert_served(&first.await);
        // Segments expire once there are newer ones.
        assert_served(&front.send_turn(LONG_TURNS, "newer", "other", "").await);
        let latest_end_seconds = TURN_TIMEOUT.as_secs() - 2;
        system
            .expire_in(latest_end_seconds + SHORT_RETENTION_SECONDS)
            .await;
        let other_front = system.start_front().await;
        let second = other_front.send_turn(LONG_TURNS, "second", "program", "first");
        assert_served(&second.await);
    })
    .await;
}
