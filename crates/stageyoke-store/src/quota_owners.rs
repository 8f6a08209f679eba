//! Selects the stores that own a tenant's quota and asks them on behalf of a front.
//!
//! A tenant's limit applies across all fronts, so one store counts its requests: the first in
//! a ranking by hash that all fronts compute alike. Each grant is also reported to other
//! owners, one more than may be lost at once, which take over when the first does not answer.
//! An owner that has not been running for a whole window leaves the decision to one that has.

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

/// Time limit for an owner's answer: several round trips between zones plus the longest pause
/// of a busy store.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which an owner that did not answer is asked last.
const DEPRIORITIZED_PERIOD: Duration = Duration::from_millis(1000);
/// Minimum number of owners that count a tenant's requests.
const MIN_COUNTING_OWNERS: usize = 2;
/// Time limit for a report to an owner.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// A store's rank hash and its location.
#[derive(Clone, Debug)]
struct RankedStore {
    node: Text,
    hash: u64,
    zone: Text,
    region: Text,
}

/// Owners of a tenant's quota in the order in which they are asked.
#[derive(Debug, Default)]
struct OwnerRanking {
    /// Owners that count the tenant's requests.
    counting: Vec<Text>,
    /// Owner that decides if none of the counting owners does.
    standby: Option<Text>,
}

/// How an owner decides on a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecisionMode {
    /// Only if it has counted for a whole window.
    Normal,
    /// With the counts that it has.
    BestEffort,
    /// In place of the counting owners.
    Standby,
}

/// A granted request, with what a refund needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Owner that granted the request.
    pub owner: Text,
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Window slot in which the owner counted the request.
    pub receipt: QuotaReceipt,
}

/// An owner's decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerDecision {
    /// Verdict on the request.
    pub verdict: QuotaDecision,
    /// Number of fronts that report to the owner.
    pub fronts: u16,
    /// Grant to refund if the request is not run; `None` if it was rejected.
    pub grant: Option<QuotaGrant>,
}

/// Ranks the stores as owners of tenants' quotas.
#[derive(Debug, Default)]
pub struct QuotaOwners {
    tolerance: Tolerance,
    stores: RefCell<Vec<RankedStore>>,
    deprioritized: RefCell<HashMap<Text, Instant>>,
}

