//! A turn is stored with the chain that it continues, and both are retained together.

#[allow(dead_code)]
#[path = "support/running_store.rs"]
mod running_store;
mod support;
#[path = "support/virtual_store.rs"]
mod virtual_store;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use running_store::{Store, store_groups};
use stageyoke_directory::Tolerance;
use stageyoke_store::keys::TurnKey;
use stageyoke_store::message::{ChainPart, Record, TurnRecord};
use stageyoke_store::turn_chains::copies_of;
use stageyoke_store::{ChainOutcome, GroupClients, GroupError};
use stageyoke_types::{Blob, Text};
use support::turn;
use tokio::task::LocalSet;
use virtual_store::{VirtualStore, part_of};

const TIMEOUT: Duration = Duration::from_secs(20);

async fn run_local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

fn turn_record(name: &str, previous: &str) -> TurnRecord {
    match turn(name, previous) {
        Record::Turn(record) => record,
        _ => unreachable!("a turn"),
    }
}

async fn start_group(count: usize, complete: bool) -> (Vec<Store>, Rc<GroupClients>) {
    let mut stores = Vec::new();
    for number in 0..count {
        stores.push(Store::start(number, complete).await);
    }
    let members = store_groups(&stores);
    for store in &stores {
        store.local_store.set_stores(members.clone());
    }
    let tolerance = Tolerance::of_machines(usize::from(count > 1));
    let group = Rc::new(GroupClients::new(Text::from("zone"), tolerance));
    group.update_stores(&members);
    (stores, group)
}

/// Guards against a turn that is answered as whole although its chain can't be held.
#[tokio::test]
async fn a_turn_is_not_stored_without_its_chain() {
    run_local(async {
        let (_stores, group) = start_group(3, true).await;
        let second = turn_record("two", "one");
        let stored = group.append_turn(&second, &[], TIMEOUT).await;
        assert_eq!(stored, Err(GroupError::IncompleteChain));
        let chain = [part_of(&turn_record("one", ""))];
        let stored = group.append_turn(&second, &chain, TIMEOUT).await;
        assert_eq!(stored, Ok(()));
        let read = group.chain("program", &second.turn, TIMEOUT, |_| true);
        let ChainOutcome::Complete(parts) = read.await else {
            panic!("the chain is incomplete");
        };
        assert_eq!(parts, [part_of(&second), chain[0].clone()]);
    })
    .await;
}

/// Copies of turns must not count against the budget of the program that continues them.
#[tokio::test]
async fn copies_of_turns_change_no_ledger() {
    run_local(async {
        let (_stores, group) = start_group(3, true).await;
        let chain = [
            part_of(&turn_record("one", "")),
            part_of(&turn_record("two", "one")),
        ];
        let third = turn_record("three", "two");
        let stored = group.append_turn(&third, &chain, TIMEOUT).await;
        assert_eq!(stored, Ok(()));
        let reservation = Record::Reserve {
            program: third.program.clone(),
            turn: Text::from("four"),
            max_tokens: 5,
        };
        let ledger = group.append(reservation, TIMEOUT).await.expect("stored");
        assert_eq!(ledger.turns(), 2);
        assert_eq!(ledger.total_excluding("four"), u64::from(third.used_tokens));
    })
    .await;
}

/// A store that is being filled gets the chain from its peers; fronts need not send it too.
#[tokio::test]
async fn a_store_that_is_being_filled_asks_for_no_copies() {
    run_local(async {
        let (stores, group) = start_group(1, false).await;
        let second = turn_record("two", "one");
        let stored = group.append_turn(&second, &[], TIMEOUT).await;
        assert_eq!(stored, Ok(()));
        assert_eq!(stores[0].local_store.journal_end().next, 1);
    })
    .await;
}

struct ModelTurn {
    record: TurnRecord,
    chain: Vec<ChainPart>,
    ended_at: Option<u64>,
}

