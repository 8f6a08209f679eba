//! Connections of fronts that are told which requests are restricted, without asking for it.

use std::cell::{Cell, RefCell};

use crate::extension::{ExtensionFields, Restriction, Restrictions};

/// Sends extension fields on a connection; returns false once the connection has ended.
pub type PushFields = Box<dyn Fn(&ExtensionFields) -> bool>;

/// Watching connections, and the version of what they are told.
pub struct RestrictionWatchers {
    connections: RefCell<Vec<PushFields>>,
    version: Cell<u64>,
}

impl Default for RestrictionWatchers {
    fn default() -> Self {
        Self {
            connections: RefCell::default(),
            // A restarted store must not continue the versions of its last process.
            version: Cell::new(rand::random()),
        }
    }
}

impl RestrictionWatchers {
    /// Adds a connection.
    pub fn add(&self, connection: PushFields) {
        self.connections.borrow_mut().push(connection);
    }

    /// Returns the version of the restrictions.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Sends a changed restriction to all connections.
    pub fn send(&self, restriction: Restriction) {
        self.version.set(self.version.get().wrapping_add(1));
        let fields = ExtensionFields {
            restrictions: Some(Restrictions {
                version: self.version.get(),
                complete: false,
                requests: vec![restriction].into(),
            }),
            ..ExtensionFields::default()
        };
        let mut connections = self.connections.borrow_mut();
        connections.retain(|push| push(&fields));
    }
}
