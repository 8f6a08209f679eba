//! Tests that retries stay a bounded fraction of all requests.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stageyoke_policy::retry_budget::RetryBudget;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Allows at most a tenth of the requests plus a burst of 20, in any order.
    #[test]
    fn retries_never_exceed_the_budget(timed_out in proptest::collection::vec(any::<bool>(), 1..2000)) {
        let mut budget = RetryBudget::default();
        let mut retries = 0;
        for (number, timed_out) in timed_out.into_iter().enumerate() {
            budget.deposit();
            retries += usize::from(timed_out && budget.withdraw());
            prop_assert!(retries as f64 <= 20.0 + (number + 1) as f64 * 0.1 + 1e-6);
        }
    }
}

#[test]
fn occasional_timeouts_are_always_retried() {
    let mut budget = RetryBudget::default();
    for number in 0..1_000 {
        budget.deposit();
        assert!(number % 15 != 0 || budget.withdraw());
    }
}
