//! The store role: recovers the disk, serves, and keeps its place in the
//! member list.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use nanoserde::SerBin;
use stageyoke_directory::{
    Condition, Interpreter, Item, KeyValueService, MemberState, Members, Mirror, MirrorEvent,
    Tolerance, Transaction, TransactionOutcome, Write,
};
use stageyoke_types::{Blob, Event, Text};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::limits::StoreLimits;
use crate::membership::{Oneself, PeerHealth, Step, decide, nothing_kept_yet};
use crate::message::SeenItem;
use crate::segment::DataFolder;
use crate::server::{self, Keeper};
use crate::sync::Peers;
use stageyoke_observe as observe;

const TICK: Duration = Duration::from_millis(1000);
const QUICK_TICK: Duration = Duration::from_millis(150);
/// Least time between two writes of the service's items.
const KEEP_ITEMS_PAUSE: Duration = Duration::from_millis(700);
/// Pause between two looks for what is past its time.
const EXPIRE_PAUSE: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

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
}

/// What the items were kept at last.
#[derive(Clone, Copy, Debug, Default)]
struct KeptItems {
    changes: u64,
    routes: u64,
    members: u64,
    at: Option<Instant>,
}

/// One store process.
pub struct StoreHost<S, I> {
    settings: StoreSettings,
    mirror: Rc<Mirror<S, I>>,
    keeper: Rc<Keeper>,
    peers: Rc<Peers>,
    retiring_since: Cell<Option<Instant>>,
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
            "records={records} segments={} bytes={} memory={} clock={} torn={} complete={} disk={:016x}",
            recovered.segments.len(),
            recovered.bytes,
            recovered.state.memory(),
            recovered.clock,
            recovered.torn,
            recovered.complete,
            recovered.state.end().disk
        );
        observe::event(Event::LogRecovered, &detail);
        let kept_items = folder.read_items();
        let node = settings.node.clone();
        let (keeper, results) = Keeper::open(node, folder, recovered, settings.limits)?;
        let keeper = Rc::new(keeper.following(mirror.freshness().clone()));
        let peers = Rc::new(Peers::new(keeper.clone(), settings.tolerance.clone()));
        let listener = TcpListener::bind(settings.listen).await?;
        tokio::task::spawn_local(server::serve(keeper.clone(), listener));
        let collector = keeper.clone();
        tokio::task::spawn_local(async move { collector.collect(results).await });
        keeper.set_items(kept_items, false);
        mirror.seed((*keeper.members()).clone());
        let host = Rc::new(Self {
            settings,
            mirror,
            keeper,
            peers,
            retiring_since: Cell::new(None),
            items_kept: Cell::default(),
        });
        host.follow();
        let forgetting = host.keeper.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(EXPIRE_PAUSE).await;
                forgetting.expire().await;
            }
        });
        let mirroring = host.clone();
        tokio::task::spawn_local(async move {
            mirroring.mirror.run(report_mirror_event).await;
        });
        host.keep_place().await;
        Ok(())
    }

    fn follow(&self) {
        let view = self.mirror.view();
        self.keeper.set_members(view.members.clone());
        let members = self.keeper.members();
        self.peers.follow(&members);
        let mut first = members.list.iter().take(ASKING_FIRST);
        let asks_first = first.any(|member| member.node == self.settings.node);
        self.mirror.freshness().set_asks_first(asks_first);
        self.keep_items();
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
            changes: self.mirror.changes(),
            routes: view.routes.as_ref().map_or(0, |routes| routes.version),
            members: view.members.version,
            at: Some(Instant::now()),
        };
        let kept = self.items_kept.get();
        let rested = kept.at.is_none_or(|at| at.elapsed() > KEEP_ITEMS_PAUSE);
        let urgent = (kept.routes, kept.members) != (now.routes, now.members);
        if kept.changes == now.changes || !(urgent || rested) {
            return;
        }
        self.items_kept.set(now);
        let items = self.mirror.items().into_iter().map(seen_item).collect();
        self.keeper.set_items(items, true);
    }

    async fn keep_place(&self) {
        loop {
            self.follow();
            let step = self.next_step();
            let acted = step != Step::Rest;
            self.take(step).await;
            let settled = self.keeper.complete()
                && self.keeper.members().get(&self.settings.node).is_some()
                && !self.retiring();
            let pause = if settled && !acted { TICK } else { QUICK_TICK };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.mirror.changed() => {}
            }
        }
    }

    /// Whether half of the time for a retirement is over.
    fn retirement_is_late(&self) -> bool {
        let view = self.mirror.view();
        let Some(order) = view.retirements.get(&self.settings.node) else {
            self.retiring_since.set(None);
            return false;
        };
        let since = self.retiring_since.get().unwrap_or_else(Instant::now);
        self.retiring_since.set(Some(since));
        since.elapsed() > order.within / 2
    }

    fn retiring(&self) -> bool {
        self.mirror
            .view()
            .retirements
            .contains_key(&self.settings.node)
    }

    fn next_step(&self) -> Step {
        // Without an answer of the service the list may have moved.
        if self.mirror.last_contact().is_none() {
            return Step::Rest;
        }
        let members = self.keeper.members();
        if nothing_kept_yet(&members, &self.settings.tolerance) {
            self.keeper.set_complete();
        }
        let end = self.keeper.end();
        let others = members
            .list
            .iter()
            .filter(|member| member.node != self.settings.node);
        let peers: Vec<PeerHealth> = others
            .clone()
            .map(|member| PeerHealth {
                node: member.node.clone(),
                silent_for: self.peers.silent_for(&member.node).unwrap_or_default(),
                caught_up: self.peers.caught_up_with(&member.node),
            })
            .collect();
        let peers_holding_all = others
            .filter(|member| member.state == MemberState::Active)
            .filter(|member| self.keeper.held_by(&member.node) == end)
            .count();
        let oneself = Oneself {
            node: self.settings.node.clone(),
            address: Text::from(self.settings.advertised.to_string()),
            zone: self.settings.zone.clone(),
            complete: self.keeper.complete(),
            caught_up: self.peers.caught_up_with_group(),
            retiring: self.retiring(),
            retirement_is_late: self.retirement_is_late(),
            peers_holding_all,
        };
        decide(&members, &oneself, &peers, &self.settings.tolerance)
    }

    async fn take(&self, step: Step) {
        let (members, completed) = match step {
            Step::Rest => return,
            Step::Change(members) => (members, None),
            Step::BeginRetirement(members) => (members, Some(false)),
            Step::CompleteRetirement(members) => (members, Some(true)),
        };
        let mut writes = vec![self.members_write(&members)];
        if let Some(completed) = completed {
            let report = self
                .mirror
                .interpreter
                .retirement_report(&self.settings.node, completed);
            writes.push(report);
        }
        let transaction = Transaction {
            conditions: vec![Condition {
                key: self.mirror.interpreter.members_key().to_owned(),
                revision: self.mirror.view().members_revision,
            }],
            writes,
        };
        let outcome = self.mirror.service.transact(&transaction).await;
        self.log_step(&members, completed, &outcome);
        if outcome != Ok(TransactionOutcome::Done(0)) {
            // Done, lost to another store, or without an answer: the list says.
            if self.mirror.confirm_members().await.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    fn log_step(
        &self,
        members: &Members,
        completed: Option<bool>,
        outcome: &Result<TransactionOutcome, stageyoke_directory::KeyValueError>,
    ) {
        let nodes: Vec<&str> = members
            .list
            .iter()
            .map(|member| member.node.as_str())
            .collect();
        let detail = format!(
            "version={} members={} retirement={completed:?} outcome={outcome:?}",
            members.version,
            nodes.join(",")
        );
        observe::event(Event::MembersProposed, &detail);
    }

    fn members_write(&self, members: &Members) -> Write {
        Write {
            key: self.mirror.interpreter.members_key().to_owned(),
            value: members.serialize_bin().into(),
        }
    }
}

fn seen_item(item: Item) -> SeenItem {
    SeenItem {
        key: Text::from(item.key),
        value: Blob(item.value),
        revision: item.revision,
    }
}

/// Logs what the mirror reports.
pub fn report_mirror_event(event: MirrorEvent) {
    match event {
        MirrorEvent::Changed(changed) => {
            observe::event(Event::ViewChanged, &format!("{changed:?}"));
        }
        MirrorEvent::Lost(error) => {
            observe::event(Event::StoreUnreachable, &format!("error={error}"));
        }
        MirrorEvent::Regained => observe::event(Event::DependencyRegained, "key-value service"),
        MirrorEvent::Unreadable(reason) => observe::event(Event::ItemUnreadable, &reason),
    }
}
