//! A front's dealings with one store group: quorums of appends, ledgers merged
//! over members, chains gathered from whoever holds them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Freshness, GroupNumber, Member, Members, StoreGroups, Tolerance};
use stageyoke_types::Text;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::Instant;

use crate::client::{CallError, ExtendedReply, StoreClient};
use crate::extension::ExtensionFields;
use crate::frame::EncodedMessage;
use crate::load::LoadTracker;
use crate::message::{ChainPart, Placement, Record, Reply, Request};
use crate::quorum::{AppendTally, ChainLookup, ChainTally, LedgerView};

/// How long a member may take before others are asked as well.
const HEDGE_AFTER: Duration = Duration::from_millis(40);

/// Members that are asked whether a program has begun.
const ASKED_OF_BEGINNINGS: usize = 2;

/// Pause before a call is repeated on a new connection.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Why the group could not do it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupError {
    /// No member list is known, or it is too small for the tolerance.
    NoGroup,
    /// Too few members answered in time.
    NoQuorum,
    /// The member list in use was too old; the next try goes by a newer one,
    /// which came with the refusal.
    StaleMembers,
    /// Disks refuse records.
    DiskRefused,
    /// The members' memory takes no new turns for a while.
    MemoryFull,
}

impl fmt::Display for GroupError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoGroup => "no_group",
            Self::NoQuorum => "no_quorum",
            Self::StaleMembers => "stale_members",
            Self::DiskRefused => "disk_refused",
            Self::MemoryFull => "memory_full",
        })
    }
}

impl std::error::Error for GroupError {}

/// What is known of a chain.
#[derive(Clone, Debug)]
pub enum ChainOutcome {
    /// The whole chain, newest first.
    Complete(Vec<ChainPart>),
    /// No kept turn has this identifier.
    Absent(Text),
    /// Not enough members answered to be sure.
    Unknown,
}

/// What the groups of one front share.
#[derive(Clone)]
pub struct GroupContext {
    /// Zone of the front.
    pub zone: Text,
    /// What may be lost at once.
    pub tolerance: Tolerance,
    /// What fronts have under way at replicas.
    pub load: Rc<LoadTracker>,
    /// What members tell of the directory counts for this one.
    pub directory: Option<Rc<Freshness>>,
    /// The newest store groups that a refusal has brought.
    pub newer: Rc<RefCell<Option<StoreGroups>>>,
}

impl GroupContext {
    /// For a front in this zone.
    pub fn new(zone: Text, tolerance: Tolerance) -> Self {
        Self {
            zone,
            tolerance,
            load: Rc::new(LoadTracker::new(rand::random())),
            directory: None,
            newer: Rc::default(),
        }
    }
}

/// Connections to all members of one group, following its member list.
pub struct GroupClient {
    number: GroupNumber,
    shared: GroupContext,
    failing_since: Cell<Option<Instant>>,
    members: RefCell<Rc<Members>>,
    clients: RefCell<HashMap<Text, Rc<StoreClient>>>,
}

impl GroupClient {
    /// A group without members yet.
    pub fn new(number: GroupNumber, shared: GroupContext) -> Self {
        Self {
            number,
            shared,
            failing_since: Cell::new(None),
            members: RefCell::default(),
            clients: RefCell::default(),
        }
    }

    /// Its place among the groups.
    pub fn number(&self) -> GroupNumber {
        self.number
    }

    /// The member list in use.
    pub fn members(&self) -> Rc<Members> {
        self.members.borrow().clone()
    }

    /// Takes a member list unless it is older than the one in use; connections
    /// of unchanged members stay.
    pub fn update_members(&self, members: &Members) {
        let current = self.members();
        if members.version < current.version || *members == *current {
            return;
        }
        let mut clients = self.clients.borrow_mut();
        clients.retain(|node, client| {
            members
                .get(node)
                .is_some_and(|member| member.address.as_str() == client.address())
        });
        for member in members.all() {
            clients
                .entry(member.node.clone())
                .or_insert_with(|| Rc::new(StoreClient::new(&member.address)));
        }
        *self.members.borrow_mut() = Rc::new(members.clone());
    }

    /// The connection to a member.
    pub fn client(&self, node: &Text) -> Option<Rc<StoreClient>> {
        self.clients.borrow().get(node).cloned()
    }

    /// How long no quorum has been reached; `None` while the group serves.
    pub fn failing_for(&self) -> Option<Duration> {
        self.failing_since.get().map(|since| since.elapsed())
    }

