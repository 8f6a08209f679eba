//! One plain function for each promise of the brief, over what a run recorded.

use std::collections::{BTreeMap, BTreeSet};

use stageyoke_core::gateway::{CallAnswer, QueryAnswer};
use stageyoke_core::program::{Message, MessageRole};
use stageyoke_types::{ProgramKey, RunState, Time};

use crate::engine::{AttemptId, answer_to};
use crate::record::{Observation, OperationId};
use crate::workload::Outcome;

/// A promise that was broken, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

/// The promises of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// The calls of one program stay in order.
    Order,
    /// A session's history is never lost.
    HistoryKept,
    /// A session's history is never mixed with another's.
    HistoryUnmixed,
    /// A program's budget holds.
    Budget,
    /// No engine memory stays held for programs that are gone.
    EngineMemory,
    /// A caller gets the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    NotRunTrue,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A back end that is leaving gets no new work after a few seconds.
    Leaving,
    /// An accepted configuration is in force everywhere and never reverts.
    Configuration,
    /// Every request gets an answer, and work goes on after faults heal.
    Progress,
    /// At most one leader in each term of a shard.
    OneLeader,
    /// A planned stop cuts no request.
    PlannedStop,
}

type Check = fn(&Outcome) -> Result<(), Violation>;

/// Runs every check.
pub fn check_all(outcome: &Outcome) -> Vec<Violation> {
    let checks: [Check; 13] = [
        order,
        history_kept,
        history_unmixed,
        budget,
        engine_memory,
        whole_answer,
        not_run_true,
        at_most_once,
        leaving,
        configuration,
        progress,
        one_leader,
        planned_stop,
    ];
    checks
        .iter()
        .filter_map(|check| check(outcome).err())
        .collect()
}

/// How long a leaving engine may still be given work, ms.
const LEAVING_GRACE_MS: Time = 3_000;

fn broken(promise: Promise, detail: String) -> Result<(), Violation> {
    Err(Violation { promise, detail })
}

/// Whether every copy of a program's shard was physically destroyed.
fn is_destroyed(outcome: &Outcome, program: &ProgramKey) -> bool {
    let shard = program.shard(crate::workload::SHARDS);
    outcome.cluster.is_destroyed(shard)
}

/// The final history of each program, as its last query showed it.
fn final_histories(outcome: &Outcome) -> BTreeMap<ProgramKey, Vec<Message>> {
    let mut histories = BTreeMap::new();
    for recorded in &outcome.record {
        if let Observation::Queried {
            program,
            answer: QueryAnswer::View(Some(view)),
        } = &recorded.what
        {
            histories.insert(program.clone(), view.history.0.clone());
        }
    }
    histories
}

struct Submission<'a> {
    operation: OperationId,
    attempt_of: AttemptId,
    program: &'a ProgramKey,
    key: Option<&'a str>,
    text: &'a str,
}

fn submissions(outcome: &Outcome) -> Vec<Submission<'_>> {
    let mut submissions = Vec::new();
    for recorded in &outcome.record {
        if let Observation::Submitted {
            operation,
            attempt_of,
            program,
            key,
            text,
            ..
        } = &recorded.what
        {
            submissions.push(Submission {
                operation: *operation,
                attempt_of: *attempt_of,
                program,
                key: key.as_ref().map(|key| key.0.as_str()),
                text,
            });
        }
    }
    submissions
}

fn answers(outcome: &Outcome) -> BTreeMap<OperationId, &CallAnswer> {
    let mut answers = BTreeMap::new();
    for recorded in &outcome.record {
        if let Observation::Answered { operation, answer } = &recorded.what {
            answers.insert(*operation, answer);
        }
    }
    answers
}

