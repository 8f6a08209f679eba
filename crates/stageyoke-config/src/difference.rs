//! What a new configuration changes.

use std::collections::BTreeMap;
use std::fmt::{self, Debug};

use crate::model::Configuration;

/// What happens to one declared thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new.
    Added,
    /// It is there with other values.
    Changed,
    /// It is gone.
    Removed,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Kind of thing, such as `engine`.
    pub section: &'static str,
    /// Its name.
    pub name: String,
    /// What happens to it.
    pub change: Change,
    /// What an operator should know before going on, if anything.
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

/// Everything in which two configurations differ.
pub fn compare_configurations(
    before: Option<&Configuration>,
    after: &Configuration,
) -> Vec<Difference> {
    let mut differences = Vec::new();
    macro_rules! compare {
        ($section:literal, $field:ident, $name:ident) => {
            let named = |config: &Configuration| -> BTreeMap<String, String> {
                let items = config.$field.iter();
                items
                    .map(|item| (item.$name.clone(), describe(item)))
                    .collect()
            };
            let old = before.map(named).unwrap_or_default();
            compare_named($section, &old, &named(after), &mut differences);
        };
    }
    compare!("tenant", tenants, name);
    compare!("model", models, name);
    compare!("engine", engines, name);
    compare!("program", programs, name);
    compare!("tool", tools, name);
    compare!("pool", pools, name);
    compare!("route", routes, prefix);
    let single = |section, old: Option<String>, new: String| {
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
    let limits = before.map(|config| describe(&config.limits));
    differences.extend(single("limits", limits, describe(&after.limits)));
    let policy = before.map(|config| describe(&config.policy));
    differences.extend(single("policy", policy, describe(&after.policy)));
    differences
}

fn describe(item: &impl Debug) -> String {
    format!("{item:?}")
}

fn compare_named(
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
        differences.push(difference_of(section, name, change));
    }
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        differences.push(difference_of(section, name, Change::Removed));
    }
}

fn difference_of(section: &'static str, name: &str, change: Change) -> Difference {
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
