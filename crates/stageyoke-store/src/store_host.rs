//! The store process: recovers the disk, serves requests and maintains its membership in a
//! group.

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

use self::events::describe_groups;
pub use self::events::log_mirror_event;
use crate::catch_up_monitor::CatchUpMonitor;
use crate::directory_relay::to_directory_item;
use crate::extension::describe_build;
use crate::formation::{Formation, FormationStep};
use crate::limits::StoreLimits;
use crate::local_store::{LocalStore, SilentSince};
use crate::membership::{
    FencedJournalEnd, LocalMember, MembershipStep, PeerHealth, decide, has_never_stored, is_fenced,
};
use crate::peer_relay::PeerRelay;
use crate::peer_sync::Peers;
use crate::recovery_monitor::RecoveryMonitor;
use crate::segment::DataFolder;
use crate::server;
use crate::spare::{LOST_MEMBER_TIMEOUT, MemberProber, replacement_timeout};
use crate::store_status::StoreStatus;
use crate::wait_reason::MemberCounts;
use stageyoke_observe as observe;
use stageyoke_policy::quota::QuotaTolerance;

const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1000);
const BUSY_MAINTENANCE_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum time without an answer after which a member is reported as silent; a round of
/// comparison with a peer may take this long.
const MIN_REPORTED_SILENCE: Duration = Duration::from_millis(1200);
/// A spare store that asked for digests within this time is likely to become a member soon;
/// covers two rounds of comparison.
const MAX_SPARE_REQUEST_AGE: Duration = Duration::from_secs(2);
/// Minimum interval between two writes of the directory items to disk, and what each item adds
/// to it, so that the rate of the writes does not grow with the fleet.
const MIN_SAVE_ITEMS_INTERVAL: Duration = Duration::from_millis(700);
const SAVE_INTERVAL_PER_ITEM: Duration = Duration::from_millis(1);
/// Interval between two observations of the listed versions, for each replica.
const OBSERVATION_INTERVAL_PER_REPLICA: Duration = Duration::from_micros(50);
/// Interval between two checks for expired segments.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time limit for reading a member list that other processes already use.
const MEMBER_LIST_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of members, from the start of the list, that refresh the directory earlier than
/// the others: one more than the number of disks that any deployment tolerates losing.
const EARLY_REFRESH_MEMBERS: usize = 3;

/// Settings of a store process.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Machine name of the store.
    pub node: Text,
    /// Zone of the machine.
    pub zone: Text,
    /// Address of the internal listener.
    pub listen: SocketAddr,
    /// Address at which fronts and other stores reach this store.
    pub advertised: SocketAddr,
    /// Limits on memory and file sizes.
    pub limits: StoreLimits,
    /// Path of the data folder.
    pub data_folder: PathBuf,
    /// File with a delay that is added to each sync, for tests of slow disks.
    pub sync_delay_file: Option<PathBuf>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Losses that the system must tolerate at the same time.
    pub tolerance: Tolerance,
    /// Time from the start of a lost store's replacement until the group must tolerate the
    /// next loss.
    pub catch_up_time: Duration,
    /// Amount by which tenants may exceed their limits.
    pub quota_tolerance: QuotaTolerance,
}

