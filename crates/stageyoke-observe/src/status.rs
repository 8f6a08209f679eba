//! State of a process as a JSON document, served beside the metrics.

use std::sync::Mutex;

static STATUS: Mutex<Option<String>> = Mutex::new(None);

/// Sets the document that the status page shows.
pub fn set(document: String) {
    if let Ok(mut status) = STATUS.lock() {
        *status = Some(document);
    }
}

/// Returns the document that was last set; `None` for a role without one.
pub fn get() -> Option<String> {
    STATUS.lock().ok()?.clone()
}
