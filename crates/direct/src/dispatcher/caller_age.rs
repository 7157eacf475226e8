//! How long callers have waited before they submit a job.
//!
//! Load pattern: after an outage, all callers whose requests got no answer submit them again within
//! about a second, beside the usual load. Their objectives have passed, but first come, first
//! served would let them delay fresh requests beyond theirs. A caller's timeout tells the
//! difference: it is the time that is left of its patience, so a caller that states a much shorter
//! one than the callers of its queue usually do has used up the rest.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::DirectJob;

/// Share of the usual timeout below which a shorter one counts as used up in part.
const FRESH_SHARE: f64 = 0.9;
/// Steps, as shares of the queue's timeout, by which the usual timeout follows longer and shorter
/// ones. The ratio makes it follow the upper quarter, so that a wave of resubmissions does not pass
/// for usual.
const STEP_UP: f64 = 0.03;
const STEP_DOWN: f64 = 0.01;

types::plain! {
    /// Usual timeouts of the callers of each kind of job, milliseconds, at most that of the queue.
    #[derive(Default)]
    pub(crate) struct CallerAges {
        usual_ms: IndexMap<Arc<str>, f64>,
    }
}

impl CallerAges {
    /// Returns how long the caller of a job has probably waited before this submission,
    /// milliseconds.
    pub(crate) fn observe(&mut self, job: &DirectJob) -> u64 {
        // Without a timeout of the queue, nothing tells how long its callers usually wait.
        if job.queue_timeout_ms == u64::MAX {
            return 0;
        }
        let (stated_ms, queue_ms) = (ms(job.caller_timeout_ms), ms(job.queue_timeout_ms));
        let usual_ms = self.usual_ms.entry(Arc::clone(&job.kind)).or_insert(queue_ms);
        *usual_ms = usual_ms.min(queue_ms);
        let is_fresh = stated_ms >= *usual_ms * FRESH_SHARE;
        let age_ms = if is_fresh { 0.0 } else { *usual_ms - stated_ms };
        *usual_ms = if stated_ms >= *usual_ms {
            (*usual_ms + STEP_UP * queue_ms).min(queue_ms)
        } else {
            (*usual_ms - STEP_DOWN * queue_ms).max(stated_ms)
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let age_ms = age_ms as u64;
        age_ms
    }
}

#[allow(clippy::cast_precision_loss)]
fn ms(value: u64) -> f64 {
    value as f64
}
