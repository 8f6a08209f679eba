//! Reconstructs the history of one request or program from the logs of several
//! processes.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::PathBuf;

use serde_json::{Map, Value};
use stageyoke_types::Event;

/// Events up to this many milliseconds before a request's arrival or after its end are
/// shown with it.
const CONTEXT_WINDOW_MS: u64 = 3_000;

/// Start of the detail of a `ListWaits` event when the store group needs nothing.
const NO_WAIT_PREFIX: &str = "waits_for=nothing";

/// One parsed log line.
#[derive(Clone, Debug, PartialEq)]
struct LogLine {
    time: u64,
    fields: Map<String, Value>,
}

/// Parsed log lines of one or more processes.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    lines: Vec<LogLine>,
    unreadable: u64,
    omitted: u64,
}

/// Everything that the logs contain about one identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Explanation {
    /// Formatted log lines, ordered by time.
    pub timeline: Vec<String>,
    /// Explanation of the outcome of each request found, ordered by time.
    pub causes: Vec<String>,
    /// Number of lines that could not be parsed.
    pub unreadable: u64,
    /// Number of lines that the processes suppressed by rate limiting.
    pub omitted: u64,
}

/// Error returned when a log file can't be read.
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
    /// Reads the given files, or standard input if `files` is empty.
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

    /// Adds the lines of one process's log. Counts those that are not JSON objects as
    /// unreadable.
    pub fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            // Skip any prefix that a log collector has added before the object.
            let object = line.find('{').map_or("", |start| &line[start..]);
            match serde_json::from_str::<Map<String, Value>>(object) {
                Ok(fields) => self.add_fields(fields),
                Err(_) => self.unreadable += 1,
            }
        }
    }

    fn add_fields(&mut self, fields: Map<String, Value>) {
        self.omitted += fields.get("left_out").and_then(Value::as_u64).unwrap_or(0);
        if let Some(time) = fields.get("time").and_then(Value::as_u64) {
            self.lines.push(LogLine { time, fields });
        }
    }

    /// Collects the requests with this request or program identifier and the events of
    /// all processes around them.
    pub fn explain(&self, identifier: &str) -> Explanation {
        let matches_identifier = |line: &LogLine| {
            ["request", "program"]
                .iter()
                .any(|field| text_field(line, field) == identifier)
        };
        let mut requests: Vec<&LogLine> = self
            .lines
            .iter()
            .filter(|line| matches_identifier(line))
            .collect();
        requests.sort_by_key(|line| line.time);
        let mut selected: Vec<&LogLine> = requests.clone();
        for line in &self.lines {
            let is_nearby = requests.iter().any(|request| is_near(line, request));
            if is_nearby && !is_request(line) {
                selected.push(line);
            }
        }
        if let Some(last) = requests.last() {
            let waits = self.unresolved_waits(last.time);
            selected.extend(
                waits.filter(|line| !requests.iter().any(|request| is_near(line, request))),
            );
        }
        selected.sort_by_key(|line| line.time);
        Explanation {
            timeline: selected.iter().map(|line| format_line(line)).collect(),
            causes: requests.iter().map(|line| explain_outcome(line)).collect(),
            unreadable: self.unreadable,
            omitted: self.omitted,
        }
    }
}

impl Logs {
    /// Returns, per store, the last unresolved `ListWaits` event at `time`, of any age: a
    /// store logs what its group waits for only when that changes.
    fn unresolved_waits(&self, time: u64) -> impl Iterator<Item = &LogLine> {
        let mut latest_reports: BTreeMap<&str, &LogLine> = BTreeMap::new();
        let reports = self.lines.iter().filter(|line| is_wait_report(line));
        for line in reports.filter(|line| line.time <= time) {
            let latest = latest_reports
                .entry(text_field(line, "node"))
                .or_insert(line);
            if latest.time <= line.time {
                *latest = line;
            }
        }
        let reports = latest_reports.into_values();
        reports.filter(|line| !text_field(line, "detail").starts_with(NO_WAIT_PREFIX))
    }
}

fn is_wait_report(line: &LogLine) -> bool {
    number_field(line, "event") == u64::from(Event::ListWaits.number())
}

