//! A front's dealings with all store groups: each program's records go to the
//! members of its group, and to no other store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Freshness, GroupNumber, Member, StoreGroups, Tolerance};
use stageyoke_policy::quota::AcquireRequest;
use stageyoke_types::Text;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::Instant;

use crate::client::StoreClient;
use crate::group_client::{ChainOutcome, GroupClient, GroupContext, GroupError};
use crate::keys::TurnKey;
use crate::load::LoadTracker;
use crate::message::{ChainPart, Placement, Record, Request};
use crate::quorum::{ChainLookup, LedgerView};
use crate::quota_owners::{self, OwnerDecision, QuotaGrant, QuotaOwners};

/// How long the group that a program belongs to may take before the others are
/// asked for a turn that the program goes on from: another program may have
/// made it. A few ways to a store and back.
const OTHERS_AFTER: Duration = Duration::from_millis(60);

/// How long a hint is tried.
const TELL_WITHIN: Duration = Duration::from_millis(500);

/// Connections to the store groups, following their map.
pub struct GroupClients {
    shared: GroupContext,
    stores: RefCell<Rc<StoreGroups>>,
    groups: RefCell<Vec<Rc<GroupClient>>>,
    owners: QuotaOwners,
    /// Since when records find no group, as the groups are not known.
    unknown_since: Cell<Option<Instant>>,
}

/// What one group said of a turn.
struct Answer {
    own: bool,
    step: ChainLookup,
}

impl GroupClients {
    /// No groups yet, for a front in this zone.
    pub fn new(zone: Text, tolerance: Tolerance) -> Self {
        Self {
            owners: QuotaOwners::with_tolerance(tolerance.clone()),
            shared: GroupContext::new(zone, tolerance),
            stores: RefCell::default(),
            groups: RefCell::default(),
            unknown_since: Cell::new(None),
        }
    }

    /// The directory that what stores tell counts for.
    pub(crate) fn directory(&self) -> Option<&Rc<Freshness>> {
        self.shared.directory.as_ref()
    }

    /// The same; what stores tell of the directory counts for this one.
    pub fn with_directory_freshness(self, directory: Rc<Freshness>) -> Self {
        let shared = GroupContext {
            directory: Some(directory),
            ..self.shared
        };
        Self { shared, ..self }
    }

    /// What fronts have under way at replicas.
    pub fn load(&self) -> &Rc<LoadTracker> {
        &self.shared.load
    }

    /// The store groups in use.
    pub fn stores(&self) -> Rc<StoreGroups> {
        self.stores.borrow().clone()
    }

    /// Takes the store groups unless they are older than those in use.
    pub fn update_stores(&self, stores: &Rc<StoreGroups>) {
        if stores.version < self.stores().version {
            return;
        }
        let mut groups = self.groups.borrow_mut();
        for (number, members) in stores.numbered() {
            if groups.len() <= number.0 as usize {
                groups.push(Rc::new(GroupClient::new(number, self.shared.clone())));
            }
            groups[number.0 as usize].update_members(members);
        }
        if !groups.is_empty() {
            self.unknown_since.set(None);
        }
        drop(groups);
        self.owners.update_stores(stores);
        *self.stores.borrow_mut() = stores.clone();
    }

    fn client(&self, node: &Text) -> Option<Rc<StoreClient>> {
        let groups = self.groups.borrow();
        groups.iter().find_map(|group| group.client(node))
    }

    /// Asks the stores that count a tenant's requests for one more; `None` where
    /// none of them answers.
    pub async fn request_quota(&self, question: AcquireRequest) -> Option<OwnerDecision> {
        let client = |node: &Text| self.client(node);
        self.owners.request_decision(question, client).await
    }

    /// Gives back a request that an owner has granted and that was not run.
    pub fn refund(&self, grant: &QuotaGrant) {
        quota_owners::refund(grant, self.client(&grant.owner));
    }

