//! Exchanges the directory with peers: fetches it from those that follow the service,
//! and relays it to others.

use std::time::Duration;

use tokio::time::Instant;

use super::{BATCH_DELAY_FRACTION, Mirror, MirrorEvent, Step};
use crate::key_value::{KeyValueError, KeyValueService, WatchOutcome};
use crate::relay::{
    DirectorySource, KnownItem, RelayReply, RelayRequirements, RelayedChanges, RelayedItems,
    RelayedRoutes, RoutesFuture,
};
use crate::transfer::{TransferTimeouts, wait_for_transfer};
use crate::view::{Changed, Interpreter};

/// Fractions of the change bound: maximum age of a relayed copy, and minimum pause
/// between two requests to peers.
const MAX_RELAYED_AGE_FRACTION: f64 = 0.7;
pub(super) const RELAY_PAUSE_FRACTION: f64 = 0.05;
/// Fraction of the change bound after which a refresh from peers that is still in progress is
/// joined by one from the service.
const RELAY_PATIENCE_FRACTION: f64 = 0.27;
/// Fraction of the service's answer timeout that peers have to supply the configuration
/// before it is read from the service.
const RELAYED_ROUTES_TIMEOUT_FRACTION: f64 = 0.25;
/// Fraction of the confirmation TTL that a read may have aged when it is relayed; the
/// receiver uses the rest.
const RELAYED_ROUTES_TTL_FRACTION: f64 = 0.5;
/// Answer to a refresh of the directory.
enum DirectoryAnswer {
    /// From a peer.
    Relayed(RelayReply<RelayedChanges>),
    /// From the service, to a request sent at `sent_at`.
    FromService {
        outcome: WatchOutcome,
        sent_at: Instant,
    },
}

impl<S: KeyValueService, I: Interpreter> Mirror<S, I> {
    pub(super) fn fraction_of_bound(&self, fraction: f64) -> Duration {
        self.intervals
            .batch_delay
            .mul_f64(fraction / BATCH_DELAY_FRACTION)
    }

    pub(super) fn relay_requirements(&self) -> RelayRequirements {
        let limits = self.freshness.limits();
        RelayRequirements {
            answer_timeout: limits.answer_timeout,
            transfer_timeout: limits.transfer_timeout,
            max_age: self.fraction_of_bound(MAX_RELAYED_AGE_FRACTION),
        }
    }

    /// Fetches changes from peers when a refresh is due or when one of them has
    /// reported a change; falls back to the service if no peer has a fresh copy.
    pub(super) async fn follow_relay(
        &self,
        revision: u64,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        loop {
            // Idle processes are refreshed too: it costs no call to the service, and a
            // process without routes could not be ready for its first request.
            tokio::select! {
                () = self.freshness.wait_until_overdue() => {}
                () = self.freshness.wait_until_lagging() => {}
                () = tokio::time::sleep(self.freshness.limits().refresh_after) => {}
            }
            if let Some(answer) = self.refresh(revision).await? {
                return Ok(self.apply_answer(answer, revision, report));
            }
        }
    }

    /// Returns whether a refresh may call the service. Only processes that use the directory
    /// do, and those that cannot start without it.
    pub(super) fn may_call_service(&self) -> bool {
        !self.freshness.is_idle() || self.view().routes.is_none()
    }

    /// Fetches the changes after a revision from peers; from the service if no peer has a
    /// fresh copy, or if the transfer takes so long that the directory would get too old.
    async fn refresh(&self, revision: u64) -> Result<Option<DirectoryAnswer>, KeyValueError> {
        let mut relayed = std::pin::pin!(self.fetch_relayed_changes(revision));
        let patience = self.fraction_of_bound(RELAY_PATIENCE_FRACTION);
        let in_time = tokio::time::timeout(patience, &mut relayed).await;
        if let Ok(Some(reply)) = in_time {
            return Ok(Some(DirectoryAnswer::Relayed(reply)));
        }
        let mut is_transferring = in_time.is_err();
        if !self.may_call_service() {
            return Ok(match is_transferring {
                true => relayed.await.map(DirectoryAnswer::Relayed),
                false => None,
            });
        }
        let sent_at = Instant::now();
        let mut polling = std::pin::pin!(self.poll_service(revision, 1));
        let polled = loop {
            tokio::select! {
                reply = &mut relayed, if is_transferring => match reply {
                    Some(reply) => return Ok(Some(DirectoryAnswer::Relayed(reply))),
                    None => is_transferring = false,
                },
                polled = &mut polling => break polled,
            }
        };
        match polled {
            Ok(outcome) => Ok(Some(DirectoryAnswer::FromService { outcome, sent_at })),
            Err(error) if is_transferring => match relayed.await {
                Some(reply) => Ok(Some(DirectoryAnswer::Relayed(reply))),
                None => Err(error),
            },
            Err(error) => Err(error),
        }
    }

