//! `stageyoked`: one node.

use std::process::ExitCode;

fn main() -> ExitCode {
    stageyoke_node::server::run_daemon()
}
