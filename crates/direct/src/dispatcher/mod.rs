//! The entry's side of direct jobs: decides where and when each task starts and what the outcome of
//! each job is.

mod admission;
mod agent_choice;
mod agent_view;
mod assembly;
mod attempt_outcomes;
mod backlog;
mod caller_age;
mod claim_contests;
mod claims;
mod containment;
mod contention;
mod crash_ledger;
mod crash_response;
mod evacuation;
mod explanation;
mod health;
mod job_claim;
mod job_outcomes;
mod job_state;
mod link_activity;
mod lookahead;
mod passed_over;
mod placement;
mod refusals;
mod report_pacing;
mod return_schedule;
mod run_times;
mod speed;
mod summary;

use std::{collections::BTreeSet, sync::Arc};

use indexmap::IndexMap;
use types::Resources;

pub use crate::dispatcher::{
    explanation::{AgentPlacement, PlacementAnswer, PlacementQuestion},
    lookahead::LookAheadCounts,
    passed_over::PassedOver,
    summary::{AgentSummary, PoolCapacity},
};
use crate::{
    AgentHello, AttemptId, DirectJob, Evacuations, JobName, JobOutcome, JobTasks, RefusalReason,
    Report, TaskId, Timing, ToAgent, UnsettledAttempts,
    dispatcher::{
        agent_view::AgentView,
        assembly::Assembly,
        backlog::Backlog,
        caller_age::CallerAges,
        containment::Containment,
        contention::Contention,
        crash_ledger::{CrashLedger, Suspicion},
        job_claim::StoppingJob,
        job_state::JobState,
        link_activity::LinkActivity,
        lookahead::{ExpectedEnd, LookAhead},
        report_pacing::ReportPacing,
        return_schedule::ReturnSchedule,
        run_times::KindRunTimes,
    },
};

types::identifier! {
    /// Identifies a submission at this entry.
    pub struct JobKey(pub u64);

    /// Identifies an agent that has connected to this entry.
    pub struct AgentKey(pub u32);
}

types::plain! {
    /// Action that the entry must carry out.
    pub enum DispatcherEffect {
        /// Sends a message to an agent.
        Send(AgentKey, ToAgent),
        /// Answers a submission with the outcome of its job.
        Answer(JobKey, JobOutcome),
        /// Closes the connection of an agent, which has been silent for too long.
        CloseLink(AgentKey),
        /// Reports that a job was given up because upstreams crash under it.
        GivenUp {
            /// The job's tasks.
            tasks: JobTasks,
            /// Kind of the job.
            kind: Arc<str>,
        },
        /// Reports that jobs of a kind keep crashing upstreams and start only on some of them.
        Contained {
            /// The kind.
            kind: Arc<str>,
        },
        /// Reports that an upstream was ejected or is in use again.
        EjectionChanged {
            /// Name of the upstream's agent.
            agent: Arc<str>,
            /// Whether the upstream is ejected, that is, gets no tasks.
            is_ejected: bool,
        },
        /// Reports for the log that attempts are no longer wanted; a message that stops them
        /// follows.
        Withdrawn {
            /// Id of the job.
            job: Arc<str>,
            /// The agent to which they were sent.
            agent: AgentKey,
            /// The attempts.
            attempts: Vec<AttemptId>,
            /// Their tasks, in the same order.
            tasks: Vec<TaskId>,
            /// Why they are not wanted.
            cause: WithdrawalCause,
        },
        /// Reports for the log that an attempt was settled as lost without a word of its agent.
        PresumedLost {
            /// The task.
            task: TaskId,
            /// The agent to which the attempt was sent.
            agent: AgentKey,
            /// The attempt.
            attempt: AttemptId,
            /// Why it counts as lost.
            cause: LossCause,
        },
        /// Reports for the log that another entry has a job; it waits for the end of that one.
        ClaimContested {
            /// The job's tasks.
            tasks: JobTasks,
            /// The agent that keeps the claims.
            agent: AgentKey,
            /// Time since the claim was sent, milliseconds.
            after_ms: u64,
        },
        /// Reports for the log that a job starts although its claim was not answered.
        ClaimUnanswered {
            /// The job's tasks.
            tasks: JobTasks,
            /// The agent that keeps the claims.
            agent: AgentKey,
            /// Time since the claim was sent, milliseconds.
            waited_ms: u64,
        },
        /// Reports for the log that another entry claims a job of this one, which goes on.
        ClaimAsked {
            /// The job's tasks.
            tasks: JobTasks,
            /// The agent that keeps the claims.
            agent: AgentKey,
        },
    }

    /// Why an entry no longer wants the attempts of a job.
    #[derive(Copy, Eq)]
    pub enum WithdrawalCause {
        /// The job has been answered, with another outcome than `Cancelled`.
        Answered,
        /// The caller has closed the connection.
        ClientGone,
        /// A caller has cancelled the job.
        Cancelled,
        /// Another entry has the job; its claim was answered only after the start.
        Contested,
    }

    /// Why an entry settles an attempt as lost without a word of its agent.
    #[derive(Copy, Eq)]
    pub enum LossCause {
        /// The agent has been silent for so long that the run has ended.
        Silent {
            /// Time since its last message, milliseconds.
            silent_ms: u64,
        },
        /// Another incarnation of the agent reports; it has opened after all earlier runs had ended.
        AgentReplaced,
    }

    /// Whether submissions are accepted.
    #[derive(Copy, Eq)]
    pub enum Admission {
        /// Submissions are accepted.
        Open,
        /// Submissions are refused for this reason.
        Closed(RefusalReason),
    }
}

