//! Load on one entry from the reconnections of many agents, in simulated time.

use std::time::Duration;

use agent::{ReconnectBackoff, RenewalPeriod};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const AGENTS: usize = 1_000;
const SEED: u64 = 20_261_204;
const WINDOW: Duration = Duration::from_millis(100);

/// Returns the number of calls in each window of 100 ms.
fn calls_by_window(calls: impl Iterator<Item = Duration>) -> Vec<usize> {
    let mut counts = Vec::new();
    for at in calls {
        let window = (at.as_millis() / WINDOW.as_millis()) as usize;
        counts.resize(counts.len().max(window + 1), 0);
        counts[window] += 1;
    }
    counts
}

#[test]
fn agents_that_lose_an_entry_reconnect_spread_over_two_seconds() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let calls = (0..AGENTS).map(|_| ReconnectBackoff::default().after_loss(rng.random()));
    let counts = calls_by_window(calls);
    assert_eq!(counts.len(), 20);
    assert!(counts.iter().all(|calls| *calls < AGENTS / 10), "{counts:?}");
}

#[test]
fn agents_disconnected_for_an_hour_call_at_a_bounded_rate() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let outage = Duration::from_secs(3_600);
    let mut calls = Vec::new();
    for _ in 0..AGENTS {
        let mut backoff = ReconnectBackoff::default();
        let mut at = backoff.after_loss(rng.random());
        while at < outage {
            calls.push(at);
            at += backoff.after_failure(rng.random());
        }
    }
    let steady_after = Duration::from_secs(60).as_millis() / WINDOW.as_millis();
    let counts = calls_by_window(calls.into_iter());
    let most = counts.iter().skip(steady_after as usize).max();
    assert!(most.is_some_and(|calls| *calls < AGENTS / 20), "{most:?} calls in 100 ms");
}

#[test]
fn success_resets_the_delay_after_the_next_failure() {
    let mut backoff = ReconnectBackoff::default();
    (0..20).for_each(|_| {
        backoff.after_failure(1.0);
    });
    assert_eq!(backoff.after_failure(1.0), Duration::from_secs(10));
    backoff.reset();
    assert_eq!(backoff.after_failure(1.0), Duration::from_millis(100));
}

#[test]
fn renewal_period_doubles_while_nothing_changes() {
    let mut period = RenewalPeriod::default();
    let periods: Vec<_> = (0..7).map(|_| period.after_renewal(0.5).as_secs()).collect();
    assert_eq!(periods, [5, 10, 20, 40, 80, 120, 120]);
    period.reset();
    assert_eq!(period.after_renewal(0.5).as_secs(), 5);
}
