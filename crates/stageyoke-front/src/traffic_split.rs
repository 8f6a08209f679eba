//! Splits a route's requests over its targets by weight, evenly in time
//! (smooth weighted round robin).
//!
//! Each front starts a route's cycle at a place of its own. Fronts that all
//! started at the cycle's beginning would give the heaviest target too much
//! where each sees only a few of the route's requests.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use stageyoke_directory::{Route, RouteTable, Target};
use stageyoke_types::Text;
use stageyoke_types::hash::mix;

use crate::placement::hash_text;

/// Places of a cycle that a front may start at; longer cycles start within
/// their first part.
const MAX_START_OFFSET: u64 = 1000;

#[derive(Debug, Default)]
struct TargetCycle {
    targets: Vec<Target>,
    credit: Vec<i64>,
}

impl TargetCycle {
    /// The cycle over these targets, from the place that `seed` draws.
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

    /// The target whose turn it is.
    fn next(&mut self) -> Option<usize> {
        for (credit, target) in self.credit.iter_mut().zip(&self.targets) {
            *credit += i64::from(target.weight);
        }
        let next = (0..self.credit.len()).max_by_key(|index| self.credit[*index])?;
        self.credit[next] -= self.total();
        Some(next)
    }
}

/// Whose turn it is, by route.
#[derive(Debug, Default)]
pub struct TrafficSplit {
    seed: u64,
    routes: RefCell<HashMap<Text, TargetCycle>>,
}

impl TrafficSplit {
    /// Cycles that start at places drawn by `seed`, which differs by front.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            routes: RefCell::default(),
        }
    }

    /// Forgets routes that are no longer there.
    pub fn retain_routes(&self, routes: &RouteTable) {
        let names: HashSet<&Text> = routes.routes.iter().map(|route| &route.name).collect();
        let mut cycles = self.routes.borrow_mut();
        cycles.retain(|name, _| names.contains(name));
    }

    /// The service that gets the route's next request.
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
