//! Starts and stops a node.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use argh::FromArgs;
use miette::{IntoDiagnostic, WrapErr};
use stageyoke_core::config_spread::ConfigBundle;
use stageyoke_core::fault::Faults;
use stageyoke_core::membership::{MemberInfo, MembershipSettings};
use stageyoke_core::node::{Input, Node, NodeSettings};
use stageyoke_types::{ErrorKind, Event, Text};
use stageyoke_wire::ClusterKey;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::backends::engine::EngineClient;
use crate::backends::sweep;
use crate::callers::context::CallerContext;
use crate::callers::serve;
use crate::clock::Clock;
use crate::driver::{self, Command, ConfigCell, Driver, DriverHandle, DriverParts};
use crate::identity::Identity;
use crate::metrics::Metrics;
use crate::peers::{self, PeerContext, PeerNetwork, TlsIdentity};
use crate::platform::key_value::KeyValueClient;
use crate::platform::{config_source, formation, machine_list};
use crate::settings::{Overrides, Settings};
use crate::store::{Recovered, Store, recover};
use crate::{events, operator, settings};

/// File that keeps the configuration in force.
/// Ports that are tried for one that is free for connections and datagrams: each
/// is taken for one of them seldom, and all of them hardly ever.
const PAIR_TRIES: usize = 16;
const CONFIG_FILE: &str = "configuration.json";
/// How often a stopping node looks whether it has finished.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Longest time to hand shards over when stopping.
const HAND_OVER: Duration = Duration::from_secs(6);
/// Time for the last announcement to reach the peers.
const FAREWELL: Duration = Duration::from_millis(100);
/// How often TLS files are looked at.
const TLS_RELOAD_PERIOD: Duration = Duration::from_secs(10);

/// One node of stageyoke.
#[derive(FromArgs, Debug)]
struct Arguments {
    /// settings file; see docs/SETTINGS.md
    #[argh(option)]
    settings: PathBuf,
    /// name of the machine, instead of the file's
    #[argh(option)]
    name: Option<String>,
    /// zone, instead of the file's
    #[argh(option)]
    zone: Option<String>,
    /// address for other nodes, instead of the file's
    #[argh(option)]
    peer_address: Option<SocketAddr>,
    /// address for callers, instead of the file's
    #[argh(option)]
    caller_address: Option<SocketAddr>,
    /// address for operators, instead of the file's
    #[argh(option)]
    operator_address: Option<SocketAddr>,
}

/// The whole program: arguments, settings, the node, and its orderly end.
pub fn run_daemon() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let overrides = Overrides {
        name: arguments.name,
        zone: arguments.zone,
        peer_address: arguments.peer_address,
        caller_address: arguments.caller_address,
        operator_address: arguments.operator_address,
    };
    let settings = match settings::load(&arguments.settings, &overrides) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{:?}", miette::Report::new(problems));
            return ExitCode::from(ErrorKind::ConfigInvalid.response().exit_code as u8);
        }
    };
    events::start_log(settings.log_format);
    match serve_until_told(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(ErrorKind::Internal.response().exit_code as u8)
        }
    }
}

fn serve_until_told(settings: Settings) -> miette::Result<()> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let node = start(settings).await?;
        wait_for_signal().await?;
        node.drain().await;
        Ok(())
    })
}

async fn wait_for_signal() -> miette::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// A node that runs in this process.
pub struct RunningNode {
    /// Address for callers, with the port the system gave.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// The driver.
    pub driver: DriverHandle,
    name: Arc<str>,
    context: Arc<CallerContext>,
    stop_callers: watch::Sender<bool>,
    callers: tokio::task::JoinHandle<()>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    thread: std::thread::JoinHandle<()>,
    drain: Duration,
}

/// What a node finds when it starts.
struct Beginning {
    identity: Identity,
    recovered: Recovered,
    config: ConfigBundle,
    store: Option<Store>,
    config_file: Option<PathBuf>,
}

