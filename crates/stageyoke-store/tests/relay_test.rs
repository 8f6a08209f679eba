//! Which stores a front asks for the directory.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{
    DirectoryRelay, Member, MemberState, Members, RelayRequirements, StoreGroups, Tolerance,
};
use stageyoke_store::GroupClients;
use stageyoke_store::directory_relay::StoreRelay;
use stageyoke_store::frame;
use stageyoke_store::message::{CopyFreshness, Numbered, Reply, Request};
use stageyoke_types::{List, Text};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const ACCEPTABLE: RelayRequirements = RelayRequirements {
    answer_timeout: Duration::from_secs(2),
    max_age: Duration::from_secs(1),
};
const OLD: u32 = 5_000;
const YOUNG: u32 = 100;

/// A store whose copy of the directory is so many milliseconds old; it names these
/// other stores, and counts the questions for the directory.
async fn tell_among(
    listener: TcpListener,
    age_milliseconds: u32,
    named: Vec<Text>,
    asked_for: Rc<Cell<usize>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (mut reader, mut writer) = stream.into_split();
        let (named, asked_for) = (named.clone(), asked_for.clone());
        tokio::task::spawn_local(async move {
            while let Ok(asked) = frame::read::<Numbered<Request>>(&mut reader).await {
                let mark = CopyFreshness {
                    revision: u64::from(age_milliseconds),
                    age_milliseconds,
                    lapsed_entry_grace_milliseconds: 0,
                };
                let content = match asked.content {
                    Request::Stores => Reply::Stores(List(named.clone())),
                    Request::Directory => {
                        asked_for.set(asked_for.get() + 1);
                        Reply::Directory {
                            items: List::default(),
                            mark,
                        }
                    }
                    _ => Reply::Changes {
                        known: true,
                        changes: List::default(),
                        mark,
                    },
                };
                let number = asked.number;
                let bytes = frame::encode(&Numbered { number, content });
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn tell(listener: TcpListener, age_milliseconds: u32) {
    tell_among(listener, age_milliseconds, Vec::new(), Rc::default()).await;
}

async fn relay(ages: &[(&str, u32)]) -> StoreRelay {
    let mut members = Members::default();
    for (number, (zone, age)) in ages.iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        members = members.with_member(Member {
            node: Text::from(format!("store-{number}")),
            address: Text::from(address.to_string()),
            zone: Text::from(*zone),
            state: MemberState::Active,
            disk: 0,
        });
        tokio::task::spawn_local(tell(listener, *age));
    }
    let groups = GroupClients::new(Text::from("near"), Tolerance::of_machines(1));
    groups.update_stores(&Rc::new(StoreGroups::single(members)));
    StoreRelay::new(Rc::new(groups), Vec::new())
}

/// The service turns some stores away and serves the others: what the first knows
/// gets old, and a front that went on asking them would never hear of a key that
/// was taken away.
#[tokio::test]
async fn a_store_with_an_old_copy_is_passed_over() {
    let test = async {
        let relay = relay(&[("near", OLD), ("far", YOUNG)]).await;
        for _ in 0..20 {
            let told = relay
                .fetch_changes(0, ACCEPTABLE)
                .await
                .expect("a young copy");
            assert_eq!(told.payload.revision, u64::from(YOUNG));
        }
    };
    LocalSet::new().run_until(test).await;
}

/// All stores of the front's own zone are turned away.
#[tokio::test]
async fn other_zones_are_asked_where_the_own_one_knows_nothing_young() {
    let test = async {
        let relay = relay(&[
            ("near", OLD),
            ("near", OLD),
            ("near", OLD),
            ("far", YOUNG),
            ("far", YOUNG),
        ])
        .await;
        let mut answered = 0;
        for _ in 0..20 {
            let told = relay.fetch_changes(0, ACCEPTABLE).await;
            let young = told.is_some_and(|told| told.payload.revision == u64::from(YOUNG));
            answered += usize::from(young);
        }
        assert!(answered >= 15, "{answered} of 20 questions");
        assert!(
            relay.fetch_changes(0, ACCEPTABLE).await.is_some(),
            "the last that knew is kept"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Many fronts start before the groups are formed, and their settings name one store:
/// it names the others, and these tell the directory as well.
#[tokio::test]
async fn the_stores_of_the_settings_do_not_tell_everybody_everything() {
    let test = async {
        let mut listeners = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..8 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let address = listener.local_addr().expect("address").to_string();
            addresses.push(Text::from(address));
            listeners.push(listener);
        }
        let counts: Vec<Rc<Cell<usize>>> = (0..8).map(|_| Rc::default()).collect();
        for (listener, count) in listeners.into_iter().zip(&counts) {
            let telling = tell_among(listener, YOUNG, addresses.clone(), count.clone());
            tokio::task::spawn_local(telling);
        }
        let seed = addresses[0].to_string();
        for _ in 0..60 {
            let groups = GroupClients::new(Text::from("near"), Tolerance::of_machines(1));
            let relay = StoreRelay::new(Rc::new(groups), vec![seed.clone()]);
            let told = relay.fetch_items(ACCEPTABLE).await;
            assert!(told.is_some());
        }
        let counts: Vec<usize> = counts.iter().map(|count| count.get()).collect();
        assert_eq!(counts.iter().sum::<usize>(), 60);
        assert!(counts[0] <= 25, "{counts:?}");
    };
    LocalSet::new().run_until(test).await;
}
