//! The operators' command line: check, plan, apply, status, events, keys, unblock
//! and reference.

mod arguments;
mod commands;
mod output;
mod unblock;

use std::process::ExitCode;

use arguments::{Arguments, Command};
use output::Failure;

/// Parses the arguments, runs the command and returns its exit code.
pub fn run() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match dispatch(arguments.command) {
        Ok(code) => code,
        Err(failure) => failure.report(),
    }
}

fn dispatch(command: Command) -> Result<ExitCode, Failure> {
    match command {
        Command::Check(arguments) => commands::check(&arguments),
        Command::Plan(arguments) => block_on(commands::plan(&arguments)),
        Command::Apply(arguments) => block_on(commands::apply(&arguments)),
        Command::Status(arguments) => block_on(commands::status(&arguments)),
        Command::Events(arguments) => commands::events(&arguments),
        Command::Keys(arguments) => commands::keys(&arguments),
        Command::Unblock(arguments) => block_on(unblock::unblock(&arguments)),
        Command::Reference(arguments) => commands::reference(&arguments),
    }
}

fn block_on(command: impl Future<Output = Result<ExitCode, Failure>>) -> Result<ExitCode, Failure> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| Failure::internal(&error))?;
    runtime.block_on(command)
}
