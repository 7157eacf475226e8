use types::Resources;

use crate::LeaseId;

types::wire! {
    /// Resources that the task under one lease used.
    #[derive(Copy)]
    pub struct LeaseUsage {
        /// The lease.
        pub lease: LeaseId,
        /// Resources that the task used, which may differ from the declared ones.
        pub used: Resources,
    }

    /// Usage of a worker some time ago.
    #[derive(Default)]
    pub struct WorkerUsage {
        /// Age of the report in milliseconds.
        pub age_ms: u64,
        /// Total resources of the worker.
        pub capacity: Resources,
        /// Usage by lease.
        pub leases: Vec<LeaseUsage>,
    }
}

impl WorkerUsage {
    /// Returns the sum over all leases.
    pub fn used(&self) -> Resources {
        self.leases.iter().fold(Resources::default(), |sum, l| sum.saturating_add(l.used))
    }
}