/// An attempt that was sent to an agent and has no outcome yet.
#[derive(Debug)]
struct OutstandingAttempt {
    job: JobKey,
    /// Name of the job, for attempts that outlive the job's entry in `jobs`.
    job_name: JobName,
    step: u16,
    index: u32,
    agent: AgentKey,
    /// Whether it competes with other entries for the last slots of an agent in another zone.
    is_contest: bool,
    /// Whether its job was suspected of crashing upstreams when it was sent.
    is_suspect: bool,
    /// Whether its upstream was cold when it was sent.
    is_cold: bool,
    /// Whether it was stopped although its job goes on.
    is_withdrawn: bool,
    need: Resources,
    expected_end: ExpectedEnd,
}

impl OutstandingAttempt {
    fn task(&self) -> TaskId {
        TaskId { job: Arc::clone(&self.job_name.id), step: self.step, index: self.index }
    }
}

impl WithdrawalCause {
    /// Returns the name of the cause in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::ClientGone => "client_gone",
            Self::Cancelled => "cancelled",
            Self::Contested => "contested",
        }
    }
}

impl LossCause {
    /// Returns the name of the cause in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent { .. } => "silent",
            Self::AgentReplaced => "agent_replaced",
        }
    }
}

/// State of an entry: its jobs, its agents and the attempts at these.
#[derive(Debug)]
pub struct Dispatcher {
    timing: Timing,
    zone: Arc<str>,
    agents: Vec<AgentView>,
    links: LinkActivity,
    pacing: ReportPacing,
    jobs: IndexMap<JobKey, JobState>,
    by_name: IndexMap<JobName, JobKey>,
    /// Jobs with tasks to start, by [`JobState::queue_place`].
    queue: BTreeSet<(bool, u8, JobKey)>,
    attempts: IndexMap<AttemptId, OutstandingAttempt>,
    /// Answered jobs with outstanding attempts. A resubmitted job with such a name does not start
    /// before these have ended, so that no task runs twice at a time.
    stopping_jobs: IndexMap<JobName, StoppingJob>,
    kinds: IndexMap<Arc<str>, KindRunTimes>,
    returns: ReturnSchedule,
    backlog: Backlog,
    assembly: Assembly,
    caller_ages: CallerAges,
    contention: Contention,
    crashes: CrashLedger,
    containment: Containment,
    evacuations: Evacuations,
    lookahead: LookAhead,
    next_job: u64,
    next_attempt: u64,
    admission: Admission,
}

