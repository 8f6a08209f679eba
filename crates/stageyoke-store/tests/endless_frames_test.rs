//! A peer in trouble may send bytes that are no message without end.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use stageyoke_store::extension::ExtensionFields;
use stageyoke_store::frame::{self, EncodedMessage, MAX_FRAME_BYTES};
use stageyoke_store::local_store::LocalStore;
use stageyoke_store::message::{Numbered, Reply, Request};
use stageyoke_store::segment::DataFolder;
use stageyoke_store::server;
use stageyoke_store::{StoreClient, StoreLimits};
use stageyoke_types::Text;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Time within which a frame without progress is given up.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(3);
/// Time within which any incomplete frame is given up.
const MAX_FRAME_TIME: Duration = Duration::from_secs(31);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

fn ping(number: u64) -> Vec<u8> {
    EncodedMessage::encode(&Request::Ping)
        .frame(number, &ExtensionFields::default())
        .to_vec()
}

async fn read(stream: &mut DuplexStream) -> io::Result<Numbered<Request>> {
    frame::read(stream).await
}

/// Writes bytes and then one byte each interval, until the reader has gone.
async fn trickle(writer: &mut (impl AsyncWriteExt + Unpin), start: &[u8], interval: Duration) {
    let mut written = writer.write_all(start).await;
    while written.is_ok() {
        tokio::time::sleep(interval).await;
        written = writer.write_all(b"x").await;
    }
}

#[rstest]
#[case::within_the_length(&[9])]
#[case::within_the_content(&[0, 0, 1, 0, 1, 2, 3])]
#[tokio::test(start_paused = true)]
async fn a_frame_that_trickles_is_given_up(#[case] start: &[u8]) {
    let (mut writer, mut reader) = duplex(1024);
    let started_at = Instant::now();
    let error = tokio::select! {
        () = trickle(&mut writer, start, Duration::from_secs(1)) => unreachable!("it is open"),
        read = tokio::time::timeout(MAX_FRAME_TIME, read(&mut reader)) => {
            read.expect("it is given up").expect_err("no message")
        }
    };
    assert_eq!(error.kind(), io::ErrorKind::InvalidData);
    assert!(started_at.elapsed() < GIVEN_UP_WITHIN);
}

