//! Header names and paths of the operator's platform, given by the adapter.

use hyper::header::HeaderName;

/// How engines are told a request's urgency: they admit the lower number first, and
/// take places from the higher one.
#[derive(Clone, Debug)]
pub struct UrgencyScale {
    /// Header that carries it; a caller's own is taken away.
    pub header: HeaderName,
    /// The highest number, which is the least urgent.
    pub least_urgent: u8,
}

/// Names that the front reads and writes.
#[derive(Clone, Debug)]
pub struct ProtocolNames {
    /// Identifier of one try; echoed in the answer.
    pub request_id: HeaderName,
    /// Milliseconds that the caller, or a replica, has.
    pub deadline: HeaderName,
    /// Signature of a replica's answer.
    pub signature: HeaderName,
    /// Incarnation that a request is meant for.
    pub instance: HeaderName,
    /// Marks an answer to a request that was not run.
    pub not_run: HeaderName,
    /// Prompt tokens and most tokens to generate.
    pub token_counts: HeaderName,
    /// Parts of a prompt, in order, with their tokens.
    pub prompt_parts: HeaderName,
    /// Program of a request.
    pub program: HeaderName,
    /// Milliseconds until the program should be over.
    pub program_deadline: HeaderName,
    /// Tokens that all turns of the program may generate.
    pub budget: HeaderName,
    /// Turn that a request goes on from.
    pub previous_turn: HeaderName,
    /// Name of the caller's tenant, as replicas are told it.
    pub tenant: HeaderName,
    /// Urgency of a request, as engines are told it.
    pub urgency: UrgencyScale,
    /// Cookie whose value names the object that a request concerns.
    pub object_cookie: &'static str,
    /// What only the front may say to replicas: taken away from callers' requests.
    pub reserved: Vec<HeaderName>,
    /// Path of the readiness question.
    pub readiness_path: &'static str,
    /// The one status with which a replica says that it is another incarnation.
    pub wrong_instance_status: u16,
}
