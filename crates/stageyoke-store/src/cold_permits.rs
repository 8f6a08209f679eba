//! Permits for requests to cold replicas: the store that owns a replica's permits, and the
//! exchange with it (`stageyoke_policy::cold_start`).

use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Member, StoreGroups};
use stageyoke_policy::cold_start::PermitDecision;
use stageyoke_types::hash::mix;

use crate::client::StoreClient;
use crate::extension::{ExtensionFields, Permit, PermitRequest};
use crate::frame::EncodedMessage;
use crate::keys::TurnKey;
use crate::message::Request;

/// Time limit for the owner's answer: several round trips between zones plus the longest pause
/// of a busy store.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a replica gets no request after its owner did not answer.
const UNANSWERED_DELAY: Duration = Duration::from_millis(250);

/// Returns the store that owns a replica's permits. A store knows whether it is the owner, so
/// two own the same replica only while they use different store groups.
pub fn owner(stores: &StoreGroups, replica: u64) -> Option<&Member> {
    stores.members().min_by_key(|member| {
        let TurnKey(hash) = TurnKey::of(&member.node);
        (mix(hash ^ replica), &member.node)
    })
}

/// Asks the owner for a permit. Without an answer there is none.
pub async fn request(owner: Option<Rc<StoreClient>>, request: PermitRequest) -> PermitDecision {
    let permit = match owner {
        Some(owner) => ask(&owner, request).await,
        None => None,
    };
    permit.map_or(PermitDecision::Denied(UNANSWERED_DELAY), Permit::decision)
}

async fn ask(owner: &StoreClient, request: PermitRequest) -> Option<Permit> {
    let ping = EncodedMessage::encode(&Request::Ping);
    let fields = Rc::new(ExtensionFields {
        permit_request: Some(request),
        ..ExtensionFields::default()
    });
    let call = || owner.call_with_fields(ping.clone(), fields.clone(), ANSWER_TIMEOUT);
    // The first message of a connection carries no request, as the version of the store is
    // unknown until it replies.
    let permit = call().await.ok()?.extension_fields.permit;
    match permit {
        Some(permit) => Some(permit),
        None => call().await.ok()?.extension_fields.permit,
    }
}

impl Permit {
    /// Converts a decision to its form in messages.
    pub fn new(decision: PermitDecision) -> Self {
        let retry_after = match decision {
            PermitDecision::Granted => Duration::ZERO,
            PermitDecision::Denied(wait) => wait,
        };
        Self {
            granted: decision == PermitDecision::Granted,
            retry_after_milliseconds: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn decision(self) -> PermitDecision {
        let wait = Duration::from_millis(u64::from(self.retry_after_milliseconds));
        match self.granted {
            true => PermitDecision::Granted,
            false => PermitDecision::Denied(wait),
        }
    }
}
