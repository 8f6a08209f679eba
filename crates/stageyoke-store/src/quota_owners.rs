//! Which stores count for which tenant, and a front's questions to them.
//!
//! A tenant's limit holds over all fronts, so one store counts its requests: the
//! first by a weight that all fronts work out alike. Some others are told of each
//! grant, one more than may be lost at once, and go on where the first does not
//! answer. A store that has not been there for a whole window leaves the decision to
//! one that has.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{StoreGroups, Tolerance};
use stageyoke_observe::metrics;
use stageyoke_policy::quota::{AcquireRequest, QuotaDecision};
use stageyoke_types::Text;
use stageyoke_types::hash::mix;
use tokio::time::Instant;

use crate::client::StoreClient;
use crate::keys::TurnKey;
use crate::message::{QuotaReceipt, QuotaReply, QuotaRequest, Reply, Request};

/// How long an owner may take before the next is asked: several ways there and
/// back between zones, and the longest pauses of a store that is only busy.
const ANSWER_WITHIN: Duration = Duration::from_millis(60);
/// An owner that did not answer is asked after the next ones for this long.
const DISTRUST: Duration = Duration::from_millis(1000);
/// Owners that count for a tenant at least.
const LEAST_COUNTING: usize = 2;
/// How long a grant is told to another owner.
const TELL_WITHIN: Duration = Duration::from_millis(500);

/// A store with the hash by which it is ranked, and where it stands.
#[derive(Clone, Debug)]
struct Ranked {
    node: Text,
    hash: u64,
    zone: Text,
    region: Text,
}

/// A tenant's owners, the first first.
#[derive(Debug, Default)]
struct Ranking {
    /// Those that count.
    counting: Vec<Text>,
    /// The one that is asked in their place.
    standby: Option<Text>,
}

/// How an owner is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asking {
    /// To decide if it knows the whole window.
    Usual,
    /// To decide as well as it can.
    Pressed,
    /// To decide in place of others.
    Standby,
}

/// A request that an owner has granted, by which it can be given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Who granted it.
    pub owner: Text,
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Where it is counted.
    pub receipt: QuotaReceipt,
}

/// What an owner has said.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerDecision {
    /// Whether the request may be made.
    pub verdict: QuotaDecision,
    /// Fronts that the owner hears from.
    pub fronts: u16,
    /// The grant, if it is one.
    pub grant: Option<QuotaGrant>,
}

/// The stores as owners of tenants' limits.
#[derive(Debug, Default)]
pub struct QuotaOwners {
    tolerance: Tolerance,
    stores: RefCell<Vec<Ranked>>,
    distrusted: RefCell<HashMap<Text, Instant>>,
}

