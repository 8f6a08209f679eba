//! Cluster of real nodes and stand-ins in one process, on free loopback ports.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use miette::{IntoDiagnostic, miette};
use stageyoke_node::backends::{full_body, http_client};
use stageyoke_node::events::LogFormat;
use stageyoke_node::platform::config_source::{Applied, ConfigRecord, apply};
use stageyoke_node::platform::key_value::KeyValueClient;
use stageyoke_node::settings::{Settings, TlsFiles};
use stageyoke_node::{Listeners, RunningNode, start, start_on};
use stageyoke_types::ConfigVersion;

use crate::standins::application::ApplicationStandIn;
use crate::standins::engine::{self, EngineTiming, RunningEngine};
use crate::standins::key_value::KeyValueStandIn;
use crate::standins::machine_list::{ListedMachine, MachineListStandIn};
use crate::standins::{StandInServer, serve};

/// Zones that the nodes are spread over.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Longest wait for a condition that the cluster should reach.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const MEBIBYTE: u64 = 1 << 20;
const SEED_COUNT: usize = 3;

/// Size and options of a lab cluster.
#[derive(Clone, Debug)]
pub struct ClusterShape {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of nodes with a data folder.
    pub durable_nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of replicas in each application pool.
    pub replicas: usize,
    /// Number of shards.
    pub shards: u32,
    /// Timing of the engines' answers.
    pub timing: EngineTiming,
    /// Uses mutual TLS between the nodes if `true`.
    pub tls: bool,
}

/// Settings of a node, which may be running or stopped.
pub struct NodeSlot {
    /// Node settings; the ports stay the same over restarts.
    pub settings: Settings,
    /// Running node, or `None` while it is stopped.
    pub running: Option<RunningNode>,
    /// Open listeners until the first start, so that no other socket can take
    /// the ports.
    listeners: Option<Listeners>,
}

/// Running cluster with its stand-ins.
pub struct LabCluster {
    /// Running and stopped nodes.
    pub nodes: Vec<NodeSlot>,
    /// Stand-in engines.
    pub engines: Vec<RunningEngine>,
    /// Application replicas: those of the new pool, then those of the legacy pool.
    pub applications: Vec<Arc<ApplicationStandIn>>,
    /// Stand-in key-value service.
    pub key_value: Arc<KeyValueStandIn>,
    /// Address of the key-value service.
    pub key_value_address: SocketAddr,
    /// Addresses of the application replicas.
    pub application_addresses: Vec<SocketAddr>,
    shape: ClusterShape,
    folder: tempfile::TempDir,
    _servers: Vec<StandInServer>,
}

impl LabCluster {
    /// Starts the stand-ins and the nodes.
    pub async fn start(shape: ClusterShape) -> miette::Result<Self> {
        let key_value = Arc::new(KeyValueStandIn::default());
        let key_value_server = serve(key_value.clone(), None).await.into_diagnostic()?;
        let machines = Arc::new(MachineListStandIn::default());
        let machine_server = serve(machines.clone(), None).await.into_diagnostic()?;
        let mut engines = Vec::new();
        for _ in 0..shape.engines {
            engines.push(engine::start(shape.timing).await.into_diagnostic()?);
        }
        let mut applications = Vec::new();
        let mut servers = Vec::new();
        for number in 0..shape.replicas * 2 {
            let name = if number < shape.replicas {
                "new"
            } else {
                "legacy"
            };
            let replica = Arc::new(ApplicationStandIn::new(&format!("{name}-{number}")));
            servers.push(serve(replica.clone(), None).await.into_diagnostic()?);
            applications.push(replica);
        }
        let application_addresses = servers.iter().map(|server| server.address).collect();
        let mut cluster = Self {
            nodes: Vec::new(),
            engines,
            applications,
            key_value,
            key_value_address: key_value_server.address,
            application_addresses,
            shape,
            folder: tempfile::tempdir().into_diagnostic()?,
            _servers: servers,
        };
        let machine_list = machine_server.address;
        cluster._servers.extend([key_value_server, machine_server]);
        cluster.start_nodes(machine_list).await?;
        machines.set_machines(cluster.listed_machines());
        Ok(cluster)
    }

