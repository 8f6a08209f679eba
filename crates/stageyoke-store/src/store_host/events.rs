//! The store role's lines: what it proposes, what its mirror reports.

use stageyoke_directory::{Member, MirrorEvent, StoreGroups};
use stageyoke_observe as observe;
use stageyoke_types::Event;

/// The groups' members in one line; those before a change that is under way behind.
pub(super) fn describe(stores: &StoreGroups) -> String {
    let groups = stores.groups.iter().map(|members| {
        let before = match members.is_settled() {
            true => String::new(),
            false => format!("<{}", names(&members.before)),
        };
        format!("{}:{}{before}", members.version, names(&members.list))
    });
    let groups: Vec<String> = groups.collect();
    format!("groups={}", groups.join("|"))
}

fn names(list: &[Member]) -> String {
    let names: Vec<&str> = list.iter().map(|member| member.node.as_str()).collect();
    names.join(",")
}

/// Logs what the mirror reports.
pub fn log_mirror_event(event: MirrorEvent) {
    match event {
        MirrorEvent::Changed(changed) => {
            observe::record_event(Event::ViewChanged, &format!("{changed:?}"));
        }
        MirrorEvent::Lost(error) => {
            observe::record_event(Event::StoreUnreachable, &format!("error={error}"));
        }
        MirrorEvent::Regained => {
            observe::record_event(Event::DependencyRegained, "key-value service")
        }
        MirrorEvent::Unreadable(reason) => observe::record_event(Event::ItemUnreadable, &reason),
    }
}
