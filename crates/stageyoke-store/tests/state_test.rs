//! In-memory state of a store: turn chains, ledgers, digests and expiry.

use stageyoke_directory::{DirectoryMark, GroupNumber};
use stageyoke_store::extension::ExtensionFields;
use stageyoke_store::frame::{self, EncodedMessage};
use stageyoke_store::keys::TurnKey;
use stageyoke_store::membership_state::PeerStatus;
use stageyoke_store::message::{
    JournalPosition, LedgerEntry, Numbered, Record, Reply, Request, TurnRecord,
};
use stageyoke_store::segment::RecordLocation;
use stageyoke_store::state::{ChainLink, StoreState};
use stageyoke_store::{LedgerView, StoredRecord};
use stageyoke_types::{Blob, Text};

const RETENTION_SECONDS: u32 = 60;
const AFTER_RETENTION_SECONDS: u64 = 1_000;

const COMPLETE_PEER: PeerStatus = PeerStatus {
    complete: true,
    members_version: 1,
};

fn turn(name: &str, previous: &str) -> Record {
    Record::Turn(TurnRecord {
        turn: Text::from(name),
        program: Text::from("program"),
        previous: Text::from(previous),
        input: Blob::from(format!("ask {name}\n").into_bytes()),
        output: Blob::from(format!("say {name}\n").into_bytes()),
        used_tokens: 10,
        retention_seconds: RETENTION_SECONDS,
    })
}

fn reserve(turn: &str, max_tokens: u32) -> Record {
    Record::Reserve {
        program: Text::from("program"),
        turn: Text::from(turn),
        max_tokens,
    }
}

fn settle(turn: &str, used_tokens: u32) -> Record {
    Record::Settle {
        program: Text::from("program"),
        turn: Text::from(turn),
        used_tokens,
    }
}

fn chain(state: &StoreState, turn: &str) -> (Vec<String>, String) {
    let steps = state.chain(&Text::from(turn), usize::MAX);
    let parts = steps.iter().map(|step| match step {
        ChainLink::Cached(part) => part,
        ChainLink::OnDisk(location) => panic!("{location:?} is not cached"),
    });
    let parts: Vec<_> = parts.collect();
    let missing = parts.last().map_or(turn, |part| part.previous.as_str());
    let turns = parts.iter().map(|part| part.turn.to_string()).collect();
    (turns, missing.to_owned())
}

/// Returns a record location that differs by its offset.
fn location(number: u32) -> RecordLocation {
    RecordLocation {
        segment: 1,
        offset: number,
        length: 1,
    }
}

#[test]
fn a_chain_is_read_back_to_its_start_or_to_a_missing_turn() {
    let mut state = StoreState::new(1);
    state.add(&turn("one", "").into(), location(0), 0);
    state.add(&turn("two", "one").into(), location(0), 0);
    state.add(&turn("four", "three").into(), location(0), 0);
    assert_eq!(
        chain(&state, "two"),
        (vec!["two".into(), "one".into()], String::new())
    );
    assert_eq!(chain(&state, "four"), (vec!["four".into()], "three".into()));
    assert_eq!(chain(&state, "none"), (vec![], "none".into()));
}

#[test]
fn a_settlement_replaces_its_reservation_in_any_order() {
    let mut state = StoreState::new(1);
    state.add(&reserve("a", 100).into(), location(0), 0);
    state.add(&settle("a", 30).into(), location(0), 0);
    state.add(&settle("b", 20).into(), location(0), 0);
    state.add(&reserve("b", 100).into(), location(0), 0);
    let entries = state.ledger_entries("program");
    let amounts: Vec<(u32, bool)> = entries
        .iter()
        .map(|entry| (entry.amount, entry.settled))
        .collect();
    assert_eq!(amounts, [(30, true), (20, true)]);
}

/// Guards against an order that is told although a restart or a refill may have changed it.
#[test]
fn the_order_of_ledger_entries_is_told_only_while_it_is_certain() {
    let mut state = StoreState::new(1);
    for turn in ["a", "b", "c"] {
        state.add(&reserve(turn, 100).into(), location(0), 0);
    }
    state.add(&settle("c", 30).into(), location(0), 0);
    let later = |state: &StoreState, turn| state.later_ledger_entries("program", TurnKey::of(turn));
    assert_eq!(later(&state, "a"), 2);
    assert_eq!(later(&state, "c"), 0);
    assert_eq!(later(&state, "unknown"), 0);
    state.forget_entry_order();
    state.add(&reserve("d", 100).into(), location(0), 0);
    assert_eq!(later(&state, "a"), 1, "only d surely came after it");
    assert_eq!(later(&state, "d"), 0);
}

