//! A front's dealings with the whole store group: quorums of appends, ledgers
//! merged over members, chains gathered from whoever holds them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Freshness, Member, MemberState, Members, Tolerance};
use stageyoke_types::Text;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::Instant;

use crate::client::{CallError, StoreClient};
use crate::frame::Encoded;
use crate::keys::TurnKey;
use crate::load::LoadBoard;
use crate::message::{ChainPart, LedgerEntry, Record, Refusal, Reply, Request};

/// How long a member may take before others are asked as well.
const HEDGE_AFTER: Duration = Duration::from_millis(40);

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

/// A program's ledger, merged over a quorum.
#[derive(Clone, Debug, Default)]
pub struct LedgerView {
    entries: BTreeMap<u64, LedgerEntry>,
}

impl LedgerView {
    /// Takes one member's entries: a settled amount replaces a reservation.
    pub fn merge(&mut self, entries: impl IntoIterator<Item = LedgerEntry>) {
        for entry in entries {
            match self.entries.get(&entry.turn) {
                Some(known) if known.settled || !entry.settled => {}
                _ => {
                    self.entries.insert(entry.turn, entry);
                }
            }
        }
    }

    /// Tokens used and reserved by all turns but this one.
    pub fn total_without(&self, turn: &str) -> u64 {
        let TurnKey(turn) = TurnKey::of(turn);
        self.entries
            .values()
            .filter(|entry| entry.turn != turn)
            .map(|entry| u64::from(entry.amount))
            .sum()
    }

    /// Turns of the ledger.
    pub fn turns(&self) -> usize {
        self.entries.len()
    }
}

/// What is known of a chain.
#[derive(Clone, Debug)]
pub enum ChainOutcome {
    /// The whole chain, newest first.
    Whole(Vec<ChainPart>),
    /// No kept turn has this identifier.
    Absent(Text),
    /// Not enough members answered to be sure.
    Unsure,
}

/// Connections to all members, following the member list.
pub struct Group {
    zone: Text,
    tolerance: Tolerance,
    /// What fronts have under way at replicas.
    pub load: Rc<LoadBoard>,
    failing_since: Cell<Option<Instant>>,
    members: RefCell<Rc<Members>>,
    clients: RefCell<HashMap<Text, Rc<StoreClient>>>,
    directory: Option<Rc<Freshness>>,
}

impl Group {
    /// A group without members yet.
    pub fn new(zone: Text, tolerance: Tolerance) -> Self {
        Self {
            zone,
            tolerance,
            load: Rc::new(LoadBoard::new(rand::random())),
            failing_since: Cell::new(None),
            members: RefCell::default(),
            clients: RefCell::default(),
            directory: None,
        }
    }

    /// The same group; what its members tell of the directory counts for this
    /// one.
    pub fn confirming(self, directory: Rc<Freshness>) -> Self {
        Self {
            directory: Some(directory),
            ..self
        }
    }

    /// The member list in use.
    pub fn members(&self) -> Rc<Members> {
        self.members.borrow().clone()
    }

    /// Takes a member list unless it is older than the one in use; connections
    /// of unchanged members stay.
    pub fn follow(&self, members: &Rc<Members>) {
        if members.version < self.members().version {
            return;
        }
        let mut clients = self.clients.borrow_mut();
        clients.retain(|node, client| {
            members
                .get(node)
                .is_some_and(|member| member.address.as_str() == client.address())
        });
        for member in members.list.iter() {
            clients
                .entry(member.node.clone())
                .or_insert_with(|| Rc::new(StoreClient::new(&member.address)));
        }
        *self.members.borrow_mut() = members.clone();
    }

    fn client(&self, node: &Text) -> Option<Rc<StoreClient>> {
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
        let Some(needed) = members.write_quorum(&self.tolerance) else {
            return;
        };
        let (answers, mut inbox) = unbounded_channel();
        for member in active(&members) {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let answers = answers.clone();
            tokio::task::spawn_local(async move {
                let _ = answers.send(client.call(Request::Ping, within).await.is_ok());
            });
        }
        drop(answers);
        let mut present = 0;
        while let Some(there) = inbox.recv().await {
            present += usize::from(there);
            if present >= needed {
                self.judge(true);
                return;
            }
        }
    }

    /// Writes a record to every active member; done once a write quorum has it
    /// on disk. For reservations the quorum's members are complete ones, and
    /// the merged ledger is returned.
    pub async fn append(&self, record: Record, within: Duration) -> Result<LedgerView, GroupError> {
        let outcome = self.append_once(record, within).await;
        self.judge(outcome.is_ok());
        outcome
    }

