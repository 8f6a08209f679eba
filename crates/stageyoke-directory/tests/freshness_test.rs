//! The age of the directory, against a service whose watches are dead: they
//! neither answer nor end. Only calls that don't wait are answered, and these
//! too not while it is silent.

#[path = "support/service.rs"]
mod service;
mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use service::{Link, Service};
use stageyoke_directory::{DirectoryMark, Mirror, MirrorEvent};
use support::Words;
use tokio::time::Instant;

const BOUND: Duration = Duration::from_secs(2);

type TestMirror = Rc<Mirror<Link, Words>>;

/// A mirror that follows the service, whose events are kept.
struct Running {
    service: Rc<Service>,
    mirror: TestMirror,
    events: Rc<RefCell<Vec<MirrorEvent>>>,
}

impl Running {
    fn start(mirror: Mirror<Link, Words>, service: Rc<Service>) -> Self {
        let running = Self {
            service,
            mirror: Rc::new(mirror),
            events: Rc::default(),
        };
        let (mirror, events) = (running.mirror.clone(), running.events.clone());
        tokio::task::spawn_local(async move {
            mirror.run(|event| events.borrow_mut().push(event)).await;
        });
        running
    }

    fn front() -> Self {
        let service = Rc::new(Service::default());
        service.version.set(1);
        let mirror = Mirror::new(Link(service.clone()), Words).with_change_bound(BOUND);
        Self::start(mirror, service)
    }

    fn store() -> Self {
        let service = Rc::new(Service::default());
        service.version.set(1);
        let mirror = Mirror::with_item_cache(Link(service.clone()), Words).with_change_bound(BOUND);
        Self::start(mirror, service)
    }

    fn version(&self) -> u64 {
        let view = self.mirror.view();
        view.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// Requests at a steady pace for a time.
    async fn use_for(&self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.mirror.freshness().ensure_fresh().await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn told(&self, wanted: impl Fn(&MirrorEvent) -> bool) -> usize {
        let events = self.events.borrow();
        events.iter().filter(|event| wanted(event)).count()
    }
}

async fn local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Whatever the moment of the change, a front that is used goes by it within
/// the bound, though its watch is dead.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_dead_watch_hides_no_change_beyond_the_bound(
    #[values(0, 300, 700, 1100, 1190, 1210, 1500, 2300)] offset: u64,
) {
    local(async {
        let running = Running::front();
        running.use_for(Duration::from_millis(100 + offset)).await;
        assert_eq!(running.version(), 1);
        running.service.version.set(2);
        running.use_for(BOUND.mul_f64(0.7)).await;
        assert_eq!(running.version(), 2);
    })
    .await;
}

/// The service answers nobody for a while and closes nothing. Once it answers
/// again, the directory is young again within less than the bound, whatever
/// was under way at that moment; the outage and its end are told once each.
#[rstest]
#[tokio::test(start_paused = true)]
async fn after_a_silence_the_directory_is_young_within_the_bound(
    #[values(50, 400, 900, 1300, 2100, 3500, 3900, 4700, 9300)] silence: u64,
) {
    local(async {
        let running = Running::front();
        running.use_for(Duration::from_millis(900)).await;
        running.service.silent.set(true);
        running.use_for(Duration::from_millis(silence)).await;
        running.service.silent.set(false);
        running.service.version.set(2);
        running.use_for(BOUND.mul_f64(0.95)).await;
        assert_eq!(running.version(), 2);
        let lost = running.told(|event| matches!(event, MirrorEvent::Lost(_)));
        let regained = running.told(|event| *event == MirrorEvent::Regained);
        assert_eq!(lost, regained);
        assert!(lost <= 1);
        assert!(lost == 1 || silence < 2000, "a long silence is told");
    })
    .await;
}

/// What nobody acts on may age: an idle front asks nothing. Its next request
/// waits for an answer rather than act on an old directory.
#[tokio::test(start_paused = true)]
async fn an_idle_front_asks_nothing_and_its_next_request_waits_for_an_answer() {
    local(async {
        let running = Running::front();
        running.use_for(Duration::from_millis(100)).await;
        tokio::time::sleep(Duration::from_secs(10)).await;
        let asked = running.service.asked.get();
        running.service.version.set(2);
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert_eq!(running.service.asked.get(), asked, "idle");
        assert_eq!(running.version(), 1);
        running.mirror.freshness().ensure_fresh().await;
        assert_eq!(running.version(), 2);
    })
    .await;
}

/// A request waits for an answer no longer than the limits say, and not at all
/// while the service is known to be unreachable.
#[tokio::test(start_paused = true)]
async fn a_request_is_not_held_by_an_unreachable_service() {
    local(async {
        let running = Running::front();
        running.use_for(Duration::from_millis(100)).await;
        running.service.silent.set(true);
        tokio::time::sleep(Duration::from_secs(30)).await;
        let limits = running.mirror.freshness().limits();
        for most in [limits.answer_timeout, Duration::ZERO] {
            let began = Instant::now();
            running.mirror.freshness().ensure_fresh().await;
            assert!(began.elapsed() <= most + Duration::from_millis(2));
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
    })
    .await;
}

/// A store's directory is in use at all times: it stays young without requests.
#[tokio::test(start_paused = true)]
async fn a_store_keeps_its_directory_young() {
    local(async {
        let running = Running::store();
        tokio::time::sleep(Duration::from_millis(100)).await;
        for _ in 0..50 {
            tokio::time::sleep(Duration::from_millis(170)).await;
            let age = running.mirror.freshness().age().expect("heard");
            assert!(age < BOUND.mul_f64(0.7), "{age:?}");
        }
        let waits = running.service.waits.borrow();
        let watches = waits.iter().filter(|wait| !wait.is_zero()).count();
        assert_eq!(watches, 1, "a watch that misses nothing is left pending");
    })
    .await;
}

/// Marks of others spare calls; one of a process that has seen more doesn't
/// make this directory young.
#[rstest]
#[case::as_new(1, 200, true)]
#[case::older_view(1, 3000, false)]
#[case::has_seen_more(2, 200, false)]
#[case::knows_nothing(0, 0, false)]
#[tokio::test(start_paused = true)]
async fn what_others_confirm_is_not_asked_for(
    #[case] last_change: u64,
    #[case] age_milliseconds: u32,
    #[case] spared: bool,
) {
    local(async {
        let running = Running::front();
        running.use_for(Duration::from_millis(100)).await;
        let asked = running.service.asked.get();
        let mark = DirectoryMark {
            last_change,
            age_milliseconds,
        };
        for _ in 0..10 {
            running.use_for(Duration::from_millis(500)).await;
            running
                .mirror
                .freshness()
                .apply_peer_mark(mark, Instant::now());
        }
        assert_eq!(running.service.asked.get() == asked, spared);
    })
    .await;
}