/// A frame that arrives at a tenth of the necessary rate blocks the messages behind it.
#[tokio::test(start_paused = true)]
async fn a_frame_that_takes_longer_than_any_call_is_given_up() {
    let (mut writer, mut reader) = duplex(1024);
    let sending = async {
        let length = MAX_FRAME_BYTES as u32;
        writer.write_all(&length.to_le_bytes()).await.expect("open");
        while writer.write_all(&[0; 1024]).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let error = tokio::select! {
        () = sending => unreachable!("it is open"),
        read = tokio::time::timeout(MAX_FRAME_TIME, read(&mut reader)) => {
            read.expect("it is given up").expect_err("no message")
        }
    };
    assert_eq!(error.kind(), io::ErrorKind::InvalidData);
}

/// Neither a slow frame nor a long pause between two is a reason to end the connection.
#[rstest]
#[case::narrow_link(1024, Duration::from_millis(5))]
#[case::pauses(16 * 1024, Duration::from_millis(1500))]
#[tokio::test(start_paused = true)]
async fn a_slow_frame_with_progress_is_received(
    #[case] packet_bytes: usize,
    #[case] interval: Duration,
) {
    const CONTENT_BYTES: usize = 256 * 1024;
    let (mut writer, mut reader) = duplex(1024);
    let mut bytes = (CONTENT_BYTES as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(&ping(7)[4..]);
    bytes.resize(4 + CONTENT_BYTES, 250);
    let sending = async {
        for packet in bytes.chunks(packet_bytes) {
            writer.write_all(packet).await.expect("open");
            tokio::time::sleep(interval).await;
        }
        tokio::time::sleep(Duration::from_secs(3600)).await;
        writer.write_all(&ping(8)).await.expect("open");
    };
    let receiving = async {
        let first = read(&mut reader).await.expect("a message");
        let second = read(&mut reader).await.expect("a message");
        assert_eq!((first.number, second.number), (7, 8));
    };
    tokio::join!(sending, receiving);
}

#[tokio::test]
async fn a_frame_beyond_the_limit_is_refused_before_its_content_arrives() {
    let (mut writer, mut reader) = duplex(1024);
    let length = MAX_FRAME_BYTES as u32 + 1;
    writer.write_all(&length.to_le_bytes()).await.expect("open");
    let error = read(&mut reader).await.expect_err("no message");
    assert_eq!(error.kind(), io::ErrorKind::InvalidData);
}

/// Starts a store whose disk is empty.
async fn start_store(folder: &Path) -> SocketAddr {
    let data = DataFolder::open(folder).expect("open");
    let recovered = data.recover(1, true).expect("recover");
    let node = Text::from("store-0");
    let opened = LocalStore::open(node, data, recovered, StoreLimits::default());
    let (local_store, results) = opened.expect("threads");
    let local_store = Rc::new(local_store);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::task::spawn_local(server::serve(local_store.clone(), listener));
    tokio::task::spawn_local(async move { local_store.process_journal_results(results).await });
    address
}

/// A front that stops in the middle of a frame must not keep its connection and its memory.
#[tokio::test]
async fn a_store_closes_a_connection_whose_frame_trickles() {
    let test = async {
        let folder = tempfile::tempdir().expect("folder");
        let address = start_store(folder.path()).await;
        let mut stream = TcpStream::connect(address).await.expect("connect");
        stream.write_all(&ping(1)).await.expect("open");
        let mut reply = [0; 256];
        assert!(stream.read(&mut reply).await.expect("open") > 0, "a reply");
        let (mut reader, mut writer) = stream.into_split();
        tokio::task::spawn_local(async move {
            let half_a_frame = [0, 0, 1, 0, 1, 2, 3];
            trickle(&mut writer, &half_a_frame, Duration::from_millis(300)).await;
        });
        let mut rest = Vec::new();
        let ended = tokio::time::timeout(GIVEN_UP_WITHIN, reader.read_to_end(&mut rest)).await;
        assert!(ended.is_ok(), "it is still open");
    };
    LocalSet::new().run_until(test).await;
}

/// Store that trickles its first reply without end, and answers on later connections.
async fn serve_connection(stream: TcpStream, is_first: bool) {
    let (mut reader, mut writer) = stream.into_split();
    if is_first {
        let half_a_frame = [0, 0, 1, 0, 1, 2, 3];
        return trickle(&mut writer, &half_a_frame, Duration::from_millis(100)).await;
    }
    while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
        // Replies to no request come before the reply.
        for number in 1_000_000..1_001_000 {
            let unrelated = Numbered {
                number,
                content: Reply::Pong,
            };
            writer.write_all(&frame::encode(&unrelated)).await.ok();
        }
        let reply = Numbered {
            number: request.number,
            content: Reply::Pong,
        };
        writer.write_all(&frame::encode(&reply)).await.ok();
    }
}

/// Bytes that never complete a reply are no sign of life: the client opens a new connection.
#[tokio::test]
async fn a_store_that_trickles_a_reply_is_asked_again_on_a_new_connection() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let opened = Rc::new(Cell::new(0));
        let count = opened.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.set(count.get() + 1);
                tokio::task::spawn_local(serve_connection(stream, count.get() == 1));
            }
        });
        let client = StoreClient::new(&address);
        let started_at = Instant::now();
        while client.call(Request::Ping, CALL_TIMEOUT).await != Ok(Reply::Pong) {
            assert!(started_at.elapsed() < GIVEN_UP_WITHIN, "no reply");
        }
        assert_eq!(opened.get(), 2);
    };
    LocalSet::new().run_until(test).await;
}
