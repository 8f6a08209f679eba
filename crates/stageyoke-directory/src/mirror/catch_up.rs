//! Brings a process up to date that can't follow the history of the service, because it has
//! just started or because the service discarded the history.
//!
//! Reading everything takes the service as many pages as there are items, and a discarded
//! history is lost by all processes at the same moment. If all of them read at once, their
//! reads take longer than the history that they have to be followed from is kept, and none
//! ever ends. A directory of several pages is therefore fetched from peers where possible,
//! and the processes that read it from the service start one after another.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::relayed::RELAY_PAUSE_FRACTION;
use super::{CompleteRead, Mirror, MirrorEvent, PATIENT_RETRY_FACTOR, ReadSource, Step};
use crate::key_value::{KeyValueError, KeyValueService, RangePage};
use crate::relay::{DirectoryRelay, RelayReply, RelayedItems};
use crate::view::Interpreter;

/// How long a starting process tries peers, which may be starting too, before it asks the
/// service.
const RELAY_STARTUP_TIMEOUT: Duration = Duration::from_millis(1500);
const RELAY_STARTUP_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Fraction of the change bound over which fronts spread the reads of a first page.
const FIRST_PAGE_SPREAD_FRACTION: f64 = 0.1;
/// Number of processes that read the directory at once when all lose the history: one more than
/// the number of stores that any deployment tolerates losing.
const FIRST_READERS: f64 = 3.0;
/// Number of read times over which fronts that no store answers spread their complete reads,
/// and the spread in change bounds while the read time is unknown.
const UNRELAYED_READ_SPREAD: u32 = 32;
const ASSUMED_SPREAD_BOUNDS: f64 = 3.0;
/// Maximum number of times that the delay of complete reads is doubled.
const MAX_DELAY_DOUBLINGS: u32 = 4;

/// What a process has learnt about the cost of complete reads from the service.
#[derive(Debug, Default)]
pub(super) struct CompleteReadCost {
    /// Whether the directory takes more than one page.
    is_paged: Cell<bool>,
    /// Duration of the last complete read of several pages.
    elapsed: Cell<Option<Duration>>,
    /// Number of complete reads since the history was last followed. Each was in vain: it
    /// failed, or the history after it was discarded before it ended.
    reads_in_vain: Cell<u32>,
    /// Time of the next read of several pages, drawn once until the history is followed or
    /// read again.
    scheduled_at: Cell<Option<Instant>>,
}

impl CompleteReadCost {
    /// Records that the service or a peer had the history after this process's directory.
    pub(super) fn record_followed(&self) {
        self.reads_in_vain.set(0);
        self.scheduled_at.set(None);
    }

    fn record_read(&self, elapsed: Option<Duration>, is_complete: bool) {
        self.scheduled_at.set(None);
        let is_paged = self.is_paged.get();
        if is_paged && elapsed.is_some() {
            self.elapsed.set(elapsed);
        }
        // The caller waits after a failed read; that is enough where a read is one page.
        if is_paged || is_complete {
            self.reads_in_vain
                .set(self.reads_in_vain.get().saturating_add(1));
        }
    }

    fn delay_factor(&self) -> u32 {
        1 << self.reads_in_vain.get().min(MAX_DELAY_DOUBLINGS)
    }
}

/// Result of a read from the service.
enum ServiceRead {
    /// The whole directory, which is applied.
    Complete(Step),
    /// The first page of several, which is dropped.
    FirstOfSeveral,
}

impl<S: KeyValueService, I: Interpreter> Mirror<S, I> {
    /// Fetches what this process lacks from peers, or reads everything from the service
    /// when its turn has come.
    pub(super) async fn catch_up(
        &self,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        let mut started_at = Instant::now();
        let is_starting = self.last_contact.get().is_none();
        let mut delay = self.service_read_delay();
        let mut pause = match is_starting {
            true => RELAY_STARTUP_RETRY_DELAY,
            false => self.fraction_of_bound(RELAY_PAUSE_FRACTION),
        };
        loop {
            if let Some(step) = self.catch_up_from_peers(report).await {
                return Ok(step);
            }
            let due = self.service_read_due(started_at, delay);
            if due <= Instant::now() {
                match self.read_from_service(report).await? {
                    ServiceRead::Complete(step) => return Ok(step),
                    ServiceRead::FirstOfSeveral => {
                        started_at = Instant::now();
                        delay = self.service_read_delay();
                    }
                }
                continue;
            }
            let jitter = rand::rng().random_range(0.5..1.0);
            let next_attempt = Instant::now() + pause.mul_f64(jitter);
            tokio::time::sleep_until(next_attempt.min(due)).await;
            if !is_starting || started_at.elapsed() > RELAY_STARTUP_TIMEOUT {
                pause = (pause * 2).min(self.freshness.limits().max_backoff);
            }
        }
    }