/// Starts a node. Returns once its listeners are open.
pub async fn start(settings: Settings) -> miette::Result<RunningNode> {
    let listeners = Listeners::open(&settings).await?;
    start_on(listeners, settings).await
}

/// Starts a node on listeners that are open already, whatever addresses its
/// settings name.
pub async fn start_on(listeners: Listeners, settings: Settings) -> miette::Result<RunningNode> {
    let name: Arc<str> = Arc::from(settings.name.as_str());
    let beginning = begin(&settings, &name)?;
    let clock = Clock::start();
    let metrics = Metrics::new();
    let tls = match settings.tls.clone() {
        Some(files) => Some(Arc::new(TlsIdentity::load(files).into_diagnostic()?)),
        None => None,
    };
    let id = beginning.identity.node();
    let peer_context = PeerContext {
        id,
        name: name.clone(),
        key: ClusterKey::derive(&settings.cluster_key),
        tls: tls.clone(),
        metrics: metrics.clone(),
    };
    let has_disk = beginning.store.is_some();
    let life = beginning.identity.life;
    let node = Node::new(
        node_settings(
            &settings,
            &beginning,
            listeners.peer_address,
            has_disk,
            clock.now(),
        ),
        clock.now(),
    );
    let (handle, commands) = DriverHandle::channel();
    let config = ConfigCell::default();
    let engines = EngineClient::new(id);
    let runtime = tokio::runtime::Handle::current();
    let socket = listeners.datagrams.clone();
    let driver = Driver::new(DriverParts {
        node,
        name: name.clone(),
        life,
        clock,
        network: PeerNetwork::new(peer_context.clone(), socket.clone(), runtime.clone()),
        store: beginning.store,
        config_file: beginning.config_file,
        config: config.clone(),
        engines: engines.clone(),
        metrics: metrics.clone(),
        handle: handle.clone(),
        runtime,
    });
    resume(&handle, beginning.recovered, beginning.config);
    let thread = std::thread::Builder::new()
        .name(format!("driver-{name}"))
        .spawn(move || driver.run(commands))
        .into_diagnostic()?;
    let context = Arc::new(CallerContext::new(handle.clone(), config.clone(), metrics));
    let drain = Duration::from_secs(settings.drain_seconds);
    let (stop_callers, stopped) = watch::channel(false);
    let callers = tokio::spawn(serve::run(
        context.clone(),
        listeners.callers,
        stopped,
        drain,
    ));
    let mut tasks = vec![
        tokio::spawn(driver::tick(handle.clone())),
        tokio::spawn(sweep::run(handle.clone(), engines)),
        tokio::spawn(operator::run(
            context.clone(),
            listeners.operators,
            settings.name.clone(),
        )),
    ];
    tasks.push(spawn_quiet(peers::receive_datagrams(
        peer_context.clone(),
        socket,
        handle.clone(),
    )));
    tasks.push(spawn_quiet(peers::accept_connections(
        peer_context,
        listeners.peers,
        handle.clone(),
    )));
    tasks.extend(platform_tasks(&settings, &handle, &config, life));
    tasks.extend(tls.map(|tls| tokio::spawn(reload_tls(tls, name.clone()))));
    events::emit(Event::NodeStarted, &name, &format!("node={id}"));
    Ok(RunningNode {
        caller_address: listeners.caller_address,
        operator_address: listeners.operator_address,
        peer_address: listeners.peer_address,
        driver: handle,
        name,
        context,
        stop_callers,
        callers,
        tasks,
        thread,
        drain,
    })
}

/// Everything a node listens on.
pub struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    datagrams: Arc<std::net::UdpSocket>,
    /// Address for callers, with the port the system gave.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
}

impl Listeners {
    /// Opens the addresses that the settings name.
    pub async fn open(settings: &Settings) -> miette::Result<Self> {
        let (peers, datagrams) = bind_peers(settings.peer_address).await?;
        Self::with_peers(
            settings.caller_address,
            settings.operator_address,
            peers,
            datagrams,
        )
        .await
    }

