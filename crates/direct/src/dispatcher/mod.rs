//! The entry's side: which task starts where and when, and how jobs end.

mod agent_view;
mod choice;
mod health;
mod job_state;
mod speed;

use std::{collections::BTreeMap, sync::Arc};

use indexmap::{IndexMap, IndexSet};

use crate::{
    AgentHello, DirectJob, JobEnd, Order, OrderBatch, OrderId, OrderOutcome, RefusalReason, Report,
    Timing, ToAgent,
    dispatcher::{
        agent_view::AgentView,
        job_state::{JobState, StepState, TaskHistory},
        speed::KindRatio,
    },
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
        Answer(JobKey, JobEnd),
        /// The judgement of an upstream has changed: ejected or used again.
        Judged {
            /// The agent.
            agent: Arc<str>,
            /// Whether it gets no tasks now.
            is_ejected: bool,
        },
    }

    /// What a choice of an agent is made on.
    pub struct AgentSummary {
        /// Its name.
        pub name: Arc<str>,
        /// Age of its last report, milliseconds.
        pub heard_ms_ago: u64,
        /// Capacity left by that report, less what was ordered since.
        pub free: types::Resources,
        /// Learned speed of its upstream; 1 is the mean.
        pub speed: f64,
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

/// A submission that has not started is refused after this part of its objective, so that its
/// client learns of it in time. Source: the platform prices later refusals.
const LONGEST_WAIT_SHARE: f64 = 0.24;
/// Least time before a client is told to come back, milliseconds.
const LEAST_RETRY_AFTER_MS: u64 = 1_000;
/// Time before the client's patience ends at which a job without an end is answered, milliseconds.
const ANSWER_MARGIN_MS: u64 = 15;

#[derive(Debug)]
struct OrderState {
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
    queue: BTreeMap<(u8, JobKey), ()>,
    orders: IndexMap<OrderId, OrderState>,
    /// Orders of jobs that were answered, by the job's id: the id's tasks start nowhere meanwhile.
    ending: IndexMap<Arc<str>, u32>,
    kinds: IndexMap<Arc<str>, KindRatio>,
    next_job: u64,
    next_order: u64,
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
            queue: BTreeMap::new(),
            orders: IndexMap::new(),
            ending: IndexMap::new(),
            kinds: IndexMap::new(),
            next_job: 0,
            next_order: 0,
            admission: Admission::Open,
        }
    }

    /// Sets whether submissions are taken.
    pub fn set_admission(&mut self, admission: Admission) {
        self.admission = admission;
    }

    /// Returns whether submissions are taken.
    pub fn admission(&self) -> Admission {
        self.admission
    }

    /// Returns the number of submissions without an answer.
    pub fn unanswered(&self) -> usize {
        self.jobs.values().map(|state| state.waiters.len()).sum()
    }

    /// Returns whether some agent takes tasks.
    pub fn has_open_agent(&self, now_ms: u64) -> bool {
        self.agents.iter().any(|view| view.is_open(now_ms, self.timing.silence_ms))
    }

    /// Returns the number of jobs with tasks to start.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns what a choice of an agent is made on.
    pub fn agent_view(&self, key: AgentKey, now_ms: u64) -> Option<AgentSummary> {
        let view = self.agents.get(key.0 as usize)?;
        Some(AgentSummary {
            name: Arc::clone(&view.name),
            heard_ms_ago: now_ms.saturating_sub(view.heard_ms),
            free: view.free(),
            speed: view.speed.value(),
        })
    }

    /// Returns the name of an agent.
    pub fn agent_name(&self, key: AgentKey) -> Option<&Arc<str>> {
        self.agents.get(key.0 as usize).map(|view| &view.name)
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
        self.queue.insert((state.job.priority, key), ());
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
    ) -> (AgentKey, Vec<OrderId>, Vec<DispatcherEffect>) {
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
            effects.extend(self.settle_all(key, OrderOutcome::Lost, now_ms));
        }
        let outstanding = self.agents[index].orders.iter().copied().collect();
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
        view.heard_ms = now_ms;
        view.reported(report.load);
        if let Some(upstream) = report.upstream {
            let is_new = view.upstream.as_ref().is_none_or(|known| known.born != upstream.born);
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
            if now_ms.saturating_sub(view.heard_ms) >= gone_ms && !view.orders.is_empty() {
                let key = AgentKey(u32::try_from(index).unwrap_or(u32::MAX));
                effects.extend(self.settle_all(key, OrderOutcome::Lost, now_ms));
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

    /// Forgets jobs that the client has left while this process was suspended.
    pub fn resumed(&mut self, now_ms: u64) -> Vec<DispatcherEffect> {
        self.tick(now_ms)
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
        let is_same = |id: &&OrderId| {
            self.orders.get(*id).is_some_and(|order| &order.id == state.id() && order.step == step)
        };
        u32::try_from(view.orders.iter().filter(is_same).count()).unwrap_or(u32::MAX)
    }

    fn new_state(&self, job: DirectJob, key: JobKey, now_ms: u64) -> JobState {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let chain_ms = (job.longest_chain_ms() as f64 * job.stretch) as u64;
        let objective_ms = chain_ms + job.allowance_ms;
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let wait_ms = (objective_ms as f64 * LONGEST_WAIT_SHARE) as u64;
        let steps = job
            .steps
            .iter()
            .map(|step| StepState { pending: (0..step.tasks).rev().collect(), open: step.tasks })
            .collect();
        JobState {
            objective_at_ms: now_ms + objective_ms,
            deadline_ms: now_ms + job.patience_ms,
            refuse_at_ms: now_ms + wait_ms,
            steps,
            histories: IndexMap::new(),
            under_way: 0,
            has_run: false,
            waiters: vec![key],
            job,
        }
    }

    /// Returns how a job ends that can run nowhere.
    fn hopeless(&self, job: &DirectJob, now_ms: u64) -> Option<JobEnd> {
        // Without any, upstreams may be on their way to an entry that has just started.
        self.agents_of(&job.pool).next()?;
        let fits = |step: &crate::JobStep| {
            self.agents_of(&job.pool).any(|(_, view)| {
                view.upstream.as_ref().is_some_and(|up| {
                    step.need.fits_in(up.capacity)
                        && step.label.as_ref().is_none_or(|label| up.labels.contains(label))
                })
            })
        };
        if job.steps.iter().all(fits) {
            return None;
        }
        // Upstreams that are away for a moment may fit it.
        let is_whole =
            self.agents_of(&job.pool).all(|(_, v)| v.is_open(now_ms, self.timing.silence_ms));
        Some(if is_whole { JobEnd::Failed } else { self.refusal(RefusalReason::NoUpstream) })
    }

    fn refusal(&self, reason: RefusalReason) -> JobEnd {
        JobEnd::NotRun { reason, retry_after_ms: LEAST_RETRY_AFTER_MS }
    }

    fn pump(&mut self, now_ms: u64) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        let keys: Vec<JobKey> = self.queue.keys().map(|(_, key)| *key).collect();
        for key in keys {
            let Some(state) = self.jobs.get(&key) else { continue };
            if self.ending.contains_key(state.id()) {
                continue;
            }
            self.place(key, now_ms, &mut effects);
            let Some(state) = self.jobs.get(&key) else { continue };
            let is_waiting = !state.has_run && state.under_way == 0;
            if is_waiting && now_ms >= state.refuse_at_ms {
                let is_served = self.agents_of(&state.job.pool).next().is_some();
                let reason =
                    if is_served { RefusalReason::Overloaded } else { RefusalReason::NoUpstream };
                let end = self.refusal(reason);
                self.answer(key, end, &mut effects);
            }
        }
        effects
    }

    /// Orders as many of a job's tasks as there is room for.
    fn place(&mut self, key: JobKey, now_ms: u64, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get(&key) else { return };
        let steps: Vec<u16> = state.eligible_steps().collect();
        for step in steps {
            self.place_step(key, step, now_ms, effects);
        }
        let Some(state) = self.jobs.get(&key) else { return };
        if state.eligible_steps().next().is_none() {
            self.queue.remove(&(state.job.priority, key));
        }
    }

    fn place_step(
        &mut self,
        key: JobKey,
        step: u16,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let state = &self.jobs[&key];
        let spec = &state.job.steps[usize::from(step)];
        let want = self.want(state, spec, now_ms);
        let need = spec.need;
        let mut taken: Vec<(AgentKey, u32)> = Vec::new();
        let mut chosen: IndexMap<AgentKey, Vec<u32>> = IndexMap::new();
        let mut left = Vec::new();
        for &task in state.steps[usize::from(step)].pending.iter().rev() {
            let Some(agent) = self.choose(state, step, task, &want, &taken) else {
                left.push(task);
                continue;
            };
            match taken.iter_mut().find(|(known, _)| *known == agent) {
                Some((_, count)) => *count += 1,
                None => taken.push((agent, 1)),
            }
            chosen.entry(agent).or_default().push(task);
        }
        left.reverse();
        let Some(state) = self.jobs.get_mut(&key) else { return };
        state.steps[usize::from(step)].pending = left;
        for (agent, tasks) in chosen {
            let mut orders = Vec::with_capacity(tasks.len());
            for index in tasks {
                let id = OrderId(self.next_order);
                self.next_order += 1;
                let history =
                    state.histories.entry((step, index)).or_insert_with(TaskHistory::default);
                history.runs += 1;
                state.under_way += 1;
                orders.push(Order { id, index, run: history.runs });
                let order =
                    OrderState { job: key, id: Arc::clone(&state.job.id), step, index, agent };
                self.orders.insert(id, order);
                self.agents[agent.0 as usize].orders.insert(id);
            }
            let charge =
                orders.iter().fold(types::Resources::default(), |sum, _| sum.saturating_add(need));
            self.agents[agent.0 as usize].charge(charge);
            let payload = Arc::clone(&state.job.payload);
            let batch = OrderBatch { job: Arc::clone(&state.job.id), step, payload, need, orders };
            effects.push(DispatcherEffect::Send(agent, ToAgent::Start(batch)));
        }
    }

    fn settle_all(
        &mut self,
        key: AgentKey,
        outcome: OrderOutcome,
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        let mut effects = Vec::new();
        let ids: Vec<OrderId> = self.agents[key.0 as usize].orders.iter().copied().collect();
        for id in ids {
            self.settle(id, outcome, now_ms, &mut effects);
        }
        effects.extend(self.pump(now_ms));
        effects
    }

    /// Takes the outcome of an order.
    fn settle(
        &mut self,
        id: OrderId,
        outcome: OrderOutcome,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let Some(order) = self.orders.swap_remove(&id) else { return };
        let view = &mut self.agents[order.agent.0 as usize];
        view.orders.swap_remove(&id);
        self.judge(&order, outcome, now_ms, effects);
        let Some(state) = self.jobs.get_mut(&order.job) else {
            if let Some(count) = self.ending.get_mut(&order.id) {
                *count -= 1;
                if *count == 0 {
                    self.ending.swap_remove(&order.id);
                }
            }
            return;
        };
        state.under_way -= 1;
        state.has_run |= !matches!(outcome, OrderOutcome::NotStarted | OrderOutcome::Unhealthy);
        match outcome {
            OrderOutcome::Done { run_ms } => {
                state.steps[usize::from(order.step)].open -= 1;
                let is_done = state.is_done();
                let has_next = state.eligible_steps().next().is_some();
                let priority = state.job.priority;
                self.learn(&order, run_ms);
                if is_done {
                    self.answer(order.job, JobEnd::Succeeded, effects);
                } else if has_next {
                    self.queue.insert((priority, order.job), ());
                }
                return;
            }
            OrderOutcome::Failed => {
                let history = state.histories.entry((order.step, order.index)).or_default();
                history.failures += 1;
                history.avoided.push(order.agent);
                if history.failures >= state.job.max_attempts {
                    self.answer(order.job, JobEnd::Failed, effects);
                    return;
                }
            }
            OrderOutcome::Unhealthy => {
                let history = state.histories.entry((order.step, order.index)).or_default();
                history.avoided.push(order.agent);
            }
            OrderOutcome::NotStarted | OrderOutcome::Stopped | OrderOutcome::Lost => {}
        }
        let Some(state) = self.jobs.get_mut(&order.job) else { return };
        state.steps[usize::from(order.step)].pending.push(order.index);
        self.queue.insert((state.job.priority, order.job), ());
    }

    fn judge(
        &mut self,
        order: &OrderState,
        outcome: OrderOutcome,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let ejected = self.agents.iter().filter(|view| view.health.is_suspect()).count();
        let may_eject = (ejected + 1) * 2 <= self.agents.len();
        let view = &mut self.agents[order.agent.0 as usize];
        let is_ejected = match outcome {
            OrderOutcome::Done { .. } if view.health.succeeded() => false,
            OrderOutcome::Failed | OrderOutcome::Unhealthy
                if (may_eject || view.health.is_suspect())
                    && view.health.failed(order.job, now_ms) =>
            {
                true
            }
            _ => return,
        };
        effects.push(DispatcherEffect::Judged { agent: Arc::clone(&view.name), is_ejected });
    }

    fn learn(&mut self, order: &OrderState, run_ms: u32) {
        let Some(state) = self.jobs.get(&order.job) else { return };
        let declared = f64::from(state.job.steps[usize::from(order.step)].estimate_ms.max(1));
        let actual = f64::from(run_ms.max(1));
        let view = &mut self.agents[order.agent.0 as usize];
        let kind = self.kinds.entry(Arc::clone(&state.job.kind)).or_default();
        let log = (declared * kind.value() / actual).ln();
        kind.observe((actual * view.speed.value() / declared).ln());
        view.speed.observe(log);
    }

    /// Ends a job whose client's time is over.
    fn end_unfinished(&mut self, key: JobKey, effects: &mut Vec<DispatcherEffect>) {
        let Some(state) = self.jobs.get(&key) else { return };
        let has_run = state.has_run || state.under_way > 0;
        let end = if has_run { JobEnd::TimedOut } else { self.refusal(RefusalReason::Overloaded) };
        self.answer(key, end, effects);
    }

    fn answer(&mut self, key: JobKey, end: JobEnd, effects: &mut Vec<DispatcherEffect>) {
        for waiter in self.remove_job(key, effects) {
            effects.push(DispatcherEffect::Answer(waiter, end));
        }
    }

    /// Removes a job and stops what is under way for it.
    fn remove_job(&mut self, key: JobKey, effects: &mut Vec<DispatcherEffect>) -> Vec<JobKey> {
        let Some(state) = self.jobs.swap_remove(&key) else { return Vec::new() };
        self.queue.remove(&(state.job.priority, key));
        self.by_id.swap_remove(state.id());
        if state.under_way > 0 {
            *self.ending.entry(Arc::clone(state.id())).or_insert(0) += state.under_way;
            let mut stops: IndexMap<AgentKey, Vec<OrderId>> = IndexMap::new();
            let mut seen = IndexSet::new();
            for (id, order) in self.orders.iter().filter(|(_, order)| order.job == key) {
                if seen.insert(*id) {
                    stops.entry(order.agent).or_default().push(*id);
                }
            }
            let send = |(agent, ids)| DispatcherEffect::Send(agent, ToAgent::Stop(ids));
            effects.extend(stops.into_iter().map(send));
        }
        state.waiters
    }
}
