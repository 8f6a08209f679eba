//! What the demonstration checks at its end, from callers' logs, programs as
//! shown by the nodes, and the engines' records of what they ran.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use super::Row;
use super::programs::{SEQUENTIAL_PREFIX, Seen};
use crate::caller::Reply;
use crate::standins::engine::RunRecord;
use crate::standins::text::{PromptMessage, complete_answer};

/// Most tokens of any answer in the demonstration; the stand-in's are shorter.
const MAX_TOKENS: u32 = 1_024;

/// A program's history as shown by a node.
pub struct History {
    /// Program.
    pub program: String,
    entries: Vec<(String, String)>,
}

impl History {
    /// The history in a program's JSON.
    pub fn of(program: &str, body: &Value) -> Self {
        let entries = body["history"].as_array().cloned().unwrap_or_default();
        let text =
            |entry: &Value, field: &str| entry[field].as_str().unwrap_or_default().to_owned();
        Self {
            program: program.to_owned(),
            entries: entries
                .iter()
                .map(|entry| (text(entry, "role"), text(entry, "content")))
                .collect(),
        }
    }

    fn follows_from_itself(&self) -> bool {
        let prompt: Vec<PromptMessage<'_>> = self
            .entries
            .iter()
            .map(|(role, content)| PromptMessage { role, content })
            .collect();
        (0..prompt.len()).all(|place| {
            prompt[place].role != "assistant"
                || prompt[place].content == complete_answer(&prompt[..place], MAX_TOKENS)
        })
    }

    fn count(&self, role: &str, content: &str) -> usize {
        let entries = self.entries.iter();
        let same = entries.filter(|entry| entry.0 == role && entry.1 == content);
        same.count()
    }

    fn place_of(&self, content: &str) -> Option<usize> {
        self.entries.iter().position(|entry| entry.1 == content)
    }
}

/// Calls of one program stand in the order in which they were answered.
pub fn order(seen: &[Seen], histories: &[History]) -> Row {
    let mut out_of_order = 0;
    let mut compared = 0;
    for history in histories
        .iter()
        .filter(|history| is_sequential(&history.program))
    {
        let mut last = None;
        for call in answered(seen, &history.program) {
            let place = history.place_of(&call.text);
            out_of_order += usize::from(place < last);
            compared += 1;
            last = place;
        }
    }
    Row {
        promise: "calls of a program stay in order",
        held: out_of_order == 0 && compared > 0,
        seen: format!("{compared} answered calls, {out_of_order} out of order"),
    }
}

/// Programs whose callers wait for each answer before the next call.
fn is_sequential(program: &str) -> bool {
    program.starts_with(SEQUENTIAL_PREFIX)
}

fn answered<'s>(seen: &'s [Seen], program: &'s str) -> impl Iterator<Item = &'s Seen> {
    seen.iter().filter(move |call| {
        call.program == program && call.replies.iter().any(|reply| reply.answer().is_some())
    })
}

/// Every answer stands once in its program's history, and every history
/// follows from itself.
pub fn history(seen: &[Seen], histories: &[History]) -> Row {
    let mut missing = 0;
    let mut checked = 0;
    for history in histories {
        for call in answered(seen, &history.program) {
            let answer = call.replies.iter().find_map(Reply::answer);
            checked += 1;
            let is_kept = history.count("user", &call.text) == 1
                && history.count("assistant", answer.unwrap_or_default()) == 1;
            missing += usize::from(!is_kept);
        }
    }
    let broken = histories
        .iter()
        .filter(|history| !history.follows_from_itself())
        .count();
    Row {
        promise: "histories are never lost",
        held: missing == 0 && broken == 0 && checked > 0,
        seen: format!(
            "{checked} answers in {} histories, {missing} not there once, {broken} broken",
            histories.len()
        ),
    }
}

/// Every message of a history was sent to that program.
pub fn unmixed(histories: &[History]) -> Row {
    let mut foreign = 0;
    let mut messages = 0;
    for history in histories {
        let own = format!("{} ", history.program);
        for (role, content) in &history.entries {
            messages += 1;
            foreign += usize::from(role == "user" && !content.starts_with(&own));
        }
    }
    Row {
        promise: "histories are never mixed",
        held: foreign == 0 && messages > 0,
        seen: format!("{messages} messages, {foreign} foreign"),
    }
}

/// Every answer is the whole answer to its own request: it stands in the
/// history right after it.
pub fn whole_answers(seen: &[Seen], histories: &[History]) -> Row {
    let mut wrong = 0;
    let mut checked = 0;
    for history in histories {
        for call in answered(seen, &history.program) {
            let answer = call.replies.iter().find_map(Reply::answer);
            let next = history.place_of(&call.text).map(|place| place + 1);
            let kept = next.and_then(|next| history.entries.get(next));
            checked += 1;
            wrong += usize::from(kept.map(|entry| entry.1.as_str()) != answer);
        }
    }
    Row {
        promise: "callers get their own whole answer",
        held: wrong == 0 && checked > 0,
        seen: format!("{checked} answers, {wrong} not the recorded one"),
    }
}

/// No keyed message ran twice.
pub fn at_most_once(seen: &[Seen], runs: &[RunRecord]) -> Row {
    let keyed: BTreeSet<&str> = seen
        .iter()
        .filter(|call| call.keyed)
        .map(|call| call.text.as_str())
        .collect();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs {
        *counts.entry(run.last_message.as_str()).or_default() += 1;
    }
    let twice = keyed
        .iter()
        .filter(|text| counts.get(**text).copied().unwrap_or(0) > 1);
    let twice = twice.count();
    let unknown = seen
        .iter()
        .filter(|call| call.replies.iter().any(is_unknown))
        .count();
    Row {
        promise: "keyed calls run at most once",
        held: twice == 0 && !keyed.is_empty(),
        seen: format!(
            "{} keyed calls, {twice} ran twice, {unknown} told that the outcome is unknown",
            keyed.len()
        ),
    }
}

fn is_unknown(reply: &Reply) -> bool {
    matches!(reply, Reply::Rejected { run_state, .. } if run_state == "unknown")
}

/// Whatever was answered with `not_run`, and never otherwise, did not run.
pub fn not_run(seen: &[Seen], runs: &[RunRecord]) -> Row {
    let ran: BTreeSet<&str> = runs.iter().map(|run| run.last_message.as_str()).collect();
    let refused: Vec<&Seen> = seen
        .iter()
        .filter(|call| call.replies.iter().all(is_not_run))
        .collect();
    let lies = refused
        .iter()
        .filter(|call| ran.contains(call.text.as_str()));
    let lies = lies.count();
    Row {
        promise: "\"not run\" is true",
        held: lies == 0,
        seen: format!("{} calls refused as not run, {lies} ran", refused.len()),
    }
}

fn is_not_run(reply: &Reply) -> bool {
    matches!(reply, Reply::Rejected { run_state, .. } if run_state == "not_run")
}
