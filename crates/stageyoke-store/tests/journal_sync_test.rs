//! Progress of the comparison with a peer's journal, one page of digests at a time.

use rstest::rstest;
use stageyoke_store::journal_sync::{DigestPage, JournalSync};
use stageyoke_store::message::JournalPosition;

const HELD_DIGEST: u64 = 7;
const MISSING_DIGEST: u64 = 8;

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

fn sync_after_page(page: DigestPage<'_>) -> JournalSync {
    let mut sync = JournalSync::default();
    sync.apply_page(page, |digest| digest == HELD_DIGEST);
    sync.mark_page_end();
    sync.mark_fetched();
    sync
}

/// A peer with an older member list may still store records on the old quorum, so only one with
/// the current or a newer list counts.
#[rstest]
#[case::same_member_list(3, true)]
#[case::newer_member_list(4, true)]
#[case::older_member_list(2, false)]
fn a_peer_with_an_older_member_list_is_not_in_sync(
    #[case] peer_members_version: u64,
    #[case] expected: bool,
) {
    let sync = sync_after_page(page(&[HELD_DIGEST], peer_members_version));
    assert!(sync.is_caught_up());
    assert_eq!(sync.is_caught_up_at(3), expected);
    assert_eq!(sync.is_in_sync(3), expected);
}

#[test]
fn a_peer_is_not_in_sync_while_a_record_is_missing() {
    let sync = sync_after_page(page(&[HELD_DIGEST, MISSING_DIGEST], 3));
    assert!(!sync.is_caught_up_at(3) && !sync.is_in_sync(3));
}

/// Progress under the current member list holds when a later page carries an older one.
#[test]
fn a_page_under_an_older_member_list_does_not_undo_progress() {
    let mut sync = sync_after_page(page(&[HELD_DIGEST], 3));
    sync.apply_page(page(&[HELD_DIGEST], 2), |_| true);
    sync.mark_page_end();
    assert!(sync.is_caught_up_at(3));
}

/// An incomplete peer does not count, even when all of its records are held locally.
#[test]
fn an_incomplete_peer_is_never_in_sync() {
    let incomplete = DigestPage {
        complete: false,
        ..page(&[HELD_DIGEST], 3)
    };
    let sync = sync_after_page(incomplete);
    assert!(!sync.is_caught_up() && !sync.is_in_sync(3));
}

/// With steady writes each page holds a record that is fetched only before the next page. The
/// peer must still count as caught up.
#[test]
fn a_peer_that_keeps_receiving_writes_can_be_caught_up_with() {
    let mut sync = sync_after_page(page(&[HELD_DIGEST], 2));
    let mut held = vec![HELD_DIGEST];
    for newest in 10..14 {
        sync.missing_digests(|digest| held.contains(&digest));
        sync.mark_fetched();
        let digests = [newest];
        sync.apply_page(page(&digests, 3), |digest| held.contains(&digest));
        sync.mark_page_end();
        held.push(newest);
    }
    assert!(sync.is_caught_up_at(3));
}
