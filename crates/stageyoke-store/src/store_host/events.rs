//! Event texts of the store role.

use stageyoke_directory::{CompleteRead, Member, MirrorEvent, ReadSource, StoreGroups};
use stageyoke_observe as observe;
use stageyoke_types::Event;

/// Formats the member lists of all groups on one line, each followed by the previous list
/// while a change is in progress.
pub(super) fn describe_groups(stores: &StoreGroups) -> String {
    let groups = stores.groups.iter().map(|members| {
        let previous = match members.is_settled() {
            true => String::new(),
            false => format!("<{}", join_names(&members.before)),
        };
        format!(
            "{}:{}{previous}",
            members.version,
            join_names(&members.list)
        )
    });
    let groups: Vec<String> = groups.collect();
    format!("groups={}", groups.join("|"))
}

fn join_names(list: &[Member]) -> String {
    let names: Vec<&str> = list.iter().map(|member| member.node.as_str()).collect();
    names.join(",")
}

/// Logs an event of the directory mirror.
pub fn log_mirror_event(event: MirrorEvent) {
    match event {
        MirrorEvent::Changed(changed) => {
            observe::record_event(Event::ViewChanged, &format!("{changed:?}"));
        }
        MirrorEvent::Lost(request) => {
            let detail = format!(
                "error={} milliseconds={} received={}",
                request.error,
                request.elapsed.as_millis(),
                request.received_bytes
            );
            observe::record_event(Event::StoreUnreachable, &detail);
        }
        MirrorEvent::Regained => {
            observe::record_event(Event::DependencyRegained, "key-value service")
        }
        MirrorEvent::Unreadable(reason) => observe::record_event(Event::ItemUnreadable, &reason),
        MirrorEvent::HistoryDiscarded { revision } => {
            observe::record_event(Event::HistoryDiscarded, &format!("revision={revision}"));
        }
        MirrorEvent::CompleteRead(read) => log_complete_read(&read),
    }
}

fn log_complete_read(read: &CompleteRead) {
    let outcome = match read.error {
        Some(error) => error.to_string(),
        None => "ok".to_owned(),
    };
    let source = match read.source {
        ReadSource::Service => "service",
        ReadSource::Peer => "store",
    };
    let detail = format!(
        "source={source} outcome={outcome} items={} milliseconds={}",
        read.items,
        read.elapsed.as_millis()
    );
    observe::record_event(Event::DirectoryRead, &detail);
}
