//! Entries of the journal, as far as they are read.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use miette::{Context, IntoDiagnostic};
use serde::Deserialize;

/// Verbs whose days are judged.
const JUDGED_VERBS: [&str; 3] = ["hunt", "run", "score"];

/// One entry.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct JournalEntry {
    /// Identifier.
    pub id: String,
    /// Verb of the command.
    #[serde(rename = "cmd")]
    pub verb: String,
    /// Its arguments.
    #[serde(rename = "argv", default)]
    pub arguments: Vec<String>,
    /// What it was run for.
    #[serde(default)]
    pub why: String,
    /// Whether it came to its end.
    #[serde(default)]
    pub ok: bool,
    /// Days that were played; none where it did not come to its end.
    #[serde(default)]
    days: Option<Vec<PlayedDay>>,
}

/// One day that was played.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct PlayedDay {
    /// Name; where the day has other luck, its seed stands in it.
    pub name: String,
    /// Seed, where the day has one of its own.
    pub seed: Option<u64>,
    /// Whether it can only be played again by its name.
    pub kind: String,
    /// Broken rules, and how often.
    pub rules: BTreeMap<String, u64>,
    /// What it fell short of.
    pub short: Vec<String>,
    /// What ended it before its time.
    pub fault: Option<String>,
    /// Whether it passed the gate.
    pub gate: bool,
    /// Share of the worth owed that was earned.
    pub served: f64,
}

impl JournalEntry {
    /// Whether its days are judged.
    pub fn is_judged(&self) -> bool {
        JUDGED_VERBS.contains(&self.verb.as_str())
    }

    /// Whether all of its days were played.
    pub fn has_ended(&self) -> bool {
        self.ok && self.days.is_some()
    }

    /// Days that were played.
    pub fn played_days(&self) -> &[PlayedDay] {
        self.days.as_deref().unwrap_or_default()
    }
}

/// Reads all entries of a folder, the oldest first.
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

/// Place of the first entry after the one that an identifier names.
pub fn index_after(entries: &[JournalEntry], id: &str) -> miette::Result<usize> {
    let named = entries.iter().position(|entry| entry.id == id);
    named
        .map(|place| place + 1)
        .ok_or_else(|| miette::miette!("no entry is named {id}"))
}
