//! Counts lost machines and disks from the operator's view, by time alone: a machine
//! counts as lost while it is unavailable and for the catch-up time after it returns or
//! first starts; one that is gone counts until its successor has had that time. The
//! stores' own progress is not considered.

/// A machine's status at one moment.
#[derive(Clone, Copy, Debug)]
pub struct MachineStatus {
    /// The machine runs, is reachable and its disk accepts writes.
    pub available: bool,
    /// The operator is retiring the machine.
    pub retiring: bool,
    /// The machine is gone for good, lost or retired.
    pub gone: bool,
}

#[derive(Clone, Debug, Default)]
struct Machine {
    available_since: Option<u64>,
    retiring: bool,
    gone: bool,
    successor: Option<usize>,
}

/// A lost disk whose replacement has not had its catch-up time yet.
#[derive(Clone, Copy, Debug)]
struct LostDisk {
    store: usize,
    recovering_since: Option<u64>,
}

/// Tracks the losses of one deployment.
#[derive(Clone, Debug)]
pub struct LossTracker {
    catch_up_millis: u64,
    max_lost_disks: usize,
    max_lost_machines: usize,
    machines: Vec<Machine>,
    lost_disks: Vec<LostDisk>,
    service_stable_since: Option<u64>,
    changed_at: u64,
    within_tolerance_since: Option<u64>,
}

impl LossTracker {
    /// Starts with nothing lost. At most `max_lost_disks` disks may be lost at once;
    /// every group serves while at most `max_lost_machines` machines are.
    pub fn new(catch_up_millis: u64, max_lost_disks: usize, max_lost_machines: usize) -> Self {
        Self {
            catch_up_millis,
            max_lost_disks,
            max_lost_machines,
            machines: Vec::new(),
            lost_disks: Vec::new(),
            service_stable_since: None,
            changed_at: 0,
            within_tolerance_since: None,
        }
    }

    /// Updates the status of all machines and of the key-value service.
    pub fn observe(&mut self, now: u64, machines: &[MachineStatus], service_stable: bool) {
        self.machines.resize_with(machines.len(), Machine::default);
        for (number, status) in machines.iter().enumerate() {
            self.observe_machine(number, *status, now);
        }
        if service_stable != self.service_stable_since.is_some() {
            self.service_stable_since = service_stable.then_some(now);
            self.changed_at = now;
        }
        self.update_recovery_times(now);
        let is_within_tolerance = self.is_within_tolerance(now);
        self.within_tolerance_since =
            is_within_tolerance.then(|| self.within_tolerance_since.unwrap_or(now));
    }

    fn observe_machine(&mut self, number: usize, status: MachineStatus, now: u64) {
        let machine = &mut self.machines[number];
        if status.available != machine.available_since.is_some() {
            machine.available_since = status.available.then_some(now);
            self.changed_at = now;
        }
        if (status.retiring, status.gone) != (machine.retiring, machine.gone) {
            machine.retiring = status.retiring;
            machine.gone = status.gone;
            self.changed_at = now;
        }
    }

    /// A lost disk's catch-up time runs while its store is available, the key-value
    /// service is stable and no more machines are unavailable than tolerated; otherwise
    /// it restarts.
    fn update_recovery_times(&mut self, now: u64) {
        let holders: Vec<Option<usize>> = self
            .lost_disks
            .iter()
            .map(|lost| self.current_holder(lost.store))
            .collect();
        let is_unavailable = |number: &usize| {
            let machine = &self.machines[*number];
            !machine.gone && machine.available_since.is_none() && !holders.contains(&Some(*number))
        };
        let others_unavailable = (0..self.machines.len()).filter(is_unavailable).count();
        let exceeds_tolerance = holders.len() + others_unavailable > self.max_lost_disks;
        let can_recover = self.service_stable_since.is_some() && !exceeds_tolerance;
        for (lost, holder) in self.lost_disks.iter_mut().zip(&holders) {
            let available = holder.is_some_and(|holder| {
                let machine = self.machines.get(holder);
                machine.is_some_and(|machine| machine.available_since.is_some())
            });
            let is_recovering = available && can_recover;
            lost.recovering_since = is_recovering.then(|| lost.recovering_since.unwrap_or(now));
        }
        let catch_up_millis = self.catch_up_millis;
        let has_recovered = |lost: &LostDisk| {
            let since = lost.recovering_since;
            since.is_some_and(|since| now - since >= catch_up_millis)
        };
        self.lost_disks.retain(|lost| !has_recovered(lost));
    }