/// Each call's prompt at the engine is the history so far plus its message:
/// no finished call is missing from it, and none of a later one is in it.
fn order(outcome: &Outcome) -> Result<(), Violation> {
    let histories = final_histories(outcome);
    for recorded in &outcome.record {
        let Observation::EngineRan {
            program, prompt, ..
        } = &recorded.what
        else {
            continue;
        };
        let history = histories.get(program);
        let Some(history) = history.filter(|_| !is_destroyed(outcome, program)) else {
            continue;
        };
        let Some((message, before)) = prompt.split_last() else {
            continue;
        };
        if history.get(..before.len()) != Some(before) {
            return broken(
                Promise::Order,
                format!("{}: prompt is not a prefix of the history", program.program),
            );
        }
        let place = history.iter().position(|entry| entry == message);
        if place.is_some_and(|place| place != before.len()) {
            return broken(
                Promise::Order,
                format!(
                    "{}: {:?} ran out of order",
                    program.program, message.content
                ),
            );
        }
    }
    Ok(())
}

/// Every finished answer is in the final history, exactly once, after its own
/// message, and every answer there follows from all that stands before it.
fn history_kept(outcome: &Outcome) -> Result<(), Violation> {
    let histories = final_histories(outcome);
    let whole = histories
        .iter()
        .filter(|(program, _)| !is_destroyed(outcome, program));
    for (program, history) in whole {
        for (place, message) in history.iter().enumerate() {
            let is_answer = message.role == MessageRole::Assistant;
            if is_answer && message.content.as_str() != answer_to(&history[..place]) {
                return broken(
                    Promise::HistoryKept,
                    format!("{}: entry {place} does not follow", program.program),
                );
            }
        }
    }
    let answers = answers(outcome);
    for submission in submissions(outcome) {
        let Some(CallAnswer::Finished { answer, .. }) = answers.get(&submission.operation) else {
            continue;
        };
        let count = histories.get(submission.program).map_or(0, |history| {
            let same = history.iter().filter(|entry| entry.content == *answer);
            same.count()
        });
        if count != 1 && !is_destroyed(outcome, submission.program) {
            return broken(
                Promise::HistoryKept,
                format!("{}: an answer stands {count} times", submission.text),
            );
        }
    }
    Ok(())
}

/// Every message in a history was sent for that program.
fn history_unmixed(outcome: &Outcome) -> Result<(), Violation> {
    for (program, history) in final_histories(outcome) {
        let own = format!("{} call", program.program);
        for message in &history {
            if message.role == MessageRole::User && !message.content.starts_with(&own) {
                return broken(
                    Promise::HistoryUnmixed,
                    format!("{}: holds {:?}", program.program, message.content),
                );
            }
        }
    }
    Ok(())
}

/// No tree makes more calls than any of its programs allows.
fn budget(outcome: &Outcome) -> Result<(), Violation> {
    let mut calls: BTreeMap<&ProgramKey, BTreeSet<(&ProgramKey, u32)>> = BTreeMap::new();
    for recorded in &outcome.record {
        if let Observation::EngineRan { program, call, .. } = &recorded.what {
            for holder in outcome.limits.keys() {
                let below = format!("{}/", holder.program);
                if holder == program || program.program.0.starts_with(&below) {
                    calls.entry(holder).or_default().insert((program, call.0));
                }
            }
        }
    }
    for (holder, made) in calls {
        let limit = outcome.limits.get(holder).map_or(0, |limits| limits.calls);
        if limit != 0 && made.len() > limit as usize && !is_destroyed(outcome, holder) {
            return broken(
                Promise::Budget,
                format!("{}: {} calls of {limit}", holder.program, made.len()),
            );
        }
    }
    Ok(())
}

/// At the end no engine holds anything for an ended program.
fn engine_memory(outcome: &Outcome) -> Result<(), Violation> {
    let mut ended = BTreeSet::new();
    for recorded in &outcome.record {
        if let Observation::Queried {
            program,
            answer: QueryAnswer::View(Some(view)),
        } = &recorded.what
            && view.ended.is_some()
            && view.open_calls == 0
        {
            ended.insert(program);
        }
    }
    for (id, engine) in &outcome.cluster.engines {
        if let Some(program) = engine.held.iter().find(|program| ended.contains(program)) {
            return broken(
                Promise::EngineMemory,
                format!("{id} holds memory of {}", program.program),
            );
        }
    }
    Ok(())
}

