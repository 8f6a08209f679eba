//! The front process: its components, startup and shutdown.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{GroupNumber, Interpreter, KeyValueService, Mirror, Tolerance, View};
use stageyoke_policy::cold_start::ColdTolerance;
use stageyoke_policy::retry_budget::RetryBudget;
use stageyoke_store::GroupClients;
use stageyoke_store::directory_relay::StoreRelay;
use stageyoke_store::extension::describe_build;
use stageyoke_store::store_host::log_mirror_event;
use stageyoke_types::{Event, Text};
use tokio::net::{TcpListener, TcpSocket};

use crate::admission::StartedPrograms;
use crate::authentication::KeyFreshness;
use crate::baseline_latency::BaselineLatencies;
use crate::bootstrap;
use crate::caller_connections::{CallerConnections, ConnectionLimits};
use crate::deadly_requests::RequestGuard;
use crate::evacuation_log::EvacuationLog;
use crate::history::History;
use crate::memory_budget::MemoryBudget;
use crate::protocol_names::ProtocolNames;
use crate::quota::Quotas;
use crate::replica_log::StaleListMonitor;
use crate::replica_registry::ReplicaRegistry;
use crate::server;
use crate::shutdown::{RequestTracker, ShutdownSignal};
use crate::tenant_warnings::TenantWarnings;
use crate::traffic_split::TrafficSplit;
use stageyoke_observe as observe;

/// Time during which a planned shutdown still accepts connections and requests, until the
/// load balancer has seen that the front is not ready. Idle connections are closed
/// afterwards.
const STOP_LISTENING_DELAY: Duration = Duration::from_millis(2600);
/// Part of the grace period reserved for the exit of the process.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);

/// Time without a quorum of any store group after which the front is not ready.
const UNREADY_DELAY: Duration = Duration::from_millis(600);
/// Limit of open descriptors where none is given.
const DEFAULT_MAX_DESCRIPTORS: usize = 4096;
/// Connections that may wait to be accepted.
const ACCEPT_QUEUE: u32 = 4096;
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Settings of the front role.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Name of the machine.
    pub node: Text,
    /// Zone of the machine.
    pub zone: Text,
    /// Addresses of some stores, for startup during a service outage.
    pub seeds: Vec<String>,
    /// Simultaneous failures of store members to tolerate.
    pub tolerance: Tolerance,
    /// Time from the shutdown signal until the process is killed.
    pub grace: Duration,
    /// Time within which a directory change must take effect.
    pub change_bound: Duration,
    /// Tolerated excess over the rate that cold replicas bear; `None` if no limit applies.
    pub cold_tolerance: Option<ColdTolerance>,
    /// Maximum age of the directory for accepting keys. With `None`, keys revoked during a
    /// service outage stay valid until it ends.
    pub key_age_limit: Option<Duration>,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Limit of the process's open descriptors; 4,096 if it is not known.
    pub max_descriptors: Option<usize>,
    /// Whether new programs are rejected while engines are overloaded.
    pub admission_control: bool,
    /// Whether engines differ in speed, so that fronts share their latencies.
    pub heterogeneous_engines: bool,
}

/// Listening sockets of a front.
#[derive(Debug)]
pub struct FrontListeners {
    /// Socket for callers' connections.
    pub callers: TcpListener,
    /// Socket for readiness probes.
    pub readiness: TcpListener,
}

impl FrontListeners {
    /// Binds both addresses.
    pub async fn open(callers: SocketAddr, readiness: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            callers: listen(callers)?,
            readiness: listen(readiness)?,
        })
    }
}