    fn apply_answer(
        &self,
        answer: DirectoryAnswer,
        revision: u64,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Step {
        match answer {
            DirectoryAnswer::Relayed(reply) => self.apply_relayed_reply(reply, revision, report),
            DirectoryAnswer::FromService { outcome, sent_at } => {
                self.apply_service_answer(outcome, sent_at, report)
            }
        }
    }

    pub(super) fn relayed_lapsed_entry_deadline<T>(
        &self,
        reply: &RelayReply<T>,
        grace: Duration,
        as_of: Instant,
    ) -> Option<Instant> {
        let relayed_deadline = (!grace.is_zero()).then(|| reply.sent_at + grace)?;
        self.freshness
            .relayed_lapsed_entry_deadline(as_of, relayed_deadline)
    }

    /// Returns how much longer entries that this process misses may come back.
    fn lapsed_entry_grace(&self) -> Duration {
        let as_of = self.freshness.confirmed_at();
        let deadline = as_of.and_then(|as_of| self.freshness.lapsed_entry_deadline(as_of));
        deadline.map_or(Duration::ZERO, |deadline| {
            deadline.saturating_duration_since(Instant::now())
        })
    }

    pub(super) fn known_routes(&self) -> Option<KnownItem> {
        let revision = self.routes_revision.get();
        (revision > 0).then(|| KnownItem {
            key: self.interpreter.routes_key().to_owned(),
            revision,
        })
    }

    /// Fetches the changes after a revision from a peer, if its copy is fresh.
    async fn fetch_relayed_changes(&self, revision: u64) -> Option<RelayReply<RelayedChanges>> {
        let relay = self.relay.as_ref()?;
        let _exchange = self.relay_exchange_lock.lock().await;
        let requirements = self.relay_requirements();
        let fetching = relay.fetch_changes(revision, self.known_routes(), requirements);
        let reply = fetching.await?;
        (reply.payload.age <= requirements.max_age).then_some(reply)
    }

    /// Applies the changes after a revision from a peer, if its copy is fresh.
    pub(super) async fn apply_relayed_changes(
        &self,
        revision: u64,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Option<Step> {
        let reply = self.fetch_relayed_changes(revision).await?;
        Some(self.apply_relayed_reply(reply, revision, report))
    }

    pub(super) fn apply_relayed_reply(
        &self,
        reply: RelayReply<RelayedChanges>,
        revision: u64,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Step {
        // The transfer time is not counted: a repeated request would transfer the same
        // changes.
        let as_of = reply.as_of(reply.payload.age);
        let lapsed_entry_deadline =
            self.relayed_lapsed_entry_deadline(&reply, reply.payload.lapsed_entry_grace, as_of);
        let RelayedChanges {
            changes,
            revision: relayed_revision,
            ..
        } = reply.payload;
        let outcome = match changes {
            None => WatchOutcome::HistoryCompacted,
            // A lagging peer held every change of its time, and this process holds
            // those too.
            Some(changes) => WatchOutcome::Changes {
                changes,
                revision: relayed_revision.max(revision),
            },
        };
        if self.relay.is_some() && matches!(outcome, WatchOutcome::Changes { .. }) {
            self.complete_read_cost.record_followed();
        }
        let step = self.apply_outcome(outcome, as_of, lapsed_entry_deadline, report);
        // Batching also keeps a pause between two requests to peers, which leave no changes out.
        Step {
            may_batch: step.revision.is_some(),
            is_truncated: false,
            ..step
        }
    }

    /// Applies the configuration from a peer that reads it on behalf of many processes;
    /// returns the latest time at which that read can have started.
    pub(super) async fn apply_relayed_routes(&self) -> Option<Instant> {
        let relay = self.relay.as_ref()?;
        let limits = self.freshness.limits();
        let requirements = RelayRequirements {
            answer_timeout: limits
                .answer_timeout
                .mul_f64(RELAYED_ROUTES_TIMEOUT_FRACTION),
            transfer_timeout: limits.transfer_timeout,
            // A peer reads the configuration on each request, so its age needs no limit.
            max_age: Duration::MAX,
        };
        let timeouts = TransferTimeouts {
            idle: requirements.answer_timeout,
            total: requirements.transfer_timeout,
        };
        let lock = self.relay_exchange_lock.lock();
        let _exchange = wait_for_transfer(lock, timeouts, || relay.received_bytes()).await?;
        let known = self.known_routes();
        let reply = relay.fetch_routes(known.clone(), requirements).await?;
        let started_at = reply.as_of(reply.payload.age);
        let item = reply.payload.item;
        let key = self.interpreter.routes_key();
        let is_known = known.is_some_and(|known| known.revision == item.revision);
        if item.key == key && !is_known {
            self.apply_item(key, Some(item), 0, &mut Changed::default());
        }
        Some(started_at)
    }

    /// Returns the delay for batching changes. It is longer for the service, which
    /// charges for calls, than for peers.
    pub(super) fn pause_after_change(&self) -> Duration {
        match &self.relay {
            Some(_) => self.fraction_of_bound(RELAY_PAUSE_FRACTION),
            None => self.intervals.batch_delay,
        }
    }
}

impl<S: KeyValueService, I: Interpreter> DirectorySource for Mirror<S, I> {
    fn relay_changes(&self, after: u64) -> Option<RelayedChanges> {
        let age = self.freshness.age()?;
        Some(RelayedChanges {
            changes: self.recent_changes.borrow().changes_after(after),
            revision: self.freshness.revision(),
            age,
            lapsed_entry_grace: self.lapsed_entry_grace(),
        })
    }

    fn relay_routes(&self) -> RoutesFuture<'_> {
        Box::pin(async move {
            let max_age = self
                .intervals
                .confirmation_ttl
                .mul_f64(RELAYED_ROUTES_TTL_FRACTION);
            let started_at = self.ensure_routes_read(max_age).await.ok()?;
            let items = self.items.as_ref()?.borrow();
            let item = items.get(self.interpreter.routes_key())?.clone();
            let age = started_at.elapsed();
            Some(RelayedRoutes { item, age })
        })
    }

    fn relay_items(&self) -> Option<RelayedItems> {
        let age = self.freshness.age()?;
        Some(RelayedItems {
            items: self.items(),
            revision: self.freshness.revision(),
            age,
            lapsed_entry_grace: self.lapsed_entry_grace(),
        })
    }
}
