//! Compatibility of builds that run side by side: new fields follow messages that older builds
//! still read, and go only to peers that announced support.

use std::future::Future;

use proptest::prelude::*;
use rstest::rstest;
use stageyoke_directory::GroupNumber;
use stageyoke_store::StoreClient;
use stageyoke_store::client::CallError;
use stageyoke_store::extension::{
    AttemptReport, Deviation, ExtensionFields, KnownItem, LedgerQuery, Permit, PermitQuery,
    PermitRequest, RankLoad, RecordedAttempt, Restriction, Restrictions, RunReport, StreamReport,
    VERSION,
};
use stageyoke_store::frame::{self, EncodedMessage, Received};
use stageyoke_store::message::{LatencyEntry, LedgerEntry, Numbered, Reply, Request};
use stageyoke_types::{Blob, List};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A field tag that no build uses.
const UNKNOWN_TAG: u8 = 250;

async fn run_local(run: impl Future<Output = ()>) {
    LocalSet::new().run_until(run).await;
}

fn ping(number: u64) -> Numbered<Request> {
    Numbered {
        number,
        content: Request::Ping,
    }
}

/// Encodes a frame with a field of a later build.
fn frame_with_unknown_field() -> Vec<u8> {
    let mut bytes = frame::encode_with_fields(&ping(7), &ExtensionFields::greeting());
    bytes.extend_from_slice(&[UNKNOWN_TAG, 3, 1, 2, 3]);
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

#[tokio::test]
async fn a_version_one_reader_skips_the_fields_behind_a_message() {
    let bytes = frame_with_unknown_field();
    let mut stream = bytes.as_slice();
    let read: Numbered<Request> = frame::read(&mut stream).await.expect("read");
    assert_eq!(read, ping(7));
    assert!(stream.is_empty(), "the next frame starts after the fields");
}

#[tokio::test]
async fn a_reader_skips_unknown_fields() {
    let bytes = frame_with_unknown_field();
    let received: Received<Request> = frame::read_with_fields(&mut bytes.as_slice())
        .await
        .expect("read");
    assert_eq!(received.message, ping(7));
    assert_eq!(received.extension_fields, ExtensionFields::greeting());
}

#[tokio::test]
async fn a_version_one_message_has_no_fields() {
    let bytes = frame::encode(&ping(7));
    let received: Received<Request> = frame::read_with_fields(&mut bytes.as_slice())
        .await
        .expect("read");
    assert_eq!(received.extension_fields, ExtensionFields::default());
}

/// Answers pings and returns the fields received. A store of version 1 never sends a version.
async fn answer_pings(listener: TcpListener, sends_version: bool) -> Vec<ExtensionFields> {
    let (stream, _) = listener.accept().await.expect("accept");
    let (mut reader, mut writer) = stream.into_split();
    let mut received_fields = Vec::new();
    while let Ok(received) = frame::read_with_fields::<Request>(&mut reader).await {
        let reply = Numbered {
            number: received.message.number,
            content: Reply::Pong,
        };
        let fields = match sends_version && received_fields.is_empty() {
            true => ExtensionFields::greeting(),
            false => ExtensionFields::default(),
        };
        received_fields.push(received.extension_fields);
        let bytes = frame::encode_with_fields(&reply, &fields);
        writer.write_all(&bytes).await.expect("write");
    }
    received_fields
}

#[rstest]
#[case::version_one_store(false)]
#[case::current_store(true)]
#[tokio::test]
async fn a_client_sends_its_version_once_per_connection(#[case] sends_version: bool) {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let store = tokio::task::spawn_local(answer_pings(listener, sends_version));
        let client = StoreClient::new(&address);
        for _ in 0..3 {
            let reply = client.call(Request::Ping, CALL_TIMEOUT).await;
            assert_eq!(reply, Ok(Reply::Pong));
        }
        drop(client);
        let received_fields = store.await.expect("store");
        let versions: Vec<_> = received_fields
            .iter()
            .map(|fields| fields.version)
            .collect();
        assert_eq!(versions, [Some(VERSION), None, None]);
    })
    .await;
}

