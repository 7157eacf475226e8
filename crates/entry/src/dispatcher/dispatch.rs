//! Dispatch: takes the next task of each queue and sends it to the upstream that placement
//! chooses.

use std::sync::Arc;

use jobs::{AttemptRef, StartError, StartPermit};
use kameo::actor::ActorRef;
use placement::{Choice, Dispatch, TaskRequirements};
use policy::PoppedTask;
use rpc::TaskStart;
use telemetry::{Hop, HopSpan};
use tokio::time::Instant;
use types::{TaskKey, UpstreamName};

use crate::{
    dispatcher::{
        Dispatcher,
        job_info::{InFlight, JobInfo},
        pool_queue::QueueIndex,
    },
    link::{LinkHandle, RunOutcome},
    messages::Ended,
    metric_names,
};

impl Dispatcher {
    /// Dispatches queued tasks until no queue has a task that can start.
    pub(crate) fn dispatch_queued(&mut self, dispatcher: &ActorRef<Self>) {
        for queue in self.queues.indices() {
            while self.dispatch_next(queue, dispatcher) {}
            self.update_backlog(queue);
        }
    }

    /// Informs admission whether tasks that may start are waiting for slots.
    fn update_backlog(&mut self, index: QueueIndex) {
        let now_us = self.clock.now_us();
        let quotas = &self.quotas;
        let queue = self.queues.get_mut(index);
        let is_backlogged = queue
            .tasks
            .peek(now_us, |team| quotas.get(team).is_some_and(|quota| !quota.has_free_slot(now_us)))
            .is_some();
        queue.admission.set_backlogged(is_backlogged, now_us);
    }

    /// Handles the next task of a queue and returns whether the one after it may be tried.
    fn dispatch_next(&mut self, index: QueueIndex, dispatcher: &ActorRef<Self>) -> bool {
        let now_us = self.clock.now_us();
        let quotas = &self.quotas;
        let is_blocked = |team: &types::TeamName| {
            quotas.get(team).is_some_and(|quota| !quota.has_free_slot(now_us))
        };
        let queue = self.queues.get_mut(index);
        let waiting = queue.tasks.len() as u32;
        let Some(next) = queue.tasks.peek(now_us, is_blocked) else {
            return false;
        };
        let key = *next.item;
        if let Err(e) = self.table.check_begin(key, self.clock.now_ms()) {
            if let Some(popped) = queue.tasks.pop(now_us, is_blocked) {
                queue.tasks.settle(&popped.charge, 0);
                self.park(key, e);
            }
            return true;
        }
        let Some(info) = self.jobs.get(&key.job) else {
            queue.tasks.pop(now_us, is_blocked);
            return true;
        };
        let requirements = TaskRequirements {
            pools: &queue.pools,
            charge: self.learner.charge(info.kind_index),
            expected_us: self.learner.expected_us(info.kind_index),
            job_remaining_us: 0,
            avoid: info.failed_on.get(&key.index).map_or(&[], Vec::as_slice),
            spread: &info.spread,
        };
        let choice = match self.placer.choose(now_us, &mut self.rng, &requirements, waiting) {
            Choice::Wait if !requirements.avoid.is_empty() && waiting == 1 => {
                let unrestricted = TaskRequirements { avoid: &[], ..requirements };
                self.placer.choose(now_us, &mut self.rng, &unrestricted, waiting)
            }
            choice => choice,
        };
        let Some(dispatch) = self.placer.record_dispatch(now_us, choice, &requirements) else {
            return false;
        };
        let expected_us = requirements.expected_us;
        let Some(popped) = queue.tasks.pop(now_us, is_blocked) else {
            self.placer.record_loss(dispatch);
            return false;
        };
        self.start_attempt(popped, dispatch, index, expected_us, dispatcher);
        true
    }

    /// Removes a task that must not start yet from the queue, and parks it if it may start later.
    fn park(&mut self, key: TaskKey, reason: StartError) {
        let Some(info) = self.jobs.get_mut(&key.job) else { return };
        info.tickets.remove(&key.index);
        match reason {
            StartError::NotRecorded => info.parked.push(key.index),
            StartError::Unconfirmed => {
                info.parked.push(key.index);
                self.unconfirmed.jobs.insert(key.job);
            }
            StartError::NoSuchJob
            | StartError::NoSuchTask
            | StartError::NotWaiting
            | StartError::NotSent
            | StartError::DeadlinePassed => {}
        }
    }

