//! The operators' configuration: one TOML file that is parsed and validated as a whole.
//!
//! [`schema`] lists every key with its unit, default and bounds; [`reader`]
//! reads a file against a schema and collects every problem with its position;
//! [`model`] holds the validated types; [`check`] validates a file and builds them;
//! [`sections`] splits a file into content-addressed sections for distribution;
//! [`difference`] compares two configurations.

pub mod check;
pub mod difference;
pub mod model;
pub mod problem;
pub mod reader;
pub mod schema;
pub mod sections;

pub use check::{CheckedConfig, check};
pub use model::Configuration;
pub use problem::{Problem, Problems, Severity};
