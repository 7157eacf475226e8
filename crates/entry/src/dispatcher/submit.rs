//! Submission, status and cancellation of jobs.

use std::sync::Arc;

use jobs::{CancelEffects, JobRecord, ResumePlan, ResumeStep, Submission, SubmitDecision};
use kameo::{
    actor::ActorRef,
    message::{Context, Message},
};
use placement::DeclaredSize;
use policy::QueuedTask;
use rpc::{ForwardedJob, JobStatus};
use services::{Acceptance, KindConfig};
use tokio::time::{Duration, Instant};
use types::{Failure, JobId, Payload, Refusal, TaskIndex, TaskKey};

use crate::{
    dispatcher::{Dispatcher, job_info::JobInfo},
    messages::{Cancel, Recorded, Status, StatusTx, Submit},
    metric_names,
};

const US_PER_MS: u64 = 1_000;

impl Dispatcher {
    fn submit(&mut self, spec: ForwardedJob, tx: StatusTx, dispatcher: &ActorRef<Self>) {
        let terms = match self.terms(&spec) {
            Ok(terms) => terms,
            Err(refusal) => return refuse(tx, refusal),
        };
        let id = spec.id;
        let wait = spec.wait;
        let info = self.job_info(&spec, terms);
        let submission = Submission::new(spec, &info.terms, self.clock.now_ms());
        match self.table.submit(submission, self.clock.now_ms()) {
            SubmitDecision::Start(record) => self.start(info, record, tx, wait, dispatcher),
            SubmitDecision::Join => self.join(id, tx, wait),
            SubmitDecision::Finished(outcome) => {
                let _ = tx.send(Ok(JobStatus::Finished(outcome.as_ref().clone())));
            }
            SubmitDecision::Resume(plan) => {
                self.resume(info, &plan, dispatcher);
                self.join(id, tx, wait);
            }
            SubmitDecision::Refuse(refusal) => refuse(tx, refusal),
            SubmitDecision::NotOwner => refuse(tx, Refusal::OwnerChanging { retry_after_ms: 0 }),
        }
    }

    fn terms(&self, spec: &ForwardedJob) -> Result<Arc<KindConfig>, Refusal> {
        let service = self
            .config
            .services
            .get(&spec.service)
            .ok_or_else(|| Refusal::UnknownService(spec.service.clone()))?;
        let kind = service.kinds.get(&spec.kind);
        kind.cloned().map(Arc::new).ok_or_else(|| Refusal::UnknownKind(spec.kind.clone()))
    }

    pub(crate) fn job_info(&mut self, spec: &ForwardedJob, terms: Arc<KindConfig>) -> JobInfo {
        let pools = self.config.services.get(&spec.service).map(|s| s.pools.clone());
        let pools = pools.unwrap_or_default();
        let queue = self.queues.index(&pools, &mut self.placer);
        let declared =
            DeclaredSize { run_us: terms.expected_run_ms * US_PER_MS, resources: terms.resources };
        let weight = self.config.teams.get(&spec.team).map_or(1, |team| team.weight);
        JobInfo {
            queue,
            team: spec.team.clone(),
            service: spec.service.clone(),
            kind: spec.kind.clone(),
            kind_index: self.learner.kind_index(&spec.service, &spec.kind, declared),
            terms,
            weight,
            deadline: Instant::now() + Duration::from_millis(spec.timeout_ms),
            deadline_us: self.clock.now_us() + spec.timeout_ms * US_PER_MS,
            spread: Default::default(),
            parked: Vec::new(),
            tickets: Default::default(),
            failed_on: Default::default(),
            task_bytes: mean_bytes(&spec.tasks),
            is_recorded: false,
            accept_waiters: Vec::new(),
            traceparent: spec.traceparent.clone(),
        }
    }

    /// Admits a new job, records it and queues its tasks.
    fn start(
        &mut self,
        mut info: JobInfo,
        record: JobRecord,
        tx: StatusTx,
        wait: bool,
        dispatcher: &ActorRef<Self>,
    ) {
        let JobRecord::Accepted(accepted) = &record else { return };
        let id = accepted.terms.id;
        let tasks = accepted.terms.tasks;
        let acceptance = accepted.terms.acceptance;
        if let Err(refusal) = self.admit(&info, tasks)
            && self.table.withdraw(id, self.clock.now_ms()).is_some()
        {
            return refuse(tx, refusal);
        }
        let must_precede_start =
            !info.terms.idempotent || info.terms.acceptance == Acceptance::BeforeStart;
        if let Err(refusal) = self.recorder.record(id, &record, must_precede_start) {
            return self.revert_start(id, refusal, tx);
        }
        let indices = (0..tasks).map(TaskIndex);
        match acceptance {
            Acceptance::BeforeStart => info.parked.extend(indices),
            Acceptance::Behind => self.queue_tasks(id, &mut info, indices),
        }
        self.jobs.insert(id, info);
        self.join(id, tx, wait);
        self.dispatch_queued(dispatcher);
    }

    /// Withdraws a job whose record was refused by the log.  The job fails instead if a start of
    /// one of its tasks cannot be ruled out.
    fn revert_start(&mut self, id: JobId, refusal: Refusal, tx: StatusTx) {
        let now_ms = self.clock.now_ms();
        if self.table.withdraw(id, now_ms).is_some() {
            return refuse(tx, refusal);
        }
        self.table.add_waiter(id, tx);
        if let Some(finished) = self.table.fail(id, Failure::Interrupted, now_ms) {
            self.finish(finished);
        }
    }

