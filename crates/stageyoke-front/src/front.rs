//! One front process: its parts, and how it starts and stops.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{GroupNumber, Interpreter, KeyValueService, Mirror, Tolerance};
use stageyoke_policy::retry_budget::RetryBudget;
use stageyoke_store::Groups;
use stageyoke_store::directory_relay::StoreRelay;
use stageyoke_store::extension::describe_build;
use stageyoke_store::store_host::log_mirror_event;
use stageyoke_types::{Event, Text};
use tokio::net::TcpListener;

use crate::access::KeyTrust;
use crate::activity::{Activity, Closing};
use crate::beginnings::BegunPrograms;
use crate::bootstrap;
use crate::fleet::Fleet;
use crate::history::History;
use crate::list_report::ListAge;
use crate::memory::MemoryBudget;
use crate::names::Names;
use crate::pace::UsualTimes;
use crate::quota::Quotas;
use crate::server;
use crate::shares::Shares;
use crate::tenant_report::TenantReport;
use stageyoke_observe as observe;

/// A planned stop takes connections and requests this long, until the entry
/// has seen that the front is not ready; then resting connections are closed.
const STOP_LISTENING_AFTER: Duration = Duration::from_millis(2600);
/// Part of the grace that is left for the end of the process.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// A front that has reached no quorum of any store group for this long is not
/// ready.
const UNREADY_AFTER: Duration = Duration::from_millis(600);
const PROBE_PAUSE: Duration = Duration::from_millis(200);
const PROBE_WITHIN: Duration = Duration::from_millis(300);

/// Settings of the role.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Machine name.
    pub node: Text,
    /// Zone.
    pub zone: Text,
    /// Addresses of some stores, for a start while the service is down.
    pub seeds: Vec<String>,
    /// What of the store group may be lost at once.
    pub tolerance: Tolerance,
    /// Time from the order to stop until the process is killed.
    pub grace: Duration,
    /// Time in which a change of the directory must be in force.
    pub change_bound: Duration,
    /// How old the directory may be by which a key is taken; none where keys may end
    /// late while the service is away.
    pub key_age_limit: Option<Duration>,
    /// Memory beyond which the process is killed, in bytes.
    pub memory_bytes: u64,
    /// Whether programs are turned away while engines have no room for them.
    pub admission_control: bool,
    /// Whether fronts tell one another how long engines take.
    pub uneven_engines: bool,
}

/// Where a front is reached.
#[derive(Debug)]
pub struct FrontListeners {
    /// Callers' connections.
    pub callers: TcpListener,
    /// The readiness question.
    pub readiness: TcpListener,
}

impl FrontListeners {
    /// Opens both addresses.
    pub async fn open(callers: SocketAddr, readiness: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            callers: TcpListener::bind(callers).await?,
            readiness: TcpListener::bind(readiness).await?,
        })
    }
}

/// Everything that a front's tasks share.
pub struct Front<S, I> {
    /// Header names and paths.
    pub names: Names,
    /// Zone of this front.
    pub zone: Text,
    /// Routes, replicas and store members.
    pub mirror: Rc<Mirror<S, I>>,
    /// Replicas with what this front has seen of them.
    pub fleet: Fleet,
    /// What answers of plain services take.
    pub usual_times: UsualTimes,
    /// Whether programs are turned away while engines have no room for them.
    pub admission_control: bool,
    /// Programs that have begun.
    pub begun: BegunPrograms,
    /// Requests that may be tried again since their answer has not come.
    pub retry_budget: Cell<RetryBudget>,
    /// Weighted splits.
    pub shares: Shares,
    /// Turns and budgets.
    pub history: Rc<History>,
    /// Whether keys can be told from those that were taken away.
    pub key_trust: KeyTrust,
    /// Tells when the list of replicas is old.
    pub(crate) list_age: ListAge,
    /// Limits of tenants.
    pub quotas: Quotas,
    /// Requests under way.
    pub activity: Activity,
    /// Bytes that they hold.
    pub memory: Rc<MemoryBudget>,
    /// Tells the listeners and connections to close.
    pub closing: Closing,
    draining: Cell<bool>,
    tenant_report: TenantReport,
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Whether a planned stop is under way.
    pub fn draining(&self) -> bool {
        self.draining.get()
    }

    /// Whether new connections are welcome.
    pub fn ready(&self) -> bool {
        let view = self.mirror.view();
        let failing = self.history.stores.all_failing_for();
        let stores_serve = failing.is_none_or(|failing| failing < UNREADY_AFTER);
        view.routes.is_some() && !self.draining() && stores_serve
    }

