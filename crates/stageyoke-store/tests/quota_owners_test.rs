//! Quota owners: which stores count for a tenant, and which one decides when an owner does not
//! answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stageyoke_directory::{Member, MemberState, Members, StoreGroups, Tolerance};
use stageyoke_policy::quota::{AcquireRequest, QuotaDecision, QuotaLedger};
use stageyoke_policy::token_bucket::RateLimit;
use stageyoke_store::GroupClients;
use stageyoke_store::frame;
use stageyoke_store::message::{Numbered, QuotaReply, Reply, Request};
use stageyoke_store::quota_owners::QuotaOwners;
use stageyoke_types::Text;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

const QUOTA_REQUEST: AcquireRequest = AcquireRequest {
    tenant: 77,
    program: 0,
    limit: RateLimit {
        per_second: 0.001,
        burst: 10.0,
    },
    version: 1,
    standby: false,
};

/// A store that serves only quota requests.
#[derive(Default)]
struct QuotaStore {
    ledger: RefCell<QuotaLedger>,
    quota_requests: Cell<usize>,
    received_grants: Cell<usize>,
    silent: Cell<bool>,
    /// Handles requests as if the process had just started.
    just_started: Cell<bool>,
}

impl QuotaStore {
    fn handle_request(&self, request: Request) -> Option<Reply> {
        // After a long uptime the ledger starts with a full burst.
        let now = match self.just_started.get() {
            true => Duration::ZERO,
            false => Duration::from_secs(100_000),
        };
        match request {
            Request::Quota(request) => {
                self.quota_requests.set(self.quota_requests.get() + 1);
                let forced = request.forced || request.standby;
                let request = request.validated()?;
                let mut ledger = self.ledger.borrow_mut();
                let decision = match forced || ledger.has_full_window(request.tenant, now) {
                    true => ledger.acquire(&request, now),
                    false => QuotaDecision::Unknown,
                };
                let granted = decision == QuotaDecision::Granted;
                let receipt = ledger.receipt(request.tenant, now);
                let reply = QuotaReply {
                    decided: decision != QuotaDecision::Unknown,
                    granted,
                    receipt: receipt.unwrap_or_default().into(),
                    ..QuotaReply::default()
                };
                (!self.silent.get()).then_some(Reply::Quota(reply))
            }
            Request::QuotaGranted(grant) => {
                self.received_grants.set(self.received_grants.get() + 1);
                self.ledger.borrow_mut().count(&grant.validated()?, now);
                Some(Reply::Pong)
            }
            Request::QuotaRefund { tenant, receipt } => {
                let mut ledger = self.ledger.borrow_mut();
                ledger.refund(tenant, receipt.into(), now);
                Some(Reply::Pong)
            }
            _ => Some(Reply::Pong),
        }
    }
}

async fn serve(listener: TcpListener, store: Rc<QuotaStore>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (mut reader, mut writer) = stream.into_split();
        let store = store.clone();
        tokio::task::spawn_local(async move {
            while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
                let number = request.number;
                let Some(content) = store.handle_request(request.content) else {
                    continue;
                };
                let bytes = frame::encode(&Numbered { number, content });
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
    }
}

fn member(number: usize, address: &str) -> Member {
    Member {
        node: Text::from(format!("store-{number}")),
        address: Text::from(address),
        zone: Text::from("zone"),
        state: MemberState::Active,
        disk: 0,
    }
}

struct Cluster {
    stores: HashMap<Text, Rc<QuotaStore>>,
    /// The tenant's owners, first choice first.
    owners: Vec<Rc<QuotaStore>>,
    groups: GroupClients,
}

async fn start_cluster() -> Cluster {
    start_cluster_tolerating(1).await
}

/// Starts five stores that tolerate the loss of `machines` machines at once.
async fn start_cluster_tolerating(machines: usize) -> Cluster {
    let mut members = Members::default();
    let mut stores = HashMap::new();
    for number in 0..5 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let store = Rc::new(QuotaStore::default());
        tokio::task::spawn_local(serve(listener, store.clone()));
        let member = member(number, &address);
        stores.insert(member.node.clone(), store);
        members = members.with_member(member);
    }
    let store_groups = StoreGroups::single(members);
    let tolerance = Tolerance::of_machines(machines);
    let owners = QuotaOwners::with_tolerance(tolerance.clone());
    owners.update_stores(&store_groups);
    let owners = owners.owners_of(QUOTA_REQUEST.tenant);
    let groups = GroupClients::new(Text::from("zone"), tolerance);
    groups.update_stores(&Rc::new(store_groups));
    Cluster {
        owners: owners.iter().map(|node| stores[node].clone()).collect(),
        stores,
        groups,
    }
}

