use std::sync::Arc;

use types::Resources;

types::plain! {
    /// One step of a direct job: equal tasks that may run side by side.
    pub struct JobStep {
        /// Number of tasks, at least 1.
        pub tasks: u32,
        /// What each task needs.
        pub need: Resources,
        /// Declared run time of a task at speed 1, milliseconds; a rough figure.
        pub estimate_ms: u32,
        /// Positions of earlier steps whose tasks must all have ended well.
        pub after: Vec<u16>,
        /// A label that the upstream must have.
        pub label: Option<Arc<str>>,
        /// The rack on which the tasks run fastest.
        pub rack: Option<Arc<str>>,
        /// At most this many tasks of the step on one upstream.
        pub max_per_upstream: Option<u32>,
    }

    /// A job that is answered on its submission with its end.
    pub struct DirectJob {
        /// The id that its client chose.
        pub id: Arc<str>,
        /// The pool whose upstreams may run it.
        pub pool: Arc<str>,
        /// The kind of job, for learning run times.
        pub kind: Arc<str>,
        /// What every task is given to run.
        pub payload: Arc<str>,
        /// The steps, in order.
        pub steps: Vec<JobStep>,
        /// Urgency: 0 goes first.
        pub priority: u8,
        /// Runs of one task that may end failed before the job fails.
        pub max_attempts: u16,
        /// The objective is this many times the job's longest chain of run times ...
        pub stretch: f64,
        /// ... and this many milliseconds more.
        pub allowance_ms: u64,
        /// How long the client waits for the answer, milliseconds from its arrival.
        pub caller_timeout_ms: u64,
    }

    /// Why a job was refused before any of its tasks started.
    #[derive(Copy, Eq)]
    pub enum RefusalReason {
        /// It could not end within its objective for want of capacity.
        Overloaded,
        /// No upstream of its pool is known.
        NoUpstream,
        /// The process has just been suspended, so the request's age is unknown.
        Suspended,
        /// The process is stopping.
        Stopping,
    }

    /// How a job ended.
    #[derive(Copy, Eq)]
    pub enum JobOutcome {
        /// Every task ended well.
        Succeeded,
        /// A task failed too often, or can run nowhere.
        Failed,
        /// The client's time has run out; tasks may have run and are being stopped.
        TimedOut,
        /// Nothing of it has started and nothing will.
        NotRun {
            /// Why.
            reason: RefusalReason,
            /// When it is worth coming back, milliseconds.
            retry_after_ms: u64,
        },
    }
}

impl RefusalReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::NoUpstream => "no_upstream",
            Self::Suspended => "suspended",
            Self::Stopping => "stopping",
        }
    }
}

impl DirectJob {
    /// Returns the longest chain of declared run times, milliseconds.
    pub fn longest_chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().filter_map(|&i| ends.get(usize::from(i))).max();
            ends.push(start.copied().unwrap_or(0) + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns how many tasks the job has.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }
}
