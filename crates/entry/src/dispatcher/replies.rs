//! Results of attempts, and the outcomes of the jobs that they finish.

use jobs::{AttemptEffects, AttemptResult, FinishedJob, JobRecord, RetryDecision};
use kameo::{
    actor::ActorRef,
    message::{Context, Message},
};
use placement::AgentLoad;
use policy::Outcome;
use rpc::{JobStatus, LoadReport, NotStarted, TaskReply, TaskResult};
use types::{AttemptKey, TaskKey, UpstreamName};

use crate::{
    dispatcher::{Dispatcher, job_info::InFlight},
    link::RunOutcome,
    messages::{Ended, StatusTx},
    metric_names,
};

impl Dispatcher {
    /// Settles an attempt and applies its result to the job, with a retry if one is allowed.
    fn on_ended(&mut self, msg: Ended, dispatcher: &ActorRef<Self>) {
        let Some(in_flight) = self.in_flight.remove(&msg.key) else {
            metrics::counter!(metric_names::LATE_ANSWERS).increment(1);
            return;
        };
        self.recall.untrack(&msg.key);
        let result = match msg.outcome {
            RunOutcome::Reply { reply, is_repeated } => {
                if is_repeated {
                    let now_ms = self.clock.now_ms();
                    let _ = self.table.resend_attempt(msg.key, &msg.upstream, now_ms);
                }
                self.on_reply(&in_flight, reply)
            }
            RunOutcome::NeverSent => {
                self.record_loss(&in_flight);
                let reason = NotStarted::Executor("no connection to the agent".to_owned());
                TaskResult::NotStarted(reason)
            }
            RunOutcome::Unknown(reason) => {
                self.record_loss(&in_flight);
                TaskResult::Unknown(reason)
            }
        };
        self.settle_usage(&in_flight, &result);
        self.update_health(&in_flight, msg.key, &result);
        let retry_decision = self.retry_decision(&in_flight, msg.key, &result);
        let now_ms = self.clock.now_ms();
        let upstream = msg.upstream;
        let attempt_result = AttemptResult {
            key: msg.key,
            epoch: in_flight.epoch,
            upstream: upstream.clone(),
            result,
        };
        let effects = self.table.on_attempt_result(attempt_result, retry_decision, now_ms);
        self.apply_effects(effects, &upstream, dispatcher);
    }

    /// Applies the load, offers and measured times of a reply to placement, and returns the result.
    fn on_reply(&mut self, in_flight: &InFlight, reply: TaskReply) -> TaskResult {
        metrics::counter!(metric_names::ANSWERS).increment(1);
        let now_us = self.clock.now_us();
        if let Some(used) = reply.usage {
            self.learner.record_usage(in_flight.kind_index, used);
        }
        let Some(dispatch) = in_flight.dispatch else {
            return reply.result;
        };
        self.placer.record_reply(now_us, dispatch, reply.offers, agent_load(reply.load));
        if let TaskResult::Done(answer) = &reply.result {
            let round_trip_us = now_us.saturating_sub(in_flight.sent_us);
            let agent_us = answer.run_us + reply.queued_us;
            self.placer
                .observe_round_trip(dispatch.upstream, round_trip_us.saturating_sub(agent_us));
            self.learner.record_run(now_us, in_flight.kind_index, dispatch.upstream, answer.run_us);
            let speed = self.learner.speed(now_us, dispatch.upstream);
            self.placer.set_speed(dispatch.upstream, speed);
        }
        reply.result
    }

    /// Informs placement that an attempt has no reply.
    fn record_loss(&mut self, in_flight: &InFlight) {
        if let Some(dispatch) = in_flight.dispatch {
            self.placer.record_loss(dispatch);
        }
    }

    /// Releases the quota of an attempt and charges its run time to its team.
    fn settle_usage(&mut self, in_flight: &InFlight, result: &TaskResult) {
        let now_us = self.clock.now_us();
        if in_flight.has_quota
            && let Some(quota) = self.quotas.get_mut(&in_flight.team)
        {
            quota.release(now_us);
        }
        let used_us = match result {
            TaskResult::Done(answer) => answer.run_us,
            TaskResult::NotStarted(_) => 0,
            TaskResult::Failed(_) | TaskResult::Unknown(_) => {
                now_us.saturating_sub(in_flight.sent_us)
            }
        };
        let speed = in_flight
            .dispatch
            .map_or(1.0, |dispatch| self.learner.speed(now_us, dispatch.upstream));
        let queue = self.queues.get_mut(in_flight.queue);
        if let Some(charge) = &in_flight.charge {
            queue.tasks.settle(charge, used_us);
        }
        if matches!(result, TaskResult::Done(_)) {
            let slot_us = (used_us as f64 * speed) as u64;
            queue.admission.on_finished(&in_flight.team, slot_us, now_us);
        }
    }

