//! Scenario of the demonstration for one deployment.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::Method;
use miette::miette;
use stageyoke_config::Configuration;
use stageyoke_config::model::ProgramKind;

use super::checks::{self, History};
use super::programs::{
    CallLog, CallRecord, NodeAddresses, ProgramPlan, RunContext, SEQUENTIAL_PREFIX, run_program,
};
use super::{CheckResult, with_sample_key};
use crate::caller::{CallPlan, Caller, Reply};
use crate::cluster::{ClusterShape, LabCluster};
use crate::standins::engine::{EngineTiming, RunRecord};

/// Number of programs that run at once.
const PROGRAM_COUNT: usize = 24;
const TURNS_PER_PROGRAM: usize = 6;
const TOOL_PAUSE: Duration = Duration::from_millis(350);
/// Time between two failures.
const FAILURE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time limit for engines to release the cache of ended programs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after its report in which a leaving engine may still get new calls.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Index of the node that is killed.
const KILLED_NODE: usize = 1;
const DRAINED_NODE: usize = 2;
const NODE_COUNT: usize = 4;

/// Runs one deployment and returns the results of all checks.
pub async fn run(text: &str, tls: bool) -> miette::Result<Vec<CheckResult>> {
    let shape = ClusterShape {
        nodes: NODE_COUNT,
        durable_nodes: 2,
        engines: 8,
        replicas: 6,
        shards: 32,
        timing: EngineTiming::Modelled(Default::default()),
        tls,
    };
    let mut cluster = LabCluster::start(shape).await?;
    println!(
        "  {NODE_COUNT} nodes, 8 engines, mutual TLS {}",
        if tls { "on" } else { "off" }
    );
    let (text, key) = with_sample_key(&cluster.substitute_addresses(text));
    let version = cluster.apply(&text).await?;
    cluster.wait_for_leaders().await?;
    println!("  configuration {version} in force on every node; every shard has a leader");
    let config = stageyoke_config::check("example", &text)?.config;
    let context = RunContext {
        caller: Caller::new(&key),
        nodes: NodeAddresses::default(),
        log: CallLog::default(),
    };
    refresh_nodes(&cluster, &context);
    let mut results = vec![check_simultaneous_calls(&context, &config).await];
    results.push(check_budget(&context, &config, &cluster).await);
    results.push(check_routes(&context, &config).await);
    let programs = start_programs(&context, &config);
    results.extend(inject_failures(&mut cluster, &context, &text, version).await?);
    for program in programs {
        let _ = program.await;
    }
    println!("  all programs have made their last turn");
    let calls = context.calls();
    let histories = match read_histories(&context, &calls).await {
        Ok(histories) => histories,
        Err(error) => {
            eprintln!("{}", cluster.describe().await);
            return Err(error);
        }
    };
    let runs = all_runs(&cluster);
    results.extend([
        checks::check_call_order(&calls, &histories),
        checks::check_histories_complete(&calls, &histories),
        checks::check_histories_separate(&histories),
        checks::check_answers(&calls, &histories),
        checks::check_at_most_once(&calls, &runs),
        checks::check_not_run_errors(&calls, &runs),
    ]);
    results.push(check_engine_caches(&context, &cluster, &histories).await);
    Ok(results)
}

fn refresh_nodes(cluster: &LabCluster, context: &RunContext) {
    if let Ok(mut nodes) = context.nodes.lock() {
        *nodes = cluster.caller_addresses();
    }
}

fn first_kind(config: &Configuration) -> &ProgramKind {
    &config.programs[0]
}

