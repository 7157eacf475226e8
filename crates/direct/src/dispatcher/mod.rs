//! The entry's side: which task starts where and when, and how jobs end.

mod admission;
mod agent_view;
mod choice;
mod ends;
mod health;
mod job_state;
mod outcomes;
mod placing;
mod speed;
mod view;

use std::{collections::BTreeSet, sync::Arc};

use indexmap::IndexMap;

pub use crate::dispatcher::view::{AgentSummary, PoolCapacity};
use crate::{
    AgentHello, AttemptId, AttemptOutcome, DirectJob, JobOutcome, RefusalReason, Report, Timing,
    ToAgent,
    dispatcher::{agent_view::AgentView, job_state::JobState, speed::KindRatio},
};

types::identifier! {
    /// A submission at this entry.
    pub struct JobKey(pub u64);

    /// An agent that this entry has met.
    pub struct AgentKey(pub u32);
}

types::plain! {
    /// What the entry has to do.
    pub enum DispatcherEffect {
        /// Send a message to an agent.
        Send(AgentKey, ToAgent),
        /// Answer a submission.
        Answer(JobKey, JobOutcome),
        /// The judgement of an upstream has changed: ejected or used again.
        EjectionChanged {
            /// The agent.
            agent: Arc<str>,
            /// Whether it gets no tasks now.
            is_ejected: bool,
        },
    }

    /// Whether submissions are taken.
    #[derive(Copy, Eq)]
    pub enum Admission {
        /// They are.
        Open,
        /// They are refused for this reason.
        Closed(RefusalReason),
    }
}

/// Time before the client's patience ends at which a job without an end is answered, milliseconds.
const ANSWER_MARGIN_MS: u64 = 15;

#[derive(Debug)]
struct OutstandingAttempt {
    job: JobKey,
    /// The id of the job, for orders that outlive it.
    id: Arc<str>,
    step: u16,
    index: u32,
    agent: AgentKey,
}

/// State of an entry.
#[derive(Debug)]
pub struct Dispatcher {
    timing: Timing,
    zone: Arc<str>,
    agents: Vec<AgentView>,
    jobs: IndexMap<JobKey, JobState>,
    by_id: IndexMap<Arc<str>, JobKey>,
    /// Jobs with tasks to start, most urgent first.
    queue: BTreeSet<(u8, JobKey)>,
    attempts: IndexMap<AttemptId, OutstandingAttempt>,
    /// Orders of jobs that were answered, by the job's id: the id's tasks start nowhere meanwhile.
    ending: IndexMap<Arc<str>, u32>,
    kinds: IndexMap<Arc<str>, KindRatio>,
    next_job: u64,
    next_attempt: u64,
    admission: Admission,
}

impl Dispatcher {
    /// Creates the state of an entry in a zone.
    pub fn new(timing: Timing, zone: Arc<str>) -> Self {
        Self {
            timing,
            zone,
            agents: Vec::new(),
            jobs: IndexMap::new(),
            by_id: IndexMap::new(),
            queue: BTreeSet::new(),
            attempts: IndexMap::new(),
            ending: IndexMap::new(),
            kinds: IndexMap::new(),
            next_job: 0,
            next_attempt: 0,
            admission: Admission::Open,
        }
    }

    /// Sets whether submissions are taken.
    pub fn set_admission(&mut self, admission: Admission) {
        self.admission = admission;
    }

    /// Takes a submission.
    pub fn submit(&mut self, job: DirectJob, now_ms: u64) -> (JobKey, Vec<DispatcherEffect>) {
        let key = JobKey(self.next_job);
        self.next_job += 1;
        if let Some(state) = self.by_id.get(&job.id).and_then(|first| self.jobs.get_mut(first)) {
            state.waiters.push(key);
            return (key, Vec::new());
        }
        let refusal = match self.admission {
            Admission::Closed(reason) => Some(self.refusal(reason)),
            Admission::Open => self.hopeless(&job, now_ms),
        };
        if let Some(end) = refusal {
            return (key, vec![DispatcherEffect::Answer(key, end)]);
        }
        let state = self.new_state(job, key, now_ms);
        self.by_id.insert(Arc::clone(state.id()), key);
        self.queue.insert((state.job.priority, key));
        self.jobs.insert(key, state);
        (key, self.pump(now_ms))
    }

