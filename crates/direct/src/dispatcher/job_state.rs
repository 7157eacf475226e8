use indexmap::IndexMap;
use types::Resources;

use crate::{
    DirectJob, JobName, JobTasks,
    dispatcher::{
        AgentKey, JobKey,
        job_claim::JobClaim,
        refusals::{RefusalWait, Refusals},
    },
};

/// Time before the caller's timeout at which an unfinished job is answered, milliseconds.
const ANSWER_MARGIN_MS: u64 = 15;

/// History of one task of a job.
#[derive(Debug, Default)]
pub(crate) struct TaskHistory {
    pub(crate) runs: u32,
    pub(crate) failures: u16,
    /// Runs during which the upstream crashed.
    pub(crate) crashes: u32,
    /// Agents on whose upstreams the task failed, or whose upstreams refused it as unhealthy.
    pub(crate) avoided: Vec<AgentKey>,
    /// Refusals by agents, after which the task waits before it is sent there again.
    pub(crate) refusals: Vec<Refusals>,
}

/// Progress of one step of a job.
#[derive(Debug)]
pub(crate) struct StepState {
    /// Positions of the tasks to start, the next one last.
    pub(crate) pending: Vec<u32>,
    /// Number of tasks that have not succeeded.
    pub(crate) unfinished: u32,
    /// Whether the job declares the run time of the tasks.
    pub(crate) has_estimate: bool,
}

/// A job that has not been answered.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) name: JobName,
    pub(crate) tasks: JobTasks,
    pub(crate) job: DirectJob,
    pub(crate) arrived_ms: u64,
    pub(crate) objective_ms: u64,
    /// Time at which the objective is missed, counted from when the caller began to wait.
    pub(crate) objective_at_ms: u64,
    /// Whether the objective was out of reach when the job arrived.
    pub(crate) is_late: bool,
    pub(crate) deadline_ms: u64,
    /// Time from which a job without a start may start late, and at which it is refused while
    /// overload lasts.
    pub(crate) refuse_at_ms: u64,
    /// Time at which a job without a start is refused while overload is brief.
    pub(crate) refuse_at_brief_ms: u64,
    pub(crate) steps: Vec<StepState>,
    pub(crate) histories: IndexMap<(u16, u32), TaskHistory>,
    /// Number of attempts without an outcome.
    pub(crate) outstanding: u32,
    /// Whether a task may have started: an attempt had an outcome other than `NotStarted` and
    /// `Unhealthy`.
    pub(crate) has_run: bool,
    /// Submissions that wait for the outcome; the first one created the job.
    pub(crate) waiters: Vec<JobKey>,
    /// Those of them whose callers may have gone; the job starts for one of the others only.
    pub(crate) held_waiters: Vec<JobKey>,
    pub(crate) claim: JobClaim,
}

impl JobState {
    /// Returns the steps with tasks to start whose dependencies have all succeeded.
    pub(crate) fn eligible_steps(&self) -> impl Iterator<Item = u16> + '_ {
        (0..self.steps.len()).filter(|&i| self.is_eligible(i)).filter_map(|i| u16::try_from(i).ok())
    }

    fn is_eligible(&self, step: usize) -> bool {
        let ended = |&i: &u16| self.steps.get(usize::from(i)).is_some_and(|s| s.unfinished == 0);
        !self.steps[step].pending.is_empty() && self.job.steps[step].after.iter().all(ended)
    }

    /// Returns the minimum over the steps of what a task needs, for each resource separately.
    pub(crate) fn min_need(&self) -> Resources {
        let needs = self.job.steps.iter().map(|step| step.need);
        needs.reduce(Resources::min_each).unwrap_or_default()
    }

    /// Returns the job's place in the queue: late jobs come last, and otherwise the most urgent
    /// first.
    pub(crate) fn queue_place(&self, key: JobKey) -> (bool, u8, JobKey) {
        (self.is_late, self.job.priority, key)
    }

    /// Returns the declared work of the tasks to start, milli-core milliseconds.
    pub(crate) fn work(&self) -> f64 {
        let steps = self.job.steps.iter().zip(&self.steps);
        steps
            .map(|(step, state)| {
                #[allow(clippy::cast_precision_loss)]
                let tasks = state.pending.len() as f64;
                tasks * f64::from(step.need.milli_cores) * f64::from(step.estimate_ms)
            })
            .sum()
    }

    /// Returns the time for which the start of a task with this expected run time may be delayed
    /// before it would miss the objective, or the answer once the objective has passed.
    pub(crate) fn spare_ms(&self, expected_ms: f64, now_ms: u64) -> u64 {
        let answer_ms = self.deadline_ms.saturating_sub(ANSWER_MARGIN_MS);
        let end_ms = if now_ms < self.objective_at_ms {
            self.objective_at_ms.min(answer_ms)
        } else {
            answer_ms
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let run_ms = expected_ms.ceil() as u64;
        end_ms.saturating_sub(now_ms).saturating_sub(run_ms)
    }

    /// Returns whether the job's caller will have stopped waiting before an answer arrives.
    pub(crate) fn is_expired(&self, now_ms: u64) -> bool {
        now_ms + ANSWER_MARGIN_MS >= self.deadline_ms
    }

    /// Returns the time at which the job is refused unless a task of it has been sent.
    pub(crate) fn refusal_ms(&self, is_overload_brief: bool) -> u64 {
        if is_overload_brief { self.refuse_at_brief_ms } else { self.refuse_at_ms }
    }

    /// Returns how long its tasks wait after refusals by agents.
    pub(crate) fn refusal_wait(&self, is_overload_brief: bool, now_ms: u64) -> RefusalWait {
        if now_ms >= self.refusal_ms(is_overload_brief) {
            RefusalWait::LastTry
        } else {
            RefusalWait::Whole
        }
    }

    /// Returns whether a task may have started: an attempt is outstanding or may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.has_run || self.outstanding > 0
    }

    /// Returns whether a task may be sent to every agent, because it has failed on none.
    pub(crate) fn avoids_no_agent(&self, step: u16, task: u32) -> bool {
        self.histories.get(&(step, task)).is_none_or(|history| history.avoided.is_empty())
    }

    /// Returns the refusals of a task by agents.
    pub(crate) fn refusals(&self, step: u16, task: u32) -> &[Refusals] {
        self.histories.get(&(step, task)).map_or(&[], |history| &history.refusals)
    }

    /// Returns the maximum number of crashes that one of its tasks has shared.
    pub(crate) fn shared_crashes(&self) -> u32 {
        self.histories.values().map(|history| history.crashes).max().unwrap_or(0)
    }

    /// Returns whether nothing starts yet, because every caller may have gone.
    pub(crate) fn is_held(&self) -> bool {
        self.waiters.iter().all(|key| self.held_waiters.contains(key))
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }

    pub(crate) fn name(&self) -> &JobName {
        &self.name
    }
}
