//! Simulates, in virtual time, a service some of whose replicas slow down for a few
//! seconds, with many fronts that each call a replica rarely. Compares placement with and
//! without the reports that fronts exchange about slow replicas.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stageyoke_directory::GroupNumber;
use stageyoke_front::baseline_latency::BaselineLatencies;
use stageyoke_front::placement::{Candidate, choose_plain};
use stageyoke_store::LoadTracker;
use stageyoke_store::load::LoadReports;
use stageyoke_types::Text;
use tokio::time::Instant;

const FRONTS: usize = 73;
const REPLICAS: usize = 27;
const SLOW_REPLICAS: usize = 13;
const SLOTS: usize = 6;
/// Factor by which calls take longer at slow replicas.
const SLOWDOWN_FACTOR: f64 = 5.6;
const CALLS_PER_SECOND: f64 = 900.0;
/// Interval at which a front exchanges reports with a store.
const EXCHANGE_INTERVAL_MILLISECONDS: u64 = 160;
const DURATION_MILLISECONDS: u64 = 9_000;
const SLOWDOWN_START_MILLISECONDS: u64 = 3_000;
const SLOWDOWN_END_MILLISECONDS: u64 = 8_000;
/// Latency in milliseconds from which a call counts as late.
const LATE_MILLISECONDS: u64 = 500;
const GROUPS: [GroupNumber; 2] = [GroupNumber(0), GroupNumber(1)];

struct Job {
    front: usize,
    route: usize,
    started_at: u64,
    duration_milliseconds: f64,
}

struct Running {
    job: Job,
    ends_at: u64,
}

#[derive(Default)]
struct Replica {
    running: Vec<Running>,
    waiting: VecDeque<Job>,
}

#[derive(Debug, Default)]
struct CallCounts {
    calls: usize,
    to_slow: usize,
    late: usize,
    latency_sum_milliseconds: u64,
}

fn is_slow(replica: usize, time: u64) -> bool {
    replica < SLOW_REPLICAS
        && (SLOWDOWN_START_MILLISECONDS..SLOWDOWN_END_MILLISECONDS).contains(&time)
}

/// Runs the load, with or without reports of slow replicas between fronts.
async fn simulate(with_reports: bool, seed: u64) -> CallCounts {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(|_| Replica::default()).collect();
    let trackers: Vec<LoadTracker> = (0..FRONTS)
        .map(|front| LoadTracker::new(front as u32))
        .collect();
    let baselines: Vec<BaselineLatencies> =
        (0..FRONTS).map(|_| BaselineLatencies::default()).collect();
    let stores: Vec<LoadReports> = GROUPS.iter().map(|_| LoadReports::default()).collect();
    let routes = [("reads", 26.0), ("pulls", 104.0), ("tiles", 69.4)];
    let names = routes.map(|(name, _)| Text::from(name));
    let mut counts = CallCounts::default();
    let started_at = Instant::now();
    for time in 0..DURATION_MILLISECONDS {
        tokio::time::sleep_until(started_at + Duration::from_millis(time)).await;
        for (front, tracker) in trackers.iter().enumerate() {
            if (time + front as u64 * 13).is_multiple_of(EXCHANGE_INTERVAL_MILLISECONDS) {
                let group = random.random_range(0..GROUPS.len());
                stores[group].update(tracker.report(GROUPS[group]));
                let mut peer_report = stores[group].report_excluding(front as u32);
                if !with_reports {
                    peer_report.slow_replicas = Default::default();
                }
                tracker.apply_report(GROUPS[group], peer_report);
            }
        }
        if random.random_bool(CALLS_PER_SECOND / 1_000.0) {
            let front = random.random_range(0..FRONTS);
            let candidates: Vec<Candidate> = (0..REPLICAS)
                .map(|replica| Candidate {
                    hash: replica as u64,
                    same_zone: replica % 4 == front % 4,
                    in_flight: trackers[front].in_flight(replica as u32),
                    slots: SLOTS as u32,
                    slowdown: trackers[front].slowdown(replica as u32),
                    failure_probability: 0.0,
                    cached_tokens: 0,
                    in_cell: false,
                    has_idle_connection: true,
                    cold: false,
                    eligible: true,
                })
                .collect();
            let chosen = choose_plain(&candidates, random.random()).expect("a replica");
            let route = if random.random_bool(0.7) {
                0
            } else {
                random.random_range(1..3)
            };
            let duration_milliseconds = -routes[route].1 * (1.0 - random.random::<f64>()).ln();
            trackers[front].start_request(chosen as u32);
            if (SLOWDOWN_START_MILLISECONDS..SLOWDOWN_END_MILLISECONDS).contains(&time) {
                counts.calls += 1;
                counts.to_slow += usize::from(is_slow(chosen, time));
            }
            replicas[chosen].waiting.push_back(Job {
                front,
                route,
                started_at: time,
                duration_milliseconds: duration_milliseconds.clamp(2.0, routes[route].1 * 4.0),
            });
        }
        for (number, replica) in replicas.iter_mut().enumerate() {
            for index in (0..replica.running.len()).rev() {
                if replica.running[index].ends_at > time {
                    continue;
                }
                let Running { job, .. } = replica.running.swap_remove(index);
                let latency_milliseconds = time - job.started_at;
                trackers[job.front].end_request(number as u32);
                let latency = Duration::from_millis(latency_milliseconds);
                let ratio = baselines[job.front].record_slowdown(&names[job.route], latency);
                trackers[job.front].record_latency_ratio(number as u32, ratio);
                if (SLOWDOWN_START_MILLISECONDS..SLOWDOWN_END_MILLISECONDS)
                    .contains(&job.started_at)
                {
                    counts.late += usize::from(latency_milliseconds >= LATE_MILLISECONDS);
                    counts.latency_sum_milliseconds += latency_milliseconds;
                }
            }
            while replica.running.len() < SLOTS
                && let Some(job) = replica.waiting.pop_front()
            {
                let factor = if is_slow(number, time) {
                    SLOWDOWN_FACTOR
                } else {
                    1.0
                };
                let ends_at = time + (job.duration_milliseconds * factor) as u64;
                replica.running.push(Running { job, ends_at });
            }
        }
    }
    counts
}

/// Reports must more than halve both the calls that slow replicas receive and the late
/// calls, compared with fronts that know only their own calls.
#[tokio::test(start_paused = true)]
async fn reported_slow_replicas_receive_few_calls() {
    let mut uninformed = CallCounts::default();
    let mut informed = CallCounts::default();
    for seed in 0..3 {
        for (with_reports, sum) in [(false, &mut uninformed), (true, &mut informed)] {
            let counts = simulate(with_reports, seed).await;
            sum.calls += counts.calls;
            sum.to_slow += counts.to_slow;
            sum.late += counts.late;
            sum.latency_sum_milliseconds += counts.latency_sum_milliseconds;
        }
    }
    println!("without reports {uninformed:?}\nwith reports    {informed:?}");
    assert!(
        informed.to_slow * 2 < uninformed.to_slow,
        "{uninformed:?} {informed:?}"
    );
    assert!(
        informed.late * 2 < uninformed.late,
        "{uninformed:?} {informed:?}"
    );
}
