//! A program's ledger holds what its turns may spend, however long they run.

#[allow(dead_code)]
#[path = "support/virtual_store.rs"]
mod virtual_store;

use proptest::prelude::*;
use stageyoke_store::StoredRecord;
use stageyoke_store::keys::TurnKey;
use stageyoke_store::message::Record;
use stageyoke_types::Text;
use virtual_store::VirtualStore;

const MAX_TOKENS: u32 = 45;
const USED_TOKENS: u32 = 9;

struct Turn {
    program: Text,
    name: Text,
    retention: u64,
    deadline: u64,
    ended_at: Option<u64>,
}

impl Turn {
    /// Returns until when a program must find what the turn has spent. One whose front has died
    /// ends at its deadline.
    fn owed_until(&self) -> u64 {
        self.ended_at.unwrap_or(self.deadline) + self.retention
    }
}

/// Begins a turn, whose reservation carries the time that it may take beside the retention.
fn begin(store: &mut VirtualStore, turns: &mut Vec<Turn>, choice: usize, run: u64, retention: u64) {
    let turn = Turn {
        program: Text::from(format!("program-{}", choice % 3)),
        name: Text::from(format!("turn-{}", turns.len())),
        retention,
        deadline: store.now + run,
        ended_at: None,
    };
    let record = Record::Reserve {
        program: turn.program.clone(),
        turn: turn.name.clone(),
        max_tokens: MAX_TOKENS,
    };
    let seconds = u32::try_from(retention + run).expect("seconds");
    store.write(StoredRecord::new(record, Some(seconds)));
    turns.push(turn);
}

fn settle(store: &mut VirtualStore, turns: &mut [Turn], choice: usize) {
    let now = store.now;
    let running = turns
        .iter_mut()
        .filter(|turn| turn.ended_at.is_none() && now <= turn.deadline);
    let mut running: Vec<&mut Turn> = running.collect();
    if running.is_empty() {
        return;
    }
    let index = choice % running.len();
    let turn = &mut running[index];
    let record = Record::Settle {
        program: turn.program.clone(),
        turn: turn.name.clone(),
        used_tokens: USED_TOKENS,
    };
    let seconds = u32::try_from(turn.retention).expect("seconds");
    store.write(StoredRecord::new(record, Some(seconds)));
    turn.ended_at = Some(now);
}

fn check(store: &VirtualStore, turns: &[Turn]) {
    for turn in turns.iter().filter(|turn| store.now < turn.owed_until()) {
        let TurnKey(key) = TurnKey::of(&turn.name);
        let ledger = store.state.ledger_entries(&turn.program);
        let entry = ledger.iter().find(|entry| entry.turn == key);
        let expected = match turn.ended_at {
            Some(_) => USED_TOKENS,
            None => MAX_TOKENS,
        };
        let amount = entry.map(|entry| entry.amount);
        assert_eq!(amount, Some(expected), "{} at {}", turn.name, store.now);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Begin(usize, u64, u64),
    Settle(usize),
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let run = prop_oneof![Just(4_u64), Just(30), Just(120), Just(400)];
    let retention = prop_oneof![Just(1_u64), Just(20), Just(60), Just(600)];
    let step = prop_oneof![
        4 => (1_u64..60).prop_map(Step::Advance),
        4 => (any::<usize>(), run, retention)
            .prop_map(|(choice, run, retention)| Step::Begin(choice, run, retention)),
        3 => any::<usize>().prop_map(Step::Settle),
        1 => Just(Step::Restart),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against a budget that is given again while turns run or shortly after, in any order of
    /// reservations, settlements, fronts that die, expiry and restarts.
    #[test]
    fn a_ledger_holds_each_turn_until_its_retention_after_its_end(steps in steps()) {
        let mut store = VirtualStore::new();
        let mut turns = Vec::new();
        for step in steps {
            match step {
                Step::Advance(seconds) => store.now += seconds,
                Step::Begin(choice, run, retention) => {
                    begin(&mut store, &mut turns, choice, run, retention);
                }
                Step::Settle(choice) => settle(&mut store, &mut turns, choice),
                Step::Restart => store.restart(),
            }
            store.expire();
            check(&store, &turns);
        }
    }
}