impl QuotaOwners {
    /// Creates a ranking whose counting owners survive the losses of this tolerance.
    pub fn with_tolerance(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Replaces the ranked stores by the members of these store groups.
    pub fn update_stores(&self, stores: &StoreGroups) {
        let regions = &self.tolerance.region_by_zone;
        let ranked = stores.members().map(|member| RankedStore {
            node: member.node.clone(),
            hash: TurnKey::of(&member.node).0,
            zone: member.zone.clone(),
            region: match regions.get(member.zone.as_str()) {
                Some(region) => Text::from(region.as_str()),
                None => member.zone.clone(),
            },
        });
        *self.stores.borrow_mut() = ranked.collect();
        self.deprioritized.borrow_mut().clear();
    }

    /// Stores that count a tenant's requests, the first to be asked first.
    pub fn counting_owners(&self, tenant: u64) -> Vec<Text> {
        self.ranking(tenant).counting
    }

    /// All owners of a tenant's quota: the counting ones in order, then the standby.
    pub fn owners_of(&self, tenant: u64) -> Vec<Text> {
        let ranking = self.ranking(tenant);
        ranking
            .counting
            .into_iter()
            .chain(ranking.standby)
            .collect()
    }

    fn ranking(&self, tenant: u64) -> OwnerRanking {
        let stores = self.stores.borrow();
        let mut candidates: Vec<&RankedStore> = stores.iter().collect();
        candidates.sort_unstable_by_key(|store| (mix(store.hash ^ tenant), &store.node));
        let mut counting: Vec<&RankedStore> = Vec::new();
        while let Some(next) = self.next_counting_owner(&counting, &candidates) {
            counting.push(candidates.remove(next));
        }
        OwnerRanking {
            counting: counting.iter().map(|store| store.node.clone()).collect(),
            standby: candidates.first().map(|store| store.node.clone()),
        }
    }

    /// Returns the index in `candidates` of the next store that has to count; `None` once enough
    /// counting stores survive any tolerated loss.
    fn next_counting_owner(
        &self,
        counting: &[&RankedStore],
        candidates: &[&RankedStore],
    ) -> Option<usize> {
        let zones: BTreeSet<&Text> = counting.iter().map(|store| &store.zone).collect();
        let regions: BTreeSet<&Text> = counting.iter().map(|store| &store.region).collect();
        let wants_zone = self.tolerance.zones > 0 && zones.len() <= self.tolerance.zones;
        let wants_region = self.tolerance.regions > 0 && regions.len() <= self.tolerance.regions;
        let elsewhere = |store: &&RankedStore| {
            let zone = wants_zone && !zones.contains(&store.zone);
            let region = wants_region && !regions.contains(&store.region);
            zone || region
        };
        let elsewhere = candidates.iter().position(elsewhere);
        let required = MIN_COUNTING_OWNERS.max(self.tolerance.machines + 1);
        let next = (counting.len() < required && !candidates.is_empty()).then_some(0);
        elsewhere.or(next)
    }

    fn is_deprioritized(&self, node: &Text) -> bool {
        let deprioritized = self.deprioritized.borrow();
        deprioritized
            .get(node)
            .is_some_and(|until| *until > Instant::now())
    }

    /// Asks a tenant's owners one after the other; `None` if none answers. An owner without a
    /// whole window of counts decides only if no other can.
    pub async fn request_decision(
        &self,
        question: AcquireRequest,
        client: impl Fn(&Text) -> Option<Rc<StoreClient>>,
    ) -> Option<OwnerDecision> {
        let ranking = self.ranking(question.tenant);
        let counting = ranking.counting.iter();
        let (deprioritized, preferred): (Vec<_>, Vec<_>) =
            counting.partition(|node| self.is_deprioritized(node));
        let mut undecided: Vec<&Text> = Vec::new();
        for node in preferred {
            match self
                .request_from(node, question, DecisionMode::Normal, &client)
                .await
            {
                Some(decision) if decision.verdict != QuotaDecision::Unknown => {
                    return Some(ranking.report_if_granted(node, question, decision, client));
                }
                Some(_) => undecided.push(node),
                None => {}
            }
        }
        let best_effort = |node| (node, DecisionMode::BestEffort);
        let standby = ranking
            .standby
            .iter()
            .map(|node| (node, DecisionMode::Standby));
        let undecided = undecided.into_iter().map(best_effort);
        let deprioritized = deprioritized.into_iter().map(best_effort);
        for (node, mode) in undecided.chain(standby).chain(deprioritized) {
            if let Some(decision) = self.request_from(node, question, mode, &client).await {
                return Some(ranking.report_if_granted(node, question, decision, client));
            }
        }
        None
    }

    /// Asks one owner. One that does not answer is deprioritized for a while.
    async fn request_from(
        &self,
        node: &Text,
        question: AcquireRequest,
        mode: DecisionMode,
        client: &impl Fn(&Text) -> Option<Rc<StoreClient>>,
    ) -> Option<OwnerDecision> {
        let owner_client = client(node)?;
        let tenant = question.tenant;
        let question = QuotaRequest {
            standby: mode == DecisionMode::Standby,
            forced: mode == DecisionMode::BestEffort,
            ..QuotaRequest::from(question)
        };
        match owner_client
            .call(Request::Quota(question), ANSWER_TIMEOUT)
            .await
        {
            Ok(Reply::Quota(answer)) => Some(OwnerDecision::from_answer(answer, node, tenant)),
            Ok(_) | Err(_) => {
                let until = Instant::now() + DEPRIORITIZED_PERIOD;
                self.deprioritized.borrow_mut().insert(node.clone(), until);
                None
            }
        }
    }
}

impl OwnerRanking {
    /// Reports a grant to the other counting owners.
    fn report_if_granted(
        &self,
        node: &Text,
        question: AcquireRequest,
        decision: OwnerDecision,
        client: impl Fn(&Text) -> Option<Rc<StoreClient>>,
    ) -> OwnerDecision {
        if decision.verdict == QuotaDecision::Granted {
            let other_owners = self.counting.iter().filter(|other| *other != node);
            report_grant(question, other_owners.filter_map(client));
        }
        decision
    }
}

/// Reports a grant to other owners. One that misses the report may grant as much again if it
/// takes over.
fn report_grant(question: AcquireRequest, other_owners: impl Iterator<Item = Rc<StoreClient>>) {
    for other in other_owners {
        let request = Request::QuotaGranted(QuotaRequest::from(question));
        tokio::task::spawn_local(send_report(other, request));
    }
}

/// Refunds a granted request that was not run. If the owner misses the refund, the request
/// counts until it leaves the window.
pub(crate) fn refund(grant: &QuotaGrant, client: Option<Rc<StoreClient>>) {
    let Some(owner) = client else {
        metrics().quota_unreported.inc();
        return;
    };
    let request = Request::QuotaRefund {
        tenant: grant.tenant,
        receipt: grant.receipt,
    };
    tokio::task::spawn_local(send_report(owner, request));
}

/// Sends a report that the owner may miss; counts failures in a metric.
async fn send_report(owner: Rc<StoreClient>, request: Request) {
    if owner.call(request, REPORT_TIMEOUT).await.is_err() {
        metrics().quota_unreported.inc();
    }
}

impl OwnerDecision {
    fn from_answer(answer: QuotaReply, owner: &Text, tenant: u64) -> Self {
        let retry_after = Duration::from_millis(u64::from(answer.retry_after_milliseconds));
        let verdict = match (answer.decided, answer.granted) {
            (false, _) => QuotaDecision::Unknown,
            (true, true) => QuotaDecision::Granted,
            (true, false) => QuotaDecision::Rejected(retry_after),
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
