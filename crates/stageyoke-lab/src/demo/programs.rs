//! The programs of the demonstration: several turns with tool pauses, some
//! with sub-agents, each turn through another node.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::caller::{CallPlan, Caller, Reply};

/// Start of the names of programs that make one call after another.
pub const SEQUENTIAL_PREFIX: &str = "program-";
/// Tries of one keyed turn.
const TRIES: usize = 12;
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Program.
    pub program: String,
    /// Text that was sent.
    pub text: String,
    /// Whether it carried a key.
    pub keyed: bool,
    /// Every reply, in order of the tries.
    pub replies: Vec<Reply>,
}

/// Everything callers saw.
pub type Log = Arc<Mutex<Vec<Seen>>>;

/// The nodes that callers know; changes as nodes stop and start.
pub type Nodes = Arc<Mutex<Vec<SocketAddr>>>;

/// What all programs of a run share.
#[derive(Clone)]
pub struct World {
    /// Client.
    pub caller: Caller,
    /// Nodes.
    pub nodes: Nodes,
    /// What callers saw.
    pub log: Log,
}

impl World {
    /// The node that a turn goes through.
    pub fn node(&self, turn: usize) -> SocketAddr {
        match self.nodes.lock() {
            Ok(nodes) if !nodes.is_empty() => nodes[turn % nodes.len()],
            _ => SocketAddr::from(([127, 0, 0, 1], 9)),
        }
    }

    /// Adds to the log.
    pub fn note(&self, seen: Seen) {
        if let Ok(mut log) = self.log.lock() {
            log.push(seen);
        }
    }

    /// The log so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.log.lock().map(|log| log.clone()).unwrap_or_default()
    }
}

/// One program of the demonstration.
#[derive(Clone, Debug)]
pub struct ProgramPlan {
    /// Identifier.
    pub id: String,
    /// Kind.
    pub kind: String,
    /// Turns.
    pub turns: usize,
    /// Pause between turns, as for a tool.
    pub tool_pause: Duration,
    /// Every turn carries a key.
    pub keyed: bool,
    /// Starts a sub-agent after its first turn.
    pub sub_agent: bool,
}

/// Plays a program to its last turn.
pub async fn play(world: World, plan: ProgramPlan) {
    for turn in 0..plan.turns {
        let text = format!("{} turn {turn}", plan.id);
        let target = Target {
            kind: &plan.kind,
            program: &plan.id,
            parent: None,
            keyed: plan.keyed,
        };
        make_turn(&world, &target, &text, turn).await;
        if plan.sub_agent && turn == 0 {
            play_sub_agent(&world, &plan).await;
        }
        tokio::time::sleep(plan.tool_pause).await;
    }
}

struct Target<'a> {
    kind: &'a str,
    program: &'a str,
    parent: Option<&'a str>,
    keyed: bool,
}

async fn play_sub_agent(world: &World, plan: &ProgramPlan) {
    for turn in 0..2 {
        let text = format!("{}/helper turn {turn}", plan.id);
        let target = Target {
            kind: &plan.kind,
            program: "helper",
            parent: Some(&plan.id),
            keyed: false,
        };
        make_turn(world, &target, &text, turn + 1).await;
    }
}

/// Makes one turn; a keyed one is asked again, with its key and through other
/// nodes, until it has an answer that will not change.
async fn make_turn(world: &World, target: &Target<'_>, text: &str, turn: usize) {
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
    for attempt in 0..TRIES {
        let reply = world.caller.call(world.node(turn + attempt), &plan).await;
        let retry = target.keyed && may_change(&reply);
        replies.push(reply);
        if !retry {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    let program = match target.parent {
        Some(parent) => format!("{parent}/{}", target.program),
        None => target.program.to_owned(),
    };
    world.note(Seen {
        program,
        text: text.to_owned(),
        keyed: target.keyed,
        replies,
    });
}

/// Whether asking again with the same key may bring another reply.
fn may_change(reply: &Reply) -> bool {
    match reply {
        Reply::Answer(_) => false,
        Reply::Incomplete => true,
        Reply::Rejected {
            kind, run_state, ..
        } => run_state == "not_run" || kind == "deadline_exceeded",
    }
}
