//! Compares two configurations, so that operators see what an apply would change.

use std::collections::BTreeMap;
use std::fmt::{self, Debug};

use crate::model::Configuration;

/// How a declared item changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The item exists only in the new configuration.
    Added,
    /// The item exists in both configurations with different values.
    Changed,
    /// The item exists only in the old configuration.
    Removed,
}

/// A declared item that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Section that declares the item, such as `engine`.
    pub section: &'static str,
    /// Name of the item; a route's prefix; the section's own name for a single section.
    pub name: String,
    /// How the item changes.
    pub change: Change,
    /// Consequence for callers that an operator should know before an apply.
    pub risk: Option<&'static str>,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = match self.change {
            Change::Added => "add",
            Change::Changed => "change",
            Change::Removed => "remove",
        };
        write!(formatter, "{verb} {} `{}`", self.section, self.name)?;
        match self.risk {
            Some(risk) => write!(formatter, " (risk: {risk})"),
            None => Ok(()),
        }
    }
}

/// Lists the items that differ; without an old configuration, all of the new one. A class
/// is not listed itself: a new priority shows as a change of the class's programs.
pub fn compare_configurations(
    before: Option<&Configuration>,
    after: &Configuration,
) -> Vec<Difference> {
    let mut differences = Vec::new();
    macro_rules! compare {
        ($section:literal, $field:ident, $name:ident) => {
            let values_by_name = |config: &Configuration| -> BTreeMap<String, String> {
                let items = config.$field.iter();
                items
                    .map(|item| (item.$name.clone(), debug_text(item)))
                    .collect()
            };
            let old = before.map(values_by_name).unwrap_or_default();
            compare_items($section, &old, &values_by_name(after), &mut differences);
        };
    }
    compare!("tenant", tenants, name);
    compare!("model", models, name);
    compare!("engine", engines, name);
    compare!("program", programs, name);
    compare!("tool", tools, name);
    compare!("pool", pools, name);
    compare!("route", routes, prefix);
    let compare_single = |section, old: Option<String>, new: String| {
        let changed = old.as_ref() != Some(&new);
        changed.then(|| Difference {
            section,
            name: section.to_owned(),
            change: if old.is_some() {
                Change::Changed
            } else {
                Change::Added
            },
            risk: None,
        })
    };
    let limits = before.map(|config| debug_text(&config.limits));
    differences.extend(compare_single("limits", limits, debug_text(&after.limits)));
    let policy = before.map(|config| debug_text(&config.policy));
    differences.extend(compare_single("policy", policy, debug_text(&after.policy)));
    differences
}

fn debug_text(item: &impl Debug) -> String {
    format!("{item:?}")
}

fn compare_items(
    section: &'static str,
    before: &BTreeMap<String, String>,
    after: &BTreeMap<String, String>,
    differences: &mut Vec<Difference>,
) {
    for (name, value) in after {
        let change = match before.get(name) {
            None => Change::Added,
            Some(old) if old != value => Change::Changed,
            Some(_) => continue,
        };
        differences.push(new_difference(section, name, change));
    }
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        differences.push(new_difference(section, name, Change::Removed));
    }
}

fn new_difference(section: &'static str, name: &str, change: Change) -> Difference {
    let risk = match (section, change) {
        ("tenant", Change::Removed) => Some("its callers are refused at once"),
        ("program", Change::Removed) => Some("new calls of such programs are refused"),
        ("engine", Change::Removed) => Some("sessions cached there are prefilled again elsewhere"),
        ("pool", Change::Removed) => Some("its replicas get no more requests"),
        ("route", Change::Removed) => Some("its path answers 404"),
        ("route", Change::Changed) => Some("requests may move between the legacy pool and the new"),
        _ => None,
    };
    Difference {
        section,
        name: name.to_owned(),
        change,
        risk,
    }
}