    /// Returns the delay of the next read from the service, so that processes which lose the
    /// history at the same moment do not read at the same time.
    fn service_read_delay(&self) -> Duration {
        let cost = &self.complete_read_cost;
        if !cost.is_paged.get() {
            return self.first_page_delay();
        }
        let read_time = cost.elapsed.get();
        if self.relay.is_some() {
            let uniform = rand::rng().random_range(0.0..1.0);
            let assumed_spread = self.fraction_of_bound(ASSUMED_SPREAD_BOUNDS);
            let spread = read_time.map_or(assumed_spread, |time| time * UNRELAYED_READ_SPREAD);
            return (spread * cost.delay_factor()).mul_f64(uniform);
        }
        // A few begin at once, and their number doubles with each read time until one of them
        // has the directory for the others.
        let peers = self.peers.borrow();
        let rank = peers.as_ref().map_or(0, |peers| peers.read_rank());
        let doublings = ((rank + 1) as f64 / FIRST_READERS).max(1.0).log2();
        let longest_in_time = self.freshness.limits().answer_timeout;
        read_time
            .unwrap_or(longest_in_time)
            .mul_f64(doublings * f64::from(cost.delay_factor()))
    }

    /// Returns the delay of a read that is expected to take one page.
    fn first_page_delay(&self) -> Duration {
        let cost = &self.complete_read_cost;
        let max_backoff = self.freshness.limits().max_backoff;
        let backoff = super::INITIAL_BACKOFF * (cost.delay_factor() - 1);
        let spread = match &self.relay {
            Some(_) => self.fraction_of_bound(FIRST_PAGE_SPREAD_FRACTION),
            None => Duration::ZERO,
        };
        backoff.min(max_backoff) + spread.mul_f64(rand::rng().random_range(0.0..1.0))
    }

    /// Returns when this process, which can't follow the history since `started_at`, reads
    /// from the service. The far future stands for never.
    fn service_read_due(&self, started_at: Instant, delay: Duration) -> Instant {
        let cost = &self.complete_read_cost;
        let Some(relay) = &self.relay else {
            let due = started_at + delay;
            if !cost.is_paged.get() {
                return due;
            }
            let scheduled_at = cost.scheduled_at.get().unwrap_or(due);
            cost.scheduled_at.set(Some(scheduled_at));
            return scheduled_at;
        };
        let bound = self.fraction_of_bound(1.0);
        let never = Instant::now() + bound;
        let replied_at = relay.last_reply_at();
        let peers_reply = replied_at.is_some_and(|at| at.elapsed() < bound);
        if cost.is_paged.get() {
            // Peers that reply read the directory for all.
            return match peers_reply {
                true => never,
                false => started_at + bound + delay,
            };
        }
        if self.last_contact.get().is_none() {
            return match relay.has_sources() {
                true => started_at + RELAY_STARTUP_TIMEOUT,
                false => started_at,
            };
        }
        if !self.may_call_service() {
            return never;
        }
        match self.freshness.confirmed_at() {
            Some(confirmed_at) if peers_reply => {
                confirmed_at + self.freshness.limits().max_usable_age + delay
            }
            _ => started_at,
        }
    }

    /// Returns the number of processes that follow the service and relay it to each other.
    fn peer_count(&self) -> usize {
        if self.peers.borrow().is_none() {
            return 0;
        }
        let view = self.view();
        let members = view.stores.members().count();
        members.max(view.registered.len())
    }

