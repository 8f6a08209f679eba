//! Protocol names for the front's tests.

use hyper::header::HeaderName;
use stageyoke_front::{ProtocolNames, UrgencyScale};

/// Returns the header names and paths that the tests use.
pub fn names() -> ProtocolNames {
    let name = HeaderName::from_static;
    ProtocolNames {
        request_id: name("id"),
        deadline: name("deadline"),
        signature: name("signed"),
        instance: name("instance"),
        not_run: name("not-run"),
        token_counts: name("tokens"),
        prompt_parts: name("parts"),
        program: name("program"),
        program_deadline: name("finish"),
        budget: name("budget"),
        previous_turn: name("previous"),
        resumed_stream: name("resumes"),
        last_event: name("last-event-id"),
        tenant: name("tenant"),
        urgency: UrgencyScale {
            header: name("urgency"),
            least_urgent: 9,
        },
        object_cookie: "object",
        reserved: vec![name("copy-from")],
        readiness_path: "/ready",
        wrong_instance_status: 421,
    }
}
