//! Findings in the journal of the users' bench: days of hunts, scores and single runs that
//! violated a rule, had a fault, missed the gate or served too little.

mod command;
mod entry;
mod finding;

use std::fmt;
use std::path::Path;

pub use entry::{DayResult, JournalEntry};
pub use finding::{Finding, Reason};

/// Findings in the entries of a journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HuntReport {
    /// Number of evaluated entries.
    pub entries: usize,
    /// Number of evaluated days.
    pub days: usize,
    /// Identifiers of entries whose command did not complete.
    pub unfinished: Vec<String>,
    /// Days that are findings.
    pub findings: Vec<Finding>,
}

impl HuntReport {
    /// Reads the entries of a directory; with `since`, only those after the entry with that
    /// identifier.
    pub fn read(journal: &Path, since: Option<&str>) -> miette::Result<Self> {
        let entries = entry::read_entries(journal)?;
        let first = match since {
            Some(id) => entry::index_after(&entries, id)?,
            None => 0,
        };
        Ok(Self::evaluate(&entries[first..]))
    }

    /// Evaluates entries; entries of other commands are ignored.
    pub fn evaluate(entries: &[JournalEntry]) -> Self {
        let mut report = Self::default();
        for entry in entries.iter().filter(|entry| entry.is_evaluated()) {
            report.add_entry(entry);
        }
        report
    }

    /// Returns whether all commands completed and there are no findings.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty() && self.unfinished.is_empty()
    }

    fn add_entry(&mut self, entry: &JournalEntry) {
        self.entries += 1;
        if !entry.is_complete() {
            self.unfinished.push(entry.id.clone());
        }
        let days = entry.day_results();
        self.days += days.len();
        let findings = days.iter().filter_map(|day| Finding::from_day(entry, day));
        self.findings.extend(findings);
    }
}

impl fmt::Display for HuntReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(formatter, "{finding}")?;
        }
        for id in &self.unfinished {
            writeln!(formatter, "{id}: did not end or failed")?;
        }
        writeln!(
            formatter,
            "{} findings on {} days of {} entries, {} of them unfinished",
            self.findings.len(),
            self.days,
            self.entries,
            self.unfinished.len()
        )
    }
}