impl QuotaOwners {
    /// Owners of which so many may be lost at once.
    pub fn with_tolerance(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Follows the members of the store groups.
    pub fn update_stores(&self, stores: &StoreGroups) {
        let regions = &self.tolerance.region_by_zone;
        let ranked = stores.members().map(|member| Ranked {
            node: member.node.clone(),
            hash: TurnKey::of(&member.node).0,
            zone: member.zone.clone(),
            region: match regions.get(member.zone.as_str()) {
                Some(region) => Text::from(region.as_str()),
                None => member.zone.clone(),
            },
        });
        *self.stores.borrow_mut() = ranked.collect();
        self.distrusted.borrow_mut().clear();
    }

    /// The stores that count for a tenant, the first first.
    pub fn counting_owners(&self, tenant: u64) -> Vec<Text> {
        self.ranking(tenant).counting
    }

    /// A tenant's owners, the first first: those that count, and one in their place.
    pub fn owners_of(&self, tenant: u64) -> Vec<Text> {
        let ranking = self.ranking(tenant);
        ranking
            .counting
            .into_iter()
            .chain(ranking.standby)
            .collect()
    }

    fn ranking(&self, tenant: u64) -> Ranking {
        let stores = self.stores.borrow();
        let mut left: Vec<&Ranked> = stores.iter().collect();
        left.sort_unstable_by_key(|store| (mix(store.hash ^ tenant), &store.node));
        let mut counting: Vec<&Ranked> = Vec::new();
        while let Some(next) = self.next_counting(&counting, &left) {
            counting.push(left.remove(next));
        }
        Ranking {
            counting: counting.iter().map(|store| store.node.clone()).collect(),
            standby: left.first().map(|store| store.node.clone()),
        }
    }

    /// Position of the next store that shall count beside these; `None` if some of
    /// them are left whatever is lost.
    fn next_counting(&self, counting: &[&Ranked], left: &[&Ranked]) -> Option<usize> {
        let zones: BTreeSet<&Text> = counting.iter().map(|store| &store.zone).collect();
        let regions: BTreeSet<&Text> = counting.iter().map(|store| &store.region).collect();
        let wants_zone = self.tolerance.zones > 0 && zones.len() <= self.tolerance.zones;
        let wants_region = self.tolerance.regions > 0 && regions.len() <= self.tolerance.regions;
        let elsewhere = |store: &&Ranked| {
            let zone = wants_zone && !zones.contains(&store.zone);
            let region = wants_region && !regions.contains(&store.region);
            zone || region
        };
        let elsewhere = left.iter().position(elsewhere);
        let wanted = LEAST_COUNTING.max(self.tolerance.machines + 1);
        let next = (counting.len() < wanted && !left.is_empty()).then_some(0);
        elsewhere.or(next)
    }

    fn distrusts(&self, node: &Text) -> bool {
        let distrusted = self.distrusted.borrow();
        distrusted
            .get(node)
            .is_some_and(|until| *until > Instant::now())
    }

    /// Asks a tenant's owners one after the other; `None` where none answers. One that
    /// does not know the whole window decides only where none does.
    pub async fn request_decision(
        &self,
        question: AcquireRequest,
        client: impl Fn(&Text) -> Option<Rc<StoreClient>>,
    ) -> Option<OwnerDecision> {
        let ranking = self.ranking(question.tenant);
        let counting = ranking.counting.iter();
        let (distrusted, trusted): (Vec<_>, Vec<_>) =
            counting.partition(|node| self.distrusts(node));
        let mut unsure: Vec<&Text> = Vec::new();
        for node in trusted {
            match self.ask_one(node, question, Asking::Usual, &client).await {
                Some(ruling) if ruling.verdict != QuotaDecision::Unknown => {
                    return Some(ranking.settle(node, question, ruling, client));
                }
                Some(_) => unsure.push(node),
                None => {}
            }
        }
        let pressed = |node| (node, Asking::Pressed);
        let standby = ranking.standby.iter().map(|node| (node, Asking::Standby));
        let unsure = unsure.into_iter().map(pressed);
        let distrusted = distrusted.into_iter().map(pressed);
        for (node, asking) in unsure.chain(standby).chain(distrusted) {
            if let Some(ruling) = self.ask_one(node, question, asking, &client).await {
                return Some(ranking.settle(node, question, ruling, client));
            }
        }
        None
    }

    /// Asks one owner; one that does not answer is asked after others for a while.
    async fn ask_one(
        &self,
        node: &Text,
        question: AcquireRequest,
        asking: Asking,
        client: &impl Fn(&Text) -> Option<Rc<StoreClient>>,
    ) -> Option<OwnerDecision> {
        let asked = client(node)?;
        let tenant = question.tenant;
        let question = QuotaRequest {
            standby: asking == Asking::Standby,
            forced: asking == Asking::Pressed,
            ..QuotaRequest::from(question)
        };
        match asked.call(Request::Quota(question), ANSWER_WITHIN).await {
            Ok(Reply::Quota(answer)) => Some(OwnerDecision::of(answer, node, tenant)),
            Ok(_) | Err(_) => {
                let until = Instant::now() + DISTRUST;
                self.distrusted.borrow_mut().insert(node.clone(), until);
                None
            }
        }
    }
}

impl Ranking {
    /// Tells the others that count of a grant.
    fn settle(
        &self,
        node: &Text,
        question: AcquireRequest,
        ruling: OwnerDecision,
        client: impl Fn(&Text) -> Option<Rc<StoreClient>>,
    ) -> OwnerDecision {
        if ruling.verdict == QuotaDecision::Granted {
            let others = self.counting.iter().filter(|other| *other != node);
            tell_granted(question, others.filter_map(client));
        }
        ruling
    }
}

/// Tells other owners of a grant. One that does not hear of it may grant as
/// much again where it goes on for the first.
fn tell_granted(question: AcquireRequest, others: impl Iterator<Item = Rc<StoreClient>>) {
    for other in others {
        let request = Request::QuotaGranted(QuotaRequest::from(question));
        tokio::task::spawn_local(tell(other, request));
    }
}

/// Gives back a request that an owner has granted and that was not run. One that does
/// not hear of it counts it until it leaves the window.
pub(crate) fn refund(grant: &QuotaGrant, client: Option<Rc<StoreClient>>) {
    let Some(owner) = client else {
        metrics().quota_unreported.inc();
        return;
    };
    let request = Request::QuotaRefund {
        tenant: grant.tenant,
        receipt: grant.receipt,
    };
    tokio::task::spawn_local(tell(owner, request));
}

/// Tells an owner something that it may miss; how often it does is counted.
async fn tell(owner: Rc<StoreClient>, request: Request) {
    if owner.call(request, TELL_WITHIN).await.is_err() {
        metrics().quota_unreported.inc();
    }
}

impl OwnerDecision {
    fn of(answer: QuotaReply, owner: &Text, tenant: u64) -> Self {
        let after = Duration::from_millis(u64::from(answer.retry_after_milliseconds));
        let verdict = match (answer.decided, answer.granted) {
            (false, _) => QuotaDecision::Unknown,
            (true, true) => QuotaDecision::Granted,
            (true, false) => QuotaDecision::Rejected(after),
        };
        let grant = (verdict == QuotaDecision::Granted).then(|| QuotaGrant {
            owner: owner.clone(),
            tenant,
            receipt: answer.receipt,
        });
        Self {
            verdict,
            fronts: answer.fronts,
            grant,
        }
    }
}
