//! A deployment on loopback: stand-ins, proxies and real processes.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::addresses::AddressAllocator;
use super::changes::ConfigurationVersions;
use super::contracts;
use super::processes::{Process, ProcessParameters, ProcessRole, can_delay_syncs};
use super::promises::Promises;
use super::proxy::Proxy;
use super::replicas::unix_milliseconds;
use super::shape::DeploymentShape;
use super::slopes::ProcessMonitor;
use crate::standins::platform::cold_phase::ColdPhase;
use crate::standins::platform::key_value::PlatformKeyValueStandIn;
use crate::standins::platform::replica::{ReplicaFaults, ReplicaSlots, ReplicaStandIn};
use crate::standins::platform::{RETENTION_SECONDS, add_routes, configuration, names};
use crate::standins::{StandInServer, serve};

/// Default number of fronts.
pub const FRONTS: usize = 3;
/// Default number of stores.
const STORES: usize = 3;
/// Maximum number of stores in a group.
const MAX_STORES: usize = 36;
/// Maximum number of processes on one machine.
const MAX_PROCESSES: usize = 250;
/// Ratio of processes to stores in large deployments.
const PROCESSES_PER_STORE: usize = 7;

/// Number of processes of a deployment, by role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentSize {
    /// Number of fronts.
    pub fronts: usize,
    /// Number of stores.
    pub stores: usize,
}

impl Default for DeploymentSize {
    fn default() -> Self {
        Self {
            fronts: FRONTS,
            stores: STORES,
        }
    }
}

impl DeploymentSize {
    /// Splits a number of processes into fronts and stores; the number is clamped to what a
    /// deployment supports.
    pub fn for_processes(processes: usize) -> Self {
        let processes = processes.clamp(FRONTS + STORES, MAX_PROCESSES);
        let stores = (processes / PROCESSES_PER_STORE).clamp(STORES, MAX_STORES);
        Self {
            fronts: processes - stores,
            stores,
        }
    }

    /// Returns the total number of processes.
    pub fn processes(&self) -> usize {
        self.fronts + self.stores
    }
}

/// Number of seed addresses in each process's settings.
const SEEDS: usize = 3;
/// Maximum number of slots that a replica announces.
const MAX_ANNOUNCED_SLOTS: usize = 12;
const START_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Default time for a store's successor to catch up.
pub const CATCH_UP: Duration = Duration::from_millis(4400);

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// Shape of the deployment.
    pub shape: DeploymentShape,
    /// Optional contracts.
    pub contracts: Vec<String>,
    /// Returns the configuration of each version.
    pub configuration: fn(u64) -> Value,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self {
            shape: DeploymentShape::default(),
            contracts: contracts::all(),
            configuration,
        }
    }
}

/// A running deployment; its processes and stand-ins end when it is dropped.
pub struct Deployment {
    /// Number of processes, by role.
    pub size: DeploymentSize,
    /// Stand-in of the key-value service.
    pub service: Arc<PlatformKeyValueStandIn>,
    /// A proxy to the key-value service for each process, in the order of `processes`.
    pub service_proxies: Vec<Proxy>,
    /// A proxy to each store, in the order of the stores in `processes`.
    pub store_proxies: Vec<Proxy>,
    /// A proxy to each replica, models first.
    pub replica_proxies: Vec<Proxy>,
    /// Faults that all replicas inject into their answers.
    pub trouble: Arc<ReplicaFaults>,
    /// Fronts, followed by stores.
    pub processes: Vec<Process>,
    /// Observations and breaches of the run.
    pub promises: Arc<Promises>,
    /// Addresses on which the fronts accept requests.
    pub fronts: Arc<Vec<SocketAddr>>,
    /// Version of the configuration in the key-value service.
    pub version: u64,
    /// Configuration versions accepted so far.
    pub versions: Arc<ConfigurationVersions>,
    /// Shape of the deployment.
    pub shape: DeploymentShape,
    /// Samples of memory, descriptors and connections of all processes.
    pub monitor: ProcessMonitor,
    /// Time at which callers stop.
    pub ends_at: Instant,
    /// Number of unused routes added to each configuration that is written.
    pub(super) added_routes: usize,
    configuration: fn(u64) -> Value,
    parameters: ProcessParameters,
    machines: AddressAllocator,
    store_names_used: usize,
    pub(super) replicas: Vec<Arc<ReplicaStandIn>>,
    _servers: Vec<StandInServer>,
    folder: TempDir,
}

impl Deployment {
    /// Starts a deployment of the default size and waits until the fronts listen.
    pub async fn start(program: &Path) -> io::Result<Self> {
        Self::start_with_size(program, DeploymentSize::default()).await
    }

    /// Starts a deployment of a given size and waits until the fronts listen.
    pub async fn start_with_size(program: &Path, size: DeploymentSize) -> io::Result<Self> {
        let options = DeploymentOptions {
            shape: DeploymentShape {
                size,
                ..DeploymentShape::default()
            },
            ..DeploymentOptions::default()
        };
        Self::start_with_options(program, options).await
    }

