//! Measures the cost of the path through a node, compared with direct calls to the
//! same stand-in engine in the same run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use miette::{IntoDiagnostic, miette};
use serde::Serialize;
use serde_json::json;
use stageyoke_node::backends::{HttpClient, full_body, http_client};

use crate::caller::{CallPlan, Caller};
use crate::cluster::{ClusterShape, LabCluster};
use crate::demo::with_sample_key;
use crate::process::{cpu_time, resident_bytes};

/// Programs created to measure the memory of an idle program.
const IDLE_PROGRAMS: u64 = 4_000;
/// Calls before the measurements start.
const WARM_UP_CALLS: u64 = 300;
const CONFIG: &str = include_str!("../../../examples/flood-warning.toml");

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Calls per part of the run.
    pub calls: u64,
    /// Calls in flight at once.
    pub concurrency: usize,
    /// Cluster to measure.
    pub shape: ClusterShape,
}

/// Measurements of a run; times in microseconds.
#[derive(Debug, Serialize)]
struct LoadReport {
    direct_p50_us: u64,
    direct_p99_us: u64,
    path_p50_us: u64,
    path_p99_us: u64,
    added_p50_us: u64,
    added_p99_us: u64,
    calls_per_second: f64,
    calls_per_cpu_second: f64,
    throughput_p50_us: u64,
    throughput_p99_us: u64,
    failed: u64,
    bytes_per_idle_program: u64,
    resident_mebibytes: u64,
}

/// Runs the measurements and prints them.
pub async fn run(plan: LoadPlan, as_json: bool) -> miette::Result<()> {
    let cluster = LabCluster::start(plan.shape.clone()).await?;
    let (text, key) = with_sample_key(&cluster.substitute_addresses(CONFIG));
    cluster
        .apply(&text.replace("slots = 32", "slots = 10000"))
        .await?;
    cluster.wait_for_leaders().await?;
    let node = *cluster
        .caller_addresses()
        .first()
        .ok_or_else(|| miette!("no node is running"))?;
    let engine = cluster.engines[0].server.address;
    let caller = Caller::new(&key);
    let direct = DirectClient::new();
    for _ in 0..WARM_UP_CALLS {
        direct.call(engine).await;
        call_node(&caller, node, None).await;
    }
    let (direct_latencies, path_latencies) =
        measure_sequential_calls(&plan, &direct, engine, &caller, node).await?;
    let concurrent = measure_concurrent_calls(&plan, &caller, node).await?;
    let bytes_per_idle_program = measure_idle_program_bytes(&caller, node).await;
    let added = |quantile: f64| {
        let path = path_latencies.value_at_quantile(quantile);
        path.saturating_sub(direct_latencies.value_at_quantile(quantile))
    };
    let report = LoadReport {
        direct_p50_us: direct_latencies.value_at_quantile(0.5),
        direct_p99_us: direct_latencies.value_at_quantile(0.99),
        path_p50_us: path_latencies.value_at_quantile(0.5),
        path_p99_us: path_latencies.value_at_quantile(0.99),
        added_p50_us: added(0.5),
        added_p99_us: added(0.99),
        calls_per_second: concurrent.calls as f64 / concurrent.elapsed.as_secs_f64(),
        calls_per_cpu_second: concurrent.calls as f64
            / concurrent.cpu.as_secs_f64().max(f64::EPSILON),
        throughput_p50_us: concurrent.times.value_at_quantile(0.5),
        throughput_p99_us: concurrent.times.value_at_quantile(0.99),
        failed: concurrent.failed,
        bytes_per_idle_program,
        resident_mebibytes: resident_bytes() >> 20,
    };
    print_report(&report, as_json)
}

fn print_report(report: &LoadReport, as_json: bool) -> miette::Result<()> {
    if as_json {
        println!(
            "{}",
            serde_json::to_string_pretty(report).into_diagnostic()?
        );
        return Ok(());
    }
    println!("one call at a time, µs        p50      p99");
    println!(
        "  direct to the stand-in  {:>8} {:>8}",
        report.direct_p50_us, report.direct_p99_us
    );
    println!(
        "  through a node          {:>8} {:>8}",
        report.path_p50_us, report.path_p99_us
    );
    println!(
        "  added                   {:>8} {:>8}",
        report.added_p50_us, report.added_p99_us
    );
    println!(
        "many at once: {:.0} calls/s through one node, {:.0} a CPU second of the whole process \
         (all nodes, stand-ins and callers), p50 {} µs, p99 {} µs, {} failed",
        report.calls_per_second,
        report.calls_per_cpu_second,
        report.throughput_p50_us,
        report.throughput_p99_us,
        report.failed
    );
    println!(
        "memory: {} bytes for each idle program in the whole process (three replicas), {} MiB resident",
        report.bytes_per_idle_program, report.resident_mebibytes
    );
    Ok(())
}

