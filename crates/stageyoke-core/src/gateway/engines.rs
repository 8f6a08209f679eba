//! What a gateway knows of the engines, and how it chooses one for a call.

use std::collections::{BTreeMap, BTreeSet};

use stageyoke_types::{EngineId, Text, Time};

use crate::fault::{FaultPoint, Faults};
use crate::hash;

/// Failures in a row after which an engine is left alone for a while.
const BREAKER_FAILURES: u32 = 3;
/// How long it is left alone, in milliseconds.
const BREAKER_OPEN_MS: Time = 2_000;
/// Age at which a reported wait counts for nothing, in milliseconds.
const REPORT_LIFETIME_MS: Time = 3_000;
/// Engines besides the home engine that a program may spill to.
const SPILL_SET: usize = 2;
/// Assumed prefill speed for comparing waits with refills, tokens per ms.
const PREFILL_TOKENS_PER_MS: u64 = 8;
/// Waiting time worth bearing before a cached session is moved, in milliseconds.
const SPILL_THRESHOLD_MS: u64 = 400;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The engine with the least expected wait.
    LeastLoaded,
    /// The engine that served the program last, whatever its load.
    StrictAffinity,
    /// The last engine, unless its wait is long; then one of a few fixed others.
    BoundedSpill,
    /// The engine with the least expected wait plus refill of the cache.
    #[default]
    CostBased,
}

/// An engine as declared by the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRecord {
    /// Name.
    pub id: EngineId,
    /// Model it serves.
    pub model: Text,
    /// Zone.
    pub zone: Text,
    /// Declared as leaving.
    pub leaving: bool,
    /// Calls it is given at once.
    pub slots: usize,
}

/// The configuration's share of the engine choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct EnginePolicy {
    /// Placement.
    pub placement: PlacementPolicy,
}

#[derive(Clone, Debug)]
struct EngineState {
    record: EngineRecord,
    reported_leaving: bool,
    failures: u32,
    open_until: Time,
    wait_ms: u64,
    wait_at: Time,
    in_flight: u32,
}

impl EngineState {
    fn new(record: EngineRecord) -> Self {
        Self {
            record,
            reported_leaving: false,
            failures: 0,
            open_until: 0,
            wait_ms: 0,
            wait_at: 0,
            in_flight: 0,
        }
    }

    /// The reported wait, fading with age, so that an engine that was once
    /// busy is tried again without a fresh report.
    fn expected_wait_ms(&self, now: Time) -> u64 {
        let age = now.saturating_sub(self.wait_at).min(REPORT_LIFETIME_MS);
        self.wait_ms * (REPORT_LIFETIME_MS - age) / REPORT_LIFETIME_MS
    }
}

/// The engines known to one gateway.
#[derive(Clone, Debug, Default)]
pub struct EngineDirectory {
    engines: BTreeMap<EngineId, EngineState>,
    policy: EnginePolicy,
    faults: Faults,
}

