//! Tenants of a configuration: who holds a key, and what each may ask for.

use std::collections::HashMap;
use std::fmt;

use stageyoke_types::Text;

/// Digest of a tenant's key. Keys themselves are not kept: what is not held
/// can't be logged or passed on.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// The digest of this key. Looking it up takes as long for a key that is
    /// nearly right as for any other.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::hash(key))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// How many requests a tenant may make through all fronts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Requests beyond that at once.
    pub burst: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, as replicas are told it.
    pub name: Text,
    /// Rank of its requests in place of their route's; zero is the highest.
    pub priority: Option<u8>,
    /// Its limit; none where it may ask as often as it likes.
    pub rate_limit: Option<RateLimit>,
}

/// All tenants of a configuration, found by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    list: Vec<Tenant>,
    index_by_key: HashMap<KeyDigest, usize>,
    sharing_keys: Vec<Text>,
    without_keys: Vec<Text>,
}

impl Tenants {
    /// Adds a tenant with its keys. A key that another tenant holds already
    /// stays with that one, and this tenant is noted as contested.
    pub fn add(&mut self, tenant: Tenant, keys: impl IntoIterator<Item = KeyDigest>) {
        let index = self.list.len();
        let mut keys = keys.into_iter().peekable();
        if keys.peek().is_none() {
            self.without_keys.push(tenant.name.clone());
        }
        for key in keys {
            let holder = *self.index_by_key.entry(key).or_insert(index);
            if holder != index {
                self.sharing_keys.push(tenant.name.clone());
            }
        }
        self.list.push(tenant);
    }

    /// The tenant that holds this key.
    pub fn find_by_key(&self, key: &[u8]) -> Option<&Tenant> {
        let index = self.index_by_key.get(&KeyDigest::of(key))?;
        self.list.get(*index)
    }

    /// Tenants that name a key which another holds.
    pub fn sharing_keys(&self) -> &[Text] {
        &self.sharing_keys
    }

    /// Tenants that name no key, and so can't call.
    pub fn without_keys(&self) -> &[Text] {
        &self.without_keys
    }

    /// Tenants that may ask as often as they like.
    pub fn unlimited(&self) -> impl Iterator<Item = &Text> {
        let unlimited = self
            .list
            .iter()
            .filter(|tenant| tenant.rate_limit.is_none());
        unlimited.map(|tenant| &tenant.name)
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
