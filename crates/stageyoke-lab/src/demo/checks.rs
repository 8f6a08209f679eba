//! Final checks of the demonstration, based on the callers' logs, the histories
//! returned by the nodes and the engines' records of accepted attempts.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use super::CheckResult;
use super::programs::{CallRecord, SEQUENTIAL_PREFIX};
use crate::caller::Reply;
use crate::standins::engine::RunRecord;
use crate::standins::text::{PromptMessage, complete_answer};

/// Token limit above the length of any answer in the demonstration.
const MAX_TOKENS: u32 = 1_024;

/// History of a program as returned by a node.
pub struct History {
    /// Name of the program.
    pub program: String,
    entries: Vec<(String, String)>,
}

impl History {
    /// Reads the history from a node's JSON answer about a program.
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

    fn is_consistent(&self) -> bool {
        let prompt: Vec<PromptMessage<'_>> = self
            .entries
            .iter()
            .map(|(role, content)| PromptMessage { role, content })
            .collect();
        (0..prompt.len()).all(|position| {
            prompt[position].role != "assistant"
                || prompt[position].content == complete_answer(&prompt[..position], MAX_TOKENS)
        })
    }

    fn count(&self, role: &str, content: &str) -> usize {
        let entries = self.entries.iter();
        let matching = entries.filter(|entry| entry.0 == role && entry.1 == content);
        matching.count()
    }

    fn position_of(&self, content: &str) -> Option<usize> {
        self.entries.iter().position(|entry| entry.1 == content)
    }
}

/// Checks that histories hold the calls in the order in which they were answered.
pub fn check_call_order(calls: &[CallRecord], histories: &[History]) -> CheckResult {
    let mut out_of_order = 0;
    let mut compared = 0;
    for history in histories
        .iter()
        .filter(|history| is_sequential(&history.program))
    {
        let mut last = None;
        for call in answered_calls(calls, &history.program) {
            let position = history.position_of(&call.text);
            out_of_order += usize::from(position < last);
            compared += 1;
            last = position;
        }
    }
    CheckResult {
        guarantee: "calls of a program stay in order",
        held: out_of_order == 0 && compared > 0,
        observed: format!("{compared} answered calls, {out_of_order} out of order"),
    }
}

/// Returns `true` for programs whose caller waits for each answer before the next
/// call.
fn is_sequential(program: &str) -> bool {
    program.starts_with(SEQUENTIAL_PREFIX)
}

fn answered_calls<'s>(
    calls: &'s [CallRecord],
    program: &'s str,
) -> impl Iterator<Item = &'s CallRecord> {
    calls.iter().filter(move |call| {
        call.program == program && call.replies.iter().any(|reply| reply.answer().is_some())
    })
}

/// Checks that each answer occurs once in its program's history, and that each
/// answer in a history follows from the messages before it.
pub fn check_histories_complete(calls: &[CallRecord], histories: &[History]) -> CheckResult {
    let mut missing = 0;
    let mut checked = 0;
    for history in histories {
        for call in answered_calls(calls, &history.program) {
            let answer = call.replies.iter().find_map(Reply::answer);
            checked += 1;
            let is_stored = history.count("user", &call.text) == 1
                && history.count("assistant", answer.unwrap_or_default()) == 1;
            missing += usize::from(!is_stored);
        }
    }
    let broken = histories
        .iter()
        .filter(|history| !history.is_consistent())
        .count();
    CheckResult {
        guarantee: "histories are never lost",
        held: missing == 0 && broken == 0 && checked > 0,
        observed: format!(
            "{checked} answers in {} histories, {missing} not there once, {broken} broken",
            histories.len()
        ),
    }
}

/// Checks that each user message in a history was sent to that program.
pub fn check_histories_separate(histories: &[History]) -> CheckResult {
    let mut foreign = 0;
    let mut messages = 0;
    for history in histories {
        let prefix = format!("{} ", history.program);
        for (role, content) in &history.entries {
            messages += 1;
            foreign += usize::from(role == "user" && !content.starts_with(&prefix));
        }
    }
    CheckResult {
        guarantee: "histories are never mixed",
        held: foreign == 0 && messages > 0,
        observed: format!("{messages} messages, {foreign} foreign"),
    }
}

/// Checks that the history has each answer directly after its own request.
pub fn check_answers(calls: &[CallRecord], histories: &[History]) -> CheckResult {
    let mut wrong = 0;
    let mut checked = 0;
    for history in histories {
        for call in answered_calls(calls, &history.program) {
            let answer = call.replies.iter().find_map(Reply::answer);
            let next = history.position_of(&call.text).map(|position| position + 1);
            let stored = next.and_then(|next| history.entries.get(next));
            checked += 1;
            wrong += usize::from(stored.map(|entry| entry.1.as_str()) != answer);
        }
    }
    CheckResult {
        guarantee: "callers get their own whole answer",
        held: wrong == 0 && checked > 0,
        observed: format!("{checked} answers, {wrong} not the recorded one"),
    }
}

/// Checks that no message with an idempotency key ran twice.
pub fn check_at_most_once(calls: &[CallRecord], runs: &[RunRecord]) -> CheckResult {
    let keyed: BTreeSet<&str> = calls
        .iter()
        .filter(|call| call.keyed)
        .map(|call| call.text.as_str())
        .collect();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs {
        *counts.entry(run.last_message.as_str()).or_default() += 1;
    }
    let repeated = keyed
        .iter()
        .filter(|text| counts.get(**text).copied().unwrap_or(0) > 1);
    let repeated = repeated.count();
    let unknown = calls
        .iter()
        .filter(|call| call.replies.iter().any(is_unknown))
        .count();
    CheckResult {
        guarantee: "keyed calls run at most once",
        held: repeated == 0 && !keyed.is_empty(),
        observed: format!(
            "{} keyed calls, {repeated} ran twice, {unknown} told that the outcome is unknown",
            keyed.len()
        ),
    }
}

fn is_unknown(reply: &Reply) -> bool {
    matches!(reply, Reply::Rejected { run_state, .. } if run_state == "unknown")
}

/// Checks that calls that were only ever answered `not_run` did not run.
pub fn check_not_run_errors(calls: &[CallRecord], runs: &[RunRecord]) -> CheckResult {
    let executed: BTreeSet<&str> = runs.iter().map(|run| run.last_message.as_str()).collect();
    let rejected: Vec<&CallRecord> = calls
        .iter()
        .filter(|call| call.replies.iter().all(is_not_run))
        .collect();
    let false_errors = rejected
        .iter()
        .filter(|call| executed.contains(call.text.as_str()));
    let false_errors = false_errors.count();
    CheckResult {
        guarantee: "\"not run\" is true",
        held: false_errors == 0,
        observed: format!(
            "{} calls refused as not run, {false_errors} ran",
            rejected.len()
        ),
    }
}

fn is_not_run(reply: &Reply) -> bool {
    matches!(reply, Reply::Rejected { run_state, .. } if run_state == "not_run")
}