/// A finished answer names the caller's own message and is whole.
fn whole_answer(outcome: &Outcome) -> Result<(), Violation> {
    let answers = answers(outcome);
    for submission in submissions(outcome) {
        let Some(CallAnswer::Finished { answer, .. }) = answers.get(&submission.operation) else {
            continue;
        };
        let prefix = format!("re {} #", submission.text);
        let whole = answer.starts_with(&prefix) && answer.len() == prefix.len() + DIGEST_LENGTH;
        if !whole {
            return broken(
                Promise::WholeAnswer,
                format!("{} got {answer:?}", submission.text),
            );
        }
    }
    Ok(())
}

/// Length of the digest at the end of an engine's answer.
const DIGEST_LENGTH: usize = 16;

/// No engine was ever given a request that was answered with `not_run`.
fn not_run_true(outcome: &Outcome) -> Result<(), Violation> {
    let answers = answers(outcome);
    for submission in submissions(outcome) {
        let Some(CallAnswer::Failed(failure)) = answers.get(&submission.operation) else {
            continue;
        };
        if failure.run_state != RunState::NotRun {
            continue;
        }
        let ran = outcome.record.iter().any(|recorded| {
            matches!(&recorded.what, Observation::EngineRan { attempt, .. }
                if attempt.gateway == submission.attempt_of.gateway
                    && attempt.request == submission.attempt_of.request)
        });
        if ran {
            return broken(
                Promise::NotRunTrue,
                format!("{} ran after all: {failure:?}", submission.text),
            );
        }
    }
    Ok(())
}

/// No keyed message was given to engines more than once.
fn at_most_once(outcome: &Outcome) -> Result<(), Violation> {
    let keyed: BTreeSet<&str> = submissions(outcome)
        .iter()
        .filter(|submission| submission.key.is_some())
        .filter(|submission| !is_destroyed(outcome, submission.program))
        .map(|submission| submission.text)
        .collect();
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for recorded in &outcome.record {
        if let Observation::EngineRan { prompt, .. } = &recorded.what
            && let Some(message) = prompt.last()
            && keyed.contains(message.content.as_str())
        {
            *runs.entry(message.content.as_str()).or_default() += 1;
        }
    }
    match runs.iter().find(|(_, count)| **count > 1) {
        Some((text, count)) => broken(Promise::AtMostOnce, format!("{text} ran {count} times")),
        None => Ok(()),
    }
}

/// No engine is given work later than the grace after it announced leaving.
/// A machine that was paused or cut off in between cannot have heard, so only
/// runs without such machines count here.
fn leaving(outcome: &Outcome) -> Result<(), Violation> {
    let mut since: BTreeMap<&str, Time> = BTreeMap::new();
    for recorded in &outcome.record {
        match &recorded.what {
            Observation::EngineLeaving { engine } => {
                since.insert(engine.0.as_str(), recorded.at);
            }
            Observation::EngineRan { engine, .. } => {
                let announced = since.get(engine.0.as_str());
                let late = announced.is_some_and(|at| recorded.at > at + LEAVING_GRACE_MS);
                if late && !has_pauses(outcome) {
                    return broken(Promise::Leaving, format!("{engine} was given new work"));
                }
            }
            _ => {}
        }
    }
    Ok(())
}

fn has_pauses(outcome: &Outcome) -> bool {
    let mut faults = outcome.plan.faults.iter();
    faults.any(|fault| matches!(fault.action, crate::cluster::Action::Pause { .. }))
}

