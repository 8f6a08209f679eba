//! Builds side by side: what is new travels behind messages that older builds read as
//! they always did, and only to peers that have told that they read it.

use std::future::Future;

use proptest::prelude::*;
use rstest::rstest;
use stageyoke_store::StoreClient;
use stageyoke_store::client::CallError;
use stageyoke_store::extension::{Deviation, ExtensionFields, RankLoad, VERSION};
use stageyoke_store::frame::{self, EncodedMessage, Received};
use stageyoke_store::message::{LatencyEntry, Numbered, Reply, Request};
use stageyoke_types::List;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Duration;

const WITHIN: Duration = Duration::from_secs(2);
/// A tag that no build has used.
const LATER_TAG: u8 = 250;

async fn local(run: impl Future<Output = ()>) {
    LocalSet::new().run_until(run).await;
}

fn ping(number: u64) -> Numbered<Request> {
    Numbered {
        number,
        content: Request::Ping,
    }
}

/// A frame with a field that a later build has added.
fn frame_of_a_later_build() -> Vec<u8> {
    let mut bytes = frame::encode_with_fields(&ping(7), &ExtensionFields::greeting());
    bytes.extend_from_slice(&[LATER_TAG, 3, 1, 2, 3]);
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

#[tokio::test]
async fn a_reader_of_version_one_leaves_what_stands_behind_a_message() {
    let bytes = frame_of_a_later_build();
    let mut stream = bytes.as_slice();
    let read: Numbered<Request> = frame::read(&mut stream).await.expect("read");
    assert_eq!(read, ping(7));
    assert!(stream.is_empty(), "the next frame begins behind the fields");
}

#[tokio::test]
async fn a_reader_skips_fields_that_it_does_not_know() {
    let bytes = frame_of_a_later_build();
    let received: Received<Request> = frame::read_with_fields(&mut bytes.as_slice())
        .await
        .expect("read");
    assert_eq!(received.message, ping(7));
    assert_eq!(received.extension_fields, ExtensionFields::greeting());
}

#[tokio::test]
async fn a_message_of_version_one_has_no_fields() {
    let bytes = frame::encode(&ping(7));
    let received: Received<Request> = frame::read_with_fields(&mut bytes.as_slice())
        .await
        .expect("read");
    assert_eq!(received.extension_fields, ExtensionFields::default());
}

/// A store that answers pings: one of version 1 never tells a version.
async fn answer_pings(listener: TcpListener, tells_version: bool) -> Vec<ExtensionFields> {
    let (stream, _) = listener.accept().await.expect("accept");
    let (mut reader, mut writer) = stream.into_split();
    let mut heard = Vec::new();
    while let Ok(received) = frame::read_with_fields::<Request>(&mut reader).await {
        let reply = Numbered {
            number: received.message.number,
            content: Reply::Pong,
        };
        let extensions = match tells_version && heard.is_empty() {
            true => ExtensionFields::greeting(),
            false => ExtensionFields::default(),
        };
        heard.push(received.extension_fields);
        let bytes = frame::encode_with_fields(&reply, &extensions);
        writer.write_all(&bytes).await.expect("write");
    }
    heard
}

#[rstest]
#[case::of_version_one(false)]
#[case::of_this_version(true)]
#[tokio::test]
async fn a_client_tells_its_version_once_a_connection(#[case] tells_version: bool) {
    local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let store = tokio::task::spawn_local(answer_pings(listener, tells_version));
        let client = StoreClient::new(&address);
        for _ in 0..3 {
            let reply = client.call(Request::Ping, WITHIN).await;
            assert_eq!(reply, Ok(Reply::Pong));
        }
        drop(client);
        let heard = store.await.expect("store");
        let told: Vec<_> = heard.iter().map(|extensions| extensions.version).collect();
        assert_eq!(told, [Some(VERSION), None, None]);
    })
    .await;
}

/// A peer whose bytes can't be read ends the connection, and what waits there hears it.
#[tokio::test]
async fn unreadable_fields_end_the_connection() {
    local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("accept");
            let asked: Numbered<Request> = frame::read(&mut stream).await.expect("read");
            let reply = Numbered {
                number: asked.number,
                content: Reply::Pong,
            };
            let mut bytes = frame::encode(&reply);
            // A field that says it is longer than the frame.
            bytes.extend_from_slice(&[LATER_TAG, 100]);
            let length = (bytes.len() - 4) as u32;
            bytes[..4].copy_from_slice(&length.to_le_bytes());
            stream.write_all(&bytes).await.expect("write");
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
        });
        let client = StoreClient::new(&address);
        let reply = client.call(Request::Ping, WITHIN).await;
        assert_eq!(reply, Err(CallError::NoAnswer));
    })
    .await;
}

proptest! {
    /// Whatever stands behind a message, reading it neither panics nor takes memory for a
    /// length that is only told.
    #[test]
    fn any_bytes_behind_a_message_are_read_or_refused(
        behind in proptest::collection::vec(any::<u8>(), 0..64),
    ) {
        let _ = ExtensionFields::decode(0, &behind);
    }
}

/// The frame that goes to several connections is the one that `encode_extended` makes.
#[test]
fn both_ways_of_encoding_make_the_same_frame() {
    let message = ping(9);
    let extensions = ExtensionFields::greeting();
    let once = EncodedMessage::encode(&message.content).frame(message.number, &extensions);
    assert_eq!(once, frame::encode_with_fields(&message, &extensions));
}

/// A front of version 1 that asks a store of this build gets the bytes that it got
/// before.
#[tokio::test]
async fn a_peer_that_tells_no_version_is_answered_as_before() {
    local(async {
        let folder = tempfile::tempdir().expect("folder");
        let data = stageyoke_store::segment::DataFolder::open(folder.path()).expect("open");
        let recovered = data.recover(1, true).expect("recover");
        let (local_store, _results) = stageyoke_store::local_store::LocalStore::open(
            "store-0".into(),
            data,
            recovered,
            stageyoke_store::StoreLimits::for_memory(64 << 20),
        )
        .expect("keeper");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        tokio::task::spawn_local(stageyoke_store::server::serve(local_store.into(), listener));
        let pong = Numbered {
            number: 7,
            content: Reply::Pong,
        };
        let plain = answer_to(&frame::encode(&ping(7)), address).await;
        assert_eq!(plain, frame::encode(&pong));
        let greeted = frame::encode_with_fields(&ping(7), &ExtensionFields::greeting());
        let greeting = answer_to(&greeted, address).await;
        let expected = frame::encode_with_fields(&pong, &ExtensionFields::greeting());
        assert_eq!(greeting, expected);
    })
    .await;
}

/// The bytes of the one frame with which a store answers this one.
async fn answer_to(request: &[u8], address: std::net::SocketAddr) -> Vec<u8> {
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

/// What the fields add to a frame, in bytes: a front tells its ranks with each record.
#[test]
fn fields_cost_few_bytes() {
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
}

/// All fields together are read as they were written.
#[test]
fn what_is_written_is_read() {
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
    };
    let mut bytes = Vec::new();
    fields.encode(&mut bytes);
    assert_eq!(ExtensionFields::decode(0, &bytes).expect("read"), fields);
}
