//! Measures the failover time of a shard in virtual time: from the crash of its leader to
//! the answer of a call submitted at that moment.

use hdrhistogram::Histogram;
use serde::Serialize;
use stageyoke_core::fault::Faults;
use stageyoke_core::gateway::{CallAnswer, CallSubmission};
use stageyoke_core::program::{Limits, Message, MessageRole};
use stageyoke_sim::cluster::{Cluster, ClusterSettings, MODEL};
use stageyoke_sim::record::Observation;
use stageyoke_types::{ProgramId, ProgramKey, RequestId, ShardId, TenantId, Text, Time};

const SHARDS: u32 = 3;
const WARM_UP_MS: Time = 5_000;
const CALL_TIMEOUT_MS: Time = 20_000;
/// An engine's service time of a call, which is part of the measured time.
const SERVICE_MS: Time = 1;

/// Results of the measurement.
#[derive(Debug, Serialize)]
pub struct FailoverReport {
    /// Number of leaders crashed.
    pub kills: u64,
    /// Number of calls that were answered in full.
    pub answered: u64,
    /// Median time from the crash to the answer, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of that time, in milliseconds.
    pub p99_ms: u64,
    /// Maximum of that time, in milliseconds.
    pub longest_ms: u64,
}

/// Crashes one leader in each of `kills` clusters.
pub fn run(kills: u64) -> Result<FailoverReport, hdrhistogram::CreationError> {
    let mut times: Histogram<u64> = Histogram::new(3)?;
    let mut answered = 0;
    for seed in 0..kills {
        if let Some(elapsed) = measure_failover(seed) {
            answered += 1;
            times.saturating_record(elapsed);
        }
    }
    Ok(FailoverReport {
        kills,
        answered,
        p50_ms: times.value_at_quantile(0.5),
        p99_ms: times.value_at_quantile(0.99),
        longest_ms: times.max(),
    })
}

fn measure_failover(seed: u64) -> Option<Time> {
    let mut cluster = Cluster::new(ClusterSettings {
        seed,
        zones: vec![0, 1, 2, 0, 1],
        disks: vec![false; 5],
        shard_count: SHARDS,
        engines: 3,
        faults: Faults::default(),
        service_ms: (SERVICE_MS, SERVICE_MS),
        event_limit: u64::MAX,
        count_bytes: false,
    });
    // Crashes leaders at different points of the heartbeat interval.
    cluster.step(WARM_UP_MS + seed * 7 % 500);
    let program = ProgramKey {
        tenant: TenantId::from("tenant"),
        program: ProgramId::from("program"),
    };
    let leader = leader_of(&cluster, program.shard(SHARDS))?;
    cluster.crash(leader, false);
    let crashed_at = cluster.now;
    let gateway = *cluster.running().first()?;
    let operation = cluster.submit(gateway, submission(program, crashed_at))?;
    cluster.step(crashed_at + CALL_TIMEOUT_MS);
    cluster
        .record
        .iter()
        .find_map(|recorded| match &recorded.what {
            Observation::Answered {
                operation: answered,
                answer: CallAnswer::Finished { .. },
            } if *answered == operation => Some(recorded.at - crashed_at),
            _ => None,
        })
}

fn leader_of(cluster: &Cluster, shard: ShardId) -> Option<usize> {
    cluster.machines.iter().position(|machine| {
        let mut shards = machine.node.iter().flat_map(|node| node.shards());
        shards.any(|replica| replica.shard() == shard && replica.is_ready_leader())
    })
}

fn submission(program: ProgramKey, now: Time) -> CallSubmission {
    CallSubmission {
        request: RequestId(0),
        program,
        model: Text::from(MODEL),
        idempotency_key: None,
        fingerprint: 0,
        repeatable: true,
        one_shot: false,
        class: 0,
        messages: vec![Message {
            role: MessageRole::User,
            content: Text::from("after the leader's death"),
        }]
        .into(),
        max_tokens_out: 8,
        limits: Limits::default(),
        deadline: now + CALL_TIMEOUT_MS,
    }
}