    /// Opens ports that the system gives, on one address.
    pub async fn open_free(ip: IpAddr) -> miette::Result<Self> {
        let any = SocketAddr::new(ip, 0);
        // A port that is free for connections may be taken for datagrams.
        let mut tries = 1;
        let (peers, datagrams) = loop {
            match bind_peers(any).await {
                Ok(bound) => break bound,
                Err(error) if tries == PAIR_TRIES => return Err(error),
                Err(_) => tries += 1,
            }
        };
        Self::with_peers(any, any, peers, datagrams).await
    }

    async fn with_peers(
        caller_address: SocketAddr,
        operator_address: SocketAddr,
        peers: TcpListener,
        datagrams: std::net::UdpSocket,
    ) -> miette::Result<Self> {
        let callers = bind(caller_address).await?;
        let operators = bind(operator_address).await?;
        let peer_address = peers.local_addr().into_diagnostic()?;
        Ok(Self {
            caller_address: callers.local_addr().into_diagnostic()?,
            operator_address: operators.local_addr().into_diagnostic()?,
            peer_address,
            callers,
            operators,
            peers,
            datagrams: Arc::new(datagrams),
        })
    }
}

/// Opens one port for connections and datagrams of other nodes.
async fn bind_peers(address: SocketAddr) -> miette::Result<(TcpListener, std::net::UdpSocket)> {
    let peers = bind(address).await?;
    let address = peers.local_addr().into_diagnostic()?;
    let datagrams = std::net::UdpSocket::bind(address)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot open {address} for datagrams"))?;
    datagrams.set_nonblocking(true).into_diagnostic()?;
    Ok((peers, datagrams))
}

async fn bind(address: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot open {address}"))
}

fn begin(settings: &Settings, name: &str) -> miette::Result<Beginning> {
    let Some(folder) = &settings.data_folder else {
        return Ok(Beginning {
            identity: Identity::fresh(),
            recovered: Recovered::default(),
            config: ConfigBundle::default(),
            store: None,
            config_file: None,
        });
    };
    let describe = || format!("data folder {}", folder.display());
    let recovered = recover(folder).into_diagnostic().wrap_err_with(describe)?;
    report_recovery(&recovered, name);
    // An identifier without its log has forgotten its votes.
    let usable = !recovered.corrupt && recovered.last_segment > 0;
    let identity = Identity::next_life(folder, usable)
        .into_diagnostic()
        .wrap_err_with(describe)?;
    let store = Store::open(
        folder,
        recovered.last_segment,
        recovered.bytes,
        settings.data_limit_bytes,
    );
    let config_file = folder.join(CONFIG_FILE);
    Ok(Beginning {
        identity,
        config: driver::kept_config(&config_file).unwrap_or_default(),
        store: Some(store.into_diagnostic().wrap_err_with(describe)?),
        config_file: Some(config_file),
        recovered,
    })
}

fn report_recovery(recovered: &Recovered, name: &str) {
    let detail = format!(
        "shards={} bytes={}",
        recovered.shards.len(),
        recovered.bytes
    );
    if recovered.torn {
        events::emit(Event::LogTornTail, name, &detail);
    }
    if recovered.corrupt {
        events::emit(Event::LogCorrupt, name, "the log was set aside");
    } else {
        events::emit(Event::LogRecovered, name, &detail);
    }
}

/// Gives the state machine what the disk kept, before anything else.
fn resume(handle: &DriverHandle, recovered: Recovered, config: ConfigBundle) {
    if config.head.version.0 > 0 {
        handle.send(Command::Input(Input::OfferConfig(config)));
    }
    for (shard, stored) in recovered.shards {
        handle.send(Command::Input(Input::Recover { shard, stored }));
    }
}

