//! What the front needs to know of a caller's request.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use stageyoke_directory::Tenant;
use stageyoke_types::Text;
use tokio::time::Instant;

use crate::prompt_cache::Prompt;
use crate::protocol_names::ProtocolNames;

/// Time for requests that name none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// When a program should be over.
#[derive(Clone, Copy, Debug)]
pub struct ProgramDeadline {
    arrived: Instant,
    left: Duration,
}

impl ProgramDeadline {
    /// Time that is left; none once the program is late.
    pub fn remaining(&self) -> Duration {
        self.left.saturating_sub(self.arrived.elapsed())
    }
}

/// A request's own figures.
#[derive(Clone, Debug)]
pub struct RequestParameters {
    /// Identifier of this try.
    pub request: Text,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Program; empty if none.
    pub program: Text,
    /// When the program should be over; in the past once it is late.
    pub program_deadline: Option<ProgramDeadline>,
    /// Tokens of the whole program.
    pub budget: Option<u64>,
    /// Most tokens of this request.
    pub max_tokens: u32,
    /// Parts of its prompt.
    pub prompt: Prompt,
    /// Turn that it goes on from.
    pub previous: Option<Text>,
}

impl RequestParameters {
    /// Reads the figures; a request without an identifier has none.
    pub fn read(headers: &HeaderMap, names: &ProtocolNames, arrived: Instant) -> Option<Self> {
        let request = text(headers, &names.request_id)?;
        let milliseconds = |name| number(headers, name).map(Duration::from_millis);
        let deadline = milliseconds(&names.deadline).unwrap_or(DEFAULT_TIMEOUT);
        Some(Self {
            request,
            deadline: arrived + deadline,
            program: text(headers, &names.program).unwrap_or_default(),
            program_deadline: milliseconds(&names.program_deadline)
                .map(|left| ProgramDeadline { arrived, left }),
            budget: number(headers, &names.budget),
            max_tokens: max_tokens(headers, names).unwrap_or_default(),
            prompt: text(headers, &names.prompt_parts)
                .map(|parts| Prompt::parse(&parts))
                .unwrap_or_default(),
            previous: text(headers, &names.previous_turn),
        })
    }
}

/// Identifiers under which stores keep what a request does. They are a tenant's
/// own: no tenant goes on from another's turn, or spends another's budget, by
/// naming it.
#[derive(Clone, Debug)]
pub struct ScopedIdentifiers {
    /// Program; empty if none.
    pub program: Text,
    /// The request's own turn.
    pub turn: Text,
    /// Turn that it goes on from.
    pub previous: Option<Text>,
}

impl ScopedIdentifiers {
    /// The identifiers of a request of this tenant.
    pub fn of(parameters: &RequestParameters, tenant: Option<&Tenant>) -> Self {
        let own = |identifier: &Text| match tenant {
            // Identifiers come from headers, which hold no line feed.
            Some(tenant) if !identifier.is_empty() => {
                Text::from(format!("{}\n{identifier}", tenant.name))
            }
            _ => identifier.clone(),
        };
        Self {
            program: own(&parameters.program),
            turn: own(&parameters.request),
            previous: parameters.previous.as_ref().map(own),
        }
    }
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<Text> {
    let value = headers.get(name)?.to_str().ok()?.trim();
    (!value.is_empty()).then(|| Text::from(value))
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

fn max_tokens(headers: &HeaderMap, names: &ProtocolNames) -> Option<u32> {
    let counts = headers.get(&names.token_counts)?.to_str().ok()?;
    counts.split(',').nth(1)?.trim().parse().ok()
}

/// Host without port.
pub fn host(headers: &HeaderMap) -> Option<&str> {
    let host = headers.get(hyper::header::HOST)?.to_str().ok()?;
    Some(host.split(':').next().unwrap_or(host))
}
