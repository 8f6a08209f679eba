//! Counts the programs that finished late, by cause, from the logs of the fronts.
//!
//! Reads the `RequestEnded` lines (event 800) of all fronts. The due time of a program is
//! taken from its requests. Times are in milliseconds of the machines' clocks.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::Deserialize;

/// Time after the due time within which a program does not count as late.
const TOLERANCE_MILLISECONDS: u64 = 20;

/// The fields that are read of a `RequestEnded` line.
#[derive(Clone, Debug, Default, Deserialize)]
struct RequestLine {
    name: String,
    time: u64,
    #[serde(default)]
    program: String,
    #[serde(default)]
    milliseconds: u64,
    #[serde(default)]
    finish: u64,
    #[serde(default)]
    status: u16,
    #[serde(default)]
    outcome: String,
}

/// A request of a program.
#[derive(Clone, Debug)]
struct RequestEnd {
    started_at: u64,
    ended_at: u64,
    status: u16,
    outcome: String,
}

/// The requests and the due time of a program.
#[derive(Clone, Debug, Default)]
struct ProgramSummary {
    requests: Vec<RequestEnd>,
    due: Option<u64>,
}

/// Cause of a delay; the first variant that applies is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DelayCause {
    /// No front had a request of the program for a long time: its caller waited on a dead
    /// connection or could not connect.
    Silence,
    /// A request was refused or failed.
    Refused,
    /// A stream was broken off.
    Cut,
    /// None of the others: the turns took too long.
    Slow,
}

impl fmt::Display for DelayCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Silence => "silence",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::Slow => "slow",
        })
    }
}

impl ProgramSummary {
    fn add_request(&mut self, line: &RequestLine) {
        let started_at = line.time.saturating_sub(line.milliseconds);
        if line.finish > 0 {
            let due = started_at + line.finish;
            self.due = Some(self.due.map_or(due, |earliest| earliest.min(due)));
        }
        self.requests.push(RequestEnd {
            started_at,
            ended_at: line.time,
            status: line.status,
            outcome: line.outcome.clone(),
        });
    }

    fn started_at(&self) -> u64 {
        let started_at = self.requests.iter().map(|request| request.started_at);
        started_at.min().unwrap_or_default()
    }

    fn is_late(&self) -> bool {
        let ended_at = self.requests.iter().map(|request| request.ended_at).max();
        let due = self.due.map(|due| due + TOLERANCE_MILLISECONDS);
        ended_at > due && due.is_some()
    }

    fn longest_gap(&self) -> u64 {
        let mut requests: Vec<&RequestEnd> = self.requests.iter().collect();
        requests.sort_by_key(|request| request.started_at);
        let mut covered_until = self.started_at();
        let mut longest = 0;
        for request in requests {
            longest = longest.max(request.started_at.saturating_sub(covered_until));
            covered_until = covered_until.max(request.ended_at);
        }
        longest
    }

    fn delay_cause(&self, silence: u64) -> DelayCause {
        if self.longest_gap() >= silence {
            return DelayCause::Silence;
        }
        let refused = |request: &RequestEnd| request.status >= 500 || request.status == 429;
        if self.requests.iter().any(refused) {
            return DelayCause::Refused;
        }
        let cut = |request: &RequestEnd| request.status == 0 && request.outcome != "caller_left";
        if self.requests.iter().any(cut) {
            return DelayCause::Cut;
        }
        DelayCause::Slow
    }
}

/// Programs that started in one time window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Number of programs with a due time.
    pub programs: usize,
    /// Number of late programs by cause.
    pub late: BTreeMap<DelayCause, usize>,
}

/// Late programs by time window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lateness {
    /// Windows by their start, in seconds since the first request.
    pub windows: BTreeMap<u64, Window>,
}

impl Lateness {
    /// Reads log lines; any text before the JSON object of a line is skipped. A gap of at
    /// least `silence` milliseconds between the requests of a program counts as silence.
    pub fn read(logs: &[String], window_seconds: u64, silence: u64) -> Self {
        let mut programs: HashMap<String, ProgramSummary> = HashMap::new();
        for line in logs.iter().flat_map(|log| log.lines()) {
            let object = line.find('{').map_or("", |start| &line[start..]);
            if let Ok(line) = serde_json::from_str::<RequestLine>(object)
                && line.name == "RequestEnded"
                && !line.program.is_empty()
            {
                programs
                    .entry(line.program.clone())
                    .or_default()
                    .add_request(&line);
            }
        }
        let first = programs.values().map(ProgramSummary::started_at).min();
        let origin = first.unwrap_or_default();
        let mut lateness = Self::default();
        for program in programs.values().filter(|program| program.due.is_some()) {
            let seconds = (program.started_at() - origin) / 1_000;
            let window = seconds / window_seconds.max(1) * window_seconds.max(1);
            let window = lateness.windows.entry(window).or_default();
            window.programs += 1;
            if program.is_late() {
                *window.late.entry(program.delay_cause(silence)).or_default() += 1;
            }
        }
        lateness
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let causes = [
            DelayCause::Silence,
            DelayCause::Refused,
            DelayCause::Cut,
            DelayCause::Slow,
        ];
        write!(formatter, "{:>8} {:>9} {:>8}", "second", "programs", "late")?;
        for cause in causes {
            write!(formatter, " {:>8}", cause.to_string())?;
        }
        writeln!(formatter)?;
        for (second, window) in &self.windows {
            let late: usize = window.late.values().sum();
            write!(formatter, "{second:>8} {:>9} {late:>8}", window.programs)?;
            for cause in causes {
                let count = window.late.get(&cause).copied().unwrap_or_default();
                write!(formatter, " {count:>8}")?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}
