//! Whether changes come into force in time: every front is asked again and again
//! for a route that only a configuration of before has.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::calm::CHANGE_BOUND;
use super::promises::{Expected, Promises};
use crate::standins::platform::tenants::CALLERS_KEY;
use crate::standins::platform::{HOST, names, version_path};

const PAUSE: Duration = Duration::from_millis(100);
/// Time that a request tells the front; shorter than the wait for its answer.
const DEADLINE: Duration = Duration::from_millis(1000);
/// Time in which a probe's request is answered, or counts as not answered.
pub const ANSWER_WITHIN: Duration = Duration::from_millis(1500);

/// Configurations of a run, with the moments at which they were accepted.
#[derive(Debug, Default)]
pub struct Versions(Mutex<Vec<(u64, Instant)>>);

impl Versions {
    /// A configuration was accepted.
    pub fn accepted(&self, version: u64) {
        let mut versions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        versions.push((version, Instant::now()));
    }

    /// The newest configuration that no front may go by any more, and how long
    /// ago the next one was accepted.
    pub fn superseded(&self) -> Option<(u64, Duration)> {
        let versions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pairs = versions.windows(2).rev();
        let ages = pairs.map(|pair| (pair[0].0, pair[1].1.elapsed()));
        ages.into_iter().find(|(_, age)| *age > CHANGE_BOUND)
    }
}

/// Asks the fronts in turn until the task is dropped.
pub async fn probe(fronts: Arc<Vec<SocketAddr>>, versions: Arc<Versions>, promises: Arc<Promises>) {
    for number in 0_u64.. {
        tokio::time::sleep(PAUSE).await;
        let front = fronts[number as usize % fronts.len()];
        // Judged by the state when it was asked; trouble meanwhile excuses it.
        if !promises.calm.holds() {
            continue;
        }
        let Some((version, age)) = versions.superseded() else {
            continue;
        };
        let request = format!("probe-{number}");
        let expected = Expected {
            body: Bytes::new(),
            repeatable: true,
        };
        promises.sends(&request, expected);
        let path = version_path(version);
        let asking = ask(front, &request, &path, CALLERS_KEY);
        let status = tokio::time::timeout(ANSWER_WITHIN, asking).await;
        if matches!(status, Ok(Some(200))) && promises.calm.holds() {
            let late = age.as_millis();
            promises.breach(format!(
                "{front} goes by configuration {version}, {late} ms after the next was accepted"
            ));
        }
    }
}

/// Asks for a path with a key; the status, if there is an answer.
pub async fn ask(front: SocketAddr, request: &str, path: &str, key: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(front).await.ok()?;
    let (identifier, deadline) = (names::REQUEST_ID, names::DEADLINE_MS);
    let milliseconds = DEADLINE.as_millis();
    let text = format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\n{identifier}: {request}\r\n\
         {deadline}: {milliseconds}\r\nauthorization: Bearer {key}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}
