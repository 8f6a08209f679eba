//! One structured line for each request that ended, with what decided it.

use std::time::Duration;

use stageyoke_types::Event;

/// What decided a request.
#[derive(Clone, Debug, Default)]
pub struct Story {
    /// Request identifier.
    pub request: String,
    /// Program, if any.
    pub program: String,
    /// Route, once found.
    pub route: String,
    /// Version of the configuration.
    pub routes_version: u64,
    /// Replicas that were tried, each with its outcome.
    pub attempts: String,
    /// Budget and what others had used or reserved of it.
    pub ledger: String,
    /// Milliseconds until the first offer to a replica.
    pub offered_after: u64,
    /// Milliseconds until the head of the answer.
    pub head_after: u64,
    /// Status that the caller got; zero where it left.
    pub status: u16,
    /// Outcome in a word.
    pub outcome: &'static str,
}

/// Logs the end of a request.
pub fn request_ended(story: &Story, elapsed: Duration) {
    let level = match story.status {
        200..=299 => log::Level::Debug,
        _ => log::Level::Info,
    };
    log::log!(
        level,
        event = Event::RequestEnded.number(),
        request = story.request.as_str(),
        program = story.program.as_str(),
        route = story.route.as_str(),
        routes_version = story.routes_version,
        attempts = story.attempts.as_str(),
        ledger = story.ledger.as_str(),
        offered_after = story.offered_after,
        head_after = story.head_after,
        status = story.status,
        milliseconds = elapsed.as_millis() as u64;
        "{}", story.outcome
    );
}

/// Logs a numbered event with `key=value` details.
pub fn event(event: Event, detail: &str) {
    stageyoke_store::observe::event(event, detail);
}

/// Sets up structured lines on standard output. The level can be set by
/// `STAGEYOKE_LOG`.
pub fn start_log() {
    let environment = env_logger::Env::new().filter_or("STAGEYOKE_LOG", "info");
    let mut builder = env_logger::Builder::from_env(environment);
    builder.target(env_logger::Target::Stdout);
    builder.write_style(env_logger::WriteStyle::Never);
    let _ = builder.try_init();
}
