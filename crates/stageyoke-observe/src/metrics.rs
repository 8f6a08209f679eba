//! Prometheus metrics of a process and the HTTP listener that serves them.

use std::collections::HashSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use stageyoke_types::Event;
use tokio::net::TcpListener;

use crate::NewestTasks;

/// HTTP path of the metrics page.
pub const METRICS_PATH: &str = "/metrics";
/// HTTP path of the status page.
pub const STATUS_PATH: &str = "/status";
/// Upper bounds of latency histogram buckets, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Upper bounds of the buckets for the recovery time of a store group, in seconds.
const RECOVERY_BUCKETS: &[f64] = &[0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0, 20.0, 60.0];

/// All metrics of a process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests, by route and outcome.
    pub requests: IntCounterVec,
    /// Responses that were cut after their head while the caller stayed, by outcome.
    pub cut_responses: IntCounterVec,
    /// Responses of replicas that were given up because of their size, by cause.
    pub oversized_responses: IntCounterVec,
    /// Seconds from a request's arrival to its end.
    pub request_seconds: Histogram,
    /// Seconds from a request's arrival to the head of its response.
    pub head_seconds: Histogram,
    /// Seconds to store a budget reservation on a quorum.
    pub reserve_seconds: Histogram,
    /// Seconds to store a finished turn on a quorum.
    pub commit_seconds: Histogram,
    /// Seconds for one journal write and sync.
    pub sync_seconds: Histogram,
    /// Numbered events, by name.
    pub events: IntCounterVec,
    /// Calls to the key-value service, by outcome.
    pub service_calls: IntCounterVec,
    /// Quota grants and refunds that could not be reported to an owner of the quota.
    pub quota_unreported: IntCounter,
    /// Requests that ended with status 400 or above, by tenant and outcome.
    pub tenant_failures: IntCounterVec,
    /// First turns of programs rejected because the engines had no capacity.
    pub rejected_turns: IntCounter,
    /// Permits that this front was granted for requests to cold replicas.
    pub cold_permits: IntCounter,
    /// Permits for requests to cold replicas that were denied or not answered.
    pub cold_denials: IntCounter,
    /// Streams whose version no quorum of stores had acknowledged before the first event.
    pub unacknowledged_versions: IntCounter,
    /// Continued streams rejected because the version that began them is unknown.
    pub unknown_versions: IntCounter,
    /// Broken streams of turns that no quorum of stores recorded.
    pub unrecorded_broken_streams: IntCounter,
    /// Resumed turns rejected because it is not known what their callers got.
    pub unknown_broken_streams: IntCounter,
    /// Earlier turns of chains that were stored again with a turn that continues them.
    pub copied_turns: IntCounter,
    /// Ends of replicas' processes under requests, each counted once a request.
    pub replicas_ended: IntCounter,
    /// Requests that are blocked, as this front knows.
    pub blocked_requests: IntGauge,
    /// Evacuated zones.
    pub evacuated_zones: IntGauge,
    /// Connections opened to replicas.
    pub connections_opened: IntCounter,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Connections of callers that were closed at a limit, by what they did.
    pub closed_connections: IntCounterVec,
    /// Bodies that were given up because others needed their memory.
    pub revoked_bodies: IntCounter,
    /// Requests and response streams in flight.
    pub in_flight: IntGauge,
    /// Version of the configuration in use.
    pub routes_version: IntGauge,
    /// Version of the store member list.
    pub members_version: IntGauge,
    /// Replicas in the current directory view.
    pub replicas: IntGauge,
    /// Records that the store holds.
    pub records: IntGauge,
    /// 1 if the store holds every record that it ever acknowledged, otherwise 0.
    pub store_complete: IntGauge,
    /// Seconds for which the store has been incomplete; 0 if it is complete.
    pub incomplete_seconds: IntGauge,
    /// Largest number of records of any one peer that the store is known to lack.
    pub missing_records: IntGauge,
    /// Requests for records of peers that got no reply.
    pub failed_fetches: IntCounter,
    /// 1 if the store's group has a settled member list and no member is missing.
    pub group_healthy: IntGauge,
    /// Seconds from the detection of a loss in the store's group to its full recovery.
    pub recovery_seconds: Histogram,
    /// Age in seconds of the directory that a request was routed by.
    pub directory_age_seconds: Histogram,
    /// Requests placed with a replica list older than the configured bound.
    pub stale_list_requests: IntCounter,
    /// Bytes of turn inputs and outputs that the store caches in memory.
    pub turn_bytes: IntGauge,
    /// Ledger entries that the store retains in memory.
    pub ledger_entries: IntGauge,
    /// Connections to peers that use an older protocol version.
    pub older_peers: IntGauge,
}

