//! A front sent requests to a replica that had left, 12 s after its entry had gone,
//! where 2 s are allowed. It had been cut off from everything for 10 s, and was back
//! for 3 s. Why it could: one of a service's three entries gone at once counted as a
//! lapse, entries that had run out while the key-value service was away, and a replica
//! that lapsed is used for half of the bound from when the front learns of it. Nobody
//! looked at whether the service had been away at all: a front that was cut off took
//! its own silence for the service's, and fronts that were never cut off did the same
//! while the service answered all along. So learning late and using longer add up,
//! and nothing bounds the sum.
//!
//! What settled it, at a front that was cut off from 6.0 s to 17.0 s and one that was
//! not, while one of three replicas left at 8.0 s:
//!
//! ```text
//! 17.9389 front-dar-hall-c-2 ReplicasLapsed service=cura67b left=1 of=3
//! 18.5987 front-dar-hall-c-2 RequestEnded attempts=i-ffc1d4bc97=no_answer (the replica that left)
//!  8.0659 front-dar-hall-b-3 ReplicasLapsed service=xano55b left=1 of=3
//! ```

#[path = "support/list.rs"]
mod list;
mod support;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use list::Words;
use stageyoke_directory::{
    Change, Item, KeyValueError, KeyValueService, Mirror, RangePage, Transaction,
    TransactionOutcome, WatchOutcome,
};
use stageyoke_front::{FrontListeners, FrontSettings};
use stageyoke_types::Text;
use support::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Time in which a change of the list must be in force.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// Longer than an answer may take, so that the front knows that it hears nothing.
const CUT_OFF_FOR: Duration = Duration::from_millis(2_500);
/// A front has the list at once when it is told; requests sent before it was may
/// still be on their way.
const ON_THEIR_WAY: Duration = Duration::from_millis(100);
/// Only reached where a test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// A service of three entries, one of which goes.
#[derive(Default)]
struct Service {
    replicas: Vec<SocketAddr>,
    silent: Cell<bool>,
    left: Cell<Option<usize>>,
    told_at: Cell<Option<Instant>>,
}

const FIRST_REVISION: u64 = 1;
const LEFT_REVISION: u64 = 2;

impl Service {
    fn revision(&self) -> u64 {
        match self.left.get() {
            Some(_) => LEFT_REVISION,
            None => FIRST_REVISION,
        }
    }

    async fn answer(&self) -> Result<(), KeyValueError> {
        match self.silent.get() {
            true => std::future::pending().await,
            false => Ok(()),
        }
    }
}

#[derive(Clone)]
struct Link(Rc<Service>);

impl KeyValueService for Link {
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        self.0.answer().await?;
        Ok((key == "routes").then(|| item("routes", "")))
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<RangePage, KeyValueError> {
        self.0.answer().await?;
        let mut items = vec![item("routes", "")];
        for (number, address) in self.0.replicas.iter().enumerate() {
            items.push(item(&key_of(number), &address.to_string()));
        }
        Ok(RangePage {
            items,
            more: false,
            revision: FIRST_REVISION,
        })
    }

    async fn watch(&self, _: &str, after: u64, _: Duration) -> Result<WatchOutcome, KeyValueError> {
        self.0.answer().await?;
        let mut changes = Vec::new();
        if let Some(number) = self.0.left.get()
            && after < LEFT_REVISION
        {
            changes.push(Change::Removed {
                key: key_of(number),
                revision: LEFT_REVISION,
            });
            self.0.told_at.set(Some(Instant::now()));
        }
        let revision = self.0.revision();
        Ok(WatchOutcome::Changes { changes, revision })
    }

    async fn transact(&self, _: &Transaction) -> Result<TransactionOutcome, KeyValueError> {
        Err(KeyValueError::Refused)
    }
}

fn key_of(replica: usize) -> String {
    format!("replica-{replica}")
}

fn item(key: &str, value: &str) -> Item {
    Item {
        key: key.to_owned(),
        value: Bytes::from(value.to_owned()),
        revision: FIRST_REVISION,
    }
}

/// A replica that answers everything, and remembers when it was asked.
struct Replica {
    address: SocketAddr,
    asked_at: Rc<RefCell<Vec<Instant>>>,
}

impl Replica {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let asked_at: Rc<RefCell<Vec<Instant>>> = Rc::default();
        let asked = asked_at.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(answer_all(stream, asked.clone()));
            }
        });
        Self { address, asked_at }
    }

    fn was_asked(&self) -> bool {
        !self.asked_at.borrow().is_empty()
    }

    fn asked_after(&self, moment: Instant) -> usize {
        let asked_at = self.asked_at.borrow();
        asked_at.iter().filter(|at| **at > moment).count()
    }
}

