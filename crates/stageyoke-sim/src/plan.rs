//! A test's plan: the callers' programs and the faults, as plain data that
//! shrinks well.

use stageyoke_types::Time;

use crate::cluster::Action;

/// One call that a caller will make.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Program, by number.
    pub program: usize,
    /// When it is sent at the earliest, ms.
    pub at: Time,
    /// Machine it is sent through.
    pub machine: usize,
    /// Whether it carries an idempotency key, and so may not run twice.
    pub keyed: bool,
    /// Whether the caller sends it a second time, with the same key, through
    /// another machine while the first is under way.
    pub doubled: bool,
}

/// A fault and its time.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// When, ms.
    pub at: Time,
    /// What.
    pub action: Action,
}

/// A whole plan.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the cluster.
    pub seed: u64,
    /// Programs; a sub-agent names its parent.
    pub programs: Vec<PlannedProgram>,
    /// Calls.
    pub calls: Vec<PlannedCall>,
    /// Faults.
    pub faults: Vec<PlannedFault>,
    /// Probability of loss.
    pub loss: f64,
    /// Probability of doubling.
    pub duplicate: f64,
    /// Most latency, ms.
    pub max_delay: Time,
    /// Which machines have a disk.
    pub disks: Vec<bool>,
}

/// A program of a plan.
#[derive(Clone, Debug)]
pub struct PlannedProgram {
    /// Parent, by number; only an earlier program counts.
    pub parent: Option<usize>,
    /// When the caller ends it, if it does, ms.
    pub end_at: Option<Time>,
    /// Most calls of it and its sub-agents; 0 for no limit.
    pub call_limit: u32,
}

/// Time until which a plan's faults and calls happen, ms.
pub const PLAN_MS: Time = 20_000;
/// Time given to settle after the last fault, ms.
pub const SETTLE_MS: Time = 40_000;
