//! Printed output and exit codes. A failure's exit code is that of its error kind.

use std::fmt::Display;
use std::process::ExitCode;

use stageyoke_config::Problems;
use stageyoke_types::ErrorKind;

/// Reason why a command failed.
pub enum Failure {
    /// A configuration file has errors.
    File(Problems),
    /// Any other failure.
    Other {
        /// Error kind; determines the exit code and the advice on retries.
        kind: ErrorKind,
        /// Cause, and what the operator can do.
        message: String,
    },
}

impl Failure {
    /// Creates a failure of the given kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::Other {
            kind,
            message: message.into(),
        }
    }

    /// Wraps an unexpected error of the program or the operating system.
    pub fn internal(error: &impl Display) -> Self {
        Self::new(ErrorKind::Internal, error.to_string())
    }

    /// Prints the failure to standard error and returns its exit code.
    pub fn report(self) -> ExitCode {
        match self {
            Self::File(problems) => {
                eprintln!("{:?}", miette::Report::new(problems));
                exit_code(ErrorKind::ConfigInvalid)
            }
            Self::Other { kind, message } => {
                let response = kind.response();
                eprintln!("{}: {message}", response.name);
                if let Some(seconds) = response.retry.retry_after_seconds() {
                    eprintln!("try again after {seconds} s");
                }
                exit_code(kind)
            }
        }
    }
}

/// Returns the exit code of an error kind.
pub fn exit_code(kind: ErrorKind) -> ExitCode {
    ExitCode::from(kind.response().exit_code as u8)
}

/// Prints a value as indented JSON.
pub fn print_json(value: &serde_json::Value) {
    println!("{value:#}");
}
