//! Counts losses as those do who run the deployment: a machine is lost while it is
//! away, and for a time after its return or its first start; one that is gone
//! counts until its successor has had that time. What the stores have made of it
//! by then plays no part.

/// How a machine stands at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Presence {
    /// It runs, is in touch and takes what it is given.
    pub present: bool,
    /// The operator wants it emptied.
    pub retiring: bool,
    /// It will not come back.
    pub gone: bool,
}

#[derive(Clone, Debug, Default)]
struct Machine {
    present_since: Option<u64>,
    retiring: bool,
    gone: bool,
    successor: Option<usize>,
}

/// A disk that was lost, until the one in its place has had its time.
#[derive(Clone, Copy, Debug)]
struct LostDisk {
    store: usize,
    counted_from: Option<u64>,
}

/// The count of one deployment.
#[derive(Clone, Debug)]
pub struct Losses {
    catch_up: u64,
    disks_tolerated: usize,
    machines_borne: usize,
    machines: Vec<Machine>,
    lost_disks: Vec<LostDisk>,
    stable_since: Option<u64>,
    changed_at: u64,
    calm_since: Option<u64>,
}

impl Losses {
    /// None is lost yet. So many disks may be lost at once, and so many machines
    /// while every group serves.
    pub fn new(catch_up: u64, disks_tolerated: usize, machines_borne: usize) -> Self {
        Self {
            catch_up,
            disks_tolerated,
            machines_borne,
            machines: Vec::new(),
            lost_disks: Vec::new(),
            stable_since: None,
            changed_at: 0,
            calm_since: None,
        }
    }

    /// Takes how all machines and the key-value service stand now.
    pub fn observe(&mut self, now: u64, machines: &[Presence], service_stable: bool) {
        self.machines.resize_with(machines.len(), Machine::default);
        for (number, presence) in machines.iter().enumerate() {
            self.observe_machine(number, *presence, now);
        }
        if service_stable != self.stable_since.is_some() {
            self.stable_since = service_stable.then_some(now);
            self.changed_at = now;
        }
        self.run_clocks(now);
        let calm = self.calm(now);
        self.calm_since = calm.then(|| self.calm_since.unwrap_or(now));
    }

    fn observe_machine(&mut self, number: usize, presence: Presence, now: u64) {
        let machine = &mut self.machines[number];
        if presence.present != machine.present_since.is_some() {
            machine.present_since = presence.present.then_some(now);
            self.changed_at = now;
        }
        if (presence.retiring, presence.gone) != (machine.retiring, machine.gone) {
            machine.retiring = presence.retiring;
            machine.gone = presence.gone;
            self.changed_at = now;
        }
    }

    /// The time of a lost disk runs while its store is present, the key-value
    /// service is stable and no more is away than may be: else it begins anew.
    fn run_clocks(&mut self, now: u64) {
        let holders: Vec<Option<usize>> = self
            .lost_disks
            .iter()
            .map(|lost| self.holder(lost.store))
            .collect();
        let away = |number: &usize| {
            let machine = &self.machines[*number];
            !machine.gone && machine.present_since.is_none() && !holders.contains(&Some(*number))
        };
        let others_away = (0..self.machines.len()).filter(away).count();
        let too_many = holders.len() + others_away > self.disks_tolerated;
        let stable = self.stable_since.is_some() && !too_many;
        for (lost, holder) in self.lost_disks.iter_mut().zip(&holders) {
            let present = holder.is_some_and(|holder| {
                let machine = self.machines.get(holder);
                machine.is_some_and(|machine| machine.present_since.is_some())
            });
            let runs = present && stable;
            lost.counted_from = runs.then(|| lost.counted_from.unwrap_or(now));
        }
        let catch_up = self.catch_up;
        let over = |lost: &LostDisk| {
            let from = lost.counted_from;
            from.is_some_and(|from| now - from >= catch_up)
        };
        self.lost_disks.retain(|lost| !over(lost));
    }

    /// Who stands in a store's place: itself, or its last successor.
    fn holder(&self, store: usize) -> Option<usize> {
        let mut holder = store;
        while let Some(machine) = self.machines.get(holder) {
            if !machine.gone {
                break;
            }
            holder = machine.successor?;
        }
        Some(holder)
    }

    /// Whether this store's disk may be lost now.
    pub fn may_lose(&self, store: usize) -> bool {
        let others = self.lost_disks.iter();
        let others = others.filter(|lost| self.holder(lost.store) != Some(store));
        others.count() < self.disks_tolerated
    }

    /// This store's disk is lost; it may be.
    pub fn lose(&mut self, store: usize, now: u64) {
        self.changed_at = now;
        self.machines[store].present_since = None;
        let known = self.lost_disks.iter();
        let known: Vec<bool> = known
            .map(|lost| self.holder(lost.store) == Some(store))
            .collect();
        match known.iter().position(|known| *known) {
            Some(position) => self.lost_disks[position].counted_from = None,
            None => self.lost_disks.push(LostDisk {
                store,
                counted_from: None,
            }),
        }
        assert!(self.lost_disks.len() <= self.disks_tolerated);
    }

    /// A machine is added: it comes in the place of one that has no successor,
    /// first of one whose disk was lost.
    pub fn arrive(&mut self, number: usize) {
        let vacant = |store: &usize| {
            let machine = &self.machines[*store];
            (machine.gone || machine.retiring) && machine.successor.is_none()
        };
        let lost = |store: &usize| self.lost_disks.iter().any(|lost| lost.store == *store);
        let vacancies = || (0..self.machines.len()).filter(vacant);
        let lost_first = vacancies().find(lost);
        let replaced = lost_first.or_else(|| vacancies().next());
        if let Some(replaced) = replaced {
            self.machines[replaced].successor = Some(number);
        }
    }

    /// Since when a lost disk's time runs.
    pub fn counted_from(&self, store: usize) -> Option<u64> {
        let mut lost = self.lost_disks.iter();
        lost.find(|lost| lost.store == store)?.counted_from
    }

    /// Since when no more machines count as lost than every group bears, and the
    /// key-value service is stable.
    pub fn calm_since(&self) -> Option<u64> {
        self.calm_since
    }

    /// Since when, besides, nothing has become of any machine for the time that
    /// they have after a return.
    pub fn settled_since(&self) -> Option<u64> {
        let calm_since = self.calm_since?;
        Some(calm_since.max(self.changed_at + self.catch_up))
    }

    fn calm(&self, now: u64) -> bool {
        let catch_up = self.catch_up;
        let long_enough = |since: Option<u64>| since.is_some_and(|since| now - since >= catch_up);
        let counts = |machine: &&Machine| {
            let vacant = machine.successor.is_none() && (machine.gone || machine.retiring);
            vacant || (!machine.gone && !long_enough(machine.present_since))
        };
        let lost = self.machines.iter().filter(counts).count();
        lost <= self.machines_borne && long_enough(self.stable_since)
    }
}
