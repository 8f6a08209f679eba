//! What a store concludes from the pages of a peer's digests.

use rstest::rstest;
use stageyoke_store::exchange::{Exchange, Page};
use stageyoke_store::message::JournalPosition;

const HELD: u64 = 7;
const MISSING: u64 = 8;

fn page(digests: &[u64], members_version: u64) -> Page<'_> {
    Page {
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

fn compared(page: Page<'_>) -> Exchange {
    let mut exchange = Exchange::default();
    exchange.take(page, |digest| digest == HELD);
    exchange.note_end();
    exchange.note_fetched();
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
    assert!(exchange.caught_up());
    assert_eq!(exchange.caught_up_under(3), counts);
    assert_eq!(exchange.in_step(3), counts);
}

#[test]
fn nobody_is_caught_up_with_while_something_is_missing() {
    let exchange = compared(page(&[HELD, MISSING], 3));
    assert!(!exchange.caught_up_under(3) && !exchange.in_step(3));
}

/// What was seen once holds: a later page by an older list takes nothing back.
#[test]
fn an_older_page_takes_nothing_back() {
    let mut exchange = compared(page(&[HELD], 3));
    exchange.take(page(&[HELD], 2), |_| true);
    exchange.note_end();
    assert!(exchange.caught_up_under(3));
}

/// A peer that vouches for nothing is no help, however much it holds.
#[test]
fn an_incomplete_peer_is_no_help() {
    let incomplete = Page {
        complete: false,
        ..page(&[HELD], 3)
    };
    let exchange = compared(incomplete);
    assert!(!exchange.caught_up() && !exchange.in_step(3));
}

/// A spare that was complete once never caught up under a newer list while fronts wrote:
/// each page showed a record that it fetched only before the next one. It waited for 13 s
/// (`waits_for=catch_up`) beside a member that was gone.
#[test]
fn a_peer_that_takes_records_all_the_time_is_caught_up_with() {
    let mut exchange = compared(page(&[HELD], 2));
    let mut held = vec![HELD];
    for newest in 10..14 {
        exchange.missing(|digest| held.contains(&digest));
        exchange.note_fetched();
        let digests = [newest];
        exchange.take(page(&digests, 3), |digest| held.contains(&digest));
        exchange.note_end();
        held.push(newest);
    }
    assert!(exchange.caught_up_under(3));
}
