//! The story of one request or program, from the lines of several processes.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::PathBuf;

use serde_json::{Map, Value};
use stageyoke_types::Event;

/// How long before and after a request's end other events are shown, ms.
const AROUND_MILLISECONDS: u64 = 3_000;

/// How a store says that its group is whole.
const WAITS_FOR_NOTHING: &str = "waits_for=nothing";

/// One line that could be read.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    time: u64,
    fields: Map<String, Value>,
}

/// Lines of one or more processes.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    lines: Vec<Line>,
    unreadable: u64,
    left_out: u64,
}

/// What the logs say of an identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Explanation {
    /// Lines in the order of their time, ready to be shown.
    pub timeline: Vec<String>,
    /// What the outcome means, for each request found.
    pub causes: Vec<String>,
    /// Lines that could not be read.
    pub unreadable: u64,
    /// Lines that the processes left out to stay within their budget.
    pub omitted: u64,
}

/// A log file that can't be read.
#[derive(Debug)]
pub struct UnreadableFile {
    path: PathBuf,
    error: io::Error,
}

impl fmt::Display for UnreadableFile {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path.display(), self.error)
    }
}

impl std::error::Error for UnreadableFile {}

impl Logs {
    /// The lines of these files, or of standard input where there are none.
    pub fn read(files: &[PathBuf]) -> Result<Self, UnreadableFile> {
        let unreadable = |path: &PathBuf, error| UnreadableFile {
            path: path.clone(),
            error,
        };
        let mut logs = Self::default();
        for path in files {
            let bytes = std::fs::read(path).map_err(|error| unreadable(path, error))?;
            logs.add(&String::from_utf8_lossy(&bytes));
        }
        if files.is_empty() {
            let input = io::read_to_string(io::stdin());
            let text = input.map_err(|error| unreadable(&PathBuf::from("-"), error))?;
            logs.add(&text);
        }
        Ok(logs)
    }

    /// Adds the lines of one process's log; torn and foreign ones are counted.
    pub fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            // A collector may have put its own words before the object.
            let object = line.find('{').map_or("", |start| &line[start..]);
            match serde_json::from_str::<Map<String, Value>>(object) {
                Ok(fields) => self.take(fields),
                Err(_) => self.unreadable += 1,
            }
        }
    }

    fn take(&mut self, fields: Map<String, Value>) {
        self.left_out += fields.get("left_out").and_then(Value::as_u64).unwrap_or(0);
        if let Some(time) = fields.get("time").and_then(Value::as_u64) {
            self.lines.push(Line { time, fields });
        }
    }

    /// What is known of a request's or a program's identifier.
    pub fn explain(&self, identifier: &str) -> Explanation {
        let own = |line: &Line| {
            ["request", "program"]
                .iter()
                .any(|field| text(line, field) == identifier)
        };
        let mut ends: Vec<&Line> = self.lines.iter().filter(|line| own(line)).collect();
        ends.sort_by_key(|line| line.time);
        let mut shown: Vec<&Line> = ends.clone();
        for line in &self.lines {
            let near = ends.iter().any(|end| near(line, end));
            if near && !is_request(line) {
                shown.push(line);
            }
        }
        if let Some(last) = ends.last() {
            let waits = self.open_waits(last.time);
            shown.extend(waits.filter(|line| !ends.iter().any(|end| near(line, end))));
        }
        shown.sort_by_key(|line| line.time);
        Explanation {
            timeline: shown.iter().map(|line| show(line)).collect(),
            causes: ends.iter().map(|line| cause(line)).collect(),
            unreadable: self.unreadable,
            omitted: self.left_out,
        }
    }
}

impl Logs {
    /// What each store still waited for at that time, however long before it said so:
    /// a group that can't heal says why once.
    fn open_waits(&self, time: u64) -> impl Iterator<Item = &Line> {
        let mut newest: BTreeMap<&str, &Line> = BTreeMap::new();
        let told = self.lines.iter().filter(|line| is_wait(line));
        for line in told.filter(|line| line.time <= time) {
            let known = newest.entry(text(line, "node")).or_insert(line);
            if known.time <= line.time {
                *known = line;
            }
        }
        let open = newest.into_values();
        open.filter(|line| !text(line, "detail").starts_with(WAITS_FOR_NOTHING))
    }
}