    /// The machine that stands for a store: itself or its latest successor.
    fn current_holder(&self, store: usize) -> Option<usize> {
        let mut holder = store;
        while let Some(machine) = self.machines.get(holder) {
            if !machine.gone {
                break;
            }
            holder = machine.successor?;
        }
        Some(holder)
    }

    /// Whether losing this store's disk now stays within the tolerance.
    pub fn may_lose_disk(&self, store: usize) -> bool {
        let other_losses = self.lost_disks.iter();
        let other_losses =
            other_losses.filter(|lost| self.current_holder(lost.store) != Some(store));
        other_losses.count() < self.max_lost_disks
    }

    /// Records the loss of this store's disk, which must be within the tolerance.
    pub fn record_disk_loss(&mut self, store: usize, now: u64) {
        self.changed_at = now;
        self.machines[store].available_since = None;
        let same_holder = self.lost_disks.iter();
        let same_holder: Vec<bool> = same_holder
            .map(|lost| self.current_holder(lost.store) == Some(store))
            .collect();
        match same_holder.iter().position(|same| *same) {
            Some(position) => self.lost_disks[position].recovering_since = None,
            None => self.lost_disks.push(LostDisk {
                store,
                recovering_since: None,
            }),
        }
        assert!(self.lost_disks.len() <= self.max_lost_disks);
    }

    /// Adds a machine as successor of a gone or retiring one that has none, preferring
    /// one whose disk was lost.
    pub fn add_machine(&mut self, number: usize) {
        let needs_successor = |store: &usize| {
            let machine = &self.machines[*store];
            (machine.gone || machine.retiring) && machine.successor.is_none()
        };
        let has_lost_disk = |store: &usize| self.lost_disks.iter().any(|lost| lost.store == *store);
        let without_successor = || (0..self.machines.len()).filter(needs_successor);
        let with_lost_disk = without_successor().find(has_lost_disk);
        let replaced = with_lost_disk.or_else(|| without_successor().next());
        if let Some(replaced) = replaced {
            self.machines[replaced].successor = Some(number);
        }
    }

    /// Since when the catch-up time of a lost disk has been running.
    pub fn recovering_since(&self, store: usize) -> Option<u64> {
        let mut lost = self.lost_disks.iter();
        lost.find(|lost| lost.store == store)?.recovering_since
    }

    /// Since when every group has tolerated the current losses while the key-value service
    /// was stable.
    pub fn within_tolerance_since(&self) -> Option<u64> {
        self.within_tolerance_since
    }

    /// Since when, in addition, the catch-up time has passed without a change of any machine.
    pub fn undisturbed_since(&self) -> Option<u64> {
        let within_tolerance_since = self.within_tolerance_since?;
        Some(within_tolerance_since.max(self.changed_at + self.catch_up_millis))
    }

    fn is_within_tolerance(&self, now: u64) -> bool {
        let catch_up_millis = self.catch_up_millis;
        let has_caught_up =
            |since: Option<u64>| since.is_some_and(|since| now - since >= catch_up_millis);
        let counts_as_lost = |machine: &&Machine| {
            let needs_successor = machine.successor.is_none() && (machine.gone || machine.retiring);
            needs_successor || (!machine.gone && !has_caught_up(machine.available_since))
        };
        let lost = self.machines.iter().filter(counts_as_lost).count();
        lost <= self.max_lost_machines && has_caught_up(self.service_stable_since)
    }
}
