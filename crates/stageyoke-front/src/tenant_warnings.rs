//! Warnings about probable mistakes in the configuration of tenants, logged when they
//! change.

use std::cell::RefCell;

use stageyoke_directory::{RouteTable, Tenants};
use stageyoke_types::{Event, Text};

/// Maximum number of tenants named in one list.
const MAX_NAMED_TENANTS: usize = 8;

/// Last warnings about the current tenants.
#[derive(Debug, Default)]
pub struct TenantWarnings {
    contested: RefCell<String>,
    unusual: RefCell<String>,
}

impl TenantWarnings {
    /// Returns the warnings of a new configuration with their details, except those that
    /// have not changed. A key named by two tenants authenticates only the first, tenants
    /// without keys cannot send requests, and tenants without a limit, or with a limit of
    /// zero, are not limited.
    pub fn update(&self, routes: &RouteTable) -> Vec<(Event, String)> {
        let Some(tenants) = &routes.tenants else {
            self.contested.take();
            self.unusual.take();
            return Vec::new();
        };
        let contested = match tenants.sharing_keys() {
            [] => String::new(),
            contested => format_names("", contested),
        };
        let lines = [
            (Event::KeyContested, &self.contested, contested),
            (
                Event::TenantsUnusual,
                &self.unusual,
                describe_unusual(tenants),
            ),
        ];
        let changed = lines.into_iter().filter(|(_, reported, found)| {
            let previous = reported.replace(found.clone());
            !found.is_empty() && previous != *found
        });
        changed
            .map(|(event, _, found)| (event, format!("version={} {found}", routes.version)))
            .collect()
    }
}

/// Describes tenants that cannot send requests or are not limited; empty if there are none.
fn describe_unusual(tenants: &Tenants) -> String {
    let keyless = tenants.without_keys();
    let unlimited: Vec<Text> = tenants.unlimited().cloned().collect();
    if keyless.is_empty() && unlimited.is_empty() {
        return String::new();
    }
    let keyless = format_names("without_keys_", keyless);
    let unlimited = format_names("without_limit_", &unlimited);
    format!("{keyless} {unlimited}")
}

fn format_names(prefix: &str, tenants: &[Text]) -> String {
    let shown = tenants.iter().take(MAX_NAMED_TENANTS).map(Text::as_str);
    let shown: Vec<&str> = shown.collect();
    let count = tenants.len();
    format!("{prefix}count={count} {prefix}tenants={}", shown.join(","))
}
