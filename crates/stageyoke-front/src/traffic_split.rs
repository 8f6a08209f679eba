//! Splits a route's requests over its targets by weight, evenly in time (smooth weighted
//! round robin).
//!
//! Each front starts a route's cycle at an offset of its own. If all fronts started at the
//! same target, the heaviest target would get too many requests wherever each front sees
//! only a few.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use stageyoke_directory::{Route, RouteTable, Target};
use stageyoke_types::Text;
use stageyoke_types::hash::mix;

use crate::placement::hash_text;

/// Maximum offset at which a front starts a cycle.
const MAX_START_OFFSET: u64 = 1000;

#[derive(Debug, Default)]
struct TargetCycle {
    targets: Vec<Target>,
    credit: Vec<i64>,
}

impl TargetCycle {
    /// Creates a cycle over the targets, advanced to an offset derived from `seed`.
    fn with_offset(targets: &[Target], seed: u64) -> Self {
        let mut cycle = Self {
            targets: targets.to_vec(),
            credit: vec![0; targets.len()],
        };
        let length = cycle.total().unsigned_abs().clamp(1, MAX_START_OFFSET);
        for _ in 0..mix(seed) % length {
            cycle.next();
        }
        cycle
    }

    fn total(&self) -> i64 {
        let weights = self.targets.iter().map(|target| i64::from(target.weight));
        weights.sum()
    }

    /// Returns the index of the next target and advances the cycle.
    fn next(&mut self) -> Option<usize> {
        for (credit, target) in self.credit.iter_mut().zip(&self.targets) {
            *credit += i64::from(target.weight);
        }
        let next = (0..self.credit.len()).max_by_key(|index| self.credit[*index])?;
        self.credit[next] -= self.total();
        Some(next)
    }
}

/// Weighted round robin state by route.
#[derive(Debug, Default)]
pub struct TrafficSplit {
    seed: u64,
    routes: RefCell<HashMap<Text, TargetCycle>>,
}

impl TrafficSplit {
    /// Creates a split whose cycles start at offsets derived from `seed`, which differs
    /// between fronts.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            routes: RefCell::default(),
        }
    }

    /// Drops the state of routes that no longer exist.
    pub fn retain_routes(&self, routes: &RouteTable) {
        let names: HashSet<&Text> = routes.routes.iter().map(|route| &route.name).collect();
        let mut cycles = self.routes.borrow_mut();
        cycles.retain(|name, _| names.contains(name));
    }

    /// Returns the service that gets the route's next request.
    pub fn next_service(&self, route: &Route) -> Option<Text> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let mut routes = self.routes.borrow_mut();
        let cycle = routes.entry(route.name.clone()).or_default();
        if cycle.targets != route.targets {
            let seed = self.seed ^ hash_text(&route.name);
            *cycle = TargetCycle::with_offset(&route.targets, seed);
        }
        let next = cycle.next()?;
        Some(cycle.targets[next].service.clone())
    }
}
