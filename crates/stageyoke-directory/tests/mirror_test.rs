//! The mirror against a scripted key-value service.

mod support;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{
    Change, Item, KeyValueError, KeyValueService, Mirror, MirrorEvent, RangePage, Transaction,
    TransactionOutcome, WatchOutcome,
};
use stageyoke_types::Text;
use support::{FAULTY, TestInterpreter};

#[derive(Default)]
struct Script {
    items: RefCell<BTreeMap<String, (Bytes, u64)>>,
    revision: RefCell<u64>,
    watches: RefCell<VecDeque<Result<WatchOutcome, KeyValueError>>>,
    ranges: RefCell<u32>,
    gets: RefCell<u32>,
    down: RefCell<bool>,
}

impl Script {
    fn put(&self, key: &str, value: &str) -> Item {
        let revision = *self.revision.borrow() + 1;
        *self.revision.borrow_mut() = revision;
        let value = Bytes::from(value.to_owned());
        self.items
            .borrow_mut()
            .insert(key.to_owned(), (value.clone(), revision));
        Item {
            key: key.to_owned(),
            value,
            revision,
        }
    }
}

struct Service(Rc<Script>);

impl KeyValueService for Service {
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        *self.0.gets.borrow_mut() += 1;
        tokio::time::sleep(Duration::from_millis(4)).await;
        if *self.0.down.borrow() {
            return Err(KeyValueError::NoAnswer);
        }
        let items = self.0.items.borrow();
        Ok(items.get(key).map(|(value, revision)| Item {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
        }))
    }

    async fn range(&self, _: &str, after: Option<&str>) -> Result<RangePage, KeyValueError> {
        if *self.0.down.borrow() {
            return Err(KeyValueError::Refused);
        }
        *self.0.ranges.borrow_mut() += 1;
        let items = self.0.items.borrow();
        let remaining: Vec<_> = items
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
            .map(|(key, (value, revision))| Item {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            })
            .collect();
        Ok(RangePage {
            more: remaining.len() > 2,
            items: remaining.into_iter().take(2).collect(),
            revision: *self.0.revision.borrow(),
        })
    }

    async fn watch(&self, _: &str, _: u64, wait: Duration) -> Result<WatchOutcome, KeyValueError> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let next = self.0.watches.borrow_mut().pop_front();
        match next {
            Some(outcome) => outcome,
            None => {
                tokio::time::sleep(wait).await;
                Ok(WatchOutcome::Changes {
                    changes: Vec::new(),
                    revision: *self.0.revision.borrow(),
                })
            }
        }
    }

    async fn transact(&self, _: &Transaction) -> Result<TransactionOutcome, KeyValueError> {
        Ok(TransactionOutcome::Conflict)
    }
}

async fn run_mirror(
    script: &Rc<Script>,
    watches: Vec<Result<WatchOutcome, KeyValueError>>,
    span: Duration,
) -> (Mirror<Service, TestInterpreter>, Vec<MirrorEvent>) {
    script.watches.borrow_mut().extend(watches);
    let mirror = Mirror::new(Service(script.clone()), TestInterpreter);
    let mut events = Vec::new();
    let _ = tokio::time::timeout(span, mirror.run(|event| events.push(event))).await;
    (mirror, events)
}

#[tokio::test(start_paused = true)]
async fn all_pages_are_read_before_changes_are_followed() {
    let script = Rc::new(Script::default());
    for id in ["a", "b", "c", "d", "e"] {
        script.put(&format!("replica/{id}"), "service");
    }
    let removed = WatchOutcome::Changes {
        changes: vec![Change::Removed {
            key: "replica/c".to_owned(),
            revision: 6,
        }],
        revision: 6,
    };
    let (mirror, _) = run_mirror(&script, vec![Ok(removed)], Duration::from_secs(1)).await;
    let ids: Vec<String> = mirror.view().replicas.keys().map(Text::to_string).collect();
    assert_eq!(ids, ["a", "b", "d", "e"]);
}

#[tokio::test(start_paused = true)]
async fn lost_history_triggers_a_complete_read_that_drops_removed_replicas() {
    let script = Rc::new(Script::default());
    script.put("replica/a", "service");
    script.put("replica/b", "service");
    let service_script = script.clone();
    let mirror = Mirror::new(Service(script.clone()), TestInterpreter);
    let _ = tokio::time::timeout(Duration::from_millis(50), mirror.run(|_| {})).await;
    service_script.items.borrow_mut().remove("replica/a");
    script
        .watches
        .borrow_mut()
        .push_back(Ok(WatchOutcome::HistoryCompacted));
    let _ = tokio::time::timeout(Duration::from_secs(1), mirror.run(|_| {})).await;
    let ids: Vec<String> = mirror.view().replicas.keys().map(Text::to_string).collect();
    assert_eq!(ids, ["b"]);
}

