//! Pages of records that a store requests from its peers.

use std::collections::{BTreeSet, VecDeque};

use proptest::prelude::*;
use stageyoke_store::record_fetch::{FetchesInFlight, MAX_REPLY_RECORD_BYTES, PageSize};

proptest! {
    /// Guards against a page that shrinks to nothing or grows without limit, and against one
    /// that no longer grows once replies are small again.
    #[test]
    fn a_page_requests_at_least_one_record_and_grows_again(
        replies in prop::collection::vec(prop::option::of(0_usize..100_000_000), 0..60),
    ) {
        let page = PageSize::default();
        for reply in replies {
            match reply {
                Some(bytes) => page.record_reply(bytes),
                None => page.record_failure(),
            }
            prop_assert!((1..=256).contains(&page.records()));
        }
        for _ in 0..8 {
            page.record_reply(100);
        }
        prop_assert_eq!(page.records(), 256);
    }

    /// Guards against pages of unknown size that stay too large for a frame: whatever the size of
    /// the records, a few replies bring the next one down to the limit, or to a single record.
    #[test]
    fn a_page_follows_the_size_of_the_records(record_bytes in 1_usize..20_000_000) {
        let page = PageSize::default();
        for _ in 0..12 {
            page.record_reply(page.records() * record_bytes);
        }
        let reply_bytes = page.records() * record_bytes;
        prop_assert!(page.records() == 1 || reply_bytes <= 2 * MAX_REPLY_RECORD_BYTES);
    }

    /// Guards against records that are fetched twice at once, and against ones that are never
    /// requested again after a failed request.
    #[test]
    fn pages_in_flight_share_no_record(
        missing in prop::collection::btree_set(0_u64..500, 0..300),
        held in prop::collection::btree_set(0_u64..500, 0..300),
        sizes in prop::collection::vec(1_usize..64, 1..10),
    ) {
        let fetches = FetchesInFlight::default();
        let holds = |digest| held.contains(&digest);
        let mut taken = BTreeSet::new();
        let mut pages = Vec::new();
        for size in sizes {
            let mut queue: VecDeque<u64> = missing.iter().copied().collect();
            let page = fetches.take_page(&mut queue, size, holds);
            prop_assert!(page.digests().len() <= size);
            for digest in page.digests() {
                prop_assert!(taken.insert(*digest) && !holds(*digest));
            }
            pages.push(page);
        }
        drop(pages);
        let mut queue: VecDeque<u64> = missing.iter().copied().collect();
        let page = fetches.take_page(&mut queue, usize::MAX, holds);
        let all: BTreeSet<u64> = page.digests().iter().copied().collect();
        let expected: BTreeSet<u64> = missing.difference(&held).copied().collect();
        prop_assert_eq!(all, expected);
    }
}

/// Guards against a store that requests the same unreadable records again and again within one
/// round, and never those behind them.
#[test]
fn a_reply_that_settles_nothing_ends_the_requests_for_its_page() {
    let fetches = FetchesInFlight::default();
    let mut queue = VecDeque::from([1, 2, 3, 4]);
    let page = fetches.take_page(&mut queue, 3, |_| false);
    assert_eq!(page.unsettled(|_| false), Vec::<u64>::new());
    assert_eq!(page.unsettled(|digest| digest == 2), [1, 3]);
    assert_eq!(queue, [4]);
}
