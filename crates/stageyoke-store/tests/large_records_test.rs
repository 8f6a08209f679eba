//! Records whose total size exceeds one frame, as callers with large turns cause.

#[path = "support/running_store.rs"]
mod running_store;

use std::cell::Cell;
use std::fs;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use stageyoke_directory::{Member, MemberState, Members, StoreGroups, Tolerance};
use stageyoke_store::frame::{self, MAX_FRAME_BYTES};
use stageyoke_store::message::{JournalPosition, Numbered, Record, Reply, Request, TurnRecord};
use stageyoke_store::peer_sync::Peers;
use stageyoke_store::{ChainOutcome, GroupClients, GroupError};
use stageyoke_types::{Blob, List, Text};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet};

use running_store::{Store, store_groups, with_later_version};

const TIMEOUT: Duration = Duration::from_secs(20);
const LARGE_BYTES: usize = 400_000;
/// More records of that size than fit into one frame.
const LARGE_RECORDS: usize = 90;

fn tolerance() -> Tolerance {
    Tolerance::of_machines(1)
}

fn turn_of(number: usize, bytes: usize) -> Record {
    Record::Turn(TurnRecord {
        turn: Text::from(format!("turn-{number}")),
        program: Text::from(format!("program-{number}")),
        previous: Text::default(),
        input: Blob::from(vec![number as u8; bytes]),
        output: Blob::default(),
        used_tokens: 10,
        retention_seconds: 60,
    })
}

async fn run_in_time(test: impl Future<Output = ()>) {
    let tasks = LocalSet::new();
    let result = tokio::time::timeout(TIMEOUT, tasks.run_until(test)).await;
    result.expect("the test ends in time");
}

async fn store_all(store: &Store, records: &[Record]) {
    for record in records {
        assert!(store.local_store.store_record(record.clone()).await);
    }
}

/// Starts a group whose last store has an empty disk while the others hold the records.
async fn start_group_with_empty_disk(count: usize, records: &[Record]) -> Vec<Store> {
    let mut stores = Vec::new();
    for number in 0..count {
        stores.push(Store::start(number, number + 1 < count).await);
    }
    let groups = with_later_version(&store_groups(&stores), 3);
    for store in &stores {
        store.local_store.set_stores(groups.clone());
    }
    for store in &stores[..count - 1] {
        store_all(store, records).await;
    }
    stores
}

fn follow_peers(store: &Store) -> Rc<Peers> {
    let peers = Rc::new(Peers::new(store.local_store.clone(), tolerance()));
    peers.update_members(&store.local_store.members());
    peers
}