impl EngineDirectory {
    /// An empty directory.
    pub fn new(faults: Faults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    /// Takes the engines of a new configuration, keeping what is known of
    /// those that stay.
    pub fn configure(&mut self, records: Vec<EngineRecord>, policy: EnginePolicy) {
        self.policy = policy;
        let mut previous = std::mem::take(&mut self.engines);
        for record in records {
            let mut state = previous
                .remove(&record.id)
                .unwrap_or_else(|| EngineState::new(record.clone()));
            state.record = record;
            self.engines.insert(state.record.id.clone(), state);
        }
    }

    /// An engine says, or the machine list says of it, that it leaves.
    pub fn set_leaving(&mut self, engine: &EngineId, leaving: bool) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.reported_leaving = leaving;
        }
    }

    /// The declared engines.
    pub fn records(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values().map(|state| &state.record)
    }

    /// Whether the engine takes new work.
    pub fn accepts_work(&self, engine: &EngineId) -> bool {
        let state = self.engines.get(engine);
        state.is_some_and(|state| self.is_staying(state))
    }

    /// Records a wait reported by an engine's coordinator.
    pub fn report_wait(&mut self, engine: &EngineId, wait_ms: u32, now: Time) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.wait_ms = u64::from(wait_ms);
            state.wait_at = now;
        }
    }

    /// Counts a call sent to an engine.
    pub fn started(&mut self, engine: &EngineId) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.in_flight += 1;
        }
    }

    /// Counts a call's end at an engine.
    pub fn ended(&mut self, engine: &EngineId, failed: bool, now: Time) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        if !failed {
            state.failures = 0;
            return;
        }
        state.failures += 1;
        if state.failures >= BREAKER_FAILURES {
            state.failures = 0;
            state.open_until = now + BREAKER_OPEN_MS;
        }
    }

    /// Chooses an engine for a call, or none if no engine of the model can
    /// take it. Engines in `excluded` have failed it already and are used only
    /// if there is no other.
    pub fn choose(
        &self,
        model: &str,
        home: Option<&EngineId>,
        history_tokens: u64,
        excluded: &BTreeSet<EngineId>,
        program_digest: u64,
        now: Time,
    ) -> Option<EngineId> {
        let staying: Vec<&EngineState> = self
            .engines
            .values()
            .filter(|state| state.record.model.as_str() == model && self.is_staying(state))
            .collect();
        let healthy = |state: &&&EngineState| now >= state.open_until;
        let fresh = |state: &&&EngineState| !excluded.contains(&state.record.id);
        let mut usable: Vec<&EngineState> = staying
            .iter()
            .filter(healthy)
            .filter(fresh)
            .copied()
            .collect();
        if usable.is_empty() {
            usable = staying.iter().filter(fresh).copied().collect();
        }
        if usable.is_empty() {
            usable = staying;
        }
        let choice = Choice {
            usable: &usable,
            home: home.and_then(|home| {
                usable
                    .iter()
                    .find(|state| state.record.id == *home)
                    .copied()
            }),
            history_tokens,
            program_digest,
            now,
        };
        let chosen = match self.policy.placement {
            PlacementPolicy::LeastLoaded => choice.least_loaded(),
            PlacementPolicy::StrictAffinity => choice.home.or_else(|| choice.least_loaded()),
            PlacementPolicy::BoundedSpill => choice.bounded_spill(),
            PlacementPolicy::CostBased => choice.least_cost(),
        };
        chosen.map(|state| state.record.id.clone())
    }

    fn is_staying(&self, state: &EngineState) -> bool {
        let leaving = state.record.leaving || state.reported_leaving;
        !leaving || self.faults.is_set(FaultPoint::IgnoreLeaving)
    }
}

/// One choice among the usable engines.
struct Choice<'a> {
    usable: &'a [&'a EngineState],
    home: Option<&'a EngineState>,
    history_tokens: u64,
    program_digest: u64,
    now: Time,
}

impl<'a> Choice<'a> {
    /// Least expected wait; ties go to the fewest calls sent from here, then
    /// by a digest of program and engine, so that gateways with the same stale
    /// report do not all pick the same engine.
    fn least_loaded(&self) -> Option<&'a EngineState> {
        let best = self.usable.iter().min_by_key(|state| {
            (
                state.expected_wait_ms(self.now),
                state.in_flight,
                self.affinity(state),
            )
        });
        best.copied()
    }

    fn bounded_spill(&self) -> Option<&'a EngineState> {
        let Some(home) = self.home else {
            return self.least_loaded();
        };
        if home.expected_wait_ms(self.now) <= SPILL_THRESHOLD_MS {
            return Some(home);
        }
        let mut others: Vec<&EngineState> = self.usable.to_vec();
        others.sort_by_key(|state| self.affinity(state));
        let spill = others.into_iter().take(SPILL_SET).chain([home]);
        spill.min_by_key(|state| state.expected_wait_ms(self.now))
    }

    fn least_cost(&self) -> Option<&'a EngineState> {
        let refill_ms = self.history_tokens / PREFILL_TOKENS_PER_MS;
        let best = self.usable.iter().min_by_key(|state| {
            let is_home = self
                .home
                .is_some_and(|home| home.record.id == state.record.id);
            let refill = if is_home { 0 } else { refill_ms };
            (
                state.expected_wait_ms(self.now) + refill,
                !is_home,
                state.in_flight,
                self.affinity(state),
            )
        });
        best.copied()
    }

    fn affinity(&self, state: &EngineState) -> u64 {
        hash::mix(hash::of_text(&state.record.id.0) ^ self.program_digest)
    }
}