/// Listens with a queue that holds a crowd of new connections; the kernel may shorten it.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// State shared by the tasks of a front.
pub struct Front<S, I> {
    /// Header names and paths.
    pub names: ProtocolNames,
    /// Zone of this front.
    pub zone: Text,
    /// Mirror of the directory: routes, replicas and store members.
    pub mirror: Rc<Mirror<S, I>>,
    /// Replicas and their observed state.
    pub registry: Rc<ReplicaRegistry>,
    /// Tolerated excess over the rate that cold replicas bear; `None` if no limit applies.
    pub cold_tolerance: Option<ColdTolerance>,
    /// Baseline latencies of plain services.
    pub baseline_latencies: BaselineLatencies,
    /// Whether new programs are rejected while engines are overloaded.
    pub admission_control: bool,
    /// Recently started programs.
    pub started_programs: StartedPrograms,
    /// Budget for retries of overdue responses.
    pub retry_budget: Cell<RetryBudget>,
    /// Weighted split of routes over their targets.
    pub traffic_split: TrafficSplit,
    /// Turns and budgets of programs.
    pub history: Rc<History>,
    /// Limit of the replicas that may end under one request.
    pub request_guard: Rc<RequestGuard>,
    /// Check that the directory is fresh enough to accept keys.
    pub key_freshness: KeyFreshness,
    /// Logs placements by an outdated replica list.
    pub(crate) stale_list_monitor: StaleListMonitor,
    /// Rate limits of tenants.
    pub quotas: Quotas,
    /// Requests in flight.
    pub requests: RequestTracker,
    /// Memory budget of requests in flight.
    pub memory_budget: Rc<MemoryBudget>,
    /// Connections of callers.
    pub caller_connections: Rc<CallerConnections>,
    /// Signal for listeners and connections to close.
    pub shutdown: ShutdownSignal,
    draining: Cell<bool>,
    tenant_warnings: TenantWarnings,
    evacuation_log: EvacuationLog,
    relay: Rc<StoreRelay>,
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Returns whether a planned shutdown is in progress.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns whether the front should get new connections.
    pub fn is_ready(&self) -> bool {
        let view = self.mirror.view();
        let failing = self.history.stores.all_failing_for();
        let stores_available = failing.is_none_or(|failing| failing < UNREADY_DELAY);
        view.routes.is_some() && !self.is_draining() && stores_available
    }

    /// Probes failing store groups until they recover, and reapplies the replica list when
    /// a lapse expires, since no change of the directory may trigger it.
    async fn watch_store_groups(&self) {
        let mut known_failures: BTreeSet<GroupNumber> = BTreeSet::new();
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let failing = self.history.stores.failing_groups();
            for group in &failing {
                let number = group.number();
                if known_failures.insert(number) {
                    let failing_for = group.failing_for().unwrap_or_default();
                    let detail = format!("group={} for={failing_for:?}", number.0);
                    observe::record_event(Event::GroupFailing, &detail);
                }
                let probed = group.clone();
                tokio::task::spawn_local(async move { probed.probe(PROBE_TIMEOUT).await });
            }
            if self.registry.has_expired_lapses() {
                self.apply_directory();
            }
            known_failures.retain(|number| {
                let still_failing = failing.iter().any(|group| group.number() == *number);
                if !still_failing {
                    self.mirror.freshness().report_peers_reachable();
                    let detail = format!("store group {}", number.0);
                    observe::record_event(Event::DependencyRegained, &detail);
                }
                still_failing
            });
        }
    }

    fn apply_evacuations(&self, view: &View) {
        let zones = &view.evacuated_zones;
        self.registry.apply_evacuations(zones, |service| {
            let service = view
                .routes
                .as_ref()
                .and_then(|routes| routes.service(service));
            let cold_start = service.and_then(|service| service.cold_start);
            cold_start.map_or(Duration::ZERO, |cold_start| cold_start.duration)
        });
        let replica_zones = || self.registry.zones();
        for (event, detail) in self.evacuation_log.update(zones, replica_zones) {
            observe::record_event(event, &detail);
        }
        observe::metrics().evacuated_zones.set(zones.len() as i64);
    }

    /// Applies the mirror's current view to the registry, the splits, the warnings and the
    /// stores.
    pub(crate) fn apply_directory(&self) {
        let view = self.mirror.view();
        self.registry.set_store_groups(view.stores.groups.len());
        let changed = self.mirror.take_changed_replicas();
        self.registry.apply_changes(
            &view.replicas,
            &changed,
            self.mirror.lapsed_entry_deadline(),
        );
        self.apply_evacuations(&view);
        let metrics = stageyoke_observe::metrics();
        metrics.replicas.set(view.replicas.len() as i64);
        metrics.members_version.set(view.stores.version as i64);
        if let Some(routes) = &view.routes {
            self.traffic_split.retain_routes(routes);
            for (event, detail) in self.tenant_warnings.update(routes) {
                observe::record_event(event, &detail);
            }
        }
        let version = view.routes.as_ref().map_or(0, |routes| routes.version);
        metrics.routes_version.set(version as i64);
        if !view.stores.is_formed() {
            self.relay.set_registered_stores(view.registered.values());
        }
        self.history.stores.update_stores(&view.stores);
    }
}