    /// Takes what refusals have brought; true if there was any.
    fn follow_newer(&self) -> bool {
        let newer = self.shared.newer.borrow_mut().take();
        match newer {
            Some(newer) => {
                self.update_stores(&Rc::new(newer));
                true
            }
            None => false,
        }
    }

    /// Connections to some stores: one of the front's zone, as its way is short,
    /// and others at random, as what ails one may ail its whole zone.
    pub fn sample_clients(&self, most: usize) -> Vec<Rc<StoreClient>> {
        let stores = self.stores();
        let mut members: Vec<&Member> = stores.members().collect();
        members.sort_by_cached_key(|_| rand::random::<u32>());
        let near = |member: &&Member| member.zone == self.shared.zone;
        if let Some(nearest) = members.iter().position(near) {
            members.swap(0, nearest);
        }
        let asked = members.into_iter().take(most);
        asked
            .filter_map(|member| self.client(&member.node))
            .collect()
    }

    /// The group that keeps what a program does. A turn that names no program
    /// is its own.
    pub fn group_of_program(&self, program: &str, turn: &str) -> Option<Rc<GroupClient>> {
        let own = || self.number_of(turn);
        let GroupNumber(number) = self.group_number(program).or_else(own)?;
        self.groups.borrow().get(number as usize).cloned()
    }

    /// The number of a program's group; none for what has no program.
    pub fn group_number(&self, program: &str) -> Option<GroupNumber> {
        match program.is_empty() {
            true => None,
            false => self.number_of(program),
        }
    }

    fn number_of(&self, identifier: &str) -> Option<GroupNumber> {
        let TurnKey(hash) = TurnKey::of(identifier);
        self.stores.borrow().group_of_hash(hash)
    }

    fn group_of_record(&self, record: &Record) -> Option<Rc<GroupClient>> {
        match record {
            Record::Reserve { program, turn, .. } | Record::Settle { program, turn, .. } => {
                self.group_of_program(program, turn)
            }
            Record::Turn(record) => self.group_of_program(&record.program, &record.turn),
            Record::Clock { .. } => None,
        }
    }

    /// How long a program's group has reached no quorum; `None` while it
    /// serves.
    pub fn failing_for(&self, program: &str, turn: &str) -> Option<Duration> {
        self.group_of_program(program, turn)?.failing_for()
    }

    /// How long no group at all has served; `None` while one does.
    pub fn all_failing_for(&self) -> Option<Duration> {
        let groups = self.groups.borrow();
        if groups.is_empty() {
            return self.unknown_since.get().map(|since| since.elapsed());
        }
        let failing = groups.iter().map(|group| group.failing_for());
        let failing: Option<Vec<Duration>> = failing.collect();
        failing?.into_iter().min()
    }

    /// Groups that reach no quorum.
    pub fn failing_groups(&self) -> Vec<Rc<GroupClient>> {
        let groups = self.groups.borrow();
        let failing = groups.iter().filter(|group| group.failing_for().is_some());
        failing.cloned().collect()
    }

    /// Writes a record to the members of its program's group; done once a write
    /// quorum has it on disk. A reservation gives the program's ledger.
    pub async fn append(&self, record: Record, within: Duration) -> Result<LedgerView, GroupError> {
        self.append_with_placement(record, None, within).await
    }

    /// The same for the reservation of a turn that is to run there.
    pub async fn append_with_placement(
        &self,
        record: Record,
        placement: Option<Placement>,
        within: Duration,
    ) -> Result<LedgerView, GroupError> {
        let Some(group) = self.group_of_record(&record) else {
            let since = self.unknown_since.get().unwrap_or_else(Instant::now);
            self.unknown_since.set(Some(since));
            return Err(GroupError::NoGroup);
        };
        let outcome = group.append(record, placement, within).await;
        self.follow_newer();
        outcome
    }

    /// Whether any turn of a program has begun; `None` where no store can tell.
    pub async fn has_started(&self, program: &Text, within: Duration) -> Option<bool> {
        let group = self.group_of_program(program, "")?;
        group.has_started(program, within).await
    }

