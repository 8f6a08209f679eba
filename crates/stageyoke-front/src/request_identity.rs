//! Identity of a request over all attempts of its caller.
//!
//! A caller that repeats a request, resumes its stream or sends a turn anew changes the request's
//! identifier, its deadlines and the last event that it has. The identity covers what stays the
//! same and decides what the replica does. Requests of different programs are different requests.

use hyper::HeaderMap;
use hyper::http::Method;
use hyper::http::uri::PathAndQuery;
use stageyoke_types::Text;

use crate::protocol_names::ProtocolNames;
use crate::request::{ScopedIdentifiers, host_name};

/// Number of digits of an identity in log lines.
const LOGGED_DIGITS: usize = 32;

/// Identity of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestIdentity(pub u128);

/// What the identity covers.
pub struct IdentityParts<'a> {
    /// Name of the tenant; empty without one.
    pub tenant: &'a str,
    /// Program and turn that the request continues.
    pub identifiers: &'a ScopedIdentifiers,
    /// Method of the request.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a PathAndQuery,
    /// Headers of the caller.
    pub headers: &'a HeaderMap,
    /// Body of the request, without the transcript of earlier turns.
    pub input: &'a [u8],
}

impl RequestIdentity {
    /// Returns the identity of a request.
    pub fn of(parts: &IdentityParts<'_>, names: &ProtocolNames) -> Self {
        let header = |name| parts.headers.get(name).map(|value| value.as_bytes());
        let previous = parts.identifiers.previous.as_ref().map(Text::as_str);
        let hashed: [&[u8]; 8] = [
            parts.tenant.as_bytes(),
            parts.identifiers.program.as_bytes(),
            previous.unwrap_or_default().as_bytes(),
            parts.method.as_str().as_bytes(),
            host_name(parts.headers).unwrap_or_default().as_bytes(),
            parts.path.as_str().as_bytes(),
            header(&names.prompt_parts).unwrap_or_default(),
            parts.input,
        ];
        let mut hasher = blake3::Hasher::new();
        for part in hashed {
            // With the lengths, no two lists of parts are the same sequence of bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_le_bytes(bytes))
    }
}

impl std::fmt::Display for RequestIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:0width$x}", self.0, width = LOGGED_DIGITS)
    }
}
