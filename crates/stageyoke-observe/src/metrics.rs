//! Counters, gauges and latency histograms of a process, and their listener.

use std::collections::HashSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Mutex, OnceLock};

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use stageyoke_types::Event;
use tokio::net::TcpListener;

/// Path of the metrics page.
pub const METRICS_PATH: &str = "/metrics";
/// Buckets of latency histograms, s.
const LATENCY_BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Buckets of the time until a group of stores is whole again, s.
const HEAL_BUCKETS: &[f64] = &[0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0, 20.0, 60.0];

/// Every metric of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that ended, by route and outcome.
    pub requests: IntCounterVec,
    /// Time from a request's arrival to its end, s.
    pub request_seconds: Histogram,
    /// Time from a request's arrival to the head of its answer, s.
    pub head_seconds: Histogram,
    /// Time until a reservation was kept, s.
    pub reserve_seconds: Histogram,
    /// Time until a finished turn was kept, s.
    pub commit_seconds: Histogram,
    /// Time of one write and sync of a journal, s.
    pub sync_seconds: Histogram,
    /// Numbered events.
    pub events: IntCounterVec,
    /// Calls to the key-value service, by outcome.
    pub service_calls: IntCounterVec,
    /// Grants of requests, and their returns, that an owner of a limit did not hear of.
    pub quota_unreported: IntCounter,
    /// Requests of tenants that ended with a refusal or failure, by tenant and outcome.
    pub tenant_failures: IntCounterVec,
    /// First turns that were turned away for want of room at engines.
    pub rejected_turns: IntCounter,
    /// Connections opened to replicas.
    pub connections_opened: IntCounter,
    /// Requests and streams under way.
    pub in_flight: IntGauge,
    /// Configuration in force.
    pub routes_version: IntGauge,
    /// Version of the store groups.
    pub members_version: IntGauge,
    /// Replicas that take work.
    pub replicas: IntGauge,
    /// Records that a store holds.
    pub records: IntGauge,
    /// Whether a store holds everything that it ever acknowledged.
    pub store_complete: IntGauge,
    /// Whether the store's group is settled and all its members are there.
    pub group_healthy: IntGauge,
    /// Time from a store's first notice of a loss in its group until it is whole, s.
    pub recovery_seconds: Histogram,
    /// Age of the directory when a request was routed by it, s.
    pub directory_age_seconds: Histogram,
    /// Requests that were placed by a list of replicas beyond the bound on changes.
    pub stale_list_requests: IntCounter,
    /// Bytes of turns' inputs and outputs that a store keeps in memory.
    pub turn_bytes: IntGauge,
    /// Entries of all ledgers that a store keeps in memory.
    pub ledger_entries: IntGauge,
    /// Connections with peers that speak an older version of the messages.
    pub older_peers: IntGauge,
}

/// Routes that have a label of their own; the rest share one, since a long
/// life meets more names than a page can hold.
pub const MAX_LABELLED_ROUTES: usize = 256;
/// Tenants that have a label of their own, the first that are refused something; the
/// rest share one. Each has a line for each outcome.
pub const MAX_LABELLED_TENANTS: usize = 64;
const OTHERS: &str = "other";

/// Names that have a label of their own.
type Labelled = OnceLock<Mutex<HashSet<String>>>;

/// The label of a route.
pub fn route_label(route: &str) -> &str {
    static SEEN: Labelled = OnceLock::new();
    label(&SEEN, MAX_LABELLED_ROUTES, route)
}

/// The label of a tenant.
pub fn tenant_label(tenant: &str) -> &str {
    static SEEN: Labelled = OnceLock::new();
    label(&SEEN, MAX_LABELLED_TENANTS, tenant)
}

fn label<'a>(seen: &Labelled, most: usize, name: &'a str) -> &'a str {
    let Ok(mut seen) = seen.get_or_init(Mutex::default).lock() else {
        return OTHERS;
    };
    if seen.contains(name) {
        return name;
    }
    if seen.len() >= most {
        return OTHERS;
    }
    seen.insert(name.to_owned());
    name
}

/// The metrics of this process.
pub fn metrics() -> &'static Metrics {
    static METRICS: OnceLock<Metrics> = OnceLock::new();
    METRICS.get_or_init(Metrics::new)
}

