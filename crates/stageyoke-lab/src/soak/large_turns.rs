//! Stores turns that together exceed one message between stores, and then loses stores.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::deployment::Deployment;
use crate::standins::platform::caller::{Caller, StoredTurn};

/// Size of a turn's input in bytes, a little less than the largest body.
const INPUT_BYTES: usize = 4_000_000;
/// Number of turns: nine of them already exceed the 32 MiB of one message.
const TURNS: usize = 20;
/// Time within which the turns are stored.
const STORE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of the turns that are continued after the losses, and the time for each.
const CONTINUED_TURNS: usize = 5;
const CONTINUE_TIMEOUT: Duration = Duration::from_secs(6);
/// Budget that no program of these turns spends.
const BUDGET: u32 = 1_000_000;

impl Deployment {
    /// Stores large turns, loses stores in series, and continues some of the turns; reports a
    /// breach for one that can't be continued.
    pub(super) async fn store_large_turns(&mut self, random: &mut ChaCha8Rng) -> Vec<String> {
        let seed = ChaCha8Rng::seed_from_u64(random.random());
        let mut caller = Caller::new(self.fronts.clone(), self.promises.clone(), seed);
        let stored = store_turns(&mut caller, INPUT_BYTES).await;
        let mut details = vec![format!("{} turns", stored.len())];
        details.extend(self.lose_stores(random).await);
        for turn in stored.iter().rev().take(CONTINUED_TURNS) {
            let until = Instant::now() + CONTINUE_TIMEOUT;
            let program = format!("after-{}", turn.request_id);
            let mut given = 0;
            let next = caller.run_turn(&program, BUDGET, Some(turn), &mut given, until);
            if next.await.is_none() {
                let breach = format!("the large {} could not be continued", turn.request_id);
                self.promises.report_breach(breach);
            }
        }
        details
    }
}

async fn store_turns(caller: &mut Caller, input_bytes: usize) -> Vec<StoredTurn> {
    let until = Instant::now() + STORE_TIMEOUT;
    let mut stored = Vec::new();
    caller.input_bytes = input_bytes;
    for number in 0..TURNS {
        let program = format!("large-{number}");
        stored.extend(caller.run_turn(&program, BUDGET, None, &mut 0, until).await);
    }
    caller.input_bytes = 0;
    stored
}
