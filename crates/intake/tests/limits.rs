//! Tests of the limits that follow from the memory of a host.

use intake::{CONNECTION_BYTES, IntakeLimits, UNREAD_BYTES};

// Guards against limits that together exceed the memory of a host: three eighths of it are for the
// program, its links and what other settings bound.
types::cases! {
    fn the_sum_of_the_limits_fits_the_host(memory_mb: u64, max_descriptors: u64) {
        let limits = IntakeLimits::for_host(memory_mb, max_descriptors);
        let connections = limits.connections as u64;
        let with_closing = connections + connections / 8;
        let unread = (with_closing + u64::from(limits.queue)) * UNREAD_BYTES;
        let sum = limits.request_bytes as u64 + with_closing * CONNECTION_BYTES + unread;
        assert!(sum <= memory_mb * 1_048_576 / 8 * 5, "{sum} bytes with {limits:?}");
        assert!(connections + connections / 8 < max_descriptors, "{limits:?}");
    }
    smallest_entry: (120, 3_075),
    small_entry: (160, 4_100),
    entry: (260, 4_100),
    large_entry: (400, 10_250),
    largest_entry: (512, 8_192),
    entry_for_stored_jobs: (640, 4_100),
    few_descriptors: (640, 64),
}