async fn answer_all(mut stream: TcpStream, asked_at: Rc<RefCell<Vec<Instant>>>) {
    while let Some(head) = read_head(&mut stream).await {
        asked_at.borrow_mut().push(Instant::now());
        let identifier = head.lines().find_map(|line| line.strip_prefix("id: "));
        let identifier = identifier.unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nid: {identifier}\r\nsigned: s\r\nContent-Length: 4\r\n\r\nbody"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte).await {
            Ok(1) => bytes.push(byte[0]),
            Ok(_) | Err(_) => return None,
        }
    }
    String::from_utf8(bytes).ok()
}

/// A front before three replicas.
struct Running {
    service: Rc<Service>,
    replicas: Vec<Replica>,
    front: SocketAddr,
    next_request: Cell<u32>,
}

impl Running {
    async fn start() -> Self {
        let replicas = vec![
            Replica::start().await,
            Replica::start().await,
            Replica::start().await,
        ];
        let service = Rc::new(Service {
            replicas: replicas.iter().map(|replica| replica.address).collect(),
            ..Service::default()
        });
        let mirror = Mirror::new(Link(service.clone()), Words).with_change_bound(CHANGE_BOUND);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listeners = FrontListeners::open(any, any).await.expect("listeners");
        let front = listeners.callers.local_addr().expect("address");
        let settings = FrontSettings {
            node: Text::from("front"),
            zone: Text::from("zone"),
            seeds: Vec::new(),
            tolerance: Default::default(),
            grace: Duration::from_secs(8),
            change_bound: CHANGE_BOUND,
            key_age_limit: None,
            memory_bytes: 100_000_000,
            admission_control: false,
            heterogeneous_engines: false,
        };
        let never = std::future::pending();
        tokio::task::spawn_local(stageyoke_front::run(
            settings,
            listeners,
            names(),
            mirror,
            never,
        ));
        Self {
            service,
            replicas,
            front,
            next_request: Cell::new(0),
        }
    }

    /// One request on a connection of its own; true if it was served.
    async fn request(&self) -> bool {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        let exchange = async {
            let mut stream = TcpStream::connect(self.front).await.ok()?;
            let request = format!(
                "GET /safe/x HTTP/1.1\r\nHost: host\r\nid: r{number}\r\ndeadline: 1000\r\n\
                 Connection: close\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            Some(answer.starts_with("HTTP/1.1 200"))
        };
        let outcome = tokio::time::timeout(PATIENCE, exchange).await;
        outcome.expect("an answer").unwrap_or(false)
    }

    async fn request_until(&self, done: impl Fn() -> bool) {
        let began = Instant::now();
        while !done() {
            assert!(began.elapsed() < PATIENCE, "it never came");
            self.request().await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn request_for(&self, span: Duration) {
        let until = Instant::now() + span;
        self.request_until(|| Instant::now() >= until).await;
    }

    fn any_asked(&self) -> bool {
        self.replicas.iter().any(Replica::was_asked)
    }

    /// The replica that the front prefers leaves.
    fn leave(&self) {
        let preferred = self.replicas.iter().position(Replica::was_asked);
        self.service.left.set(preferred);
    }

    /// Requests that reach the replica that left after the front was told.
    async fn asked_after_told(&self) -> usize {
        self.request_until(|| self.service.told_at.get().is_some())
            .await;
        let told_at = self.service.told_at.get().expect("told");
        self.request_for(CHANGE_BOUND).await;
        let left = self.service.left.get().expect("one left");
        self.replicas[left].asked_after(told_at + ON_THEIR_WAY)
    }
}

async fn local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// The front's own silence is no outage of the service.
#[tokio::test]
async fn a_front_that_was_cut_off_takes_the_list_as_told() {
    local(async {
        let running = Running::start().await;
        running.request_until(|| running.any_asked()).await;
        running.service.silent.set(true);
        running.request_for(CUT_OFF_FOR / 2).await;
        running.leave();
        running.request_for(CUT_OFF_FOR / 2).await;
        running.service.silent.set(false);
        assert_eq!(running.asked_after_told().await, 0);
    })
    .await;
}

/// An entry that goes while the service answers has not run out for want of it.
#[tokio::test]
async fn a_replica_that_leaves_while_the_service_answers_gets_nothing_more() {
    local(async {
        let running = Running::start().await;
        running.request_until(|| running.any_asked()).await;
        running.leave();
        assert_eq!(running.asked_after_told().await, 0);
    })
    .await;
}
