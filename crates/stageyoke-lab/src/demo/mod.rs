//! Demonstration: runs both example deployments at a small scale on real nodes and
//! sockets, injects failures, and prints the result for each guarantee.

mod checks;
mod programs;
mod scenario;

use std::process::ExitCode;
use std::time::Instant;

use stageyoke_config::model::hash_key;

const FLOOD_WARNING: &str = include_str!("../../../../examples/flood-warning.toml");
const SABARMATI: &str = include_str!("../../../../examples/sabarmati.toml");

/// Result of checking one guarantee, printed as a row of the table.
pub struct CheckResult {
    /// Guarantee that was checked.
    pub guarantee: &'static str,
    /// `true` if the guarantee held.
    pub held: bool,
    /// Counts that the check is based on.
    pub observed: String,
}

/// Replaces the first `key_hashes` line of a configuration by the hash of a new
/// random key. Returns the text and the key.
pub fn with_sample_key(text: &str) -> (String, String) {
    let key = format!("sk-lab-{:032x}", rand::random::<u128>());
    let mut first = true;
    let mut replaced = String::new();
    for line in text.lines() {
        let is_hash = line.starts_with("key_hashes");
        if is_hash && std::mem::take(&mut first) {
            replaced.push_str(&format!("key_hashes = [\"{}\"]", hash_key(&key)));
        } else {
            replaced.push_str(line);
        }
        replaced.push('\n');
    }
    (replaced, key)
}

/// Runs the demonstration for both deployments; fails if a guarantee is broken.
pub async fn run() -> miette::Result<ExitCode> {
    let mut all_held = true;
    for (name, text, tls) in [
        ("flood warning", FLOOD_WARNING, false),
        ("Sabarmati online banking", SABARMATI, true),
    ] {
        let started = Instant::now();
        println!("\n{name}");
        let results = scenario::run(text, tls).await?;
        println!("\n{name}: what each promise showed");
        for result in &results {
            let status = if result.held { "held  " } else { "BROKEN" };
            println!("  {status}  {:<34} {}", result.guarantee, result.observed);
            all_held &= result.held;
        }
        println!("  ({:.1} s)", started.elapsed().as_secs_f64());
    }
    if all_held {
        println!("\nevery promise held");
        Ok(ExitCode::SUCCESS)
    } else {
        println!("\na promise was broken");
        Ok(ExitCode::FAILURE)
    }
}