/// Serves until `stop` resolves, then drains requests in flight. The directory is read
/// through the stores if they can relay it, otherwise from the key-value service.
pub async fn run<S: KeyValueService + 'static, I: Interpreter + 'static>(
    settings: FrontSettings,
    listeners: FrontListeners,
    names: ProtocolNames,
    mirror: Mirror<S, I>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let stores = GroupClients::new(settings.zone.clone(), settings.tolerance.clone());
    let stores = Rc::new(stores.with_directory_freshness(mirror.freshness().clone()));
    if settings.admission_control {
        stores.load().ranks.enable_reports();
    }
    if settings.heterogeneous_engines {
        stores.load().engines.enable_reports();
    }
    let relay = Rc::new(StoreRelay::new(stores.clone(), settings.seeds.clone()));
    let mirror = Rc::new(mirror.with_relay(relay.clone()));
    let registry = Rc::new(ReplicaRegistry::new(
        stores.load().clone(),
        settings.tolerance.region_by_zone.clone(),
    ));
    let front = Rc::new(Front {
        names,
        zone: settings.zone.clone(),
        mirror,
        request_guard: Rc::new(RequestGuard::new(stores.clone(), registry.clone())),
        registry,
        cold_tolerance: settings.cold_tolerance,
        baseline_latencies: BaselineLatencies::default(),
        admission_control: settings.admission_control,
        started_programs: StartedPrograms::default(),
        retry_budget: Cell::default(),
        traffic_split: TrafficSplit::new(rand::random()),
        key_freshness: KeyFreshness::new(settings.change_bound, settings.key_age_limit),
        stale_list_monitor: StaleListMonitor::new(settings.change_bound),
        quotas: Quotas::new(stores.clone()),
        history: Rc::new(History::new(stores, settings.memory_bytes)),
        requests: RequestTracker::default(),
        memory_budget: Rc::new(MemoryBudget::for_machine(settings.memory_bytes)),
        caller_connections: Rc::new(CallerConnections::new(ConnectionLimits::for_machine(
            settings.memory_bytes,
            settings.max_descriptors.unwrap_or(DEFAULT_MAX_DESCRIPTORS),
        ))),
        shutdown: ShutdownSignal::default(),
        draining: Cell::new(false),
        tenant_warnings: TenantWarnings::default(),
        evacuation_log: EvacuationLog::default(),
        relay,
    });
    let FrontListeners { callers, readiness } = listeners;
    server::keep_freed_blocks();
    tokio::task::spawn_local(server::serve_callers(front.clone(), callers));
    tokio::task::spawn_local(server::serve_readiness(front.clone(), readiness));
    let watching = front.clone();
    tokio::task::spawn_local(async move {
        let header_timeout = || server::http_limits(&watching).header_timeout;
        watching
            .caller_connections
            .watch_heads(header_timeout)
            .await;
    });
    let applying = front.clone();
    tokio::task::spawn_local(async move {
        let mirror = applying.mirror.clone();
        let report = |event| {
            applying.apply_directory();
            log_mirror_event(event);
        };
        mirror.run(report).await;
    });
    let watching = front.clone();
    tokio::task::spawn_local(async move { watching.watch_store_groups().await });
    let guard = front.request_guard.clone();
    tokio::task::spawn_local(async move { guard.watch().await });
    let seeding = front.clone();
    let seeds = settings.seeds.clone();
    tokio::task::spawn_local(async move {
        bootstrap::run(&seeding.mirror, &seeds).await;
        seeding.apply_directory();
    });
    let detail = format!("node={} {}", settings.node, describe_build());
    observe::record_event(Event::NodeStarted, &detail);
    stop.await;
    front.draining.set(true);
    let detail = format!("under_way={}", front.requests.count());
    observe::record_event(Event::NodeDraining, &detail);
    let drain_time = settings.grace.saturating_sub(SHUTDOWN_MARGIN);
    let completion = async {
        tokio::time::sleep(STOP_LISTENING_DELAY.min(drain_time)).await;
        front.shutdown.trigger();
        front.requests.wait_until_idle().await;
    };
    let finished = tokio::time::timeout(drain_time, completion).await.is_ok();
    observe::record_event(Event::NodeStopped, &format!("finished={finished}"));
    Ok(())
}
