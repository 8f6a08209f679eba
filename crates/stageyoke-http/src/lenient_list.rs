//! List deserialization that skips invalid elements.

use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};

/// List that skips elements that don't match the element type.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LenientList<T> {
    /// Valid elements, in their original order.
    pub items: Vec<T>,
    /// Number of skipped elements.
    pub skipped: usize,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Element<T> {
    Valid(T),
    Invalid(IgnoredAny),
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for LenientList<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let elements = Vec::<Element<T>>::deserialize(deserializer)?;
        let all = elements.len();
        let items = elements.into_iter().filter_map(|element| match element {
            Element::Valid(element) => Some(element),
            Element::Invalid(_) => None,
        });
        let items: Vec<T> = items.collect();
        let skipped = all - items.len();
        Ok(Self { items, skipped })
    }
}
