//! Learned run times of the kinds of jobs, and probes that correct them.
//!
//! Load pattern: a kind's learned run time is wrong, for example because its tasks were slowed down
//! for some seconds. It rules the kind's jobs out everywhere, none runs, and so nothing corrects
//! it. While capacity is spare, one job of the kind at a time starts nevertheless.

use std::sync::Arc;

use crate::{
    DirectJob, JobStep,
    dispatcher::{
        Dispatcher, DispatcherEffect, JobKey, OutstandingAttempt,
        agent_choice::TaskRequirements,
        job_state::JobState,
        speed::{KindRatio, UnestimatedRunTime, is_out_of_bound},
    },
};

/// Minimum time between the starts of two probes of a kind, milliseconds: where the learned run
/// time is right, a probe probably ends too late.
const PROBE_INTERVAL_MS: u64 = 1_000;

types::plain! {
    /// A job that has started although the learned run time of its kind rules it out.
    #[derive(Copy)]
    struct Probe {
        job: JobKey,
        started_ms: u64,
    }

    /// Learned run times of one kind of job.
    #[derive(Copy, Default)]
    pub(crate) struct KindRunTimes {
        ratio: KindRatio,
        unestimated: UnestimatedRunTime,
        probe: Option<Probe>,
    }
}

impl Dispatcher {
    /// Gives the steps without an estimate the run time that was learned for such tasks of the
    /// kind, and returns which steps have an estimate of their own.
    pub(crate) fn complete_estimates(&self, job: &mut DirectJob, now_ms: u64) -> Vec<bool> {
        let learned_ms =
            self.kinds.get(&job.kind).map_or(0, |kind| kind.unestimated.value_ms(now_ms));
        let complete = |step: &mut JobStep| {
            let has_estimate = step.estimate_ms > 0;
            if !has_estimate {
                step.estimate_ms = learned_ms;
            }
            has_estimate
        };
        job.steps.iter_mut().map(complete).collect()
    }

    /// Returns the learned ratio of actual to declared run time of a kind of job.
    pub(crate) fn kind_ratio(&self, kind: &str, now_ms: u64) -> f64 {
        self.kinds.get(kind).map_or(1.0, |kind| kind.ratio.value(now_ms))
    }

    /// Updates the learned speed of the upstream and the learned run times of the job's kind.
    pub(super) fn learn_run_time(
        &mut self,
        attempt: &OutstandingAttempt,
        run_ms: u32,
        now_ms: u64,
    ) {
        let Some(state) = self.jobs.get(&attempt.job) else { return };
        let step = &state.job.steps[usize::from(attempt.step)];
        let milli_cores = f64::from(step.need.milli_cores);
        let actual = f64::from(run_ms.max(1));
        let view = &mut self.agents[attempt.agent.0 as usize];
        // How long a task runs on a cold upstream says nothing of its later runs.
        let is_cold = attempt.is_cold || view.is_cold();
        let kind = self.kinds.entry(Arc::clone(&state.job.kind)).or_default();
        if !state.steps[usize::from(attempt.step)].has_estimate {
            // Such tasks may differ in run time by orders of magnitude, so they say nothing about
            // the speed of an upstream.
            self.returns.record(milli_cores * actual, now_ms);
            if is_cold {
                return;
            }
            kind.unestimated.observe(actual * view.speed.value(), now_ms);
            return;
        }
        let declared = f64::from(step.estimate_ms);
        self.returns.record(milli_cores * declared, now_ms);
        if is_cold {
            return;
        }
        let log_speed = (declared * kind.ratio.value(now_ms) / actual).ln();
        let log_ratio = (actual * view.speed.value() / declared).ln();
        let is_probe = kind.probe.is_some_and(|probe| probe.job == attempt.job);
        match (is_probe, kind.ratio.is_unreliable()) {
            (true, true) => kind.ratio.observe_probe(log_ratio, now_ms),
            (true, false) => {
                kind.ratio.observe(log_ratio, now_ms);
                view.speed.observe_probe(log_speed);
            }
            (false, is_unreliable) => {
                kind.ratio.observe(log_ratio, now_ms);
                if !(is_unreliable && is_out_of_bound(log_ratio)) {
                    view.speed.observe(log_speed);
                }
            }
        }
    }

    /// Starts a job as a probe: the learned run time of its kind rules it out on every upstream of
    /// its pool, its estimate alone does not, capacity is spare, and no other job of the kind is a
    /// probe. Returns whether it sent tasks.
    pub(crate) fn place_probe(
        &mut self,
        key: JobKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) -> bool {
        let Some(state) = self.jobs.get(&key) else { return false };
        let Some(step) = state.eligible_steps().next() else { return false };
        if state.may_have_run()
            || !self.may_probe(&state.job.kind, now_ms)
            || !self.is_ruled_out_by_learning(state, step, now_ms)
            || !self.has_spare_capacity(now_ms)
        {
            return false;
        }
        let requirements = TaskRequirements {
            max_expected_ms: f64::INFINITY,
            ..self.requirements(state, step, now_ms)
        };
        let kind = Arc::clone(&state.job.kind);
        if !self.place_whole_step(key, step, &requirements, effects) {
            return false;
        }
        self.kinds.entry(kind).or_default().probe = Some(Probe { job: key, started_ms: now_ms });
        true
    }

    fn may_probe(&self, kind: &str, now_ms: u64) -> bool {
        let probe = self.kinds.get(kind).and_then(|kind| kind.probe);
        probe.is_none_or(|probe| {
            !self.jobs.contains_key(&probe.job) && now_ms >= probe.started_ms + PROBE_INTERVAL_MS
        })
    }

    /// Returns whether the learned run time and speeds rule the tasks of a step out on every
    /// upstream of the pool, even for a late start, although the estimate alone does not.
    fn is_ruled_out_by_learning(&self, state: &JobState, step: u16, now_ms: u64) -> bool {
        let requirements = self.late_requirements(state, step, now_ms);
        let step_state = &state.steps[usize::from(step)];
        let declared_ms = if step_state.has_estimate {
            f64::from(state.job.steps[usize::from(step)].estimate_ms)
        } else {
            0.0
        };
        let silence_ms = self.timing.silence_ms;
        let mut available = self
            .agents_of(&state.job.pool)
            .filter(|(_, view)| view.is_open(now_ms, silence_ms) || view.is_standby());
        declared_ms <= requirements.max_expected_ms
            && available.all(|(_, view)| {
                requirements.expected_ms / view.speed.value() > requirements.max_expected_ms
            })
    }
}
