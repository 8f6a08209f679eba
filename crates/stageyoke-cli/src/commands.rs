//! Implementation of each command.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};
use stageyoke_config::difference::{Difference, compare_configurations};
use stageyoke_config::model::hash_key;
use stageyoke_config::schema::CONFIGURATION;
use stageyoke_config::{CheckedConfig, Configuration, Problems};
use stageyoke_node::backends::{HttpClient, full_body, http_client};
use stageyoke_node::platform::config_source::{self, Applied, ConfigRecord};
use stageyoke_node::platform::key_value::{KeyValueClient, StoreError};
use stageyoke_node::settings::SETTINGS;
use stageyoke_types::{ErrorKind, Event};

use crate::arguments::{
    ApplyArguments, CheckArguments, EventsArguments, KeysArguments, PlanArguments,
    ReferenceArguments, StatusArguments,
};
use crate::output::{Failure, exit_code, print_json};

/// Delay between status polls of the nodes, and between attempts of an apply.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of one request to a node.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of attempts to write a version while the key-value service returns errors.
const MAX_APPLY_ATTEMPTS: usize = 5;

fn read_and_check(path: &Path) -> Result<(String, CheckedConfig), Failure> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        let message = format!("{}: {error}; give a readable file", path.display());
        Failure::new(ErrorKind::NotFound, message)
    })?;
    let checked = stageyoke_config::check(&path.display().to_string(), &text);
    checked
        .map(|checked| (text, checked))
        .map_err(Failure::File)
}

fn problems_json(problems: &Problems) -> Value {
    let items = problems.list().iter().map(|problem| {
        json!({
            "severity": format!("{:?}", problem.severity).to_lowercase(),
            "line": problems.line_number(problem),
            "what": problem.what,
            "remedy": problem.remedy,
        })
    });
    Value::Array(items.collect())
}

/// Implements `check`: validates files and prints their problems.
pub fn check(arguments: &CheckArguments) -> Result<ExitCode, Failure> {
    if arguments.files.is_empty() {
        return Err(Failure::new(ErrorKind::BadRequest, "name a file to check"));
    }
    let mut code = ExitCode::SUCCESS;
    for file in &arguments.files {
        let (problems, is_rejected) = match read_and_check(file) {
            Ok((_, checked)) => {
                let is_rejected = arguments.strict && !checked.warnings.list().is_empty();
                (checked.warnings, is_rejected)
            }
            Err(Failure::File(problems)) => (problems, true),
            Err(other) => return Err(other),
        };
        if arguments.json {
            print_json(&json!({ "file": file, "problems": problems_json(&problems) }));
        } else if problems.list().is_empty() {
            println!("{}: no problems", file.display());
        } else {
            eprintln!("{:?}", miette::Report::new(problems));
        }
        if is_rejected {
            code = exit_code(ErrorKind::ConfigInvalid);
        }
    }
    Ok(code)
}

fn key_value_failure(error: StoreError) -> Failure {
    Failure::new(ErrorKind::StoreUnavailable, error.to_string())
}

fn new_key_value_client(addresses: &[SocketAddr]) -> Result<KeyValueClient, Failure> {
    if addresses.is_empty() {
        let message = "give the key-value service's address with --store";
        return Err(Failure::new(ErrorKind::BadRequest, message));
    }
    Ok(KeyValueClient::new(addresses.to_vec()))
}

fn compare_with_current(current: Option<&ConfigRecord>, after: &Configuration) -> Vec<Difference> {
    let before = current.and_then(|record| {
        let checked = stageyoke_config::check("in force", &record.text).ok()?;
        Some(checked.config)
    });
    compare_configurations(before.as_ref(), after)
}

fn print_plan(version: u64, changes: &[Difference], as_json: bool) {
    if as_json {
        let items = changes.iter().map(|change| {
            json!({
                "section": change.section,
                "name": change.name,
                "change": format!("{:?}", change.change).to_lowercase(),
                "risk": change.risk,
            })
        });
        print_json(&json!({ "from_version": version, "changes": items.collect::<Vec<_>>() }));
        return;
    }
    println!("against version {version}: {} changes", changes.len());
    for change in changes {
        println!("  {change}");
    }
}

/// Implements `plan`: prints how a file differs from the configuration in force.
pub async fn plan(arguments: &PlanArguments) -> Result<ExitCode, Failure> {
    let (_, checked) = read_and_check(&arguments.file)?;
    let store = new_key_value_client(&arguments.store)?;
    let current = config_source::read(&store)
        .await
        .map_err(key_value_failure)?;
    let current = current.map(|(record, _)| record);
    let version = current.as_ref().map_or(0, |record| record.version);
    let changes = compare_with_current(current.as_ref(), &checked.config);
    print_plan(version, &changes, arguments.json);
    Ok(ExitCode::SUCCESS)
}

