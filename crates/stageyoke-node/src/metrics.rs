//! The node's metrics, in Prometheus's text format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Buckets of latency histograms, s.
const LATENCY_BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Every metric of one node.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests answered, by kind of answer.
    pub answers: IntCounterVec,
    /// Time from a call's arrival to its answer, s, by class.
    pub call_seconds: HistogramVec,
    /// Messages between nodes, by name and direction.
    pub peer_messages: IntCounterVec,
    /// Bytes between nodes, by name and direction.
    pub peer_bytes: IntCounterVec,
    /// Numbered events.
    pub events: IntCounterVec,
    /// Calls that callers wait for.
    pub calls_waiting: IntGauge,
    /// Shards led.
    pub shards_led: IntGauge,
    /// Replicas held.
    pub replicas: IntGauge,
    /// Members that may run.
    pub members: IntGauge,
    /// Configuration in force.
    pub config_version: IntGauge,
    /// Bytes in the data folder.
    pub store_bytes: IntGauge,
}

impl Metrics {
    /// All metrics at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, counter)
        };
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let histogram = HistogramVec::new(
            HistogramOpts::new(
                "stageyoke_call_seconds",
                "Time from a call's arrival to its answer.",
            )
            .buckets(LATENCY_BUCKETS.to_vec()),
            &["class"],
        );
        Self {
            answers: counter(
                "stageyoke_answers_total",
                "Requests answered, by kind of answer.",
                &["kind"],
            ),
            call_seconds: register(&registry, histogram),
            peer_messages: counter(
                "stageyoke_peer_messages_total",
                "Messages between nodes.",
                &["name", "direction"],
            ),
            peer_bytes: counter(
                "stageyoke_peer_bytes_total",
                "Bytes between nodes, without the headers of IP, UDP and TCP.",
                &["name", "direction"],
            ),
            events: counter(
                "stageyoke_events_total",
                "Numbered events; see docs/EVENTS.md.",
                &["event"],
            ),
            calls_waiting: gauge("stageyoke_calls_waiting", "Calls that callers wait for."),
            shards_led: gauge("stageyoke_shards_led", "Shards led by this node."),
            replicas: gauge("stageyoke_replicas", "Replicas held by this node."),
            members: gauge("stageyoke_members", "Members that may run."),
            config_version: gauge(
                "stageyoke_config_version",
                "Configuration version in force.",
            ),
            store_bytes: gauge("stageyoke_store_bytes", "Bytes in the data folder."),
            registry,
        }
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Registers a metric of this module; its name and labels are constants.
fn register<M: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> M {
    let metric = metric.expect("metric names and labels are valid constants");
    registry
        .register(Box::new(metric.clone()))
        .expect("metric names are unique");
    metric
}
