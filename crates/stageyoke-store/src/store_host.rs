//! The store role: recovers the disk, serves, and keeps its place in the
//! member list.

mod events;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use nanoserde::SerBin;
use stageyoke_directory::groups::group_size;
use stageyoke_directory::{
    Condition, Interpreter, KeyValueService, Member, MemberState, Members, Mirror, StoreGroups,
    Tolerance, Transaction, TransactionOutcome, Write,
};
use stageyoke_types::{Event, Text};
use tokio::net::TcpListener;
use tokio::time::Instant;

use self::events::describe;
pub use self::events::log_mirror_event;
use crate::directory_relay::to_directory_item;
use crate::extension::describe_build;
use crate::formation::{Formation, FormationStep};
use crate::limits::StoreLimits;
use crate::local_store::{LocalStore, SilentSince};
use crate::membership::{
    FencedJournalEnd, LocalMember, MembershipStep, PeerHealth, decide, has_never_stored, is_fenced,
};
use crate::peer_sync::Peers;
use crate::recovery_monitor::RecoveryMonitor;
use crate::segment::DataFolder;
use crate::server;
use crate::spare::{LOST_MEMBER_TIMEOUT, MemberProber, replacement_timeout};
use crate::wait_reason::MemberCounts;
use stageyoke_observe as observe;
use stageyoke_policy::quota::QuotaTolerance;

const TICK: Duration = Duration::from_millis(1000);
const QUICK_TICK: Duration = Duration::from_millis(150);
/// Members that are silent for less are not told of: a round with a peer takes as long.
const TOLD_SILENCE: Duration = Duration::from_millis(1200);
/// A store that compared so lately, and is no member, is about to be one: two rounds.
const SPARE_NEAR: Duration = Duration::from_secs(2);
/// Least time between two writes of the service's items.
const KEEP_ITEMS_PAUSE: Duration = Duration::from_millis(700);
/// Pause between two looks for what is past its time.
const EXPIRE_PAUSE: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time for a read of the list that others go by already.
const READ_LIST_WITHIN: Duration = Duration::from_millis(500);

/// Stores that ask the key-value service before the others get old, the first
/// of the member list: one more than the disks that any deployment may lose.
const ASKING_FIRST: usize = 3;

/// Settings of the role.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Machine name.
    pub node: Text,
    /// Zone.
    pub zone: Text,
    /// Address of the inner listener.
    pub listen: SocketAddr,
    /// Address under which fronts and other stores reach it.
    pub advertised: SocketAddr,
    /// Bounds of memory and of files.
    pub limits: StoreLimits,
    /// Data folder.
    pub data_folder: PathBuf,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// What may be lost at once.
    pub tolerance: Tolerance,
    /// Time from the start of a lost store's successor until the group must bear the
    /// next loss.
    pub catch_up: Duration,
    /// What is tolerated beyond tenants' limits.
    pub quota_tolerance: QuotaTolerance,
}

/// What a store writes next.
enum Proposal {
    /// The next store groups, under the condition that nothing has changed, and what
    /// they mean for this store's retirement.
    Groups {
        stores: StoreGroups,
        retired: Option<bool>,
    },
    /// Its registration; one that is leaving takes no part in the groups.
    Registration(Member),
}

impl Proposal {
    fn change(stores: StoreGroups) -> Self {
        Self::Groups {
            stores,
            retired: None,
        }
    }

    fn retirement(stores: StoreGroups, completed: bool) -> Self {
        Self::Groups {
            stores,
            retired: Some(completed),
        }
    }
}

/// What the items were kept at last.
#[derive(Clone, Copy, Debug, Default)]
struct KeptItems {
    changes: u64,
    routes: u64,
    stores: u64,
    at: Option<Instant>,
}