#[tokio::test(start_paused = true)]
async fn the_configuration_version_never_decreases() {
    let script = Rc::new(Script::default());
    script.put("routes/all", "7");
    let older = Item {
        key: "routes/all".to_owned(),
        value: Bytes::from_static(b"5"),
        revision: 9,
    };
    let outcome = WatchOutcome::Changes {
        changes: vec![Change::Written(older)],
        revision: 9,
    };
    let (mirror, _) = run_mirror(&script, vec![Ok(outcome)], Duration::from_secs(1)).await;
    assert_eq!(mirror.view().routes.as_ref().expect("routes").version, 7);
}

#[tokio::test(start_paused = true)]
async fn an_outage_and_its_end_are_reported_once_each() {
    let script = Rc::new(Script::default());
    script.put("replica/a", "service");
    let failures = vec![
        Err(KeyValueError::NoAnswer),
        Err(KeyValueError::Refused),
        Err(KeyValueError::Throttled),
    ];
    let (mirror, events) = run_mirror(&script, failures, Duration::from_secs(15)).await;
    let outages = events
        .iter()
        .filter(|event| matches!(event, MirrorEvent::Lost(_)))
        .count();
    let recoveries = events
        .iter()
        .filter(|event| matches!(event, MirrorEvent::Regained))
        .count();
    assert_eq!((outages, recoveries), (1, 1));
    assert_eq!(
        mirror.view().replicas.len(),
        1,
        "the view is retained during the outage"
    );
}

#[tokio::test(start_paused = true)]
async fn concurrent_confirmations_share_a_read_that_started_after_them() {
    let script = Rc::new(Script::default());
    script.put("routes/all", "3");
    let mirror = Mirror::new(Service(script.clone()), TestInterpreter);
    let first = mirror.confirm_routes();
    let (one, two, three) = tokio::join!(first, mirror.confirm_routes(), mirror.confirm_routes());
    assert!(one.is_ok() && two.is_ok() && three.is_ok());
    assert_eq!(mirror.view().routes.as_ref().expect("routes").version, 3);
    assert!(
        *script.gets.borrow() <= 2,
        "at most one read besides the first"
    );
    *script.down.borrow_mut() = true;
    assert!(mirror.confirm_routes().await.is_err());
}

/// With a change bound of two seconds, a read confirms the routes for a quarter of it.
#[tokio::test(start_paused = true)]
async fn a_read_confirms_the_routes_for_a_fraction_of_the_bound() {
    let script = Rc::new(Script::default());
    script.put("routes/all", "3");
    let mirror = Mirror::new(Service(script.clone()), TestInterpreter);
    let mirror = mirror.with_change_bound(Duration::from_secs(2));
    for (pause, version, reads) in [(0, 3, 1), (400, 3, 1), (200, 4, 2)] {
        tokio::time::advance(Duration::from_millis(pause)).await;
        mirror.confirm_routes().await.expect("confirmed");
        let view = mirror.view();
        assert_eq!(view.routes.as_ref().expect("routes").version, version);
        assert_eq!(*script.gets.borrow(), reads, "after another {pause} ms");
        script.put("routes/all", "4");
    }
}

/// All processes read the same items, so a panic on one of them would end them all.
#[tokio::test(start_paused = true)]
async fn an_item_that_the_interpreter_panics_on_hides_no_other_one() {
    let script = Rc::new(Script::default());
    script.put("replica/a", "service");
    script.put("replica/b", FAULTY);
    script.put("replica/c", "service");
    let faulty = Change::Written(script.put("routes/all", FAULTY));
    let later = Change::Written(script.put("replica/d", "service"));
    let outcome = WatchOutcome::Changes {
        changes: vec![faulty, later],
        revision: 5,
    };
    let (mirror, events) = run_mirror(&script, vec![Ok(outcome)], Duration::from_secs(1)).await;
    let ids: Vec<String> = mirror.view().replicas.keys().map(Text::to_string).collect();
    assert_eq!(ids, ["a", "c", "d"]);
    let unreadable = |event: &&MirrorEvent| matches!(event, MirrorEvent::Unreadable(_));
    assert!(events.iter().filter(unreadable).count() >= 2);
}