    /// Begins an attempt of a task and sends it to the upstream that placement chose.
    fn start_attempt(
        &mut self,
        popped: PoppedTask<TaskKey>,
        dispatch: Dispatch,
        queue: QueueIndex,
        expected_us: u64,
        dispatcher: &ActorRef<Self>,
    ) {
        let key = popped.item;
        let upstream = self.placer.upstream_name(dispatch.upstream).clone();
        let now_ms = self.clock.now_ms();
        let permit = self.table.begin_attempt(key, upstream.clone(), dispatch.incarnation, now_ms);
        let Some(info) = self.jobs.get_mut(&key.job) else {
            return;
        };
        info.tickets.remove(&key.index);
        let Ok(permit) = permit else {
            self.placer.record_loss(dispatch);
            self.queues.get_mut(queue).tasks.settle(&popped.charge, 0);
            return;
        };
        info.spread.add(self.placer.rack(dispatch.upstream));
        let now_us = self.clock.now_us();
        let has_quota =
            self.quotas.get_mut(&info.team).is_some_and(|quota| quota.try_acquire(now_us));
        let in_flight = InFlight {
            upstream: upstream.clone(),
            epoch: permit.owned.epoch,
            dispatch: Some(dispatch),
            charge: Some(popped.charge),
            queue,
            team: info.team.clone(),
            kind_index: info.kind_index,
            expected_us,
            sent_us: now_us,
            has_quota,
        };
        self.recall.add_budget();
        if !dispatch.uses_offer {
            self.recall.track(now_us, permit.key, dispatch.upstream, expected_us);
        }
        self.in_flight.insert(permit.key, in_flight);
        self.send(permit, &upstream, Some(dispatch), dispatcher);
    }

    /// Sends an attempt in a background task, which reports the outcome with [`Ended`].
    fn send(
        &mut self,
        permit: StartPermit,
        upstream: &UpstreamName,
        dispatch: Option<Dispatch>,
        dispatcher: &ActorRef<Self>,
    ) {
        let Some(info) = self.jobs.get(&permit.key.task.job) else { return };
        let Some(member) = self.members.get(upstream) else { return };
        let span = HopSpan::start(Hop::Dispatch, info.traceparent.as_deref());
        span.set_attribute("task", permit.key);
        span.set_attribute("upstream", upstream);
        let deadline = info.deadline;
        let incarnation = member.identity.incarnation;
        let mut start = self.task_start(permit, info, incarnation, dispatch);
        start.traceparent = span.traceparent();
        metrics::counter!(metric_names::DISPATCHES).increment(1);
        let handle = Arc::clone(&member.handle);
        let upstream = upstream.clone();
        let dispatcher = dispatcher.clone();
        tokio::spawn(async move {
            let key = start.key;
            let outcome = run_attempt(&handle, start, deadline, &span).await;
            drop(span);
            let _ = dispatcher.tell(Ended { key, upstream, outcome }).await;
        });
    }

    fn task_start(
        &self,
        permit: StartPermit,
        info: &JobInfo,
        agent: types::Incarnation,
        dispatch: Option<Dispatch>,
    ) -> TaskStart {
        let speed = dispatch
            .map_or(1.0, |dispatch| self.learner.speed(self.clock.now_us(), dispatch.upstream));
        let expected_us = self.learner.expected_us(info.kind_index) as f64 / speed;
        let timeout = info.deadline.saturating_duration_since(Instant::now());
        TaskStart {
            key: permit.key,
            partition: permit.owned.partition,
            epoch: permit.owned.epoch,
            entry: self.entry.clone(),
            agent,
            team: info.team.clone(),
            service: info.service.clone(),
            kind: info.kind.clone(),
            urgency: info.terms.urgency,
            weight: info.weight,
            resources: self.learner.charge(info.kind_index),
            expected_us: expected_us as u64,
            timeout_ms: timeout.as_millis() as u64,
            uses_offer: dispatch.is_some_and(|dispatch| dispatch.uses_offer),
            payload: permit.payload,
            traceparent: None,
        }
    }

    /// Resends an attempt of a previous owner to its agent, which joins it.
    pub(crate) fn rejoin(&mut self, attempt: &AttemptRef, dispatcher: &ActorRef<Self>) {
        let now_ms = self.clock.now_ms();
        let permit = match self.table.resend_attempt(attempt.key, &attempt.upstream, now_ms) {
            Ok(permit) => permit,
            Err(StartError::Unconfirmed) => {
                self.unconfirmed.attempts.push(attempt.clone());
                return;
            }
            Err(_) => return,
        };
        let Some(info) = self.jobs.get(&attempt.key.task.job) else { return };
        let in_flight = InFlight {
            upstream: attempt.upstream.clone(),
            epoch: permit.owned.epoch,
            dispatch: None,
            charge: None,
            queue: info.queue,
            team: info.team.clone(),
            kind_index: info.kind_index,
            expected_us: 0,
            sent_us: self.clock.now_us(),
            has_quota: false,
        };
        self.in_flight.insert(attempt.key, in_flight);
        if self.members.contains_key(&attempt.upstream) {
            self.send(permit, &attempt.upstream, None, dispatcher);
        } else {
            let msg = Ended {
                key: attempt.key,
                upstream: attempt.upstream.clone(),
                outcome: RunOutcome::Unknown("upstream is not known here".to_owned()),
            };
            let dispatcher = dispatcher.clone();
            tokio::spawn(async move { dispatcher.tell(msg).await });
        }
    }
}

async fn run_attempt(
    handle: &LinkHandle,
    start: TaskStart,
    deadline: Instant,
    span: &HopSpan,
) -> RunOutcome {
    let outcome = handle.run(start, deadline).await;
    match &outcome {
        RunOutcome::Reply { .. } => {}
        RunOutcome::NeverSent => span.set_error("never sent"),
        RunOutcome::Unknown(reason) => span.set_error(reason),
    }
    outcome
}
