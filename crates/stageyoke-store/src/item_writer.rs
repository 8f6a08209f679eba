//! Thread that saves the directory items and the versions of services. It is not the journal's, so
//! that records do not wait while these are synced.

use std::io;
use std::sync::mpsc;

use stageyoke_observe as observe;
use stageyoke_types::{Event, List};

use crate::message::DirectoryItem;
use crate::segment::DataFolder;
use crate::service_versions::ServiceVersions;

const STACK_BYTES: usize = 256 * 1024;

/// Handle to the thread.
#[derive(Clone, Debug)]
pub struct ItemWriter {
    saved: mpsc::Sender<Saved>,
}

/// What is saved.
enum Saved {
    Items(List<DirectoryItem>),
    Versions(ServiceVersions),
}

impl ItemWriter {
    /// Starts the thread, which ends when the handle is dropped.
    pub fn start(folder: DataFolder) -> io::Result<Self> {
        let (saved, receiver) = mpsc::channel();
        std::thread::Builder::new()
            .name("items".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || save_newest(&folder, &receiver))?;
        Ok(Self { saved })
    }

    /// Saves the items, unless newer ones follow first.
    pub fn save(&self, items: List<DirectoryItem>) {
        let _ = self.saved.send(Saved::Items(items));
    }

    /// Saves the versions of services, unless newer ones follow first.
    pub fn save_versions(&self, versions: ServiceVersions) {
        let _ = self.saved.send(Saved::Versions(versions));
    }
}

fn save_newest(folder: &DataFolder, receiver: &mpsc::Receiver<Saved>) {
    while let Ok(first) = receiver.recv() {
        let (mut items, mut versions) = (None, None);
        let mut next = Some(first);
        while let Some(saved) = next {
            match saved {
                Saved::Items(newer) => items = Some(newer),
                Saved::Versions(newer) => versions = Some(newer),
            }
            next = receiver.try_recv().ok();
        }
        let saved_versions = versions.map(|versions| folder.save_service_versions(&versions));
        let saved_items = items.map(|items| folder.save_items(&items));
        for (name, outcome) in [("versions", saved_versions), ("items", saved_items)] {
            if let Some(Err(error)) = outcome {
                // The process still has them in memory.
                observe::record_event(Event::DiskRefuses, &format!("{name} error={error}"));
            }
        }
    }
}
