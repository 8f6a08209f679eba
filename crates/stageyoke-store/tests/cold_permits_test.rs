//! Which store owns the permits of a cold replica, and the exchange with it.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use rstest::rstest;
use stageyoke_directory::{Member, MemberState, Members, StoreGroups};
use stageyoke_policy::cold_start::PermitDecision;
use stageyoke_store::StoreClient;
use stageyoke_store::cold_permits::{self, owner};
use stageyoke_store::extension::{ExtensionFields, Permit, PermitRequest};
use stageyoke_store::frame;
use stageyoke_store::message::{Numbered, Reply, Request};
use stageyoke_types::{List, Text};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const REPLICAS: u64 = 2_000;
const REQUEST: PermitRequest = PermitRequest {
    replica: 5,
    permits: 26,
};

fn member(number: usize) -> Member {
    Member {
        node: Text::from(format!("store-{number}")),
        address: Text::from(format!("10.0.0.{number}:1")),
        zone: Text::from("zone"),
        state: MemberState::Active,
        disk: 1,
    }
}

fn groups(stores: &[usize]) -> StoreGroups {
    let lists = stores.chunks(5).map(|chunk| Members {
        version: 1,
        list: chunk.iter().map(|number| member(*number)).collect(),
        before: List::default(),
    });
    StoreGroups {
        version: 1,
        groups: lists.collect(),
    }
}

fn owner_of(stores: &StoreGroups, replica: u64) -> Text {
    owner(stores, replica).expect("an owner").node.clone()
}

/// What a store is asked must not grow with the number of replicas and stores together.
#[rstest]
#[case::few(10)]
#[case::many(120)]
fn replicas_are_spread_evenly_over_the_stores(#[case] stores: usize) {
    let numbers: Vec<usize> = (0..stores).collect();
    let groups = groups(&numbers);
    let mut counts: BTreeMap<Text, u64> = BTreeMap::new();
    for replica in 0..REPLICAS {
        *counts.entry(owner_of(&groups, replica << 7)).or_default() += 1;
    }
    let even = REPLICAS as f64 / stores as f64;
    let most = counts.values().max().copied().unwrap_or_default() as f64;
    assert!(most < even * 2.5 + 5.0, "{most} of {even}");
}

#[test]
fn a_lost_store_changes_the_owner_of_its_own_replicas_only() {
    let before = groups(&(0..20).collect::<Vec<_>>());
    let after = groups(&(0..20).filter(|number| *number != 7).collect::<Vec<_>>());
    for replica in 0..REPLICAS {
        let old_owner = owner_of(&before, replica);
        if old_owner.as_str() != "store-7" {
            assert_eq!(owner_of(&after, replica), old_owner);
        }
    }
}

/// A store that sends its version with its first reply and grants a permit if asked.
async fn start_store(asked: Rc<Cell<u32>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    tokio::task::spawn_local(async move {
        let (stream, _) = listener.accept().await.expect("connection");
        let (mut reader, mut writer) = stream.into_split();
        while let Ok(received) = frame::read_with_fields::<Request>(&mut reader).await {
            let request = received.extension_fields.permit_request;
            asked.set(asked.get() + u32::from(request == Some(REQUEST)));
            let fields = ExtensionFields {
                permit: request.map(|_| Permit::new(PermitDecision::Granted)),
                ..ExtensionFields::greeting()
            };
            let pong = Numbered {
                number: received.message.number,
                content: Reply::Pong,
            };
            let bytes = frame::encode_with_fields(&pong, &fields);
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    address
}

#[tokio::test]
async fn a_permit_is_granted_over_a_new_connection_too() {
    let test = async {
        let asked: Rc<Cell<u32>> = Rc::default();
        let address = start_store(asked.clone()).await;
        let client = Rc::new(StoreClient::new(&address));
        for count in 1..=2 {
            let decision = cold_permits::request(Some(client.clone()), REQUEST).await;
            assert_eq!(decision, PermitDecision::Granted);
            assert_eq!(asked.get(), count);
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn an_owner_that_cannot_be_asked_grants_nothing() {
    let test = async {
        let unreachable = Rc::new(StoreClient::new("127.0.0.1:1"));
        for owner in [None, Some(unreachable)] {
            let decision = cold_permits::request(owner, REQUEST).await;
            assert!(matches!(decision, PermitDecision::Denied(_)));
        }
    };
    LocalSet::new().run_until(test).await;
}