    /// Queues tasks.  A task for which the queue has no capacity stays parked, and its job fails
    /// at its deadline.
    pub(crate) fn queue_tasks(
        &mut self,
        id: JobId,
        info: &mut JobInfo,
        indices: impl IntoIterator<Item = TaskIndex>,
    ) {
        let cost_us = self.learner.expected_us(info.kind_index);
        let queue = &mut self.queues.get_mut(info.queue).tasks;
        for index in indices {
            let task = QueuedTask {
                team: info.team.clone(),
                weight: info.weight,
                urgency: info.terms.urgency,
                cost_us,
                deadline_us: info.deadline_us.saturating_add(cost_us),
                bytes: info.task_bytes,
                item: TaskKey { job: id, index },
            };
            match queue.push(task) {
                Ok(ticket) => {
                    info.tickets.insert(index, ticket);
                }
                Err(_) => info.parked.push(index),
            }
        }
    }

    /// Registers a caller of an existing job, for its outcome or only for its acceptance.
    fn join(&mut self, id: JobId, tx: StatusTx, wait: bool) {
        if wait {
            self.table.add_waiter(id, tx);
            return;
        }
        let Some(info) = self.jobs.get_mut(&id) else {
            return refuse(tx, Refusal::UnknownJob);
        };
        if info.is_recorded {
            let _ = tx.send(self.table.status(id, &info.team));
        } else {
            info.accept_waiters.push(tx);
        }
    }

    /// Resumes a job that was restored by a takeover.
    pub(crate) fn resume(
        &mut self,
        mut info: JobInfo,
        plan: &ResumePlan,
        dispatcher: &ActorRef<Self>,
    ) {
        let is_dispatched = |step: &ResumeStep| match step {
            ResumeStep::Dispatch(index) => Some(*index),
            ResumeStep::JoinAttempt(_) | ResumeStep::AlreadyAnswered(_) => None,
        };
        let indices: Vec<_> = plan.steps.iter().filter_map(is_dispatched).collect();
        info.is_recorded = true;
        self.queue_tasks(plan.id, &mut info, indices);
        self.jobs.insert(plan.id, info);
        for step in &plan.steps {
            if let ResumeStep::JoinAttempt(attempt) = step {
                self.rejoin(attempt, dispatcher);
            }
        }
        self.dispatch_queued(dispatcher);
    }

    /// Queues the parked tasks of a job.
    pub(crate) fn queue_parked(&mut self, id: JobId) {
        if let Some(mut info) = self.jobs.remove(&id) {
            let parked = std::mem::take(&mut info.parked);
            self.queue_tasks(id, &mut info, parked);
            self.jobs.insert(id, info);
        }
    }

    /// Removes queued tasks and fails jobs whose deadlines have passed.
    pub(crate) fn expire(&mut self) {
        let now_us = self.clock.now_us();
        let late: Vec<_> =
            self.queues.iter_mut().flat_map(|queue| queue.tasks.expire(now_us)).collect();
        for key in late {
            if let Some(info) = self.jobs.get_mut(&key.job) {
                info.tickets.remove(&key.index);
            }
        }
        for finished in self.table.expire(self.clock.now_ms()) {
            self.finish(finished);
        }
    }
}

fn mean_bytes(tasks: &[Payload]) -> usize {
    tasks.iter().map(Payload::len).sum::<usize>() / tasks.len().max(1)
}

pub(crate) fn refuse(tx: StatusTx, refusal: Refusal) {
    metrics::counter!(metric_names::REFUSALS, "reason" => refusal.label()).increment(1);
    let _ = tx.send(Err(refusal));
}

impl Message<Submit> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Submit, cx: &mut Context<Self, ()>) {
        let dispatcher = cx.actor_ref().clone();
        self.submit(msg.job, msg.tx, &dispatcher);
    }
}

impl Message<Recorded> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Recorded, cx: &mut Context<Self, ()>) {
        for id in msg.ids {
            if !self.table.mark_recorded(id) {
                continue;
            }
            self.queue_parked(id);
            if let Some(info) = self.jobs.get_mut(&id) {
                info.is_recorded = true;
                let status = self.table.status(id, &info.team);
                info.accept_waiters.drain(..).for_each(|tx| {
                    let _ = tx.send(status.clone());
                });
            }
        }
        let dispatcher = cx.actor_ref().clone();
        self.dispatch_queued(&dispatcher);
    }
}

impl Message<Status> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Status, _: &mut Context<Self, ()>) {
        if !self.table.owns(msg.query.id) {
            return refuse(msg.tx, Refusal::OwnerChanging { retry_after_ms: 0 });
        }
        match self.table.status(msg.query.id, &msg.query.team) {
            Ok(JobStatus::Accepted { .. }) if msg.query.wait_ms > 0 => {
                self.table.add_waiter(msg.query.id, msg.tx);
            }
            status => {
                let _ = msg.tx.send(status);
            }
        }
    }
}

impl Message<Cancel> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Cancel, _: &mut Context<Self, ()>) {
        if !self.table.owns(msg.query.id) {
            return refuse(msg.tx, Refusal::OwnerChanging { retry_after_ms: 0 });
        }
        let now_ms = self.clock.now_ms();
        match self.table.cancel(msg.query.id, &msg.query.team, now_ms) {
            Ok(CancelEffects::AlreadyFinished(outcome)) => {
                let _ = msg.tx.send(Ok(JobStatus::Finished(outcome.as_ref().clone())));
            }
            Ok(CancelEffects::Finished(finished)) => {
                let outcome = finished.outcome.as_ref().clone();
                self.finish(finished);
                let _ = msg.tx.send(Ok(JobStatus::Finished(outcome)));
            }
            Err(refusal) => refuse(msg.tx, refusal),
        }
    }
}
