//! Which programs ended late, and what held them up, from the fronts' logs.
//!
//! Reads the lines that end requests (event 800) of all fronts. A program's due
//! time is taken from its first request. Times are those of the machines' clocks,
//! in milliseconds.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::Deserialize;

/// A request that took no longer to be told its end than this is not late.
const TOLERANCE_MILLISECONDS: u64 = 20;

/// The line that ends a request, as far as it is read.
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

/// One request of a program.
#[derive(Clone, Debug)]
struct RequestEnd {
    began: u64,
    ended: u64,
    status: u16,
    outcome: String,
}

/// What was seen of one program.
#[derive(Clone, Debug, Default)]
struct ProgramSummary {
    requests: Vec<RequestEnd>,
    due: Option<u64>,
}

/// What held a late program up; the first that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DelayCause {
    /// No front heard of it for long: its caller waited on a dead connection,
    /// or could not connect.
    Silence,
    /// A request was refused or failed.
    Refused,
    /// A stream was cut.
    Cut,
    /// None of these: its turns took long.
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
    fn take(&mut self, line: &RequestLine) {
        let began = line.time.saturating_sub(line.milliseconds);
        if line.finish > 0 {
            let due = began + line.finish;
            self.due = Some(self.due.map_or(due, |known| known.min(due)));
        }
        self.requests.push(RequestEnd {
            began,
            ended: line.time,
            status: line.status,
            outcome: line.outcome.clone(),
        });
    }

    fn began(&self) -> u64 {
        let began = self.requests.iter().map(|request| request.began);
        began.min().unwrap_or_default()
    }

    fn is_late(&self) -> bool {
        let ended = self.requests.iter().map(|request| request.ended).max();
        let due = self.due.map(|due| due + TOLERANCE_MILLISECONDS);
        ended > due && due.is_some()
    }

    fn longest_silence(&self) -> u64 {
        let mut requests: Vec<&RequestEnd> = self.requests.iter().collect();
        requests.sort_by_key(|request| request.began);
        let mut heard_until = self.began();
        let mut longest = 0;
        for request in requests {
            longest = longest.max(request.began.saturating_sub(heard_until));
            heard_until = heard_until.max(request.ended);
        }
        longest
    }

    fn delay(&self, silence: u64) -> DelayCause {
        if self.longest_silence() >= silence {
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

/// Programs that began in one window of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Programs that set a due time.
    pub programs: usize,
    /// Those that ended late, by what held them up.
    pub late: BTreeMap<DelayCause, usize>,
}

/// Lateness by window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lateness {
    /// Windows by the seconds from the first request on.
    pub windows: BTreeMap<u64, Window>,
}

impl Lateness {
    /// Reads log lines; whatever stands before the object of a line is skipped.
    /// A pause of `silence` milliseconds or more between a program's requests
    /// counts as silence.
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
                    .take(&line);
            }
        }
        let first = programs.values().map(ProgramSummary::began).min();
        let origin = first.unwrap_or_default();
        let mut lateness = Self::default();
        for program in programs.values().filter(|program| program.due.is_some()) {
            let seconds = (program.began() - origin) / 1_000;
            let window = seconds / window_seconds.max(1) * window_seconds.max(1);
            let window = lateness.windows.entry(window).or_default();
            window.programs += 1;
            if program.is_late() {
                *window.late.entry(program.delay(silence)).or_default() += 1;
            }
        }
        lateness
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let delays = [
            DelayCause::Silence,
            DelayCause::Refused,
            DelayCause::Cut,
            DelayCause::Slow,
        ];
        write!(formatter, "{:>8} {:>9} {:>8}", "second", "programs", "late")?;
        for delay in delays {
            write!(formatter, " {:>8}", delay.to_string())?;
        }
        writeln!(formatter)?;
        for (second, window) in &self.windows {
            let late: usize = window.late.values().sum();
            write!(formatter, "{second:>8} {:>9} {late:>8}", window.programs)?;
            for delay in delays {
                let count = window.late.get(&delay).copied().unwrap_or_default();
                write!(formatter, " {count:>8}")?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}
