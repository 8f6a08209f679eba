//! Which stores count for which tenant, and a front's questions to them.
//!
//! A tenant's limit holds over all fronts, so one store counts its requests: the
//! first by a weight that all fronts work out alike. The second is told of each
//! grant and goes on where the first does not answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::StoreGroups;
use stageyoke_policy::quota::{Question, Verdict};
use stageyoke_types::Text;
use stageyoke_types::hash::mix;
use tokio::time::Instant;

use crate::client::StoreClient;
use crate::keys::TurnKey;
use crate::message::{QuotaAnswer, QuotaQuestion, Reply, Request};

/// How long an owner may take before the next is asked: several ways there and
/// back between zones, and the longest pauses of a store that is only busy.
const ANSWER_WITHIN: Duration = Duration::from_millis(60);
/// An owner that did not answer is asked after the next ones for this long.
const DISTRUST: Duration = Duration::from_millis(1000);
/// Owners that are asked for one request: the two that count, and one in their
/// place.
const ASKED: usize = 3;
/// Owners that count for a tenant.
const COUNTING: usize = 2;
/// How long a grant is told to the other owner.
const TELL_WITHIN: Duration = Duration::from_millis(500);

/// A store with the hash by which it is ranked.
#[derive(Clone, Debug)]
struct Ranked {
    node: Text,
    hash: u64,
}

/// What an owner has said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ruling {
    /// Whether the request may be made.
    pub verdict: Verdict,
    /// Fronts that the owner hears from.
    pub fronts: u16,
}

/// The stores as owners of tenants' limits.
#[derive(Debug, Default)]
pub struct Owners {
    stores: RefCell<Vec<Ranked>>,
    distrusted: RefCell<HashMap<Text, Instant>>,
}

impl Owners {
    /// Follows the members of the store groups.
    pub fn follow(&self, stores: &StoreGroups) {
        let ranked = stores.members().map(|member| Ranked {
            node: member.node.clone(),
            hash: TurnKey::of(&member.node).0,
        });
        *self.stores.borrow_mut() = ranked.collect();
        self.distrusted.borrow_mut().clear();
    }

    /// A tenant's owners, the first first.
    pub fn of(&self, tenant: u64) -> Vec<Text> {
        let stores = self.stores.borrow();
        let weighed = stores
            .iter()
            .map(|store| (mix(store.hash ^ tenant), &store.node));
        let mut ranked: Vec<(u64, &Text)> = weighed.collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(ASKED);
        first.map(|(_, node)| node.clone()).collect()
    }

    fn distrusts(&self, node: &Text) -> bool {
        let distrusted = self.distrusted.borrow();
        distrusted
            .get(node)
            .is_some_and(|until| *until > Instant::now())
    }

    /// Asks a tenant's owners one after the other; `None` where none answers.
    pub async fn ask(
        &self,
        question: Question,
        client: impl Fn(&Text) -> Option<Rc<StoreClient>>,
    ) -> Option<Ruling> {
        let owners = self.of(question.tenant);
        let mut order: Vec<(usize, &Text)> = owners.iter().enumerate().collect();
        order.sort_by_key(|(_, node)| self.distrusts(node));
        for (rank, node) in order {
            let Some(asked) = client(node) else {
                continue;
            };
            let standby = rank >= COUNTING;
            let question = Question {
                standby,
                ..question
            };
            let request = Request::Quota(QuotaQuestion::from(question));
            let Ok(Reply::Quota(answer)) = asked.call(request, ANSWER_WITHIN).await else {
                let until = Instant::now() + DISTRUST;
                self.distrusted.borrow_mut().insert(node.clone(), until);
                continue;
            };
            let ruling = Ruling::from(answer);
            if ruling.verdict == Verdict::Granted {
                let others = owners.iter().take(COUNTING).filter(|other| *other != node);
                tell_granted(question, others.filter_map(&client));
            }
            return Some(ruling);
        }
        None
    }
}

/// Tells the other owner of a grant. One that does not hear of it may grant as
/// much again where it goes on for the first.
fn tell_granted(question: Question, others: impl Iterator<Item = Rc<StoreClient>>) {
    for other in others {
        let request = Request::QuotaGranted(QuotaQuestion::from(question));
        tokio::task::spawn_local(async move {
            let _ = other.call(request, TELL_WITHIN).await;
        });
    }
}

impl From<QuotaAnswer> for Ruling {
    fn from(answer: QuotaAnswer) -> Self {
        let after = Duration::from_millis(u64::from(answer.retry_after_milliseconds));
        let verdict = match (answer.known, answer.granted) {
            (false, _) => Verdict::Unknown,
            (true, true) => Verdict::Granted,
            (true, false) => Verdict::Refused(after),
        };
        Self {
            verdict,
            fronts: answer.fronts,
        }
    }
}