impl Dispatcher {
    /// Creates the state of an entry in the given availability zone. `seed` differs between
    /// entries, so that they prefer different agents.
    pub fn new(timing: Timing, zone: Arc<str>, seed: u64) -> Self {
        Self {
            timing,
            zone,
            agents: Vec::new(),
            links: LinkActivity::new(seed),
            pacing: ReportPacing::default(),
            jobs: IndexMap::new(),
            by_name: IndexMap::new(),
            queue: BTreeSet::new(),
            attempts: IndexMap::new(),
            stopping_jobs: IndexMap::new(),
            kinds: IndexMap::new(),
            returns: ReturnSchedule::default(),
            backlog: Backlog::default(),
            assembly: Assembly::default(),
            caller_ages: CallerAges::default(),
            contention: Contention::default(),
            crashes: CrashLedger::default(),
            containment: Containment::default(),
            evacuations: Evacuations::default(),
            lookahead: LookAhead::default(),
            next_job: 0,
            next_attempt: 0,
            admission: Admission::Open,
        }
    }

    /// Records that the entry's process has just started, so that its agents are about to connect.
    pub fn begin_assembly(&mut self, now_ms: u64) {
        self.assembly.record_start(now_ms);
    }

    /// Sets whether submissions are accepted. While they are refused because of a suspension, nothing
    /// of the accepted jobs starts either.
    pub fn set_admission(&mut self, admission: Admission) {
        self.admission = admission;
    }

    /// Accepts or refuses a submission. A submission with the name of an unanswered job joins that
    /// job and gets the same outcome.
    pub fn submit(&mut self, job: DirectJob, now_ms: u64) -> (JobKey, Vec<DispatcherEffect>) {
        self.admit(job, false, now_ms)
    }

    /// Accepts or refuses a submission like [`Dispatcher::submit`]; nothing starts for it before
    /// [`Dispatcher::release`].
    pub fn submit_held(&mut self, job: DirectJob, now_ms: u64) -> (JobKey, Vec<DispatcherEffect>) {
        self.admit(job, true, now_ms)
    }

    /// Lets the tasks of a held submission's job start, and dispatches them.
    pub fn release(&mut self, key: JobKey, now_ms: u64) -> Vec<DispatcherEffect> {
        if self.end_hold(key) { self.dispatch_queued(now_ms) } else { Vec::new() }
    }

    /// Lets the tasks of a held submission's job start with the next [`Dispatcher::dispatch`]. Returns
    /// whether it was held.
    pub fn end_hold(&mut self, key: JobKey) -> bool {
        let mut states = self.jobs.values_mut();
        let Some(state) = states.find(|state| state.held_waiters.contains(&key)) else {
            return false;
        };
        state.held_waiters.retain(|waiter| *waiter != key);
        true
    }

    fn admit(
        &mut self,
        job: DirectJob,
        is_held: bool,
        now_ms: u64,
    ) -> (JobKey, Vec<DispatcherEffect>) {
        let key = JobKey(self.next_job);
        self.next_job += 1;
        if let Some(state) =
            self.by_name.get(&job.name()).and_then(|first| self.jobs.get_mut(first))
        {
            let was_held = state.is_held();
            state.waiters.push(key);
            if is_held {
                state.held_waiters.push(key);
            }
            let effects = if was_held { self.dispatch_queued(now_ms) } else { Vec::new() };
            return (key, effects);
        }
        let is_deadly = self.crashes.suspicion(&job.name()) == Suspicion::Proven;
        let refusal = match self.admission {
            Admission::Closed(reason) => Some(self.refusal(reason)),
            Admission::Open if is_deadly => Some(JobOutcome::Failed),
            Admission::Open => self.unplaceable_outcome(&job, now_ms),
        };
        if let Some(outcome) = refusal {
            return (key, vec![DispatcherEffect::Answer(key, outcome)]);
        }
        let mut state = self.new_state(job, key, now_ms);
        state.held_waiters.extend(is_held.then_some(key));
        self.lookahead.record_arrival(&state.job, now_ms);
        self.by_name.insert(state.name().clone(), key);
        self.queue.insert(state.queue_place(key));
        self.jobs.insert(key, state);
        // Nothing of the job starts before its claim is answered, so no tasks are dispatched here.
        let mut effects = Vec::new();
        self.claim(key, now_ms, &mut effects);
        (key, effects)
    }

