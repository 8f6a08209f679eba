//! The command `unblock`.

use std::process::ExitCode;

use stageyoke_store::unblock::clear_request;
use stageyoke_types::ErrorKind;
use tokio::task::LocalSet;

use crate::arguments::UnblockArguments;
use crate::output::Failure;

/// Clears a request at each of the stores and prints which of them answered.
pub async fn unblock(arguments: &UnblockArguments) -> Result<ExitCode, Failure> {
    let identity = u128::from_str_radix(&arguments.identity, 16).map_err(|_| {
        let message = format!("{:?} is not the identity of a request", arguments.identity);
        Failure::new(ErrorKind::BadRequest, message)
    })?;
    if arguments.store.is_empty() {
        let message = "give the addresses of all stores of the first group with --store";
        return Err(Failure::new(ErrorKind::BadRequest, message));
    }
    let mut silent = 0;
    for store in &arguments.store {
        let address = store.to_string();
        let clearing = clear_request(&address, identity);
        let is_cleared = LocalSet::new().run_until(clearing).await;
        let result = if is_cleared { "cleared" } else { "no answer" };
        println!("{store}: {result}");
        silent += usize::from(!is_cleared);
    }
    match silent {
        0 => Ok(ExitCode::SUCCESS),
        _ => {
            let message = format!("{silent} stores did not answer; the block may still hold");
            Err(Failure::new(ErrorKind::Unavailable, message))
        }
    }
}