fn is_wait(line: &Line) -> bool {
    number(line, "event") == u64::from(Event::ListWaits.number())
}

fn near(line: &Line, end: &Line) -> bool {
    let began = end.time.saturating_sub(number(end, "milliseconds"));
    line.time + AROUND_MILLISECONDS >= began && line.time <= end.time + AROUND_MILLISECONDS
}

fn is_request(line: &Line) -> bool {
    number(line, "event") == u64::from(Event::RequestEnded.number())
}

fn text<'a>(line: &'a Line, field: &str) -> &'a str {
    line.fields
        .get(field)
        .and_then(Value::as_str)
        .unwrap_or_default()
}

fn number(line: &Line, field: &str) -> u64 {
    line.fields
        .get(field)
        .and_then(Value::as_u64)
        .unwrap_or_default()
}

fn show(line: &Line) -> String {
    let hidden = ["time", "node", "name", "level", "event", "ordinary"];
    let fields: Vec<String> = line
        .fields
        .iter()
        .filter(|(name, _)| !hidden.contains(&name.as_str()))
        .filter(|(_, value)| !value.as_str().is_some_and(str::is_empty))
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    format!(
        "{} {} {} {}",
        line.time,
        text(line, "node"),
        text(line, "name"),
        fields.join(" ")
    )
}

/// What an outcome means, with the inputs that decided it.
fn cause(line: &Line) -> String {
    let meaning = match text(line, "outcome") {
        "answered" | "streamed" => "answered whole",
        "budget_spent" => "refused: others' tokens and this turn's most exceed the budget",
        "budget_not_reserved" => "not run: no quorum of stores kept its reservation in time",
        "store_group_failing" => "not run: this front had reached no quorum of stores for a while",
        "history_unsure" => "not run: too few stores answered to know the turn it goes on from",
        "no_such_turn" => "refused: enough complete stores hold no such turn",
        "outcome_unknown" => {
            "may have run: the replica's answer was lost, and it may not run twice"
        }
        "replicas_failed" => "every replica that might be tried failed",
        "refused_while_idle" => {
            "not run: several replicas refused it while under half of their places were taken"
        }
        "no_key" | "unknown_key" => {
            "refused: no tenant of the confirmed configuration holds its key"
        }
        "key_not_confirmed" => "not run: the directory was too old to know that its key holds",
        "quota_spent" => "not run: its tenant's limit was not enough for it",
        "quota_share_spent" => "not run: no owner answered, and this front's share was used up",
        "no_replica" => "not run: every replica that was offered it refused, or none is known",
        "time_out" => "its time, or its route's, was over",
        "replica_broke_off" => "the replica broke its stream off",
        "not_kept" => "cut: its turn could not be kept on a quorum of stores",
        "caller_left" => "the caller left before the end",
        "no_such_route" => "refused: the service confirmed that no route fits",
        "route_not_confirmed" => "not run: no route fits, and the service could not confirm it",
        "no_configuration" => "not run: this front knew no configuration yet",
        other => other,
    };
    format!(
        "{}: status {} after {} ms: {meaning}. tenant [{}] limit [{}] attempts [{}] \
         ledger [{}] history [{}] routes version {} of {} ms ago, members version {}",
        text(line, "request"),
        number(line, "status"),
        number(line, "milliseconds"),
        text(line, "tenant"),
        text(line, "limit"),
        text(line, "attempts"),
        text(line, "ledger"),
        text(line, "history"),
        number(line, "routes_version"),
        number(line, "directory_age"),
        number(line, "members_version"),
    )
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.timeline {
            writeln!(formatter, "{line}")?;
        }
        if self.causes.is_empty() {
            writeln!(
                formatter,
                "nothing was logged of it: ask for logs of all machines"
            )?;
        }
        for cause in &self.causes {
            writeln!(formatter, "=> {cause}")?;
        }
        writeln!(
            formatter,
            "{} lines could not be read; {} were left out by the processes",
            self.unreadable, self.omitted
        )
    }
}