async fn wait_until_complete(store: &Store) {
    while !store.local_store.is_complete() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a store that never catches up after the loss of its disk, because one reply
/// with its missing records exceeds a frame.
#[rstest]
#[case::all_peers_answer(3, false)]
#[case::one_peer_is_down(4, true)]
#[tokio::test]
async fn a_lost_disk_is_filled_with_records_that_exceed_one_frame(
    #[case] count: usize,
    #[case] first_is_down: bool,
) {
    run_in_time(async {
        let records: Vec<Record> = (0..LARGE_RECORDS)
            .map(|number| turn_of(number, LARGE_BYTES))
            .collect();
        const { assert!(LARGE_RECORDS * LARGE_BYTES > MAX_FRAME_BYTES) };
        let stores = start_group_with_empty_disk(count, &records).await;
        if first_is_down {
            stores[0].tasks.iter().for_each(JoinHandle::abort);
        }
        let replaced = &stores[count - 1];
        let _peers = follow_peers(replaced);
        wait_until_complete(replaced).await;
        for record in &records {
            assert!(replaced.local_store.holds(record.digest()));
        }
    })
    .await;
}

/// Guards against a program whose history exceeds a frame: each lookup would end the connection,
/// with everything else that waits on it.
#[tokio::test]
async fn a_chain_that_exceeds_one_frame_is_read_in_parts() {
    run_in_time(async {
        let stores = start_group_with_empty_disk(3, &[]).await;
        for number in 0..LARGE_RECORDS {
            let previous = match number {
                0 => Text::default(),
                number => Text::from(format!("turn-{}", number - 1)),
            };
            let Record::Turn(turn) = turn_of(number, LARGE_BYTES) else {
                unreachable!("a turn");
            };
            let record = Record::Turn(TurnRecord { previous, ..turn });
            store_all(&stores[0], &[record]).await;
        }
        let group = GroupClients::new(Text::from("zone"), tolerance());
        group.update_stores(&stores[0].local_store.stores());
        let last = Text::from(format!("turn-{}", LARGE_RECORDS - 1));
        let outcome = group.chain("program", &last, TIMEOUT, |_| true).await;
        let ChainOutcome::Complete(parts) = outcome else {
            panic!("expected the whole chain: {outcome:?}");
        };
        let numbers = parts.iter().map(|part| part.input[0]).rev();
        assert!(numbers.eq((0..LARGE_RECORDS).map(|number| number as u8)));
    })
    .await;
}

/// Guards against a front that gathers a history beyond its memory.
#[tokio::test]
async fn a_chain_is_not_read_beyond_the_memory_of_its_requester() {
    run_in_time(async {
        let stores = start_group_with_empty_disk(3, &[]).await;
        let previous_of = |number: usize| match number {
            0 => Text::default(),
            number => Text::from(format!("turn-{}", number - 1)),
        };
        for number in 0..20 {
            let Record::Turn(turn) = turn_of(number, LARGE_BYTES) else {
                unreachable!("a turn");
            };
            let previous = previous_of(number);
            let record = Record::Turn(TurnRecord { previous, ..turn });
            store_all(&stores[0], &[record]).await;
        }
        let group = GroupClients::new(Text::from("zone"), tolerance());
        group.update_stores(&stores[0].local_store.stores());
        let memory = 6 * LARGE_BYTES;
        let mut received = 0;
        let acquire = |bytes| {
            received += bytes;
            received <= memory
        };
        let last = Text::from("turn-19");
        let outcome = group.chain("program", &last, TIMEOUT, acquire).await;
        assert!(matches!(outcome, ChainOutcome::TooLarge), "{outcome:?}");
        assert!(received < 2 * memory, "{received} bytes were read");
    })
    .await;
}

/// Guards against a turn that ends the connections to all stores again and again, because its
/// record is larger than they accept.
#[tokio::test]
async fn a_record_beyond_a_frame_is_refused_and_ends_no_connection() {
    run_in_time(async {
        let mut stores = Vec::new();
        for number in 0..3 {
            stores.push(Store::start(number, true).await);
        }
        let groups = store_groups(&stores);
        for store in &stores {
            store.local_store.set_stores(groups.clone());
        }
        let group = GroupClients::new(Text::from("zone"), tolerance());
        group.update_stores(&groups);
        let (large, small) = tokio::join!(
            group.append(turn_of(0, MAX_FRAME_BYTES + 1), TIMEOUT),
            group.append(turn_of(1, 10), TIMEOUT)
        );
        assert_eq!(large.map(drop), Err(GroupError::RecordTooLarge));
        assert!(small.is_ok());
        assert_eq!(group.all_failing_for(), None);
    })
    .await;
}

/// Guards against replies that grow with the size of the requested records, and against a
/// record that is never sent because it is larger than the limit of a reply.
#[rstest]
#[case::many_records(LARGE_BYTES, LARGE_RECORDS)]
#[case::one_record_beyond_the_limit_of_a_reply(5_000_000, 1)]
#[tokio::test]
async fn a_reply_with_records_fits_into_a_frame_and_holds_at_least_one(
    #[case] bytes: usize,
    #[case] count: usize,
) {
    run_in_time(async {
        let store = Store::start(0, true).await;
        let records: Vec<Record> = (0..count).map(|number| turn_of(number, bytes)).collect();
        store_all(&store, &records).await;
        let request = Request::Fetch {
            digests: records.iter().map(Record::digest).collect(),
        };
        let reply = store.local_store.handle_request(request).await;
        let Reply::Fetched { records, .. } = &reply else {
            panic!("expected records: {reply:?}");
        };
        assert!(!records.is_empty());
        let encoded = frame::encode(&Numbered {
            number: 1,
            content: reply,
        });
        assert!(encoded.len() <= MAX_FRAME_BYTES, "{}", encoded.len());
    })
    .await;
}

/// Guards against unreadable records that hide all records behind them.
#[tokio::test]
async fn unreadable_records_do_not_keep_others_from_being_fetched() {
    run_in_time(async {
        let store = Store::start(0, true).await;
        let records: Vec<Record> = (0..20).map(|number| turn_of(number, LARGE_BYTES)).collect();
        store_all(&store, &records).await;
        let segment = store.folder.path().join("segment-0000000000");
        let content = fs::read(&segment).expect("segment");
        fs::write(&segment, vec![0; content.len()]).expect("damage");
        let request = Request::Fetch {
            digests: records.iter().map(Record::digest).collect(),
        };
        let reply = store.local_store.handle_request(request).await;
        let Reply::Fetched { records, .. } = reply else {
            panic!("expected records: {reply:?}");
        };
        assert!(!records.is_empty());
    })
    .await;
}

/// Joins a store with an empty disk into a group of three, whose other members run `serve`.
fn join_group<F: Future<Output = ()> + 'static>(
    replaced: &Store,
    serve: impl Fn(TcpListener) -> F,
) -> Rc<Peers> {
    let mut members = Members::default().with_member(Member {
        node: replaced.local_store.node.clone(),
        address: Text::from(replaced.address.to_string()),
        zone: Text::from("zone"),
        state: MemberState::Active,
        disk: replaced.local_store.disk(),
    });
    for number in 1..3 {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
        listener.set_nonblocking(true).expect("nonblocking");
        let address = listener.local_addr().expect("address");
        members = members.with_member(Member {
            node: Text::from(format!("store-{number}")),
            address: Text::from(address.to_string()),
            zone: Text::from("zone"),
            state: MemberState::Active,
            disk: 0,
        });
        let listener = TcpListener::from_std(listener).expect("listener");
        tokio::task::spawn_local(serve(listener));
    }
    let groups = Rc::new(StoreGroups::single(members));
    replaced.local_store.set_stores(groups);
    follow_peers(replaced)
}