    async fn start_nodes(&mut self, machine_list: SocketAddr) -> miette::Result<()> {
        let key = self.folder.path().join("cluster.key");
        std::fs::write(&key, rand::random::<[u8; 32]>()).into_diagnostic()?;
        let cluster_key = std::fs::read(&key).into_diagnostic()?;
        let tls = match self.shape.tls {
            true => Some(create_certificates(self.folder.path())?),
            false => None,
        };
        for index in 0..self.shape.nodes {
            let listeners = Listeners::open_free(Ipv4Addr::LOCALHOST.into()).await?;
            let settings = Settings {
                name: format!("node-{index}"),
                zone: ZONES[index % ZONES.len()].to_owned(),
                region: "lab".to_owned(),
                peer_address: listeners.peer_address,
                caller_address: listeners.caller_address,
                operator_address: listeners.operator_address,
                seeds: Vec::new(),
                store_addresses: vec![self.key_value_address],
                machine_list_address: Some(machine_list),
                cluster_key: cluster_key.clone(),
                tls: tls.clone(),
                data_folder: self.data_folder(index),
                data_limit_bytes: 256 * MEBIBYTE,
                shards: self.shape.shards,
                founders: self.shape.nodes,
                drain_seconds: 20,
                log_format: LogFormat::Text,
            };
            self.nodes.push(NodeSlot {
                settings,
                running: None,
                listeners: Some(listeners),
            });
        }
        let seeds: Vec<SocketAddr> = self
            .nodes
            .iter()
            .take(SEED_COUNT)
            .map(|slot| slot.settings.peer_address)
            .collect();
        for slot in &mut self.nodes {
            slot.settings.seeds = seeds.clone();
        }
        for index in 0..self.nodes.len() {
            self.start_node(index).await?;
        }
        Ok(())
    }

    fn data_folder(&self, index: usize) -> Option<PathBuf> {
        let folder = self.folder.path().join(format!("data-{index}"));
        (index < self.shape.durable_nodes).then_some(folder)
    }

    fn listed_machines(&self) -> Vec<ListedMachine> {
        let nodes = self.nodes.iter();
        let listed = nodes.map(|slot| ListedMachine {
            address: slot.settings.peer_address.to_string(),
            leaving: false,
        });
        listed.collect()
    }

    /// Starts a stopped node.
    pub async fn start_node(&mut self, index: usize) -> miette::Result<()> {
        let settings = self.nodes[index].settings.clone();
        if let Some(listeners) = self.nodes[index].listeners.take() {
            self.nodes[index].running = Some(start_on(listeners, settings).await?);
            return Ok(());
        }
        // The sockets of a node that was just killed may close a little later, so retry.
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let node = loop {
            match start(settings.clone()).await {
                Ok(node) => break node,
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        };
        self.nodes[index].running = Some(node);
        Ok(())
    }

    /// Kills a node without draining it.
    pub fn kill_node(&mut self, index: usize) {
        if let Some(node) = self.nodes[index].running.take() {
            node.kill();
        }
    }

    /// Drains and stops a node.
    pub async fn drain_node(&mut self, index: usize) {
        if let Some(node) = self.nodes[index].running.take() {
            node.drain().await;
        }
    }

    /// Returns the caller addresses of the running nodes.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter_map(|slot| slot.running.as_ref());
        running.map(|node| node.caller_address).collect()
    }

    /// Iterates over the running nodes and their indices.
    pub fn running(&self) -> impl Iterator<Item = (usize, &RunningNode)> {
        let slots = self.nodes.iter().enumerate();
        slots.filter_map(|(index, slot)| slot.running.as_ref().map(|node| (index, node)))
    }

    /// Applies a configuration and waits until every running node uses it.
    pub async fn apply(&self, text: &str) -> miette::Result<u64> {
        let version = self.submit_configuration(text).await?;
        self.wait_for_version(version).await?;
        Ok(version)
    }

    /// Writes a configuration to the key-value service and sends it to the running
    /// nodes, without waiting until they use it.
    pub async fn submit_configuration(&self, text: &str) -> miette::Result<u64> {
        let client = KeyValueClient::new(vec![self.key_value_address]);
        let current = stageyoke_node::platform::config_source::read(&client)
            .await
            .into_diagnostic()?;
        let current_version = current.map_or(0, |(record, _)| record.version);
        let record = ConfigRecord {
            version: current_version + 1,
            apply_id: format!("{:032x}", rand::random::<u128>()),
            operator: "lab".to_owned(),
            text: text.to_owned(),
        };
        match apply(&client, current_version, record.clone())
            .await
            .into_diagnostic()?
        {
            Applied::Accepted(version) => {
                self.push_configuration(&record).await;
                Ok(version)
            }
            Applied::Lost(_) => Err(miette!(
                "another configuration was applied at the same time"
            )),
        }
    }

    /// Sends an accepted configuration to the running nodes, like the operators' tool.
    async fn push_configuration(&self, record: &ConfigRecord) {
        let http = http_client();
        let body = serde_json::to_vec(record).unwrap_or_default();
        for (_, node) in self.running() {
            let uri = format!("http://{}/config", node.operator_address);
            if let Ok(request) = hyper::Request::post(uri).body(full_body(body.clone())) {
                // A node that misses the request receives the configuration from its peers.
                let _ = http.request(request).await;
            }
        }
    }

