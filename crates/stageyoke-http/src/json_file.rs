//! Files in JSON, whose errors show their place.

use std::path::{Path, PathBuf};

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use stageyoke_types::text_offset;

/// Why a file could not be used.
#[derive(Debug, Diagnostic, thiserror::Error)]
pub enum JsonFileError {
    /// The file cannot be read.
    #[error("{}: {_1}", _0.display())]
    Unreadable(PathBuf, std::io::Error),
    /// The file's content is wrong at a place.
    #[error("the settings are wrong: {reason}")]
    Invalid {
        /// The file.
        #[source_code]
        file: NamedSource<String>,
        /// The place.
        #[label("{reason}")]
        location: SourceSpan,
        /// What is wrong there.
        reason: String,
    },
}

/// Reads a file.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, JsonFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| JsonFileError::Unreadable(path.to_owned(), error))?;
    parse(path, &text)
}

/// Reads the content of the file at this path.
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, JsonFileError> {
    serde_json::from_str(text).map_err(|error| {
        let place = text_offset(text, error.line(), error.column());
        JsonFileError::Invalid {
            file: NamedSource::new(path.display().to_string(), text.to_owned()),
            location: place.into(),
            reason: error.to_string(),
        }
    })
}
