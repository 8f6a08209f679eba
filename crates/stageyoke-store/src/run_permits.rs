//! Reports of ended runs and permits for further ones: the exchange between fronts and the members
//! of the first group, which remember in memory under which requests replicas have ended
//! (`stageyoke_policy::deadly_requests`).
//!
//! A report is known once a write quorum has it. Fronts watch as many members as intersect each
//! write quorum, so that they learn of it without asking.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Member, Members};
use stageyoke_policy::deadly_requests::RunPermit;
use stageyoke_types::hash::mix;
use tokio::time::Instant;

use crate::extension::{ExtensionFields, PermitQuery, Restriction, RunReport};
use crate::group_client::GroupClient;
use crate::group_clients::GroupClients;
use crate::keys::TurnKey;
use crate::stream_versions::ask;

impl GroupClient {
    /// Reports how a run ended to all members. Returns the request's restriction once a write
    /// quorum knows it; `None` if none says so in time.
    pub async fn report_run(&self, report: RunReport, time_limit: Duration) -> Option<Restriction> {
        let members = self.members();
        let quorums = members.quorums(self.tolerance())?;
        let fields = ExtensionFields {
            run_report: Some(report),
            ..ExtensionFields::default()
        };
        let read = |fields: ExtensionFields| {
            let restrictions = fields.restrictions?;
            restrictions.requests.first().copied()
        };
        let mut answers = self.ask_all(fields, read, time_limit);
        let mut known_on = BTreeSet::new();
        let mut ends = 0;
        while let Some((node, restriction)) = answers.recv().await {
            let Some(restriction) = restriction else {
                continue;
            };
            known_on.insert(node);
            ends = ends.max(restriction.ends);
            if members.has_quorum(quorums, |member| known_on.contains(&member.node)) {
                return Some(Restriction {
                    request: report.request,
                    ends,
                });
            }
        }
        None
    }

    /// Asks all members for a permit. Of two runs that are requested at the same time, at least
    /// one sees the other. Returns `None` if no write quorum answers in time.
    pub async fn request_run(&self, query: PermitQuery, time_limit: Duration) -> Option<RunPermit> {
        let members = self.members();
        let quorums = members.quorums(self.tolerance())?;
        let fields = ExtensionFields {
            permit_query: Some(query),
            ..ExtensionFields::default()
        };
        let read = |fields: ExtensionFields| fields.run_permit.and_then(decode_permit);
        let mut answers = self.ask_all(fields, read, time_limit);
        let mut granted_by = BTreeSet::new();
        let mut denial = None;
        while let Some((node, permit)) = answers.recv().await {
            match permit {
                Some(RunPermit::Granted) => _ = granted_by.insert(node),
                Some(RunPermit::Blocked) => return Some(RunPermit::Blocked),
                Some(denied) => denial = Some(denied),
                None => {}
            }
            if members.has_quorum(quorums, |member| granted_by.contains(&member.node)) {
                return Some(RunPermit::Granted);
            }
        }
        denial
    }

    /// Asks some members to tell this front of restricted requests from now on. Returns whether
    /// all of them have told of them before.
    pub fn watch_restrictions(&self, time_limit: Duration) -> bool {
        let restricted = self.restricted_requests();
        let members = self.members();
        let mut all_known = true;
        for member in watched_members(&members, self) {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let known_version = restricted.known_version(client.address());
            all_known &= known_version.is_some();
            let fields = Rc::new(ExtensionFields {
                known_restrictions: Some(known_version.unwrap_or_default()),
                ..ExtensionFields::default()
            });
            let deadline = Instant::now() + time_limit;
            tokio::task::spawn_local(async move {
                let read = |fields: ExtensionFields| fields.restrictions;
                ask(&client, fields, read, deadline).await;
            });
        }
        restricted.retain_stores(|address| {
            let mut all = members.all();
            all.any(|member| member.address.as_str() == address)
        });
        all_known
    }
}

/// Returns as few members as intersect every write quorum: those of the front's zone, then others,
/// which differ from front to front.
fn watched_members<'a>(members: &'a Members, group: &GroupClient) -> Vec<&'a Member> {
    let front = u64::from(group.front());
    let mut order: Vec<&Member> = members.all().collect();
    order.sort_by_cached_key(|member| {
        let TurnKey(hash) = TurnKey::of(&member.node);
        (!group.is_local(member), mix(hash ^ mix(front)))
    });
    let mut watched: Vec<&Member> = Vec::new();
    for member in order {
        let is_watched = |other: &Member| watched.iter().any(|known| known.node == other.node);
        if members.intersects_every_quorum(group.tolerance(), is_watched) {
            break;
        }
        watched.push(member);
    }
    watched
}

fn decode_permit(number: u8) -> Option<RunPermit> {
    let all = [
        RunPermit::Granted,
        RunPermit::ReplicaBusy,
        RunPermit::RequestBusy,
        RunPermit::Blocked,
    ];
    all.into_iter().find(|permit| *permit as u8 == number)
}

impl GroupClients {
    /// Returns the group that remembers under which requests replicas ended.
    pub fn run_group(&self) -> Option<Rc<GroupClient>> {
        self.first_group()
    }
}
