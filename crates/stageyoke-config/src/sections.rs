//! Splits a configuration file into content-addressed sections, so that only the sections
//! that changed are sent. Joined in order they equal the applied file byte for byte.

use stageyoke_core::config_spread::{ConfigBundle, ConfigHead, SectionId};
use stageyoke_core::hash;
use stageyoke_types::{ConfigVersion, Text};

/// Average number of tables in one section.
const AVERAGE_TABLES_PER_SECTION: u64 = 8;
/// Maximum size of a section that holds more than one table.
const MAX_SECTION_BYTES: usize = 16 * 1024;

/// Splits a text into sections at table boundaries (content-defined chunking). A table's
/// hash decides whether a section starts there, so an edit leaves most other boundaries
/// in place.
pub fn split(text: &str) -> Vec<String> {
    let mut sections = Vec::new();
    let mut current = String::new();
    for table in split_tables(text) {
        let is_boundary = hash::of_text(table).is_multiple_of(AVERAGE_TABLES_PER_SECTION);
        let is_full = current.len() + table.len() > MAX_SECTION_BYTES;
        if !current.is_empty() && (is_boundary || is_full) {
            sections.push(std::mem::take(&mut current));
        }
        current.push_str(table);
    }
    if !current.is_empty() {
        sections.push(current);
    }
    sections
}

/// Splits a text before each line that starts a table.
fn split_tables(text: &str) -> Vec<&str> {
    let mut starts = vec![0];
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        if line.starts_with('[') && offset > 0 {
            starts.push(offset);
        }
        offset += line.len();
    }
    let ends = starts.iter().copied().skip(1).chain([text.len()]);
    let ranges = starts.iter().copied().zip(ends);
    ranges.map(|(start, end)| &text[start..end]).collect()
}

/// Builds the bundle in which a version of the configuration is distributed.
pub fn bundle(text: &str, version: ConfigVersion, apply_id: &str) -> ConfigBundle {
    let sections = split(text);
    ConfigBundle {
        head: ConfigHead {
            version,
            apply_id: Text::from(apply_id),
            sections: sections
                .iter()
                .map(|section| SectionId::of(section))
                .collect(),
        },
        contents: sections.into_iter().map(Text::from).collect(),
    }
}

/// Returns the whole text of a bundle.
pub fn join(bundle: &ConfigBundle) -> String {
    bundle
        .contents
        .iter()
        .map(|content| content.as_str())
        .collect()
}
