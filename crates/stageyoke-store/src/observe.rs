//! Structured lines of the store role, as numbered events.

use stageyoke_types::Event;

/// Logs a numbered event with `key=value` details.
pub fn event(event: Event, detail: &str) {
    let level = match event.level() {
        "error" => log::Level::Error,
        "warn" => log::Level::Warn,
        "info" => log::Level::Info,
        _ => log::Level::Debug,
    };
    log::log!(level, event = event.number(), detail = detail; "{event:?}");
}
