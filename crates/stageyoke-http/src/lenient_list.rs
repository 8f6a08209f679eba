//! List deserialization that skips invalid elements.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{IgnoredAny, SeqAccess, Visitor};
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

struct ListVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ListVisitor<T> {
    type Value = LenientList<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list")
    }

    /// Keeps no invalid element: a list may have millions of them.
    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Self::Value, A::Error> {
        let (mut items, mut skipped) = (Vec::new(), 0);
        while let Some(element) = elements.next_element()? {
            match element {
                Element::Valid(element) => items.push(element),
                Element::Invalid(_) => skipped += 1,
            }
        }
        Ok(LenientList { items, skipped })
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for LenientList<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ListVisitor(PhantomData))
    }
}
