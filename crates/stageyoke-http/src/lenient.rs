//! Lists of which one element that can't be read spoils no other.

use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};

/// The elements that could be read, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LenientList<T> {
    /// Those elements.
    pub read: Vec<T>,
    /// How many others there were.
    pub left_out: usize,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Element<T> {
    Read(T),
    Other(IgnoredAny),
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for LenientList<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let elements = Vec::<Element<T>>::deserialize(deserializer)?;
        let all = elements.len();
        let read = elements.into_iter().filter_map(|element| match element {
            Element::Read(element) => Some(element),
            Element::Other(_) => None,
        });
        let read: Vec<T> = read.collect();
        let left_out = all - read.len();
        Ok(Self { read, left_out })
    }
}