    fn judge(&self, served: bool) {
        match served {
            true => self.failing_since.set(None),
            false if self.failing_since.get().is_none() => {
                self.failing_since.set(Some(Instant::now()));
            }
            false => {}
        }
    }

    /// Asks all members whether they are there; the group serves again once a
    /// write quorum is.
    pub async fn probe(&self, within: Duration) {
        let members = self.members();
        let Some(quorums) = members.quorums(&self.shared.tolerance) else {
            return;
        };
        let (answers, mut inbox) = unbounded_channel();
        for member in members.all() {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let answers = answers.clone();
            let node = member.node.clone();
            tokio::task::spawn_local(async move {
                if client.call(Request::Ping, within).await.is_ok() {
                    let _ = answers.send(node);
                }
            });
        }
        drop(answers);
        let mut present = BTreeSet::new();
        while let Some(node) = inbox.recv().await {
            present.insert(node);
            if members.has_quorum(quorums, |member| present.contains(&member.node)) {
                self.judge(true);
                return;
            }
        }
    }

    /// Writes a record to every member; done once a write quorum has it
    /// on disk. For reservations the quorum's members are complete ones, and
    /// the merged ledger is returned.
    pub async fn append(
        &self,
        record: Record,
        placement: Option<Placement>,
        within: Duration,
    ) -> Result<LedgerView, GroupError> {
        let outcome = self.append_once(record, placement, within).await;
        self.judge(outcome.is_ok());
        outcome
    }

    async fn append_once(
        &self,
        record: Record,
        placement: Option<Placement>,
        within: Duration,
    ) -> Result<LedgerView, GroupError> {
        let members = self.members();
        let reads_ledger = matches!(record, Record::Reserve { .. });
        let mut tally = AppendTally::new(&members, &self.shared.tolerance, reads_ledger)?;
        let sent = Instant::now();
        let (answers, mut inbox) = unbounded_channel();
        let request = EncodedMessage::encode(&Request::Append {
            group: self.number,
            members_version: members.version,
            load: self.shared.load.report(self.number),
            placement,
            record,
        });
        let extensions = Rc::new(ExtensionFields {
            rank_loads: self.shared.load.ranks.report(),
            engine_latencies: self.shared.load.engines.take_unreported(self.number),
            ..ExtensionFields::default()
        });
        for member in members.all() {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let request = request.clone();
            let answers = answers.clone();
            let node = member.node.clone();
            // The append goes on when this caller leaves: copies spread.
            let extensions = extensions.clone();
            tokio::task::spawn_local(async move {
                let called = call_until(&client, request, extensions, within);
                let _ = answers.send((node, called.await));
            });
        }
        drop(answers);
        while let Some(answer) = inbox.recv().await {
            let (node, Ok(mut answer)) = answer else {
                continue;
            };
            self.hear(&mut answer, reads_ledger, sent);
            tally.add_reply(&node, answer.reply);
            if let Some(newer) = tally.take_newer_stores() {
                self.take_newer(newer);
            }
            if tally.is_stored() {
                break;
            }
        }
        tally.outcome()
    }

    /// Takes what comes along with an answer.
    fn hear(&self, answer: &mut ExtendedReply, reads_ledger: bool, sent: Instant) {
        self.hear_fields(&answer.extension_fields);
        let Reply::Stored {
            other_fronts: others,
            directory,
            ..
        } = &mut answer.reply
        else {
            return;
        };
        if let Some(own) = &self.shared.directory {
            own.apply_peer_mark(*directory, sent);
        }
        if reads_ledger {
            self.shared
                .load
                .apply_report(self.number, std::mem::take(others));
        }
    }

    fn hear_fields(&self, extensions: &ExtensionFields) {
        if let Some(rank_loads) = &extensions.rank_loads {
            self.shared.load.ranks.apply_report(rank_loads);
        }
        if let Some(deviations) = &extensions.engine_deviations {
            self.shared.load.engines.apply_report(deviations);
        }
    }

