//! Restarts of agents, which keep the claims of jobs, when a job whose caller has given up is
//! submitted again before the entry has learnt of the caller's end.

use std::{ops::Range, time::Duration};

use futures::future::join_all;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use rustix::process::Signal;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{caller::RESUBMISSION_DELAY, env_number, faults::end, system::System};

/// Time after which the end of a channel that was given up is there, milliseconds: around that of the
/// second submission.
pub(crate) const LATE_END_MS: Range<u64> = 1_000..2_600;
/// Time of the restarts before the second submission, or after it, milliseconds.
const AROUND_MS: u64 = 250;
/// Share of the restarts that come as soon as the caller has given up.
const AT_ONCE_SHARE: f64 = 0.25;
/// Number of agents that keep the claim of a job. Random ones are the right ones in one of three
/// cases with three agents.
const KEEPERS: usize = 2;

/// Returns whether restarts follow on callers that give up.
pub(crate) fn are_restarted() -> bool {
    env_number("SOAK_KEEPER_RESTARTS", 0) > 0
}

/// Restarts agents for a time, if this is asked for. Returns how often.
pub(crate) async fn restart(system: &System, seed: u64, length: Duration) -> usize {
    let (mut rng, mut count) = (StdRng::seed_from_u64(seed), 0);
    let until = Instant::now() + length;
    while are_restarted() && timeout_at(until, system.gave_up.notified()).await.is_ok() {
        if !rng.random_bool(AT_ONCE_SHARE) {
            let until_second = RESUBMISSION_DELAY - Duration::from_millis(AROUND_MS);
            sleep(until_second + Duration::from_millis(rng.random_range(0..2 * AROUND_MS))).await;
        }
        let keepers = system.agents.sample(&mut rng, KEEPERS);
        join_all(keepers.map(|agent| end(agent, Signal::KILL, Duration::ZERO))).await;
        count += 1;
    }
    count
}
