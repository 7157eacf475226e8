//! Limits on retries by the number of successes and by the floor.

use policy::RetryBudgetBuilder;

types::cases! {
    fn retries_are_bounded(successes: u32, failures_per_ms: u32, seconds: u64, expected: u32) {
        let mut budget = RetryBudgetBuilder::default().build(0);
        (0..successes).for_each(|_| budget.on_success());
        let spend = |ms| (0..failures_per_ms).filter(|_| budget.try_spend(ms * 1_000)).count() as u32;
        let retries: u32 = (1..=seconds * 1_000).map(spend).sum();
        assert_eq!(retries, expected);
    }
    a_tenth_of_successes: (1_000, 200, 2, 101),
    saved_retries_are_capped: (1_000_000, 1_000, 2, 501),
    only_the_floor_when_everything_fails: (0, 31, 60, 60),
}

#[test]
fn the_floor_is_not_saved_up() {
    let mut budget = RetryBudgetBuilder::default().build(0);
    let later_us = 3_600_000_000;
    assert_eq!((0..100).filter(|_| budget.try_spend(later_us)).count(), 1);
}
