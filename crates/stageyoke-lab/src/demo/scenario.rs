//! The course of the demonstration for one deployment.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::Method;
use miette::miette;
use stageyoke_config::Configuration;
use stageyoke_config::model::ProgramKind;

use super::checks::{self, History};
use super::programs::{Log, Nodes, ProgramPlan, SEQUENTIAL_PREFIX, Seen, World, play};
use super::{Row, with_sample_key};
use crate::caller::{CallPlan, Caller, Reply};
use crate::cluster::{ClusterShape, LabCluster};
use crate::standins::engine::{EngineTiming, RunRecord};

/// Programs that run at once.
const PROGRAMS: usize = 24;
const TURNS: usize = 6;
const TOOL_PAUSE: Duration = Duration::from_millis(350);
/// Time between the failures.
const STAGE: Duration = Duration::from_millis(2_500);
/// Longest time for engines to be rid of ended programs.
const RELEASE_PATIENCE: Duration = Duration::from_secs(15);
/// Time after which a leaving engine must get nothing new.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Node that is killed, node that drains.
const KILLED: usize = 1;
const DRAINED: usize = 2;
const NODES: usize = 4;

/// Runs one deployment and gives the table's rows.
pub async fn run(text: &str, tls: bool) -> miette::Result<Vec<Row>> {
    let shape = ClusterShape {
        nodes: NODES,
        durable_nodes: 2,
        engines: 8,
        replicas: 6,
        shards: 32,
        timing: EngineTiming::Modelled(Default::default()),
        tls,
    };
    let mut cluster = LabCluster::start(shape).await?;
    println!(
        "  {NODES} nodes, 8 engines, mutual TLS {}",
        if tls { "on" } else { "off" }
    );
    let (text, key) = with_sample_key(&cluster.substitute_addresses(text));
    let version = cluster.apply(&text).await?;
    cluster.wait_for_leaders().await?;
    println!("  configuration {version} in force on every node; every shard has a leader");
    let config = stageyoke_config::check("example", &text)?.config;
    let world = World {
        caller: Caller::new(&key),
        nodes: Nodes::default(),
        log: Log::default(),
    };
    refresh_nodes(&cluster, &world);
    let mut rows = vec![simultaneous_calls(&world, &config).await];
    rows.push(budget(&world, &config, &cluster).await);
    rows.push(routes(&world, &config).await);
    let programs = start_programs(&world, &config);
    rows.extend(failures(&mut cluster, &world, &text, version).await?);
    for program in programs {
        let _ = program.await;
    }
    println!("  all programs have made their last turn");
    let seen = world.seen();
    let histories = match read_histories(&world, &seen).await {
        Ok(histories) => histories,
        Err(error) => {
            eprintln!("{}", cluster.describe().await);
            return Err(error);
        }
    };
    let runs = all_runs(&cluster);
    rows.extend([
        checks::order(&seen, &histories),
        checks::history(&seen, &histories),
        checks::unmixed(&histories),
        checks::whole_answers(&seen, &histories),
        checks::at_most_once(&seen, &runs),
        checks::not_run(&seen, &runs),
    ]);
    rows.push(engine_memory(&world, &cluster, &histories).await);
    Ok(rows)
}

fn refresh_nodes(cluster: &LabCluster, world: &World) {
    if let Ok(mut nodes) = world.nodes.lock() {
        *nodes = cluster.caller_addresses();
    }
}

fn first_kind(config: &Configuration) -> &ProgramKind {
    &config.programs[0]
}

/// Two calls of one program at once through two nodes.
async fn simultaneous_calls(world: &World, config: &Configuration) -> Row {
    let kind = &first_kind(config).name;
    let plan = |text| CallPlan {
        model: kind,
        text,
        program: Some("together"),
        ..CallPlan::default()
    };
    let (left, right) = (plan("together left"), plan("together right"));
    let (first, second) = tokio::join!(
        world.caller.call(world.node(0), &left),
        world.caller.call(world.node(1), &right),
    );
    for (text, reply) in [(left.text, first), (right.text, second)] {
        world.note(Seen {
            program: "together".to_owned(),
            text: text.to_owned(),
            keyed: false,
            replies: vec![reply],
        });
    }
    let shown = world
        .caller
        .request_program(world.node(2), Method::GET, "together")
        .await;
    let entries = shown.map_or(0, |(_, body)| {
        body["history"].as_array().map_or(0, Vec::len)
    });
    Row {
        promise: "two calls at once, one order",
        held: entries == 4,
        seen: format!("sent through two nodes; the history has {entries} messages"),
    }
}

