//! Signals by which an operator speaks to a process.

use stageyoke_types::Event;
use tokio::signal::unix::{SignalKind, signal};

use crate::events::record_event;

/// Returns once the process is asked to stop; never where that can't be heard, and the
/// log says so.
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

/// Calls `reload` at each hang-up signal, which says that settings have changed.
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