/// A store in virtual time, and the turns that fronts run.
struct Model {
    store: VirtualStore,
    turns: Vec<ModelTurn>,
}

impl Model {
    fn new() -> Self {
        Self {
            store: VirtualStore::new(),
            turns: Vec::new(),
        }
    }

    fn is_owed(&self, turn: &ModelTurn) -> bool {
        let retention = u64::from(turn.record.retention_seconds);
        turn.ended_at
            .is_some_and(|at| self.store.now < at + retention)
    }

    /// Begins a turn that goes on from one that is retained, if there is one.
    fn begin(&mut self, choice: usize, retention_seconds: u32) {
        let owed: Vec<&ModelTurn> = self
            .turns
            .iter()
            .filter(|turn| self.is_owed(turn))
            .collect();
        let previous = match owed.is_empty() || choice.is_multiple_of(5) {
            true => Text::default(),
            false => owed[choice % owed.len()].record.turn.clone(),
        };
        let chain = match previous.is_empty() {
            true => Vec::new(),
            false => self.store.read(&previous),
        };
        let name = format!("turn-{}", self.turns.len());
        let record = TurnRecord {
            program: Text::from(format!("program-{}", choice % 3)),
            input: Blob::from(name.clone().into_bytes()),
            retention_seconds,
            ..turn_record(&name, &previous)
        };
        self.turns.push(ModelTurn {
            record,
            chain,
            ended_at: None,
        });
    }

    /// Ends a running turn: its front stores it, and copies of what is missing of its chain.
    fn end(&mut self, choice: usize) {
        let running: Vec<usize> = (0..self.turns.len())
            .filter(|index| self.turns[*index].ended_at.is_none())
            .collect();
        let Some(index) = running.get(choice % running.len().max(1)).copied() else {
            return;
        };
        let (record, chain) = (
            self.turns[index].record.clone(),
            self.turns[index].chain.clone(),
        );
        let key = TurnKey::of(&record.turn);
        self.store.write(Record::Turn(record.clone()).into());
        if let Some(missing) = self.store.state.missing_of_chain(key) {
            let missing = BTreeSet::from([missing]);
            let copies = copies_of(&chain, &missing, record.retention_seconds);
            for copy in copies.expect("a front holds the chain of a running turn") {
                if !self.store.state.has_turn(&copy.turn) {
                    self.store.write(Record::Turn(copy).into());
                }
            }
        }
        self.store
            .state
            .retain_chain(key, record.retention_seconds, self.store.clock());
        self.turns[index].ended_at = Some(self.store.now);
    }

    fn check(&self) {
        for turn in self.turns.iter().filter(|turn| self.is_owed(turn)) {
            let mut expected = turn.chain.clone();
            expected.push(part_of(&turn.record));
            assert_eq!(
                self.store.read(&turn.record.turn),
                expected,
                "at {}",
                self.store.now
            );
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Begin(usize, u32),
    End(usize),
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let retention = prop_oneof![Just(1_u32), Just(8), Just(30), Just(100)];
    let step = prop_oneof![
        4 => (1_u64..40).prop_map(Step::Advance),
        4 => (any::<usize>(), retention).prop_map(|(choice, seconds)| Step::Begin(choice, seconds)),
        4 => any::<usize>().prop_map(Step::End),
        1 => Just(Step::Restart),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against chains that expire before a turn that continues them, in any order of turns
    /// that run for long, of different retentions, of expiry and restarts.
    #[test]
    fn a_chain_is_readable_as_long_as_any_turn_that_continues_it(steps in steps()) {
        let mut model = Model::new();
        for step in steps {
            match step {
                Step::Advance(seconds) => model.store.now += seconds,
                Step::Begin(choice, retention) => model.begin(choice, retention),
                Step::End(choice) => model.end(choice),
                Step::Restart => model.store.restart(),
            }
            model.store.expire();
            model.check();
        }
    }
}
