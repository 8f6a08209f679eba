//! Lets a spare find the group that needs it, by pinging the members of all groups.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::groups::select_group_for_spare;
use stageyoke_directory::{GroupNumber, Member, StoreGroups};
use stageyoke_types::Text;
use tokio::time::Instant;

use crate::client::StoreClient;
use crate::message::Request;

/// Interval between two rounds of pings.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Time limit for a ping.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which an unresponsive member counts as lost: slightly more than two rounds. It
/// stays a member until its peers remove it.
pub const LOST_MEMBER_TIMEOUT: Duration = Duration::from_millis(2300);

/// Period after the start in which the store checks more often whether it is a spare: a group
/// that can't serve without it should not wait.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
const STARTUP_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a spare may replace an unresponsive member: half of the recovery time of
/// the group, which leaves the other half for the change, and at most the time that the pings
/// need to detect a loss.
pub fn replacement_timeout(catch_up: Duration) -> Duration {
    LOST_MEMBER_TIMEOUT.min(catch_up / 2)
}

struct ProbedMember {
    client: StoreClient,
    since: Instant,
    answered_at: Cell<Option<Instant>>,
}

/// Responsiveness of the members of all groups, as a spare sees it.
#[derive(Default)]
pub struct MemberProber {
    probed: RefCell<HashMap<Text, Rc<ProbedMember>>>,
    probing_since: Cell<Option<Instant>>,
}

impl MemberProber {
    /// Returns the group that needs the store `node` most; `None` if no group needs it or if
    /// members have not had time to answer yet.
    pub fn group_in_need(
        &self,
        stores: &StoreGroups,
        size: usize,
        node: &str,
    ) -> Option<GroupNumber> {
        if stores.groups.len() > 1 && !self.has_probed_all() {
            return None;
        }
        select_group_for_spare(stores, size, node, |member| self.is_alive(member))
    }

    fn is_alive(&self, member: &Member) -> bool {
        self.silent_for(&member.node) < LOST_MEMBER_TIMEOUT
    }

    /// Time since the member on this machine last answered a ping.
    pub fn silent_for(&self, node: &str) -> Duration {
        let probed = self.probed.borrow();
        let last_answer_at = probed
            .get(node)
            .map(|probed| probed.answered_at.get().unwrap_or(probed.since));
        // A member that has just joined has not been pinged yet and counts as live.
        last_answer_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Checks whether the member on this machine has had time to answer a ping and never did.
    pub fn has_never_answered(&self, node: &str) -> bool {
        let probed = self.probed.borrow();
        probed.get(node).is_some_and(|probed| {
            probed.answered_at.get().is_none() && probed.since.elapsed() >= PROBE_TIMEOUT
        })
    }

    /// Checks whether every member has had time to answer.
    pub fn has_probed_all(&self) -> bool {
        let since = self.probing_since.get();
        since.is_some_and(|since| since.elapsed() >= LOST_MEMBER_TIMEOUT)
    }

    /// Pings all members once without waiting for the answers. Needs a local task set.
    pub fn probe_members(&self, stores: &StoreGroups) {
        let mut probed = self.probed.borrow_mut();
        probed.retain(|node, probed| {
            let mut members = stores.members();
            members.any(|member| {
                member.node == *node && member.address.as_str() == probed.client.address()
            })
        });
        for member in stores.members() {
            let probed = probed.entry(member.node.clone()).or_insert_with(|| {
                Rc::new(ProbedMember {
                    client: StoreClient::new(&member.address),
                    since: Instant::now(),
                    answered_at: Cell::new(None),
                })
            });
            let probed = probed.clone();
            tokio::task::spawn_local(async move {
                if probed
                    .client
                    .call(Request::Ping, PROBE_TIMEOUT)
                    .await
                    .is_ok()
                {
                    probed.answered_at.set(Some(Instant::now()));
                }
            });
        }
    }

    /// Pings at regular intervals while `spare` returns the store groups, that is while this
    /// store is a spare.
    pub async fn run(&self, spare: impl Fn() -> Option<Rc<StoreGroups>>) {
        let started = Instant::now();
        loop {
            match spare() {
                Some(stores) => {
                    if self.probing_since.get().is_none() {
                        self.probing_since.set(Some(Instant::now()));
                    }
                    self.probe_members(&stores);
                }
                None => {
                    self.probing_since.set(None);
                    self.probed.borrow_mut().clear();
                }
            }
            let delay = match self.probing_since.get() {
                None if started.elapsed() < STARTUP_PERIOD => STARTUP_PROBE_INTERVAL,
                _ => PROBE_INTERVAL,
            };
            tokio::time::sleep(delay).await;
        }
    }
}
