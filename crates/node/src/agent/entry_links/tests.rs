use super::{MAX_FAILED_ATTEMPTS, pause_ms};

/// Longest partition after which the links must be back within seconds, milliseconds.
const PARTITION_MS: u64 = 300_000;
/// Longest time from the end of a partition until the next attempt, milliseconds.
const MAX_DELAY_MS: u64 = 3_000;

/// Guards against an agent that forgets an entry from which it was cut off for a minute, and never
/// learns its address again.
#[test]
fn an_entry_is_dialled_until_long_after_a_partition() {
    for unconnected in [1, 40] {
        let pauses = (1..MAX_FAILED_ATTEMPTS).map(|failures| pause_ms(failures, unconnected));
        assert!(pauses.clone().all(|ms| ms <= MAX_DELAY_MS));
        // Half of a pause is jitter.
        let dialled_ms: u64 = pauses.map(|ms| ms / 2).sum();
        assert!(dialled_ms > 5 * PARTITION_MS, "{dialled_ms} ms");
    }
}
