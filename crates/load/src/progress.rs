use std::fmt;

use crate::Counts;

types::plain! {
    /// Counts of a run in progress.
    #[derive(Copy)]
    pub struct Progress {
        /// Time since the start in seconds.
        pub elapsed_s: f64,
        /// Jobs in progress.
        pub in_flight: u64,
        /// Outcomes so far.
        pub counts: Counts,
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        write!(
            f,
            "{:.0} s: in flight {}, complete {}, failed {}, cancelled {}, refused {}, errors {}, \
             mismatched {}, unsent {}",
            self.elapsed_s,
            self.in_flight,
            counts.complete,
            counts.failed,
            counts.cancelled,
            counts.refused + counts.refused_unsure,
            counts.errors,
            counts.mismatched,
            counts.unsent,
        )
    }
}
