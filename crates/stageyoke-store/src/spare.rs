//! A store that is a member of no group looks for the one that needs it: it asks
//! all members whether they are there.

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

/// Pause between two rounds of asking.
const ROUND_PAUSE: Duration = Duration::from_millis(1000);
/// Time for an answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(700);
/// A member that has not answered for this long is taken as lost: two rounds
/// and a bit. It stays a member until its peers remove it.
pub const LOST_MEMBER_TIMEOUT: Duration = Duration::from_millis(2300);

/// A process that has just started may be a spare as soon as it knows the groups; in a
/// group that can't serve without it each second counts.
const STARTING: Duration = Duration::from_secs(3);
const STARTING_PAUSE: Duration = Duration::from_millis(100);

/// How long a member may be silent before a spare takes its place: half of the time
/// that the group has to heal, so that the change itself has the other half, and no
/// longer than a survey needs.
pub fn replacement_timeout(catch_up: Duration) -> Duration {
    LOST_MEMBER_TIMEOUT.min(catch_up / 2)
}

struct Asked {
    client: StoreClient,
    since: Instant,
    answered_at: Cell<Option<Instant>>,
}

/// What a spare knows of the members of all groups.
#[derive(Default)]
pub struct MemberProber {
    asked: RefCell<HashMap<Text, Rc<Asked>>>,
    asked_since: Cell<Option<Instant>>,
}

impl MemberProber {
    /// The group that needs the store on this machine most. `None` before all members have had
    /// the time to answer, or if none does.
    pub fn group_in_need(
        &self,
        stores: &StoreGroups,
        size: usize,
        node: &str,
    ) -> Option<GroupNumber> {
        if stores.groups.len() > 1 && !self.has_probed_all() {
            return None;
        }
        select_group_for_spare(stores, size, node, |member| self.lives(member))
    }

    fn lives(&self, member: &Member) -> bool {
        self.silent_for(&member.node) < LOST_MEMBER_TIMEOUT
    }

    /// How long the member on this machine has not answered this spare's questions.
    pub fn silent_for(&self, node: &str) -> Duration {
        let asked = self.asked.borrow();
        let heard_at = asked
            .get(node)
            .map(|asked| asked.answered_at.get().unwrap_or(asked.since));
        // One that has just joined has not been asked yet: it was there then.
        heard_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Whether the member on this machine has had the time to answer, and never has.
    pub fn has_never_answered(&self, node: &str) -> bool {
        let asked = self.asked.borrow();
        asked.get(node).is_some_and(|asked| {
            asked.answered_at.get().is_none() && asked.since.elapsed() >= ANSWER_WITHIN
        })
    }

    /// Whether every member has had the time to answer.
    pub fn has_probed_all(&self) -> bool {
        let since = self.asked_since.get();
        since.is_some_and(|since| since.elapsed() >= LOST_MEMBER_TIMEOUT)
    }

    /// Asks all members once, without waiting, unless that was done just now.
    /// Needs a local task set.
    pub fn probe_members(&self, stores: &StoreGroups) {
        let mut asked = self.asked.borrow_mut();
        asked.retain(|node, asked| {
            let mut members = stores.members();
            members.any(|member| {
                member.node == *node && member.address.as_str() == asked.client.address()
            })
        });
        for member in stores.members() {
            let asked = asked.entry(member.node.clone()).or_insert_with(|| {
                Rc::new(Asked {
                    client: StoreClient::new(&member.address),
                    since: Instant::now(),
                    answered_at: Cell::new(None),
                })
            });
            let asked = asked.clone();
            tokio::task::spawn_local(async move {
                if asked
                    .client
                    .call(Request::Ping, ANSWER_WITHIN)
                    .await
                    .is_ok()
                {
                    asked.answered_at.set(Some(Instant::now()));
                }
            });
        }
    }

    /// Asks regularly while `spare` says that this store is one.
    pub async fn run(&self, spare: impl Fn() -> Option<Rc<StoreGroups>>) {
        let started = Instant::now();
        loop {
            match spare() {
                Some(stores) => {
                    if self.asked_since.get().is_none() {
                        self.asked_since.set(Some(Instant::now()));
                    }
                    self.probe_members(&stores);
                }
                None => {
                    self.asked_since.set(None);
                    self.asked.borrow_mut().clear();
                }
            }
            let pause = match self.asked_since.get() {
                None if started.elapsed() < STARTING => STARTING_PAUSE,
                _ => ROUND_PAUSE,
            };
            tokio::time::sleep(pause).await;
        }
    }
}
