//! How far off a tenant's limit is held by its owners, what that costs a front, and
//! what owners that die or come back empty add: real ledgers, ways of some milliseconds,
//! fronts that find out by themselves that an owner is silent. Three count, as where two
//! machines may be lost; a fourth stands in.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use stageyoke_policy::quota::{AcquireRequest, QuotaDecision, QuotaLedger, QuotaTolerance};
use stageyoke_policy::token_bucket::RateLimit;
use stageyoke_store::frame;
use stageyoke_store::message::{Numbered, QuotaReply, QuotaRequest, Reply, Request};

const WINDOW: u64 = 5_000_000;
const DAY: u64 = 20_000_000;
/// One way between zones, in microseconds: least and most.
const WAY: (u64, u64) = (200, 3_000);
/// What a front waits for an owner, and how long it asks others first afterwards.
const ANSWER_WITHIN: u64 = 60_000;
const DISTRUST: u64 = 1_000_000;
/// When owners die, where they do, and come back: in the midst of the hot time.
const DEATH: u64 = 8_000_000;
const RETURN: u64 = 10_500_000;
/// Stores that count, and those with the one that stands in.
const COUNTING: usize = 3;
const OWNERS: usize = 4;
const SEEDS: u64 = 3;

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

/// What becomes of the owners.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Calm,
    /// The first dies.
    OneDies,
    /// The first two die at once.
    TwoDie,
    /// They die at once and come back 2.5 s later, empty.
    TwoReturn,
}

impl Fate {
    /// Times at which another owner goes on.
    fn changes(self) -> i64 {
        match self {
            Self::Calm => 0,
            Self::OneDies | Self::TwoDie => 1,
            Self::TwoReturn => 2,
        }
    }

    fn silent(self, owner: usize, at: u64) -> bool {
        match self {
            Self::Calm => false,
            Self::OneDies => owner < 1 && at >= DEATH,
            Self::TwoDie => owner < 2 && at >= DEATH,
            Self::TwoReturn => owner < 2 && (DEATH..RETURN).contains(&at),
        }
    }
}

/// The way of one question: whom it has met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Way {
    front: usize,
    /// Owners that count.
    counting: usize,
    asked: [bool; OWNERS],
    unsure: [bool; OWNERS],
}

impl Way {
    /// Whom a front asks next, and whether it presses: as `store::owners` does.
    fn next(&self, distrusted: &[u64; OWNERS], at: u64) -> Option<(usize, bool)> {
        let open = |owner: &usize| !self.asked[*owner];
        let trusts = |owner: &usize| distrusted[*owner] <= at;
        let usual = (0..self.counting).find(|owner| open(owner) && trusts(owner));
        let unsure = (0..self.counting).find(|owner| self.unsure[*owner]);
        let standby = (self.counting..=self.counting).find(open);
        let others = (0..self.counting).find(open);
        let pressed = unsure.or(standby).or(others).map(|owner| (owner, true));
        usual.map(|owner| (owner, false)).or(pressed)
    }
}

impl Arrival {
    /// Most at once, as a multiple of the limit's rate.
    fn peak(self) -> f64 {
        match self {
            Self::Usual => 0.6,
            Self::Even => 1.0,
            Self::Hot | Self::HotAtFew => 4.7,
            Self::Bursts => 10.0,
        }
    }
}

/// A request: when, in microseconds, and at which front.
#[derive(Clone, Copy, Debug)]
struct Arriving {
    at: u64,
    front: usize,
}

fn arrivals(arrival: Arrival, limit: RateLimit, fronts: usize, seed: u64) -> Vec<Arriving> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for at in 0..DAY / 1_000 {
        let hot = (5_000..11_500).contains(&at);
        let factor = match arrival {
            Arrival::Usual => 0.6,
            Arrival::Even => 1.0,
            Arrival::Hot | Arrival::HotAtFew if hot => 4.7,
            Arrival::Hot | Arrival::HotAtFew => 0.6,
            Arrival::Bursts if at % 1_000 < 100 => 10.0,
            Arrival::Bursts => 0.0,
        };
        let reached = match arrival {
            Arrival::HotAtFew if hot => fronts.div_ceil(8),
            _ => fronts,
        };
        let mut expected = limit.per_second * factor / 1_000.0;
        while expected > 0.0 {
            if random.random_bool(expected.min(1.0)) {
                let at = at * 1_000 + random.random_range(0..1_000);
                let front = random.random_range(0..reached);
                requests.push(Arriving { at, front });
            }
            expected -= 1.0;
        }
    }
    requests
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// Owners come back, empty.
    Return,
    /// A front asks for a request's leave, or goes on asking.
    Leaves(Way),
    /// A question reaches an owner.
    Asked(Way, usize, bool),
    /// An owner hears of another's grant.
    Told(usize),
}