/// Answers like the build before this one: with every requested record, whatever their size.
async fn answer_with_everything(
    listener: TcpListener,
    records: Rc<Vec<Record>>,
    sent: Rc<Cell<usize>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (records, sent) = (records.clone(), sent.clone());
        tokio::task::spawn_local(async move {
            let (mut reader, mut writer) = stream.into_split();
            while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
                let reply = Numbered {
                    number: request.number,
                    content: full_reply(request.content, &records, &sent),
                };
                if writer.write_all(&frame::encode(&reply)).await.is_err() {
                    return;
                }
            }
        });
    }
}

fn full_reply(request: Request, records: &[Record], sent: &Cell<usize>) -> Reply {
    match request {
        Request::Digests { from, .. } => {
            let all: Vec<u64> = records.iter().map(Record::digest).collect();
            let start = if from.journal == 1 {
                from.next as usize
            } else {
                0
            };
            Reply::Digests {
                next: JournalPosition {
                    journal: 1,
                    next: all.len() as u64,
                },
                more: false,
                complete: true,
                members_version: 3,
                directory: Default::default(),
                silent: List::default(),
                digests: all[start..].to_vec().into(),
            }
        }
        Request::Fetch { digests } => {
            let requested = |record: &&Record| digests.contains(&record.digest());
            let found: List<Record> = records.iter().filter(requested).cloned().collect();
            sent.set(sent.get() + found.len());
            Reply::Fetched {
                journal: 1,
                records: found,
                expired: List::default(),
            }
        }
        _ => Reply::Pong,
    }
}

/// Guards against a store beside peers of the build before, whose replies have no limit: it asks
/// them for fewer records once a reply exceeds a frame.
#[rstest]
#[case::large_records_only(0)]
#[case::small_records_first(600)]
#[tokio::test]
async fn a_peer_without_a_limit_on_its_replies_is_asked_for_fewer_records(#[case] small: usize) {
    run_in_time(async {
        let small_records = (0..small).map(|number| turn_of(number, 10));
        let large_records = (small..small + 40).map(|number| turn_of(number, 1_000_000));
        let records: Rc<Vec<Record>> = Rc::new(small_records.chain(large_records).collect());
        let sent = Rc::new(Cell::new(0));
        let replaced = Store::start(0, false).await;
        let _peers = join_group(&replaced, |listener| {
            answer_with_everything(listener, records.clone(), sent.clone())
        });
        wait_until_complete(&replaced).await;
        for record in records.iter() {
            assert!(replaced.local_store.holds(record.digest()));
        }
        if small == 0 {
            assert_eq!(sent.get(), records.len(), "each record is fetched once");
        }
    })
    .await;
}

/// Guards against a store that can't fetch what it lacks while nothing shows it.
#[tokio::test]
async fn a_store_whose_requests_for_records_fail_tells_what_it_lacks() {
    run_in_time(async {
        let records: Rc<Vec<Record>> = Rc::new((0..30).map(|number| turn_of(number, 10)).collect());
        let replaced = Store::start(0, false).await;
        let peers = join_group(&replaced, |listener| {
            let records = records.clone();
            async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (mut reader, mut writer) = stream.into_split();
                    while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
                        // Ends the connection instead of sending records.
                        if matches!(request.content, Request::Fetch { .. }) {
                            break;
                        }
                        let reply = Numbered {
                            number: request.number,
                            content: full_reply(request.content, &records, &Cell::default()),
                        };
                        let bytes = frame::encode(&reply);
                        writer.write_all(&bytes).await.expect("write");
                    }
                }
            }
        });
        while peers.catch_up_progress().failed_fetches < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let progress = peers.catch_up_progress();
        assert!(!progress.complete);
        assert_eq!(progress.missing_records, records.len());
    })
    .await;
}
