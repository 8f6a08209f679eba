//! What a store concludes from the pages of a peer's digests.

use rstest::rstest;
use stageyoke_store::journal_sync::{DigestPage, JournalSync};
use stageyoke_store::message::JournalPosition;

const HELD: u64 = 7;
const MISSING: u64 = 8;

fn page(digests: &[u64], members_version: u64) -> DigestPage<'_> {
    DigestPage {
        digests,
        next: JournalPosition {
            journal: 1,
            next: digests.len() as u64,
        },
        more: false,
        complete: true,
        members_version,
    }
}

fn compared(page: DigestPage<'_>) -> JournalSync {
    let mut exchange = JournalSync::default();
    exchange.apply_page(page, |digest| digest == HELD);
    exchange.mark_page_end();
    exchange.mark_fetched();
    exchange
}

/// A peer that does not know of a change could still help to keep what stands nowhere
/// else: by today's list only a peer counts that goes by it.
#[rstest]
#[case::by_the_same_list(3, true)]
#[case::by_a_newer_list(4, true)]
#[case::by_an_older_list(2, false)]
fn a_peer_counts_by_the_list_that_it_goes_by(#[case] of_peer: u64, #[case] counts: bool) {
    let exchange = compared(page(&[HELD], of_peer));
    assert!(exchange.is_caught_up());
    assert_eq!(exchange.is_caught_up_at(3), counts);
    assert_eq!(exchange.is_in_sync(3), counts);
}

#[test]
fn nobody_is_caught_up_with_while_something_is_missing() {
    let exchange = compared(page(&[HELD, MISSING], 3));
    assert!(!exchange.is_caught_up_at(3) && !exchange.is_in_sync(3));
}

/// What was seen once holds: a later page by an older list takes nothing back.
#[test]
fn an_older_page_takes_nothing_back() {
    let mut exchange = compared(page(&[HELD], 3));
    exchange.apply_page(page(&[HELD], 2), |_| true);
    exchange.mark_page_end();
    assert!(exchange.is_caught_up_at(3));
}

/// A peer that vouches for nothing is no help, however much it holds.
#[test]
fn an_incomplete_peer_is_no_help() {
    let incomplete = DigestPage {
        complete: false,
        ..page(&[HELD], 3)
    };
    let exchange = compared(incomplete);
    assert!(!exchange.is_caught_up() && !exchange.is_in_sync(3));
}

/// A spare that was complete once never caught up under a newer list while fronts wrote:
/// each page showed a record that it fetched only before the next one. It waited for 13 s
/// (`waits_for=catch_up`) beside a member that was gone.
#[test]
fn a_peer_that_takes_records_all_the_time_is_caught_up_with() {
    let mut exchange = compared(page(&[HELD], 2));
    let mut held = vec![HELD];
    for newest in 10..14 {
        exchange.missing_digests(|digest| held.contains(&digest));
        exchange.mark_fetched();
        let digests = [newest];
        exchange.apply_page(page(&digests, 3), |digest| held.contains(&digest));
        exchange.mark_page_end();
        held.push(newest);
    }
    assert!(exchange.is_caught_up_at(3));
}
