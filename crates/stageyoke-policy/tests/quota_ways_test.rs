//! Three ways to hold one tenant's limit over many fronts, on the same arrivals:
//! an owner that is asked for each request, leases of what a front is going to
//! need, and counts that fronts tell one another late. What each grants beyond the
//! limit, refuses within it, and sends.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use stageyoke_policy::token_bucket::RateLimit;
use stageyoke_policy::window::Window;

const WINDOW_MILLISECONDS: usize = 5_000;
const DAY_MILLISECONDS: u64 = 20_000;
/// Exchanges of records with stores, over all fronts, that carry counts.
const EXCHANGES_PER_SECOND: f64 = 450.0;
/// What a lease is meant to last, and when its rest is given up.
const LEASE_MILLISECONDS: u64 = 200;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Arrival {
    /// Within the limit, at any front.
    Usual,
    /// Several times the limit for 6.5 s.
    Hot,
    /// The same, and all of it at an eighth of the fronts.
    HotAtFew,
    /// Just the limit.
    Even,
    /// Ten times the limit in the first 100 ms of each second.
    Bursts,
}

/// A request: when, and at which front.
#[derive(Clone, Copy, Debug)]
struct Request {
    at: u64,
    front: usize,
}

fn arrivals(arrival: Arrival, limit: RateLimit, fronts: usize, seed: u64) -> Vec<Request> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for at in 0..DAY_MILLISECONDS {
        let hot = (5_000..11_500).contains(&at);
        let factor = match arrival {
            Arrival::Usual => 0.6,
            Arrival::Even => 1.0,
            Arrival::Hot | Arrival::HotAtFew if hot => 4.7,
            Arrival::Hot | Arrival::HotAtFew => 0.6,
            Arrival::Bursts if at % 1_000 < 100 => 10.0,
            Arrival::Bursts => 0.0,
        };
        let mut expected = limit.per_second * factor / 1_000.0;
        let reached = match arrival {
            Arrival::HotAtFew if hot => fronts.div_ceil(8),
            _ => fronts,
        };
        while expected > 0.0 {
            if random.random_bool(expected.min(1.0)) {
                let front = random.random_range(0..reached);
                requests.push(Request { at, front });
            }
            expected -= 1.0;
        }
    }
    requests
}

/// What a way has done.
#[derive(Debug, Default)]
struct Outcome {
    grants: Vec<u64>,
    messages: usize,
}

impl Outcome {
    /// Grants of the fullest window beyond rate and burst.
    fn excess(&self, limit: RateLimit) -> i64 {
        let mut first = 0;
        let mut most = 0;
        for (last, at) in self.grants.iter().enumerate() {
            while self.grants[first] + WINDOW_MILLISECONDS as u64 <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        let allowed = limit.per_second * WINDOW_MILLISECONDS as f64 / 1_000.0 + limit.burst;
        most as i64 - allowed.ceil() as i64
    }
}

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A window that grants what the limit allows in it.
#[derive(Clone)]
struct Allowance {
    window: Window,
    allowed: u32,
}

impl Allowance {
    fn new(limit: RateLimit) -> Self {
        let window = Window::new(milliseconds(WINDOW_MILLISECONDS as u64), Duration::ZERO);
        let allowed = window.allowed(limit) as u32;
        Self { window, allowed }
    }

    fn take(&mut self, at: u64) -> bool {
        let granted = self.window.count(milliseconds(at)) < self.allowed;
        if granted {
            self.window.add(milliseconds(at));
        }
        granted
    }
}

/// One message there and one back for each request, and one to the second owner
/// for each grant. The way there only delays all requests alike.
fn by_owner(requests: &[Request], limit: RateLimit) -> Outcome {
    let mut allowance = Allowance::new(limit);
    let mut outcome = Outcome::default();
    for request in requests {
        outcome.messages += 2;
        if allowance.take(request.at) {
            outcome.messages += 2;
            outcome.grants.push(request.at);
        }
    }
    outcome
}

#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    left: u32,
    until: u64,
    recent: f64,
    last: u64,
}

