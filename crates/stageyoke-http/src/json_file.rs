//! Loading of JSON files, with errors that point to the location in the file.

use std::path::{Path, PathBuf};

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use stageyoke_types::text_offset;

/// Error returned when a file can't be loaded.
#[derive(Debug, Diagnostic, thiserror::Error)]
pub enum JsonFileError {
    /// Reading the file failed.
    #[error("{}: {_1}", _0.display())]
    Unreadable(PathBuf, std::io::Error),
    /// The content is not valid JSON or does not match the expected type.
    #[error("invalid settings: {reason}")]
    Invalid {
        /// Name and content of the file.
        #[source_code]
        file: NamedSource<String>,
        /// Location of the error in the content.
        #[label("{reason}")]
        location: SourceSpan,
        /// Description of the error.
        reason: String,
    },
}

/// Reads and parses a file.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, JsonFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| JsonFileError::Unreadable(path.to_owned(), error))?;
    parse(path, &text)
}

/// Parses `text`; errors name `path` as its source.
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, JsonFileError> {
    serde_json::from_str(text).map_err(|error| {
        let offset = text_offset(text, error.line(), error.column());
        JsonFileError::Invalid {
            file: NamedSource::new(path.display().to_string(), text.to_owned()),
            location: offset.into(),
            reason: error.to_string(),
        }
    })
}
