//! `stageyoke-lab`: see `stageyoke-lab --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    stageyoke_lab::commands::run()
}