/// A front leases what it expects to need in a while; what it does not use by then
/// is lost.
fn by_lease(requests: &[Request], limit: RateLimit, fronts: usize) -> Outcome {
    let mut allowance = Allowance::new(limit);
    let mut leases = vec![Lease::default(); fronts];
    let mut outcome = Outcome::default();
    for request in requests {
        let lease = &mut leases[request.front];
        let passed = (request.at - lease.last) as f64 / 1_000.0;
        lease.recent = lease.recent * (-passed).exp() + 1.0;
        lease.last = request.at;
        if lease.until <= request.at {
            lease.left = 0;
        }
        if lease.left == 0 {
            outcome.messages += 2;
            let wanted = lease.recent * LEASE_MILLISECONDS as f64 / 1_000.0;
            for _ in 0..(wanted as u32).max(1) {
                lease.left += u32::from(allowance.take(request.at));
            }
            lease.until = request.at + LEASE_MILLISECONDS;
        }
        if lease.left > 0 {
            lease.left -= 1;
            outcome.grants.push(request.at);
        }
    }
    outcome
}

/// Each front counts by itself, and hears of the others' grants with its exchanges
/// of records, as stores had heard of them by then.
fn by_told_counts(requests: &[Request], limit: RateLimit, fronts: usize) -> Outcome {
    let pause = (fronts as f64 / EXCHANGES_PER_SECOND * 1_000.0).max(1.0) as u64;
    let mut allowances = vec![Allowance::new(limit); fronts];
    let mut untold = vec![0_usize; fronts];
    let mut heard = vec![0_usize; fronts];
    let mut total = 0;
    let mut next = 0;
    let mut outcome = Outcome::default();
    for at in 0..DAY_MILLISECONDS {
        for front in 0..fronts {
            if !(at + front as u64).is_multiple_of(pause) {
                continue;
            }
            let own = std::mem::take(&mut untold[front]);
            total += own;
            for _ in 0..(total - heard[front] - own) {
                allowances[front].window.add(milliseconds(at));
            }
            heard[front] = total;
        }
        while next < requests.len() && requests[next].at == at {
            let front = requests[next].front;
            next += 1;
            if allowances[front].take(at) {
                untold[front] += 1;
                outcome.grants.push(at);
            }
        }
    }
    outcome
}

/// The rule of the strictest known deployment: a tenth and 20 requests.
fn tolerated(limit: RateLimit) -> i64 {
    let allowed = limit.per_second * WINDOW_MILLISECONDS as f64 / 1_000.0 + limit.burst;
    (allowed * 0.1) as i64 + 20
}

/// Prints, for each way, what it grants beyond the limit, how many fewer than the
/// best it grants, and its messages for each request.
#[rstest]
fn an_owner_is_exact_and_told_counts_are_not(
    #[values(9, 73, 300)] fronts: usize,
    #[values(
        Arrival::Usual,
        Arrival::Hot,
        Arrival::HotAtFew,
        Arrival::Even,
        Arrival::Bursts
    )]
    arrival: Arrival,
    #[values(22.0, 462.0)] rate: f64,
) {
    let limit = RateLimit {
        per_second: rate,
        burst: rate,
    };
    let mut beyond = [0; 3];
    for seed in 0..3 {
        let requests = arrivals(arrival, limit, fronts, seed);
        let ways = [
            by_owner(&requests, limit),
            by_lease(&requests, limit, fronts),
            by_told_counts(&requests, limit, fronts),
        ];
        let best = ways[0].grants.len();
        for (way, name) in ["owner", "lease", "told"].iter().enumerate() {
            let excess = ways[way].excess(limit);
            beyond[way] = beyond[way].max(excess);
            println!(
                "{fronts} fronts, {rate} a second, {arrival:?}, {name}: excess {excess} of {}, fewer {} of {best}, messages {:.2}",
                tolerated(limit),
                best as i64 - ways[way].grants.len() as i64,
                ways[way].messages as f64 / requests.len() as f64,
            );
        }
    }
    assert!(beyond[0] <= 0, "an owner grants nothing beyond the limit");
    assert!(beyond[1] <= tolerated(limit));
    if arrival == Arrival::Hot && fronts >= 73 && rate > 100.0 {
        assert!(beyond[2] > tolerated(limit), "counts that are told late");
    }
}