fn is_near(line: &LogLine, request: &LogLine) -> bool {
    let started = request
        .time
        .saturating_sub(number_field(request, "milliseconds"));
    line.time + CONTEXT_WINDOW_MS >= started && line.time <= request.time + CONTEXT_WINDOW_MS
}

fn is_request(line: &LogLine) -> bool {
    number_field(line, "event") == u64::from(Event::RequestEnded.number())
}

fn text_field<'a>(line: &'a LogLine, field: &str) -> &'a str {
    line.fields
        .get(field)
        .and_then(Value::as_str)
        .unwrap_or_default()
}

fn number_field(line: &LogLine, field: &str) -> u64 {
    line.fields
        .get(field)
        .and_then(Value::as_u64)
        .unwrap_or_default()
}

fn format_line(line: &LogLine) -> String {
    let hidden_fields = ["time", "node", "name", "level", "event", "ordinary"];
    let fields: Vec<String> = line
        .fields
        .iter()
        .filter(|(name, _)| !hidden_fields.contains(&name.as_str()))
        .filter(|(_, value)| !value.as_str().is_some_and(str::is_empty))
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    format!(
        "{} {} {} {}",
        line.time,
        text_field(line, "node"),
        text_field(line, "name"),
        fields.join(" ")
    )
}

/// Describes the outcome of a request and the inputs that decided it.
fn explain_outcome(line: &LogLine) -> String {
    let meaning = match text_field(line, "outcome") {
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
        "oversized_response" => {
            "may have run: the replica's answer exceeded the size limit and was given up"
        }
        "oversized_head" => {
            "may have run: the replica sent too much before its answer, which was given up"
        }
        "no_memory_for_response" => {
            "has run, but the answer was given up: this front's memory budget did not allow for it"
        }
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
        "directory_stale" => {
            "not run: the directory was older than the bound on changes and no newer one came"
        }
        "request_blocked" => {
            "blocked: replicas ended one after the other while they ran it, under this or earlier \
             identifiers; its identity tells which, event 817 when"
        }
        "run_not_permitted" => {
            "not run: replicas ended under it, and it or another such request was running where it \
             might run"
        }
        "run_permit_unknown" => {
            "not run: replicas ended under it, and no quorum of stores permitted a further run"
        }
        "stream_version_unknown" => "not run: no store knew which version began its stream",
        "no_replica_of_version" => {
            "not run: no replica of the version that began its stream is left"
        }
        "no_home_replica" => "not run: no replica is in the home regions of its route and tenant",
        "no_home_store" => {
            "not run: its turn would be stored outside the home regions of its route and tenant"
        }
        "zones_evacuated" => "not run: all zones with replicas that it may use are evacuated",
        "replicas_cold" => {
            "not run: the replicas left are cold and may get no more requests for a while"
        }
        "time_out" => "its time, or its route's, was over",
        "end_unknown" => {
            "the replica's stream ended after an event and with its connection, so whether it was \
             whole is unknown, and its caller got it without framing"
        }
        "replica_broke_off" => "the replica broke its stream off",
        "stream_too_large" => "the replica sent more than the request allows, and was stopped",
        "no_stream_memory" => "the front had no memory for what it keeps of the stream",
        "not_kept" => "cut: its turn could not be kept on a quorum of stores",
        "not_reserved" => "its output was withheld: its reservation was not stored in time",
        "budget_spent_meanwhile" => {
            "its output was withheld: turns reserved at the same time used up the budget"
        }
        "relay_failed" => "cut: the front's relay of the stream ended by a fault of its own",
        "caller_left" => "the caller left before the end",
        "no_such_route" => "refused: the service confirmed that no route fits",
        "route_not_confirmed" => "not run: no route fits, and the service could not confirm it",
        "no_configuration" => "not run: this front knew no configuration yet",
        other => other,
    };
    format!(
        "{}: status {} after {} ms: {meaning}. tenant [{}] limit [{}] attempts [{}] \
         ledger [{}] history [{}] routes version {} of {} ms ago, members version {}",
        text_field(line, "request"),
        number_field(line, "status"),
        number_field(line, "milliseconds"),
        text_field(line, "tenant"),
        text_field(line, "limit"),
        text_field(line, "attempts"),
        text_field(line, "ledger"),
        text_field(line, "history"),
        number_field(line, "routes_version"),
        number_field(line, "directory_age"),
        number_field(line, "members_version"),
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
