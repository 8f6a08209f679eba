//! Lists of which one element that can't be read spoils no other.

use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};

/// The elements that could be read, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LenientList<T> {
    /// Those elements.
    pub items: Vec<T>,
    /// How many others there were.
    pub skipped: usize,
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
        let items = elements.into_iter().filter_map(|element| match element {
            Element::Read(element) => Some(element),
            Element::Other(_) => None,
        });
        let items: Vec<T> = items.collect();
        let skipped = all - items.len();
        Ok(Self { items, skipped })
    }
}
