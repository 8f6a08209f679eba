//! A small deployment on loopback: stand-ins, proxies and real processes.

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
use super::processes::{MEMORY_MB, Process, ProcessRole, Shared};
use super::promises::Promises;
use super::proxy::Proxy;
use super::replicas::unix_milliseconds;
use super::slopes::ProcessMonitor;
use crate::standins::platform::replica::{ReplicaStandIn, ReplicaTrouble};
use crate::standins::platform::store::PlatformStoreStandIn;
use crate::standins::platform::{RETENTION_SECONDS, configuration, names};
use crate::standins::{StandInServer, serve};

/// Fronts, where nothing else is asked for.
pub const FRONTS: usize = 3;
/// Stores, where nothing else is asked for.
const STORES: usize = 3;
/// Stores of the largest groups among the deployments.
const MAX_STORES: usize = 36;
/// Processes of the largest deployments that one machine is given.
const MAX_PROCESSES: usize = 250;
/// One process in so many is a store, in large deployments: as the users' are.
const PROCESSES_PER_STORE: usize = 7;

/// Processes of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentSize {
    /// Fronts.
    pub fronts: usize,
    /// Stores.
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
    /// So many processes, as near as a deployment can have them.
    pub fn for_processes(processes: usize) -> Self {
        let processes = processes.clamp(FRONTS + STORES, MAX_PROCESSES);
        let stores = (processes / PROCESSES_PER_STORE).clamp(STORES, MAX_STORES);
        Self {
            fronts: processes - stores,
            stores,
        }
    }

    /// All of them.
    pub fn processes(&self) -> usize {
        self.fronts + self.stores
    }
}
/// Model replicas of a deployment.
pub const MODELS: usize = 3;
const TOOLS: usize = 2;
/// Seeds in each process's settings, as the platform names them.
const SEEDS: usize = 3;
const START_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which a store's successor catches up, where nothing else is asked for:
/// the bound of the users' deployments.
pub const CATCH_UP: Duration = Duration::from_millis(4400);

/// Everything that runs.
pub struct Deployment {
    /// How many processes there are.
    pub size: DeploymentSize,
    /// The platform's key-value service.
    pub service: Arc<PlatformStoreStandIn>,
    /// A proxy before it for each process, in their order.
    pub service_proxies: Vec<Proxy>,
    /// Proxies before the stores, in their order.
    pub store_proxies: Vec<Proxy>,
    /// Proxies before the replicas.
    pub replica_proxies: Vec<Proxy>,
    /// Trouble of all replicas.
    pub trouble: Arc<ReplicaTrouble>,
    /// Fronts, then stores.
    pub processes: Vec<Process>,
    /// What was promised and seen.
    pub promises: Arc<Promises>,
    /// Where fronts listen.
    pub fronts: Arc<Vec<SocketAddr>>,
    /// Version of the configuration in the service.
    pub version: u64,
    /// All versions so far.
    pub versions: Arc<ConfigurationVersions>,
    /// Time in which a store's successor catches up.
    pub catch_up: Duration,
    /// ProcessMonitor of all processes.
    pub monitor: ProcessMonitor,
    /// When callers stop.
    pub until: Instant,
    configuration: fn(u64) -> Value,
    shared: Shared,
    machines: AddressAllocator,
    stores_named: usize,
    pub(super) replicas: Vec<Arc<ReplicaStandIn>>,
    _servers: Vec<StandInServer>,
    folder: TempDir,
}

impl Deployment {
    /// Starts a small deployment and waits until the fronts listen.
    pub async fn start(program: &Path) -> io::Result<Self> {
        Self::start_with_size(program, DeploymentSize::default()).await
    }

    /// Starts everything and waits until the fronts listen.
    pub async fn start_with_size(program: &Path, size: DeploymentSize) -> io::Result<Self> {
        Self::start_with_options(program, size, CATCH_UP, configuration).await
    }

