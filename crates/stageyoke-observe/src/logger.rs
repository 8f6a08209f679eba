//! The form of a line: one JSON object, made by `env_logger`.

use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

use crate::rate_limit::{Importance, LogRateLimiter};
use crate::writer::LineQueue;

/// Field that marks the ordinary end of a request.
pub const ORDINARY_FIELD: &str = "ordinary";
const LEVEL_VARIABLE: &str = "STAGEYOKE_LOG";

static NODE: OnceLock<String> = OnceLock::new();

/// Sets up lines on standard output for the process of this machine. The level
/// can be set by `STAGEYOKE_LOG`.
pub fn init_logger(node: &str) -> std::io::Result<()> {
    let _ = NODE.set(node.to_owned());
    let queue = LineQueue::start(std::io::stdout())?;
    let target = BudgetedTarget {
        queue,
        budget: Mutex::default(),
        started: Instant::now(),
    };
    let environment = env_logger::Env::new().filter_or(LEVEL_VARIABLE, "info");
    let mut builder = env_logger::Builder::from_env(environment);
    builder.format(|buffer, record| writeln!(buffer, "{}", to_json(record)));
    builder.target(env_logger::Target::Pipe(Box::new(target)));
    // A second set-up in one process keeps the first.
    let _ = builder.try_init();
    Ok(())
}

/// One line as JSON: time in ms since the epoch, node, level, name of the
/// event, and its fields.
pub fn to_json(record: &log::Record<'_>) -> Json {
    let mut fields = Fields::default();
    let _ = record.key_values().visit(&mut fields);
    let mut line = fields.0;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let milliseconds = since_epoch.unwrap_or_default().as_millis() as u64;
    line.insert("time".to_owned(), milliseconds.into());
    if let Some(node) = NODE.get() {
        line.insert("node".to_owned(), node.as_str().into());
    }
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("name".to_owned(), record.args().to_string().into());
    Json::Object(line)
}

#[derive(Default)]
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Applies the budget to whole lines.
struct BudgetedTarget {
    queue: LineQueue,
    budget: Mutex<LogRateLimiter>,
    started: Instant,
}

impl Write for BudgetedTarget {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let importance = importance(line);
        let Ok(mut budget) = self.budget.lock() else {
            return Ok(line.len());
        };
        let now = self.started.elapsed();
        if budget.allow(now, line.len() as u64, importance) {
            let left_out = budget.take_suppressed();
            if left_out > 0 {
                let dropped = self.queue.dropped();
                let note = format!(
                    "{{\"name\":\"LinesLeftOut\",\"left_out\":{left_out},\"dropped\":{dropped}}}\n"
                );
                self.queue.enqueue(note.into_bytes());
            }
            self.queue.enqueue(line.to_vec());
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn importance(line: &[u8]) -> Importance {
    let marker = format!("\"{ORDINARY_FIELD}\":1");
    let marked = line
        .windows(marker.len())
        .any(|window| window == marker.as_bytes());
    match marked {
        true => Importance::Ordinary,
        false => Importance::Important,
    }
}
