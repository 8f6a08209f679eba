//! Arguments of each command. Doc comments are the `--help` texts, and field names the flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Operators' command line of stageyoke.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Check(CheckArguments),
    Plan(PlanArguments),
    Apply(ApplyArguments),
    Status(StatusArguments),
    Events(EventsArguments),
    Keys(KeysArguments),
    Unblock(UnblockArguments),
    Reference(ReferenceArguments),
}

/// Check configuration files and show every problem with its position and remedy.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckArguments {
    /// configuration files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// fail on warnings too
    #[argh(switch)]
    pub strict: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show how a file would change the configuration in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct PlanArguments {
    /// configuration file
    #[argh(positional)]
    pub file: PathBuf,
    /// address of the key-value service; may be given more than once
    #[argh(option)]
    pub store: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Apply a configuration file and wait until it is in force on every named node.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArguments {
    /// configuration file
    #[argh(positional)]
    pub file: PathBuf,
    /// address of the key-value service; may be given more than once
    #[argh(option)]
    pub store: Vec<SocketAddr>,
    /// operator address of a node; may be given more than once
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// version that the plan was based on; the current one if not given
    #[argh(option)]
    pub from_version: Option<u64>,
    /// identifier of an earlier apply whose outcome is unknown, to retry it safely
    #[argh(option)]
    pub apply_id: Option<String>,
    /// longest time to wait until every named node uses it, in seconds
    #[argh(option, default = "20")]
    pub wait_seconds: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show nodes, shards, engines and the version in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {
    /// operator address of a node; may be given more than once
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Explain log events by their numbers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "events")]
pub struct EventsArguments {
    /// event numbers; all events if none is given
    #[argh(positional)]
    pub numbers: Vec<u16>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Lift the block of a request under which replicas ended.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "unblock")]
pub struct UnblockArguments {
    /// identity of the request, as event 817 names it
    #[argh(positional)]
    pub identity: String,
    /// address of a store of the first group; name all of them
    #[argh(option)]
    pub store: Vec<SocketAddr>,
}

/// Generate a tenant key and its hash, or hash a key read from standard input.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "keys")]
pub struct KeysArguments {
    /// either `new` or `hash`
    #[argh(positional)]
    pub action: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Print the reference of every key of the configuration or settings file.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "reference")]
pub struct ReferenceArguments {
    /// either `config` or `settings`
    #[argh(positional)]
    pub file: String,
}