/// Number of routes with a label of their own, on a first-come basis. All others share
/// one label, which bounds the size of the metrics page.
pub const MAX_LABELLED_ROUTES: usize = 256;
/// Number of tenants with a label of their own, assigned at a tenant's first failed
/// request. All others share one label.
pub const MAX_LABELLED_TENANTS: usize = 64;
const OTHER_LABEL: &str = "other";

/// Set of the names that have a label of their own.
type LabelledNames = OnceLock<Mutex<HashSet<String>>>;

/// Returns the metric label of a route.
pub fn route_label(route: &str) -> &str {
    static LABELLED: LabelledNames = OnceLock::new();
    label(&LABELLED, MAX_LABELLED_ROUTES, route)
}

/// Returns the metric label of a tenant.
pub fn tenant_label(tenant: &str) -> &str {
    static LABELLED: LabelledNames = OnceLock::new();
    label(&LABELLED, MAX_LABELLED_TENANTS, tenant)
}

fn label<'a>(labelled: &LabelledNames, max_labels: usize, name: &'a str) -> &'a str {
    let Ok(mut labelled) = labelled.get_or_init(Mutex::default).lock() else {
        return OTHER_LABEL;
    };
    if labelled.contains(name) {
        return name;
    }
    if labelled.len() >= max_labels {
        return OTHER_LABEL;
    }
    labelled.insert(name.to_owned());
    name
}

/// Returns the metrics of this process, created on first use.
pub fn metrics() -> &'static Metrics {
    static METRICS: OnceLock<Metrics> = OnceLock::new();
    METRICS.get_or_init(Metrics::new)
}

