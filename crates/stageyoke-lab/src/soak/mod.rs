//! Runs the real programs as separate processes on loopback, with or without random faults,
//! and checks every promise as seen by callers and replicas.

pub mod addresses;
pub mod changes;
pub mod connections;
pub mod contracts;
pub mod deadly_requests;
pub mod deployment;
pub mod disk_stalls;
pub mod disturbances;
pub mod endless_answers;
pub mod faults;
pub mod keys;
pub mod large_turns;
pub mod losses;
pub mod open_loop;
pub mod overlaps;
pub mod processes;
pub mod promises;
pub mod proxy;
pub mod replicas;
pub mod returning_programs;
pub mod shape;
pub mod shares;
pub mod slopes;
pub mod slow_transfers;
pub mod surplus_answers;
pub mod upgrade;
pub mod versions;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::standins::platform::RETENTION_SECONDS;
use crate::standins::platform::caller::{Caller, StoredTurn};
use crate::standins::platform::resumable::ResumingCaller;
use crate::standins::platform::tenants::configuration_with_tenants;
use deployment::{Deployment, DeploymentOptions};
use faults::{FAULTS, Fault, recovery_time};
use keys::TenantProbe;
use promises::{Counts, Promises};
use shape::DeploymentShape;
use shares::{Window, windows_between};
use upgrade::Upgrade;

/// Minimum number of concurrent callers; larger deployments have one for each front.
const CALLERS: u64 = 8;
/// Number of concurrent callers of resumable streams.
const RESUMING_CALLERS: u64 = 4;
/// Number of programs that return late, in runs of at least this duration.
const RETURNING_PROGRAMS: u64 = 12;
const MIN_RETURN_DURATION: Duration = Duration::from_secs(2 * RETENTION_SECONDS);
const TURNS: u32 = 4;
/// Time in which a stored turn must be continued at the end of a run, from its first request
/// on.
const CONTINUATION_TIMEOUT: Duration = Duration::from_secs(12);
/// Time in which the continuation of all stored turns is started.
const CONTINUATION_START_TIMEOUT: Duration = Duration::from_secs(90);
/// Time from the first start of the processes until requests must be served.
const LEAD_TIME: Duration = Duration::from_secs(10);
/// Interval at which a run without faults checks whether it is over.
const CALM_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Budget that is never exhausted, for the turns after the end.
const UNLIMITED_BUDGET: u32 = 1_000_000;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Path of the program.
    pub program: PathBuf,
    /// Another build, which runs first; machines are upgraded from it one after the other.
    pub upgrade_from: Option<PathBuf>,
    /// Seed of callers and faults.
    pub seed: u64,
    /// Duration of the run.
    pub duration: Duration,
    /// Kinds of fault to draw from; empty for a run without faults.
    pub faults: Vec<Fault>,
    /// Shape of the deployment.
    pub shape: DeploymentShape,
    /// Optional contracts of the deployment.
    pub contracts: Vec<String>,
    /// Time that is added to each sync of the stores during the whole run.
    pub sync_time: Duration,
}

/// A seed that has shown a breach.
#[derive(Clone, Copy, Debug)]
pub struct RegressionCase {
    /// The seed.
    pub seed: u64,
    /// Kinds of fault to draw from.
    pub faults: &'static [Fault],
    /// Cause of the breach.
    pub cause: &'static str,
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Observations that violate a promise.
    pub breaches: Vec<String>,
    /// Counts of requests and their results.
    pub counts: Counts,
    /// Injected faults in order, each with its time in seconds from the start.
    pub faults: Vec<String>,
    /// Table of the shares of requests that were served, by second.
    pub shares: String,
    /// Number of processes that ran long enough for their resource slopes to be checked.
    pub judged_processes: usize,
    /// Directory with settings, data and logs, kept after a breach.
    pub folder: Option<PathBuf>,
}

/// Prefix of [`FAULTS`] that the oldest cases draw from; other kinds would change their runs.
const OLDEST_CASE_FAULTS: &[Fault] = FAULTS.split_at(12).0;
const SLOW_TRANSFER_FAULTS: &[Fault] = &[
    Fault::SlowTransfers,
    Fault::Reconfigure,
    Fault::ReplaceReplicas,
];
const SLOW_TRANSFER_CAUSE: &str =
    "transfers that exceeded the answer timeout were restarted, so the directory became stale";

