use crate::dispatcher::JobKey;

/// Failures in a row, of different jobs, that eject an upstream. Source: single failures are the
/// tasks' own fault far more often.
const FAILURES_TO_EJECT: u32 = 2;
/// First and longest ejection, milliseconds. Source: an upstream that recovers is used again
/// within seconds.
const FIRST_EJECTION_MS: u64 = 800;
const LONGEST_EJECTION_MS: u64 = 3_200;

types::plain! {
    /// Judges an upstream by the outcomes of its tasks.
    #[derive(Copy, Default)]
    pub(crate) struct Health {
        failures: u32,
        last_failed: Option<JobKey>,
        ejected_until_ms: u64,
        ejections: u32,
    }
}

impl Health {
    /// Notes a task that ended well; returns whether the upstream was ejected before.
    pub(crate) fn succeeded(&mut self) -> bool {
        let was_ejected = self.ejections > 0;
        *self = Self::default();
        was_ejected
    }

    /// Notes a failure; returns whether the upstream is ejected by it.
    pub(crate) fn failed(&mut self, job: JobKey, now_ms: u64) -> bool {
        if self.last_failed == Some(job) {
            return false;
        }
        self.last_failed = Some(job);
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT && self.ejections == 0 {
            return false;
        }
        let length = (FIRST_EJECTION_MS << self.ejections.min(8)).min(LONGEST_EJECTION_MS);
        self.ejected_until_ms = now_ms + length;
        self.ejections += 1;
        true
    }

    /// Returns whether no task may be sent: while ejected, or on probation with one under way.
    pub(crate) fn is_closed(&self, now_ms: u64, under_way: usize) -> bool {
        now_ms < self.ejected_until_ms || (self.ejections > 0 && under_way > 0)
    }

    /// Returns whether the upstream has not shown a success since it was ejected.
    pub(crate) fn is_suspect(&self) -> bool {
        self.ejections > 0
    }
}