impl Metrics {
    fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            register(&registry, Histogram::with_opts(options))
        };
        let seconds = |name: &str, help: &str| histogram(name, help, LATENCY_BUCKETS);
        Self {
            requests: counters(
                "stageyoke_requests_total",
                "Requests that ended, by route and outcome.",
                &["route", "outcome"],
            ),
            request_seconds: seconds("stageyoke_request_seconds", "Arrival to end."),
            head_seconds: seconds("stageyoke_head_seconds", "Arrival to the answer's head."),
            reserve_seconds: seconds("stageyoke_reserve_seconds", "Until a reservation is kept."),
            commit_seconds: seconds("stageyoke_commit_seconds", "Until a turn is kept."),
            sync_seconds: seconds(
                "stageyoke_sync_seconds",
                "One write and sync of the journal.",
            ),
            events: counters("stageyoke_events_total", "Numbered events.", &["event"]),
            service_calls: counters(
                "stageyoke_service_calls_total",
                "Calls to the key-value service.",
                &["outcome"],
            ),
            quota_unreported: register(
                &registry,
                IntCounter::new(
                    "stageyoke_quota_untold_total",
                    "Grants and returns that an owner of a limit did not hear of.",
                ),
            ),
            stale_list_requests: register(
                &registry,
                IntCounter::new(
                    "stageyoke_old_list_requests_total",
                    "Requests placed by a list of replicas beyond the bound on changes.",
                ),
            ),
            tenant_failures: counters(
                "stageyoke_tenant_failures_total",
                "Requests of tenants that ended with status 400 or above.",
                &["tenant", "outcome"],
            ),
            rejected_turns: register(
                &registry,
                IntCounter::new(
                    "stageyoke_turned_away_total",
                    "First turns turned away for want of room at engines.",
                ),
            ),
            connections_opened: register(
                &registry,
                IntCounter::new(
                    "stageyoke_replica_connections_total",
                    "Connections opened to replicas.",
                ),
            ),
            in_flight: gauge("stageyoke_under_way", "Requests and streams under way."),
            routes_version: gauge("stageyoke_routes_version", "Configuration in force."),
            members_version: gauge("stageyoke_members_version", "Version of the member list."),
            replicas: gauge("stageyoke_replicas", "Replicas that take work."),
            records: gauge("stageyoke_records", "Records that a store holds."),
            store_complete: gauge(
                "stageyoke_store_complete",
                "1 once a store's disk is complete.",
            ),
            group_healthy: gauge(
                "stageyoke_group_whole",
                "1 while the store's group is settled and all its members are there.",
            ),
            recovery_seconds: histogram(
                "stageyoke_heal_seconds",
                "Until a store's group is whole again.",
                HEAL_BUCKETS,
            ),
            directory_age_seconds: seconds(
                "stageyoke_directory_age_seconds",
                "Age of the directory when a request was routed by it.",
            ),
            turn_bytes: gauge(
                "stageyoke_turn_bytes",
                "Bytes of turns' contents that a store keeps in memory.",
            ),
            ledger_entries: gauge(
                "stageyoke_ledger_entries",
                "Ledger entries that a store keeps in memory.",
            ),
            older_peers: gauge(
                "stageyoke_older_peers",
                "Connections with peers that speak an older version.",
            ),
            registry,
        }
    }

    /// The page, as text.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<T>,
) -> T {
    // Names and labels are constants: a failure is a programming error, which
    // the test of the page shows.
    let metric = metric.unwrap_or_else(|error| panic!("a metric is malformed: {error}"));
    if let Err(error) = registry.register(Box::new(metric.clone())) {
        panic!("a metric is registered twice: {error}");
    }
    metric
}

/// Serves the page until the task is dropped, and tells in a line if it can't. Needs
/// a local task set.
pub async fn serve(address: SocketAddr) {
    if let Err(error) = listen(address).await {
        crate::record_event(Event::MetricsUnavailable, &format!("{address}: {error}"));
    }
}

async fn listen(address: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<hyper::body::Incoming>| async move {
                Ok::<_, Infallible>(answer(request.uri().path()))
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn answer(path: &str) -> Response<Full<Bytes>> {
    if path == METRICS_PATH {
        return Response::new(Full::from(metrics().render()));
    }
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
