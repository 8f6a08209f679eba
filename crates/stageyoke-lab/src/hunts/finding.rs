//! Whether a day shows something, and what.

use std::fmt;

use super::command::replay_command;
use super::entry::{JournalEntry, PlayedDay};

/// Share of the worth owed under which a day counts as not served.
const MIN_SERVED_SHARE: f64 = 0.5;

/// What makes a day a finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A rule was broken, this often.
    Broken(String, u64),
    /// The day ended before its time.
    Fault(String),
    /// Under half was served: hundredths of the worth owed.
    Served(u64),
    /// The gate asks for more.
    Short(String),
    /// The gate failed, and nothing says why.
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

/// A day that shows something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// JournalEntry that holds it.
    pub entry: String,
    /// What that entry was run for.
    pub why: String,
    /// The day's name.
    pub day: String,
    /// What it shows.
    pub reasons: Vec<Reason>,
    /// Command that plays it again.
    pub command: String,
}

impl Finding {
    /// What a day of an entry shows, if anything.
    pub fn from_day(entry: &JournalEntry, day: &PlayedDay) -> Option<Self> {
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

/// All that makes a day a finding.
fn reasons(day: &PlayedDay) -> Vec<Reason> {
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
