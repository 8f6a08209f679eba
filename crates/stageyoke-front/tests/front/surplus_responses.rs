//! Replicas that send surplus responses, which arrive in the place of the next one due.

use std::collections::HashMap;

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

use super::*;

/// Time after which a replica that was not sent requests must get them again.
const RETURN_BOUND: Duration = Duration::from_secs(4);

/// What a replica does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    /// Runs it and responds with success.
    Serve,
    /// Runs it and responds with a failure.
    Fail,
    /// Runs it and closes the connection without a response.
    Cut,
    /// Rejects it with this status, without running it.
    Reject { status: u16, identified: bool },
}

/// A second response to a request, sent in the place of the next response on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Surplus {
    Nothing,
    /// The same response again.
    Repeat,
    /// A rejection with this status that names the request which it belongs to.
    Rejection(u16),
}

#[derive(Clone, Copy, Debug)]
struct Step {
    behavior: Behavior,
    surplus: Surplus,
}

/// Replicas that follow one script, in the order in which requests reach them, and serve all
/// requests after its end.
#[derive(Clone)]
struct ScriptedReplicas {
    steps: Rc<RefCell<std::vec::IntoIter<Step>>>,
    runs: Rc<RefCell<HashMap<String, usize>>>,
}

impl ScriptedReplicas {
    fn new(steps: Vec<Step>) -> Self {
        Self {
            steps: Rc::new(RefCell::new(steps.into_iter())),
            runs: Rc::default(),
        }
    }

    async fn start_one(&self) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let replicas = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(replicas.clone().serve(stream));
            }
        });
        Replica {
            address,
            received: Rc::default(),
            open_connections: Rc::default(),
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut surplus = String::new();
        while let Some(request) = read_message(&mut stream).await {
            let id = header_value(&request, "id").expect("identifier");
            let step = self.steps.borrow_mut().next().unwrap_or(Step {
                behavior: Behavior::Serve,
                surplus: Surplus::Nothing,
            });
            if !matches!(step.behavior, Behavior::Reject { .. }) {
                *self.runs.borrow_mut().entry(id.clone()).or_default() += 1;
            }
            let Some(response) = response_of(step.behavior, &id) else {
                return;
            };
            let bytes = format!("{surplus}{response}");
            surplus = match step.surplus {
                Surplus::Nothing => String::new(),
                Surplus::Repeat => response,
                Surplus::Rejection(status) => rejection(status, &format!("id: {id}\r\n")),
            };
            if stream.write_all(bytes.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn runs_of(&self, id: &str) -> usize {
        self.runs.borrow().get(id).copied().unwrap_or(0)
    }
}

fn response_of(behavior: Behavior, id: &str) -> Option<String> {
    match behavior {
        Behavior::Serve => Some(SIGNED_RESPONSE.replace("ID", id)),
        Behavior::Fail => Some(format!(
            "HTTP/1.1 500 No\r\nid: {id}\r\nsigned: s\r\nContent-Length: 0\r\n\r\n"
        )),
        Behavior::Cut => None,
        Behavior::Reject { status, identified } => {
            let identifier = match identified {
                true => format!("id: {id}\r\n"),
                false => String::new(),
            };
            Some(rejection(status, &identifier))
        }
    }
}

/// A rejection; that of another replica is shown by its status alone.
fn rejection(status: u16, identifier: &str) -> String {
    let promise = match status {
        421 => "",
        _ => "not-run: 1\r\n",
    };
    format!("HTTP/1.1 {status} No\r\n{identifier}{promise}Content-Length: 0\r\n\r\n")
}

async fn send_numbered(test_front: &TestFront, path: &str, number: usize) -> (String, u16) {
    let id = format!("n-{number}");
    let message = request("POST", path, "order").replace("id: r-1", &format!("id: {id}"));
    let answer = send_request(test_front.address, &message).await;
    let status = answer.split_whitespace().nth(1).unwrap_or_default();
    (id, status.parse().unwrap_or(0))
}

fn promises_not_to_have_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Plays requests that may run once against replicas with this script.
async fn check_runs(paths: &[&str], steps: Vec<Step>) -> Result<(), String> {
    let replicas = ScriptedReplicas::new(steps);
    let (first, second) = (replicas.start_one().await, replicas.start_one().await);
    let test_front = start(&[&first, &second]).await;
    for (number, path) in paths.iter().enumerate() {
        let (id, status) = send_numbered(&test_front, path, number).await;
        let runs = replicas.runs_of(&id);
        if *path != "/once/a" {
            continue;
        }
        if runs > 1 || (runs == 1 && promises_not_to_have_run(status)) {
            return Err(format!(
                "request {number} ran {runs} times, answer {status}"
            ));
        }
    }
    Ok(())
}

/// Guards against a second response that is taken for that of the next request: the request then
/// runs at two replicas, or its caller is told that it has not run.
#[rstest]
#[case::another_instance(Behavior::Serve, Surplus::Rejection(421))]
#[case::full(Behavior::Serve, Surplus::Rejection(503))]
#[case::limited(Behavior::Serve, Surplus::Rejection(429))]
#[case::doubled_rejection(
    Behavior::Reject { status: 503, identified: false },
    Surplus::Repeat
)]
#[case::doubled_answer(Behavior::Serve, Surplus::Repeat)]
#[tokio::test]
async fn a_surplus_response_makes_no_request_run_twice(
    #[case] behavior: Behavior,
    #[case] surplus: Surplus,
) {
    run_local(async {
        let steps = vec![Step { behavior, surplus }; 3];
        let outcome = check_runs(&["/once/a"; 6], steps).await;
        assert_eq!(outcome, Ok(()));
    })
    .await;
}

