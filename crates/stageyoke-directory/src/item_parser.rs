//! Converts items of the key-value service to updates of the view.

use bytes::Bytes;
use nanoserde::DeBin;
use serde::de::DeserializeOwned;

use crate::view::Update;

/// Converts a JSON item to an update; `None` is a removed item.
pub fn parse_json<T: DeserializeOwned>(
    key: &str,
    value: Option<&Bytes>,
    update: impl FnOnce(Option<T>) -> Update,
) -> Update {
    match value.map(|value| serde_json::from_slice(value)).transpose() {
        Ok(item) => update(item),
        Err(error) => unreadable_item(key, &error.to_string()),
    }
}

/// Builds the update for an unreadable item; truncates both texts, as other writers
/// control their lengths.
pub fn unreadable_item(key: &str, reason: &str) -> Update {
    Update::Unreadable(format!("key={key:.200} reason={reason:.120}"))
}

/// Converts a binary item, written by this system, to an update.
pub fn parse_binary<T: DeBin>(key: &str, value: Option<&Bytes>, update: fn(T) -> Update) -> Update {
    match value.map(|value| T::deserialize_bin(value)) {
        None => Update::Ignored,
        Some(Ok(item)) => update(item),
        Some(Err(_)) => unreadable_item(key, "malformed"),
    }
}
