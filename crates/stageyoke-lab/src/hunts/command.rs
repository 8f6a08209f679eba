//! The command that plays a day again.

use super::entry::{JournalEntry, PlayedDay};

/// Kind of a day that can only be played again by its name.
const BY_NAME: &str = "replay";

/// Options without a value that change what a day shows.
const SWITCHES: [&str; 2] = ["--no-cpu", "--small"];

/// Options with a value that change what a day shows.
const VALUED: [&str; 2] = ["--until", "--day-cap"];

/// The command that plays a day of an entry again, with the paths as the entry has
/// them.
pub fn replay_command(entry: &JournalEntry, day: &PlayedDay) -> String {
    let site = site(entry);
    let shape = shaping_options(&entry.arguments);
    let played = match (entry.verb.as_str(), day.kind.as_str()) {
        (_, BY_NAME) => format!("replay {site} {}", day.name),
        ("run", _) => single_run(entry, day, site),
        _ => format!("run {site} {}", day.name),
    };
    format!("fleetbench {played}{shape}")
}

/// A single run names its day by a word or a file, and its seed apart.
fn single_run(entry: &JournalEntry, day: &PlayedDay, site: &str) -> String {
    let name = entry.arguments.get(1).unwrap_or(&day.name);
    let seed = day.seed.map(|seed| format!(" --seed {seed}"));
    format!("run {site} {name}{}", seed.unwrap_or_default())
}

/// The site's file, as the entry names it.
fn site(entry: &JournalEntry) -> &str {
    let first = entry.arguments.first();
    first.map_or("SITE", String::as_str)
}

fn shaping_options(arguments: &[String]) -> String {
    let mut options = String::new();
    for (place, argument) in arguments.iter().enumerate() {
        if SWITCHES.contains(&argument.as_str()) {
            options.push_str(&format!(" {argument}"));
        }
        let value = arguments.get(place + 1);
        if let Some(value) = value.filter(|_| VALUED.contains(&argument.as_str())) {
            options.push_str(&format!(" {argument} {value}"));
        }
    }
    options
}
