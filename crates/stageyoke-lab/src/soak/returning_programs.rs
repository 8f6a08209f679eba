//! Programs that return late: each turn goes on from one of another program shortly before that
//! one's retention ends, so that a chain is older than the retention, and its turns belong to
//! several groups of stores.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::promises::Promises;
use crate::standins::platform::RETENTION_SECONDS;
use crate::standins::platform::caller::{Caller, StoredTurn};

/// Time for the first turn of a chain, also while faults last.
const FIRST_TURN_TIMEOUT: Duration = Duration::from_secs(20);
/// Part of the retention that is left when a turn is continued, for its tries during faults.
const TIME_TO_CONTINUE: Duration = Duration::from_secs(16);
/// Budget of each program, which no turn exhausts.
const BUDGET: u32 = 100_000;

/// Runs chains of turns that are continued late until `until`.
pub async fn run_until(mut caller: Caller, promises: Arc<Promises>, until: Instant) {
    let retention = Duration::from_secs(RETENTION_SECONDS);
    let pause = retention - TIME_TO_CONTINUE;
    while Instant::now() < until {
        let started_by = Instant::now() + FIRST_TURN_TIMEOUT;
        let mut turn = run_turn(&mut caller, None, started_by).await;
        while let Some(previous) = turn {
            if Instant::now() + pause > until {
                return;
            }
            tokio::time::sleep(pause).await;
            let expires_at = previous.answered_at + retention;
            turn = run_turn(&mut caller, Some(&previous), expires_at).await;
            if turn.is_none() {
                promises.report_breach(format!(
                    "{} could not be continued by another program within its retention",
                    previous.request_id
                ));
            }
        }
    }
}

/// Runs a turn of a new program.
async fn run_turn(
    caller: &mut Caller,
    previous: Option<&StoredTurn>,
    until: Instant,
) -> Option<StoredTurn> {
    let program = format!("returning-{:016x}", caller.random.random::<u64>());
    let mut received_tokens = 0;
    let running = caller.run_turn(&program, BUDGET, previous, &mut received_tokens, until);
    running.await
}
