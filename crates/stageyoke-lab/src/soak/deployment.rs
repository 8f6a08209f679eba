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

use super::changes::Versions;
use super::machines::Machines;
use super::processes::{MEMORY_MB, Process, ProcessRole, Shared};
use super::promises::Promises;
use super::proxy::Proxy;
use super::replicas::unix_milliseconds;
use super::slopes::Lives;
use crate::standins::platform::key_value::PlatformKeyValueStandIn;
use crate::standins::platform::replica::{ReplicaFaults, ReplicaStandIn};
use crate::standins::platform::{RETENTION_SECONDS, configuration, names};
use crate::standins::{StandInServer, serve};

/// Fronts, where nothing else is asked for.
pub const FRONTS: usize = 3;
/// Stores, where nothing else is asked for.
const STORES: usize = 3;
/// Stores of the largest groups among the deployments.
const MOST_STORES: usize = 36;
/// Processes of the largest deployments that one machine is given.
const MOST_PROCESSES: usize = 250;
/// One process in so many is a store, in large deployments: as the users' are.
const PROCESSES_A_STORE: usize = 7;

/// Processes of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Fronts.
    pub fronts: usize,
    /// Stores.
    pub stores: usize,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            fronts: FRONTS,
            stores: STORES,
        }
    }
}