/// Seeds that have shown a breach.
pub const REGRESSION_CASES: [RegressionCase; 6] = [
    RegressionCase {
        seed: 3_967_300_783,
        faults: OLDEST_CASE_FAULTS,
        cause: "all processes killed at the first start, before the disks were marked: no group was formed",
    },
    RegressionCase {
        seed: 3_548_155_731,
        faults: OLDEST_CASE_FAULTS,
        cause: "the same cause, followed by the kill of a front",
    },
    RegressionCase {
        seed: 7001,
        faults: SLOW_TRANSFER_FAULTS,
        cause: SLOW_TRANSFER_CAUSE,
    },
    RegressionCase {
        seed: 7002,
        faults: SLOW_TRANSFER_FAULTS,
        cause: SLOW_TRANSFER_CAUSE,
    },
    RegressionCase {
        seed: 7004,
        faults: SLOW_TRANSFER_FAULTS,
        cause: SLOW_TRANSFER_CAUSE,
    },
    RegressionCase {
        seed: 12_043,
        faults: FAULTS.split_at(29).0,
        cause: "streams that began before the store groups were formed were judged",
    },
];

/// Runs a deployment as planned and checks all promises.
pub async fn run(plan: &SoakPlan) -> std::io::Result<SoakReport> {
    let first_program = plan.upgrade_from.as_ref().unwrap_or(&plan.program);
    let options = DeploymentOptions {
        shape: plan.shape,
        contracts: plan.contracts.clone(),
        configuration: configuration_with_tenants,
    };
    let mut deployment = Deployment::start_with_options(first_program, options).await?;
    let started_at = Instant::now();
    deployment.promises.shares.start(started_at);
    let until = started_at + plan.duration;
    deployment.ends_at = until;
    let mut callers = JoinSet::new();
    for number in 0..CALLERS.max(plan.shape.size.fronts as u64) {
        let caller = caller(&deployment, plan.seed ^ (number + 1));
        callers.spawn(run_programs_until(caller, until));
    }
    let mut resuming_callers = JoinSet::new();
    let kills_fronts = plan.faults.contains(&Fault::KillFrontsBesideVersions);
    if kills_fronts || plan.faults.contains(&Fault::ReplaceVersions) {
        for number in 0..RESUMING_CALLERS {
            let resuming = ResumingCaller {
                fronts: deployment.fronts.clone(),
                promises: deployment.promises.clone(),
                random: ChaCha8Rng::seed_from_u64(plan.seed ^ (number + 10_000)),
                judged_from: started_at + LEAD_TIME,
                names_beginning: !kills_fronts || number % 2 == 0,
            };
            resuming_callers.spawn(resuming.run_until(until));
        }
    }
    let mut returning = JoinSet::new();
    if plan.duration >= MIN_RETURN_DURATION {
        for number in 0..RETURNING_PROGRAMS {
            let caller = caller(&deployment, plan.seed ^ (number + 20_000));
            let promises = deployment.promises.clone();
            returning.spawn(returning_programs::run_until(caller, promises, until));
        }
    }
    let change_probe = tokio::spawn(changes::probe_fronts(
        deployment.fronts.clone(),
        deployment.versions.clone(),
        deployment.promises.clone(),
    ));
    let tenant_probe = TenantProbe {
        fronts: deployment.fronts.clone(),
        versions: deployment.versions.clone(),
        promises: deployment.promises.clone(),
    };
    let key_probe = tokio::spawn(tenant_probe.clone().probe_keys());
    let limit_probe = tokio::spawn(tenant_probe.probe_rate_limit());
    let sampling = tokio::spawn(deployment.monitor.clone().sample_periodically());
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut faults = Vec::new();
    let mut windows = Vec::new();
    let mut without_responses = Vec::new();
    let mut upgrade = plan.upgrade_from.clone().map(|first| {
        let processes = plan.shape.size.processes();
        Upgrade::plan(first, plan.program.clone(), processes, &mut random)
    });
    while Instant::now() < until {
        if let Some(upgrade) = &mut upgrade
            && let Some(upgraded) = deployment.upgrade_next_machine(upgrade, &mut random).await
        {
            let at = started_at.elapsed().as_secs_f64();
            faults.push(format!("{at:.1} {upgraded}"));
        }
        if plan.faults.is_empty() {
            tokio::time::sleep(CALM_POLL_INTERVAL).await;
            continue;
        }
        let from = started_at.elapsed();
        let fault = deployment.inject_fault(&mut random, &plan.faults).await;
        let until = started_at.elapsed();
        faults.push(format!("{:.1} {fault}", until.as_secs_f64()));
        let name = format!(
            "{:.1} to {:.1} s, {fault}",
            from.as_secs_f64(),
            until.as_secs_f64()
        );
        if fault.stops_responses {
            without_responses.push(Window {
                name: name.clone(),
                from,
                until: until + recovery_time(fault.fault),
            });
        }
        if !fault.fault.stops_everything() && from >= LEAD_TIME {
            windows.push(Window { name, from, until });
        }
    }
    if upgrade
        .as_ref()
        .is_some_and(|upgrade| !upgrade.is_complete())
    {
        let breach = "the run ended before all machines were upgraded".to_owned();
        deployment.promises.report_breach(breach);
    }
    let mut stored_turns = Vec::new();
    while let Some(turns) = callers.join_next().await {
        stored_turns.extend(turns.unwrap_or_default());
    }
    while resuming_callers.join_next().await.is_some() {}
    while returning.join_next().await.is_some() {}
    for window in &windows {
        for shortfall in deployment.promises.shares.shortfalls(window) {
            deployment.promises.report_breach(shortfall);
        }
    }
    for window in windows_between(&without_responses, LEAD_TIME, plan.duration) {
        for stall in deployment.promises.shares.stalled_seconds(&window) {
            deployment.promises.report_breach(stall);
        }
    }
    let shares = deployment.promises.shares.table();
    if stored_turns.is_empty() {
        let breach = "no program ran to its end".to_owned();
        deployment.promises.report_breach(breach);
    }
    for task in [&change_probe, &key_probe, &limit_probe] {
        task.abort();
    }
    sampling.abort();
    continue_stored_turns(&deployment, plan.seed, stored_turns).await;
    deployment.check_memory();
    let judged_processes = deployment.check_slopes();
    let (breaches, counts) = deployment.promises.evaluate();
    let folder = (!breaches.is_empty()).then(|| deployment.keep_folder());
    Ok(SoakReport {
        breaches,
        counts,
        faults,
        shares,
        judged_processes,
        folder,
    })
}

