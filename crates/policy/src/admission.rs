use indexmap::IndexMap;
use types::{TeamName, Urgency};

use crate::{
    AdmissionBuilder, AdmissionError, DrainRate, Estimate, JobDemand, TeamBacklog,
    fluid_model::{Competitor, FluidModel},
    team_load::TeamLoad,
};

const US_PER_MS: f64 = 1_000.0;
/// Usage in slots up to which a team without queued tasks is left out of the model.
const MIN_USAGE_SLOTS: f64 = 1e-4;
const MAX_JITTER_FRACTION: f64 = 0.5;
const MIN_TEAM_SLOTS: f64 = 0.01;

/// Decides whether a job can meet its deadline, before any of its tasks starts.
///
/// The wait is predicted as if the slots were a fluid that teams share by weight: a team
/// that floods the pool delays its own jobs, and other teams by its share at most.  The
/// cost of a decision depends on the number of teams, not on the number of queued tasks.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionBuilder,
    drain: DrainRate,
    teams: IndexMap<TeamName, TeamLoad>,
}

impl Admission {
    pub(crate) fn with_settings(settings: AdmissionBuilder) -> Self {
        Self { settings, drain: DrainRate::default(), teams: IndexMap::new() }
    }

    /// Sets whether work waits for slots from now on; see [`DrainRate::set_backlogged`].
    pub fn set_backlogged(&mut self, is_backlogged: bool, now_us: u64) {
        self.drain.set_backlogged(is_backlogged, now_us);
    }

    /// Counts a finished task of a team; `slot_us` is its slot time at speed 1 in
    /// microseconds.
    pub fn on_finished(&mut self, team: &TeamName, slot_us: u64, now_us: u64) {
        self.drain.on_finished(slot_us, now_us);
        self.team_load_mut(team).usage.add(slot_us as f64, now_us);
    }

    /// Returns the measured drain rate in slots of speed 1; see [`DrainRate::slots`].
    pub fn drain_slots(&self, expected_slots: f64, now_us: u64) -> f64 {
        self.drain.slots(expected_slots, now_us)
    }