/// The client closes the connection and fails the pending call.
#[tokio::test]
async fn unreadable_fields_close_the_connection() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("accept");
            let request: Numbered<Request> = frame::read(&mut stream).await.expect("read");
            let reply = Numbered {
                number: request.number,
                content: Reply::Pong,
            };
            let mut bytes = frame::encode(&reply);
            // A field with a length beyond the end of the frame.
            bytes.extend_from_slice(&[UNKNOWN_TAG, 100]);
            let length = (bytes.len() - 4) as u32;
            bytes[..4].copy_from_slice(&length.to_le_bytes());
            stream.write_all(&bytes).await.expect("write");
            let mut remaining = Vec::new();
            let _ = stream.read_to_end(&mut remaining).await;
        });
        let client = StoreClient::new(&address);
        let reply = client.call(Request::Ping, CALL_TIMEOUT).await;
        assert_eq!(reply, Err(CallError::NoAnswer));
    })
    .await;
}

proptest! {
    /// Decoding must not allocate memory for a length that is only claimed.
    #[test]
    fn decoding_arbitrary_fields_does_not_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..64),
    ) {
        let _ = ExtensionFields::decode(0, &bytes);
    }
}

/// A frame shared by several connections equals the one of `encode_with_fields`.
#[test]
fn both_encoders_produce_the_same_frame() {
    let message = ping(9);
    let fields = ExtensionFields::greeting();
    let encoded_once = EncodedMessage::encode(&message.content)
        .frame(message.number, &fields)
        .to_vec();
    assert_eq!(encoded_once, frame::encode_with_fields(&message, &fields));
}

/// A front of version 1 must receive exactly the bytes of version 1.
#[tokio::test]
async fn a_peer_that_sends_no_version_receives_version_one_replies() {
    run_local(async {
        let folder = tempfile::tempdir().expect("folder");
        let data = stageyoke_store::segment::DataFolder::open(folder.path()).expect("open");
        let recovered = data.recover(1, true).expect("recover");
        let (local_store, _results) = stageyoke_store::local_store::LocalStore::open(
            "store-0".into(),
            data,
            recovered,
            stageyoke_store::StoreLimits::for_memory(64 << 20),
        )
        .expect("local store");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        tokio::task::spawn_local(stageyoke_store::server::serve(local_store.into(), listener));
        let pong = Numbered {
            number: 7,
            content: Reply::Pong,
        };
        let plain_reply = exchange_frames(&frame::encode(&ping(7)), address).await;
        assert_eq!(plain_reply, frame::encode(&pong));
        let greeting_request = frame::encode_with_fields(&ping(7), &ExtensionFields::greeting());
        let greeting_reply = exchange_frames(&greeting_request, address).await;
        let expected = frame::encode_with_fields(&pong, &ExtensionFields::greeting());
        assert_eq!(greeting_reply, expected);
    })
    .await;
}

/// Sends one frame and returns the bytes of the frame that answers it.
async fn exchange_frames(request: &[u8], address: std::net::SocketAddr) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(request).await.expect("write");
    let mut frame = vec![0; 4];
    stream.read_exact(&mut frame).await.expect("length");
    let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    let mut content = vec![0; length];
    stream.read_exact(&mut content).await.expect("content");
    frame.extend_from_slice(&content);
    frame
}

/// Fronts send these fields with each record.
#[test]
fn encoded_fields_are_small() {
    let size = |fields: &ExtensionFields| {
        let mut bytes = Vec::new();
        fields.encode(&mut bytes);
        bytes.len()
    };
    assert_eq!(size(&ExtensionFields::default()), 0);
    assert_eq!(size(&ExtensionFields::greeting()), 4);
    let load = RankLoad {
        service: 1,
        rank: 2,
        in_flight: 3,
    };
    let two_ranks = ExtensionFields {
        rank_loads: Some(List(vec![load; 2])),
        ..ExtensionFields::default()
    };
    assert_eq!(size(&two_ranks), 17);
    let deviation = Deviation {
        replica: 1,
        log_ratio: -50,
    };
    let sixty_engines = ExtensionFields {
        engine_deviations: Some(List(vec![deviation; 60])),
        ..ExtensionFields::default()
    };
    assert_eq!(size(&sixty_engines), 364);
    let report = ExtensionFields {
        stream_report: Some(StreamReport {
            stream: u128::MAX,
            version: "1.2".into(),
            ttl_milliseconds: 30_000,
        }),
        ..ExtensionFields::default()
    };
    assert_eq!(size(&report), 26);
    let query = ExtensionFields {
        stream_query: Some(u128::MAX),
        ..ExtensionFields::default()
    };
    assert_eq!(size(&query), 18);
    let answer = ExtensionFields {
        stream_version: Some("1.2".into()),
        ..ExtensionFields::default()
    };
    assert_eq!(size(&answer), 6);
    let run_report = ExtensionFields {
        run_report: Some(RunReport {
            request: u128::MAX,
            replica: u64::MAX,
            completed: false,
        }),
        ..ExtensionFields::default()
    };
    assert_eq!(size(&run_report), 27);
    let watch = ExtensionFields {
        known_restrictions: Some(u64::MAX),
        ..ExtensionFields::default()
    };
    assert_eq!(size(&watch), 10);
    let restriction = Restriction {
        request: u128::MAX,
        ends: 3,
    };
    let restrictions = |count| ExtensionFields {
        restrictions: Some(Restrictions {
            version: u64::MAX,
            complete: false,
            requests: List(vec![restriction; count]),
        }),
        ..ExtensionFields::default()
    };
    assert_eq!(size(&restrictions(0)), 12);
    assert_eq!(size(&restrictions(1)), 29);
}

