//! Thread that saves the directory items. It is not the journal's, so that records do not wait
//! while the items are synced.

use std::io;
use std::sync::mpsc;

use stageyoke_observe as observe;
use stageyoke_types::{Event, List};

use crate::message::DirectoryItem;
use crate::segment::DataFolder;

const STACK_BYTES: usize = 256 * 1024;

/// Handle to the thread.
#[derive(Clone, Debug)]
pub struct ItemWriter {
    items: mpsc::Sender<List<DirectoryItem>>,
}

impl ItemWriter {
    /// Starts the thread, which ends when the handle is dropped.
    pub fn start(folder: DataFolder) -> io::Result<Self> {
        let (items, receiver) = mpsc::channel();
        std::thread::Builder::new()
            .name("items".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || save_newest(&folder, &receiver))?;
        Ok(Self { items })
    }

    /// Saves the items, unless newer ones follow first.
    pub fn save(&self, items: List<DirectoryItem>) {
        let _ = self.items.send(items);
    }
}

fn save_newest(folder: &DataFolder, receiver: &mpsc::Receiver<List<DirectoryItem>>) {
    while let Ok(mut items) = receiver.recv() {
        while let Ok(newer) = receiver.try_recv() {
            items = newer;
        }
        if let Err(error) = folder.save_items(&items) {
            // The process still has the items in memory.
            observe::record_event(Event::DiskRefuses, &format!("items error={error}"));
        }
    }
}
