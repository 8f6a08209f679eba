//! Measures what the path through a node costs, against direct calls to the
//! same stand-in in the same run.

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

/// Programs made to measure the memory of an idle one.
const IDLE_PROGRAMS: u64 = 4_000;
/// Calls before anything is measured.
const WARM_UP: u64 = 300;
const CONFIG: &str = include_str!("../../../examples/flood-warning.toml");

/// What to run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Calls in each part.
    pub calls: u64,
    /// Calls under way at once.
    pub concurrency: usize,
    /// Cluster.
    pub shape: ClusterShape,
}

/// What was measured.
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

/// Runs the measurement and prints it.
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
        .ok_or_else(|| miette!("no node runs"))?;
    let engine = cluster.engines[0].server.address;
    let caller = Caller::new(&key);
    let direct = Direct::new();
    for _ in 0..WARM_UP {
        direct.call(engine).await;
        one_call(&caller, node, None).await;
    }
    let (direct_times, path_times) = one_by_one(&plan, &direct, engine, &caller, node).await?;
    let busy = many_at_once(&plan, &caller, node).await?;
    let bytes_per_idle_program = idle_programs(&caller, node).await;
    let added = |quantile: f64| {
        let path = path_times.value_at_quantile(quantile);
        path.saturating_sub(direct_times.value_at_quantile(quantile))
    };
    let report = LoadReport {
        direct_p50_us: direct_times.value_at_quantile(0.5),
        direct_p99_us: direct_times.value_at_quantile(0.99),
        path_p50_us: path_times.value_at_quantile(0.5),
        path_p99_us: path_times.value_at_quantile(0.99),
        added_p50_us: added(0.5),
        added_p99_us: added(0.99),
        calls_per_second: busy.calls as f64 / busy.elapsed.as_secs_f64(),
        calls_per_cpu_second: busy.calls as f64 / busy.cpu.as_secs_f64().max(f64::EPSILON),
        throughput_p50_us: busy.times.value_at_quantile(0.5),
        throughput_p99_us: busy.times.value_at_quantile(0.99),
        failed: busy.failed,
        bytes_per_idle_program,
        resident_mebibytes: resident_bytes() >> 20,
    };
    print(&report, as_json)
}

fn print(report: &LoadReport, as_json: bool) -> miette::Result<()> {
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

/// Calls straight to an engine, in its own protocol.
#[derive(Clone)]
struct Direct {
    http: HttpClient,
    count: Arc<AtomicU64>,
}

impl Direct {
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

async fn one_call(caller: &Caller, node: SocketAddr, program: Option<&str>) -> bool {
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

/// One call at a time, in turn straight and through a node, so that both see
/// the same machine.
async fn one_by_one(
    plan: &LoadPlan,
    direct: &Direct,
    engine: SocketAddr,
    caller: &Caller,
    node: SocketAddr,
) -> miette::Result<(Histogram<u64>, Histogram<u64>)> {
    let (mut direct_times, mut path_times) = (histogram()?, histogram()?);
    for _ in 0..plan.calls {
        let started = Instant::now();
        direct.call(engine).await;
        record(&mut direct_times, started.elapsed())?;
        let started = Instant::now();
        one_call(caller, node, None).await;
        record(&mut path_times, started.elapsed())?;
    }
    Ok((direct_times, path_times))
}

fn record(times: &mut Histogram<u64>, elapsed: Duration) -> miette::Result<()> {
    times.record(elapsed.as_micros() as u64).into_diagnostic()
}

struct Busy {
    calls: u64,
    failed: u64,
    elapsed: Duration,
    cpu: Duration,
    times: Histogram<u64>,
}

async fn many_at_once(plan: &LoadPlan, caller: &Caller, node: SocketAddr) -> miette::Result<Busy> {
    let left = Arc::new(AtomicU64::new(plan.calls * 4));
    let (started, cpu) = (Instant::now(), cpu_time());
    let mut workers = Vec::new();
    for _ in 0..plan.concurrency {
        let (left, caller) = (left.clone(), caller.clone());
        workers.push(tokio::spawn(async move {
            let mut times = Vec::new();
            let mut failed = 0_u64;
            let takes_one = |left: &AtomicU64| {
                let taken = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                    count.checked_sub(1)
                });
                taken.is_ok()
            };
            while takes_one(&left) {
                let begun = Instant::now();
                failed += u64::from(!one_call(&caller, node, None).await);
                times.push(begun.elapsed());
            }
            (times, failed)
        }));
    }
    let (mut times, mut failed) = (histogram()?, 0);
    for worker in workers {
        let (own_times, own_failed) = worker.await.into_diagnostic()?;
        failed += own_failed;
        for time in own_times {
            record(&mut times, time)?;
        }
    }
    Ok(Busy {
        calls: plan.calls * 4,
        failed,
        elapsed: started.elapsed(),
        cpu: cpu_time().saturating_sub(cpu),
        times,
    })
}

/// Memory that each program takes between its calls, over the whole process.
async fn idle_programs(caller: &Caller, node: SocketAddr) -> u64 {
    let before = resident_bytes();
    for number in 0..IDLE_PROGRAMS {
        let program = format!("idle-{number}");
        one_call(caller, node, Some(&program)).await;
    }
    resident_bytes().saturating_sub(before) / IDLE_PROGRAMS
}
