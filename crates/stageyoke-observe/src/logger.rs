//! Logger that writes each record as one JSON object per line, built on `env_logger`.

use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

use crate::rate_limit::{Importance, LogRateLimiter};
use crate::writer::LineQueue;

/// Field that marks the summary of a successful request.
pub const ORDINARY_FIELD: &str = "ordinary";
const LOG_LEVEL_VARIABLE: &str = "STAGEYOKE_LOG";

static NODE_NAME: OnceLock<String> = OnceLock::new();

/// Installs a logger that writes to standard output and adds `node` to each line. The
/// `STAGEYOKE_LOG` environment variable sets the level; the default is `info`.
pub fn init_logger(node: &str) -> std::io::Result<()> {
    let _ = NODE_NAME.set(node.to_owned());
    let queue = LineQueue::start(std::io::stdout())?;
    let output = RateLimitedOutput {
        queue,
        rate_limiter: Mutex::default(),
        started: Instant::now(),
    };
    let log_level = env_logger::Env::new().filter_or(LOG_LEVEL_VARIABLE, "info");
    let mut builder = env_logger::Builder::from_env(log_level);
    builder.format(|buffer, record| writeln!(buffer, "{}", to_json(record)));
    builder.target(env_logger::Target::Pipe(Box::new(output)));
    // Fails if a logger is already installed, which then stays in use.
    let _ = builder.try_init();
    Ok(())
}

/// Converts a record to JSON: time in milliseconds since the Unix epoch, node, level,
/// event name, and the record's fields.
pub fn to_json(record: &log::Record<'_>) -> Json {
    let mut fields = JsonFields::default();
    let _ = record.key_values().visit(&mut fields);
    let mut line = fields.0;
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
    let milliseconds = unix_time.unwrap_or_default().as_millis() as u64;
    line.insert("time".to_owned(), milliseconds.into());
    if let Some(node) = NODE_NAME.get() {
        line.insert("node".to_owned(), node.as_str().into());
    }
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("name".to_owned(), record.args().to_string().into());
    Json::Object(line)
}

#[derive(Default)]
struct JsonFields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Log output that applies the rate limit to whole lines.
struct RateLimitedOutput {
    queue: LineQueue,
    rate_limiter: Mutex<LogRateLimiter>,
    started: Instant,
}

impl Write for RateLimitedOutput {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let importance = importance(line);
        let Ok(mut rate_limiter) = self.rate_limiter.lock() else {
            return Ok(line.len());
        };
        let now = self.started.elapsed();
        if rate_limiter.allow(now, line.len() as u64, importance) {
            let suppressed = rate_limiter.take_suppressed();
            if suppressed > 0 {
                let dropped = self.queue.dropped();
                let notice = format!(
                    "{{\"name\":\"LinesLeftOut\",\"left_out\":{suppressed},\"dropped\":{dropped}}}\n"
                );
                self.queue.enqueue(notice.into_bytes());
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