/// A program that loops meets its limit and is told which.
async fn budget(world: &World, config: &Configuration, cluster: &LabCluster) -> Row {
    let smallest = config
        .programs
        .iter()
        .filter(|kind| kind.limits.calls > 0)
        .min_by_key(|kind| kind.limits.calls);
    let Some(kind) = smallest else {
        return Row {
            promise: "budgets hold",
            held: false,
            seen: "no kind has a limit of calls".to_owned(),
        };
    };
    let limit = kind.limits.calls as usize;
    let calls = (0..limit + 6).map(|number| {
        let world = world.clone();
        let kind = kind.name.clone();
        tokio::spawn(async move {
            let text = format!("loop call {number}");
            let plan = CallPlan {
                model: &kind,
                text: &text,
                program: Some("loop"),
                ..CallPlan::default()
            };
            let reply = world.caller.call(world.node(number), &plan).await;
            world.note(Seen {
                program: "loop".to_owned(),
                text: text.clone(),
                keyed: false,
                replies: vec![reply.clone()],
            });
            reply
        })
    });
    let mut refused = 0;
    for call in calls.collect::<Vec<_>>() {
        let reply = call.await.unwrap_or(Reply::Incomplete);
        let is_budget = matches!(&reply, Reply::Rejected { kind, .. } if kind == "budget_exceeded");
        refused += usize::from(is_budget);
    }
    let runs = all_runs(cluster);
    let ran = runs
        .iter()
        .filter(|run| run.program.ends_with(":loop"))
        .count();
    Row {
        promise: "budgets hold",
        held: ran <= limit && refused >= 6,
        seen: format!(
            "{} calls at once, limit {limit}: {ran} ran, {refused} refused",
            limit + 6
        ),
    }
}

/// Requests passed through to application replicas.
async fn routes(world: &World, config: &Configuration) -> Row {
    let Some(route) = config.routes.first() else {
        return Row {
            promise: "application routes",
            held: false,
            seen: "no route".to_owned(),
        };
    };
    let (mut fresh, mut legacy, mut failed) = (0, 0, 0);
    for number in 0..100 {
        let path = format!("{}/item-{number}", route.prefix);
        match world.caller.get(world.node(number), &path).await {
            Some((200, body)) if body.starts_with("legacy") => legacy += 1,
            Some((200, _)) => fresh += 1,
            _ => failed += 1,
        }
    }
    let share = route.legacy_percent;
    Row {
        promise: "application routes",
        held: failed == 0 && (share == 0) == (legacy == 0),
        seen: format!(
            "100 requests: {fresh} new, {legacy} legacy (share {share}%), {failed} failed"
        ),
    }
}

fn start_programs(world: &World, config: &Configuration) -> Vec<tokio::task::JoinHandle<()>> {
    let nested = config.programs.iter().find(|kind| kind.limits.depth > 0);
    let mut handles = Vec::new();
    for number in 0..PROGRAMS {
        let kind = &config.programs[number % config.programs.len()];
        let sub_agent = nested.is_some_and(|nested| nested.name == kind.name);
        let plan = ProgramPlan {
            id: format!("{SEQUENTIAL_PREFIX}{number}"),
            kind: kind.name.clone(),
            turns: TURNS,
            tool_pause: TOOL_PAUSE,
            keyed: number.is_multiple_of(2),
            sub_agent,
        };
        handles.push(tokio::spawn(play(world.clone(), plan)));
    }
    println!("  {PROGRAMS} programs of {TURNS} turns started");
    handles
}

/// The failures, one after another, while the programs run.
async fn failures(
    cluster: &mut LabCluster,
    world: &World,
    text: &str,
    version: u64,
) -> miette::Result<Vec<Row>> {
    let mut rows = Vec::new();
    tokio::time::sleep(STAGE).await;
    let changed = text.replace("ageing_seconds = ", "ageing_seconds = 1");
    cluster.key_value.lose_answers(1);
    let accepted = cluster.submit_configuration(&changed).await?;
    cluster.key_value.set_down(true);
    println!(
        "  configuration {accepted} accepted, its answer lost; the key-value service is down from here on"
    );
    tokio::time::sleep(STAGE).await;
    cluster.kill_node(KILLED);
    refresh_nodes(cluster, world);
    println!("  node-{KILLED} killed");
    tokio::time::sleep(STAGE).await;
    cluster.start_node(KILLED).await?;
    refresh_nodes(cluster, world);
    println!("  node-{KILLED} started again");
    tokio::time::sleep(STAGE).await;
    rows.push(drain(cluster, world).await);
    cluster.start_node(DRAINED).await?;
    refresh_nodes(cluster, world);
    println!("  node-{DRAINED} started again");
    rows.push(leaving_engine(cluster).await);
    cluster.wait_for_version(accepted).await?;
    rows.push(Row {
        promise: "configuration in force, never reverts",
        held: accepted > version,
        seen: format!(
            "version {accepted} on every node, also on those restarted during the outage"
        ),
    });
    Ok(rows)
}