    /// Waits until every running node uses this configuration version or a later one.
    pub async fn wait_for_version(&self, version: u64) -> miette::Result<()> {
        let min_version = ConfigVersion(version);
        let condition = format!("configuration version {version}");
        self.wait_until(&condition, async |node| {
            let status = node.driver.status().await;
            status.is_some_and(|status| status.node.config >= min_version)
        })
        .await
    }

    /// Waits until the running nodes lead as many shards as the cluster has.
    pub async fn wait_for_leaders(&self) -> miette::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let mut leading = 0;
            for (_, node) in self.running() {
                let status = node.driver.status().await;
                leading += status.map_or(0, |status| status.node.leading.len());
            }
            if leading >= self.shape.shards as usize {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(miette!(
                    "only {leading} of {} shards have a leader",
                    self.shape.shards
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Describes the shards of every running node, one per line, for failure reports.
    pub async fn describe(&self) -> String {
        let mut lines = Vec::new();
        for (index, node) in self.running() {
            let Some(status) = node.driver.status().await else {
                continue;
            };
            lines.push(format!(
                "node-{index} is {}, holds {} calls, knows {} members",
                status.node.node, status.node.held, status.node.members
            ));
            for shard in status.shards {
                lines.push(format!(
                    "node-{index} shard {} term {} commit {}/{} leader {:?} voters {:?}",
                    shard.shard,
                    shard.term,
                    shard.commit,
                    shard.last_index,
                    shard.leader.map(|leader| leader.0),
                    shard.voters.iter().map(|voter| voter.0).collect::<Vec<_>>()
                ));
            }
        }
        lines.join("\n")
    }

    async fn wait_until(
        &self,
        condition: &str,
        is_met: impl AsyncFn(&RunningNode) -> bool,
    ) -> miette::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        for (index, node) in self.running() {
            while !is_met(node).await {
                if Instant::now() > deadline {
                    return Err(miette!(
                        "node {index} did not reach {condition} within {WAIT_TIMEOUT:?}"
                    ));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Replaces the addresses in a configuration's text by those of the stand-ins.
    /// Engines and replicas are assigned in the order of the text.
    pub fn substitute_addresses(&self, text: &str) -> String {
        let mut engines = self
            .engines
            .iter()
            .map(|engine| engine.server.address)
            .cycle();
        let mut replicas = self.application_addresses.iter().copied().cycle();
        let mut section = String::new();
        let mut filled = String::new();
        for line in text.lines() {
            if line.starts_with("[[") {
                section = line.trim().to_owned();
            }
            let replacement = match (section.as_str(), line.split_once('=')) {
                ("[[engine]]", Some((key, _))) if key.trim() == "address" => engines
                    .next()
                    .map(|address| format!("address = \"{address}\"")),
                ("[[pool]]", Some((key, _))) if key.trim() == "addresses" => {
                    let pool = (0..self.shape.replicas).filter_map(|_| replicas.next());
                    let quoted: Vec<String> =
                        pool.map(|address| format!("\"{address}\"")).collect();
                    Some(format!("addresses = [{}]", quoted.join(", ")))
                }
                _ => None,
            };
            filled.push_str(replacement.as_deref().unwrap_or(line));
            filled.push('\n');
        }
        filled
    }
}

/// Creates a certificate authority and one certificate for all nodes.
fn create_certificates(folder: &Path) -> miette::Result<TlsFiles> {
    use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
    let authority_key = KeyPair::generate().into_diagnostic()?;
    let mut authority = CertificateParams::new(Vec::new()).into_diagnostic()?;
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_certificate = authority.self_signed(&authority_key).into_diagnostic()?;
    let issuer = Issuer::new(authority, authority_key);
    let key = KeyPair::generate().into_diagnostic()?;
    let name = stageyoke_node::peers::NODE_NAME.to_owned();
    let node = CertificateParams::new(vec![name]).into_diagnostic()?;
    let certificate = node.signed_by(&key, &issuer).into_diagnostic()?;
    let files = TlsFiles {
        certificate: folder.join("node.pem"),
        private_key: folder.join("node.key"),
        authority: folder.join("authority.pem"),
    };
    std::fs::write(&files.certificate, certificate.pem()).into_diagnostic()?;
    std::fs::write(&files.private_key, key.serialize_pem()).into_diagnostic()?;
    std::fs::write(&files.authority, authority_certificate.pem()).into_diagnostic()?;
    Ok(files)
}
