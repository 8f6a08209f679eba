//! Calls through a cluster of real nodes on loopback sockets.

use hyper::Method;
use stageyoke_lab::caller::{CallPlan, Caller, Reply};
use stageyoke_lab::cluster::{ClusterShape, LabCluster};
use stageyoke_lab::demo::with_sample_key;
use stageyoke_lab::standins::engine::EngineTiming;
use stageyoke_lab::standins::text::{PromptMessage, complete_answer};

const CONFIG: &str = include_str!("../../../examples/flood-warning.toml");

async fn start_cluster(tls: bool) -> (LabCluster, Caller) {
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

fn call_plan<'a>(text: &'a str, program: &'a str, stream: bool) -> CallPlan<'a> {
    CallPlan {
        model: "gauge-query",
        text,
        program: Some(program),
        stream,
        ..CallPlan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_through_different_nodes_share_one_history() {
    let (cluster, caller) = start_cluster(true).await;
    let nodes = cluster.caller_addresses();
    let first = caller.call(nodes[0], &call_plan("first", "p", false)).await;
    let second = caller.call(nodes[1], &call_plan("second", "p", true)).await;
    let user = |content| PromptMessage {
        role: "user",
        content,
    };
    let expected_first = complete_answer(&[user("first")], 512);
    assert_eq!(first, Reply::Answer(expected_first.clone()));
    let first_answer = PromptMessage {
        role: "assistant",
        content: &expected_first,
    };
    let expected_second = complete_answer(&[user("first"), first_answer, user("second")], 512);
    assert_eq!(second, Reply::Answer(expected_second));
    let program = caller.request_program(nodes[2], Method::GET, "p").await;
    let (status, body) = program.expect("an answer");
    assert_eq!(
        (status, body["history"].as_array().map(Vec::len)),
        (200, Some(4))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_returns_the_first_answer_and_runs_once() {
    let (cluster, caller) = start_cluster(false).await;
    let nodes = cluster.caller_addresses();
    let keyed = CallPlan {
        key: Some("advisory-7"),
        ..call_plan("issue the advisory", "forecast", false)
    };
    let first = caller.call(nodes[0], &keyed).await;
    let retried = caller.call(nodes[2], &keyed).await;
    assert!(first.answer().is_some());
    assert_eq!(first, retried);
    let runs: usize = cluster
        .engines
        .iter()
        .map(|engine| engine.state.runs().len())
        .sum();
    assert_eq!(runs, 1);
    let conflicting = CallPlan {
        text: "another advisory",
        ..keyed
    };
    assert!(matches!(
        caller.call(nodes[1], &conflicting).await,
        Reply::Rejected { kind, run_state, .. } if kind == "key_conflict" && run_state == "not_run"
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_specific_errors() {
    let (cluster, caller) = start_cluster(false).await;
    let node = cluster.caller_addresses()[0];
    let unknown_model = CallPlan {
        model: "nobody",
        ..call_plan("x", "p", false)
    };
    let cases = [
        (
            caller.call(node, &unknown_model).await,
            404,
            "unknown_model",
        ),
        (
            caller.call(node, &call_plan("x", "a b", false)).await,
            400,
            "bad_request",
        ),
        (
            Caller::new("wrong")
                .call(node, &call_plan("x", "p", false))
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
