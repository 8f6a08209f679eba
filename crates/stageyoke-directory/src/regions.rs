//! Home regions of routes and tenants.

use std::collections::BTreeSet;

use stageyoke_types::Text;

/// Regions in which requests may be served and stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeRegions(BTreeSet<Text>);

impl HomeRegions {
    /// Creates the restriction to these regions; `None` without any, which restricts nothing.
    pub fn new(regions: impl IntoIterator<Item: Into<Text>>) -> Option<Self> {
        let regions: BTreeSet<Text> = regions.into_iter().map(Into::into).collect();
        (!regions.is_empty()).then_some(Self(regions))
    }

    /// Returns whether requests may be served and stored in a region.
    pub fn contains(&self, region: &str) -> bool {
        self.0.iter().any(|home| home.as_str() == region)
    }
}

/// Home regions that bind one request: those of its route and those of its tenant.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestHomes<'a> {
    /// Home regions of the route; `None` if it has none.
    pub route: Option<&'a HomeRegions>,
    /// Home regions of the tenant; `None` if it has none.
    pub tenant: Option<&'a HomeRegions>,
}

impl RequestHomes<'_> {
    /// Returns whether the request may be served and stored in a region.
    pub fn allow(&self, region: &str) -> bool {
        let mut homes = self.route.into_iter().chain(self.tenant);
        homes.all(|homes| homes.contains(region))
    }

    /// Returns whether the request is bound to any regions.
    pub fn is_restricted(&self) -> bool {
        self.route.is_some() || self.tenant.is_some()
    }
}
