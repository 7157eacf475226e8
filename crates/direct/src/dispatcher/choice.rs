//! Choice of an upstream for one task.

use types::Resources;

use crate::{
    JobStep,
    dispatcher::{AgentKey, Dispatcher, agent_view::AgentView, job_state::JobState},
};

/// Run times vary around what is expected; an upstream with less reserve than this is used only
/// when there is no other.
const RESERVE: f64 = 1.6;

types::plain! {
    /// What the choice is made on.
    #[derive(Copy)]
    pub(crate) struct Want {
        pub(crate) need: Resources,
        /// Expected run time at speed 1, milliseconds.
        pub(crate) expected_ms: f64,
        /// Time until the objective, milliseconds.
        pub(crate) left_ms: f64,
        pub(crate) now_ms: u64,
        /// Longest expected run time that is worth starting, milliseconds.
        pub(crate) longest_ms: f64,
    }
}

impl Dispatcher {
    pub(crate) fn want(&self, state: &JobState, step: &JobStep, now_ms: u64) -> Want {
        #[allow(clippy::cast_precision_loss)]
        let left_ms = state.objective_at_ms.saturating_sub(now_ms) as f64;
        Want {
            need: step.need,
            expected_ms: f64::from(step.estimate_ms) * self.kind_ratio(&state.job.kind),
            left_ms,
            now_ms,
            longest_ms: if state.may_have_run() { f64::INFINITY } else { left_ms },
        }
    }

    /// Returns what a choice is made on once the objective is out of reach: an answer is worth
    /// something until it is late by twice the objective.
    pub(crate) fn want_late(&self, state: &JobState, step: &JobStep, now_ms: u64) -> Want {
        let objective_ms = state.objective_at_ms - state.arrived_ms;
        let end_ms = (state.objective_at_ms + 2 * objective_ms).min(state.deadline_ms);
        #[allow(clippy::cast_precision_loss)]
        let longest_ms = end_ms.saturating_sub(now_ms) as f64;
        Want { longest_ms, ..self.want(state, step, now_ms) }
    }

    /// Returns the best agent with room for one task of the step, if any.
    pub(crate) fn choose(
        &self,
        state: &JobState,
        step_index: u16,
        task: u32,
        want: &Want,
        taken: &[(AgentKey, u32)],
    ) -> Option<AgentKey> {
        let step = &state.job.steps[usize::from(step_index)];
        let avoided = self.avoided(state, step_index, task, want.now_ms);
        let mut best: Option<(f64, AgentKey)> = None;
        for (key, view) in self.agents_of(&state.job.pool) {
            let used = taken.iter().find(|(agent, _)| *agent == key).map_or(0, |(_, n)| *n);
            let Some(upstream) = &view.upstream else { continue };
            if !view.is_open(want.now_ms, self.timing.silence_ms)
                || view.health.is_closed(want.now_ms, view.attempts.len() + used as usize)
                || !want.need.fits_in(remaining(view.free(), want.need, used))
                || step.label.as_ref().is_some_and(|label| !upstream.labels.contains(label))
                || step
                    .max_per_upstream
                    .is_some_and(|most| used + self.running_at(key, state, step_index) >= most)
                || want.expected_ms / view.speed.value() > want.longest_ms
                || avoided.contains(&key)
            {
                continue;
            }
            let is_near = *upstream.zone == *self.zone;
            let is_on_rack = step.rack.as_ref().is_none_or(|rack| upstream.labels.contains(rack));
            let cost = cost(view.speed.value(), is_near, is_on_rack, used > 0, want);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the agents that a task is not sent to again: those on which it failed, unless no
    /// other one takes tasks.
    fn avoided<'a>(
        &self,
        state: &'a JobState,
        step: u16,
        task: u32,
        now_ms: u64,
    ) -> &'a [AgentKey] {
        let Some(history) = state.histories.get(&(step, task)) else { return &[] };
        let is_other = |(key, view): (AgentKey, &AgentView)| {
            view.is_open(now_ms, self.timing.silence_ms) && !history.avoided.contains(&key)
        };
        if self.agents_of(&state.job.pool).any(is_other) { &history.avoided } else { &[] }
    }
}

fn remaining(free: Resources, need: Resources, used: u32) -> Resources {
    (0..used).fold(free, |free, _| free.saturating_sub(need))
}

/// Lower is better.
fn cost(speed: f64, is_near: bool, is_on_rack: bool, is_shared: bool, want: &Want) -> f64 {
    /// Cost of leaving the zone, as a share of the time until the objective.
    const FAR: f64 = 0.5;
    /// Gain of joining tasks of the same job.
    const SHARED: f64 = 0.25;
    /// Cost of another rack than the data's.
    const OFF_RACK: f64 = 0.5;
    /// Cost of a likely miss of the objective: more than all others together.
    const RISKED: f64 = 100.0;
    let left = want.left_ms.max(1.0);
    let run = want.expected_ms / speed;
    let risk = if run * RESERVE > left { RISKED } else { 0.0 };
    let far = if is_near { 0.0 } else { FAR };
    let shared = if is_shared { SHARED } else { 0.0 };
    let off_rack = if is_on_rack { 0.0 } else { OFF_RACK };
    run / left + risk + far - shared + off_rack
}
