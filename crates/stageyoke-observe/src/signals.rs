//! Handlers for the termination and hang-up signals.

use stageyoke_types::Event;
use tokio::signal::unix::{SignalKind, signal};

use crate::events::record_event;

/// Waits for SIGTERM. If the handler can't be installed, logs the error and never
/// returns.
pub async fn wait_for_terminate() {
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => drop(signal.recv().await),
        Err(error) => {
            record_event(
                Event::SignalUnheard,
                &format!("signal=terminate error={error}"),
            );
            std::future::pending().await
        }
    }
}

/// Calls `reload` for each SIGHUP.
pub async fn run_on_hang_up(reload: impl Fn()) {
    match signal(SignalKind::hangup()) {
        Ok(mut signal) => {
            while signal.recv().await.is_some() {
                reload();
            }
        }
        Err(error) => record_event(
            Event::SignalUnheard,
            &format!("signal=hangup error={error}"),
        ),
    }
}