/// A change that this store proposes to the key-value service.
enum Proposal {
    /// The next store groups, written only if the groups are unchanged. `retired` is set if
    /// the change starts (`false`) or completes (`true`) this store's retirement.
    Groups {
        stores: StoreGroups,
        retired: Option<bool>,
    },
    /// This store's registration; a store that is leaving does not join a group.
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

/// Versions of the directory items that were last saved, and the time of saving.
#[derive(Clone, Copy, Debug, Default)]
struct SavedItems {
    changes: u64,
    routes: u64,
    stores: u64,
    at: Option<Instant>,
}

/// Returns the minimum interval between two writes of a directory with this many replicas.
fn save_items_interval(replicas: usize) -> Duration {
    let replicas = u32::try_from(replicas).unwrap_or(u32::MAX);
    MIN_SAVE_ITEMS_INTERVAL.max(SAVE_INTERVAL_PER_ITEM.saturating_mul(replicas))
}

/// A store process.
pub struct StoreHost<S, I> {
    settings: StoreSettings,
    mirror: Rc<Mirror<S, I>>,
    local_store: Rc<LocalStore>,
    peers: Rc<Peers>,
    peer_relay: Rc<PeerRelay>,
    prober: MemberProber,
    formation: RefCell<Formation>,
    fenced_journal_end: Cell<Option<FencedJournalEnd>>,
    recovery_monitor: RecoveryMonitor,
    catch_up_monitor: CatchUpMonitor,
    saved_items: Cell<SavedItems>,
    versions_observed_at: Cell<Option<Instant>>,
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> StoreHost<S, I> {
    /// Recovers the disk and serves requests until the task is dropped.
    pub async fn run(settings: StoreSettings, mirror: Rc<Mirror<S, I>>) -> io::Result<()> {
        let folder = DataFolder::open(&settings.data_folder)?
            .with_sync_delay(settings.sync_delay_file.clone());
        let recovered = folder.recover(rand::random(), settings.first_start)?;
        let segments = recovered.segments.iter();
        let records: usize = segments.map(|segment| segment.records).sum();
        let detail = format!(
            "records={records} segments={} bytes={} memory={} clock={} torn={} complete={:?} journal={:016x}",
            recovered.segments.len(),
            recovered.bytes,
            recovered.state.memory_bytes(),
            recovered.clock_seconds,
            recovered.torn_segments,
            recovered.completeness,
            recovered.state.journal_end().journal
        );
        observe::record_event(Event::LogRecovered, &detail);
        let recovered_items = folder.read_items();
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
        local_store.set_directory_items(recovered_items, false);
        local_store.set_directory_source(mirror.clone());
        mirror.seed_stores((*local_store.stores()).clone());
        let peer_relay = Rc::new(PeerRelay::new(settings.node.clone()));
        mirror.set_peers(peer_relay.clone());
        let catch_up_monitor = CatchUpMonitor::new(settings.catch_up_time);
        let host = Rc::new(Self {
            settings,
            mirror,
            local_store,
            peers,
            peer_relay,
            prober: MemberProber::default(),
            formation: RefCell::default(),
            fenced_journal_end: Cell::new(None),
            recovery_monitor: RecoveryMonitor::default(),
            catch_up_monitor,
            saved_items: Cell::default(),
            versions_observed_at: Cell::default(),
        });
        host.apply_view();
        let expiring_store = host.local_store.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(EXPIRY_INTERVAL).await;
                expiring_store.expire_segments().await;
                expiring_store.retry_saving_stores();
            }
        });
        let probing_host = host.clone();
        tokio::task::spawn_local(async move {
            probing_host
                .prober
                .run(|| probing_host.groups_if_spare())
                .await;
        });
        let mirroring_host = host.clone();
        tokio::task::spawn_local(async move {
            mirroring_host.mirror.run(log_mirror_event).await;
        });
        host.maintain_membership().await;
        Ok(())
    }

    fn apply_view(&self) {
        let view = self.mirror.view();
        self.local_store.set_stores(view.stores.clone());
        let registered = view.registered.values();
        self.peer_relay.set_stores(&view.stores, registered);
        if !view.stores.is_formed() {
            self.formation
                .borrow_mut()
                .update_registrations(&view.registered);
            let registered = view.registered.values();
            let addresses = registered.map(|store| store.address.clone());
            self.local_store
                .set_registered_addresses(addresses.collect());
        }
        self.choose_backfill_group();
        let members = self.local_store.members();
        self.peers.update_members(&members);
        self.report_silent_members(&members);
        let mut first = members.list.iter().take(EARLY_REFRESH_MEMBERS);
        let refreshes_early = first.any(|member| member.node == self.settings.node);
        self.mirror.freshness().set_early_refresh(refreshes_early);
        self.save_directory_items();
        self.observe_versions();
    }

    /// Observes which versions of each service are listed. A long list is read less often.
    fn observe_versions(&self) {
        if self.mirror.last_contact().is_none() {
            return;
        }
        let view = self.mirror.view();
        let replicas = u32::try_from(view.replicas.len()).unwrap_or(u32::MAX);
        let interval = OBSERVATION_INTERVAL_PER_REPLICA.saturating_mul(replicas);
        let observed_at = self.versions_observed_at.get();
        if observed_at.is_some_and(|at| at.elapsed() < interval) {
            return;
        }
        self.versions_observed_at.set(Some(Instant::now()));
        let replicas = view.replicas.values();
        let versions =
            replicas.map(|record| (record.service.clone(), record.software_version.clone()));
        self.local_store.observe_versions(&versions.collect());
    }

    /// Returns the store groups if they are formed and this store is not a member of any.
    fn groups_if_spare(&self) -> Option<Rc<StoreGroups>> {
        let stores = self.local_store.stores();
        let is_spare = stores.is_formed() && stores.group_of_node(&self.settings.node).is_none();
        is_spare.then_some(stores)
    }

    /// Selects the group for which this spare store is backfilled.
    fn choose_backfill_group(&self) {
        let Some(stores) = self.groups_if_spare() else {
            return;
        };
        // The list of another group may have the same version.
        self.fenced_journal_end.set(None);
        let group = self.regular_group_size(&stores).and_then(|size| {
            self.prober
                .group_in_need(&stores, size, &self.settings.node)
        });
        self.local_store.backfill_for(group);
    }

    /// Returns the regular number of members of a group.
    fn regular_group_size(&self, stores: &StoreGroups) -> Option<usize> {
        let members: Vec<Member> = stores.members().cloned().collect();
        group_size(&self.settings.tolerance, &members)
    }

    /// Returns whether this store is a surplus member: the newest one of a group that is
    /// larger than the regular size although all its members answer.
    fn is_surplus(&self, stores: &StoreGroups, members: &Members) -> bool {
        let newest = members.list.last();
        let is_newest = newest.is_some_and(|member| member.node == self.settings.node);
        let is_larger = |size| stores.groups.len() > 1 && members.list.len() > size;
        let mut other_members = self.other_members(members);
        is_newest
            && self.regular_group_size(stores).is_some_and(is_larger)
            && other_members.all(|member| self.silent_for(member) < LOST_MEMBER_TIMEOUT)
    }

    /// Returns whether the group accepts another member: it is smaller than the regular
    /// size, or the only group. A spare first checks whether there is a member to replace.
    fn has_room(&self, stores: &StoreGroups, members: &Members) -> bool {
        let is_smaller = |size| members.list.len() < size;
        let is_only_group = stores.groups.len() == 1;
        self.prober.has_probed_all()
            && (is_only_group || self.regular_group_size(stores).is_some_and(is_smaller))
    }

    /// Saves the directory items for fronts that start during a service outage. Changes of
    /// routes or members are saved at once; changes of replicas are batched.
    fn save_directory_items(&self) {
        if self.mirror.last_contact().is_none() {
            return;
        }
        let view = self.mirror.view();
        let now = SavedItems {
            changes: self.mirror.change_count(),
            routes: view.routes.as_ref().map_or(0, |routes| routes.version),
            stores: view.stores.version,
            at: Some(Instant::now()),
        };
        let saved = self.saved_items.get();
        let interval_elapsed = saved
            .at
            .is_none_or(|at| at.elapsed() > save_items_interval(view.replicas.len()));
        let is_urgent = (saved.routes, saved.stores) != (now.routes, now.stores);
        if saved.changes == now.changes || !(is_urgent || interval_elapsed) {
            return;
        }
        self.saved_items.set(now);
        let items = self
            .mirror
            .items()
            .into_iter()
            .map(to_directory_item)
            .collect();
        self.local_store.set_directory_items(items, true);
    }

    async fn maintain_membership(&self) {
        loop {
            self.apply_view();
            self.report_progress();
            let proposal = self.next_proposal();
            let has_proposal = proposal.is_some();
            if let Some(proposal) = proposal {
                self.propose(proposal).await;
            }
            let delay = if self.is_settled() && !has_proposal {
                MAINTENANCE_INTERVAL
            } else {
                BUSY_MAINTENANCE_INTERVAL
            };
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.mirror.wait_for_change() => {}
                () = self.local_store.wait_for_newer_member_list() => self.read_newer_list().await,
            }
        }
    }

    /// Reads the member list that other processes already use instead of waiting for the
    /// watch, because a member change may wait for this store. If the key-value service
    /// does not answer, uses the groups that another store reported, which that store
    /// received from the service.
    async fn read_newer_list(&self) {
        let reported = self.local_store.take_reported_stores();
        let reading = self.mirror.confirm_stores();
        let read = tokio::time::timeout(MEMBER_LIST_READ_TIMEOUT, reading).await;
        match (read, reported) {
            (Ok(Ok(())), _) => {}
            (_, Some(reported)) => self.mirror.seed_stores(reported),
            // The mirror reports the outage; the next requester triggers another attempt.
            (_, None) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }

    /// Updates the metrics and the status page.
    fn report_progress(&self) {
        let progress = self.peers.catch_up_progress();
        let incomplete_for = self.catch_up_monitor.observe(progress);
        let status = StoreStatus {
            node: &self.settings.node,
            progress,
            incomplete_for,
            records: self.local_store.journal_end().next,
            members_version: self.local_store.members().version,
        };
        observe::status::set(status.to_json());
    }

    /// Returns whether nothing is due soon: this store is a complete member of a list that
    /// is not changing, or a spare that no group needs.
    fn is_settled(&self) -> bool {
        let stores = self.local_store.stores();
        let is_member = stores.group_of_node(&self.settings.node).is_some();
        let settled_member =
            is_member && self.local_store.is_complete() && self.local_store.members().is_settled();
        let idle_spare = stores.is_formed() && !is_member && self.local_store.group().is_none();
        (settled_member || idle_spare) && !self.is_retiring()
    }

    fn is_retiring(&self) -> bool {
        self.mirror
            .view()
            .retirements
            .contains_key(&self.settings.node)
    }

    fn next_proposal(&self) -> Option<Proposal> {
        // The groups may have changed without contact to the service.
        self.mirror.last_contact()?;
        let stores = self.local_store.stores();
        if !stores.is_formed() {
            return self.formation_proposal(&stores);
        }
        let is_member = stores.group_of_node(&self.settings.node).is_some();
        if !is_member && self.is_retiring() {
            // The group that this spare was a member of holds all its records.
            return Some(Proposal::retirement(stores.next_version(), true));
        }
        let group = self.local_store.group()?;
        let change = |members| stores.with_group(group, members);
        match self.next_step(&stores, stores.group(group)?) {
            MembershipStep::Wait(_) => None,
            MembershipStep::StartLeaving(members) if self.is_retiring() => {
                Some(Proposal::retirement(change(members), false))
            }
            MembershipStep::Change(members) | MembershipStep::StartLeaving(members) => {
                Some(Proposal::change(change(members)))
            }
        }
    }

    /// Registers this store and forms the groups once no more stores register.
    fn formation_proposal(&self, stores: &StoreGroups) -> Option<Proposal> {
        // No store can have acknowledged a record yet, so an empty disk is complete too.
        self.local_store.declare_complete();
        if self.is_retiring() {
            return self.withdrawal_proposal(stores);
        }
        let mut formation = self.formation.borrow_mut();
        match formation.next_step(stores, &self.entry(), &self.settings.tolerance) {
            FormationStep::Wait => None,
            FormationStep::Register => Some(Proposal::Registration(self.entry())),
            FormationStep::Form(groups) => Some(Proposal::change(groups)),
        }
    }

    /// Withdraws the registration of a store that leaves before the groups are formed; it
    /// has no records to hand over.
    fn withdrawal_proposal(&self, stores: &StoreGroups) -> Option<Proposal> {
        let view = self.mirror.view();
        let own = view.registered.get(&self.settings.node);
        if own.is_some_and(|own| own.state == MemberState::Active) {
            let withdrawn = Member {
                state: MemberState::Leaving,
                ..self.entry()
            };
            return Some(Proposal::Registration(withdrawn));
        }
        Some(Proposal::retirement(stores.next_version(), true))
    }

    /// Returns this store's entry as an active member.
    fn entry(&self) -> Member {
        Member {
            node: self.settings.node.clone(),
            address: Text::from(self.settings.advertised.to_string()),
            zone: self.settings.zone.clone(),
            state: MemberState::Active,
            disk: self.local_store.disk(),
        }
    }

    /// Decides on the next step for the member list of the group that this store belongs to
    /// or is being backfilled for.
    fn next_step(&self, stores: &StoreGroups, members: &Members) -> MembershipStep {
        if has_never_stored(members, &self.settings.tolerance) {
            self.local_store.declare_complete();
        }
        let fenced = self.is_fenced(members);
        let local_member = LocalMember {
            entry: self.entry(),
            complete: self.local_store.is_complete(),
            caught_up: self.peers.is_caught_up_with_group(),
            retiring: self.is_retiring(),
            surplus: self.is_surplus(stores, members),
            has_room: self.has_room(stores, members),
            successor_pending: self
                .local_store
                .elapsed_since_spare_request()
                .is_some_and(|at| at < MAX_SPARE_REQUEST_AGE),
            fenced,
            member_list_age: self.local_store.members_since().elapsed(),
            replacement_timeout: replacement_timeout(self.settings.catch_up_time),
        };
        let peers = self.peer_health(members, fenced);
        let tolerance = &self.settings.tolerance;
        let step = decide(members, &local_member, &peers, tolerance);
        let counts = || MemberCounts::new(members, &local_member, &peers, tolerance);
        self.recovery_monitor
            .observe_step(&step, members.version, counts);
        step
    }

    fn other_members<'a>(&'a self, members: &'a Members) -> impl Iterator<Item = &'a Member> {
        members
            .all()
            .filter(|member| member.node != self.settings.node)
    }

    fn is_fenced(&self, members: &Members) -> bool {
        is_fenced(members, &self.settings.tolerance, |member| {
            match member.node == self.settings.node {
                true => self.local_store.is_complete() && self.local_store.has_saved_stores(),
                false => self.peers.is_in_sync_with(&member.node, members.version),
            }
        })
    }

    fn peer_health(&self, members: &Members, fenced: bool) -> Vec<PeerHealth> {
        let previous = self.fenced_journal_end.get();
        let end = self.local_store.journal_end();
        let fenced_journal_end = FencedJournalEnd::for_members(members, previous, fenced, end);
        self.fenced_journal_end.set(fenced_journal_end);
        let holds_fenced_records = |node: &str| {
            let held = self.local_store.held_by(node);
            fenced_journal_end.is_some_and(|end| end.is_covered_by(held))
        };
        self.other_members(members)
            .map(|member| PeerHealth {
                node: member.node.clone(),
                silent_for: self.silent_for(member),
                caught_up: holds_fenced_records(&member.node),
            })
            .collect()
    }

    /// Returns the time since a member last answered this store, as a peer or to a spare's
    /// probe. A spare that has never received an answer from the member uses what other
    /// members report, so that it need not wait for its own timeout: a group of two with one
    /// member lost serves again 1.4 s after the successor's start instead of 2.3 s or more.
    fn silent_for(&self, member: &Member) -> Duration {
        let node = &member.node;
        let silent_as_peer = self.peers.silent_for(node).unwrap_or_default();
        let reported = match self.prober.has_never_answered(node) {
            true => self.peers.reported_silent_for(node).unwrap_or_default(),
            false => Duration::ZERO,
        };
        silent_as_peer
            .max(self.prober.silent_for(node))
            .max(reported)
    }

    /// Reports silent members to other stores.
    fn report_silent_members(&self, members: &Members) {
        let silent = self.other_members(members).filter_map(|member| {
            let silent_for = self.peers.silent_for(&member.node)?;
            let since = Instant::now().checked_sub(silent_for)?;
            (silent_for >= MIN_REPORTED_SILENCE).then(|| SilentSince {
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
        let mut writes = vec![self.store_groups_write(&stores)];
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
            describe_groups(&stores)
        );
        observe::record_event(Event::MembersProposed, &detail);
        if outcome != Ok(TransactionOutcome::Done(0)) {
            // Whether the write succeeded, lost a race or timed out, the groups in the
            // service show the result.
            if self.mirror.confirm_stores().await.is_err() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Writes this store's registration. The write is unconditional because only this store
    /// writes the key; the directory shows whether it was accepted.
    async fn register(&self, store: &Member) {
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![self.mirror.interpreter.registration(store)],
        };
        let outcome = self.mirror.service.transact(&transaction).await;
        let detail = format!("state={:?} outcome={outcome:?}", store.state);
        observe::record_event(Event::StoreRegistered, &detail);
    }

    fn store_groups_write(&self, stores: &StoreGroups) -> Write {
        Write {
            key: self.mirror.interpreter.stores_key().to_owned(),
            value: stores.serialize_bin().into(),
        }
    }
}