    /// Decides whether a job is admitted, and returns its predicted timing if it is.
    ///
    /// `backlogs` lists the queued work of each team, and `expected_slots` is the present
    /// capacity in slots of speed 1.  `random` is any number; it spreads the advised retry
    /// times.
    ///
    /// # Errors
    ///
    /// Fails if the job cannot meet its deadline, under the present load or even on an idle
    /// pool, or if its predicted wait is too long.  No task of the job may then be started.
    pub fn check<'a>(
        &mut self,
        job: &JobDemand,
        backlogs: impl Iterator<Item = TeamBacklog<'a>>,
        expected_slots: f64,
        now_us: u64,
        random: u64,
    ) -> Result<Estimate, AdmissionError> {
        let budget_us = job.deadline_us.saturating_sub(now_us) as f64;
        let slots = self.drain.slots(expected_slots, now_us);
        let idle_us = idle_time_us(job, expected_slots.max(slots));
        if idle_us > budget_us {
            return Err(AdmissionError::DeadlineTooShort { needed_ms: ceil_ms(idle_us) });
        }
        self.team_load_mut(&job.team).weight = job.weight.max(1);
        let (model, ahead_us) = self.model(job, backlogs, slots, now_us);
        let wait_us = self.wait_us(job, &model, ahead_us);
        let finish_us = wait_us + job.longest_task_us as f64;
        let excess_us = (finish_us - budget_us).max(wait_us - self.settings.max_wait_us as f64);
        if excess_us <= 0.0 {
            return Ok(Estimate { wait_us: wait_us as u64, finish_us: finish_us as u64 });
        }
        let service_us = ahead_us + job.total_cost_us as f64;
        let team_slots = (service_us / wait_us.max(1.0)).clamp(MIN_TEAM_SLOTS, slots);
        let refused_wait_us =
            self.team_load_mut(&job.team).add_refusal(job.total_cost_us, team_slots, now_us);
        Err(AdmissionError::Overloaded {
            retry_after_ms: self.retry_delay_ms(excess_us + refused_wait_us, random),
        })
    }

    /// Returns the model of the pool at the job's arrival, and the slot time of its own team
    /// that is served ahead of it.
    fn model<'a>(
        &self,
        job: &JobDemand,
        backlogs: impl Iterator<Item = TeamBacklog<'a>>,
        slots: f64,
        now_us: u64,
    ) -> (FluidModel, f64) {
        let mut ahead_us = 0.0;
        let mut waiting_us = vec![0.0; self.teams.len()];
        let mut competitors = Vec::with_capacity(self.teams.len());
        for backlog in backlogs {
            match self.teams.get_index_of(backlog.team) {
                _ if *backlog.team == job.team => ahead_us = self.ahead_us(job, &backlog),
                Some(index) => waiting_us[index] = backlog.total_us() as f64,
                None => competitors.push(Competitor {
                    weight: backlog.weight.into(),
                    backlog_us: backlog.total_us() as f64,
                    arrival_rate: 0.0,
                }),
            }
        }
        let known = self.teams.iter().zip(waiting_us).filter(|((team, _), _)| **team != job.team);
        let known = known.map(|((_, load), backlog_us)| Competitor {
            weight: load.weight.into(),
            backlog_us,
            arrival_rate: load.usage.rate(now_us),
        });
        competitors.extend(
            known.filter(|team| team.backlog_us > 0.0 || team.arrival_rate > MIN_USAGE_SLOTS),
        );
        (FluidModel { slots, competitors }, ahead_us)
    }

    /// Returns the slot time that the other work of the job's team is given before the
    /// job's last task ends.  The job's class is served by priority while the less urgent
    /// classes receive their floors, or by its own floor alone if that is faster.
    fn ahead_us(&self, job: &JobDemand, backlog: &TeamBacklog<'_>) -> f64 {
        let class = job.urgency.index();
        let queued_us: u64 = backlog.by_class_us[..=class].iter().sum();
        let in_class_us = (backlog.by_class_us[class] + job.total_cost_us) as f64;
        let by_priority_us = (queued_us + job.total_cost_us) as f64;
        let lower = Urgency::ALL.into_iter().filter(|lower| lower.index() > class);
        let lower = lower.filter(|lower| backlog.by_class_us[lower.index()] > 0);
        let lower_floor_sum: f64 = lower.clone().map(|lower| self.floor_fraction(lower)).sum();
        let with_floors_us = by_priority_us / (1.0 - lower_floor_sum);
        let floors_us: f64 = lower
            .map(|lower| self.floor_fraction(lower) * with_floors_us)
            .zip(backlog.by_class_us[class + 1..].iter().filter(|&&waiting_us| waiting_us > 0))
            .map(|(floor_us, &waiting_us)| floor_us.min(waiting_us as f64))
            .sum();
        let by_floor_us = in_class_us / self.floor_fraction(job.urgency);
        (by_priority_us + floors_us).min(by_floor_us) - job.total_cost_us as f64
    }

    /// Returns the predicted time until the job's last task starts, with the safety margin.
    fn wait_us(&self, job: &JobDemand, model: &FluidModel, ahead_us: f64) -> f64 {
        let before_last_us =
            ahead_us + job.total_cost_us.saturating_sub(job.longest_task_us) as f64;
        let by_share_us = model.time_us(before_last_us, job.weight.max(1).into());
        let by_quota_us = job.quota_slots.map_or(0.0, |slots| before_last_us / f64::from(slots));
        let margin = 1.0 + f64::from(self.settings.margin_percent) / 100.0;
        by_share_us.max(by_quota_us) * margin
    }

    /// Returns the advised delay of a retry, within its limits and with jitter added.
    fn retry_delay_ms(&self, delay_us: f64, random: u64) -> u64 {
        let jitter = random as f64 / u64::MAX as f64 * MAX_JITTER_FRACTION;
        let AdmissionBuilder { min_retry_ms, max_retry_ms, .. } = self.settings;
        let delay_ms = ceil_ms(delay_us).clamp(min_retry_ms, max_retry_ms);
        delay_ms + (delay_ms as f64 * jitter) as u64
    }

    fn floor_fraction(&self, urgency: Urgency) -> f64 {
        f64::from(self.settings.floors.percent(urgency)) / 100.0
    }

    fn team_load_mut(&mut self, team: &TeamName) -> &mut TeamLoad {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), TeamLoad::default());
        }
        &mut self.teams[team]
    }
}

/// Returns the time that the job takes on an otherwise idle pool.
fn idle_time_us(job: &JobDemand, slots: f64) -> f64 {
    let slots = job.quota_slots.map_or(slots, |quota| slots.min(quota.into()));
    let spread_us = job.total_cost_us as f64 / slots;
    spread_us.max(job.longest_task_us as f64)
}

fn ceil_ms(us: f64) -> u64 {
    (us / US_PER_MS).ceil() as u64
}
