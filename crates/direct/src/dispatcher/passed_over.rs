//! Why an agent does not get a task.

use crate::dispatcher::{
    AgentKey, Dispatcher,
    agent_choice::{Placing, TaskRequirements},
    agent_view::AgentView,
    refusals::Refusals,
};

types::plain! {
    /// Why an agent is passed over for a task.
    #[derive(Copy, Eq)]
    pub enum PassedOver {
        /// The agent is not connected, does not accept tasks, or its upstream is not ready.
        Closed,
        /// The zone of the upstream is evacuated.
        Evacuated,
        /// The agent has not sent a message in time.
        Silent,
        /// The link to the agent is on standby, or its activation is not confirmed yet.
        Standby,
        /// The upstream lacks the label that the task requires.
        NoLabel,
        /// The task would probably take too long on this upstream.
        TooSlow,
        /// The task has failed there before.
        Avoided,
        /// The agent has refused the task a moment ago.
        Refused,
        /// Jobs of this kind crash upstreams and are confined to others.
        Confined,
        /// The upstream runs another job that is suspected of crashing upstreams.
        SuspectCompany,
        /// The upstream is ejected or on probation.
        Ejected,
        /// The free capacity is too small.
        NoRoom,
        /// The upstream runs the maximum number of tasks of the step.
        StepLimit,
        /// Other entries compete for the last slots, and this entry does not try now.
        Contested,
        /// The capacity is reserved for a task of a more urgent or earlier job.
        Reserved,
        /// The last free capacity of the pool is kept for more urgent jobs.
        KeptForUrgent,
        /// Other agents cost less, for example because they are faster or nearer.
        Costlier,
        /// The task would probably miss the objective there and waits for agents on standby first.
        AwaitsStandby,
    }
}

types::plain! {
    /// What one task must or must not do because of its earlier attempts.
    #[derive(Copy, Default)]
    pub(crate) struct TaskLimits<'a> {
        /// Agents to which it is not sent again.
        pub(crate) avoided: &'a [AgentKey],
        /// Refusals by agents, after which it waits before it is sent there again.
        pub(crate) refusals: &'a [Refusals],
    }
}

impl PassedOver {
    /// Returns whether the reason also holds for a task that is later in the queue and needs as much
    /// for as long.
    pub(crate) fn holds_for_larger(self) -> bool {
        match self {
            Self::Closed
            | Self::Evacuated
            | Self::Silent
            | Self::Standby
            | Self::Ejected
            | Self::NoRoom
            | Self::Contested
            | Self::Reserved
            | Self::KeptForUrgent => true,
            Self::NoLabel
            | Self::TooSlow
            | Self::Avoided
            | Self::Refused
            | Self::Confined
            | Self::SuspectCompany
            | Self::StepLimit
            | Self::Costlier
            | Self::AwaitsStandby => false,
        }
    }

    /// Returns the name of the reason in messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Evacuated => "evacuated",
            Self::Silent => "silent",
            Self::Standby => "standby",
            Self::NoLabel => "no_label",
            Self::TooSlow => "too_slow",
            Self::Avoided => "avoided",
            Self::Refused => "refused",
            Self::Confined => "confined",
            Self::SuspectCompany => "suspect_company",
            Self::Ejected => "ejected",
            Self::NoRoom => "no_room",
            Self::StepLimit => "step_limit",
            Self::Contested => "contested",
            Self::Reserved => "reserved",
            Self::KeptForUrgent => "kept_for_urgent",
            Self::Costlier => "costlier",
            Self::AwaitsStandby => "awaits_standby",
        }
    }
}

impl Dispatcher {
    /// Returns why an agent of the pool gets no task now; `None` if it may get one. `planned_here` and `planned` are the numbers
    /// of the step's tasks that are already planned for this agent and for all agents.
    pub(crate) fn passed_over(
        &self,
        placing: &Placing,
        key: AgentKey,
        view: &AgentView,
        limits: TaskLimits,
        (planned_here, planned): (u32, u32),
    ) -> Option<PassedOver> {
        self.unsuitable(placing, key, view, limits)
            .or_else(|| self.lacks_room(placing, key, view, planned_here))
            .or_else(|| self.held_back(placing, key, (planned_here, planned)))
    }

    /// Returns whether an agent lacks the capacity for a task, so that this also holds for a task
    /// that is later in the queue and needs as much for as long.
    pub(crate) fn is_taken(
        &self,
        placing: &Placing,
        key: AgentKey,
        view: &AgentView,
        (planned_here, planned): (u32, u32),
    ) -> bool {
        self.lacks_room(placing, key, view, planned_here)
            .or_else(|| self.held_back(placing, key, (planned_here, planned)))
            .is_some_and(PassedOver::holds_for_larger)
    }

    /// Returns why an agent of the pool gets no task whatever capacity is free there.
    pub(crate) fn unsuitable(
        &self,
        placing: &Placing,
        key: AgentKey,
        view: &AgentView,
        limits: TaskLimits,
    ) -> Option<PassedOver> {
        let Placing { state, step, requirements, .. } = *placing;
        let TaskRequirements { now_ms, expected_ms, max_expected_ms, .. } = requirements;
        if let Some(reason) = view.not_open(now_ms, self.timing.silence_ms) {
            return Some(reason);
        }
        let labels = view.upstream.as_ref().map_or(&[][..], |upstream| &upstream.labels);
        if step.label.as_ref().is_some_and(|label| !labels.contains(label)) {
            Some(PassedOver::NoLabel)
        } else if expected_ms / view.speed.value() > max_expected_ms {
            Some(PassedOver::TooSlow)
        } else if limits.avoided.contains(&key) {
            Some(PassedOver::Avoided)
        } else if Refusals::delays(limits.refusals, key, view, requirements.refusal_wait, now_ms) {
            Some(PassedOver::Refused)
        } else if placing.is_confined && !self.containment.is_member(&state.job.kind, key) {
            Some(PassedOver::Confined)
        } else if placing.is_suspect && self.has_other_suspect(view, state) {
            Some(PassedOver::SuspectCompany)
        } else {
            None
        }
    }

    /// Returns why an agent that is suitable gets no task now because of what it runs.
    fn lacks_room(
        &self,
        placing: &Placing,
        key: AgentKey,
        view: &AgentView,
        planned_here: u32,
    ) -> Option<PassedOver> {
        let TaskRequirements { need, now_ms, .. } = placing.requirements;
        if view.health.rejects_tasks(now_ms, view.attempts.len() + planned_here as usize) {
            Some(PassedOver::Ejected)
        } else if !need.fits_in(view.free().less(need, planned_here)) {
            Some(PassedOver::NoRoom)
        } else if placing.step.max_per_upstream.is_some_and(|most| {
            planned_here + self.outstanding_at(key, placing.state, placing.step_index) >= most
        }) {
            Some(PassedOver::StepLimit)
        } else if self.is_contest(key, need) && !self.contention.may_try(view.rank, now_ms) {
            Some(PassedOver::Contested)
        } else {
            None
        }
    }
}
