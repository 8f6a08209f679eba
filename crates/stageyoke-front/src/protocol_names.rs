//! Header names and paths of the operator's platform, supplied by the platform adapter.

use hyper::header::HeaderName;

/// Scale on which engines receive a request's urgency. They admit lower numbers first and
/// preempt higher ones.
#[derive(Clone, Debug)]
pub struct UrgencyScale {
    /// Header that carries the urgency; values sent by callers are removed.
    pub header: HeaderName,
    /// Largest number of the scale, which is the least urgent.
    pub least_urgent: u8,
}

/// Names used in requests and responses.
#[derive(Clone, Debug)]
pub struct ProtocolNames {
    /// Identifier of one attempt, echoed in the response.
    pub request_id: HeaderName,
    /// Remaining time of the caller or the replica, in milliseconds.
    pub deadline: HeaderName,
    /// Signature of a replica's response.
    pub signature: HeaderName,
    /// Replica incarnation that a request is meant for.
    pub instance: HeaderName,
    /// Marks the response to a request that was not run.
    pub not_run: HeaderName,
    /// Prompt tokens and maximum number of generated tokens.
    pub token_counts: HeaderName,
    /// Parts of the prompt with their tokens, in order.
    pub prompt_parts: HeaderName,
    /// Program of a request.
    pub program: HeaderName,
    /// Time until the program should be complete, in milliseconds.
    pub program_deadline: HeaderName,
    /// Token budget of the whole program.
    pub budget: HeaderName,
    /// Turn that a request continues.
    pub previous_turn: HeaderName,
    /// Request identifier of the caller's attempt that brought a stream's first event.
    pub resumed_stream: HeaderName,
    /// Last event that a caller has of the stream which it continues.
    pub last_event: HeaderName,
    /// Tenant of the caller, for replicas.
    pub tenant: HeaderName,
    /// Urgency of a request, for engines.
    pub urgency: UrgencyScale,
    /// Cookie that names the object of a request.
    pub object_cookie: &'static str,
    /// Headers that only the front may send to replicas; removed from callers' requests.
    pub reserved: Vec<HeaderName>,
    /// Path of readiness probes.
    pub readiness_path: &'static str,
    /// Status with which a replica reports that it is another incarnation.
    pub wrong_instance_status: u16,
}
