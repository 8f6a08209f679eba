//! Protocol version of the peer on a connection.

use std::cell::{Cell, RefCell};

use stageyoke_observe as observe;
use stageyoke_types::Event;

use crate::extension::{ExtensionFields, FIRST_VERSION, VERSION};

/// The negotiated state of one connection. A peer sends its version with its first message;
/// a peer of version 1 sends none.
#[derive(Debug)]
pub struct PeerVersion {
    peer: String,
    version: Cell<Option<u16>>,
    version_sent: Cell<bool>,
    older_peer: RefCell<Option<OlderPeer>>,
}

impl PeerVersion {
    /// Creates the state for the peer at this address, before any message has arrived.
    pub fn unknown(peer: String) -> Self {
        Self {
            peer,
            version: Cell::new(None),
            version_sent: Cell::new(false),
            older_peer: RefCell::default(),
        }
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> &str {
        &self.peer
    }

    /// Records the version that came with the peer's first message.
    pub fn record_greeting(&self, fields: &ExtensionFields) {
        if self.version.get().is_some() {
            return;
        }
        let version = fields.version.unwrap_or(FIRST_VERSION);
        self.version.set(Some(version));
        if version < VERSION {
            let older_peer = OlderPeer::count(&self.peer, version);
            self.older_peer.replace(Some(older_peer));
        }
    }

    /// Returns whether the peer is known to read extension fields.
    pub fn reads_extension_fields(&self) -> bool {
        self.version
            .get()
            .is_some_and(|version| version > FIRST_VERSION)
    }

    /// Returns the extension fields to send with the next message: this build's version if
    /// it is the first one, which a reader of version 1 ignores, and `fields` if the peer
    /// reads them. Before the peer has sent its version, only the few that it must not miss.
    pub fn fields_for_next_message(&self, fields: &ExtensionFields) -> ExtensionFields {
        let version = (!self.version_sent.replace(true)).then_some(VERSION);
        let supported_fields = match self.version.get() {
            Some(_) if self.reads_extension_fields() => fields.clone(),
            Some(_) => ExtensionFields::default(),
            None => fields.for_unknown_peer(),
        };
        ExtensionFields {
            version,
            ..supported_fields
        }
    }
}

/// A connection to a peer of an older version, counted in the metrics until it is dropped.
#[derive(Debug)]
struct OlderPeer;

impl OlderPeer {
    fn count(peer: &str, version: u16) -> Self {
        let connections = &observe::metrics().older_peers;
        connections.inc();
        if connections.get() == 1 {
            let detail = format!("peer={peer} version={version} own={VERSION}");
            observe::record_event(Event::OlderPeer, &detail);
        }
        Self
    }
}

impl Drop for OlderPeer {
    fn drop(&mut self) {
        let connections = &observe::metrics().older_peers;
        connections.dec();
        if connections.get() == 0 {
            observe::record_event(Event::OlderPeersGone, &format!("own={VERSION}"));
        }
    }
}