    /// Withdraws a submission whose caller no longer waits. The job is stopped and removed with its
    /// last submission; it gets no answer.
    pub fn cancel(&mut self, key: JobKey, now_ms: u64) -> Vec<DispatcherEffect> {
        let Some((&first, state)) =
            self.jobs.iter_mut().find(|(_, state)| state.waiters.contains(&key))
        else {
            return Vec::new();
        };
        state.waiters.retain(|waiter| *waiter != key);
        state.held_waiters.retain(|waiter| *waiter != key);
        if !state.waiters.is_empty() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        self.remove_job(first, WithdrawalCause::ClientGone, None, &mut effects);
        effects.extend(self.dispatch_queued(now_ms));
        effects
    }

    /// Cancels a job at a caller's request: nothing of it starts any more, what runs is stopped, and
    /// its submissions are answered. Returns `None` if there is no such unanswered job here.
    pub fn cancel_job(&mut self, name: &JobName, now_ms: u64) -> Option<Vec<DispatcherEffect>> {
        let key = *self.by_name.get(name)?;
        let mut effects = Vec::new();
        self.answer(key, JobOutcome::Cancelled, &mut effects);
        effects.extend(self.dispatch_queued(now_ms));
        Some(effects)
    }

    /// Handles the handshake of an agent. Returns the agent's key and its attempts without an
    /// outcome; those at another incarnation are settled as lost when this one reports.
    pub fn on_agent_hello(
        &mut self,
        hello: &AgentHello,
        now_ms: u64,
    ) -> (AgentKey, UnsettledAttempts, Vec<DispatcherEffect>) {
        let mut effects = Vec::new();
        let position = self.agents.iter().position(|view| view.name == hello.agent);
        let index = match position {
            Some(index) => index,
            None => {
                let rank = self.links.rank(&hello.agent);
                let view =
                    AgentView::new(Arc::clone(&hello.agent), hello.incarnation, rank, now_ms);
                self.agents.push(view);
                self.agents.len() - 1
            }
        };
        let key = AgentKey(u32::try_from(index).unwrap_or(u32::MAX));
        self.links.active.remove(&key);
        let view = &mut self.agents[index];
        view.on_connected(hello.incarnation, now_ms);
        view.announced = Some(hello.incarnation).filter(|number| *number != view.incarnation);
        let is_announced = view.announced.is_some();
        self.claim_at(key, now_ms, &mut effects);
        if is_announced {
            return (key, UnsettledAttempts::default(), effects);
        }
        self.activate_at_rest(key, now_ms, &mut effects);
        (key, self.unsettled_at(key), effects)
    }

    /// Replaces the incarnation of an agent by the announced one, if there is one.
    fn replace_incarnation(
        &mut self,
        key: AgentKey,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let view = &mut self.agents[key.0 as usize];
        let Some(incarnation) = view.announced.take() else { return };
        view.incarnation = incarnation;
        view.upstream = None;
        // A restarted agent stops all runs that it finds before it connects.
        effects.extend(self.presume_lost(key, LossCause::AgentReplaced, now_ms));
    }

    /// Returns the attempts at an agent without an outcome, by whether they are still wanted.
    fn unsettled_at(&self, key: AgentKey) -> UnsettledAttempts {
        let ids = self.agents[key.0 as usize].attempts.iter().copied();
        let is_wanted = |id: &AttemptId| {
            let attempt = self.attempts.get(id).filter(|attempt| !attempt.is_withdrawn);
            attempt.is_some_and(|attempt| self.jobs.contains_key(&attempt.job))
        };
        let (wanted, stopping) = ids.partition(is_wanted);
        UnsettledAttempts { wanted, stopping }
    }

    /// Marks an agent as disconnected. Its attempts stay outstanding until it reconnects and
    /// reports them, or until `tick` settles them as lost.
    pub fn on_disconnected(&mut self, key: AgentKey) {
        if let Some(view) = self.agents.get_mut(key.0 as usize) {
            view.is_connected = false;
            view.is_active = false;
            self.links.active.remove(&key);
        }
    }

