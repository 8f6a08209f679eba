//! Streams that end before their first event: their callers have no head yet and get a whole
//! answer.

use super::*;

const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const PART_OF_AN_EVENT: &str = "d\r\nid: 1\ndata: a\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Number of requests at the same time, of which each of two replicas gets some first.
const REQUESTS: usize = 12;

/// Returns a chunked stream of one event.
fn whole_stream() -> String {
    format!("{CHUNKED_HEAD}f\r\nid: 1\ndata: a\n\n\r\n{LAST_CHUNK}")
}

/// Asserts that an answer is a whole failure of the front's own.
fn assert_whole_failure(answer: &str, status: &str) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    let (head, body) = answer.split_once("\r\n\r\n").expect("head");
    let length = header_value(head, "content-length").expect("length");
    assert_eq!(length, body.len().to_string(), "{answer}");
    assert!(!head.contains("signed"), "{answer}");
}

/// Guards against a connection that is cut where the caller could have got an answer.
#[rstest]
#[case::after_the_head(format!("{CHUNKED_HEAD}CLOSE"))]
#[case::inside_the_event(format!("{CHUNKED_HEAD}{PART_OF_AN_EVENT}CLOSE"))]
#[case::inside_the_event_with_a_stated_end(format!(
    "{CHUNKED_HEAD}{PART_OF_AN_EVENT}{LAST_CHUNK}"
))]
#[case::without_framing(format!("{UNFRAMED_HEAD}CLOSE"))]
#[case::without_framing_inside_the_event(format!("{UNFRAMED_HEAD}id: 1\ndata: aCLOSE"))]
#[tokio::test]
async fn a_stream_without_its_first_event_becomes_a_whole_failure(#[case] response: String) {
    run_local(async {
        let replicas = [
            Replica::start(&[&response]).await,
            Replica::start(&[&response]).await,
        ];
        let test_front = start(&[&replicas[0], &replicas[1]]).await;
        let answer = send_request(test_front.address, &request("POST", "/stream/a", "")).await;
        assert_whole_failure(&answer, "502");
        let runs = replicas[0].count() + replicas[1].count();
        assert_eq!(runs, 1, "a request that may have run is not repeated");
    })
    .await;
}

/// Guards against a caller that has to repeat what the front may repeat.
#[tokio::test]
async fn a_resumable_stream_without_its_first_event_is_served_by_the_next_replica() {
    run_local(async {
        let broken_off = Replica::start(&[&format!("{CHUNKED_HEAD}CLOSE")]).await;
        let sound = Replica::start(&[&whole_stream()]).await;
        let test_front = start(&[&broken_off, &sound]).await;
        let text = request("POST", "/resumable/a", "");
        for answer in send_at_once(test_front.address, &text, REQUESTS).await {
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            assert!(answer.contains("data: a"), "{answer}");
            assert!(answer.ends_with(LAST_CHUNK), "{answer}");
        }
        assert!(broken_off.count() > 0, "the other replica got all requests");
    })
    .await;
}

/// Guards against a silent replica whose caller gets no status at its deadline.
#[rstest]
#[case::once("/stream/a")]
#[case::resumable("/resumable/a")]
#[tokio::test]
async fn a_deadline_before_the_first_event_is_answered(#[case] path: &str) {
    run_local(async {
        let silent = format!("{CHUNKED_HEAD}{PART_OF_AN_EVENT}");
        let replica = Replica::start(&[&silent]).await;
        let test_front = start(&[&replica]).await;
        let answer = send_request(test_front.address, &request("POST", path, "")).await;
        assert_whole_failure(&answer, "504");
        wait_for_closed_connections(&replica).await;
    })
    .await;
}

async fn wait_for_closed_connections(replica: &Replica) {
    let closing = async {
        while replica.open_connections.get() > 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let closed = tokio::time::timeout(Duration::from_millis(300), closing).await;
    closed.expect("the connection to the replica is closed");
}

/// Guards against a replica that goes on with a turn that nobody waits for, and against a program
/// that is taken to be running it.
#[tokio::test]
async fn a_caller_that_leaves_before_the_first_event_stops_the_replica() {
    run_local(async {
        let replica = Replica::start(&[CHUNKED_HEAD]).await;
        let store = ReportingStore::start(0, false).await;
        let test_front = start_with_store(&[&replica], ENGINES, Some(store.address)).await;
        let before = ended_requests("stream", "caller_left");
        let mut caller = TcpStream::connect(test_front.address).await.expect("open");
        let turn = turn_request("program");
        caller.write_all(turn.as_bytes()).await.expect("send");
        while replica.count() == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(caller);
        wait_for_closed_connections(&replica).await;
        let ending = async {
            while store.received.ended_turns.get() == 0 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let ended = tokio::time::timeout(Duration::from_millis(300), ending).await;
        ended.expect("the end of the turn is reported");
        assert!(ended_requests("stream", "caller_left") > before);
    })
    .await;
}

/// Guards against an empty stream that is taken for a lost one.
#[rstest]
#[case::nothing("")]
#[case::a_comment("4\r\n: c\n\r\n")]
#[tokio::test]
async fn a_stream_that_ends_regularly_without_an_event_passes(#[case] body: &str) {
    run_local(async {
        let empty = format!("{CHUNKED_HEAD}{body}{LAST_CHUNK}");
        let replica = Replica::start(&[&empty]).await;
        let test_front = start(&[&replica]).await;
        let answer = send_request(test_front.address, &request("POST", "/stream/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains("signed: s"), "{answer}");
        assert!(answer.ends_with(&format!("{body}{LAST_CHUNK}")), "{answer}");
    })
    .await;
}

/// Guards against a head of the replica that promises output which is then withheld, and against
/// a status that promises that the turn has not run.
#[rstest]
#[case::another_turn_used_the_budget(Some(96), "502")]
#[case::the_reservation_is_never_stored(None, "50")]
#[tokio::test]
async fn a_turn_whose_check_fails_gets_a_whole_failure(
    #[case] other_tokens: Option<u32>,
    #[case] status: &str,
) {
    run_local(async {
        let replicas = [
            Replica::start(&[&whole_stream()]).await,
            Replica::start(&[&whole_stream()]).await,
        ];
        let store = SlowStore::start(other_tokens.unwrap_or_default()).await;
        let replica_list = [&replicas[0], &replicas[1]];
        let test_front = start_with_store(&replica_list, ENGINES, Some(store.address)).await;
        let runs = || replicas[0].count() + replicas[1].count();
        // The store announces its version with its first reply.
        store.released.notify_one();
        send_request(test_front.address, &turn_request("earlier")).await;
        let earlier_runs = runs();
        let withheld = ended_requests("stream", "budget_spent_meanwhile");
        let release = async {
            while runs() == earlier_runs {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            if other_tokens.is_some() {
                store.released.notify_waiters();
            }
        };
        let turn = turn_request("program");
        let (answer, ()) = tokio::join!(send_request(test_front.address, &turn), release);
        assert_whole_failure(&answer, status);
        assert!(
            !answer.starts_with("HTTP/1.1 503"),
            "the turn ran: {answer}"
        );
        assert_eq!(runs(), earlier_runs + 1, "it is not repeated");
        if other_tokens.is_some() {
            assert!(ended_requests("stream", "budget_spent_meanwhile") > withheld);
        }
    })
    .await;
}