#[test]
fn merged_ledgers_prefer_settlements_over_reservations() {
    let entry = |turn: &str, amount, settled| LedgerEntry {
        turn: TurnKey::of(turn).0,
        amount,
        settled,
    };
    let mut view = LedgerView::default();
    view.merge([entry("a", 100, false), entry("b", 5, true)]);
    view.merge([
        entry("a", 30, true),
        entry("b", 100, false),
        entry("c", 7, false),
    ]);
    assert_eq!(view.total_excluding("none"), 42);
    assert_eq!(view.total_excluding("c"), 35);
}

/// Guards against a granted turn that is rejected for tokens which a sibling has given back.
#[test]
fn settlements_that_were_known_before_still_count() {
    let entry = |turn: &str, amount, settled| LedgerEntry {
        turn: TurnKey::of(turn).0,
        amount,
        settled,
    };
    let mut received = LedgerView::default();
    received.merge([
        entry("a", 30, true),
        entry("b", 100, false),
        entry("c", 7, true),
    ]);
    let mut stored = LedgerView::default();
    stored.merge([entry("a", 100, false), entry("b", 50, true)]);
    stored.merge_settlements(&received);
    assert_eq!(
        stored.total_excluding("none"),
        80,
        "c came later at all stores"
    );
}

#[test]
fn digests_identify_the_records_that_another_store_lacks() {
    let mut from = StoreState::new(1);
    let mut to = StoreState::new(2);
    let records = [turn("one", ""), reserve("r", 9), settle("s", 3)];
    for (number, record) in (0..).zip(&records) {
        from.add(&record.clone().into(), location(number), 0);
    }
    to.add(&records[1].clone().into(), location(0), 0);
    let Reply::Digests {
        digests,
        next,
        more,
        ..
    } = from.digests_reply(
        JournalPosition::default(),
        COMPLETE_PEER,
        DirectoryMark::default(),
    )
    else {
        panic!("expected digests");
    };
    assert!(!more);
    assert_eq!(next, from.journal_end());
    let missing: Vec<u64> = digests
        .iter()
        .copied()
        .filter(|digest| !to.holds(*digest))
        .collect();
    assert_eq!(from.locations(&missing), [location(0), location(2)]);
    let Reply::Digests { digests, .. } =
        from.digests_reply(next, COMPLETE_PEER, DirectoryMark::default())
    else {
        panic!("expected digests");
    };
    assert!(digests.is_empty(), "nothing new after the end");
}

#[test]
fn a_position_in_another_journal_restarts_the_comparison() {
    let mut state = StoreState::new(8);
    state.add(&turn("one", "").into(), location(0), 0);
    let position = JournalPosition {
        journal: 9,
        next: 1,
    };
    let Reply::Digests { digests, .. } =
        state.digests_reply(position, COMPLETE_PEER, DirectoryMark::default())
    else {
        panic!("expected digests");
    };
    assert_eq!(digests.len(), 1);
}

#[test]
fn a_chain_is_retained_as_long_as_its_youngest_turn() {
    let mut state = StoreState::new(1);
    state.add(&turn("one", "").into(), location(0), 0);
    state.add(&turn("old", "").into(), location(0), 0);
    state.add(
        &turn("two", "one").into(),
        location(0),
        AFTER_RETENTION_SECONDS,
    );
    let rewritten = state.expire(
        vec![turn("one", "").into(), turn("old", "").into()],
        AFTER_RETENTION_SECONDS,
    );
    let settled = StoredRecord::new(settle("old", 10), Some(RETENTION_SECONDS));
    assert_eq!(
        rewritten,
        [turn("one", "").into(), settled],
        "a younger turn continues the first; the program still counts the other"
    );
    for record in &rewritten {
        state.add(record, location(0), AFTER_RETENTION_SECONDS);
    }
    assert_eq!(
        chain(&state, "two"),
        (vec!["two".into(), "one".into()], String::new())
    );
    assert_eq!(chain(&state, "old"), (vec![], "old".into()));
}

/// Requests to several members share one encoded content.
#[test]
fn content_encoded_once_gives_the_same_frame_as_the_message() {
    let content = Request::Append {
        group: GroupNumber(0),
        members_version: 3,
        load: Default::default(),
        placement: None,
        record: turn("one", ""),
    };
    let encoded = EncodedMessage::encode(&content);
    for number in [0, 1, u64::MAX] {
        let content = content.clone();
        let expected = frame::encode(&Numbered { number, content });
        assert_eq!(
            encoded.frame(number, &ExtensionFields::default()).to_vec(),
            expected
        );
    }
}