/// One store process.
pub struct StoreHost<S, I> {
    settings: StoreSettings,
    mirror: Rc<Mirror<S, I>>,
    local_store: Rc<LocalStore>,
    peers: Rc<Peers>,
    survey: MemberProber,
    formation: RefCell<Formation>,
    shared_end: Cell<Option<FencedJournalEnd>>,
    healing: RecoveryMonitor,
    items_kept: Cell<KeptItems>,
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> StoreHost<S, I> {
    /// Recovers the disk and serves until the task is dropped.
    pub async fn run(settings: StoreSettings, mirror: Rc<Mirror<S, I>>) -> io::Result<()> {
        let folder = DataFolder::open(&settings.data_folder)?;
        let recovered = folder.recover(rand::random(), settings.first_start)?;
        let segments = recovered.segments.iter();
        let records: usize = segments.map(|segment| segment.records).sum();
        let detail = format!(
            "records={records} segments={} bytes={} memory={} clock={} torn={} complete={:?} journal={:016x}",
            recovered.segments.len(),
            recovered.bytes,
            recovered.state.memory_bytes(),
            recovered.clock,
            recovered.torn_segments,
            recovered.completeness,
            recovered.state.journal_end().journal
        );
        observe::record_event(Event::LogRecovered, &detail);
        let kept_items = folder.read_items();
        let node = settings.node.clone();
        let (local_store, results) = LocalStore::open(node, folder, recovered, settings.limits)?;
        let local_store = local_store.with_directory_freshness(mirror.freshness().clone());
        let local_store = Rc::new(local_store.with_quota_tolerance(settings.quota_tolerance));
        let peers = Rc::new(Peers::new(local_store.clone(), settings.tolerance.clone()));
        let listener = TcpListener::bind(settings.listen).await?;
        let detail = format!("node={} {}", settings.node, describe_build());
        observe::record_event(Event::NodeStarted, &detail);
        tokio::task::spawn_local(server::serve(local_store.clone(), listener));
        let collector = local_store.clone();
        tokio::task::spawn_local(async move { collector.process_journal_results(results).await });
        local_store.set_directory_items(kept_items, false);
        local_store.set_directory_source(mirror.clone());
        mirror.seed_stores((*local_store.stores()).clone());
        let host = Rc::new(Self {
            settings,
            mirror,
            local_store,
            peers,
            survey: MemberProber::default(),
            formation: RefCell::default(),
            shared_end: Cell::new(None),
            healing: RecoveryMonitor::default(),
            items_kept: Cell::default(),
        });
        host.follow();
        let forgetting = host.local_store.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(EXPIRE_PAUSE).await;
                forgetting.expire_segments().await;
                forgetting.retry_saving_stores();
            }
        });
        let asking = host.clone();
        tokio::task::spawn_local(async move {
            asking.survey.run(|| asking.spare_among()).await;
        });
        let mirroring = host.clone();
        tokio::task::spawn_local(async move {
            mirroring.mirror.run(log_mirror_event).await;
        });
        host.keep_place().await;
        Ok(())
    }

    fn follow(&self) {
        let view = self.mirror.view();
        self.local_store.set_stores(view.stores.clone());
        if !view.stores.is_formed() {
            self.formation
                .borrow_mut()
                .update_registrations(&view.registered);
            let registered = view.registered.values();
            let addresses = registered.map(|store| store.address.clone());
            self.local_store
                .set_registered_addresses(addresses.collect());
        }
        self.choose_group();
        let members = self.local_store.members();
        self.peers.update_members(&members);
        self.tell_silence(&members);
        let mut first = members.list.iter().take(ASKING_FIRST);
        let asks_first = first.any(|member| member.node == self.settings.node);
        self.mirror.freshness().set_early_refresh(asks_first);
        self.keep_items();
    }

    /// The store groups, if this store is a member of none.
    fn spare_among(&self) -> Option<Rc<StoreGroups>> {
        let stores = self.local_store.stores();
        let spare = stores.is_formed() && stores.group_of_node(&self.settings.node).is_none();
        spare.then_some(stores)
    }

    /// A spare fills up for the group that needs it most.
    fn choose_group(&self) {
        let Some(stores) = self.spare_among() else {
            return;
        };
        // Another group's list may have the same version.
        self.shared_end.set(None);
        let group = self.ordinary_size(&stores).and_then(|size| {
            self.survey
                .group_in_need(&stores, size, &self.settings.node)
        });
        self.local_store.backfill_for(group);
    }

    /// Members of an ordinary group.
    fn ordinary_size(&self, stores: &StoreGroups) -> Option<usize> {
        let members: Vec<Member> = stores.members().cloned().collect();
        group_size(&self.settings.tolerance, &members)
    }

    /// Whether this store is a member too many: the newest of a group that is
    /// larger than an ordinary one though all its members are there.
    fn surplus(&self, stores: &StoreGroups, members: &Members) -> bool {
        let newest = members.list.last();
        let is_newest = newest.is_some_and(|member| member.node == self.settings.node);
        let larger = |size| stores.groups.len() > 1 && members.list.len() > size;
        let mut others = self.others(members);
        is_newest
            && self.ordinary_size(stores).is_some_and(larger)
            && others.all(|member| self.silent_for(member) < LOST_MEMBER_TIMEOUT)
    }

    /// Whether the group takes one more member: it has less than an ordinary one, or
    /// is the only one. A spare first learns whether there is somebody to replace.
    fn room(&self, stores: &StoreGroups, members: &Members) -> bool {
        let smaller = |size| members.list.len() < size;
        let takes_all = stores.groups.len() == 1;
        self.survey.has_probed_all()
            && (takes_all || self.ordinary_size(stores).is_some_and(smaller))
    }

    /// Keeps the items of the service, for fronts that start while it is down:
    /// at once when routes or members have changed, while a group of changes of
    /// the replica list is kept together.
    fn keep_items(&self) {
        if self.mirror.last_contact().is_none() {
            return;
        }
        let view = self.mirror.view();
        let now = KeptItems {
            changes: self.mirror.change_count(),
            routes: view.routes.as_ref().map_or(0, |routes| routes.version),
            stores: view.stores.version,
            at: Some(Instant::now()),
        };
        let kept = self.items_kept.get();
        let rested = kept.at.is_none_or(|at| at.elapsed() > KEEP_ITEMS_PAUSE);
        let urgent = (kept.routes, kept.stores) != (now.routes, now.stores);
        if kept.changes == now.changes || !(urgent || rested) {
            return;
        }
        self.items_kept.set(now);
        let items = self
            .mirror
            .items()
            .into_iter()
            .map(to_directory_item)
            .collect();
        self.local_store.set_directory_items(items, true);
    }

    async fn keep_place(&self) {
        loop {
            self.follow();
            let proposal = self.next_proposal();
            let acted = proposal.is_some();
            if let Some(proposal) = proposal {
                self.propose(proposal).await;
            }
            let pause = if self.settled() && !acted {
                TICK
            } else {
                QUICK_TICK
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.mirror.wait_for_change() => {}
                () = self.local_store.wait_for_newer_member_list() => self.read_newer_list().await,
            }
        }
    }

    /// Reads the list that others go by already, rather than wait for the watch: until
    /// this store knows of a change, the change may be unable to go on.
    /// Where the service does not answer, what another store told is taken: the
    /// service took it from somebody.
    async fn read_newer_list(&self) {
        let heard = self.local_store.take_reported_stores();
        let reading = self.mirror.confirm_stores();
        let read = tokio::time::timeout(READ_LIST_WITHIN, reading).await;
        match (read, heard) {
            (Ok(Ok(())), _) => {}
            (_, Some(heard)) => self.mirror.seed_stores(heard),
            // The mirror tells of the service's silence; who asks next tries again.
            (_, None) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }

    /// Whether nothing is to be done soon: a complete member of a list that is not
    /// being changed, or a spare that no group needs.
    fn settled(&self) -> bool {
        let stores = self.local_store.stores();
        let member = stores.group_of_node(&self.settings.node).is_some();
        let settled_member =
            member && self.local_store.is_complete() && self.local_store.members().is_settled();
        let idle_spare = stores.is_formed() && !member && self.local_store.group().is_none();
        (settled_member || idle_spare) && !self.retiring()
    }

    fn retiring(&self) -> bool {
        self.mirror
            .view()
            .retirements
            .contains_key(&self.settings.node)
    }

    fn next_proposal(&self) -> Option<Proposal> {
        // Without an answer of the service the groups may have changed.
        self.mirror.last_contact()?;
        let stores = self.local_store.stores();
        if !stores.is_formed() {
            return self.before_formation(&stores);
        }
        let member = stores.group_of_node(&self.settings.node).is_some();
        if !member && self.retiring() {
            // What a spare holds, the group that it was a member of holds too.
            return Some(Proposal::retirement(stores.next_version(), true));
        }
        let group = self.local_store.group()?;
        let change = |members| stores.with_group(group, members);
        match self.next_step(&stores, stores.group(group)?) {
            MembershipStep::Wait(_) => None,
            MembershipStep::StartLeaving(members) if self.retiring() => {
                Some(Proposal::retirement(change(members), false))
            }
            MembershipStep::Change(members) | MembershipStep::StartLeaving(members) => {
                Some(Proposal::change(change(members)))
            }
        }
    }

    /// Registers; the groups are formed once no more stores come.
    fn before_formation(&self, stores: &StoreGroups) -> Option<Proposal> {
        // Nothing can have been kept by anybody yet, whatever became of a disk.
        self.local_store.declare_complete();
        if self.retiring() {
            return self.before_leaving(stores);
        }
        let mut formation = self.formation.borrow_mut();
        match formation.next_step(stores, &self.entry(), &self.settings.tolerance) {
            FormationStep::Wait => None,
            FormationStep::Register => Some(Proposal::Registration(self.entry())),
            FormationStep::Form(groups) => Some(Proposal::change(groups)),
        }
    }

    /// A store that leaves before the groups are formed takes its registration back,
    /// and has nothing to hand over.
    fn before_leaving(&self, stores: &StoreGroups) -> Option<Proposal> {
        let view = self.mirror.view();
        let own = view.registered.get(&self.settings.node);
        if own.is_some_and(|own| own.state == MemberState::Active) {
            let leaving = Member {
                state: MemberState::Leaving,
                ..self.entry()
            };
            return Some(Proposal::Registration(leaving));
        }
        Some(Proposal::retirement(stores.next_version(), true))
    }

    /// This store, as an active member.
    fn entry(&self) -> Member {
        Member {
            node: self.settings.node.clone(),
            address: Text::from(self.settings.advertised.to_string()),
            zone: self.settings.zone.clone(),
            state: MemberState::Active,
            disk: self.local_store.disk(),
        }
    }

    /// The next step in the list of the group that this store is a member of,
    /// or fills up for.
    fn next_step(&self, stores: &StoreGroups, members: &Members) -> MembershipStep {
        if has_never_stored(members, &self.settings.tolerance) {
            self.local_store.declare_complete();
        }
        let fenced = self.fenced(members);
        let oneself = LocalMember {
            entry: self.entry(),
            complete: self.local_store.is_complete(),
            caught_up: self.peers.is_caught_up_with_group(),
            retiring: self.retiring(),
            surplus: self.surplus(stores, members),
            has_room: self.room(stores, members),
            successor_pending: self
                .local_store
                .elapsed_since_spare_request()
                .is_some_and(|at| at < SPARE_NEAR),
            fenced,
            member_list_age: self.local_store.members_since().elapsed(),
            replacement_timeout: replacement_timeout(self.settings.catch_up),
        };
        let peers = self.peer_health(members, fenced);
        let tolerance = &self.settings.tolerance;
        let step = decide(members, &oneself, &peers, tolerance);
        let counts = || MemberCounts::new(members, &oneself, &peers, tolerance);
        self.healing.observe_step(&step, members.version, counts);
        step
    }

    fn others<'a>(&'a self, members: &'a Members) -> impl Iterator<Item = &'a Member> {
        members
            .all()
            .filter(|member| member.node != self.settings.node)
    }

    fn fenced(&self, members: &Members) -> bool {
        is_fenced(members, &self.settings.tolerance, |member| {
            match member.node == self.settings.node {
                true => self.local_store.is_complete() && self.local_store.has_saved_stores(),
                false => self.peers.is_in_sync_with(&member.node, members.version),
            }
        })
    }

    fn peer_health(&self, members: &Members, fenced: bool) -> Vec<PeerHealth> {
        let known = self.shared_end.get();
        let end = self.local_store.journal_end();
        let shared_end = FencedJournalEnd::for_members(members, known, fenced, end);
        self.shared_end.set(shared_end);
        let holds_it = |node: &str| {
            let held = self.local_store.held_by(node);
            shared_end.is_some_and(|end| end.is_covered_by(held))
        };
        self.others(members)
            .map(|member| PeerHealth {
                node: member.node.clone(),
                silent_for: self.silent_for(member),
                caught_up: holds_it(&member.node),
            })
            .collect()
    }

    /// How long a member has not answered, as a peer or, before this store was one,
    /// when it asked whether it is there. A spare that has never heard it believes the
    /// members that answer: a group of two, one of which is gone, rests until its list is
    /// settled, 1.4 s after the successor's start instead of 2.3 s and more (virtual time).
    fn silent_for(&self, member: &Member) -> Duration {
        let node = &member.node;
        let as_peer = self.peers.silent_for(node).unwrap_or_default();
        let told = match self.survey.has_never_answered(node) {
            true => self.peers.reported_silent_for(node).unwrap_or_default(),
            false => Duration::ZERO,
        };
        as_peer.max(self.survey.silent_for(node)).max(told)
    }

    /// Tells other stores who does not answer this one.
    fn tell_silence(&self, members: &Members) {
        let silent = self.others(members).filter_map(|member| {
            let silent_for = self.peers.silent_for(&member.node)?;
            let since = Instant::now().checked_sub(silent_for)?;
            (silent_for >= TOLD_SILENCE).then(|| SilentSince {
                node: member.node.clone(),
                since,
            })
        });
        self.local_store.set_silent_peers(silent.collect());
    }

    async fn propose(&self, proposal: Proposal) {
        let (stores, retired) = match proposal {
            Proposal::Groups { stores, retired } => (stores, retired),
            Proposal::Registration(store) => return self.register(&store).await,
        };
        let mut writes = vec![self.stores_write(&stores)];
        if let Some(completed) = retired {
            let report = self
                .mirror
                .interpreter
                .retirement_report(&self.settings.node, completed);
            writes.push(report);
        }
        let transaction = Transaction {
            conditions: vec![Condition {
                key: self.mirror.interpreter.stores_key().to_owned(),
                revision: self.mirror.view().stores_revision,
            }],
            writes,
        };
        let outcome = self.mirror.service.transact(&transaction).await;
        let detail = format!(
            "version={} {} retirement={retired:?} outcome={outcome:?}",
            stores.version,
            describe(&stores)
        );
        observe::record_event(Event::MembersProposed, &detail);
        if outcome != Ok(TransactionOutcome::Done(0)) {
            // Done, lost to another store, or without an answer: the groups
            // themselves say.
            if self.mirror.confirm_stores().await.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Writes this store's registration under no condition: the key is its own. The
    /// directory shows whether it was taken.
    async fn register(&self, store: &Member) {
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![self.mirror.interpreter.registration(store)],
        };
        let outcome = self.mirror.service.transact(&transaction).await;
        let detail = format!("state={:?} outcome={outcome:?}", store.state);
        observe::record_event(Event::StoreRegistered, &detail);
    }

    fn stores_write(&self, stores: &StoreGroups) -> Write {
        Write {
            key: self.mirror.interpreter.stores_key().to_owned(),
            value: stores.serialize_bin().into(),
        }
    }
}
