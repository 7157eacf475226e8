//! When capacity is expected to become free at an agent.

use types::Resources;

use crate::dispatcher::{AgentKey, Dispatcher, OutstandingAttempt};

/// Share of its time so far for which a task that is overdue is expected to run on: the error of
/// the next estimate stays in proportion to that of the last one.
const OVERDUE_SHARE_PERCENT: u64 = 25;
/// Minimum time for which an overdue task is expected to run on, milliseconds.
const MIN_OVERDUE_MS: u64 = 5;
/// Factor of the mean run time in which the tasks of other entries are expected to free their
/// capacity evenly: other entries use again about half of what becomes free.
const OTHER_ENTRIES_FACTOR: f64 = 2.0;
/// Weight of one observation of the mean run time.
const MEAN_RUN_WEIGHT: f64 = 0.05;

types::plain! {
    /// When a task is expected to end.
    #[derive(Copy, Eq)]
    pub(crate) struct ExpectedEnd {
        started_ms: u64,
        end_ms: u64,
    }

    /// Mean expected run time of the tasks that this entry has started, milliseconds.
    #[derive(Copy, Default)]
    pub(crate) struct MeanRun {
        mean_ms: Option<f64>,
    }
}

impl ExpectedEnd {
    pub(crate) fn new(now_ms: u64, run_ms: f64) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let run_ms = run_ms.ceil() as u64;
        Self { started_ms: now_ms, end_ms: now_ms.saturating_add(run_ms) }
    }

    /// Returns the time estimated at the start.
    pub(crate) fn at_ms(self) -> u64 {
        self.end_ms
    }

    /// Returns the time as it is estimated now; the task has not ended.
    pub(crate) fn seen_at(self, now_ms: u64) -> u64 {
        let so_far_ms = now_ms.saturating_sub(self.started_ms);
        let more_ms = (so_far_ms * OVERDUE_SHARE_PERCENT / 100).max(MIN_OVERDUE_MS);
        if now_ms < self.end_ms { self.end_ms } else { now_ms + more_ms }
    }
}

impl MeanRun {
    pub(crate) fn observe(&mut self, run_ms: f64) {
        let mean_ms = self.mean_ms.unwrap_or(run_ms);
        self.mean_ms = Some(mean_ms + MEAN_RUN_WEIGHT * (run_ms - mean_ms));
    }

    /// Returns the time in which the tasks of other entries free their capacity, milliseconds.
    fn others_free_ms(self) -> f64 {
        self.mean_ms.unwrap_or(0.0).max(1.0) * OTHER_ENTRIES_FACTOR
    }
}

impl Dispatcher {
    fn attempts_at(&self, key: AgentKey) -> impl Iterator<Item = &OutstandingAttempt> {
        let ids = self.agents[key.0 as usize].attempts.iter();
        ids.filter_map(|id| self.attempts.get(id))
    }

    /// Returns the capacity that tasks of other entries use at an agent.
    fn used_by_others(&self, key: AgentKey) -> Resources {
        let view = &self.agents[key.0 as usize];
        let capacity = view.upstream.as_ref().map_or(Resources::default(), |up| up.capacity);
        let own = self
            .attempts_at(key)
            .fold(Resources::default(), |sum, attempt| sum.saturating_add(attempt.need));
        capacity.saturating_sub(view.free()).saturating_sub(own)
    }

    /// Returns the capacity that is expected to be free at an agent at a time.
    pub(crate) fn expected_free(&self, key: AgentKey, at_ms: u64, now_ms: u64) -> Resources {
        let ended = self
            .attempts_at(key)
            .filter(|attempt| attempt.expected_end.seen_at(now_ms) <= at_ms)
            .fold(Resources::default(), |sum, attempt| sum.saturating_add(attempt.need));
        let wait_ms = millis(at_ms.saturating_sub(now_ms));
        let share = (wait_ms / self.lookahead.mean_run.others_free_ms()).min(1.0);
        let others = scaled(self.used_by_others(key), share);
        self.agents[key.0 as usize].free().saturating_add(ended).saturating_add(others)
    }

    /// Returns when a capacity is expected to be free at an agent; `None` if the agent has less.
    /// `ends` is working space.
    pub(crate) fn expected_fit_ms(
        &self,
        key: AgentKey,
        need: Resources,
        now_ms: u64,
        ends: &mut Vec<(u64, Resources)>,
    ) -> Option<u64> {
        let view = &self.agents[key.0 as usize];
        let is_large_enough = view.upstream.as_ref().is_some_and(|up| need.fits_in(up.capacity));
        if !is_large_enough {
            return None;
        }
        ends.clear();
        let attempts = self.attempts_at(key);
        ends.extend(attempts.map(|it| (it.expected_end.seen_at(now_ms), it.need)));
        ends.sort_unstable_by_key(|(end_ms, _)| *end_ms);
        let others = self.used_by_others(key);
        let others_free_ms = self.lookahead.mean_run.others_free_ms();
        let mut free = view.free();
        let mut from_ms = now_ms;
        let mut best = None;
        for next in ends.iter().map(Some).chain([None]) {
            let missing = need.saturating_sub(free);
            if let Some(share) = share_of(missing, others) {
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let wait_ms = (share * others_free_ms).ceil() as u64;
                let fit_ms = from_ms.max(now_ms + wait_ms);
                best = Some(best.map_or(fit_ms, |best: u64| best.min(fit_ms)));
            }
            if missing == Resources::default() {
                break;
            }
            let Some((end_ms, need)) = next else { break };
            free = free.saturating_add(*need);
            from_ms = *end_ms;
        }
        best
    }
}

fn millis(time_ms: u64) -> f64 {
    f64::from(u32::try_from(time_ms).unwrap_or(u32::MAX))
}

fn scaled(resources: Resources, share: f64) -> Resources {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let scale = |amount: u32| (f64::from(amount) * share).round() as u32;
    Resources {
        milli_cores: scale(resources.milli_cores),
        memory_mb: scale(resources.memory_mb),
        accelerators: scale(resources.accelerators),
    }
}

/// Returns the share of `whole` that contains `part` in every dimension; `None` if `part` is larger.
fn share_of(part: Resources, whole: Resources) -> Option<f64> {
    let share = |part: u32, whole: u32| {
        if part == 0 { 0.0 } else { f64::from(part) / f64::from(whole.max(1)) }
    };
    let largest = share(part.milli_cores, whole.milli_cores)
        .max(share(part.memory_mb, whole.memory_mb))
        .max(share(part.accelerators, whole.accelerators));
    part.fits_in(whole).then_some(largest)
}