#[derive(Debug, Default)]
struct Seen {
    asked: usize,
    granted: usize,
    refused: usize,
    /// Refused though fewer than the limit allows were granted within the window.
    wrongly: usize,
    /// Granted fewer than by one count that knows everything at once.
    fewer: i64,
    /// Most that ran in any window, beyond what the limit allows.
    excess: i64,
    /// Messages of fronts, there and back.
    messages: usize,
    bytes: usize,
}

/// Bytes on the wire of a question, its answer, a grant that is told, and its receipt.
fn sizes() -> [usize; 4] {
    let question = QuotaRequest::from(question(limit(22.0)));
    let number = u64::from(u32::MAX);
    let sent = |content| frame::encode(&Numbered { number, content }).len();
    let answered = |content| frame::encode(&Numbered { number, content }).len();
    [
        sent(Request::Quota(question)),
        answered(Reply::Quota(QuotaReply::default())),
        sent(Request::QuotaGranted(question)),
        answered(Reply::Pong),
    ]
}

fn limit(rate: f64) -> RateLimit {
    RateLimit {
        per_second: rate,
        burst: rate,
    }
}

fn question(limit: RateLimit) -> AcquireRequest {
    AcquireRequest {
        tenant: 1,
        program: 0,
        limit,
        version: 1,
        standby: false,
    }
}

/// Owners that have counted for long.
fn moment(at: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_micros(at)
}

fn allowed(limit: RateLimit) -> usize {
    (limit.per_second * 5.0 + limit.burst).ceil() as usize
}

