//! When a client closes its connection to a store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use stageyoke_directory::TransferTimeouts;
use stageyoke_store::StoreClient;
use stageyoke_store::frame;
use stageyoke_store::message::{Numbered, Reply, Request};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Longer than the time after which a silent connection is closed.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Replies to pings, if at all, and to nothing else.
async fn serve_connection(stream: TcpStream, answers_pings: bool) {
    let (mut reader, mut writer) = stream.into_split();
    while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
        if request.content != Request::Ping || !answers_pings {
            continue;
        }
        let pong = Numbered {
            number: request.number,
            content: Reply::Pong,
        };
        if writer.write_all(&frame::encode(&pong)).await.is_err() {
            return;
        }
    }
}

async fn start_store(answers_pings: bool) -> (String, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let opened = Rc::new(Cell::new(0));
    let count = opened.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            tokio::task::spawn_local(serve_connection(stream, answers_pings));
        }
    });
    (address, opened)
}

/// Replies to pings must not make a transfer that has not begun look like one in progress.
#[tokio::test]
async fn a_transfer_without_data_fails_although_its_store_answers_pings() {
    let test = async {
        let (address, _) = start_store(true).await;
        let client = StoreClient::with_progress(&address, Rc::default());
        let timeouts = TransferTimeouts {
            idle: CALL_TIMEOUT / 4,
            total: CALL_TIMEOUT,
        };
        let started_at = Instant::now();
        let outcome = client
            .call_with_transfer_timeouts(Request::Items, Rc::default(), timeouts)
            .await;
        assert!(outcome.is_err(), "there is no reply");
        let elapsed = started_at.elapsed();
        assert!(elapsed < CALL_TIMEOUT / 2, "{elapsed:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// A store whose disk is slow answers pings at once; closing the connection to it would lose
/// the replies that it is about to send.
#[rstest]
#[case::slow_disk(true, true)]
#[case::silent_store(false, false)]
#[tokio::test]
async fn a_connection_is_closed_only_if_its_store_is_silent(
    #[case] answers_pings: bool,
    #[case] stays_open: bool,
) {
    let test = async {
        let (address, opened) = start_store(answers_pings).await;
        let client = StoreClient::new(&address);
        let first = client.call(Request::Items, CALL_TIMEOUT).await;
        assert!(first.is_err(), "there is no reply");
        let _ = client.call(Request::Items, CALL_TIMEOUT).await;
        assert_eq!(opened.get() == 1, stays_open, "{} opened", opened.get());
    };
    LocalSet::new().run_until(test).await;
}
