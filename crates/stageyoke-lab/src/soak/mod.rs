//! Runs of the real programs as separate processes on loopback, calm or under
//! random faults, with every promise checked from the callers' and the
//! replicas' side.

pub mod calm;
pub mod changes;
pub mod connections;
pub mod deployment;
pub mod faults;
pub mod keys;
pub mod losses;
pub mod machines;
pub mod processes;
pub mod promises;
pub mod proxy;
pub mod replicas;
pub mod slopes;
pub mod upgrade;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::standins::platform::RETENTION_SECONDS;
use crate::standins::platform::caller::{Caller, StoredTurn};
use crate::standins::platform::tenants::configuration_with_tenants;
use deployment::{Deployment, Size};
use faults::{FAULTS, Fault};
use keys::Tenants;
use promises::{Counts, Promises};
use upgrade::Upgrade;

/// Callers at once; one for each front where there are more of these.
const CALLERS: u64 = 8;
const TURNS: u32 = 4;
/// Time from which on a kept turn is asked for until it must have gone on.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time in which all of them are asked for.
const GO_ON_WITHIN: Duration = Duration::from_secs(90);
/// Pause between two looks at the time of a run without faults.
const NO_FAULT: Duration = Duration::from_millis(500);
/// Budget that never binds, for the turns after the end.
const FREE_BUDGET: u32 = 1_000_000;

/// One run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The program.
    pub program: PathBuf,
    /// Another build of it that runs first; machines are moved from it one after the
    /// other.
    pub upgrade_from: Option<PathBuf>,
    /// Draws callers and faults.
    pub seed: u64,
    /// Time of the run.
    pub lasting: Duration,
    /// Faults that may strike; none for a calm run.
    pub faults: Vec<Fault>,
    /// How many processes there are.
    pub size: Size,
    /// Time in which a store's successor catches up.
    pub catch_up: Duration,
}

/// A seed that once showed a breach.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The seed.
    pub seed: u64,
    /// Kinds of fault that there were then.
    pub kinds: usize,
    /// What caused the breach.
    pub cause: &'static str,
}

/// What a run showed.
#[derive(Debug)]
pub struct SoakReport {
    /// What contradicts a promise.
    pub breaches: Vec<String>,
    /// What was done.
    pub counts: Counts,
    /// Faults in their order, with the second of each.
    pub faults: Vec<String>,
    /// Lives of processes that were long enough for their slopes to be judged.
    pub judged: usize,
    /// Where settings, data and logs are kept, after a breach.
    pub folder: Option<PathBuf>,
}

/// Seeds that once showed a breach.
pub const CASES: [Case; 2] = [
    Case {
        seed: 3_967_300_783,
        kinds: 12,
        cause: "all killed at the very first start, before the disks' marks: no group was ever founded",
    },
    Case {
        seed: 3_548_155_731,
        kinds: 12,
        cause: "the same cause, with a front killed next",
    },
];

impl Case {
    /// The faults that there were then.
    pub fn faults(&self) -> Vec<Fault> {
        FAULTS[..self.kinds.min(FAULTS.len())].to_vec()
    }
}

