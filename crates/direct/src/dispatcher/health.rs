use crate::dispatcher::JobKey;

/// Consecutive failures of different jobs that eject an upstream. A single failure does not,
/// because the task is far more often its cause.
const FAILURES_TO_EJECT: u32 = 2;
/// Duration of the first ejection, milliseconds; each further one lasts twice as long.
const FIRST_EJECTION_MS: u64 = 800;
/// Maximum duration of an ejection, milliseconds; short, so that an upstream that recovers is used
/// again within seconds.
const MAX_EJECTION_MS: u64 = 3_200;

types::plain! {
    /// Health of an upstream, by the outcomes of its tasks. After an ejection the upstream is on
    /// probation: it gets one task at a time until one succeeds.
    #[derive(Copy, Default)]
    pub(crate) struct UpstreamHealth {
        failures: u32,
        last_failed: Option<JobKey>,
        ejected_until_ms: u64,
        ejections: u32,
    }
}

impl UpstreamHealth {
    /// Records a task that succeeded; returns whether this ends an ejection or probation.
    pub(crate) fn record_success(&mut self) -> bool {
        let was_ejected = self.ejections > 0;
        *self = Self::default();
        was_ejected
    }

    /// Records a failure; returns whether it ejects the upstream. Further failures of the same job
    /// do not count.
    pub(crate) fn record_failure(&mut self, job: JobKey, now_ms: u64) -> bool {
        if self.last_failed == Some(job) {
            return false;
        }
        self.last_failed = Some(job);
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT && self.ejections == 0 {
            return false;
        }
        let length = (FIRST_EJECTION_MS << self.ejections.min(8)).min(MAX_EJECTION_MS);
        self.ejected_until_ms = now_ms + length;
        self.ejections += 1;
        true
    }

    /// Returns whether no task may be sent: the upstream is ejected, or on probation with an
    /// outstanding attempt.
    pub(crate) fn rejects_tasks(&self, now_ms: u64, outstanding: usize) -> bool {
        now_ms < self.ejected_until_ms || (self.ejections > 0 && outstanding > 0)
    }

    /// Returns whether the upstream is ejected or on probation: no task has succeeded since its
    /// last ejection.
    pub(crate) fn is_suspect(&self) -> bool {
        self.ejections > 0
    }
}