impl Metrics {
    fn new() -> Self {
        let registry = Registry::new();
        let counter_vec = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            register(&registry, Histogram::with_opts(options))
        };
        let latency_histogram = |name: &str, help: &str| histogram(name, help, LATENCY_BUCKETS);
        Self {
            requests: counter_vec(
                "stageyoke_requests_total",
                "Requests that ended, by route and outcome.",
                &["route", "outcome"],
            ),
            cut_responses: counter_vec(
                "stageyoke_cut_responses_total",
                "Responses that were cut after their head while the caller stayed, by outcome.",
                &["outcome"],
            ),
            oversized_responses: counter_vec(
                "stageyoke_oversized_responses_total",
                "Responses of replicas that were given up because of their size, by cause.",
                &["cause"],
            ),
            request_seconds: latency_histogram("stageyoke_request_seconds", "Arrival to end."),
            head_seconds: latency_histogram(
                "stageyoke_head_seconds",
                "Arrival to the answer's head.",
            ),
            reserve_seconds: latency_histogram(
                "stageyoke_reserve_seconds",
                "Until a reservation is kept.",
            ),
            commit_seconds: latency_histogram("stageyoke_commit_seconds", "Until a turn is kept."),
            sync_seconds: latency_histogram(
                "stageyoke_sync_seconds",
                "One write and sync of the journal.",
            ),
            events: counter_vec("stageyoke_events_total", "Numbered events.", &["event"]),
            service_calls: counter_vec(
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
            tenant_failures: counter_vec(
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
            cold_permits: register(
                &registry,
                IntCounter::new(
                    "stageyoke_cold_permits_total",
                    "Permits granted for requests to cold replicas.",
                ),
            ),
            cold_denials: register(
                &registry,
                IntCounter::new(
                    "stageyoke_cold_denials_total",
                    "Permits for requests to cold replicas that were denied or not answered.",
                ),
            ),
            unacknowledged_versions: register(
                &registry,
                IntCounter::new(
                    "stageyoke_stream_versions_unacknowledged_total",
                    "Streams whose version no quorum of stores knew before the first event.",
                ),
            ),
            unknown_versions: register(
                &registry,
                IntCounter::new(
                    "stageyoke_stream_versions_unknown_total",
                    "Continued streams rejected because the version that began them is unknown.",
                ),
            ),
            unrecorded_broken_streams: register(
                &registry,
                IntCounter::new(
                    "stageyoke_broken_streams_unrecorded_total",
                    "Broken streams of turns that no quorum of stores recorded.",
                ),
            ),
            unknown_broken_streams: register(
                &registry,
                IntCounter::new(
                    "stageyoke_broken_streams_unknown_total",
                    "Resumed turns rejected because it is not known what their callers got.",
                ),
            ),
            copied_turns: register(
                &registry,
                IntCounter::new(
                    "stageyoke_copied_turns_total",
                    "Earlier turns of chains stored again with a turn that continues them.",
                ),
            ),
            replicas_ended: register(
                &registry,
                IntCounter::new(
                    "stageyoke_replicas_ended_total",
                    "Requests under which the process of a replica ended.",
                ),
            ),
            blocked_requests: gauge(
                "stageyoke_blocked_requests",
                "Requests that are blocked because replicas ended under them.",
            ),
            evacuated_zones: gauge("stageyoke_evacuated_zones", "Evacuated zones."),
            connections_opened: register(
                &registry,
                IntCounter::new(
                    "stageyoke_replica_connections_total",
                    "Connections opened to replicas.",
                ),
            ),
            caller_connections: gauge(
                "stageyoke_caller_connections",
                "Open connections of callers.",
            ),
            closed_connections: counter_vec(
                "stageyoke_caller_connections_closed_total",
                "Connections of callers that were closed at a limit, by what they did.",
                &["phase"],
            ),
            revoked_bodies: register(
                &registry,
                IntCounter::new(
                    "stageyoke_revoked_bodies_total",
                    "Late bodies that were given up because other requests needed their memory.",
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
            incomplete_seconds: gauge(
                "stageyoke_store_incomplete_seconds",
                "Seconds for which a store has been incomplete.",
            ),
            missing_records: gauge(
                "stageyoke_store_missing_records",
                "Records of one peer that a store is known to lack.",
            ),
            failed_fetches: register(
                &registry,
                IntCounter::new(
                    "stageyoke_store_failed_fetches_total",
                    "Requests for records of peers that got no reply.",
                ),
            ),
            group_healthy: gauge(
                "stageyoke_group_whole",
                "1 while the store's group is settled and all its members are there.",
            ),
            recovery_seconds: histogram(
                "stageyoke_heal_seconds",
                "Until a store's group is whole again.",
                RECOVERY_BUCKETS,
            ),
            directory_age_seconds: latency_histogram(
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

    /// Renders the metrics page in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut page = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page);
        page
    }
}

fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<T>,
) -> T {
    // Names and labels are constants, so a failure is a programming error, which the
    // metrics page test detects.
    let metric = metric.unwrap_or_else(|error| panic!("invalid metric definition: {error}"));
    if let Err(error) = registry.register(Box::new(metric.clone())) {
        panic!("failed to register metric: {error}");
    }
    metric
}

/// Serves the metrics page until the future is dropped; logs an event if the listener
/// fails. Must run inside a `LocalSet`.
pub async fn serve(address: SocketAddr) {
    if let Err(error) = listen(address).await {
        crate::record_event(Event::MetricsUnavailable, &format!("{address}: {error}"));
    }
}

/// Maximum number of connections for metrics; beyond it the oldest one is closed.
const MAX_METRICS_CONNECTIONS: usize = 16;
/// Time for which such a connection may be idle, or receive a head.
const METRICS_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

async fn listen(address: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let mut connections = NewestTasks::new(MAX_METRICS_CONNECTIONS);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process may be out of descriptors for a moment.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let serving = tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<hyper::body::Incoming>| async move {
                Ok::<_, Infallible>(response_for(request.uri().path()))
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(METRICS_TIMEOUT)
                .max_buf_size(MIN_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        connections.add(serving.abort_handle());
        tokio::task::yield_now().await;
    }
}

fn response_for(path: &str) -> Response<Full<Bytes>> {
    if path == METRICS_PATH {
        return Response::new(Full::from(metrics().render()));
    }
    if path == STATUS_PATH
        && let Some(document) = crate::status::get()
    {
        return Response::new(Full::from(document));
    }
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
