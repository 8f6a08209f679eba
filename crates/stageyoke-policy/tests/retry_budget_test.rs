//! Retries stay a part of all requests.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stageyoke_policy::retry_budget::RetryBudget;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Whatever comes in whatever order: a tenth of the requests, and twenty.
    #[test]
    fn retries_are_a_part_of_all_requests(wanted in proptest::collection::vec(any::<bool>(), 1..2000)) {
        let mut budget = RetryBudget::default();
        let mut retries = 0;
        for (number, late) in wanted.into_iter().enumerate() {
            budget.deposit();
            retries += usize::from(late && budget.withdraw());
            prop_assert!(retries as f64 <= 20.0 + (number + 1) as f64 * 0.1 + 1e-6);
        }
    }
}

#[test]
fn a_few_late_answers_are_always_tried_again() {
    let mut budget = RetryBudget::default();
    for number in 0..1_000 {
        budget.deposit();
        assert!(number % 15 != 0 || budget.withdraw());
    }
}