fn most_in_window(times: &mut [u64]) -> usize {
    times.sort_unstable();
    let mut first = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + WINDOW <= *at {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

/// What a count that knows each request at once would grant.
fn granted_exactly(requests: &[Arriving], limit: RateLimit) -> usize {
    let mut recent: VecDeque<u64> = VecDeque::new();
    let mut granted = 0;
    let mut times: Vec<u64> = requests.iter().map(|request| request.at).collect();
    times.sort_unstable();
    for at in times {
        while recent.front().is_some_and(|first| *first + WINDOW <= at) {
            recent.pop_front();
        }
        if recent.len() < allowed(limit) {
            recent.push_back(at);
            granted += 1;
        }
    }
    granted
}

/// Whose limit it is, and who holds it.
#[derive(Clone, Copy, Debug)]
struct Load {
    limit: RateLimit,
    fronts: usize,
    counting: usize,
}

fn ledger() -> QuotaLedger {
    QuotaLedger::default().with_tolerance(QuotaTolerance {
        window: Duration::from_micros(WINDOW),
        excess: 0.0,
        slack: 0.0,
    })
}

fn play(requests: &[Arriving], load: Load, fate: Fate, seed: u64) -> Seen {
    let Load {
        limit,
        fronts,
        counting,
    } = load;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x51);
    let mut way = move || random.random_range(WAY.0..WAY.1);
    let mut owners = [(); OWNERS].map(|()| ledger());
    let mut distrusted = vec![[0_u64; OWNERS]; fronts];
    let mut recent: VecDeque<u64> = VecDeque::new();
    let mut ran: Vec<u64> = Vec::new();
    let mut seen = Seen::default();
    let [asking, answering, telling, heard] = sizes();
    let usual = question(limit);
    let mut happenings = BinaryHeap::new();
    happenings.push(Reverse((RETURN, Happening::Return)));
    for request in requests {
        seen.asked += 1;
        let began = Way {
            front: request.front,
            counting,
            ..Way::default()
        };
        happenings.push(Reverse((request.at, Happening::Leaves(began))));
    }
    while let Some(Reverse((at, happening))) = happenings.pop() {
        match happening {
            Happening::Return if fate == Fate::TwoReturn => {
                for owner in &mut owners[..2] {
                    *owner = ledger();
                    owner.handle_owner_change(moment(at));
                }
            }
            Happening::Return => {}
            Happening::Leaves(mut path) => {
                let Some((owner, pressed)) = path.next(&distrusted[path.front], at) else {
                    seen.refused += 1;
                    continue;
                };
                path.asked[owner] = true;
                path.unsure[owner] = false;
                seen.messages += 1;
                seen.bytes += asking;
                let asked = Happening::Asked(path, owner, pressed);
                happenings.push(Reverse((at + way(), asked)));
            }
            Happening::Asked(path, owner, _) if fate.silent(owner, at) => {
                let noticed = at + ANSWER_WITHIN;
                distrusted[path.front][owner] = noticed + DISTRUST;
                happenings.push(Reverse((noticed, Happening::Leaves(path))));
            }
            Happening::Asked(mut path, owner, pressed) => {
                seen.messages += 1;
                seen.bytes += answering;
                if !pressed && !owners[owner].has_full_window(usual.tenant, moment(at)) {
                    path.unsure[owner] = true;
                    happenings.push(Reverse((at + way(), Happening::Leaves(path))));
                    continue;
                }
                while recent.front().is_some_and(|first| *first + WINDOW <= at) {
                    recent.pop_front();
                }
                let asked = AcquireRequest {
                    standby: owner >= counting,
                    ..usual
                };
                if owners[owner].acquire(&asked, moment(at)) != QuotaDecision::Granted {
                    seen.refused += 1;
                    seen.wrongly += usize::from(recent.len() < allowed(limit));
                    continue;
                }
                seen.granted += 1;
                recent.push_back(at);
                let back = at + way();
                ran.push(back);
                for other in (0..counting).filter(|other| *other != owner) {
                    seen.messages += 2;
                    seen.bytes += telling + heard;
                    happenings.push(Reverse((back + way(), Happening::Told(other))));
                }
            }
            Happening::Told(owner) if fate.silent(owner, at) => {}
            Happening::Told(owner) => owners[owner].count(&usual, moment(at)),
        }
    }
    seen.fewer = granted_exactly(requests, limit) as i64 - seen.granted as i64;
    seen.excess = most_in_window(&mut ran) as i64 - allowed(limit) as i64;
    seen
}

/// Prints, worst of the seeds, what ran beyond the limit and what was refused wrongly;
/// and what it costs a front.
#[rstest]
fn a_limit_is_off_by_little_however_requests_arrive(
    #[values(9, 73, 300, 840)] fronts: usize,
    #[values(
        Arrival::Usual,
        Arrival::Hot,
        Arrival::HotAtFew,
        Arrival::Even,
        Arrival::Bursts
    )]
    arrival: Arrival,
    #[values(22.0, 462.0)] rate: f64,
    #[values(Fate::Calm, Fate::OneDies, Fate::TwoDie, Fate::TwoReturn)] fate: Fate,
) {
    let limit = limit(rate);
    let load = Load {
        limit,
        fronts,
        counting: COUNTING,
    };
    let mut worst = Seen::default();
    for seed in 0..SEEDS {
        let requests = arrivals(arrival, limit, fronts, seed);
        let seen = play(&requests, load, fate, seed);
        worst.excess = if seed == 0 {
            seen.excess
        } else {
            worst.excess.max(seen.excess)
        };
        worst.wrongly = worst.wrongly.max(seen.wrongly);
        worst.fewer = worst.fewer.max(seen.fewer);
        worst.asked += seen.asked;
        worst.granted += seen.granted;
        worst.refused += seen.refused;
        worst.messages += seen.messages;
        worst.bytes += seen.bytes;
    }
    let front_seconds = (DAY / 1_000_000 * SEEDS) as f64 * fronts as f64;
    println!(
        "{fronts} fronts, {rate} a second, {arrival:?}, {fate:?}: beyond {} of {}, \
         fewer granted {}, refused before its time {}, asked {}, refused {}; a front and second: {:.2} messages, \
         {:.0} B; a request: {:.2} messages, {:.0} B",
        worst.excess,
        allowed(limit),
        worst.fewer,
        worst.wrongly,
        worst.asked,
        worst.refused,
        worst.messages as f64 / front_seconds,
        worst.bytes as f64 / front_seconds,
        worst.messages as f64 / worst.asked as f64,
        worst.bytes as f64 / worst.asked as f64,
    );
    // What is on its way within some milliseconds may meet in one window; and a count
    // by slots frees its window later, by a slot of 50 ms at most.
    let peak = rate * arrival.peak();
    let on_the_way = (peak * 0.006).ceil() as i64;
    assert!(worst.excess <= on_the_way, "{worst:?}");
    let within_a_slot = (peak * 0.06).ceil() as i64;
    // The next owner heard of each grant some milliseconds after it was made.
    assert!(
        worst.fewer <= within_a_slot * (1 + fate.changes()),
        "{worst:?}"
    );
}

/// With two owners that count, the death of both lets more run than the limit allows:
/// the check bites.
#[test]
fn one_owner_more_must_count_than_may_be_lost() {
    let load = Load {
        limit: limit(462.0),
        fronts: 73,
        counting: 2,
    };
    let requests = arrivals(Arrival::Hot, load.limit, load.fronts, 0);
    let seen = play(&requests, load, Fate::TwoDie, 0);
    println!("two owners count, both die: beyond {}", seen.excess);
    assert!(seen.excess > 250, "{seen:?}");
}