/// Implements `apply`: writes a new version to the key-value service and waits until the
/// named nodes use it.
pub async fn apply(arguments: &ApplyArguments) -> Result<ExitCode, Failure> {
    let (text, checked) = read_and_check(&arguments.file)?;
    let store = new_key_value_client(&arguments.store)?;
    let current = config_source::read(&store)
        .await
        .map_err(key_value_failure)?;
    let current = current.map(|(record, _)| record);
    let current_version = current.as_ref().map_or(0, |record| record.version);
    let base_version = arguments.from_version.unwrap_or(current_version);
    if !arguments.json {
        print_plan(
            current_version,
            &compare_with_current(current.as_ref(), &checked.config),
            false,
        );
    }
    let new_apply_id = || format!("{:032x}", rand::random::<u128>());
    let record = ConfigRecord {
        version: base_version + 1,
        apply_id: arguments.apply_id.clone().unwrap_or_else(new_apply_id),
        operator: std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned()),
        text,
    };
    let version = write_record(&store, base_version, &record).await?;
    let record = ConfigRecord { version, ..record };
    send_to_nodes(&arguments.node, &record).await;
    wait_until_in_force(arguments, &record).await
}

/// Writes the record to the key-value service. A retry after a lost response is safe, since
/// the record's `apply_id` shows whether an earlier attempt was accepted.
async fn write_record(
    store: &KeyValueClient,
    base_version: u64,
    record: &ConfigRecord,
) -> Result<u64, Failure> {
    for _ in 0..MAX_APPLY_ATTEMPTS {
        match config_source::apply(store, base_version, record.clone()).await {
            Ok(Applied::Accepted(version)) => return Ok(version),
            Ok(Applied::Lost(winner)) => return Err(conflict_failure(base_version, winner)),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
    let message = format!(
        "it is not known whether the apply took effect; run it again with --apply-id {}",
        record.apply_id
    );
    Err(Failure::new(ErrorKind::StoreUnavailable, message))
}

fn conflict_failure(base_version: u64, winner: Option<ConfigRecord>) -> Failure {
    let message = match winner {
        Some(winner) => format!(
            "version {} was applied by {} after version {base_version}; run plan again",
            winner.version, winner.operator
        ),
        None => format!("there is no version {base_version} to start from"),
    };
    Failure::new(ErrorKind::ConfigConflict, message)
}

/// Sends the record to the nodes directly, so that an outage of the key-value service right
/// after the write doesn't delay the rollout.
async fn send_to_nodes(nodes: &[SocketAddr], record: &ConfigRecord) {
    let http = http_client();
    let body = serde_json::to_vec(record).unwrap_or_default();
    for node in nodes {
        let request = Request::post(format!("http://{node}/config"));
        if let Ok(request) = request.body(full_body(body.clone())) {
            // A node that misses the request receives the record from its peers.
            let _ = tokio::time::timeout(NODE_TIMEOUT, http.request(request)).await;
        }
    }
}

async fn wait_until_in_force(
    arguments: &ApplyArguments,
    record: &ConfigRecord,
) -> Result<ExitCode, Failure> {
    let started = Instant::now();
    let http = http_client();
    let mut lagging = Vec::new();
    if arguments.node.is_empty() && !arguments.json {
        println!(
            "accepted as version {}; no node was named to wait for",
            record.version
        );
        return Ok(ExitCode::SUCCESS);
    }
    while started.elapsed() < Duration::from_secs(arguments.wait_seconds) {
        lagging.clear();
        for node in &arguments.node {
            let status = fetch_node_status(&http, *node).await;
            let version = status.and_then(|status| status["config_version"].as_u64());
            if version.is_none_or(|version| version < record.version) {
                lagging.push(node.to_string());
            }
        }
        if lagging.is_empty() {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    if arguments.json {
        print_json(&json!({
            "version": record.version,
            "apply_id": record.apply_id,
            "seconds": seconds,
            "lagging": lagging,
        }));
    } else if lagging.is_empty() {
        println!(
            "version {} is in force on every named node after {seconds:.1} s",
            record.version
        );
    }
    if lagging.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    let message = format!(
        "version {} is accepted, but not yet in force on {}",
        record.version,
        lagging.join(", ")
    );
    Err(Failure::new(ErrorKind::DeadlineExceeded, message))
}

async fn fetch_node_status(http: &HttpClient, node: SocketAddr) -> Option<Value> {
    let request = Request::get(format!("http://{node}/status"));
    let request = request.body(full_body(Vec::new())).ok()?;
    let response = tokio::time::timeout(NODE_TIMEOUT, async {
        let response = http.request(request).await.ok()?;
        let is_ok = response.status() == StatusCode::OK;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok().filter(|_| is_ok)
    });
    response.await.ok().flatten()
}

/// Implements `status`: prints the state of each named node.
pub async fn status(arguments: &StatusArguments) -> Result<ExitCode, Failure> {
    if arguments.node.is_empty() {
        let message = "give the operators' address of a node with --node";
        return Err(Failure::new(ErrorKind::BadRequest, message));
    }
    let http = http_client();
    let mut unreachable_nodes = 0;
    for node in &arguments.node {
        let Some(status) = fetch_node_status(&http, *node).await else {
            unreachable_nodes += 1;
            println!("{node}: no answer");
            continue;
        };
        if arguments.json {
            print_json(&status);
            continue;
        }
        if status["role"] == "store" {
            println!("{node}: {}", describe_store(&status));
            continue;
        }
        println!(
            "{node}: {} config {} ready {} draining {} leads {} of {} replicas, {} calls waiting",
            status["name"],
            status["config_version"],
            status["ready"],
            status["draining"],
            status["shards_led"],
            status["replicas"],
            status["calls_waiting"]
        );
        for member in status["members"].as_array().into_iter().flatten() {
            println!(
                "  {} {} {} {}",
                member["name"], member["zone"], member["address"], member["status"]
            );
        }
    }
    if unreachable_nodes == arguments.node.len() {
        return Err(Failure::new(ErrorKind::Unavailable, "no node answered"));
    }
    Ok(ExitCode::SUCCESS)
}

/// Describes a store of the platform's deployment, whose status page is beside its metrics.
fn describe_store(status: &Value) -> String {
    format!(
        "{} complete {} incomplete for {} s, lacks {} records, {} fetches failed, holds {} records, members {}",
        status["name"],
        status["complete"],
        status["incomplete_seconds"],
        status["missing_records"],
        status["failed_fetches"],
        status["records"],
        status["members_version"]
    )
}

/// Implements `events`: prints the meaning of log events.
pub fn events(arguments: &EventsArguments) -> Result<ExitCode, Failure> {
    let is_requested = |event: &&Event| {
        arguments.numbers.is_empty() || arguments.numbers.contains(&event.number())
    };
    let events: Vec<&Event> = Event::ALL.iter().filter(is_requested).collect();
    if events.is_empty() {
        return Err(Failure::new(ErrorKind::NotFound, "there is no such event"));
    }
    for event in events {
        if arguments.json {
            print_json(&json!({
                "number": event.number(),
                "name": format!("{event:?}"),
                "level": event.level(),
                "meaning": event.meaning(),
            }));
        } else {
            println!(
                "{} {event:?} ({}): {}",
                event.number(),
                event.level(),
                event.meaning()
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Implements `keys`: prints a new or given tenant key's hash.
pub fn keys(arguments: &KeysArguments) -> Result<ExitCode, Failure> {
    let key = match arguments.action.as_str() {
        "new" => format!(
            "sk-{:032x}{:032x}",
            rand::random::<u128>(),
            rand::random::<u128>()
        ),
        "hash" => {
            let mut text = String::new();
            std::io::stdin()
                .read_to_string(&mut text)
                .map_err(|error| Failure::internal(&error))?;
            text.trim().to_owned()
        }
        other => {
            let message = format!("`{other}` is neither `new` nor `hash`");
            return Err(Failure::new(ErrorKind::BadRequest, message));
        }
    };
    let hash = hash_key(&key);
    if arguments.json {
        print_json(&json!({ "key": key, "hash": hash }));
    } else if arguments.action == "new" {
        println!("key   {key}\nhash  {hash}");
    } else {
        println!("{hash}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Implements `reference`: prints the schema of a file as Markdown.
pub fn reference(arguments: &ReferenceArguments) -> Result<ExitCode, Failure> {
    let schema = match arguments.file.as_str() {
        "config" => CONFIGURATION,
        "settings" => SETTINGS,
        other => {
            let message = format!("`{other}` is neither `config` nor `settings`");
            return Err(Failure::new(ErrorKind::BadRequest, message));
        }
    };
    print!("{}", schema.markdown());
    Ok(ExitCode::SUCCESS)
}