    /// Starts everything with this time for successors to catch up, and with what the
    /// operator configures in each version.
    pub async fn start_with_options(
        program: &Path,
        size: DeploymentSize,
        catch_up: Duration,
        configuration: fn(u64) -> Value,
    ) -> io::Result<Self> {
        let promises = Arc::new(Promises::default());
        let service = Arc::new(PlatformStoreStandIn::default());
        let server = serve(service.clone(), None).await?;
        let service_address = server.address;
        let mut servers = vec![server];
        let trouble = Arc::new(ReplicaTrouble::default());
        let mut replica_proxies = Vec::new();
        let mut replicas = Vec::new();
        for number in 0..MODELS + TOOLS {
            let replica = Arc::new(ReplicaStandIn {
                id: format!("replica-{number}"),
                model: number < MODELS,
                trouble: trouble.clone(),
                promises: promises.clone(),
                born: AtomicU64::new(unix_milliseconds()),
                leaving_since: Mutex::default(),
            });
            let server = serve(replica.clone(), None).await?;
            let proxy = Proxy::start(server.address).await?;
            list(&service, &replica, proxy.address, "ready");
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
        let mut shared = Shared {
            program: program.to_owned(),
            folder: folder.path().to_owned(),
            platform: service_address,
            seeds: addresses[size.fronts..]
                .iter()
                .take(SEEDS)
                .map(|machine| machine[2])
                .collect(),
            catch_up,
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
            let proxy = Proxy::start(service_address).await?;
            shared.platform = proxy.address;
            service_proxies.push(proxy);
            let mut process = Process::new(&shared, node, role, *machine);
            if role == ProcessRole::Store {
                let proxy = Proxy::start(machine[2]).await?;
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
            monitor: shared.monitor.clone(),
            store_proxies,
            replica_proxies,
            trouble,
            processes,
            promises,
            fronts,
            version: 1,
            versions,
            configuration,
            catch_up,
            until: Instant::now(),
            shared,
            machines,
            stores_named: size.stores,
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

    /// Starts an empty store under a new name and address in place of one that has
    /// ended.
    pub async fn replace_store(&mut self, number: usize) -> io::Result<()> {
        let machine = self.machines.allocate();
        let node = format!("store-{}", self.stores_named);
        self.stores_named += 1;
        let stores = &self.processes[self.size.fronts..];
        let living = stores.iter().filter(|store| store.is_running());
        self.shared.seeds = living.map(Process::peer_address).take(SEEDS).collect();
        self.shared.platform = self.service_proxies[number].address;
        let proxy = Proxy::start(machine[2]).await?;
        let process = Process::new(&self.shared, node, ProcessRole::Store, machine);
        self.processes[number] = process.with_proxy(proxy.address);
        self.store_proxies[number - self.size.fronts] = proxy;
        self.processes[number].start(false)
    }

    /// From its next start on, this process and stores that are new run this program.
    pub(super) fn set_program(&mut self, number: usize, program: PathBuf) {
        self.processes[number].set_program(program.clone());
        self.shared.program = program;
    }

    /// Puts the next configuration in force.
    pub fn reconfigure(&mut self) {
        self.version += 1;
        let configuration = (self.configuration)(self.version).to_string();
        self.service
            .put(names::CONFIG_KEY, configuration.as_bytes());
        self.versions.record_accepted(self.version);
    }

    /// A replica says that it leaves, and serves on.
    pub fn drain_replica(&self, number: usize) {
        let replica = &self.replicas[number];
        let address = self.replica_proxies[number].address;
        list(&self.service, replica, address, "draining");
        replica.leaves(true);
    }

    /// A replica's entry goes without a word, and it serves on.
    pub fn remove_replica_entry(&self, number: usize) {
        let replica = &self.replicas[number];
        self.service.remove(&entry_key(&replica.id));
        replica.leaves(true);
    }

    /// Another writer puts this in place of a replica's entry, which names none then.
    pub fn corrupt_replica_entry(&self, number: usize, value: &[u8]) {
        let replica = &self.replicas[number];
        self.put_entry(&replica.id, value);
        replica.leaves(true);
    }

    /// Writes an entry as it is.
    pub fn put_entry(&self, id: &str, value: &[u8]) {
        self.service.put(&entry_key(id), value);
    }

    /// Another takes its place.
    pub fn restore_replica(&self, number: usize) {
        let replica = &self.replicas[number];
        let address = self.replica_proxies[number].address;
        replica.leaves(false);
        list(&self.service, replica, address, "ready");
    }

    /// Whether any process has needed more memory than its machine has.
    pub fn check_memory(&self) {
        for process in &self.processes {
            match process.peak_memory() {
                Ok(bytes) if bytes > MEMORY_MB * 1024 * 1024 => {
                    let breach = format!("{} needed {bytes} bytes of memory", process.node);
                    self.promises.report_breach(breach);
                }
                Ok(_) => {}
                Err(error) => {
                    let breach = format!("{} has ended: {error}", process.node);
                    self.promises.report_breach(breach);
                }
            }
        }
    }

    /// Whether memory, descriptors or connections of a process rise without end;
    /// returns how many monitor were long enough to tell.
    pub fn check_slopes(&self) -> usize {
        let retention = Duration::from_secs(RETENTION_SECONDS);
        for breach in self.monitor.breaches(retention) {
            self.promises.report_breach(breach);
        }
        self.monitor.count_judged(retention)
    }

    /// Keeps the folder with settings, data and logs, and names it.
    pub fn keep_folder(self) -> std::path::PathBuf {
        self.folder.keep()
    }
}

/// Writes a replica's entry, as it does itself.
fn list(
    service: &PlatformStoreStandIn,
    replica: &ReplicaStandIn,
    address: SocketAddr,
    state: &str,
) {
    let entry = json!({
        "Service": if replica.model { "models" } else { "tools" },
        "Addr": address, "Zone": "lab", "Version": "v1",
        "Slots": 12, "State": state, "ColdLeftMs": 0, "CallSeq": 1,
        "born": replica.born.load(Ordering::Relaxed),
    });
    service.put(&entry_key(&replica.id), entry.to_string().as_bytes());
}

fn entry_key(id: &str) -> String {
    format!("{}{id}", names::SERVERS)
}
