//! Events about evacuated zones, when they change.

use std::cell::RefCell;
use std::collections::BTreeSet;

use stageyoke_types::{Event, Text};

/// Evacuated zones that were last logged.
#[derive(Debug, Default)]
pub struct EvacuationLog {
    logged: RefCell<BTreeSet<Text>>,
}

impl EvacuationLog {
    /// Returns the events of the changes since the last call, with their details.
    /// `replica_zones` returns the zones of all listed replicas.
    pub fn update(
        &self,
        zones: &BTreeSet<Text>,
        replica_zones: impl Fn() -> BTreeSet<Text>,
    ) -> Vec<(Event, String)> {
        let logged = self.logged.replace(zones.clone());
        if logged == *zones {
            return Vec::new();
        }
        let known = replica_zones();
        let mut events = Vec::new();
        for zone in zones.difference(&logged) {
            let event = match known.contains(zone) {
                true => Event::ZoneEvacuated,
                false => Event::EvacuationWithoutEffect,
            };
            events.push((event, format!("zone={zone}")));
        }
        for zone in logged.difference(zones) {
            events.push((Event::ZoneReturned, format!("zone={zone}")));
        }
        if !known.is_empty() && known.is_subset(zones) {
            let detail = format!("zones={}", known.len());
            events.push((Event::AllZonesEvacuated, detail));
        }
        events
    }
}
