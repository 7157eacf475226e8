use std::sync::Arc;

use types::Resources;

use crate::JobTasks;

/// Memory of a job without its steps, of a step without its tasks and of a task, bytes. That of a task
/// includes its history, its attempt and the message with it to an agent.
const JOB_BYTES: usize = 1_024;
const STEP_BYTES: usize = 192;
const TASK_BYTES: usize = 256;

types::wire! {
    /// Identity of a job: callers of different queues may choose the same id.
    #[derive(Eq, Hash)]
    pub struct JobName {
        /// Queue of the job, which is also its kind.
        pub queue: Arc<str>,
        /// Job id, chosen by the caller.
        pub id: Arc<str>,
    }
}

types::plain! {
    /// One step of a direct job: identical tasks that may run concurrently.
    pub struct JobStep {
        /// Number of tasks, at least 1.
        pub tasks: u32,
        /// Resources that each task needs.
        pub need: Resources,
        /// Declared run time of a task at speed 1, milliseconds; a rough estimate.
        pub estimate_ms: u32,
        /// Positions of earlier steps whose tasks must all succeed before this step starts.
        pub after: Vec<u16>,
        /// Label that the upstream must have.
        pub label: Option<Arc<str>>,
        /// Rack on which the tasks run fastest, because it holds their data.
        pub rack: Option<Arc<str>>,
        /// Maximum number of tasks of the step that run on one upstream at a time.
        pub max_per_upstream: Option<u32>,
    }

    /// A job whose submission is answered with its outcome.
    pub struct DirectJob {
        /// Job id, chosen by the caller; unique within the queue.
        pub id: Arc<str>,
        /// Pool whose upstreams may run the job.
        pub pool: Arc<str>,
        /// Kind of job, which is the name of its queue; run times are learned per kind.
        pub kind: Arc<str>,
        /// Input of every task, passed to the executor unchanged.
        pub payload: Arc<str>,
        /// The steps, in order.
        pub steps: Vec<JobStep>,
        /// Urgency; 0 is the most urgent.
        pub priority: u8,
        /// Number of failed runs of one task at which the job fails.
        pub max_attempts: u16,
        /// Factor of the latency objective: the objective is [`DirectJob::longest_chain_ms`] times
        /// this, plus `allowance_ms`.
        pub stretch: f64,
        /// Constant part of the latency objective, milliseconds.
        pub allowance_ms: u64,
        /// How long the caller waits for the reply, milliseconds from the job's arrival.
        pub caller_timeout_ms: u64,
        /// How long the callers of the job's queue wait if they state nothing, milliseconds.
        pub queue_timeout_ms: u64,
    }

    /// Why a job was refused before any of its tasks started.
    #[derive(Copy, Eq)]
    pub enum RefusalReason {
        /// The pool lacks the capacity to finish the job within its objective.
        Overloaded,
        /// No upstream of the job's pool is known, or none of the known ones fits the job and some
        /// of them are unavailable.
        NoUpstream,
        /// The process has just resumed from a suspension, so the request's age is unknown.
        Suspended,
        /// The process is shutting down.
        Stopping,
    }

    /// Outcome of a job.
    #[derive(Copy, Eq)]
    pub enum JobOutcome {
        /// Every task succeeded.
        Succeeded,
        /// A task failed too often, or fits no upstream of the pool.
        Failed,
        /// The caller's timeout has expired; tasks may have run, and the rest are being stopped.
        TimedOut,
        /// A caller has cancelled the job; tasks may have run, and the rest are being stopped.
        Cancelled,
        /// No task of the job has run or will run.
        NotRun {
            /// Why the job was refused.
            reason: RefusalReason,
            /// Earliest time to resubmit, milliseconds from now.
            retry_after_ms: u64,
        },
    }
}

impl RefusalReason {
    /// Returns the name of the reason in logs and metrics.
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
    /// Returns the identity of the job.
    pub fn name(&self) -> JobName {
        JobName { queue: Arc::clone(&self.kind), id: Arc::clone(&self.id) }
    }

    /// Returns the tasks of the job.
    pub fn tasks(&self) -> JobTasks {
        let steps = self.steps.iter().map(|step| step.tasks).collect();
        JobTasks { job: Arc::clone(&self.id), steps }
    }

    /// Returns the length of the critical path: the largest sum of declared run times over a chain
    /// of dependent steps, milliseconds.
    pub fn longest_chain_ms(&self) -> u64 {
        let mut end_times_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start_ms =
                step.after.iter().filter_map(|&i| end_times_ms.get(usize::from(i))).max();
            end_times_ms.push(start_ms.copied().unwrap_or(0) + u64::from(step.estimate_ms));
        }
        end_times_ms.into_iter().max().unwrap_or(0)
    }

    /// Returns an estimate of the memory that the job occupies until its outcome, bytes: its fields, and
    /// the state and the messages of its tasks.
    pub fn memory_bytes(&self) -> usize {
        let names = |step: &JobStep| {
            [&step.label, &step.rack].into_iter().flatten().map(|n| n.len()).sum::<usize>()
        };
        let steps: usize = self
            .steps
            .iter()
            .map(|step| STEP_BYTES + step.after.len() * size_of::<u16>() + names(step))
            .sum();
        let tasks = usize::try_from(self.task_count()).unwrap_or(usize::MAX);
        JOB_BYTES + self.payload.len() + steps + tasks.saturating_mul(TASK_BYTES)
    }

    /// Returns the number of tasks over all steps.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }
}
