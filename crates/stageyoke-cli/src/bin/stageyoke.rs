//! Entry point of `stageyoke`, the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    stageyoke_cli::run()
}