    /// Starts a deployment and waits until the fronts listen.
    pub async fn start_with_options(
        program: &Path,
        options: DeploymentOptions,
    ) -> io::Result<Self> {
        let DeploymentOptions {
            shape,
            contracts,
            configuration,
        } = options;
        let size = shape.size;
        let promises = Arc::new(Promises::default());
        let service = Arc::new(PlatformKeyValueStandIn::default());
        let server = serve(service.clone(), None).await?;
        let service_address = server.address;
        let mut servers = vec![server];
        let trouble = Arc::new(ReplicaFaults::default());
        let mut replica_proxies = Vec::new();
        let mut replicas = Vec::new();
        for number in 0..shape.replicas() {
            let is_engine = number < shape.models.replicas;
            let service_shape = match is_engine {
                true => shape.models,
                false => shape.tools,
            };
            let replica = Arc::new(ReplicaStandIn {
                id: format!("replica-{number}"),
                is_engine,
                zone: shape.zone(number),
                slots: ReplicaSlots::new(service_shape.capacity),
                faults: trouble.clone(),
                promises: promises.clone(),
                started_at_ms: AtomicU64::new(unix_milliseconds()),
                leaving_since: Mutex::default(),
                evacuated_since: Mutex::default(),
                version: AtomicU64::new(1),
                cold_phase: ColdPhase::default(),
            });
            let server = serve(replica.clone(), None).await?;
            let proxy = Proxy::start(server.address).await?;
            write_entry(&service, &replica, proxy.address, "ready");
            replicas.push(replica);
            servers.push(server);
            replica_proxies.push(proxy);
        }
        service.put(names::CONFIG_KEY, configuration(1).to_string().as_bytes());
        let versions = Arc::new(ConfigurationVersions::default());
        versions.record_accepted(1);
        let folder = tempfile::tempdir()?;
        let mut machines = AddressAllocator::with_random_block()?;
        let addresses: Vec<_> = (0..size.processes()).map(|_| machines.allocate()).collect();
        let mut parameters = ProcessParameters {
            program: program.to_owned(),
            folder: folder.path().to_owned(),
            platform: service_address,
            seeds: addresses[size.fronts..]
                .iter()
                .take(SEEDS)
                .map(|machine| machine[2])
                .collect(),
            shape,
            contracts,
            can_delay_syncs: can_delay_syncs(program),
            monitor: ProcessMonitor::default(),
        };
        let mut service_proxies = Vec::new();
        let mut processes = Vec::new();
        let mut store_proxies = Vec::new();
        for (number, machine) in addresses.iter().enumerate() {
            let (role, node) = match number < size.fronts {
                true => (ProcessRole::Front, format!("front-{number}")),
                false => (
                    ProcessRole::Store,
                    format!("store-{}", number - size.fronts),
                ),
            };
            let proxy = Proxy::start_with_rate(service_address, shape.bytes_per_second).await?;
            parameters.platform = proxy.address;
            service_proxies.push(proxy);
            let process = Process::new(&parameters, node, role, *machine);
            let mut process = process.in_zone(shape.zone(number));
            if role == ProcessRole::Store {
                let proxy = Proxy::start_with_rate(machine[2], shape.bytes_per_second).await?;
                process = process.with_proxy(proxy.address);
                store_proxies.push(proxy);
            }
            process.start(true)?;
            processes.push(process);
        }
        let fronts = Arc::new(
            addresses[..size.fronts]
                .iter()
                .map(|machine| machine[0])
                .collect(),
        );
        let deployment = Self {
            size,
            service,
            service_proxies,
            monitor: parameters.monitor.clone(),
            store_proxies,
            replica_proxies,
            trouble,
            processes,
            promises,
            fronts,
            version: 1,
            versions,
            added_routes: 0,
            configuration,
            shape,
            ends_at: Instant::now(),
            parameters,
            machines,
            store_names_used: size.stores,
            replicas,
            _servers: servers,
            folder,
        };
        deployment.wait_until_listening().await?;
        Ok(deployment)
    }

