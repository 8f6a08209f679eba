//! Command line of `stageyoke-lab`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use miette::{Context, IntoDiagnostic, miette};
use stageyoke_node::events::{LogFormat, start_log};

use crate::cluster::{ClusterShape, LabCluster};
use crate::hunts::HuntReport;
use crate::lateness::Lateness;
use crate::load::LoadPlan;
use crate::soak::contracts;
use crate::soak::deployment::{CATCH_UP, DeploymentSize};
use crate::soak::faults::{FAULTS, Fault, NAMED_FAULTS};
use crate::soak::shape::DeploymentShape;
use crate::soak::{self, SoakPlan};
use crate::standins::engine::EngineTiming;
use crate::{demo, failover, load};

/// Laboratory of stageyoke: demonstration, cluster, load, failover and soak runs.
#[derive(FromArgs, Debug)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Demo(DemoArguments),
    Cluster(ClusterArguments),
    Load(LoadArguments),
    Failover(FailoverArguments),
    Soak(SoakArguments),
    Lateness(LatenessArguments),
    Hunts(HuntsArguments),
}

/// Run the real program as separate processes against stand-ins of the
/// platform, with or without random faults, and check every guarantee.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "soak")]
struct SoakArguments {
    /// duration of each run in seconds
    #[argh(option, default = "60")]
    seconds: u64,
    /// seed of the first run; random by default
    #[argh(option)]
    seed: Option<u64>,
    /// number of runs; each uses the next seed
    #[argh(option, default = "1")]
    runs: u64,
    /// run the seeds that once broke a guarantee instead
    #[argh(switch)]
    cases: bool,
    /// inject no faults
    #[argh(switch)]
    calm: bool,
    /// number of processes, one store in seven; 6 by default, at most 250
    #[argh(option, default = "6")]
    processes: usize,
    /// names of the faults to inject, separated by commas; all by default
    #[argh(option)]
    faults: Option<String>,
    /// time for a store's successor to catch up, in ms; 4400 by default
    #[argh(option)]
    catch_up_ms: Option<u64>,
    /// run programs at this multiple of the usual rate, whether or not earlier ones have
    /// ended, on 84 processes in four zones
    #[argh(option)]
    open_loop: Option<f64>,
    /// time that is added to each sync of the stores with --open-loop, in ms
    #[argh(option, default = "0")]
    sync_ms: u64,
    /// optional contracts of the deployment, separated by commas, or "none"; drawn from the
    /// seed by default
    #[argh(option)]
    contracts: Option<String>,
    /// path of the program; by default the one in this program's folder
    #[argh(option)]
    program: Option<PathBuf>,
    /// another build of the program to start with; machines are upgraded from it
    /// one after the other, about 9 seconds each
    #[argh(option)]
    upgrade_from: Option<PathBuf>,
}