/// Guards against a service that rejects everything after each of its replicas has sent one surplus
/// response, or was once reached at an address that another one had.
#[rstest]
#[case::surplus(Behavior::Serve, Surplus::Rejection(421), 4)]
#[case::another_instance(
    Behavior::Reject { status: 421, identified: false },
    Surplus::Nothing,
    2
)]
#[tokio::test]
async fn a_replica_returns_after_a_response_of_another_instance(
    #[case] behavior: Behavior,
    #[case] surplus: Surplus,
    #[case] faulty_responses: usize,
) {
    run_local(async {
        let replicas = ScriptedReplicas::new(vec![Step { behavior, surplus }; faulty_responses]);
        let (first, second) = (replicas.start_one().await, replicas.start_one().await);
        let test_front = start(&[&first, &second]).await;
        for number in 0..8 {
            send_numbered(&test_front, "/once/a", number).await;
        }
        tokio::time::sleep(RETURN_BOUND).await;
        for number in 8..12 {
            let (_, status) = send_numbered(&test_front, "/once/a", number).await;
            assert_eq!(status, 200, "request {number}");
        }
    })
    .await;
}

/// Guards against idle connections that no request may use, which count towards the replica's limit.
#[tokio::test]
async fn rejections_without_identifiers_leave_no_unusable_connections() {
    run_local(async {
        let full = Replica::start(&[&rejection(503, "")]).await;
        let test_front = start(&[&full]).await;
        for number in 0..10 {
            let (_, status) = send_numbered(&test_front, "/once/a", number).await;
            assert_eq!(status, 503);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let open = full.open_connections.get();
        assert!(open <= 1, "{open} connections after 10 rejections");
    })
    .await;
}

fn any_step() -> impl Strategy<Value = Step> {
    let status = prop_oneof![Just(503_u16), Just(429), Just(421), Just(400)];
    let rejecting = (status.clone(), any::<bool>())
        .prop_map(|(status, identified)| Behavior::Reject { status, identified });
    let behavior = prop_oneof![
        4 => Just(Behavior::Serve),
        1 => Just(Behavior::Fail),
        1 => Just(Behavior::Cut),
        3 => rejecting,
    ];
    let surplus = prop_oneof![
        Just(Surplus::Nothing),
        Just(Surplus::Repeat),
        status.prop_map(Surplus::Rejection),
    ];
    (behavior, surplus).prop_map(|(behavior, surplus)| Step { behavior, surplus })
}

/// Guards against promises of one response that are taken for another's, over any sequence of
/// responses.
#[test]
fn a_request_runs_once_whatever_responses_arrive() {
    let config = ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(8802),
        ..ProptestConfig::default()
    };
    let path = prop_oneof![3 => Just("/once/a"), 1 => Just("/safe/a")];
    let scenario = (
        proptest::collection::vec(path, 4..12),
        proptest::collection::vec(any_step(), 4..20),
    );
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let outcome = TestRunner::new(config).run(&scenario, |(paths, steps)| {
        let checking = run_local(check_runs(&paths, steps));
        runtime.block_on(checking).map_err(TestCaseError::fail)
    });
    outcome.expect("no request runs twice");
}