/// Versions in force on a node only rise during a life, and at the end every
/// running node has the last accepted one.
fn configuration(outcome: &Outcome) -> Result<(), Violation> {
    let mut in_force: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    let mut accepted = 0;
    for recorded in &outcome.record {
        match &recorded.what {
            Observation::ConfigAccepted { version } => accepted = accepted.max(version.0),
            Observation::ConfigInForce {
                node,
                life,
                version,
            } => {
                let before = in_force.insert((*node, *life), version.0).unwrap_or(0);
                if version.0 <= before {
                    return broken(
                        Promise::Configuration,
                        format!("node {node} went from {before} to {version}"),
                    );
                }
            }
            _ => {}
        }
    }
    for (index, machine) in outcome.cluster.machines.iter().enumerate() {
        let version = machine.node.as_ref().map(|node| node.status().config.0);
        if version.is_some_and(|version| version != accepted) && accepted_survives(outcome) {
            return broken(
                Promise::Configuration,
                format!("node {index} has {version:?} instead of {accepted}"),
            );
        }
    }
    Ok(())
}

/// In these runs there is no key-value service to read again, so a version
/// that only a crashed or stopped node had read is not expected anywhere.
fn accepted_survives(outcome: &Outcome) -> bool {
    let mut faults = outcome.plan.faults.iter();
    !faults.any(|fault| {
        use crate::cluster::Action;
        matches!(fault.action, Action::Crash { .. } | Action::Drain { .. })
    })
}

/// Every request was answered or lost its connection, and after the faults
/// healed every program could be called again or says why not.
fn progress(outcome: &Outcome) -> Result<(), Violation> {
    let mut open: BTreeSet<OperationId> = BTreeSet::new();
    for recorded in &outcome.record {
        match &recorded.what {
            Observation::Submitted { operation, .. } => {
                open.insert(*operation);
            }
            Observation::Answered { operation, .. } | Observation::Disconnected { operation } => {
                open.remove(operation);
            }
            _ => {}
        }
    }
    if outcome.cluster.is_storm() {
        return broken(Promise::Progress, "messages bred messages".to_owned());
    }
    if let Some(operation) = open.first() {
        return broken(Promise::Progress, format!("{operation:?} got no answer"));
    }
    let answers = answers(outcome);
    for submission in submissions(outcome) {
        let is_final = outcome.final_operations.contains(&submission.operation);
        if let Some(CallAnswer::Failed(failure)) = answers.get(&submission.operation)
            && is_final
            && failure
                .kind
                .response()
                .retry
                .retry_after_seconds()
                .is_some()
            && !is_destroyed(outcome, submission.program)
        {
            return broken(
                Promise::Progress,
                format!("a call after all faults failed: {failure:?}"),
            );
        }
    }
    Ok(())
}

/// A term of a shard never has two leaders.
fn one_leader(outcome: &Outcome) -> Result<(), Violation> {
    let mut leaders = BTreeMap::new();
    for recorded in &outcome.record {
        if let Observation::LeaderElected { node, shard, term } = &recorded.what {
            let first = *leaders.entry((*shard, *term)).or_insert(*node);
            if first != *node {
                return broken(
                    Promise::OneLeader,
                    format!("shard {shard} term {term}: nodes {first} and {node}"),
                );
            }
        }
    }
    Ok(())
}

/// Where nothing but planned stops happened to the machines, no caller loses
/// its connection.
fn planned_stop(outcome: &Outcome) -> Result<(), Violation> {
    use crate::cluster::Action;
    let mut faults = outcome.plan.faults.iter();
    let only_planned = faults.all(|fault| {
        matches!(
            fault.action,
            Action::Drain { .. } | Action::EngineCrash { .. } | Action::Configure { .. }
        )
    });
    if !only_planned || outcome.plan.loss > 0.0 {
        return Ok(());
    }
    let mut cut = outcome
        .record
        .iter()
        .filter(|recorded| matches!(recorded.what, Observation::Disconnected { .. }));
    match cut.next() {
        Some(recorded) => broken(Promise::PlannedStop, format!("{:?}", recorded.what)),
        None => Ok(()),
    }
}