/// Checks that two simultaneous calls of a program through two nodes both end up in
/// its history.
async fn check_simultaneous_calls(context: &RunContext, config: &Configuration) -> CheckResult {
    let kind = &first_kind(config).name;
    let plan = |text| CallPlan {
        model: kind,
        text,
        program: Some("together"),
        ..CallPlan::default()
    };
    let (left, right) = (plan("together left"), plan("together right"));
    let (first, second) = tokio::join!(
        context.caller.call(context.node(0), &left),
        context.caller.call(context.node(1), &right),
    );
    for (text, reply) in [(left.text, first), (right.text, second)] {
        context.record_call(CallRecord {
            program: "together".to_owned(),
            text: text.to_owned(),
            keyed: false,
            replies: vec![reply],
        });
    }
    let response = context
        .caller
        .request_program(context.node(2), Method::GET, "together")
        .await;
    let entries = response.map_or(0, |(_, body)| {
        body["history"].as_array().map_or(0, Vec::len)
    });
    CheckResult {
        guarantee: "two calls at once, one order",
        held: entries == 4,
        observed: format!("sent through two nodes; the history has {entries} messages"),
    }
}

/// Checks that a looping program is rejected once it has used its call budget.
async fn check_budget(
    context: &RunContext,
    config: &Configuration,
    cluster: &LabCluster,
) -> CheckResult {
    let smallest = config
        .programs
        .iter()
        .filter(|kind| kind.limits.calls > 0)
        .min_by_key(|kind| kind.limits.calls);
    let Some(kind) = smallest else {
        return CheckResult {
            guarantee: "budgets hold",
            held: false,
            observed: "no kind has a limit of calls".to_owned(),
        };
    };
    let limit = kind.limits.calls as usize;
    let calls = (0..limit + 6).map(|number| {
        let context = context.clone();
        let kind = kind.name.clone();
        tokio::spawn(async move {
            let text = format!("loop call {number}");
            let plan = CallPlan {
                model: &kind,
                text: &text,
                program: Some("loop"),
                ..CallPlan::default()
            };
            let reply = context.caller.call(context.node(number), &plan).await;
            context.record_call(CallRecord {
                program: "loop".to_owned(),
                text: text.clone(),
                keyed: false,
                replies: vec![reply.clone()],
            });
            reply
        })
    });
    let mut rejected = 0;
    for call in calls.collect::<Vec<_>>() {
        let reply = call.await.unwrap_or(Reply::Incomplete);
        let is_budget = matches!(&reply, Reply::Rejected { kind, .. } if kind == "budget_exceeded");
        rejected += usize::from(is_budget);
    }
    let runs = all_runs(cluster);
    let executed = runs
        .iter()
        .filter(|run| run.program.ends_with(":loop"))
        .count();
    CheckResult {
        guarantee: "budgets hold",
        held: executed <= limit && rejected >= 6,
        observed: format!(
            "{} calls at once, limit {limit}: {executed} ran, {rejected} refused",
            limit + 6
        ),
    }
}

/// Checks that application requests reach the new and legacy pools as configured.
async fn check_routes(context: &RunContext, config: &Configuration) -> CheckResult {
    let Some(route) = config.routes.first() else {
        return CheckResult {
            guarantee: "application routes",
            held: false,
            observed: "no route".to_owned(),
        };
    };
    let (mut new_pool, mut legacy, mut failed) = (0, 0, 0);
    for number in 0..100 {
        let path = format!("{}/item-{number}", route.prefix);
        match context.caller.get(context.node(number), &path).await {
            Some((200, body)) if body.starts_with("legacy") => legacy += 1,
            Some((200, _)) => new_pool += 1,
            _ => failed += 1,
        }
    }
    let share = route.legacy_percent;
    CheckResult {
        guarantee: "application routes",
        held: failed == 0 && (share == 0) == (legacy == 0),
        observed: format!(
            "100 requests: {new_pool} new, {legacy} legacy (share {share}%), {failed} failed"
        ),
    }
}