    async fn catch_up_from_peers(&self, report: &mut impl FnMut(MirrorEvent)) -> Option<Step> {
        let peers: Rc<dyn DirectoryRelay> = match &self.relay {
            Some(relay) => relay.clone(),
            None if self.complete_read_cost.is_paged.get() => self.peers.borrow().clone()?,
            None => return None,
        };
        let _exchange = self.relay_exchange_lock.lock().await;
        let requirements = self.relay_requirements();
        let revision = self.freshness.revision();
        if revision > 0 {
            // A process that relays all items to others must receive all of them itself.
            let known = match &self.items {
                Some(_) => None,
                None => self.known_routes(),
            };
            let fetching = peers.fetch_changes(revision, known, requirements);
            let reply = fetching.await?;
            let is_newer = self.relay.is_some() || reply.payload.revision > revision;
            if reply.payload.age > requirements.max_age || !is_newer {
                return None;
            }
            if reply.payload.changes.is_some() {
                return Some(Step {
                    may_batch: self.relay.is_some(),
                    ..self.apply_relayed_reply(reply, revision, report)
                });
            }
        }
        let started_at = Instant::now();
        let reply = peers.fetch_items(requirements).await?;
        if reply.payload.age >= requirements.max_age || reply.payload.revision < revision {
            return None;
        }
        report(MirrorEvent::CompleteRead(CompleteRead {
            source: ReadSource::Peer,
            items: reply.payload.items.len(),
            elapsed: started_at.elapsed(),
            error: None,
        }));
        Some(self.apply_relayed_items(reply, report))
    }

    fn apply_relayed_items(
        &self,
        reply: RelayReply<RelayedItems>,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Step {
        let as_of = reply.as_of(reply.payload.age);
        let grace = reply.payload.lapsed_entry_grace;
        let lapsed_entry_deadline = self.relayed_lapsed_entry_deadline(&reply, grace, as_of);
        let RelayedItems {
            items, revision, ..
        } = reply.payload;
        let page = RangePage {
            items,
            more: false,
            revision,
        };
        self.lapsed_entry_deadline.set(lapsed_entry_deadline);
        self.apply_pages(vec![page], report);
        self.items_may_be_newer.set(true);
        Step::after_complete_read(revision, as_of)
    }

    /// Reads everything from the service; only the first page if the directory turns out to
    /// take several and this process has peers.
    async fn read_from_service(
        &self,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<ServiceRead, KeyValueError> {
        let cost = &self.complete_read_cost;
        let started_at = Instant::now();
        let mut pages: Vec<RangePage> = Vec::new();
        let outcome = self.read_pages(&mut pages).await;
        let is_complete = outcome.is_ok() && pages.last().is_some_and(|page| !page.more);
        if let Some(first) = pages.first() {
            cost.is_paged.set(first.more);
        }
        if outcome.is_ok() && !is_complete {
            return Ok(ServiceRead::FirstOfSeveral);
        }
        // A service that sends nothing tells nothing about the time that reads take.
        let elapsed = (!pages.is_empty()).then(|| started_at.elapsed());
        cost.record_read(elapsed, is_complete);
        report(MirrorEvent::CompleteRead(CompleteRead {
            source: ReadSource::Service,
            items: pages.iter().map(|page| page.items.len()).sum(),
            elapsed: started_at.elapsed(),
            error: outcome.err(),
        }));
        outcome?;
        // The pages are no snapshot: changes since the first page are received again.
        let revision = pages.first().map_or(0, |page| page.revision);
        self.lapsed_entry_deadline
            .set(self.freshness.lapsed_entry_deadline(started_at));
        self.apply_pages(pages, report);
        self.items_may_be_newer.set(false);
        Ok(ServiceRead::Complete(Step::after_complete_read(
            revision, started_at,
        )))
    }

    /// Reads pages up to the last one, or only the first of several if others can read them
    /// for this process and it has not waited for its turn.
    async fn read_pages(&self, pages: &mut Vec<RangePage>) -> Result<(), KeyValueError> {
        let has_peers = self.relay.is_some() || self.peer_count() > 1;
        let reads_all = self.complete_read_cost.is_paged.get() || !has_peers;
        loop {
            let after = pages
                .last()
                .and_then(|page| page.items.last())
                .map(|item| item.key.clone());
            let prefix = self.interpreter.prefix();
            self.record_request_start();
            let answer = self.service.range(prefix, after.as_deref());
            let page = self.receive_answer(answer, PATIENT_RETRY_FACTOR).await?;
            let is_last = !page.more;
            pages.push(page);
            if is_last || !reads_all {
                return Ok(());
            }
        }
    }
}