    /// Updates the health of the upstream with the outcome.  Refusals by the agent itself and
    /// attempts that were stopped do not count.
    fn update_health(&mut self, in_flight: &InFlight, key: AttemptKey, result: &TaskResult) {
        let is_job_active = self.jobs.contains_key(&key.task.job);
        let outcome = match result {
            TaskResult::Done(answer) => Outcome::Success {
                run_us: answer.run_us,
                expected_us: self.expected_at_upstream_us(in_flight),
            },
            TaskResult::Failed(_) | TaskResult::NotStarted(NotStarted::Executor(_)) => {
                Outcome::Failure
            }
            TaskResult::Unknown(_) if is_job_active => Outcome::NoAnswer,
            TaskResult::Unknown(_) | TaskResult::NotStarted(_) => return,
        };
        let now_us = self.clock.now_us();
        let Some(member) = self.members.get(&in_flight.upstream) else { return };
        if let Some(pool) = self.health.get_mut(&member.identity.pool) {
            pool.tracker.record(&in_flight.upstream, key.task.job, outcome, now_us);
        }
        if matches!(outcome, Outcome::Failure | Outcome::NoAnswer) {
            self.poll_health();
        }
    }

    /// Returns the expected run time in microseconds at the speed of the attempt's upstream.
    fn expected_at_upstream_us(&self, in_flight: &InFlight) -> u64 {
        let speed = in_flight
            .dispatch
            .map_or(1.0, |dispatch| self.learner.speed(self.clock.now_us(), dispatch.upstream));
        (in_flight.expected_us as f64 / speed) as u64
    }

    /// Decides whether a task is tried again.  Retries of failed attempts are limited by the retry
    /// budget; an attempt that never started is retried without using it.
    fn retry_decision(
        &mut self,
        in_flight: &InFlight,
        key: AttemptKey,
        result: &TaskResult,
    ) -> RetryDecision {
        let now_us = self.clock.now_us();
        match result {
            TaskResult::Done(_) => {
                self.retries.on_success();
                RetryDecision::GiveUp
            }
            TaskResult::Failed(_) => {
                self.avoid_upstream(in_flight, key.task);
                match self.retries.try_spend(now_us) {
                    true => RetryDecision::Retry,
                    false => RetryDecision::GiveUp,
                }
            }
            TaskResult::NotStarted(NotStarted::Executor(_)) => {
                self.avoid_upstream(in_flight, key.task);
                RetryDecision::Retry
            }
            TaskResult::NotStarted(_) => RetryDecision::Retry,
            TaskResult::Unknown(_) => RetryDecision::GiveUp,
        }
    }

    fn avoid_upstream(&mut self, in_flight: &InFlight, task: TaskKey) {
        if let Some(info) = self.jobs.get_mut(&task.job)
            && let Some(dispatch) = in_flight.dispatch
        {
            info.failed_on.entry(task.index).or_default().push(dispatch.upstream);
        }
    }

    fn apply_effects(
        &mut self,
        effects: AttemptEffects<StatusTx>,
        upstream: &UpstreamName,
        dispatcher: &ActorRef<Self>,
    ) {
        match effects {
            AttemptEffects::Dropped(_) => {
                metrics::counter!(metric_names::LATE_ANSWERS).increment(1);
            }
            AttemptEffects::Pending => {}
            AttemptEffects::Dispatch(key) => {
                metrics::counter!(metric_names::RETRIES).increment(1);
                self.requeue(key);
            }
            AttemptEffects::OwnerStale(owned) => {
                log::warn!(
                    "upstream {upstream} reports a newer owner of partition {}",
                    owned.partition
                );
                self.recorder.check_ownership();
            }
            AttemptEffects::Finished(finished) => self.finish(finished),
        }
        self.dispatch_queued(dispatcher);
    }

    fn requeue(&mut self, key: TaskKey) {
        if let Some(mut info) = self.jobs.remove(&key.job) {
            self.queue_tasks(key.job, &mut info, [key.index]);
            self.jobs.insert(key.job, info);
        }
    }

    /// Sends the outcome of a finished job to its callers and discards the rest of its state.
    pub(crate) fn finish(&mut self, finished: FinishedJob<StatusTx>) {
        let outcome = if finished.outcome.is_complete() { "complete" } else { "failed" };
        metrics::counter!(metric_names::JOBS, "outcome" => outcome).increment(1);
        if self.journal.enqueue(&JobRecord::Finished(finished.record)).is_err() {
            metrics::counter!(metric_names::RECORDS_DROPPED).increment(1);
        }
        let accept_waiters = self.remove_job(finished.id);
        self.cancels.stop(finished.cancel);
        for tx in finished.waiters.into_iter().chain(accept_waiters) {
            let _ = tx.send(Ok(JobStatus::Finished(finished.outcome.as_ref().clone())));
        }
    }

    /// Removes a job and its queued tasks, and returns the callers that wait for its acceptance.
    pub(crate) fn remove_job(&mut self, id: types::JobId) -> Vec<StatusTx> {
        let Some(info) = self.jobs.remove(&id) else {
            return Vec::new();
        };
        let queue = &mut self.queues.get_mut(info.queue).tasks;
        info.tickets.into_values().for_each(|ticket| {
            queue.remove(ticket);
        });
        info.accept_waiters
    }
}

pub(crate) fn agent_load(load: LoadReport) -> AgentLoad {
    AgentLoad { running: load.running, queued: load.queued, free: load.free }
}

impl Message<Ended> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Ended, cx: &mut Context<Self, ()>) {
        let dispatcher = cx.actor_ref().clone();
        self.on_ended(msg, &dispatcher);
    }
}
