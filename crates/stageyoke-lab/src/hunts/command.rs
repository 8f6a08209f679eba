//! The command that replays a day.

use super::entry::{DayResult, JournalEntry};

/// Kind of a day that can only be replayed by its name.
const REPLAY_KIND: &str = "replay";

/// Options without a value that affect the result of a day.
const FLAG_OPTIONS: [&str; 2] = ["--no-cpu", "--small"];

/// Options with a value that affect the result of a day.
const VALUE_OPTIONS: [&str; 2] = ["--until", "--day-cap"];

/// Returns the command that replays a day, with the paths as written in the journal entry.
pub fn replay_command(entry: &JournalEntry, day: &DayResult) -> String {
    let site = site(entry);
    let options = result_options(&entry.arguments);
    let played = match (entry.verb.as_str(), day.kind.as_str()) {
        (_, REPLAY_KIND) => format!("replay {site} {}", day.name),
        ("run", _) => single_run_arguments(entry, day, site),
        _ => format!("run {site} {}", day.name),
    };
    format!("fleetbench {played}{options}")
}

/// Arguments of a single run, which names its day by a word or a file and its seed by an
/// option.
fn single_run_arguments(entry: &JournalEntry, day: &DayResult, site: &str) -> String {
    let name = entry.arguments.get(1).unwrap_or(&day.name);
    let seed = day.seed.map(|seed| format!(" --seed {seed}"));
    format!("run {site} {name}{}", seed.unwrap_or_default())
}

/// Returns the path of the site's file as written in the journal entry.
fn site(entry: &JournalEntry) -> &str {
    let first = entry.arguments.first();
    first.map_or("SITE", String::as_str)
}

fn result_options(arguments: &[String]) -> String {
    let mut options = String::new();
    for (index, argument) in arguments.iter().enumerate() {
        if FLAG_OPTIONS.contains(&argument.as_str()) {
            options.push_str(&format!(" {argument}"));
        }
        let value = arguments.get(index + 1);
        if let Some(value) = value.filter(|_| VALUE_OPTIONS.contains(&argument.as_str())) {
            options.push_str(&format!(" {argument} {value}"));
        }
    }
    options
}
