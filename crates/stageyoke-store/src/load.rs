//! What fronts have under way at replicas. It travels with the records that
//! fronts send to stores anyway, and is a hint: placement uses it, nothing
//! that must hold depends on it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use stageyoke_types::List;
use tokio::time::Instant;

use crate::message::{LoadEntry, LoadReport};

/// Replicas in one report.
pub const MAX_ENTRIES: usize = 64;
/// A report counts for this long.
pub const REPORT_LIFE: Duration = Duration::from_millis(500);

/// A front's own counts and what it last heard of all others.
#[derive(Debug)]
pub struct LoadBoard {
    front: u32,
    own: RefCell<HashMap<u32, u16>>,
    others: RefCell<(HashMap<u32, u16>, Instant)>,
}

impl LoadBoard {
    /// An empty board of the front with this number.
    pub fn new(front: u32) -> Self {
        Self {
            front,
            own: RefCell::default(),
            others: RefCell::new((HashMap::new(), Instant::now())),
        }
    }

    /// Counts a request as begun at a replica.
    pub fn begin(&self, replica: u32) {
        *self.own.borrow_mut().entry(replica).or_default() += 1;
    }

    /// Counts a request as ended at a replica.
    pub fn end(&self, replica: u32) {
        let mut own = self.own.borrow_mut();
        if let Some(count) = own.get_mut(&replica) {
            *count -= 1;
            if *count == 0 {
                own.remove(&replica);
            }
        }
    }

    /// What this front tells.
    pub fn report(&self) -> LoadReport {
        let mut entries: Vec<LoadEntry> = self
            .own
            .borrow()
            .iter()
            .map(|(replica, under_way)| LoadEntry {
                replica: *replica,
                under_way: *under_way,
            })
            .collect();
        keep_busiest(&mut entries);
        LoadReport {
            front: self.front,
            entries: List(entries),
        }
    }

    /// Takes what a store knows of all other fronts.
    pub fn hear(&self, others: List<LoadEntry>) {
        let counts = others
            .into_iter()
            .map(|entry| (entry.replica, entry.under_way))
            .collect();
        *self.others.borrow_mut() = (counts, Instant::now());
    }

    /// Requests under way at a replica, as far as known.
    pub fn under_way(&self, replica: u32) -> u32 {
        let own = self.own.borrow().get(&replica).copied().unwrap_or_default();
        let (others, heard) = &*self.others.borrow();
        let others = match heard.elapsed() < REPORT_LIFE {
            true => others.get(&replica).copied().unwrap_or_default(),
            false => 0,
        };
        u32::from(own) + u32::from(others)
    }
}

/// A store's collection of reports.
#[derive(Debug, Default)]
pub struct LoadReports {
    fronts: RefCell<HashMap<u32, (List<LoadEntry>, Instant)>>,
}

impl LoadReports {
    /// Takes a front's report in place of its former one.
    pub fn take(&self, report: LoadReport) {
        let heard = (report.entries, Instant::now());
        self.fronts.borrow_mut().insert(report.front, heard);
    }

    /// The sum over all fronts but one, for the busiest replicas.
    pub fn of_others(&self, front: u32) -> List<LoadEntry> {
        let mut fronts = self.fronts.borrow_mut();
        fronts.retain(|_, (_, heard)| heard.elapsed() < REPORT_LIFE);
        let mut sums: HashMap<u32, u16> = HashMap::new();
        let others = fronts.iter().filter(|(other, _)| **other != front);
        for entry in others.flat_map(|(_, (entries, _))| entries.iter()) {
            let sum = sums.entry(entry.replica).or_default();
            *sum = sum.saturating_add(entry.under_way);
        }
        let mut entries: Vec<LoadEntry> = sums
            .into_iter()
            .map(|(replica, under_way)| LoadEntry { replica, under_way })
            .collect();
        keep_busiest(&mut entries);
        List(entries)
    }
}

/// Messages stay small with thousands of replicas: only the busiest matter.
fn keep_busiest(entries: &mut Vec<LoadEntry>) {
    if entries.len() > MAX_ENTRIES {
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.under_way));
        entries.truncate(MAX_ENTRIES);
    }
}