/// Client that calls an engine directly in the engine protocol.
#[derive(Clone)]
struct DirectClient {
    http: HttpClient,
    count: Arc<AtomicU64>,
}

impl DirectClient {
    fn new() -> Self {
        Self {
            http: http_client(),
            count: Arc::default(),
        }
    }

    async fn call(&self, engine: SocketAddr) -> bool {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let body = json!({
            "model": "forecast",
            "messages": [{ "role": "user", "content": "a short question" }],
            "max_tokens": 256,
            "stream": true,
            "stageyoke": {
                "program": format!("direct:{number}"),
                "call": 1,
                "request": format!("direct-{number}"),
                "attempt": 1,
                "priority": 1,
            },
        });
        let request = Request::post(format!("http://{engine}/v1/chat/completions"))
            .header("content-type", "application/json")
            .body(full_body(body.to_string()));
        let Ok(request) = request else {
            return false;
        };
        let Ok(response) = self.http.request(request).await else {
            return false;
        };
        let ok = response.status() == StatusCode::OK;
        response.into_body().collect().await.is_ok() && ok
    }
}

async fn call_node(caller: &Caller, node: SocketAddr, program: Option<&str>) -> bool {
    let plan = CallPlan {
        model: "gauge-query",
        text: "a short question",
        program,
        stream: true,
        ..CallPlan::default()
    };
    caller.call(node, &plan).await.answer().is_some()
}

fn histogram() -> miette::Result<Histogram<u64>> {
    Histogram::new(3).into_diagnostic()
}

/// Measures one call at a time, alternating between direct calls and calls through
/// a node, so that both run under the same conditions.
async fn measure_sequential_calls(
    plan: &LoadPlan,
    direct: &DirectClient,
    engine: SocketAddr,
    caller: &Caller,
    node: SocketAddr,
) -> miette::Result<(Histogram<u64>, Histogram<u64>)> {
    let (mut direct_latencies, mut path_latencies) = (histogram()?, histogram()?);
    for _ in 0..plan.calls {
        let started = Instant::now();
        direct.call(engine).await;
        record(&mut direct_latencies, started.elapsed())?;
        let started = Instant::now();
        call_node(caller, node, None).await;
        record(&mut path_latencies, started.elapsed())?;
    }
    Ok((direct_latencies, path_latencies))
}

fn record(times: &mut Histogram<u64>, elapsed: Duration) -> miette::Result<()> {
    times.record(elapsed.as_micros() as u64).into_diagnostic()
}

struct ConcurrentCalls {
    calls: u64,
    failed: u64,
    elapsed: Duration,
    cpu: Duration,
    times: Histogram<u64>,
}

async fn measure_concurrent_calls(
    plan: &LoadPlan,
    caller: &Caller,
    node: SocketAddr,
) -> miette::Result<ConcurrentCalls> {
    let remaining = Arc::new(AtomicU64::new(plan.calls * 4));
    let (started, cpu) = (Instant::now(), cpu_time());
    let mut workers = Vec::new();
    for _ in 0..plan.concurrency {
        let (remaining, caller) = (remaining.clone(), caller.clone());
        workers.push(tokio::spawn(async move {
            let mut times = Vec::new();
            let mut failed = 0_u64;
            let claim_call = |remaining: &AtomicU64| {
                let claimed =
                    remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                        count.checked_sub(1)
                    });
                claimed.is_ok()
            };
            while claim_call(&remaining) {
                let call_started = Instant::now();
                failed += u64::from(!call_node(&caller, node, None).await);
                times.push(call_started.elapsed());
            }
            (times, failed)
        }));
    }
    let (mut times, mut failed) = (histogram()?, 0);
    for worker in workers {
        let (worker_times, worker_failed) = worker.await.into_diagnostic()?;
        failed += worker_failed;
        for time in worker_times {
            record(&mut times, time)?;
        }
    }
    Ok(ConcurrentCalls {
        calls: plan.calls * 4,
        failed,
        elapsed: started.elapsed(),
        cpu: cpu_time().saturating_sub(cpu),
        times,
    })
}

/// Measures the memory that an idle program takes in the whole process, in bytes.
async fn measure_idle_program_bytes(caller: &Caller, node: SocketAddr) -> u64 {
    let before = resident_bytes();
    for number in 0..IDLE_PROGRAMS {
        let program = format!("idle-{number}");
        call_node(caller, node, Some(&program)).await;
    }
    resident_bytes().saturating_sub(before) / IDLE_PROGRAMS
}