fn start_programs(
    context: &RunContext,
    config: &Configuration,
) -> Vec<tokio::task::JoinHandle<()>> {
    let nested = config.programs.iter().find(|kind| kind.limits.depth > 0);
    let mut handles = Vec::new();
    for number in 0..PROGRAM_COUNT {
        let kind = &config.programs[number % config.programs.len()];
        let sub_agent = nested.is_some_and(|nested| nested.name == kind.name);
        let plan = ProgramPlan {
            id: format!("{SEQUENTIAL_PREFIX}{number}"),
            kind: kind.name.clone(),
            turns: TURNS_PER_PROGRAM,
            tool_pause: TOOL_PAUSE,
            keyed: number.is_multiple_of(2),
            sub_agent,
        };
        handles.push(tokio::spawn(run_program(context.clone(), plan)));
    }
    println!("  {PROGRAM_COUNT} programs of {TURNS_PER_PROGRAM} turns started");
    handles
}

/// Injects the failures one after another while the programs run.
async fn inject_failures(
    cluster: &mut LabCluster,
    context: &RunContext,
    text: &str,
    version: u64,
) -> miette::Result<Vec<CheckResult>> {
    let mut results = Vec::new();
    tokio::time::sleep(FAILURE_INTERVAL).await;
    let changed_text = text.replace("ageing_seconds = ", "ageing_seconds = 1");
    cluster.key_value.lose_next_answers(1);
    let accepted = cluster.submit_configuration(&changed_text).await?;
    cluster.key_value.set_down(true);
    println!(
        "  configuration {accepted} accepted, its answer lost; the key-value service is down from here on"
    );
    tokio::time::sleep(FAILURE_INTERVAL).await;
    cluster.kill_node(KILLED_NODE);
    refresh_nodes(cluster, context);
    println!("  node-{KILLED_NODE} killed");
    tokio::time::sleep(FAILURE_INTERVAL).await;
    cluster.start_node(KILLED_NODE).await?;
    refresh_nodes(cluster, context);
    println!("  node-{KILLED_NODE} started again");
    tokio::time::sleep(FAILURE_INTERVAL).await;
    results.push(drain(cluster, context).await);
    cluster.start_node(DRAINED_NODE).await?;
    refresh_nodes(cluster, context);
    println!("  node-{DRAINED_NODE} started again");
    results.push(check_leaving_engine(cluster).await);
    cluster.wait_for_version(accepted).await?;
    results.push(CheckResult {
        guarantee: "configuration in force, never reverts",
        held: accepted > version,
        observed: format!(
            "version {accepted} on every node, also on those restarted during the outage"
        ),
    });
    Ok(results)
}

/// Checks that draining a node lets the requests in flight end.
async fn drain(cluster: &mut LabCluster, context: &RunContext) -> CheckResult {
    let address = cluster.nodes[DRAINED_NODE]
        .running
        .as_ref()
        .map(|node| node.caller_address);
    let Some(address) = address else {
        return CheckResult {
            guarantee: "a planned stop cuts no request",
            held: false,
            observed: "the node was not running".to_owned(),
        };
    };
    if let Ok(mut nodes) = context.nodes.lock() {
        nodes.retain(|node| *node != address);
    }
    let replies = Arc::new(Mutex::new(Vec::new()));
    let mut calls = Vec::new();
    for number in 0..12 {
        let (context, replies) = (context.clone(), replies.clone());
        calls.push(tokio::spawn(async move {
            let text = format!("drained-{number} tokens:40");
            let program = format!("drained-{number}");
            let plan = CallPlan {
                model: "",
                text: &text,
                program: Some(&program),
                stream: true,
                ..CallPlan::default()
            };
            let kinds = context.caller.get(address, "/v1/models").await;
            let kind = kinds
                .and_then(|(_, body)| first_model(&body))
                .unwrap_or_default();
            let plan = CallPlan {
                model: &kind,
                ..plan
            };
            let reply = context.caller.call(address, &plan).await;
            context.record_call(CallRecord {
                program: program.clone(),
                text: text.clone(),
                keyed: false,
                replies: vec![reply.clone()],
            });
            if let Ok(mut replies) = replies.lock() {
                replies.push(reply);
            }
        }));
    }
    tokio::time::sleep(Duration::from_millis(250)).await;
    let started = Instant::now();
    cluster.drain_node(DRAINED_NODE).await;
    let drain_time = started.elapsed();
    println!(
        "  node-{DRAINED_NODE} drained in {:.1} s",
        drain_time.as_secs_f64()
    );
    for call in calls {
        let _ = call.await;
    }
    let replies = replies
        .lock()
        .map(|replies| replies.clone())
        .unwrap_or_default();
    let complete = replies
        .iter()
        .filter(|reply| reply.answer().is_some())
        .count();
    CheckResult {
        guarantee: "a planned stop cuts no request",
        held: complete == 12,
        observed: format!(
            "{complete} of 12 streams whole; stopped after {:.1} s",
            drain_time.as_secs_f64()
        ),
    }
}

