//! Logs placements by an outdated replica list, and replicas that are added, removed or
//! restarted.

use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{ReplicaRecord, ReplicaStart};
use stageyoke_observe as observe;
use stageyoke_types::{Event, Text};

use crate::log_limiter::LogRateLimiter;
use crate::replica::Replica;

/// Maximum number of replicas named in one line; the rest are counted.
const MAX_NAMED_REPLICAS: usize = 4;

/// Counts and logs requests that are placed by a replica list older than the change bound;
/// such a list may lack changes that must already be in force.
#[derive(Debug)]
pub(crate) struct StaleListMonitor {
    bound: Duration,
    log_limiter: LogRateLimiter,
}

impl StaleListMonitor {
    /// Creates a monitor for lists older than `bound`.
    pub(crate) fn new(bound: Duration) -> Self {
        Self {
            bound,
            log_limiter: LogRateLimiter::default(),
        }
    }

    /// Returns whether a request may be placed by a list of this age, and logs an outdated
    /// one. While the service and the stores are unreachable, an outdated list is used.
    /// `Duration::MAX` means that there is no list and nothing is placed.
    pub(crate) fn may_place(&self, age: Duration, unreachable: bool) -> bool {
        if age <= self.bound || age == Duration::MAX {
            return true;
        }
        observe::metrics().stale_list_requests.inc();
        if self.log_limiter.try_acquire() {
            let reason = match unreachable {
                true => "service and stores unreachable",
                false => "timed out waiting for a newer list",
            };
            let detail = format!("age={} reason={reason}", age.as_millis());
            observe::record_event(Event::OldListUsed, &detail);
        }
        unreachable
    }
}

/// Logs which replicas were added and removed by one update of the list.
pub(crate) fn log_replica_changes(added: &[Rc<Replica>], removed: &[Rc<Replica>], now: usize) {
    if added.is_empty() && removed.is_empty() {
        return;
    }
    let detail = format!(
        "added={} dropped={} now={now}",
        format_names(added),
        format_names(removed)
    );
    observe::record_event(Event::ReplicasChanged, &detail);
}

/// Logs that a replica is listed with another incarnation.
pub(crate) fn log_replica_restart(id: &Text, before: &ReplicaRecord, after: &ReplicaRecord) {
    let detail = format!(
        "replica={id} before=[{}] after=[{}]",
        describe_incarnation(before),
        describe_incarnation(after)
    );
    observe::record_event(Event::ReplicaRestarted, &detail);
}

fn describe_incarnation(record: &ReplicaRecord) -> String {
    let ReplicaStart {
        started_at_ms: born,
        orders_received: orders,
    } = record.start;
    let number = |number: Option<u64>| number.map_or_else(|| "none".to_owned(), |n| n.to_string());
    let (born, orders) = (number(born), number(orders));
    format!(
        "address={} version={} born={born} orders={orders}",
        record.address, record.software_version
    )
}

fn format_names(replicas: &[Rc<Replica>]) -> String {
    let named = replicas.iter().take(MAX_NAMED_REPLICAS);
    let names: Vec<&str> = named.map(|replica| replica.id.as_str()).collect();
    let omitted = replicas.len() - names.len();
    match omitted {
        0 => format!("[{}]", names.join(",")),
        _ => format!("[{},+{omitted}]", names.join(",")),
    }
}
