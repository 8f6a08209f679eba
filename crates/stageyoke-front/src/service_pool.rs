//! Replicas of one service, and which of them a request considers.
//!
//! All replicas of a small service are considered. Of a large one, a request considers a bounded
//! number, so that the time to place it does not grow with the fleet: the cell of its store
//! group, or a window of the hash order that all fronts choose alike for a program; and the
//! replicas that this front used last, which have connections and cached prompts.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use stageyoke_directory::GroupNumber;
use stageyoke_types::Text;
use stageyoke_types::hash::mix;

use crate::replica::Replica;
use crate::replica_registry::ReplicaQuery;

/// Number of replicas up to which all are considered.
pub const MAX_CONSIDERED: usize = 256;
/// Maximum number of replicas of a cell that are considered.
const MAX_CELL: usize = 512;
/// Number of replicas in the window of the front's own zone and in that of all zones.
const ZONE_WINDOW: usize = 64;
const GLOBAL_WINDOW: usize = 32;
/// Number of recently used replicas that are considered.
const MAX_RECENT: usize = 32;
/// Minimum number of replicas per store group for a service to be divided into cells. In
/// smaller cells, a burst of one group's programs would fill its replicas while others are
/// idle.
const MIN_CELL_REPLICAS: usize = 6;

/// Replicas of one service.
#[derive(Default)]
pub struct ServicePool {
    /// All replicas, in cell order.
    replicas: Vec<Rc<Replica>>,
    /// Replicas of each zone, in cell order.
    zones: HashMap<Text, Vec<Rc<Replica>>>,
    /// Number of cells; zero without cells.
    cells: usize,
    /// Replicas of a large service that this front used last, the newest first.
    recent: RefCell<VecDeque<Rc<Replica>>>,
    last_selection: Cell<u64>,
}

impl ServicePool {
    /// Returns all replicas.
    pub fn all(&self) -> &[Rc<Replica>] {
        &self.replicas
    }

    /// Drops removed replicas, adds others, and divides the replicas among the store groups.
    /// All fronts use the same order, and adding or removing a replica moves few others to
    /// another group.
    pub fn update(&mut self, added: Vec<Rc<Replica>>, store_groups: usize) {
        for replica in &added {
            let zone = self.zones.entry(replica.record.zone.clone()).or_default();
            zone.push(replica.clone());
        }
        self.replicas.extend(added);
        let zones = self.zones.values_mut();
        for list in zones.chain([&mut self.replicas]) {
            list.retain(|replica| !replica.is_removed());
            list.sort_by_key(|replica| replica.cell_order());
        }
        self.zones.retain(|_, replicas| !replicas.is_empty());
        self.recent
            .borrow_mut()
            .retain(|replica| !replica.is_removed());
        self.assign_cells(store_groups);
    }

    /// Divides the replicas into one cell for each store group.
    pub fn assign_cells(&mut self, store_groups: usize) {
        let count = self.replicas.len();
        let has_cells = store_groups > 0 && count >= store_groups * MIN_CELL_REPLICAS;
        self.cells = if has_cells { store_groups } else { 0 };
        for (position, replica) in self.replicas.iter().enumerate() {
            let number = u32::try_from(position * store_groups / count).unwrap_or_default();
            replica.set_cell(has_cells.then_some(GroupNumber(number)));
        }
    }

    /// Returns whether a request considers only some of the replicas.
    pub fn is_large(&self) -> bool {
        self.replicas.len() > MAX_CONSIDERED
    }

    /// Returns the replicas that a request considers.
    pub fn considered(&self, query: &ReplicaQuery<'_>) -> Vec<Rc<Replica>> {
        if !self.is_large() {
            return self.replicas.clone();
        }
        let mut selection = Selection::start(&self.last_selection);
        match query.group.and_then(|group| self.cell(group)) {
            Some(cell) => selection.add(cell.iter().take(MAX_CELL)),
            None => {
                let zone = self.zones.get(query.zone).map_or(&[][..], Vec::as_slice);
                selection.add(window(zone, query.affinity, ZONE_WINDOW));
                selection.add(window(&self.replicas, query.affinity, GLOBAL_WINDOW));
            }
        }
        selection.add(self.recent.borrow().iter());
        selection.replicas
    }

    /// Notes that the front uses a replica.
    pub fn record_use(&self, replica: &Rc<Replica>) {
        if !self.is_large() {
            return;
        }
        let mut recent = self.recent.borrow_mut();
        recent.retain(|other| !Rc::ptr_eq(other, replica));
        recent.push_front(replica.clone());
        recent.truncate(MAX_RECENT);
    }

    fn cell(&self, group: GroupNumber) -> Option<&[Rc<Replica>]> {
        let number = group.0 as usize;
        if number >= self.cells {
            return None;
        }
        let count = self.replicas.len();
        let start = |number: usize| (number * count).div_ceil(self.cells);
        self.replicas.get(start(number)..start(number + 1))
    }
}

/// Returns the replicas that follow a hash in the cell order, which is cyclic.
fn window(
    replicas: &[Rc<Replica>],
    affinity: u64,
    length: usize,
) -> impl Iterator<Item = &Rc<Replica>> {
    let start = replicas.partition_point(|replica| replica.cell_order() < mix(affinity));
    let (before, after) = replicas.split_at(start);
    after.iter().chain(before).take(length)
}

/// Replicas that one request considers, each once.
struct Selection {
    number: u64,
    replicas: Vec<Rc<Replica>>,
}

impl Selection {
    fn start(last: &Cell<u64>) -> Self {
        last.set(last.get() + 1);
        Self {
            number: last.get(),
            replicas: Vec::new(),
        }
    }

    fn add<'a>(&mut self, replicas: impl Iterator<Item = &'a Rc<Replica>>) {
        let number = self.number;
        let selected = replicas.filter(|replica| replica.select(number));
        self.replicas.extend(selected.cloned());
    }
}
