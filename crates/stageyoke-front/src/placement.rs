//! Chooses a replica. Pure.

/// What is known of one replica at the moment of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the replica's identifier.
    pub hash: u64,
    /// Whether it is in this front's zone.
    pub local: bool,
    /// Requests of this front that it works on.
    pub in_flight: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it may be chosen at all.
    pub usable: bool,
}

/// Share of a replica's slots that one front fills before it goes elsewhere.
const ENGINE_SHARE: f64 = 0.5;
/// Requests in flight that a replica of another zone counts as having more.
const REMOTE_HANDICAP: f64 = 2.5;

/// Chooses a model engine: the same program goes to the same engine, so that
/// its prompt is still in memory there, unless that engine is filled.
pub fn choose_engine(candidates: &[Candidate], affinity: u64) -> Option<usize> {
    let with_room = |local: bool| {
        best_by_affinity(candidates, affinity, |candidate| {
            candidate.local == local && below_share(candidate)
        })
    };
    with_room(true)
        .or_else(|| with_room(false))
        .or_else(|| least_loaded(candidates, affinity))
}

/// Chooses a replica of a plain service: the least loaded, nearest first.
pub fn choose_plain(candidates: &[Candidate], tie: u64) -> Option<usize> {
    least_loaded(candidates, tie)
}

fn below_share(candidate: &Candidate) -> bool {
    let share = (f64::from(candidate.slots) * ENGINE_SHARE).max(1.0);
    f64::from(candidate.in_flight) < share
}

fn best_by_affinity(
    candidates: &[Candidate],
    affinity: u64,
    fits: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.usable && fits(candidate))
        .max_by_key(|(_, candidate)| mix(candidate.hash ^ affinity))
        .map(|(index, _)| index)
}

fn least_loaded(candidates: &[Candidate], tie: u64) -> Option<usize> {
    let load = |candidate: &Candidate| {
        let handicap = if candidate.local {
            0.0
        } else {
            REMOTE_HANDICAP
        };
        (f64::from(candidate.in_flight) + handicap) / f64::from(candidate.slots.max(1))
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.usable)
        .min_by(|(_, one), (_, other)| {
            load(one)
                .total_cmp(&load(other))
                .then_with(|| mix(one.hash ^ tie).cmp(&mix(other.hash ^ tie)))
        })
        .map(|(index, _)| index)
}

/// Spreads a hash's bits (the finaliser of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hash of a text (FNV-1a).
pub fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