/// Plays a run.
pub async fn run(plan: &SoakPlan) -> std::io::Result<SoakReport> {
    let first = plan.upgrade_from.as_ref().unwrap_or(&plan.program);
    let started =
        Deployment::start_with(first, plan.size, plan.catch_up, configuration_with_tenants);
    let mut deployment = started.await?;
    let began = Instant::now();
    let until = began + plan.lasting;
    deployment.until = until;
    let mut callers = JoinSet::new();
    for number in 0..CALLERS.max(plan.size.fronts as u64) {
        let caller = caller(&deployment, plan.seed ^ (number + 1));
        callers.spawn(call_until(caller, until));
    }
    let probing = tokio::spawn(changes::probe(
        deployment.fronts.clone(),
        deployment.versions.clone(),
        deployment.promises.clone(),
    ));
    let tenants = Tenants {
        fronts: deployment.fronts.clone(),
        versions: deployment.versions.clone(),
        promises: deployment.promises.clone(),
    };
    let asking = tokio::spawn(tenants.clone().probe_keys());
    let asking_much = tokio::spawn(tenants.probe_a_limit());
    let watching = tokio::spawn(deployment.lives.clone().watch());
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut faults = Vec::new();
    let mut upgrade = plan.upgrade_from.clone().map(|first| {
        let processes = plan.size.processes();
        Upgrade::draw(first, plan.program.clone(), processes, &mut random)
    });
    while Instant::now() < until {
        if let Some(upgrade) = &mut upgrade
            && let Some(moved) = deployment.move_next(upgrade, &mut random).await
        {
            let at = began.elapsed().as_secs_f64();
            faults.push(format!("{at:.1} {moved}"));
        }
        if plan.faults.is_empty() {
            tokio::time::sleep(NO_FAULT).await;
            continue;
        }
        let strike = deployment.strike(&mut random, &plan.faults).await;
        let at = began.elapsed().as_secs_f64();
        faults.push(format!("{at:.1} {strike}"));
    }
    if upgrade.as_ref().is_some_and(|upgrade| !upgrade.over()) {
        let breach = "the run ended before all machines were moved".to_owned();
        deployment.promises.breach(breach);
    }
    let mut kept = Vec::new();
    while let Some(turns) = callers.join_next().await {
        kept.extend(turns.unwrap_or_default());
    }
    if kept.is_empty() {
        let breach = "no program was served to its end".to_owned();
        deployment.promises.breach(breach);
    }
    for task in [&probing, &asking, &asking_much] {
        task.abort();
    }
    watching.abort();
    go_on(&deployment, plan.seed, kept).await;
    deployment.check_memory();
    let judged = deployment.check_slopes();
    let (breaches, counts) = deployment.promises.judge();
    let folder = (!breaches.is_empty()).then(|| deployment.keep_folder());
    Ok(SoakReport {
        breaches,
        counts,
        faults,
        judged,
        folder,
    })
}

fn caller(deployment: &Deployment, seed: u64) -> Caller {
    Caller {
        fronts: deployment.fronts.clone(),
        promises: deployment.promises.clone(),
        random: ChaCha8Rng::seed_from_u64(seed),
    }
}

async fn call_until(mut caller: Caller, until: Instant) -> Vec<StoredTurn> {
    let mut kept = Vec::new();
    while Instant::now() < until {
        kept.extend(caller.run_program(TURNS, until).await);
    }
    kept
}

/// After all faults every turn whose retention is not over must still be there,
/// the newest first. Each has its own time from when it is first asked for; one
/// that is not asked for is told as that.
async fn go_on(deployment: &Deployment, seed: u64, mut kept: Vec<StoredTurn>) {
    let last = Instant::now() + GO_ON_WITHIN;
    kept.sort_by_key(|turn| std::cmp::Reverse(turn.answered_at));
    let mut callers = JoinSet::new();
    for (number, turn) in kept.into_iter().enumerate() {
        let mut caller = caller(deployment, seed ^ (number as u64 + 1_000));
        let promises: Arc<Promises> = deployment.promises.clone();
        if Instant::now() > last {
            promises.breach(format!(
                "{} was not asked for: no time was left",
                turn.request_id
            ));
            continue;
        }
        let kept_until = turn.answered_at + Duration::from_secs(RETENTION_SECONDS);
        if Instant::now() + RECOVERY > kept_until {
            promises.expired();
            continue;
        }
        let until = Instant::now() + RECOVERY;
        callers.spawn(async move {
            let program = format!("after-{number}");
            let mut given = 0;
            let next = caller.run_turn(&program, FREE_BUDGET, Some(&turn), &mut given, until);
            if next.await.is_none() {
                promises.breach(format!(
                    "{} can't be gone on from at the end",
                    turn.request_id
                ));
            }
        });
        // A few at a time: the end is no load test.
        while callers.len() >= CALLERS as usize * 2 {
            callers.join_next().await;
        }
    }
    while callers.join_next().await.is_some() {}
}

/// The program beside this one, where none is named.
pub fn program_beside(own: &Path) -> PathBuf {
    own.with_file_name("stageyoke-serve")
}