fn caller(deployment: &Deployment, seed: u64) -> Caller {
    Caller::new(
        deployment.fronts.clone(),
        deployment.promises.clone(),
        ChaCha8Rng::seed_from_u64(seed),
    )
}

async fn run_programs_until(mut caller: Caller, until: Instant) -> Vec<StoredTurn> {
    let mut stored_turns = Vec::new();
    while Instant::now() < until {
        stored_turns.extend(caller.run_program(TURNS, until).await);
    }
    stored_turns
}

/// Checks after all faults that every turn within its retention can be continued, the newest
/// first. Each turn has its own deadline from its first request on; a turn that is not
/// requested is reported as such.
async fn continue_stored_turns(
    deployment: &Deployment,
    seed: u64,
    mut stored_turns: Vec<StoredTurn>,
) {
    let start_deadline = Instant::now() + CONTINUATION_START_TIMEOUT;
    stored_turns.sort_by_key(|turn| std::cmp::Reverse(turn.answered_at));
    let mut callers = JoinSet::new();
    for (number, turn) in stored_turns.into_iter().enumerate() {
        let mut caller = caller(deployment, seed ^ (number as u64 + 1_000));
        let promises: Arc<Promises> = deployment.promises.clone();
        if Instant::now() > start_deadline {
            promises.report_breach(format!(
                "{} was not requested: no time was left",
                turn.request_id
            ));
            continue;
        }
        let expires_at = turn.answered_at + Duration::from_secs(RETENTION_SECONDS);
        if Instant::now() + CONTINUATION_TIMEOUT > expires_at {
            promises.record_expired_turn();
            continue;
        }
        let until = Instant::now() + CONTINUATION_TIMEOUT;
        callers.spawn(async move {
            let program = format!("after-{number}");
            let mut given = 0;
            let next = caller.run_turn(&program, UNLIMITED_BUDGET, Some(&turn), &mut given, until);
            if next.await.is_none() {
                promises.report_breach(format!(
                    "{} could not be continued at the end of the run",
                    turn.request_id
                ));
            }
        });
        // Limits concurrency; the final check is not a load test.
        while callers.len() >= CALLERS as usize * 2 {
            callers.join_next().await;
        }
    }
    while callers.join_next().await.is_some() {}
}

/// Returns the default path of the program: beside this executable.
pub fn default_program_path(executable: &Path) -> PathBuf {
    executable.with_file_name("stageyoke-serve")
}