    async fn append_once(
        &self,
        record: Record,
        within: Duration,
    ) -> Result<LedgerView, GroupError> {
        let members = self.members();
        let needed = members
            .write_quorum(&self.tolerance)
            .ok_or(GroupError::NoGroup)?;
        let sent = Instant::now();
        let reads_ledger = matches!(record, Record::Reserve { .. });
        let (answers, mut inbox) = unbounded_channel();
        let request = Encoded::of(&Request::Append {
            members_version: members.version,
            load: self.load.report(),
            record,
        });
        for member in active(&members) {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let request = request.clone();
            let answers = answers.clone();
            // The append goes on when this caller leaves: copies spread.
            tokio::task::spawn_local(async move {
                let _ = answers.send(call_until(&client, request, within).await);
            });
        }
        drop(answers);
        let mut ledger = LedgerView::default();
        let mut kept = 0;
        let mut error = GroupError::NoQuorum;
        while let Some(answer) = inbox.recv().await {
            match answer {
                Ok(Reply::Kept {
                    complete,
                    ledger: entries,
                    others,
                    directory,
                }) => {
                    if let Some(own) = &self.directory {
                        own.hear(directory, sent);
                    }
                    if reads_ledger {
                        self.load.hear(others);
                    }
                    ledger.merge(entries);
                    kept += usize::from(complete || !reads_ledger);
                }
                Ok(Reply::StaleMembers(newer)) => {
                    self.follow(&Rc::new(newer));
                    error = GroupError::StaleMembers;
                }
                Ok(Reply::Refused(Refusal::DiskRefused)) => error = GroupError::DiskRefused,
                Ok(Reply::Refused(Refusal::MemoryFull)) => error = GroupError::MemoryFull,
                Ok(_) | Err(_) => {}
            }
            if kept >= needed {
                return Ok(ledger);
            }
        }
        Err(error)
    }

    /// Sends a record to every active member without waiting.
    pub fn append_in_background(self: &Rc<Self>, record: Record, within: Duration) {
        let group = self.clone();
        tokio::task::spawn_local(async move {
            let outcome = group.append(record.clone(), within).await;
            if matches!(outcome, Err(GroupError::StaleMembers)) {
                let _ = group.append(record, within).await;
            }
        });
    }

    /// Gathers the chain that ends in `turn`, nearest member first.
    pub async fn chain(&self, turn: &Text, within: Duration) -> ChainOutcome {
        let deadline = Instant::now() + within;
        let mut parts: Vec<ChainPart> = Vec::new();
        let mut next = turn.clone();
        loop {
            match self.chain_step(&next, deadline).await {
                StepOutcome::Parts { found, missing } => {
                    parts.extend(found);
                    if missing.is_empty() {
                        return ChainOutcome::Whole(parts);
                    }
                    next = missing;
                }
                StepOutcome::Absent => return ChainOutcome::Absent(next),
                StepOutcome::Unsure => return ChainOutcome::Unsure,
            }
        }
    }

    async fn chain_step(&self, turn: &Text, deadline: Instant) -> StepOutcome {
        let members = self.members();
        let Some(absence) = members.absence_quorum(&self.tolerance) else {
            return StepOutcome::Unsure;
        };
        let (answers, mut inbox) = unbounded_channel();
        let mut order: Vec<&Member> = members.list.iter().collect();
        order.sort_by_key(|member| member.zone != self.zone);
        let mut waiting = order.into_iter();
        let mut asked = 0;
        let mut answered = 0;
        let mut absent = 0;
        loop {
            let ask_more = asked == answered || asked == 0;
            if ask_more && let Some(member) = waiting.next() {
                asked += 1;
                self.ask_chain(member, turn, deadline, &answers);
            }
            if asked == answered {
                return StepOutcome::Unsure;
            }
            let hedge = (Instant::now() + HEDGE_AFTER).min(deadline);
            let answer = tokio::select! {
                answer = inbox.recv() => answer,
                () = tokio::time::sleep_until(hedge) => {
                    if Instant::now() >= deadline {
                        return StepOutcome::Unsure;
                    }
                    if let Some(member) = waiting.next() {
                        asked += 1;
                        self.ask_chain(member, turn, deadline, &answers);
                    }
                    continue;
                }
            };
            answered += 1;
            if let Some(Some(Reply::Chain {
                complete,
                parts,
                missing,
            })) = answer
            {
                if !parts.is_empty() {
                    return StepOutcome::Parts {
                        found: parts.0,
                        missing,
                    };
                }
                absent += usize::from(complete);
                if absent >= absence {
                    return StepOutcome::Absent;
                }
            }
        }
    }

    fn ask_chain(
        &self,
        member: &Member,
        turn: &Text,
        deadline: Instant,
        answers: &tokio::sync::mpsc::UnboundedSender<Option<Reply>>,
    ) {
        let Some(client) = self.client(&member.node) else {
            let _ = answers.send(None);
            return;
        };
        let request = Request::Chain { turn: turn.clone() };
        let answers = answers.clone();
        tokio::task::spawn_local(async move {
            let within = deadline.saturating_duration_since(Instant::now());
            let _ = answers.send(client.call(request, within).await.ok());
        });
    }
}

/// Repeats a call that ended with its connection: records are known by their
/// digests, so that a second copy does no harm.
async fn call_until(
    client: &StoreClient,
    request: Encoded,
    within: Duration,
) -> Result<Reply, CallError> {
    let deadline = Instant::now() + within;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let error = match client.call_encoded(request.clone(), left).await {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        if Instant::now() + RETRY_PAUSE >= deadline {
            return Err(error);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

enum StepOutcome {
    Parts {
        found: Vec<ChainPart>,
        missing: Text,
    },
    Absent,
    Unsure,
}

fn active(members: &Members) -> impl Iterator<Item = &Member> {
    members
        .list
        .iter()
        .filter(|member| member.state == MemberState::Active)
}
