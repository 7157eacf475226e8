//! Explains, without a change of state, where a job would be placed.

use std::sync::Arc;

use types::Resources;

use crate::{
    DirectJob, JobOutcome, JobStep,
    dispatcher::{
        Admission, AgentKey, Dispatcher, JobKey,
        admission::state_of,
        passed_over::{PassedOver, TaskLimits},
        placement::StepPlan,
    },
};

types::plain! {
    /// A job of one step whose placement is explained.
    pub struct PlacementQuestion {
        /// Pool whose upstreams may run the job.
        pub pool: Arc<str>,
        /// Kind of job, which is the name of its queue.
        pub kind: Arc<str>,
        /// Resources that each task needs.
        pub need: Resources,
        /// Number of tasks.
        pub tasks: u32,
        /// Expected run time of a task at speed 1, milliseconds.
        pub expected_ms: u32,
        /// Time until the objective of the job, milliseconds.
        pub objective_ms: u64,
        /// Urgency; 0 is the most urgent.
        pub priority: u8,
    }

    /// Where the tasks of a job would be placed now.
    pub struct PlacementAnswer {
        /// Outcome with which the job would be answered at once; `None` if it would be accepted.
        pub refusal: Option<JobOutcome>,
        /// Number of tasks for which there is an agent now.
        pub placed: u32,
        /// Number of tasks that would wait.
        pub waiting: u32,
        /// The agents of the pool.
        pub agents: Vec<AgentPlacement>,
    }

    /// What a job would get at one agent.
    pub struct AgentPlacement {
        /// Name of the agent.
        pub agent: Arc<str>,
        /// Number of tasks that would start there now.
        pub tasks: u32,
        /// Why it would get none, or no more; `None` if no task is left.
        pub passed_over: Option<PassedOver>,
        /// Free capacity by its last report, less the attempts sent since.
        pub free: Resources,
        /// Learned speed of its upstream; 1 is the mean.
        pub speed: f64,
        /// Age of its last report, milliseconds.
        pub report_age_ms: u64,
    }
}

impl PlacementQuestion {
    fn job(&self) -> DirectJob {
        let step = JobStep {
            tasks: self.tasks,
            need: self.need,
            estimate_ms: self.expected_ms,
            after: Vec::new(),
            label: None,
            rack: None,
            max_per_upstream: None,
        };
        DirectJob {
            id: Arc::from(""),
            pool: Arc::clone(&self.pool),
            kind: Arc::clone(&self.kind),
            payload: Arc::from(""),
            steps: vec![step],
            priority: self.priority,
            max_attempts: 1,
            stretch: 0.0,
            allowance_ms: self.objective_ms,
            caller_timeout_ms: self.objective_ms,
            queue_timeout_ms: self.objective_ms,
        }
    }
}

impl Dispatcher {
    /// Returns where the tasks of a job would be placed if it were submitted now, and why each
    /// other agent would be passed over. Changes nothing.
    pub fn explain_placement(&self, question: &PlacementQuestion, now_ms: u64) -> PlacementAnswer {
        let mut job = question.job();
        let have_estimates = self.complete_estimates(&mut job, now_ms);
        let refusal = match self.admission {
            Admission::Closed(reason) => Some(self.refusal(reason)),
            Admission::Open => self.unplaceable_outcome(&job, now_ms),
        };
        let key = JobKey(self.next_job);
        let state = state_of(job, key, now_ms, 0, &have_estimates);
        let requirements = self.requirements(&state, 0, now_ms);
        let plan = self.plan_step(key, &state, 0, &requirements);
        let mut placing = self.placing(key, &state, 0, &requirements);
        placing.usable_milli_cores = self.usable_milli_cores(&state, &requirements);
        let waiting = u32::try_from(plan.unplaced.len()).unwrap_or(u32::MAX);
        let placed = question.tasks.saturating_sub(waiting);
        let agents = self.agents_of(&question.pool).map(|(agent, view)| {
            let tasks = planned_at(&plan, agent);
            let reason =
                self.passed_over(&placing, agent, view, TaskLimits::default(), (tasks, placed));
            let passed_over = match reason {
                Some(reason) if waiting > 0 || tasks == 0 => Some(reason),
                None if waiting > 0 => Some(PassedOver::AwaitsStandby),
                None if tasks == 0 => Some(PassedOver::Costlier),
                _ => None,
            };
            AgentPlacement {
                agent: Arc::clone(&view.name),
                tasks,
                passed_over,
                free: view.free(),
                speed: view.speed.value(),
                report_age_ms: now_ms.saturating_sub(view.last_heard_ms),
            }
        });
        PlacementAnswer { refusal, placed, waiting, agents: agents.collect() }
    }
}

fn planned_at(plan: &StepPlan, agent: AgentKey) -> u32 {
    let tasks = plan.tasks_by_agent.get(&agent);
    tasks.map_or(0, |tasks| u32::try_from(tasks.len()).unwrap_or(u32::MAX))
}