/// Report from the fronts' logs which programs ended late, by the window in which
/// they started, and what delayed them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "lateness")]
struct LatenessArguments {
    /// length of a window in seconds
    #[argh(option, default = "2")]
    window_seconds: u64,
    /// shortest pause between two requests of a program that counts as silence, in ms
    #[argh(option, default = "2000")]
    silence_ms: u64,
    /// log files to read
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Report from the bench's journal which days broke a rule, had a fault, fell short
/// of the gate or served under half; fails if there is any, or an unfinished run.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "hunts")]
struct HuntsArguments {
    /// path of the journal's folder
    #[argh(option, default = "PathBuf::from(\"journal\")")]
    journal: PathBuf,
    /// identifier of an entry; check only later entries
    #[argh(option)]
    since: Option<String>,
}

/// Kill leaders in virtual time and measure the time to the next answer.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "failover")]
struct FailoverArguments {
    /// number of leaders to kill
    #[argh(option, default = "500")]
    kills: u64,
}

/// Run both deployments at a small scale with failures, and show the result for
/// each guarantee; fails if one is broken.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
struct DemoArguments {
    /// log the events of the nodes
    #[argh(switch)]
    verbose: bool,
}

/// Run a cluster of nodes and stand-ins until interrupted.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cluster")]
struct ClusterArguments {
    /// configuration file; its addresses are replaced by those of the stand-ins
    #[argh(option)]
    config: PathBuf,
    /// number of nodes
    #[argh(option, default = "3")]
    nodes: usize,
    /// number of nodes with a data folder
    #[argh(option, default = "1")]
    disks: usize,
    /// use mutual TLS between the nodes
    #[argh(switch)]
    tls: bool,
}

/// Measure the cost of the path through a node against direct calls to the same
/// stand-in.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "load")]
struct LoadArguments {
    /// calls in each part of the run
    #[argh(option, default = "5000")]
    calls: u64,
    /// calls in flight at once in the throughput part
    #[argh(option, default = "64")]
    concurrency: usize,
    /// number of nodes
    #[argh(option, default = "3")]
    nodes: usize,
    /// number of nodes with a data folder
    #[argh(option, default = "0")]
    disks: usize,
    /// use mutual TLS between the nodes
    #[argh(switch)]
    tls: bool,
    /// print the measurements as JSON
    #[argh(switch)]
    json: bool,
}

/// Parses the command line and runs its command; errors go to standard error.
pub fn run() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = tokio::runtime::Runtime::new()
        .into_diagnostic()
        .and_then(|runtime| runtime.block_on(dispatch(arguments.command)));
    match result {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn report_lateness(arguments: &LatenessArguments) -> miette::Result<ExitCode> {
    let mut logs = Vec::new();
    for file in &arguments.files {
        let bytes = std::fs::read(file)
            .into_diagnostic()
            .wrap_err_with(|| file.display().to_string())?;
        logs.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let (window, silence) = (arguments.window_seconds, arguments.silence_ms);
    print!("{}", Lateness::read(&logs, window, silence));
    Ok(ExitCode::SUCCESS)
}

fn report_hunts(arguments: &HuntsArguments) -> miette::Result<ExitCode> {
    let hunts = HuntReport::read(&arguments.journal, arguments.since.as_deref())?;
    print!("{hunts}");
    Ok(match hunts.is_clean() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Selects the faults to inject according to the arguments.
fn select_faults(arguments: &SoakArguments) -> miette::Result<Vec<Fault>> {
    match &arguments.faults {
        _ if arguments.calm => Ok(Vec::new()),
        None => Ok(FAULTS.to_vec()),
        Some(names) => names
            .split(',')
            .map(|name| {
                let unknown_fault = || miette::miette!("unknown fault {name}; available: {FAULTS:?}, and only by name: {NAMED_FAULTS:?}");
                Fault::from_name(name.trim()).ok_or_else(unknown_fault)
            })
            .collect(),
    }
}

async fn run_soaks(arguments: &SoakArguments) -> miette::Result<ExitCode> {
    let executable = std::env::current_exe().into_diagnostic()?;
    let program = arguments
        .program
        .clone()
        .unwrap_or_else(|| soak::default_program_path(&executable));
    let first_seed = arguments
        .seed
        .unwrap_or_else(|| rand::random::<u32>().into());
    let mut broken = false;
    let faults = select_faults(arguments)?;
    let runs: Vec<(u64, Vec<Fault>)> = match arguments.cases {
        true => soak::REGRESSION_CASES
            .iter()
            .map(|case| (case.seed, case.faults.to_vec()))
            .collect(),
        false => (first_seed..first_seed + arguments.runs)
            .map(|seed| (seed, faults.clone()))
            .collect(),
    };
    for (seed, faults) in runs {
        let contracts = select_contracts(arguments, seed)?;
        println!("seed {seed}: contracts {contracts:?}");
        let plan = SoakPlan {
            program: program.clone(),
            upgrade_from: arguments.upgrade_from.clone(),
            seed,
            duration: Duration::from_secs(arguments.seconds),
            faults,
            shape: match arguments.open_loop {
                Some(_) => DeploymentShape::four_zones(),
                None => DeploymentShape {
                    size: DeploymentSize::for_processes(arguments.processes),
                    catch_up: arguments
                        .catch_up_ms
                        .map_or(CATCH_UP, Duration::from_millis),
                    ..DeploymentShape::default()
                },
            },
            contracts,
            sync_time: Duration::from_millis(arguments.sync_ms),
        };
        let report = match arguments.open_loop {
            Some(load) => soak::open_loop::run(&plan, load).await.into_diagnostic()?,
            None => soak::run(&plan).await.into_diagnostic()?,
        };
        println!("seed {seed}: {:?}", report.counts);
        print!("{}", report.shares);
        println!("  slopes judged: {}", report.judged_processes);
        println!("  faults: {}", report.faults.join(", "));
        for breach in &report.breaches {
            println!("  BREACH {breach}");
        }
        if let Some(folder) = &report.folder {
            println!("  kept in {}", folder.display());
        }
        broken |= !report.breaches.is_empty();
    }
    Ok(match broken {
        true => ExitCode::FAILURE,
        false => ExitCode::SUCCESS,
    })
}

/// Returns the contracts of a run; regression cases use all, as when they were found.
fn select_contracts(arguments: &SoakArguments, seed: u64) -> miette::Result<Vec<String>> {
    match &arguments.contracts {
        Some(names) => {
            contracts::parse(names).ok_or_else(|| miette!("unknown contract in \"{names}\""))
        }
        None if arguments.cases => Ok(contracts::all()),
        None => Ok(contracts::draw(seed)),
    }
}

async fn dispatch(command: Command) -> miette::Result<ExitCode> {
    match command {
        Command::Soak(arguments) => run_soaks(&arguments).await,
        Command::Lateness(arguments) => report_lateness(&arguments),
        Command::Hunts(arguments) => report_hunts(&arguments),
        Command::Demo(arguments) => {
            if arguments.verbose {
                start_log(LogFormat::Text);
            }
            demo::run().await
        }
        Command::Cluster(arguments) => run_cluster(arguments).await,
        Command::Failover(arguments) => {
            let report = failover::run(arguments.kills).into_diagnostic()?;
            println!(
                "{}",
                serde_json::to_string_pretty(&report).into_diagnostic()?
            );
            Ok(ExitCode::SUCCESS)
        }
        Command::Load(arguments) => {
            let plan = LoadPlan {
                calls: arguments.calls,
                concurrency: arguments.concurrency,
                shape: ClusterShape {
                    nodes: arguments.nodes,
                    durable_nodes: arguments.disks,
                    engines: 4,
                    replicas: 1,
                    shards: 64,
                    timing: EngineTiming::Instant,
                    tls: arguments.tls,
                },
            };
            load::run(plan, arguments.json).await?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

async fn run_cluster(arguments: ClusterArguments) -> miette::Result<ExitCode> {
    start_log(LogFormat::Text);
    let text = std::fs::read_to_string(&arguments.config).into_diagnostic()?;
    let name = arguments.config.display().to_string();
    let checked = stageyoke_config::check(&name, &text)?;
    let pools = checked.config.pools.len().max(1);
    let shape = ClusterShape {
        nodes: arguments.nodes,
        durable_nodes: arguments.disks,
        engines: checked.config.engines.len(),
        replicas: checked
            .config
            .pools
            .iter()
            .map(|pool| pool.addresses.len())
            .sum::<usize>()
            / pools,
        shards: 64,
        timing: EngineTiming::Modelled(Default::default()),
        tls: arguments.tls,
    };
    let cluster = LabCluster::start(shape).await?;
    let (text, key) = demo::with_sample_key(&cluster.substitute_addresses(&text));
    cluster.apply(&text).await?;
    cluster.wait_for_leaders().await?;
    println!("key-value service  {}", cluster.key_value_address);
    for (index, node) in cluster.running() {
        let (callers, operators) = (node.caller_address, node.operator_address);
        println!("node-{index}  callers http://{callers}  operators http://{operators}");
    }
    println!("sample key  {key}");
    if let (Some(node), Some(program)) = (
        cluster.caller_addresses().first(),
        checked.config.programs.first(),
    ) {
        let body = format!(
            r#"{{"model":"{}","stream":true,"messages":[{{"role":"user","content":"hello"}}]}}"#,
            program.name
        );
        println!(
            "try  curl -N http://{node}/v1/chat/completions -H 'Authorization: Bearer {key}' -H 'X-Program-Id: first' -d '{body}'"
        );
    }
    tokio::signal::ctrl_c().await.into_diagnostic()?;
    Ok(ExitCode::SUCCESS)
}
