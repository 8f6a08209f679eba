//! Large replies over a slow link: a transfer that makes progress must not count as an outage.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{
    DirectoryRelay, Member, MemberState, Members, RelayRequirements, StoreGroups, Tolerance,
};
use stageyoke_policy::quota::{AcquireRequest, QuotaDecision};
use stageyoke_policy::token_bucket::RateLimit;
use stageyoke_store::directory_relay::StoreRelay;
use stageyoke_store::frame;
use stageyoke_store::message::{
    CopyFreshness, DirectoryChange, Numbered, QuotaReply, Reply, Request,
};
use stageyoke_store::{GroupClients, StoreClient};
use stageyoke_types::{Blob, List, Text};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

const CHANGE_BOUND: Duration = Duration::from_secs(3);
const REQUIREMENTS: RelayRequirements = RelayRequirements {
    answer_timeout: Duration::from_millis(900),
    transfer_timeout: CHANGE_BOUND,
    max_age: Duration::from_millis(2_100),
};
const CONFIGURATION_BYTES: usize = 300_000;
const LINK_BYTES_PER_SECOND: u64 = 250_000;
const LINK_PACKET_BYTES: usize = 2_500;
const REVISION: u64 = 2;

/// A front's link, shared by all its connections.
#[derive(Default)]
struct Link {
    free_at: Cell<Option<Instant>>,
    sent_bytes: Cell<u64>,
}

impl Link {
    /// Waits until the link has transferred a packet of this size.
    async fn transfer(&self, bytes: usize) {
        let free_at = self.free_at.get().unwrap_or_else(Instant::now);
        let start = free_at.max(Instant::now());
        let time = Duration::from_secs(1) * bytes as u32 / LINK_BYTES_PER_SECOND as u32;
        self.free_at.set(Some(start + time));
        self.sent_bytes.set(self.sent_bytes.get() + bytes as u64);
        tokio::time::sleep_until(start + time).await;
    }

    async fn write(&self, writer: &mut OwnedWriteHalf, bytes: &[u8]) -> std::io::Result<()> {
        for packet in bytes.chunks(LINK_PACKET_BYTES) {
            self.transfer(packet.len()).await;
            writer.write_all(packet).await?;
        }
        Ok(())
    }
}

fn reply_to(request: Request) -> Reply {
    match request {
        Request::Changes { .. } => Reply::Changes {
            known: true,
            changes: List(vec![DirectoryChange {
                key: Text::from("routes/all"),
                value: Some(Blob::from(vec![b'x'; CONFIGURATION_BYTES])),
                revision: REVISION,
            }]),
            mark: CopyFreshness {
                revision: REVISION,
                age_milliseconds: 100,
                lapsed_entry_grace_milliseconds: 0,
            },
        },
        Request::Quota(_) => Reply::Quota(QuotaReply {
            decided: true,
            granted: true,
            ..QuotaReply::default()
        }),
        _ => Reply::Pong,
    }
}

/// Replies in the order of the requests, like a store.
async fn serve_connection(stream: TcpStream, link: Rc<Link>) {
    let (mut reader, mut writer) = stream.into_split();
    while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
        let reply = Numbered {
            number: request.number,
            content: reply_to(request.content),
        };
        if link
            .write(&mut writer, &frame::encode(&reply))
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn serve(listener: TcpListener, link: Rc<Link>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(serve_connection(stream, link.clone()));
    }
}

async fn start_store(link: &Rc<Link>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    tokio::task::spawn_local(serve(listener, link.clone()));
    address
}

async fn start_groups(link: &Rc<Link>, store_count: usize) -> Rc<GroupClients> {
    let mut members = Members::default();
    for number in 0..store_count {
        members = members.with_member(Member {
            node: Text::from(format!("store-{number}")),
            address: Text::from(start_store(link).await),
            zone: Text::from("zone"),
            state: MemberState::Active,
            disk: 0,
        });
    }
    let groups = GroupClients::new(Text::from("zone"), Tolerance::of_machines(store_count - 1));
    groups.update_stores(&Rc::new(StoreGroups::single(members)));
    Rc::new(groups)
}

async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// A transfer that exceeds the answer timeout but makes progress must complete, since a
/// retry at another store would transfer all data again.
#[tokio::test]
async fn a_slow_transfer_of_the_directory_is_not_abandoned() {
    run_local(async {
        let link = Rc::default();
        let relay = StoreRelay::new(start_groups(&link, 3).await, Vec::new());
        let started_at = Instant::now();
        let reply = relay.fetch_changes(0, None, REQUIREMENTS).await;
        let revision = reply.expect("a copy of the directory").payload.revision;
        assert_eq!(revision, REVISION);
        assert!(started_at.elapsed() < CHANGE_BOUND);
        let sent = link.sent_bytes.get();
        assert!(sent < 2 * CONFIGURATION_BYTES as u64, "{sent} bytes sent");
    })
    .await;
}

/// Closing the connection would fail all other calls on it.
#[tokio::test]
async fn a_connection_is_not_closed_while_it_receives_a_large_reply() {
    run_local(async {
        let link = Rc::default();
        let client = StoreClient::new(&start_store(&link).await);
        let request = Request::Changes { after: 0 };
        let reply = client.call(request, CHANGE_BOUND).await;
        assert!(matches!(reply, Ok(Reply::Changes { .. })), "{reply:?}");
    })
    .await;
}

/// Quota requests time out after tens of milliseconds, so their replies must not queue
/// behind a large reply.
#[tokio::test]
async fn quota_is_granted_while_the_directory_is_transferred() {
    run_local(async {
        let link = Rc::default();
        let groups = start_groups(&link, 1).await;
        let relay = StoreRelay::new(groups.clone(), Vec::new());
        let transfer = tokio::task::spawn_local(async move {
            relay.fetch_changes(0, None, REQUIREMENTS).await;
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
        for tenant in 0..20 {
            let request = AcquireRequest {
                tenant,
                program: 0,
                limit: RateLimit {
                    per_second: 10.0,
                    burst: 10.0,
                },
                version: 1,
                standby: false,
            };
            let decision = groups.request_quota(request).await;
            let verdict = decision.map(|decision| decision.verdict);
            assert_eq!(verdict, Some(QuotaDecision::Granted), "tenant {tenant}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        transfer.abort();
    })
    .await;
}
