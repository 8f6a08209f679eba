//! Deserializers for durations given as a number of seconds or milliseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Deserializes a number of seconds; rejects negative and too large values.
pub fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(seconds).map_err(serde::de::Error::custom)
}

/// Deserializes a number of milliseconds; rejects negative and too large values.
pub fn milliseconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let milliseconds = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(milliseconds / MILLISECONDS_PER_SECOND)
        .map_err(serde::de::Error::custom)
}
