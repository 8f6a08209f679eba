//! Determines whether a day is a finding, and why.

use std::fmt;

use super::command::replay_command;
use super::entry::{DayResult, JournalEntry};

/// Served share of the total value below which a day is a finding.
const MIN_SERVED_SHARE: f64 = 0.5;

/// Why a day is a finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A rule was violated; with the number of violations.
    Broken(String, u64),
    /// A fault ended the day early.
    Fault(String),
    /// Too little was served; in hundredths of the total value.
    Served(u64),
    /// A requirement of the gate was missed.
    Short(String),
    /// The gate failed without a stated reason.
    Gate,
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(rule, times) => write!(formatter, "broken: {rule} {times}"),
            Self::Fault(fault) => write!(formatter, "fault: {fault}"),
            Self::Served(hundredths) => write!(formatter, "served 0.{hundredths:02}"),
            Self::Short(what) => write!(formatter, "short of the gate: {what}"),
            Self::Gate => write!(formatter, "the gate failed"),
        }
    }
}

/// A day with at least one reason to look into it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Identifier of the journal entry.
    pub entry: String,
    /// Purpose of the run.
    pub why: String,
    /// Name of the day.
    pub day: String,
    /// Reasons, at least one.
    pub reasons: Vec<Reason>,
    /// Command that replays the day.
    pub command: String,
}

impl Finding {
    /// Returns the finding for a day, if there is one.
    pub fn from_day(entry: &JournalEntry, day: &DayResult) -> Option<Self> {
        let reasons = reasons(day);
        let found = !reasons.is_empty();
        found.then(|| Self {
            entry: entry.id.clone(),
            why: entry.why.clone(),
            day: day.name.clone(),
            reasons,
            command: replay_command(entry, day),
        })
    }
}

fn reasons(day: &DayResult) -> Vec<Reason> {
    let broken = day.rules.iter();
    let broken = broken.map(|(rule, times)| Reason::Broken(rule.clone(), *times));
    let mut reasons: Vec<Reason> = broken.collect();
    reasons.extend(day.fault.clone().map(Reason::Fault));
    reasons.extend(too_little_served(day.served));
    reasons.extend(day.short.iter().cloned().map(Reason::Short));
    if reasons.is_empty() && !day.gate {
        reasons.push(Reason::Gate);
    }
    reasons
}

fn too_little_served(served: f64) -> Option<Reason> {
    let hundredths = (served.max(0.0) * 100.0).floor() as u64;
    (served < MIN_SERVED_SHARE).then_some(Reason::Served(hundredths))
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            entry,
            why,
            day,
            reasons,
            command,
        } = self;
        writeln!(formatter, "{entry} {day} ({why})")?;
        for reason in reasons {
            writeln!(formatter, "    {reason}")?;
        }
        write!(formatter, "    $ {command}")
    }
}