impl Cluster {
    async fn request_grants(&self, requests: usize) -> usize {
        let mut granted = 0;
        for _ in 0..requests {
            let decision = self.groups.request_quota(QUOTA_REQUEST).await;
            granted += usize::from(
                decision.is_some_and(|decision| decision.verdict == QuotaDecision::Granted),
            );
        }
        granted
    }
}

#[tokio::test]
async fn the_first_owner_counts_and_reports_its_grants_to_the_second() {
    let test = async {
        let cluster = start_cluster().await;
        assert_eq!(cluster.request_grants(14).await, 10);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(cluster.owners[0].quota_requests.get(), 14);
        assert_eq!(cluster.owners[1].received_grants.get(), 10);
        let other_stores = cluster.stores.values().filter(|store| {
            !Rc::ptr_eq(store, &cluster.owners[0]) && !Rc::ptr_eq(store, &cluster.owners[1])
        });
        assert_eq!(
            other_stores
                .map(|store| store.quota_requests.get() + store.received_grants.get())
                .sum::<usize>(),
            0
        );
    };
    LocalSet::new().run_until(test).await;
}

/// The second owner grants only what is left of the limit, and requests wait for the silent
/// owner at most once a second.
#[tokio::test]
async fn a_silent_owner_is_replaced_by_the_one_that_received_its_grants() {
    let test = async {
        let cluster = start_cluster().await;
        assert_eq!(cluster.request_grants(6).await, 6);
        tokio::time::sleep(Duration::from_millis(50)).await;
        cluster.owners[0].silent.set(true);
        let started = Instant::now();
        assert_eq!(cluster.request_grants(10).await, 4);
        assert!(
            started.elapsed() < Duration::from_millis(500),
            "{:?}",
            started.elapsed()
        );
        // Both are silent: the third owner takes nine tenths of the limit as granted.
        cluster.owners[1].silent.set(true);
        assert_eq!(cluster.request_grants(10).await, 1);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against exceeding the limit when two owners die at once: grants must reach one store
/// more than may be lost.
#[tokio::test]
async fn the_limit_holds_when_as_many_owners_die_as_machines_may_be_lost() {
    let test = async {
        let cluster = start_cluster_tolerating(2).await;
        assert_eq!(cluster.request_grants(6).await, 6);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(cluster.owners[2].received_grants.get(), 6);
        cluster.owners[0].silent.set(true);
        cluster.owners[1].silent.set(true);
        assert_eq!(cluster.request_grants(10).await, 4, "ten in total");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an owner that comes back empty and grants again what was granted before. An
/// owner with a full window decides and reports its grants to the restarted one.
#[tokio::test]
async fn an_owner_that_has_just_started_defers_to_one_with_a_full_window() {
    let test = async {
        let cluster = start_cluster().await;
        assert_eq!(cluster.request_grants(6).await, 6);
        tokio::time::sleep(Duration::from_millis(50)).await;
        cluster.owners[0].ledger.take();
        cluster.owners[0].just_started.set(true);
        assert_eq!(cluster.request_grants(10).await, 4, "ten in total");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(cluster.owners[0].received_grants.get(), 4);
        // The other owner dies: the restarted one must decide without a full window.
        cluster.owners[1].silent.set(true);
        let decision = cluster
            .groups
            .request_quota(QUOTA_REQUEST)
            .await
            .expect("a decision");
        assert_ne!(decision.verdict, QuotaDecision::Unknown);
    };
    LocalSet::new().run_until(test).await;
}

/// When all stores have just started, all fronts must agree on the first owner.
#[tokio::test]
async fn the_first_owner_decides_when_none_has_a_full_window() {
    let test = async {
        let cluster = start_cluster().await;
        for store in cluster.stores.values() {
            store.just_started.set(true);
        }
        assert_eq!(
            cluster.request_grants(5).await,
            1,
            "nine tenths count as granted"
        );
        let tenant_count = |owner: usize| cluster.owners[owner].ledger.borrow().tenant_count();
        assert_eq!(tenant_count(0), 1);
        assert_eq!(tenant_count(2), 0, "no standby is asked");
    };
    LocalSet::new().run_until(test).await;
}

/// At least one owner of each tenant survives the loss of the tolerated zones.
#[test]
fn owners_are_in_more_zones_than_may_be_lost() {
    for (zones, machines, expected_owners) in [(1, 0, 2), (2, 0, 3), (1, 3, 4)] {
        let tolerance = Tolerance {
            zones,
            ..Tolerance::of_machines(machines)
        };
        let owners = QuotaOwners::with_tolerance(tolerance);
        let mut members = Members::default();
        for number in 0..12 {
            let placed = member(number, "127.0.0.1:1");
            members = members.with_member(Member {
                zone: Text::from(format!("zone-{}", number / 4)),
                ..placed
            });
        }
        owners.update_stores(&StoreGroups::single(members));
        for tenant in 0..200_u64 {
            let counting_owners =
                owners.counting_owners(tenant.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            assert_eq!(counting_owners.len(), expected_owners);
            let member_number =
                |node: &Text| node["store-".len()..].parse::<usize>().expect("number");
            let mut owner_zones: Vec<usize> = counting_owners
                .iter()
                .map(|node| member_number(node) / 4)
                .collect();
            owner_zones.sort_unstable();
            owner_zones.dedup();
            assert!(owner_zones.len() > zones, "{counting_owners:?}");
        }
    }
}

/// A request rejected after its grant must not use up the limit for a whole window.
#[tokio::test]
async fn a_refund_reaches_the_owner_that_granted_the_request() {
    let test = async {
        let cluster = start_cluster().await;
        assert_eq!(cluster.request_grants(9).await, 9);
        let last = cluster
            .groups
            .request_quota(QUOTA_REQUEST)
            .await
            .expect("a decision");
        assert_eq!(cluster.request_grants(1).await, 0);
        cluster.groups.refund(&last.grant.expect("a grant"));
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(cluster.request_grants(5).await, 1);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn without_stores_there_is_no_quota_decision() {
    let test = async {
        let groups = GroupClients::new(Text::from("zone"), Tolerance::of_machines(1));
        assert_eq!(groups.request_quota(QUOTA_REQUEST).await, None);
    };
    LocalSet::new().run_until(test).await;
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Each tenant's next owner is the one that received its grants.
    #[test]
    fn removing_a_store_moves_only_its_own_tenants(
        stores in 3_usize..40,
        removed in 0_usize..40,
        tenants in proptest::collection::vec(any::<u64>(), 50),
    ) {
        let removed = removed % stores;
        let mut members = Members::default();
        for number in 0..stores {
            members = members.with_member(member(number, "127.0.0.1:1"));
        }
        let (before, after) = (QuotaOwners::default(), QuotaOwners::default());
        before.update_stores(&StoreGroups::single(members.clone()));
        let removed = Text::from(format!("store-{removed}"));
        after.update_stores(&StoreGroups::single(members.start_change(members.list_without(&removed)).settle_change()));
        for tenant in tenants {
            let mut expected = before.owners_of(tenant);
            expected.retain(|node| *node != removed);
            let found = after.owners_of(tenant);
            prop_assert_eq!(&found[..expected.len().min(found.len())], &expected[..]);
        }
    }

    #[test]
    fn tenants_are_spread_over_the_stores(seed in any::<u64>()) {
        let mut members = Members::default();
        for number in 0..11 {
            members = members.with_member(member(number, "127.0.0.1:1"));
        }
        let owners = QuotaOwners::default();
        owners.update_stores(&StoreGroups::single(members));
        let mut counts: HashMap<Text, usize> = HashMap::new();
        for number in 0..1_100_u64 {
            let tenant = seed.wrapping_add(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            *counts.entry(owners.owners_of(tenant)[0].clone()).or_default() += 1;
        }
        prop_assert!(counts.values().all(|count| (40..200).contains(count)), "{:?}", counts);
    }
}
