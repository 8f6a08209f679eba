//! Splits a route's requests over its targets by weight, evenly in time
//! (smooth weighted round robin).

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use stageyoke_directory::{Route, RouteTable, Target};
use stageyoke_types::Text;

#[derive(Debug, Default)]
struct Turns {
    targets: Vec<Target>,
    credit: Vec<i64>,
}

/// Whose turn it is, by route.
#[derive(Debug, Default)]
pub struct Shares {
    routes: RefCell<HashMap<Text, Turns>>,
}

impl Shares {
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
            turns.targets = route.targets.clone();
            turns.credit = vec![0; route.targets.len()];
        }
        let total: i64 = turns
            .targets
            .iter()
            .map(|target| i64::from(target.weight))
            .sum();
        for (credit, target) in turns.credit.iter_mut().zip(&turns.targets) {
            *credit += i64::from(target.weight);
        }
        let next = (0..turns.credit.len()).max_by_key(|index| turns.credit[*index])?;
        turns.credit[next] -= total;
        Some(turns.targets[next].service.clone())
    }
}