    /// Looks for the return of store groups while they fail, and for the end of
    /// lapses, which no change of the list may bring.
    async fn watch_groups(&self) {
        let mut told: BTreeSet<GroupNumber> = BTreeSet::new();
        loop {
            tokio::time::sleep(PROBE_PAUSE).await;
            let failing = self.history.stores.failing();
            for group in &failing {
                let number = group.number();
                if told.insert(number) {
                    let failing_for = group.failing_for().unwrap_or_default();
                    let detail = format!("group={} for={failing_for:?}", number.0);
                    observe::event(Event::GroupFailing, &detail);
                }
                let probed = group.clone();
                tokio::task::spawn_local(async move { probed.probe(PROBE_WITHIN).await });
            }
            if self.fleet.has_lapses_over() {
                self.follow();
            }
            told.retain(|number| {
                let fails = failing.iter().any(|group| group.number() == *number);
                if !fails {
                    self.mirror.freshness().note_peers_back();
                    let detail = format!("store group {}", number.0);
                    observe::event(Event::DependencyRegained, &detail);
                }
                fails
            });
        }
    }

    /// Takes up what the view holds now.
    pub(crate) fn follow(&self) {
        let view = self.mirror.view();
        self.fleet.set_groups(view.stores.groups.len());
        self.fleet
            .follow(&view.replicas, self.mirror.entries_back_until());
        let metrics = stageyoke_observe::metrics();
        metrics.replicas.set(view.replicas.len() as i64);
        metrics.members_version.set(view.stores.version as i64);
        if let Some(routes) = &view.routes {
            self.shares.follow(routes);
            for (event, detail) in self.tenant_report.follow(routes) {
                observe::event(event, &detail);
            }
        }
        let version = view.routes.as_ref().map_or(0, |routes| routes.version);
        metrics.routes_version.set(version as i64);
        self.history.stores.follow(&view.stores);
    }
}

/// Serves until `stop` is done, then finishes what is under way. The directory
/// comes from the stores where they can tell it, and from the service otherwise.
pub async fn run<S: KeyValueService + 'static, I: Interpreter + 'static>(
    settings: FrontSettings,
    listeners: FrontListeners,
    names: Names,
    mirror: Mirror<S, I>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let stores = Groups::new(settings.zone.clone(), settings.tolerance.clone());
    let stores = Rc::new(stores.confirming(mirror.freshness().clone()));
    if settings.admission_control {
        stores.load().ranks.tell_others();
    }
    if settings.uneven_engines {
        stores.load().engines.tell_others();
    }
    let relay = StoreRelay::new(stores.clone(), settings.seeds.clone());
    let mirror = Rc::new(mirror.relayed(Rc::new(relay)));
    let front = Rc::new(Front {
        names,
        zone: settings.zone.clone(),
        mirror,
        fleet: Fleet::new(stores.load().clone()),
        usual_times: UsualTimes::default(),
        admission_control: settings.admission_control,
        begun: BegunPrograms::default(),
        retry_budget: Cell::default(),
        shares: Shares::new(rand::random()),
        key_trust: KeyTrust::new(settings.change_bound, settings.key_age_limit),
        list_age: ListAge::within(settings.change_bound),
        quotas: Quotas::new(stores.clone()),
        history: Rc::new(History::new(stores)),
        activity: Activity::default(),
        memory: Rc::new(MemoryBudget::within(settings.memory_bytes)),
        closing: Closing::default(),
        draining: Cell::new(false),
        tenant_report: TenantReport::default(),
    });
    let FrontListeners { callers, readiness } = listeners;
    tokio::task::spawn_local(server::serve_callers(front.clone(), callers));
    tokio::task::spawn_local(server::serve_readiness(front.clone(), readiness));
    let following = front.clone();
    tokio::task::spawn_local(async move {
        let mirror = following.mirror.clone();
        let report = |event| {
            following.follow();
            log_mirror_event(event);
        };
        mirror.run(report).await;
    });
    let watching = front.clone();
    tokio::task::spawn_local(async move { watching.watch_groups().await });
    let seeding = front.clone();
    let seeds = settings.seeds.clone();
    tokio::task::spawn_local(async move {
        bootstrap::run(&seeding.mirror, &seeds).await;
        seeding.follow();
    });
    let detail = format!("node={} {}", settings.node, describe_build());
    observe::event(Event::NodeStarted, &detail);
    stop.await;
    front.draining.set(true);
    let detail = format!("under_way={}", front.activity.count());
    observe::event(Event::NodeDraining, &detail);
    let most = settings.grace.saturating_sub(GRACE_MARGIN);
    let finish = async {
        tokio::time::sleep(STOP_LISTENING_AFTER.min(most)).await;
        front.closing.begin();
        front.activity.idle().await;
    };
    let finished = tokio::time::timeout(most, finish).await.is_ok();
    observe::event(Event::NodeStopped, &format!("finished={finished}"));
    Ok(())
}