    /// Applies an agent's load report like [`Dispatcher::apply_report`] and dispatches queued tasks.
    pub fn on_report(
        &mut self,
        key: AgentKey,
        report: Report,
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        let mut effects = self.apply_report(key, report, now_ms);
        effects.extend(self.dispatch_queued(now_ms));
        effects
    }

    /// Dispatches queued tasks. Must follow [`Dispatcher::apply_report`]; one call may follow several
    /// reports.
    pub fn dispatch(&mut self, now_ms: u64) -> Vec<DispatcherEffect> {
        self.dispatch_queued(now_ms)
    }

    /// Applies an agent's load report, acts on the crashes and settles the attempts that it lists. Nothing
    /// is dispatched.
    pub fn apply_report(
        &mut self,
        key: AgentKey,
        report: Report,
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        if self.agents.get(key.0 as usize).is_none() {
            return effects;
        }
        self.replace_incarnation(key, now_ms, &mut effects);
        let view = &mut self.agents[key.0 as usize];
        let has_awaited = view.awaits_entries();
        view.on_report(&report, now_ms);
        if has_awaited && !view.awaits_entries() {
            self.claim_at_informed(now_ms, &mut effects);
        }
        let view = &mut self.agents[key.0 as usize];
        if let Some(upstream) = report.upstream {
            let is_new = view
                .upstream
                .as_ref()
                .is_none_or(|known| known.incarnation != upstream.incarnation);
            if is_new {
                view.speed = speed::Speed::default();
                view.health = health::UpstreamHealth::default();
            }
            if view.upstream.is_none() {
                self.assembly.record_agent(now_ms);
            }
            view.is_evacuated = self.evacuations.is_evacuated(&upstream.zone);
            view.upstream = Some(upstream);
            self.activate_at_rest(key, now_ms, &mut effects);
        }
        self.on_crash_notices(key, report.crashes, now_ms, &mut effects);
        for (id, outcome) in report.outcomes {
            self.settle(id, outcome, now_ms, &mut effects);
        }
        self.apply_claim_news(key, &report.claims, now_ms, &mut effects);
        effects
    }

    /// Acts on the passage of time: settles attempts at lost agents, answers jobs at their deadline,
    /// dispatches or refuses queued ones, and activates or closes links. Must be called
    /// periodically.
    pub fn tick(&mut self, now_ms: u64) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        let lost_after_ms = self.timing.lost_after_ms();
        for index in 0..self.agents.len() {
            let view = &self.agents[index];
            let silent_ms = now_ms.saturating_sub(view.last_heard_ms);
            if silent_ms >= lost_after_ms && !view.attempts.is_empty() {
                let key = AgentKey(u32::try_from(index).unwrap_or(u32::MAX));
                effects.extend(self.presume_lost(key, LossCause::Silent { silent_ms }, now_ms));
            }
        }
        let expired: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, state)| state.is_expired(now_ms))
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.answer_at_deadline(key, now_ms, &mut effects);
        }
        self.close_silent(now_ms, &mut effects);
        self.tend_claims(now_ms, &mut effects);
        self.adjust_links(now_ms, &mut effects);
        self.adjust_report_period(&mut effects);
        effects.extend(self.dispatch_queued(now_ms));
        effects
    }

    /// Returns the agents whose upstream belongs to the pool.
    pub(crate) fn agents_of(&self, pool: &str) -> impl Iterator<Item = (AgentKey, &AgentView)> {
        let keyed = (0u32..).map(AgentKey).zip(self.agents.iter());
        keyed.filter(move |(_, view)| view.is_in_pool(pool))
    }

    /// Returns the number of outstanding attempts of a step at an agent.
    pub(crate) fn outstanding_at(&self, key: AgentKey, state: &JobState, step: u16) -> u32 {
        let view = &self.agents[key.0 as usize];
        let is_same = |id: &&AttemptId| {
            self.attempts
                .get(*id)
                .is_some_and(|attempt| &attempt.job_name == state.name() && attempt.step == step)
        };
        u32::try_from(view.attempts.iter().filter(is_same).count()).unwrap_or(u32::MAX)
    }
}
