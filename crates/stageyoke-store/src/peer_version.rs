//! Which version the other end of a connection speaks.

use std::cell::{Cell, RefCell};

use stageyoke_observe as observe;
use stageyoke_types::Event;

use crate::extension::{ExtensionFields, FIRST_VERSION, VERSION};

/// The other end of one connection. Its first message tells its version, or that it
/// knows of none.
#[derive(Debug)]
pub struct PeerVersion {
    peer: String,
    version: Cell<Option<u16>>,
    greeted: Cell<bool>,
    older: RefCell<Option<OlderPeer>>,
}

impl PeerVersion {
    /// A peer, by its address, that has said nothing yet.
    pub fn unknown(peer: String) -> Self {
        Self {
            peer,
            version: Cell::new(None),
            greeted: Cell::new(false),
            older: RefCell::default(),
        }
    }

    /// Takes what came with a message of the peer.
    pub fn record_greeting(&self, extensions: &ExtensionFields) {
        if self.version.get().is_some() {
            return;
        }
        let version = extensions.version.unwrap_or(FIRST_VERSION);
        self.version.set(Some(version));
        if version < VERSION {
            let older = OlderPeer::count(&self.peer, version);
            self.older.replace(Some(older));
        }
    }

    /// Whether the peer has told that it reads fields behind messages.
    pub fn reads_extension_fields(&self) -> bool {
        self.version
            .get()
            .is_some_and(|version| version > FIRST_VERSION)
    }

    /// What goes behind a message to the peer: the greeting behind the first one, which
    /// a reader of version 1 leaves, and these fields if the peer reads any.
    pub fn fields_for_next_message(&self, fields: &ExtensionFields) -> ExtensionFields {
        let version = (!self.greeted.replace(true)).then_some(VERSION);
        match self.reads_extension_fields() {
            true => ExtensionFields {
                version,
                ..fields.clone()
            },
            false => ExtensionFields {
                version,
                ..ExtensionFields::default()
            },
        }
    }
}

/// A connection with a peer of an older version, counted as long as it lasts.
#[derive(Debug)]
struct OlderPeer;

impl OlderPeer {
    fn count(peer: &str, version: u16) -> Self {
        let older = &observe::metrics().older_peers;
        older.inc();
        if older.get() == 1 {
            let detail = format!("peer={peer} version={version} own={VERSION}");
            observe::record_event(Event::OlderPeer, &detail);
        }
        Self
    }
}

impl Drop for OlderPeer {
    fn drop(&mut self) {
        let older = &observe::metrics().older_peers;
        older.dec();
        if older.get() == 0 {
            observe::record_event(Event::OlderPeersGone, &format!("own={VERSION}"));
        }
    }
}
