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
const LONGEST_START: u64 = 1000;

#[derive(Debug, Default)]
struct Turns {
    targets: Vec<Target>,
    credit: Vec<i64>,
}

impl Turns {
    /// The cycle over these targets, from the place that `seed` draws.
    fn starting(targets: &[Target], seed: u64) -> Self {
        let mut turns = Self {
            targets: targets.to_vec(),
            credit: vec![0; targets.len()],
        };
        let cycle = turns.total().unsigned_abs().clamp(1, LONGEST_START);
        for _ in 0..mix(seed) % cycle {
            turns.next();
        }
        turns
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
pub struct Shares {
    seed: u64,
    routes: RefCell<HashMap<Text, Turns>>,
}

impl Shares {
    /// Cycles that start at places drawn by `seed`, which differs by front.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            routes: RefCell::default(),
        }
    }

    /// Forgets routes that are no longer there.
    pub fn follow(&self, routes: &RouteTable) {
        let names: HashSet<&Text> = routes.routes.iter().map(|route| &route.name).collect();
        let mut turns = self.routes.borrow_mut();
        turns.retain(|name, _| names.contains(name));
    }

    /// The service that gets the route's next request.
    pub fn pick(&self, route: &Route) -> Option<Text> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let mut routes = self.routes.borrow_mut();
        let turns = routes.entry(route.name.clone()).or_default();
        if turns.targets != route.targets {
            let seed = self.seed ^ hash_text(&route.name);
            *turns = Turns::starting(&route.targets, seed);
        }
        let next = turns.next()?;
        Some(turns.targets[next].service.clone())
    }
}
