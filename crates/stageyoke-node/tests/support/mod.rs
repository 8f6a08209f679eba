//! A node that passes requests to one application replica.

pub mod flood;
pub mod replica;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use stageyoke_config::model::hash_key;
use stageyoke_node::backends::{HttpClient, full_body, http_client};
use stageyoke_node::events::LogFormat;
use stageyoke_node::platform::config_source::ConfigRecord;
use stageyoke_node::settings::Settings;
use stageyoke_node::{Listeners, RunningNode, start_on};

pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Key of the example's first tenant.
pub const KEY: &str = "test-key";

const EXAMPLE: &str = include_str!("../../../../examples/flood-warning.toml");
const EXAMPLE_HASH: &str = "b3:1111111111111111111111111111111111111111111111111111111111111111";
/// Deadline of each route: shorter than the tests, longer than a reply takes.
const DEADLINE: &str = "deadline_seconds = 1";
const DRAIN_SECONDS: u64 = 1;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running node.
pub struct Node {
    /// Address for callers.
    pub callers: SocketAddr,
    /// The node.
    pub running: RunningNode,
}

impl Node {
    /// Starts a node whose routes all lead to the replica.
    pub async fn start(replica: SocketAddr) -> Self {
        Self::start_with_pool(&[replica]).await
    }

    /// Starts a node whose routes all lead to these replicas.
    pub async fn start_with_pool(replicas: &[SocketAddr]) -> Self {
        let listeners = Listeners::open_free(Ipv4Addr::LOCALHOST.into()).await;
        let listeners = listeners.expect("listeners");
        let settings = settings(&listeners);
        let running = start_on(listeners, settings).await.expect("node");
        let http = http_client();
        let record = ConfigRecord {
            version: 1,
            apply_id: "test".to_owned(),
            operator: "test".to_owned(),
            text: configuration(replicas),
        };
        let record = serde_json::to_vec(&record).expect("record");
        let operators = running.operator_address;
        let offered = send(&http, operators, "POST", record).await;
        assert_eq!(offered, StatusCode::OK);
        while send(&http, operators, "GET", Vec::new()).await != StatusCode::OK {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Self {
            callers: running.caller_address,
            running,
        }
    }
}

async fn send(http: &HttpClient, node: SocketAddr, method: &str, body: Vec<u8>) -> StatusCode {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{node}/config"))
        .body(full_body(body))
        .expect("request");
    let response = http.request(request).await.expect("response");
    let status = response.status();
    response.into_body().collect().await.expect("body");
    status
}

fn settings(listeners: &Listeners) -> Settings {
    Settings {
        name: "node".to_owned(),
        zone: "zone".to_owned(),
        region: "region".to_owned(),
        peer_address: listeners.peer_address,
        caller_address: listeners.caller_address,
        operator_address: listeners.operator_address,
        seeds: Vec::new(),
        store_addresses: Vec::new(),
        machine_list_address: None,
        cluster_key: vec![1; 32],
        tls: None,
        data_folder: None,
        data_limit_bytes: 1 << 20,
        shards: 4,
        founders: 1,
        drain_seconds: DRAIN_SECONDS,
        log_format: LogFormat::Text,
    }
}

/// The example, with the replicas in place of all application addresses.
fn configuration(replicas: &[SocketAddr]) -> String {
    let addresses = replicas.iter().map(|replica| format!("\"{replica}\""));
    let addresses: Vec<String> = addresses.collect();
    let hash = hash_key(KEY);
    let text = EXAMPLE.replacen(EXAMPLE_HASH, &hash, 1);
    let lines = text.lines().map(|line| {
        if line.starts_with("addresses = ") {
            format!("addresses = [{}]", addresses.join(", "))
        } else if line == "[[route]]" {
            format!("{line}\n{DEADLINE}")
        } else {
            line.to_owned()
        }
    });
    lines.collect::<Vec<_>>().join("\n")
}