/// A planned stop while its callers' requests are under way.
async fn drain(cluster: &mut LabCluster, world: &World) -> Row {
    let address = cluster.nodes[DRAINED]
        .running
        .as_ref()
        .map(|node| node.caller_address);
    let Some(address) = address else {
        return Row {
            promise: "a planned stop cuts no request",
            held: false,
            seen: "the node was not running".to_owned(),
        };
    };
    if let Ok(mut nodes) = world.nodes.lock() {
        nodes.retain(|node| *node != address);
    }
    let replies = Arc::new(Mutex::new(Vec::new()));
    let mut calls = Vec::new();
    for number in 0..12 {
        let (world, replies) = (world.clone(), replies.clone());
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
            let kinds = world.caller.get(address, "/v1/models").await;
            let kind = kinds
                .and_then(|(_, body)| first_model(&body))
                .unwrap_or_default();
            let plan = CallPlan {
                model: &kind,
                ..plan
            };
            let reply = world.caller.call(address, &plan).await;
            world.note(Seen {
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
    cluster.drain_node(DRAINED).await;
    let took = started.elapsed();
    println!("  node-{DRAINED} drained in {:.1} s", took.as_secs_f64());
    for call in calls {
        let _ = call.await;
    }
    let replies = replies
        .lock()
        .map(|replies| replies.clone())
        .unwrap_or_default();
    let whole = replies
        .iter()
        .filter(|reply| reply.answer().is_some())
        .count();
    Row {
        promise: "a planned stop cuts no request",
        held: whole == 12,
        seen: format!(
            "{whole} of 12 streams whole; stopped after {:.1} s",
            took.as_secs_f64()
        ),
    }
}

fn first_model(body: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(body).ok()?;
    value["data"][0]["id"].as_str().map(str::to_owned)
}

/// An engine reports that it leaves.
async fn leaving_engine(cluster: &LabCluster) -> Row {
    let engine = &cluster.engines[0];
    engine.state.announce_leaving();
    let announced = Instant::now();
    println!("  an engine reported that it leaves");
    tokio::time::sleep(LEAVING_GRACE + STAGE).await;
    let runs = engine.state.runs();
    let last = runs.iter().map(|run| run.at).max();
    let late = runs
        .iter()
        .filter(|run| run.at > announced + LEAVING_GRACE)
        .count();
    let after = last.map_or(0.0, |at| {
        at.saturating_duration_since(announced).as_secs_f64()
    });
    Row {
        promise: "a leaving back end gets nothing new",
        held: late == 0,
        seen: format!("last new call {after:.1} s after its report, {late} after 3 s"),
    }
}

fn all_runs(cluster: &LabCluster) -> Vec<RunRecord> {
    let engines = cluster.engines.iter();
    engines.flat_map(|engine| engine.state.runs()).collect()
}

async fn read_histories(world: &World, seen: &[Seen]) -> miette::Result<Vec<History>> {
    let mut programs: Vec<&str> = seen.iter().map(|call| call.program.as_str()).collect();
    programs.sort_unstable();
    programs.dedup();
    let mut histories = Vec::new();
    for (number, program) in programs.into_iter().enumerate() {
        let shown = world
            .caller
            .request_program(world.node(number), Method::GET, program)
            .await;
        match shown {
            Some((200, body)) => histories.push(History::of(program, &body)),
            // A program that was never admitted has no history.
            Some((404, _)) => {}
            other => return Err(miette!("{program} cannot be read: {other:?}")),
        }
    }
    Ok(histories)
}

/// All programs are ended; soon no engine holds anything for them.
async fn engine_memory(world: &World, cluster: &LabCluster, histories: &[History]) -> Row {
    for (number, history) in histories.iter().enumerate() {
        world
            .caller
            .request_program(world.node(number), Method::DELETE, &history.program)
            .await;
    }
    let held = || -> usize {
        let engines = cluster.engines.iter();
        engines
            .map(|engine| engine.state.cached_programs().len())
            .sum()
    };
    let started = Instant::now();
    while held() > 0 && started.elapsed() < RELEASE_PATIENCE {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let rest = held();
    Row {
        promise: "no engine memory for ended programs",
        held: rest == 0,
        seen: format!(
            "{} programs ended; {rest} still held after {:.1} s",
            histories.len(),
            started.elapsed().as_secs_f64()
        ),
    }
}
