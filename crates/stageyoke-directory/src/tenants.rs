//! Tenants of a configuration, with their keys and rate limits.

use std::collections::HashMap;
use std::fmt;

use stageyoke_types::Text;

use crate::regions::HomeRegions;

/// Digest of a tenant's key. The keys themselves are not retained, so that they cannot
/// be logged or relayed.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// Returns the digest of `key`. Looking up a digest takes equally long for a nearly
    /// correct key as for any other.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::hash(key))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// Rate limit of a tenant, over all fronts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained requests per second.
    pub per_second: f64,
    /// Requests that may exceed the sustained rate at once.
    pub burst: f64,
}

/// A tenant of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, as sent to replicas.
    pub name: Text,
    /// Priority that replaces the route's; zero is the highest.
    pub priority: Option<u8>,
    /// Rate limit; `None` if the tenant is not limited.
    pub rate_limit: Option<RateLimit>,
    /// Regions in which the tenant's requests may be served and stored; `None` for all.
    pub homes: Option<HomeRegions>,
}

/// All tenants of a configuration, indexed by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    tenants: Vec<Tenant>,
    index_by_key: HashMap<KeyDigest, usize>,
    sharing_keys: Vec<Text>,
    without_keys: Vec<Text>,
}

impl Tenants {
    /// Adds a tenant with its keys. A key that an earlier tenant has stays with that
    /// tenant, and this one is listed in `sharing_keys`.
    pub fn add(&mut self, tenant: Tenant, keys: impl IntoIterator<Item = KeyDigest>) {
        let index = self.tenants.len();
        let mut keys = keys.into_iter().peekable();
        if keys.peek().is_none() {
            self.without_keys.push(tenant.name.clone());
        }
        for key in keys {
            let owner_index = *self.index_by_key.entry(key).or_insert(index);
            if owner_index != index {
                self.sharing_keys.push(tenant.name.clone());
            }
        }
        self.tenants.push(tenant);
    }

    /// Returns the tenant that has this key.
    pub fn find_by_key(&self, key: &[u8]) -> Option<&Tenant> {
        let index = self.index_by_key.get(&KeyDigest::of(key))?;
        self.tenants.get(*index)
    }

    /// Returns the tenants that list a key of another tenant.
    pub fn sharing_keys(&self) -> &[Text] {
        &self.sharing_keys
    }

    /// Returns the tenants without any key, which cannot make requests.
    pub fn without_keys(&self) -> &[Text] {
        &self.without_keys
    }

    /// Iterates over the names of the tenants without a rate limit.
    pub fn unlimited(&self) -> impl Iterator<Item = &Text> {
        let unlimited = self
            .tenants
            .iter()
            .filter(|tenant| tenant.rate_limit.is_none());
        unlimited.map(|tenant| &tenant.name)
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
