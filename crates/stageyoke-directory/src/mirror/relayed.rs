//! The mirror's dealings with other processes: what it takes from those that
//! follow the service, and what it tells them.

use std::time::Duration;

use tokio::time::Instant;

use super::{BATCH_DELAY_FRACTION, Mirror, MirrorEvent, Step};
use crate::key_value::{KeyValueError, KeyValueService, RangePage, WatchOutcome};
use crate::relay::{
    DirectorySource, RelayReply, RelayRequirements, RelayedChanges, RelayedItems, RelayedRoutes,
    RoutesFuture,
};
use crate::view::{Changed, Interpreter};

/// Parts of the bound on changes: how old a copy that other processes tell may
/// be to be taken, and the least time between two questions to them.
const MAX_RELAYED_AGE_FRACTION: f64 = 0.7;
const RELAY_PAUSE_FRACTION: f64 = 0.05;
/// Part of the time for an answer of the service that other processes have to
/// tell the configuration, before it is read directly.
const RELAYED_ROUTES_TIMEOUT_FRACTION: f64 = 0.25;
/// Part of the time for which a read of the configuration counts that it may
/// have when it is told to others: they let it count for the rest.
const RELAYED_ROUTES_TTL_FRACTION: f64 = 0.5;
/// How long other processes are asked for everything at a start, before the
/// service is: they may be starting too.
const RELAY_STARTUP_TIMEOUT: Duration = Duration::from_millis(1500);
const RELAY_STARTUP_RETRY_DELAY: Duration = Duration::from_millis(150);

impl<S: KeyValueService, I: Interpreter> Mirror<S, I> {
    pub(super) fn fraction_of_bound(&self, part: f64) -> Duration {
        self.intervals
            .batch_delay
            .mul_f64(part / BATCH_DELAY_FRACTION)
    }

    fn relay_requirements(&self) -> RelayRequirements {
        RelayRequirements {
            answer_timeout: self.freshness.limits().answer_timeout,
            max_age: self.fraction_of_bound(MAX_RELAYED_AGE_FRACTION),
        }
    }

    /// Reads everything from another process that follows the service. At a
    /// start that is tried for a while, until the service itself is asked.
    pub(super) async fn read_all_relayed(
        &self,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Option<Step> {
        let relay = self.relay.as_ref()?;
        let starting = self.last_contact.get().is_none();
        let until = Instant::now() + RELAY_STARTUP_TIMEOUT;
        loop {
            let acceptable = self.relay_requirements();
            if let Some(relayed) = relay.fetch_items(acceptable).await
                && relayed.payload.age < acceptable.max_age
            {
                let as_of = relayed.as_of(relayed.payload.age);
                let back_until = self.relayed_lapsed_entry_deadline(
                    &relayed,
                    relayed.payload.lapsed_entry_grace,
                    as_of,
                );
                let RelayedItems {
                    items, revision, ..
                } = relayed.payload;
                let page = RangePage {
                    items,
                    more: false,
                    revision,
                };
                self.lapsed_entry_deadline.set(back_until);
                self.apply_pages(vec![page], report);
                return Some(Step {
                    revision: Some(revision),
                    as_of,
                    last_change: Some(revision),
                    may_batch: false,
                });
            }
            if !starting || !relay.has_sources() || Instant::now() >= until {
                return None;
            }
            tokio::time::sleep(RELAY_STARTUP_RETRY_DELAY).await;
        }
    }

    /// Asks other processes when the directory gets old, or when one of them has
    /// told of a change; the service where none has a young copy.
    pub(super) async fn follow_relay(
        &self,
        revision: u64,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        loop {
            // An idle process is told as well: it costs the service nothing, and
            // what has no routes yet can't be ready for its first request.
            tokio::select! {
                () = self.freshness.wait_until_overdue() => {}
                () = self.freshness.wait_until_lagging() => {}
                () = tokio::time::sleep(self.freshness.limits().refresh_after) => {}
            }
            if let Some(step) = self.apply_relayed_changes(revision, report).await {
                return Ok(step);
            }
            if !self.freshness.is_idle() || self.view().routes.is_none() {
                break;
            }
        }
        let began = Instant::now();
        let outcome = self.poll_service(revision, 1).await?;
        Ok(self.apply_service_answer(outcome, began, report))
    }

    fn relayed_lapsed_entry_deadline<T>(
        &self,
        relayed: &RelayReply<T>,
        back_within: Duration,
        as_of: Instant,
    ) -> Option<Instant> {
        let told = (!back_within.is_zero()).then(|| relayed.sent_at + back_within)?;
        self.freshness.relayed_lapsed_entry_deadline(as_of, told)
    }

    /// How much longer entries that this process misses may come back.
    fn lapsed_entry_grace(&self) -> Duration {
        let as_of = self.freshness.confirmed_at();
        let until = as_of.and_then(|as_of| self.freshness.lapsed_entry_deadline(as_of));
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// What another process tells of the changes after a revision, if its copy
    /// is young.
    pub(super) async fn apply_relayed_changes(
        &self,
        revision: u64,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Option<Step> {
        let relay = self.relay.as_ref()?;
        let acceptable = self.relay_requirements();
        let relayed = relay.fetch_changes(revision, acceptable).await?;
        let as_of = relayed.as_of(relayed.payload.age);
        let back_until =
            self.relayed_lapsed_entry_deadline(&relayed, relayed.payload.lapsed_entry_grace, as_of);
        if as_of.elapsed() > acceptable.max_age {
            return None;
        }
        let RelayedChanges {
            changes,
            revision: told,
            ..
        } = relayed.payload;
        let outcome = match changes {
            None => WatchOutcome::HistoryCompacted,
            // A copy that is behind this one held all there was at its time,
            // and this one holds that too.
            Some(changes) => WatchOutcome::Changes {
                changes,
                revision: told.max(revision),
            },
        };
        let step = self.apply_outcome(outcome, as_of, back_until, report);
        // Other processes are not asked without a pause.
        let gather = step.revision.is_some();
        Some(Step {
            may_batch: gather,
            ..step
        })
    }

    /// Takes the configuration from another process, which reads it for many;
    /// returns when that read began at the latest.
    pub(super) async fn apply_relayed_routes(&self) -> Option<Instant> {
        let relay = self.relay.as_ref()?;
        let within = self
            .freshness
            .limits()
            .answer_timeout
            .mul_f64(RELAYED_ROUTES_TIMEOUT_FRACTION);
        let relayed = relay.fetch_routes(within).await?;
        let started = relayed.as_of(relayed.payload.age);
        let item = relayed.payload.item;
        let key = self.interpreter.routes_key();
        if item.key == key {
            self.apply_item(key, Some(item), 0, &mut Changed::default());
        }
        Some(started)
    }

    /// More changes may follow at once. Calls to the service are gathered longer
    /// than those to other processes: they have their price.
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
            let within = self
                .intervals
                .confirmation_ttl
                .mul_f64(RELAYED_ROUTES_TTL_FRACTION);
            let started = self.ensure_routes_read(within).await.ok()?;
            let items = self.items.as_ref()?.borrow();
            let item = items.get(self.interpreter.routes_key())?.clone();
            let age = started.elapsed();
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
