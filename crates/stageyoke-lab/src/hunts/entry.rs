//! Reads journal entries; fields that are not needed are ignored.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use miette::{Context, IntoDiagnostic};
use serde::Deserialize;

/// Commands whose days are evaluated.
const EVALUATED_COMMANDS: [&str; 3] = ["hunt", "run", "score"];

/// A journal entry, written after each command of the bench.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct JournalEntry {
    /// Identifier.
    pub id: String,
    /// Subcommand.
    #[serde(rename = "cmd")]
    pub verb: String,
    /// Arguments of the subcommand.
    #[serde(rename = "argv", default)]
    pub arguments: Vec<String>,
    /// Purpose of the run, as given by the user.
    #[serde(default)]
    pub why: String,
    /// Whether the command completed.
    #[serde(default)]
    pub ok: bool,
    /// Days that were run; none if the command did not complete.
    #[serde(default)]
    days: Option<Vec<DayResult>>,
}

/// Result of one day.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct DayResult {
    /// Name; contains the seed where that differs from the default of the day.
    pub name: String,
    /// Seed of the day, if it has its own.
    pub seed: Option<u64>,
    /// Kind; a day of kind `replay` can only be replayed by its name.
    pub kind: String,
    /// Violated rules, with the number of violations.
    pub rules: BTreeMap<String, u64>,
    /// Requirements of the gate that were missed.
    pub short: Vec<String>,
    /// Fault that ended the day early.
    pub fault: Option<String>,
    /// Whether the day passed the gate.
    pub gate: bool,
    /// Served share of the total value.
    pub served: f64,
}

impl JournalEntry {
    /// Returns whether the days of this entry are evaluated.
    pub fn is_evaluated(&self) -> bool {
        EVALUATED_COMMANDS.contains(&self.verb.as_str())
    }

    /// Returns whether the command completed all its days.
    pub fn is_complete(&self) -> bool {
        self.ok && self.days.is_some()
    }

    /// Returns the days that were run.
    pub fn day_results(&self) -> &[DayResult] {
        self.days.as_deref().unwrap_or_default()
    }
}

/// Reads all entries of a directory, the oldest first.
pub fn read_entries(journal: &Path) -> miette::Result<Vec<JournalEntry>> {
    let mut paths = entry_files(journal)
        .into_diagnostic()
        .wrap_err_with(|| journal.display().to_string())?;
    paths.sort();
    paths.iter().map(|path| read_entry(path)).collect()
}

fn entry_files(journal: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for file in journal.read_dir()? {
        paths.push(file?.path());
    }
    paths.retain(|path| path.extension().is_some_and(|kind| kind == "json"));
    Ok(paths)
}

fn read_entry(path: &Path) -> miette::Result<JournalEntry> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| path.display().to_string())?;
    serde_json::from_str(&text)
        .into_diagnostic()
        .wrap_err_with(|| path.display().to_string())
}

/// Returns the index after that of the entry with this identifier.
pub fn index_after(entries: &[JournalEntry], id: &str) -> miette::Result<usize> {
    let named = entries.iter().position(|entry| entry.id == id);
    named
        .map(|index| index + 1)
        .ok_or_else(|| miette::miette!("no journal entry has the identifier {id}"))
}