fn first_model(body: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(body).ok()?;
    value["data"][0]["id"].as_str().map(str::to_owned)
}

/// Checks that an engine gets no new calls after it reported that it is leaving.
async fn check_leaving_engine(cluster: &LabCluster) -> CheckResult {
    let engine = &cluster.engines[0];
    engine.state.announce_leaving();
    let announced = Instant::now();
    println!("  an engine reported that it leaves");
    tokio::time::sleep(LEAVING_GRACE + FAILURE_INTERVAL).await;
    let runs = engine.state.runs();
    let last_arrival = runs.iter().map(|run| run.arrived_at).max();
    let late = runs
        .iter()
        .filter(|run| run.arrived_at > announced + LEAVING_GRACE)
        .count();
    let seconds = last_arrival.map_or(0.0, |at| {
        at.saturating_duration_since(announced).as_secs_f64()
    });
    CheckResult {
        guarantee: "a leaving back end gets nothing new",
        held: late == 0,
        observed: format!("last new call {seconds:.1} s after its report, {late} after 3 s"),
    }
}

fn all_runs(cluster: &LabCluster) -> Vec<RunRecord> {
    let engines = cluster.engines.iter();
    engines.flat_map(|engine| engine.state.runs()).collect()
}

async fn read_histories(
    context: &RunContext,
    calls: &[CallRecord],
) -> miette::Result<Vec<History>> {
    let mut programs: Vec<&str> = calls.iter().map(|call| call.program.as_str()).collect();
    programs.sort_unstable();
    programs.dedup();
    let mut histories = Vec::new();
    for (number, program) in programs.into_iter().enumerate() {
        let response = context
            .caller
            .request_program(context.node(number), Method::GET, program)
            .await;
        match response {
            Some((200, body)) => histories.push(History::of(program, &body)),
            // A program that was never admitted has no history.
            Some((404, _)) => {}
            other => return Err(miette!("cannot read program {program}: {other:?}")),
        }
    }
    Ok(histories)
}

/// Ends all programs and checks that the engines release their caches in time.
async fn check_engine_caches(
    context: &RunContext,
    cluster: &LabCluster,
    histories: &[History],
) -> CheckResult {
    for (number, history) in histories.iter().enumerate() {
        context
            .caller
            .request_program(context.node(number), Method::DELETE, &history.program)
            .await;
    }
    let count_cached_programs = || -> usize {
        let engines = cluster.engines.iter();
        engines
            .map(|engine| engine.state.cached_programs().len())
            .sum()
    };
    let started = Instant::now();
    while count_cached_programs() > 0 && started.elapsed() < RELEASE_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let still_cached = count_cached_programs();
    CheckResult {
        guarantee: "no engine memory for ended programs",
        held: still_cached == 0,
        observed: format!(
            "{} programs ended; {still_cached} still held after {:.1} s",
            histories.len(),
            started.elapsed().as_secs_f64()
        ),
    }
}