impl Size {
    /// So many processes, as near as a deployment can have them.
    pub fn of(processes: usize) -> Self {
        let processes = processes.clamp(FRONTS + STORES, MOST_PROCESSES);
        let stores = (processes / PROCESSES_A_STORE).clamp(STORES, MOST_STORES);
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
const START_WITHIN: Duration = Duration::from_secs(60);
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Time in which a store's successor catches up, where nothing else is asked for:
/// the bound of the users' deployments.
pub const CATCH_UP: Duration = Duration::from_millis(4400);

/// Everything that runs.
pub struct Deployment {
    /// How many processes there are.
    pub size: Size,
    /// The platform's key-value service.
    pub service: Arc<PlatformKeyValueStandIn>,
    /// A proxy before it for each process, in their order.
    pub service_proxies: Vec<Proxy>,
    /// Proxies before the stores, in their order.
    pub store_proxies: Vec<Proxy>,
    /// Proxies before the replicas.
    pub replica_proxies: Vec<Proxy>,
    /// Trouble of all replicas.
    pub trouble: Arc<ReplicaFaults>,
    /// Fronts, then stores.
    pub processes: Vec<Process>,
    /// What was promised and seen.
    pub promises: Arc<Promises>,
    /// Where fronts listen.
    pub fronts: Arc<Vec<SocketAddr>>,
    /// Version of the configuration in the service.
    pub version: u64,
    /// All versions so far.
    pub versions: Arc<Versions>,
    /// Time in which a store's successor catches up.
    pub catch_up: Duration,
    /// Lives of all processes.
    pub lives: Lives,
    /// When callers stop.
    pub until: Instant,
    configuration: fn(u64) -> Value,
    shared: Shared,
    machines: Machines,
    stores_named: usize,
    pub(super) replicas: Vec<Arc<ReplicaStandIn>>,
    _servers: Vec<StandInServer>,
    folder: TempDir,
}

impl Deployment {
    /// Starts a small deployment and waits until the fronts listen.
    pub async fn start(program: &Path) -> io::Result<Self> {
        Self::start_sized(program, Size::default()).await
    }

    /// Starts everything and waits until the fronts listen.
    pub async fn start_sized(program: &Path, size: Size) -> io::Result<Self> {
        Self::start_with(program, size, CATCH_UP, configuration).await
    }

    /// Starts everything with this time for successors to catch up, and with what the
    /// operator configures in each version.
    pub async fn start_with(
        program: &Path,
        size: Size,
        catch_up: Duration,
        configuration: fn(u64) -> Value,
    ) -> io::Result<Self> {
        let promises = Arc::new(Promises::default());
        let service = Arc::new(PlatformKeyValueStandIn::default());
        let server = serve(service.clone(), None).await?;
        let service_address = server.address;
        let mut servers = vec![server];
        let trouble = Arc::new(ReplicaFaults::default());
        let mut replica_proxies = Vec::new();
        let mut replicas = Vec::new();
        for number in 0..MODELS + TOOLS {
            let replica = Arc::new(ReplicaStandIn {
                id: format!("replica-{number}"),
                is_engine: number < MODELS,
                faults: trouble.clone(),
                promises: promises.clone(),
                started_at_ms: AtomicU64::new(unix_milliseconds()),
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
        let versions = Arc::new(Versions::default());
        versions.accepted(1);
        let folder = tempfile::tempdir()?;
        let mut machines = Machines::draw()?;
        let addresses: Vec<_> = (0..size.processes()).map(|_| machines.give()).collect();
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
            lives: Lives::default(),
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
                process = process.behind(proxy.address);
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
            lives: shared.lives.clone(),
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
        let until = Instant::now() + START_WITHIN;
        for front in self.fronts.iter() {
            while TcpStream::connect(front).await.is_err() {
                if Instant::now() > until {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                tokio::time::sleep(LOOK_AGAIN).await;
            }
        }
        Ok(())
    }

    /// Starts an empty store under a new name and address in place of one that has
    /// ended.
    pub async fn replace_store(&mut self, number: usize) -> io::Result<()> {
        let machine = self.machines.give();
        let node = format!("store-{}", self.stores_named);
        self.stores_named += 1;
        let stores = &self.processes[self.size.fronts..];
        let living = stores.iter().filter(|store| store.runs());
        self.shared.seeds = living.map(Process::inner).take(SEEDS).collect();
        self.shared.platform = self.service_proxies[number].address;
        let proxy = Proxy::start(machine[2]).await?;
        let process = Process::new(&self.shared, node, ProcessRole::Store, machine);
        self.processes[number] = process.behind(proxy.address);
        self.store_proxies[number - self.size.fronts] = proxy;
        self.processes[number].start(false)
    }

    /// From its next start on, this process and stores that are new run this program.
    pub(super) fn use_program(&mut self, number: usize, program: PathBuf) {
        self.processes[number].run_program(program.clone());
        self.shared.program = program;
    }

    /// Puts the next configuration in force.
    pub fn reconfigure(&mut self) {
        self.version += 1;
        let configuration = (self.configuration)(self.version).to_string();
        self.service
            .put(names::CONFIG_KEY, configuration.as_bytes());
        self.versions.accepted(self.version);
    }

    /// A replica says that it leaves, and serves on.
    pub fn replica_leaves(&self, number: usize) {
        let replica = &self.replicas[number];
        let address = self.replica_proxies[number].address;
        list(&self.service, replica, address, "draining");
        replica.set_leaving(true);
    }

    /// A replica's entry goes without a word, and it serves on.
    pub fn replica_goes(&self, number: usize) {
        let replica = &self.replicas[number];
        self.service.remove(&entry_key(&replica.id));
        replica.set_leaving(true);
    }

    /// Another writer puts this in place of a replica's entry, which names none then.
    pub fn replica_is_spoilt(&self, number: usize, value: &[u8]) {
        let replica = &self.replicas[number];
        self.put_entry(&replica.id, value);
        replica.set_leaving(true);
    }

    /// Writes an entry as it is.
    pub fn put_entry(&self, id: &str, value: &[u8]) {
        self.service.put(&entry_key(id), value);
    }

    /// Another takes its place.
    pub fn replica_returns(&self, number: usize) {
        let replica = &self.replicas[number];
        let address = self.replica_proxies[number].address;
        replica.set_leaving(false);
        list(&self.service, replica, address, "ready");
    }

    /// Whether any process has needed more memory than its machine has.
    pub fn check_memory(&self) {
        for process in &self.processes {
            match process.peak_memory() {
                Ok(bytes) if bytes > MEMORY_MB * 1024 * 1024 => {
                    let breach = format!("{} needed {bytes} bytes of memory", process.node);
                    self.promises.breach(breach);
                }
                Ok(_) => {}
                Err(error) => {
                    let breach = format!("{} has ended: {error}", process.node);
                    self.promises.breach(breach);
                }
            }
        }
    }

    /// Whether memory, descriptors or connections of a process rise without end;
    /// returns how many lives were long enough to tell.
    pub fn check_slopes(&self) -> usize {
        let retention = Duration::from_secs(RETENTION_SECONDS);
        for breach in self.lives.breaches(retention) {
            self.promises.breach(breach);
        }
        self.lives.judged(retention)
    }

    /// Keeps the folder with settings, data and logs, and names it.
    pub fn keep_folder(self) -> std::path::PathBuf {
        self.folder.keep()
    }
}

/// Writes a replica's entry, as it does itself.
fn list(
    service: &PlatformKeyValueStandIn,
    replica: &ReplicaStandIn,
    address: SocketAddr,
    state: &str,
) {
    let entry = json!({
        "Service": if replica.is_engine { "models" } else { "tools" },
        "Addr": address, "Zone": "lab", "Version": "v1",
        "Slots": 12, "State": state, "ColdLeftMs": 0, "CallSeq": 1,
        "born": replica.started_at_ms.load(Ordering::Relaxed),
    });
    service.put(&entry_key(&replica.id), entry.to_string().as_bytes());
}

fn entry_key(id: &str) -> String {
    format!("{}{id}", names::SERVERS_PREFIX)
}
