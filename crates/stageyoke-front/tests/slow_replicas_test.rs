//! Replay of a load: a part of a service's replicas takes several times as long for
//! some seconds. Many fronts, each of which sees a replica seldom, choose with and
//! without what they tell one another. Virtual time.

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
/// How many times as long the slow ones take.
const SLOWED: f64 = 5.6;
const CALLS_PER_SECOND: f64 = 900.0;
/// Exchanges with stores that carry reports, for one front.
const EXCHANGE_MILLISECONDS: u64 = 160;
const LENGTH: u64 = 9_000;
const SLOW_FROM: u64 = 3_000;
const SLOW_UNTIL: u64 = 8_000;
/// A call of this length is late: it costs its program the aim.
const LATE: u64 = 500;
const GROUPS: [GroupNumber; 2] = [GroupNumber(0), GroupNumber(1)];

struct Job {
    front: usize,
    route: usize,
    began: u64,
    work: f64,
}

struct Running {
    job: Job,
    ends: u64,
}

#[derive(Default)]
struct Replica {
    running: Vec<Running>,
    waiting: VecDeque<Job>,
}

#[derive(Debug, Default)]
struct Seen {
    calls: usize,
    to_slow: usize,
    late: usize,
    summed: u64,
}

fn slow(replica: usize, time: u64) -> bool {
    replica < SLOW_REPLICAS && (SLOW_FROM..SLOW_UNTIL).contains(&time)
}

/// Plays the load; fronts tell one another of slow replicas or don't.
async fn play(told: bool, seed: u64) -> Seen {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(|_| Replica::default()).collect();
    let boards: Vec<LoadTracker> = (0..FRONTS)
        .map(|front| LoadTracker::new(front as u32))
        .collect();
    let usual: Vec<BaselineLatencies> = (0..FRONTS).map(|_| BaselineLatencies::default()).collect();
    let stores: Vec<LoadReports> = GROUPS.iter().map(|_| LoadReports::default()).collect();
    let routes = [("reads", 26.0), ("pulls", 104.0), ("tiles", 69.4)];
    let names = routes.map(|(name, _)| Text::from(name));
    let mut seen = Seen::default();
    let began = Instant::now();
    for time in 0..LENGTH {
        tokio::time::sleep_until(began + Duration::from_millis(time)).await;
        for (front, board) in boards.iter().enumerate() {
            if (time + front as u64 * 13).is_multiple_of(EXCHANGE_MILLISECONDS) {
                let group = random.random_range(0..GROUPS.len());
                stores[group].update(board.report(GROUPS[group]));
                let mut others = stores[group].report_excluding(front as u32);
                if !told {
                    others.slow_replicas = Default::default();
                }
                board.apply_report(GROUPS[group], others);
            }
        }
        if random.random_bool(CALLS_PER_SECOND / 1_000.0) {
            let front = random.random_range(0..FRONTS);
            let candidates: Vec<Candidate> = (0..REPLICAS)
                .map(|replica| Candidate {
                    hash: replica as u64,
                    same_zone: replica % 4 == front % 4,
                    in_flight: boards[front].in_flight(replica as u32),
                    slots: SLOTS as u32,
                    slowdown: boards[front].slowdown(replica as u32),
                    failure_probability: 0.0,
                    cached_tokens: 0,
                    in_cell: false,
                    has_idle_connection: true,
                    eligible: true,
                })
                .collect();
            let chosen = choose_plain(&candidates, random.random()).expect("a replica");
            let route = if random.random_bool(0.7) {
                0
            } else {
                random.random_range(1..3)
            };
            let work = -routes[route].1 * (1.0 - random.random::<f64>()).ln();
            boards[front].start_request(chosen as u32);
            if (SLOW_FROM..SLOW_UNTIL).contains(&time) {
                seen.calls += 1;
                seen.to_slow += usize::from(slow(chosen, time));
            }
            replicas[chosen].waiting.push_back(Job {
                front,
                route,
                began: time,
                work: work.clamp(2.0, routes[route].1 * 4.0),
            });
        }
        for (number, replica) in replicas.iter_mut().enumerate() {
            for index in (0..replica.running.len()).rev() {
                if replica.running[index].ends > time {
                    continue;
                }
                let Running { job, .. } = replica.running.swap_remove(index);
                let took = time - job.began;
                boards[job.front].end_request(number as u32);
                let took_for = Duration::from_millis(took);
                let ratio = usual[job.front].record_slowdown(&names[job.route], took_for);
                boards[job.front].record_latency_ratio(number as u32, ratio);
                if (SLOW_FROM..SLOW_UNTIL).contains(&job.began) {
                    seen.late += usize::from(took >= LATE);
                    seen.summed += took;
                }
            }
            while replica.running.len() < SLOTS
                && let Some(job) = replica.waiting.pop_front()
            {
                let times = if slow(number, time) { SLOWED } else { 1.0 };
                let ends = time + (job.work * times) as u64;
                replica.running.push(Running { job, ends });
            }
        }
    }
    seen
}

/// Told of, slow replicas get few calls from half a second on; without it, each front
/// knows only how many calls wait there.
#[tokio::test(start_paused = true)]
async fn slow_replicas_that_are_told_of_get_few_calls() {
    let mut before = Seen::default();
    let mut after = Seen::default();
    for seed in 0..3 {
        for (told, sum) in [(false, &mut before), (true, &mut after)] {
            let seen = play(told, seed).await;
            sum.calls += seen.calls;
            sum.to_slow += seen.to_slow;
            sum.late += seen.late;
            sum.summed += seen.summed;
        }
    }
    println!("counted alone {before:?}\ntold as well  {after:?}");
    assert!(after.to_slow * 2 < before.to_slow, "{before:?} {after:?}");
    assert!(after.late * 2 < before.late, "{before:?} {after:?}");
}
