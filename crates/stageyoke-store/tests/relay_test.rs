//! Which stores a front asks for the directory.

use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{
    Acceptable, DirectoryRelay, Member, MemberState, Members, StoreGroups, Tolerance,
};
use stageyoke_store::Groups;
use stageyoke_store::frame;
use stageyoke_store::message::{CopyMark, Numbered, Reply, Request};
use stageyoke_store::relay::StoreRelay;
use stageyoke_types::{List, Text};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const ACCEPTABLE: Acceptable = Acceptable {
    within: Duration::from_secs(2),
    oldest: Duration::from_secs(1),
};
const OLD: u32 = 5_000;
const YOUNG: u32 = 100;

/// A store whose copy of the directory is so many milliseconds old.
async fn tell(listener: TcpListener, age_milliseconds: u32) {
    while let Ok((stream, _)) = listener.accept().await {
        let (mut reader, mut writer) = stream.into_split();
        tokio::task::spawn_local(async move {
            while let Ok(asked) = frame::read::<Numbered<Request>>(&mut reader).await {
                let content = Reply::Changes {
                    known: true,
                    changes: List::default(),
                    mark: CopyMark {
                        revision: u64::from(age_milliseconds),
                        age_milliseconds,
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

async fn relay(ages: &[(&str, u32)]) -> StoreRelay {
    let mut members = Members::default();
    for (number, (zone, age)) in ages.iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        members = members.with(Member {
            node: Text::from(format!("store-{number}")),
            address: Text::from(address.to_string()),
            zone: Text::from(*zone),
            state: MemberState::Active,
        });
        tokio::task::spawn_local(tell(listener, *age));
    }
    let groups = Groups::new(Text::from("near"), Tolerance::of_machines(1));
    groups.follow(&Rc::new(StoreGroups::single(members)));
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
            let told = relay.changes(0, ACCEPTABLE).await.expect("a young copy");
            assert_eq!(told.told.revision, u64::from(YOUNG));
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
            let told = relay.changes(0, ACCEPTABLE).await;
            let young = told.is_some_and(|told| told.told.revision == u64::from(YOUNG));
            answered += usize::from(young);
        }
        assert!(answered >= 15, "{answered} of 20 questions");
        assert!(
            relay.changes(0, ACCEPTABLE).await.is_some(),
            "the last that knew is kept"
        );
    };
    LocalSet::new().run_until(test).await;
}
