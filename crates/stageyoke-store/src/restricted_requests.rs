//! What a front knows of requests under which replicas have ended.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use stageyoke_policy::deadly_requests::{MAX_AGE, MAX_REQUESTS, Standing};
use tokio::time::Instant;

use crate::extension::{Restriction, Restrictions};
use crate::message::UNREQUESTED;

/// Restricted requests, as stores tell them.
#[derive(Debug, Default)]
pub struct RestrictedRequests {
    requests: RefCell<HashMap<u128, KnownRestriction>>,
    /// Versions of the stores' lists, by address.
    versions: RefCell<HashMap<String, u64>>,
}

#[derive(Clone, Copy, Debug)]
struct KnownRestriction {
    restriction: Restriction,
    expires_at: Instant,
}

impl RestrictedRequests {
    /// Returns whether a request may be sent.
    pub fn standing(&self, request: u128) -> Standing {
        let requests = self.requests.borrow();
        let known = requests.get(&request);
        let current = known.filter(|known| Instant::now() < known.expires_at);
        current.map_or(Standing::Free, |known| known.restriction.standing())
    }

    /// Applies the restriction of one request.
    pub fn apply(&self, restriction: Restriction) {
        let mut requests = self.requests.borrow_mut();
        if !restriction.is_restricted() {
            requests.remove(&restriction.request);
            return;
        }
        if requests.len() >= MAX_REQUESTS && !requests.contains_key(&restriction.request) {
            drop_oldest(&mut requests);
        }
        let known = KnownRestriction {
            restriction,
            expires_at: Instant::now() + MAX_AGE,
        };
        requests.insert(restriction.request, known);
    }

    /// Applies what a store sent with a reply of this number. Only complete lists and messages
    /// without a request say what the store knows; answers to reports are merged elsewhere.
    pub fn receive(&self, store: &str, number: u64, received: &Restrictions) {
        let mut versions = self.versions.borrow_mut();
        let known = versions.get(store).map(|known| known.wrapping_add(1));
        if received.complete || number == UNREQUESTED && known == Some(received.version) {
            versions.insert(store.to_owned(), received.version);
        }
        if received.complete || number == UNREQUESTED {
            for restriction in received.requests.iter() {
                self.apply(*restriction);
            }
        }
    }

    /// Returns the version of a store's list that is known.
    pub fn known_version(&self, store: &str) -> Option<u64> {
        self.versions.borrow().get(store).copied()
    }

    /// Forgets the versions of stores that are members no more.
    pub fn retain_stores(&self, is_member: impl Fn(&str) -> bool) {
        let mut versions = self.versions.borrow_mut();
        versions.retain(|store, _| is_member(store));
    }

    /// Returns the number of blocked requests.
    pub fn blocked_count(&self) -> usize {
        let now = Instant::now();
        let requests = self.requests.borrow();
        let current = requests.values().filter(|known| now < known.expires_at);
        let blocked = current.filter(|known| known.restriction.is_blocked());
        blocked.count()
    }
}

fn drop_oldest(requests: &mut HashMap<u128, KnownRestriction>) {
    let oldest = requests.iter().min_by_key(|(_, known)| known.expires_at);
    if let Some(request) = oldest.map(|(request, _)| *request) {
        requests.remove(&request);
    }
}

/// Time after which a front asks the stores for the changes that it may have missed.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