    async fn wait_until_listening(&self) -> io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        for front in self.fronts.iter() {
            while TcpStream::connect(front).await.is_err() {
                if Instant::now() > until {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns whether the stores' disks can be slowed down; older builds cannot do so.
    pub(super) fn can_delay_syncs(&self) -> bool {
        self.parameters.can_delay_syncs
    }

    /// Starts an empty store with a new name and address in place of one that has ended.
    pub async fn replace_store(&mut self, number: usize) -> io::Result<()> {
        let machine = self.machines.allocate();
        let node = format!("store-{}", self.store_names_used);
        self.store_names_used += 1;
        let stores = &self.processes[self.size.fronts..];
        let running = stores.iter().filter(|store| store.is_running());
        self.parameters.seeds = running.map(Process::peer_address).take(SEEDS).collect();
        self.parameters.platform = self.service_proxies[number].address;
        let proxy = Proxy::start_with_rate(machine[2], self.shape.bytes_per_second).await?;
        let process = Process::new(&self.parameters, node, ProcessRole::Store, machine);
        let process = process.in_zone(self.shape.zone(number));
        self.processes[number] = process.with_proxy(proxy.address);
        self.store_proxies[number - self.size.fronts] = proxy;
        self.processes[number].start(false)
    }

    /// Sets the program for the next start of a process, and for stores that are added
    /// later.
    pub(super) fn set_program(&mut self, number: usize, program: PathBuf) {
        self.processes[number].set_program(program.clone());
        self.parameters.program = program;
    }

    /// Writes the next configuration version to the key-value service.
    pub fn reconfigure(&mut self) {
        self.version += 1;
        let mut configuration = (self.configuration)(self.version);
        add_routes(&mut configuration, self.added_routes);
        self.service
            .put(names::CONFIG_KEY, configuration.to_string().as_bytes());
        self.versions.record_accepted(self.version);
    }

    /// Marks a replica as draining; it keeps serving.
    pub fn drain_replica(&self, number: usize) {
        let replica = &self.replicas[number];
        let address = self.replica_proxies[number].address;
        write_entry(&self.service, replica, address, "draining");
        replica.set_leaving(true);
    }

    /// Removes the entry of a replica without draining; the replica keeps serving.
    pub fn remove_replica_entry(&self, number: usize) {
        let replica = &self.replicas[number];
        self.service.remove(&entry_key(&replica.id));
        self.promises.serving_versions.record_gone(&replica.id);
        replica.set_leaving(true);
    }

    /// Overwrites the entry of a replica with a value that does not describe one; the
    /// replica keeps serving.
    pub fn corrupt_replica_entry(&self, number: usize, value: &[u8]) {
        let replica = &self.replicas[number];
        self.promises.serving_versions.record_gone(&replica.id);
        self.put_entry(&replica.id, value);
        replica.set_leaving(true);
    }

    /// Writes a raw value to the entry of a replica.
    pub fn put_entry(&self, id: &str, value: &[u8]) {
        self.service.put(&entry_key(id), value);
    }

    /// Lists the replica as ready again.
    pub fn restore_replica(&self, number: usize) {
        let replica = &self.replicas[number];
        let address = self.replica_proxies[number].address;
        replica.set_leaving(false);
        write_entry(&self.service, replica, address, "ready");
    }

    /// Reports a breach for each process that exceeded the memory of its machine, or that
    /// has ended.
    pub fn check_memory(&self) {
        for process in &self.processes {
            match process.peak_memory() {
                Ok(bytes) if bytes > process.memory_limit_mb() * 1024 * 1024 => {
                    let breach = format!("{} used {bytes} bytes of memory", process.node);
                    self.promises.report_breach(breach);
                }
                Ok(_) => {}
                Err(error) => {
                    let breach = format!("{} is not running: {error}", process.node);
                    self.promises.report_breach(breach);
                }
            }
        }
    }

    /// Reports a breach for each quantity of a process that grows without bound; returns
    /// the number of processes that ran long enough to be checked.
    pub fn check_slopes(&self) -> usize {
        let retention = Duration::from_secs(RETENTION_SECONDS);
        for breach in self.monitor.breaches(retention) {
            self.promises.report_breach(breach);
        }
        self.monitor.count_judged(retention)
    }

    /// Keeps the directory with settings, data and logs, and returns its path.
    pub fn keep_folder(self) -> std::path::PathBuf {
        self.folder.keep()
    }
}

/// Writes the entry of a replica in the format that replicas use.
fn write_entry(
    service: &PlatformKeyValueStandIn,
    replica: &ReplicaStandIn,
    address: SocketAddr,
    state: &str,
) {
    let version = replica.version.load(Ordering::Relaxed);
    let serving = &replica.promises.serving_versions;
    match replica.is_engine && state == "ready" {
        true => serving.record_ready(&replica.id, version),
        false => serving.record_gone(&replica.id),
    }
    let entry = json!({
        "Service": if replica.is_engine { "models" } else { "tools" },
        "Addr": address, "Zone": replica.zone, "Version": format!("v{version}"),
        "Slots": replica.slots.capacity().slots.min(MAX_ANNOUNCED_SLOTS), "State": state,
        "ColdLeftMs": replica.cold_phase.remaining().as_millis() as u64, "CallSeq": 1,
        "born": replica.started_at_ms.load(Ordering::Relaxed),
    });
    service.put(&entry_key(&replica.id), entry.to_string().as_bytes());
}

fn entry_key(id: &str) -> String {
    format!("{}{id}", names::SERVERS_PREFIX)
}