fn recorded_attempt() -> RecordedAttempt {
    RecordedAttempt {
        stream: 1 << 101,
        attempt: 1 << 102,
        sequence: 3,
        ended: true,
        events: Blob::from(b"id: 1\ndata: a\n\n".to_vec()),
    }
}

#[test]
fn encoded_fields_are_decoded_unchanged() {
    let fields = ExtensionFields {
        version: Some(VERSION),
        rank_loads: Some(List(vec![RankLoad {
            service: 7,
            rank: 1,
            in_flight: 9,
        }])),
        program: Some("program".into()),
        started: Some(true),
        front: Some(11),
        engine_latencies: Some(List(vec![LatencyEntry {
            replica: 3,
            log_ratio: -7,
            answers: 2,
        }])),
        engine_deviations: Some(List(vec![Deviation {
            replica: 3,
            log_ratio: -7,
        }])),
        known_item: Some(KnownItem {
            key: "routes/all".into(),
            revision: 12,
        }),

        ledger_query: Some(LedgerQuery {
            group: GroupNumber(1),
            members_version: 3,
            program: "program".into(),
        }),
        write_delay_milliseconds: Some(1200),
        permit_request: Some(PermitRequest {
            replica: 1 << 40,
            permits: 26,
        }),
        permit: Some(Permit {
            granted: true,
            retry_after_milliseconds: 0,
        }),
        stream_report: Some(StreamReport {
            stream: 1 << 100,
            version: "1.2".into(),
            ttl_milliseconds: 30_000,
        }),
        stream_recorded: Some(true),
        stream_query: Some(1 << 100),
        stream_version: Some("1.2".into()),
        run_report: Some(RunReport {
            request: 1 << 100,
            replica: 1 << 40,
            completed: true,
        }),
        permit_query: Some(PermitQuery {
            request: 1 << 100,
            replica: 1 << 40,
            run: 1 << 41,
            ttl_milliseconds: 5_000,
        }),
        run_permit: Some(2),
        known_restrictions: Some(1 << 42),
        restrictions: Some(Restrictions {
            version: 1 << 42,
            complete: true,
            requests: List(vec![Restriction {
                request: 1 << 100,
                ends: 3,
            }]),
        }),
        unsynced_ledger: Some(List(vec![LedgerEntry {
            turn: 5,
            amount: 54,
            settled: false,
        }])),
        ledger_retention_seconds: Some(60),
        ledger_retentions: Some(List(vec![0, 60, 3_600])),
        later_ledger_entries: Some(3),
        missing_of_chain: Some(1 << 43),
        attempt_report: Some(AttemptReport {
            request: 1 << 100,
            attempt: recorded_attempt(),
            ttl_milliseconds: 19_000,
        }),
        attempt_recorded: Some(true),
        attempts_query: Some(1 << 100),
        attempts: Some(List(vec![recorded_attempt()])),
        stream_identity: Some(1 << 100),
        service_query: Some("service".into()),
        service_versions: Some(List(vec!["1.2".into()])),
    };
    let mut bytes = Vec::new();
    fields.encode(&mut bytes);
    assert_eq!(ExtensionFields::decode(0, &bytes).expect("read"), fields);
}
