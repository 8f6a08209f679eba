//! Real nodes on loopback sockets: the path a caller takes.

use hyper::Method;
use stageyoke_lab::caller::{CallPlan, Caller, Reply};
use stageyoke_lab::cluster::{ClusterShape, LabCluster};
use stageyoke_lab::demo::with_sample_key;
use stageyoke_lab::standins::engine::EngineTiming;
use stageyoke_lab::standins::text::{PromptMessage, complete_answer};

const CONFIG: &str = include_str!("../../../examples/flood-warning.toml");

async fn cluster(tls: bool) -> (LabCluster, Caller) {
    let shape = ClusterShape {
        nodes: 3,
        durable_nodes: 1,
        engines: 2,
        replicas: 1,
        shards: 8,
        timing: EngineTiming::Instant,
        tls,
    };
    let cluster = LabCluster::start(shape).await.expect("the cluster starts");
    let (text, key) = with_sample_key(&cluster.substitute_addresses(CONFIG));
    cluster
        .apply(&text)
        .await
        .expect("the configuration is applied");
    cluster
        .wait_for_leaders()
        .await
        .expect("every shard has a leader");
    (cluster, Caller::new(&key))
}

fn plan<'a>(text: &'a str, program: &'a str, stream: bool) -> CallPlan<'a> {
    CallPlan {
        model: "gauge-query",
        text,
        program: Some(program),
        stream,
        ..CallPlan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_of_one_program_carry_on_its_history_through_any_node() {
    let (cluster, caller) = cluster(true).await;
    let nodes = cluster.caller_addresses();
    let first = caller.call(nodes[0], &plan("first", "p", false)).await;
    let second = caller.call(nodes[1], &plan("second", "p", true)).await;
    let user = |content| PromptMessage {
        role: "user",
        content,
    };
    let expected_first = complete_answer(&[user("first")], 512);
    assert_eq!(first, Reply::Answer(expected_first.clone()));
    let answered = PromptMessage {
        role: "assistant",
        content: &expected_first,
    };
    let expected_second = complete_answer(&[user("first"), answered, user("second")], 512);
    assert_eq!(second, Reply::Answer(expected_second));
    let shown = caller.request_program(nodes[2], Method::GET, "p").await;
    let (status, body) = shown.expect("an answer");
    assert_eq!(
        (status, body["history"].as_array().map(Vec::len)),
        (200, Some(4))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_brings_the_first_answer_again_and_runs_once() {
    let (cluster, caller) = cluster(false).await;
    let nodes = cluster.caller_addresses();
    let keyed = CallPlan {
        key: Some("advisory-7"),
        ..plan("issue the advisory", "forecast", false)
    };
    let first = caller.call(nodes[0], &keyed).await;
    let again = caller.call(nodes[2], &keyed).await;
    assert!(first.answer().is_some());
    assert_eq!(first, again);
    let runs: usize = cluster
        .engines
        .iter()
        .map(|engine| engine.state.runs().len())
        .sum();
    assert_eq!(runs, 1);
    let other = CallPlan {
        text: "another advisory",
        ..keyed
    };
    assert!(matches!(
        caller.call(nodes[1], &other).await,
        Reply::Rejected { kind, run_state, .. } if kind == "key_conflict" && run_state == "not_run"
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_clear_refusals() {
    let (cluster, caller) = cluster(false).await;
    let node = cluster.caller_addresses()[0];
    let unknown_model = CallPlan {
        model: "nobody",
        ..plan("x", "p", false)
    };
    let cases = [
        (
            caller.call(node, &unknown_model).await,
            404,
            "unknown_model",
        ),
        (
            caller.call(node, &plan("x", "a b", false)).await,
            400,
            "bad_request",
        ),
        (
            Caller::new("wrong")
                .call(node, &plan("x", "p", false))
                .await,
            401,
            "unauthorized",
        ),
    ];
    for (reply, expected_status, expected_kind) in cases {
        assert_eq!(
            reply,
            Reply::Rejected {
                status: expected_status,
                kind: expected_kind.to_owned(),
                run_state: "not_run".to_owned(),
            }
        );
    }
    let missing = caller.request_program(node, Method::GET, "not-there").await;
    assert_eq!(missing.map(|(status, _)| status), Some(404));
}
