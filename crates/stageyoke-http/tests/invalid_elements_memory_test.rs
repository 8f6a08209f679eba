//! Memory for a list of many invalid elements. The only test of its process, because it measures
//! the process's peak memory.

#[path = "support/memory.rs"]
mod memory;

use serde::Deserialize;
use stageyoke_http::LenientList;

use memory::peak_memory_kilobytes;

const LIST_BYTES: usize = 4 * 1024 * 1024;
const MAX_GROWTH_KILOBYTES: u64 = 4 * 1024;

/// Element of the size of an entry of the key-value service.
#[derive(Deserialize)]
struct Entry {
    key: String,
    value: serde_json::Value,
    revision: u64,
}

#[test]
fn invalid_elements_use_no_memory() {
    let list = format!("[{}0]", "0,".repeat(LIST_BYTES / 2));
    let before = peak_memory_kilobytes();
    let list: LenientList<Entry> = serde_json::from_str(&list).expect("a list");
    let growth = peak_memory_kilobytes() - before;
    assert_eq!(list.skipped, LIST_BYTES / 2 + 1);
    let first = list.items.first();
    assert!(first.is_none_or(|entry| (&entry.key, &entry.value, entry.revision).2 > 0));
    assert!(growth < MAX_GROWTH_KILOBYTES, "{growth} kB");
}
