//! Durations that a message gives as a number of seconds or milliseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

const MILLISECONDS: f64 = 1000.0;

/// Reads a number of seconds; negative ones and those too large are errors.
pub fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(seconds).map_err(serde::de::Error::custom)
}

/// Reads a number of milliseconds; negative ones and those too large are errors.
pub fn milliseconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let milliseconds = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(milliseconds / MILLISECONDS).map_err(serde::de::Error::custom)
}
