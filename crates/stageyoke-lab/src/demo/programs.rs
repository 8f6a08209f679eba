//! Programs of the demonstration: several turns with pauses for tools, some with a
//! sub-agent; each turn goes through another node.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::caller::{CallPlan, Caller, Reply};

/// Name prefix of the programs that wait for each answer before the next call.
pub const SEQUENTIAL_PREFIX: &str = "program-";
/// Maximum attempts of a turn with an idempotency key.
const MAX_ATTEMPTS: usize = 12;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Request and its replies as seen by the caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Name of the program.
    pub program: String,
    /// Text of the request's message.
    pub text: String,
    /// `true` if the request carried an idempotency key.
    pub keyed: bool,
    /// Replies in the order of the attempts.
    pub replies: Vec<Reply>,
}

/// Requests and replies of all callers.
pub type CallLog = Arc<Mutex<Vec<CallRecord>>>;

/// Caller addresses of the running nodes.
pub type NodeAddresses = Arc<Mutex<Vec<SocketAddr>>>;

/// State shared by all programs of a run.
#[derive(Clone)]
pub struct RunContext {
    /// Client that sends the requests.
    pub caller: Caller,
    /// Addresses of the nodes to send requests to.
    pub nodes: NodeAddresses,
    /// Requests and replies so far.
    pub log: CallLog,
}

impl RunContext {
    /// Returns the node for a turn; an unreachable address if no node runs.
    pub fn node(&self, turn: usize) -> SocketAddr {
        match self.nodes.lock() {
            Ok(nodes) if !nodes.is_empty() => nodes[turn % nodes.len()],
            _ => SocketAddr::from(([127, 0, 0, 1], 9)),
        }
    }

    /// Adds a call to the log.
    pub fn record_call(&self, call: CallRecord) {
        if let Ok(mut log) = self.log.lock() {
            log.push(call);
        }
    }

    /// Returns a copy of the log.
    pub fn calls(&self) -> Vec<CallRecord> {
        self.log.lock().map(|log| log.clone()).unwrap_or_default()
    }
}

/// Parameters of a program.
#[derive(Clone, Debug)]
pub struct ProgramPlan {
    /// Identifier of the program.
    pub id: String,
    /// Program kind, sent as the model's name.
    pub kind: String,
    /// Number of turns.
    pub turns: usize,
    /// Pause between turns, in place of a tool call.
    pub tool_pause: Duration,
    /// Sends an idempotency key with every turn if `true`.
    pub keyed: bool,
    /// Runs a sub-agent after the first turn if `true`.
    pub sub_agent: bool,
}

/// Runs all turns of a program.
pub async fn run_program(context: RunContext, plan: ProgramPlan) {
    for turn in 0..plan.turns {
        let text = format!("{} turn {turn}", plan.id);
        let target = TurnTarget {
            kind: &plan.kind,
            program: &plan.id,
            parent: None,
            keyed: plan.keyed,
        };
        run_turn(&context, &target, &text, turn).await;
        if plan.sub_agent && turn == 0 {
            run_sub_agent(&context, &plan).await;
        }
        tokio::time::sleep(plan.tool_pause).await;
    }
}

struct TurnTarget<'a> {
    kind: &'a str,
    program: &'a str,
    parent: Option<&'a str>,
    keyed: bool,
}

async fn run_sub_agent(context: &RunContext, plan: &ProgramPlan) {
    for turn in 0..2 {
        let text = format!("{}/helper turn {turn}", plan.id);
        let target = TurnTarget {
            kind: &plan.kind,
            program: "helper",
            parent: Some(&plan.id),
            keyed: false,
        };
        run_turn(context, &target, &text, turn + 1).await;
    }
}

/// Runs a turn. A turn with an idempotency key is retried through other nodes until
/// its reply is final.
async fn run_turn(context: &RunContext, target: &TurnTarget<'_>, text: &str, turn: usize) {
    let key = format!("key {text}");
    let plan = CallPlan {
        model: target.kind,
        text,
        program: Some(target.program),
        parent: target.parent,
        key: target.keyed.then_some(key.as_str()),
        stream: turn.is_multiple_of(2),
    };
    let mut replies = Vec::new();
    for attempt in 0..MAX_ATTEMPTS {
        let reply = context
            .caller
            .call(context.node(turn + attempt), &plan)
            .await;
        let is_retried = target.keyed && is_retryable(&reply);
        replies.push(reply);
        if !is_retried {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let program = match target.parent {
        Some(parent) => format!("{parent}/{}", target.program),
        None => target.program.to_owned(),
    };
    context.record_call(CallRecord {
        program,
        text: text.to_owned(),
        keyed: target.keyed,
        replies,
    });
}

/// Returns `true` if a retry with the same key may get a different reply.
fn is_retryable(reply: &Reply) -> bool {
    match reply {
        Reply::Answer(_) => false,
        Reply::Incomplete => true,
        Reply::Rejected {
            kind, run_state, ..
        } => run_state == "not_run" || kind == "deadline_exceeded",
    }
}