    /// Takes the word that nobody waits for a submission any more.
    pub fn cancel(&mut self, key: JobKey, now_ms: u64) -> Vec<DispatcherEffect> {
        let Some((&first, state)) =
            self.jobs.iter_mut().find(|(_, state)| state.waiters.contains(&key))
        else {
            return Vec::new();
        };
        state.waiters.retain(|waiter| *waiter != key);
        if !state.waiters.is_empty() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        self.remove_job(first, &mut effects);
        effects.extend(self.pump(now_ms));
        effects
    }

    /// Takes the greeting of an agent. Returns its key and the orders at it without an outcome.
    pub fn on_agent_hello(
        &mut self,
        hello: &AgentHello,
        now_ms: u64,
    ) -> (AgentKey, Vec<AttemptId>, Vec<DispatcherEffect>) {
        let mut effects = Vec::new();
        let position = self.agents.iter().position(|view| view.name == hello.agent);
        let index = match position {
            Some(index) => index,
            None => {
                let view = AgentView::new(Arc::clone(&hello.agent), hello.incarnation, now_ms);
                self.agents.push(view);
                self.agents.len() - 1
            }
        };
        let key = AgentKey(u32::try_from(index).unwrap_or(u32::MAX));
        let view = &mut self.agents[index];
        view.connected(now_ms);
        if view.incarnation != hello.incarnation {
            view.incarnation = hello.incarnation;
            view.upstream = None;
            // A new agent stops all that it finds before it greets.
            effects.extend(self.settle_all(key, AttemptOutcome::Lost, now_ms));
        }
        let outstanding = self.agents[index].attempts.iter().copied().collect();
        (key, outstanding, effects)
    }

    /// Notes that the connection of an agent has ended.
    pub fn on_disconnected(&mut self, key: AgentKey) {
        if let Some(view) = self.agents.get_mut(key.0 as usize) {
            view.is_connected = false;
        }
    }

    /// Takes a report.
    pub fn on_report(
        &mut self,
        key: AgentKey,
        report: Report,
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        let Some(view) = self.agents.get_mut(key.0 as usize) else { return effects };
        view.last_heard_ms = now_ms;
        view.reported(report.load);
        if let Some(upstream) = report.upstream {
            let is_new = view
                .upstream
                .as_ref()
                .is_none_or(|known| known.incarnation != upstream.incarnation);
            if is_new {
                view.speed = speed::Speed::default();
                view.health = health::Health::default();
            }
            view.upstream = Some(upstream);
        }
        for (id, outcome) in report.outcomes {
            self.settle(id, outcome, now_ms, &mut effects);
        }
        effects.extend(self.pump(now_ms));
        effects
    }

    /// Acts on time that has passed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        let gone_ms = self.timing.session_end_ms() + self.timing.lease_end_ms();
        for index in 0..self.agents.len() {
            let view = &self.agents[index];
            if now_ms.saturating_sub(view.last_heard_ms) >= gone_ms && !view.attempts.is_empty() {
                let key = AgentKey(u32::try_from(index).unwrap_or(u32::MAX));
                effects.extend(self.settle_all(key, AttemptOutcome::Lost, now_ms));
            }
        }
        let over: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, state)| now_ms + ANSWER_MARGIN_MS >= state.deadline_ms)
            .map(|(key, _)| *key)
            .collect();
        for key in over {
            self.end_unfinished(key, &mut effects);
        }
        effects.extend(self.pump(now_ms));
        effects
    }

    pub(crate) fn kind_ratio(&self, kind: &str) -> f64 {
        self.kinds.get(kind).map_or(1.0, |ratio| ratio.value())
    }

    pub(crate) fn agents_of(&self, pool: &str) -> impl Iterator<Item = (AgentKey, &AgentView)> {
        let keyed = (0u32..).map(AgentKey).zip(self.agents.iter());
        keyed.filter(move |(_, view)| view.is_of_pool(pool))
    }

    pub(crate) fn running_at(&self, key: AgentKey, state: &JobState, step: u16) -> u32 {
        let view = &self.agents[key.0 as usize];
        let is_same = |id: &&AttemptId| {
            self.attempts
                .get(*id)
                .is_some_and(|attempt| &attempt.id == state.id() && attempt.step == step)
        };
        u32::try_from(view.attempts.iter().filter(is_same).count()).unwrap_or(u32::MAX)
    }
}
