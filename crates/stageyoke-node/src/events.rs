//! Structured logs of numbered events, through `log` and `env_logger`.

use std::io::Write;

use log::kv::{Key, Value, VisitSource};
use stageyoke_types::Event;

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Words and `key=value` pairs.
    Text,
}

/// Sets up the log. The level can be set by `STAGEYOKE_LOG`.
pub fn start_log(format: LogFormat) {
    let environment = env_logger::Env::new().filter_or("STAGEYOKE_LOG", "info");
    let mut builder = env_logger::Builder::from_env(environment);
    if format == LogFormat::Json {
        builder.format(|buffer, record| {
            let mut fields = Fields::default();
            let _ = record.key_values().visit(&mut fields);
            let mut object = fields.0;
            object.insert("level".to_owned(), record.level().as_str().into());
            object.insert("message".to_owned(), record.args().to_string().into());
            writeln!(buffer, "{}", serde_json::Value::Object(object))
        });
    }
    // A second node in the same process shares the log of the first.
    let _ = builder.try_init();
}

#[derive(Default)]
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}

/// Logs a numbered event. `detail` holds `key=value` pairs, never a secret or
/// the text of a message.
pub fn emit(event: Event, node: &str, detail: &str) {
    let number = event.number();
    let level = match event.level() {
        "error" => log::Level::Error,
        "warn" => log::Level::Warn,
        "info" => log::Level::Info,
        _ => log::Level::Debug,
    };
    log::log!(level, event = number, node = node, detail = detail; "{event:?}");
}