    /// Tells a program's group that its turn runs there after all.
    pub fn report_placement(&self, program: &str, turn: &str, placement: Placement) {
        let TurnKey(key) = TurnKey::of(turn);
        let request = Request::TurnPlaced {
            turn: key,
            placement,
        };
        self.tell(program, turn, &request);
    }

    /// Tells a program's group that its turn is over.
    pub fn report_turn_end(&self, program: &str, turn: &str) {
        let TurnKey(key) = TurnKey::of(turn);
        self.tell(program, turn, &Request::TurnEnded { turn: key });
    }

    fn tell(&self, program: &str, turn: &str, request: &Request) {
        if let Some(group) = self.group_of_program(program, turn) {
            group.send_hint(request, TELL_WITHIN);
        }
    }

    /// Sends a record without waiting.
    pub fn append_in_background(self: &Rc<Self>, record: Record, within: Duration) {
        let groups = self.clone();
        tokio::task::spawn_local(async move {
            let outcome = groups.append(record.clone(), within).await;
            if matches!(outcome, Err(GroupError::StaleMembers)) {
                let _ = groups.append(record, within).await;
            }
        });
    }

    /// Gathers the chain that ends in `turn`, from the program's own group
    /// first: a program may go on from another's turns.
    pub async fn chain(&self, program: &str, turn: &Text, within: Duration) -> ChainOutcome {
        let deadline = Instant::now() + within;
        let mut parts: Vec<ChainPart> = Vec::new();
        let mut next = turn.clone();
        loop {
            let mut step = self.chain_step(program, &next, deadline).await;
            if step == ChainLookup::Unknown && self.follow_newer() {
                step = self.chain_step(program, &next, deadline).await;
            }
            match step {
                ChainLookup::Parts { found, missing } => {
                    parts.extend(found);
                    if missing.is_empty() {
                        return ChainOutcome::Complete(parts);
                    }
                    next = missing;
                }
                ChainLookup::Absent => return ChainOutcome::Absent(next),
                ChainLookup::Unknown => return ChainOutcome::Unknown,
            }
        }
    }

    /// Absent only where every group is sure of it.
    async fn chain_step(&self, program: &str, turn: &Text, deadline: Instant) -> ChainLookup {
        let Some(own) = self.group_of_program(program, turn) else {
            return ChainLookup::Unknown;
        };
        let mut others: Vec<Rc<GroupClient>> = self.groups.borrow().clone();
        others.retain(|group| !Rc::ptr_eq(group, &own));
        let (answers, mut inbox) = unbounded_channel();
        ask(own, true, turn, deadline, &answers);
        let mut pending = 1;
        let mut sure = true;
        let others_from = Instant::now() + OTHERS_AFTER;
        while pending > 0 {
            let answer = tokio::select! {
                answer = inbox.recv() => answer,
                () = tokio::time::sleep_until(others_from), if !others.is_empty() => None,
            };
            let own_missed_it = match answer {
                Some(Answer {
                    step: found @ ChainLookup::Parts { .. },
                    ..
                }) => return found,
                Some(Answer { own, step }) => {
                    pending -= 1;
                    sure &= step == ChainLookup::Absent;
                    own
                }
                None => true,
            };
            if own_missed_it {
                for group in others.drain(..) {
                    pending += 1;
                    ask(group, false, turn, deadline, &answers);
                }
            }
        }
        match sure {
            true => ChainLookup::Absent,
            false => ChainLookup::Unknown,
        }
    }
}

fn ask(
    group: Rc<GroupClient>,
    own: bool,
    turn: &Text,
    deadline: Instant,
    answers: &UnboundedSender<Answer>,
) {
    let turn = turn.clone();
    let answers = answers.clone();
    tokio::task::spawn_local(async move {
        let step = group.chain_step(&turn, deadline).await;
        let _ = answers.send(Answer { own, step });
    });
}
