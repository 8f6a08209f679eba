//! What is saved beside the journal must not delay it.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Members, StoreGroups};
use stageyoke_store::StoreLimits;
use stageyoke_store::local_store::LocalStore;
use stageyoke_store::message::DirectoryItem;
use stageyoke_store::segment::{DataFolder, Recovered};
use stageyoke_types::{Blob, List, Text};
use support::turn;
use tokio::task::LocalSet;
use tokio::time::Instant;

mod support;

const SYNC_DELAY: Duration = Duration::from_millis(300);
const RETRIES: u32 = 10;
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Opens a store whose syncs take `SYNC_DELAY` from now on.
async fn open_on_slow_disk(folder: &Path) -> Rc<LocalStore> {
    let delay_file = folder.join("delay");
    let data = DataFolder::open(&folder.join("data")).expect("open");
    let data = data.with_sync_delay(Some(delay_file.clone()));
    let recovered = data.recover(1, true).expect("recover");
    let store = open_store(data, recovered);
    assert!(store.store_record(turn("first", "")).await, "a segment");
    std::fs::write(&delay_file, SYNC_DELAY.as_millis().to_string()).expect("delay");
    store
}

fn open_store(data: DataFolder, recovered: Recovered) -> Rc<LocalStore> {
    let limits = StoreLimits::default();
    let (store, results) =
        LocalStore::open(Text::from("store"), data, recovered, limits).expect("threads");
    let store = Rc::new(store);
    let collector = store.clone();
    tokio::task::spawn_local(async move { collector.process_journal_results(results).await });
    store
}

/// Guards against a successor that spends the time to catch up on syncs: two for the identity of
/// its disk, and two for its first records.
#[tokio::test]
async fn an_empty_store_keeps_its_first_record_after_four_syncs() {
    let test = async {
        let folder = tempfile::tempdir().expect("folder");
        let delay_file = folder.path().join("delay");
        std::fs::write(&delay_file, SYNC_DELAY.as_millis().to_string()).expect("delay");
        let data = DataFolder::open(&folder.path().join("data")).expect("open");
        let data = data.with_sync_delay(Some(delay_file));
        let started_at = Instant::now();
        let recovered = data.recover(1, false).expect("recover");
        let store = open_store(data, recovered);
        assert!(store.store_record(turn("first", "")).await);
        let elapsed = started_at.elapsed();
        assert!(elapsed < SYNC_DELAY * 5, "{elapsed:?}");
    };
    LocalSet::new().run_until(test).await;
}

fn member_list(version: u64) -> Rc<StoreGroups> {
    Rc::new(StoreGroups::single(Members {
        version,
        ..Members::default()
    }))
}

/// Guards against a disk that is kept busy by saves of the member list: while one takes longer
/// than the interval of retries, each retry would queue another.
#[tokio::test]
async fn a_member_list_that_is_being_saved_is_not_saved_again() {
    let test = async {
        let folder = tempfile::tempdir().expect("folder");
        let store = open_on_slow_disk(folder.path()).await;
        store.set_stores(member_list(1));
        for _ in 0..RETRIES {
            tokio::time::sleep(RETRY_INTERVAL).await;
            store.retry_saving_stores();
        }
        let started_at = Instant::now();
        assert!(store.store_record(turn("second", "first")).await);
        let elapsed = started_at.elapsed();
        assert!(elapsed < SYNC_DELAY * 6, "{elapsed:?}");
        assert!(store.has_saved_stores());
    };
    LocalSet::new().run_until(test).await;
}

/// On slow disks a changed directory, which takes two syncs to save, must not make turns wait.
#[tokio::test]
async fn saving_the_directory_does_not_delay_records() {
    let test = async {
        let folder = tempfile::tempdir().expect("folder");
        let store = open_on_slow_disk(folder.path()).await;
        let item = DirectoryItem {
            key: Text::from("routes"),
            value: Blob::from(vec![b'x'; 1000]),
            revision: 1,
        };
        store.set_directory_items(List(vec![item]), true);
        let started_at = Instant::now();
        assert!(store.store_record(turn("second", "first")).await);
        let elapsed = started_at.elapsed();
        assert!(elapsed < SYNC_DELAY * 2, "{elapsed:?}");
    };
    LocalSet::new().run_until(test).await;
}