    /// Whether any turn of a program has begun, by what some members know: the nearest,
    /// and others, as one may have missed the last records. `None` where none can tell.
    pub async fn has_started(&self, program: &Text, within: Duration) -> Option<bool> {
        let members = self.members();
        let mut order: Vec<&Member> = members.all().collect();
        order.sort_by_cached_key(|member| (member.zone != self.shared.zone, rand::random::<u32>()));
        let extensions = Rc::new(ExtensionFields {
            program: Some(program.clone()),
            front: Some(self.shared.load.front()),
            ..ExtensionFields::default()
        });
        let (answers, mut inbox) = unbounded_channel();
        for member in order.into_iter().take(ASKED_OF_BEGINNINGS) {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let (extensions, answers) = (extensions.clone(), answers.clone());
            tokio::task::spawn_local(async move {
                let ping = EncodedMessage::encode(&Request::Ping);
                let called = client.call_with_fields(ping, extensions, within).await;
                let _ = answers.send(called.ok().map(|answer| answer.extension_fields));
            });
        }
        drop(answers);
        let mut told = None;
        while let Some(answer) = inbox.recv().await {
            let answer = answer.unwrap_or_default();
            self.hear_fields(&answer);
            if answer.started == Some(true) {
                return answer.started;
            }
            told = told.or(answer.started);
        }
        told
    }

    /// Tells all members something that is only a hint, without waiting.
    pub fn send_hint(&self, request: &Request, within: Duration) {
        let request = EncodedMessage::encode(request);
        for member in self.members().all() {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let request = request.clone();
            tokio::task::spawn_local(async move {
                // A hint that is lost fades by itself.
                let _ = client.call_encoded(request, within).await;
            });
        }
    }

    /// Follows its own list in newer store groups, and hands them on.
    fn take_newer(&self, newer: StoreGroups) {
        if let Some(members) = newer.group(self.number) {
            self.update_members(members);
        }
        let mut known = self.shared.newer.borrow_mut();
        if known
            .as_ref()
            .is_none_or(|known| known.version < newer.version)
        {
            *known = Some(newer);
        }
    }

    /// What the group knows of one turn and those before it, nearest member first.
    pub async fn chain_step(&self, turn: &Text, deadline: Instant) -> ChainLookup {
        let members = self.members();
        let Some(mut tally) = ChainTally::new(&members, &self.shared.tolerance) else {
            return ChainLookup::Unknown;
        };
        let (answers, mut inbox) = unbounded_channel();
        let mut order: Vec<&Member> = members.all().collect();
        order.sort_by_key(|member| member.zone != self.shared.zone);
        let mut waiting = order.into_iter();
        let mut asked = 0;
        let mut answered = 0;
        loop {
            if asked == answered
                && let Some(member) = waiting.next()
            {
                asked += 1;
                self.ask_chain(member, members.version, turn, deadline, &answers);
            }
            if asked == answered {
                return ChainLookup::Unknown;
            }
            let hedge = (Instant::now() + HEDGE_AFTER).min(deadline);
            let answer = tokio::select! {
                answer = inbox.recv() => answer,
                () = tokio::time::sleep_until(hedge) => {
                    if Instant::now() >= deadline {
                        return ChainLookup::Unknown;
                    }
                    if let Some(member) = waiting.next() {
                        asked += 1;
                        self.ask_chain(member, members.version, turn, deadline, &answers);
                    }
                    continue;
                }
            };
            answered += 1;
            if let Some((node, Some(reply))) = answer {
                tally.add_reply(&node, reply);
            }
            if let Some(newer) = tally.take_newer_stores() {
                self.take_newer(newer);
            }
            let step = tally.step();
            if step != ChainLookup::Unknown {
                return step;
            }
        }
    }

    /// Asks by the version that the answers are counted by: a newer list may have come
    /// since the question began.
    fn ask_chain(
        &self,
        member: &Member,
        members_version: u64,
        turn: &Text,
        deadline: Instant,
        answers: &UnboundedSender<(Text, Option<Reply>)>,
    ) {
        let Some(client) = self.client(&member.node) else {
            let _ = answers.send((member.node.clone(), None));
            return;
        };
        let request = Request::Chain {
            group: self.number,
            members_version,
            turn: turn.clone(),
        };
        let answers = answers.clone();
        let node = member.node.clone();
        tokio::task::spawn_local(async move {
            let within = deadline.saturating_duration_since(Instant::now());
            let _ = answers.send((node, client.call(request, within).await.ok()));
        });
    }
}

/// Repeats a call that ended with its connection: records are known by their
/// digests, so that a second copy does no harm.
async fn call_until(
    client: &StoreClient,
    request: EncodedMessage,
    extensions: Rc<ExtensionFields>,
    within: Duration,
) -> Result<ExtendedReply, CallError> {
    let deadline = Instant::now() + within;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let called = client.call_with_fields(request.clone(), extensions.clone(), left);
        let error = match called.await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        if Instant::now() + RETRY_PAUSE >= deadline {
            return Err(error);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
