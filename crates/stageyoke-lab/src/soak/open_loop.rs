//! A run with open-loop load on a large deployment: programs of several kinds, zones and
//! tenants start at a given rate whether or not earlier ones have ended.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::changes;
use super::deployment::{Deployment, DeploymentOptions};
use super::faults::recovery_time;
use super::keys::TenantProbe;
use super::shares::{ServedShares, Window, windows_between};
use super::{SoakPlan, SoakReport};
use crate::standins::platform::entry::{Entry, FrontAddresses};
use crate::standins::platform::programs::{EVENTS_PER_TURN, OpenLoopLoad, PROGRAM_RATES};
use crate::standins::platform::tenants::configuration_for_programs;

/// Time from the start of the processes to that of the load.
const LEAD_TIME: Duration = Duration::from_secs(14);
/// Time after a fault that is reported apart from the rest of the run.
const AFTERMATH: Duration = Duration::from_secs(5);
/// Time after the start of the load and between faults in which nothing is injected.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Runs a deployment under open-loop load and checks all promises and shares. `load` scales
/// the rates.
pub async fn run(plan: &SoakPlan, load: f64) -> std::io::Result<SoakReport> {
    let options = DeploymentOptions {
        shape: plan.shape,
        contracts: plan.contracts.clone(),
        configuration: configuration_for_programs,
    };
    let mut deployment = Deployment::start_with_options(&plan.program, options).await?;
    let promises = deployment.promises.clone();
    let fronts = deployment.processes[..plan.shape.size.fronts].iter();
    let addresses = fronts.enumerate().map(|(number, process)| FrontAddresses {
        requests: process.front,
        readiness: process.readiness_address(),
        zone: number % plan.shape.zones,
    });
    let entry = Arc::new(Entry::new(addresses.collect()));
    let mut background = JoinSet::new();
    background.spawn(entry.clone().check_fronts());
    background.spawn(changes::probe_fronts(
        deployment.fronts.clone(),
        deployment.versions.clone(),
        promises.clone(),
    ));
    let tenant_probe = TenantProbe {
        fronts: deployment.fronts.clone(),
        versions: deployment.versions.clone(),
        promises: promises.clone(),
    };
    background.spawn(tenant_probe.clone().probe_keys());
    background.spawn(tenant_probe.probe_rate_limit());
    background.spawn(deployment.monitor.clone().sample_periodically());
    tokio::time::sleep(LEAD_TIME).await;

    let started_at = Instant::now();
    let until = started_at + plan.duration;
    deployment.ends_at = until;
    let programs = Arc::new(ServedShares::default());
    programs.start(started_at);
    promises.shares.start(started_at);
    deployment.delay_all_syncs(plan.sync_time);
    let capacity = plan.shape.models.capacity;
    let source = OpenLoopLoad {
        entry,
        promises: promises.clone(),
        programs: programs.clone(),
        turn_time: capacity.first_event + capacity.event_interval * (EVENTS_PER_TURN - 1),
    };
    let mut zones = JoinSet::new();
    for (zone, rate) in PROGRAM_RATES.iter().enumerate().take(plan.shape.zones) {
        let seed = plan.seed ^ (zone as u64 + 1);
        zones.spawn(source.clone().run_zone(zone, seed, rate * load, until));
    }
    let InjectedFaults {
        descriptions: faults,
        mut windows,
        without_responses,
    } = inject_faults(&mut deployment, plan, started_at, until).await;
    while zones.join_next().await.is_some() {}
    background.abort_all();
    windows.push(Window {
        name: "whole run".to_owned(),
        from: Duration::ZERO,
        until: plan.duration,
    });
    for window in &windows {
        for shortfall in promises.shares.shortfalls(window) {
            promises.report_breach(shortfall);
        }
        for shortfall in programs.shortfalls(window) {
            promises.report_breach(format!("programs, {shortfall}"));
        }
    }
    for window in windows_between(&without_responses, Duration::ZERO, plan.duration) {
        for stall in promises.shares.stalled_seconds(&window) {
            promises.report_breach(stall);
        }
    }
    deployment.check_memory();
    let judged_processes = deployment.check_slopes();
    let (breaches, counts) = promises.evaluate();
    let shares = format!(
        "requests:\n{}programs in time:\n{}",
        promises.shares.table(),
        programs.table()
    );
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

/// Faults of a run.
#[derive(Default)]
struct InjectedFaults {
    descriptions: Vec<String>,
    /// Windows during and after each fault, in which shares are judged.
    windows: Vec<Window>,
    /// Windows in which requests could get no response.
    without_responses: Vec<Window>,
}

/// Injects faults until the end.
async fn inject_faults(
    deployment: &mut Deployment,
    plan: &SoakPlan,
    started_at: Instant,
    until: Instant,
) -> InjectedFaults {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut injected = InjectedFaults::default();
    tokio::time::sleep_until(until.min(started_at + CALM_TIME)).await;
    while Instant::now() < until && !plan.faults.is_empty() {
        let from = started_at.elapsed();
        let fault = deployment.inject_fault(&mut random, &plan.faults).await;
        let end = started_at.elapsed();
        let description = format!(
            "{:.1} to {:.1} s, {fault}",
            from.as_secs_f64(),
            end.as_secs_f64()
        );
        if fault.stops_responses {
            injected.without_responses.push(Window {
                name: description.clone(),
                from,
                until: end + recovery_time(fault.fault),
            });
        }
        if !fault.fault.stops_everything() {
            injected.windows.push(Window {
                name: format!("during {description}"),
                from,
                until: end,
            });
        }
        injected.windows.push(Window {
            name: format!("after {description}"),
            from: end + recovery_time(fault.fault),
            until: end + recovery_time(fault.fault) + AFTERMATH,
        });
        injected.descriptions.push(description);
        tokio::time::sleep_until(until.min(Instant::now() + CALM_TIME)).await;
    }
    tokio::time::sleep_until(until).await;
    injected
}