fn node_settings(
    settings: &Settings,
    beginning: &Beginning,
    peer_address: SocketAddr,
    has_disk: bool,
    now: u64,
) -> NodeSettings {
    NodeSettings {
        id: beginning.identity.node(),
        life: beginning.identity.life,
        info: MemberInfo {
            name: Text::from(settings.name.as_str()),
            zone: Text::from(settings.zone.as_str()),
            region: Text::from(settings.region.as_str()),
            address: Text::from(peer_address.to_string()),
            has_disk,
            started_at: now,
        },
        seeds: settings
            .seeds
            .iter()
            .map(|seed| Text::from(seed.to_string()))
            .collect(),
        shard_count: settings.shards,
        random_seed: rand::random(),
        membership: MembershipSettings::default(),
        // What the disk kept is offered as an input, so that it is checked and
        // put in force like any other.
        config: ConfigBundle::default(),
        faults: Faults::default(),
    }
}

fn platform_tasks(
    settings: &Settings,
    handle: &DriverHandle,
    config: &ConfigCell,
    life: u16,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut tasks = Vec::new();
    let store = KeyValueClient::new(settings.store_addresses.clone());
    if !store.is_unset() {
        tasks.push(tokio::spawn(config_source::watch(
            store.clone(),
            handle.clone(),
            config.clone(),
            settings.name.clone(),
            settings.zone.clone(),
        )));
        if life == 1 {
            tasks.push(tokio::spawn(formation::run(
                store,
                handle.clone(),
                settings.shards,
                settings.founders,
            )));
        }
    }
    if let Some(address) = settings.machine_list_address {
        tasks.push(tokio::spawn(machine_list::watch(address, handle.clone())));
    }
    tasks
}

fn spawn_quiet(
    task: impl Future<Output = std::io::Result<()>> + Send + 'static,
) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        // The socket closes when the node stops.
        let _ = task.await;
    })
}

async fn reload_tls(tls: Arc<TlsIdentity>, name: Arc<str>) {
    loop {
        tokio::time::sleep(TLS_RELOAD_PERIOD).await;
        if let Err(error) = tls.reload_if_changed() {
            events::emit(Event::PeerRefused, &name, &format!("tls_files={error}"));
        }
    }
}

impl RunningNode {
    /// Stops as planned: no new work, every stream finished, leadership and
    /// replicas handed over, departure announced.
    pub async fn drain(self) {
        self.context.draining.store(true, Ordering::Relaxed);
        self.driver.send(Command::Input(Input::Drain));
        let _ = self.stop_callers.send(true);
        let started = Instant::now();
        let mut callers = self.callers;
        loop {
            let Some(status) = self.driver.status().await else {
                break;
            };
            let elapsed = started.elapsed();
            let streams_done = status.node.held == 0 && callers.is_finished();
            let handed_over = status.node.leading.is_empty()
                && (status.node.replicas == 0 || elapsed > HAND_OVER);
            if (streams_done && handed_over) || elapsed > self.drain {
                break;
            }
            tokio::time::sleep(DRAIN_POLL).await;
        }
        let detail = match self.driver.status().await {
            Some(status) => format!(
                "held={} leading={} replicas={} callers_done={}",
                status.node.held,
                status.node.leading.len(),
                status.node.replicas,
                callers.is_finished()
            ),
            None => String::new(),
        };
        callers.abort();
        let _ = (&mut callers).await;
        self.driver.send(Command::Input(Input::Leave));
        tokio::time::sleep(FAREWELL).await;
        stop(self.driver, self.tasks, self.thread);
        events::emit(Event::NodeStopped, &self.name, &detail);
    }

    /// Stops at once, as a crash would: connections break, nothing is handed
    /// over or announced.
    pub fn kill(self) {
        self.callers.abort();
        stop(self.driver, self.tasks, self.thread);
    }
}

fn stop(
    driver: DriverHandle,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    thread: std::thread::JoinHandle<()>,
) {
    for task in tasks {
        task.abort();
    }
    driver.send(Command::Stop);
    // The thread ends at its next command; waiting for it here could block the
    // runtime that it hands its last messages to.
    drop(thread);
}
