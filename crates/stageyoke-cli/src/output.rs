//! Output and exit codes. The code of a failure comes from the error table.

use std::fmt::Display;
use std::process::ExitCode;

use stageyoke_config::Problems;
use stageyoke_types::ErrorKind;

/// A verb that could not do its work.
pub enum Failure {
    /// Problems of a file.
    File(Problems),
    /// Anything else.
    Other {
        /// Kind.
        kind: ErrorKind,
        /// What happened, and what to do.
        message: String,
    },
}

impl Failure {
    /// A failure of a kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::Other {
            kind,
            message: message.into(),
        }
    }

    /// A fault of the program or its surroundings.
    pub fn internal(error: &impl Display) -> Self {
        Self::new(ErrorKind::Internal, error.to_string())
    }

    /// Prints the failure and gives its exit code.
    pub fn report(self) -> ExitCode {
        match self {
            Self::File(problems) => {
                eprintln!("{:?}", miette::Report::new(problems));
                exit_code(ErrorKind::ConfigInvalid)
            }
            Self::Other { kind, message } => {
                let answer = kind.response();
                eprintln!("{}: {message}", answer.name);
                if let Some(seconds) = answer.retry.retry_after_seconds() {
                    eprintln!("try again after {seconds} s");
                }
                exit_code(kind)
            }
        }
    }
}

/// Exit code of a kind.
pub fn exit_code(kind: ErrorKind) -> ExitCode {
    ExitCode::from(kind.response().exit_code as u8)
}

/// Prints a value as JSON.
pub fn print_json(value: &serde_json::Value) {
    println!("{value:#}");
}
