//! Ends of attempts and of jobs.

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
    fn ended(&mut self, msg: Ended, dispatcher: &ActorRef<Self>) {
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
                self.replied(&in_flight, reply)
            }
            RunOutcome::NeverSent => {
                self.lost(&in_flight);
                let reason = NotStarted::Executor("no connection to the agent".to_owned());
                TaskResult::NotStarted(reason)
            }
            RunOutcome::Unknown(reason) => {
                self.lost(&in_flight);
                TaskResult::Unknown(reason)
            }
        };
        self.settle_accounts(&in_flight, &result);
        self.judge(&in_flight, msg.key, &result);
        let verdict = self.verdict(&in_flight, msg.key, &result);
        let now_ms = self.clock.now_ms();
        let upstream = msg.upstream;
        let end = AttemptResult {
            key: msg.key,
            epoch: in_flight.epoch,
            upstream: upstream.clone(),
            result,
        };
        let effects = self.table.on_attempt_result(end, verdict, now_ms);
        self.apply(effects, &upstream, dispatcher);
    }

    fn replied(&mut self, in_flight: &InFlight, reply: TaskReply) -> TaskResult {
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
            let took_us = now_us.saturating_sub(in_flight.sent_us);
            let there_us = answer.run_us + reply.queued_us;
            self.placer.observe_round_trip(dispatch.upstream, took_us.saturating_sub(there_us));
            self.learner.record_run(now_us, in_flight.kind_index, dispatch.upstream, answer.run_us);
            let speed = self.learner.speed(now_us, dispatch.upstream);
            self.placer.set_speed(dispatch.upstream, speed);
        }
        reply.result
    }

    fn lost(&mut self, in_flight: &InFlight) {
        if let Some(dispatch) = in_flight.dispatch {
            self.placer.record_loss(dispatch);
        }
    }

    fn settle_accounts(&mut self, in_flight: &InFlight, result: &TaskResult) {
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

    /// Judges the upstream on the outcome.  Refusals of the agent itself say nothing about
    /// its upstream, and neither do attempts that were stopped.
    fn judge(&mut self, in_flight: &InFlight, key: AttemptKey, result: &TaskResult) {
        let is_wanted = self.jobs.contains_key(&key.task.job);
        let outcome = match result {
            TaskResult::Done(answer) => {
                Outcome::Success { run_us: answer.run_us, expected_us: self.local_us(in_flight) }
            }
            TaskResult::Failed(_) | TaskResult::NotStarted(NotStarted::Executor(_)) => {
                Outcome::Failure
            }
            TaskResult::Unknown(_) if is_wanted => Outcome::NoAnswer,
            TaskResult::Unknown(_) | TaskResult::NotStarted(_) => return,
        };
        let now_us = self.clock.now_us();
        let Some(member) = self.members.get(&in_flight.upstream) else { return };
        if let Some(pool) = self.health.get_mut(&member.identity.pool) {
            pool.health.record(&in_flight.upstream, key.task.job, outcome, now_us);
        }
        if matches!(outcome, Outcome::Failure | Outcome::NoAnswer) {
            self.poll_health();
        }
    }

    fn local_us(&self, in_flight: &InFlight) -> u64 {
        let speed = in_flight
            .dispatch
            .map_or(1.0, |dispatch| self.learner.speed(self.clock.now_us(), dispatch.upstream));
        (in_flight.expected_us as f64 / speed) as u64
    }

    /// A failed attempt is retried within the budget; one that never started costs none.
    fn verdict(
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
                self.avoid(in_flight, key.task);
                match self.retries.try_spend(now_us) {
                    true => RetryDecision::Retry,
                    false => RetryDecision::GiveUp,
                }
            }
            TaskResult::NotStarted(NotStarted::Executor(_)) => {
                self.avoid(in_flight, key.task);
                RetryDecision::Retry
            }
            TaskResult::NotStarted(_) => RetryDecision::Retry,
            TaskResult::Unknown(_) => RetryDecision::GiveUp,
        }
    }

    fn avoid(&mut self, in_flight: &InFlight, task: TaskKey) {
        if let Some(info) = self.jobs.get_mut(&task.job)
            && let Some(dispatch) = in_flight.dispatch
        {
            info.failed_on.entry(task.index).or_default().push(dispatch.upstream);
        }
    }

    fn apply(
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
                    "upstream {upstream} knows a newer owner of partition {}",
                    owned.partition
                );
                self.recorder.check_ownership();
            }
            AttemptEffects::Finished(finished) => self.finish(finished),
        }
        self.pump(dispatcher);
    }

    fn requeue(&mut self, key: TaskKey) {
        if let Some(mut info) = self.jobs.remove(&key.job) {
            self.queue_tasks(key.job, &mut info, [key.index]);
            self.jobs.insert(key.job, info);
        }
    }

    /// Answers the callers of a job that has ended and drops what is left of it.
    pub(crate) fn finish(&mut self, finished: FinishedJob<StatusTx>) {
        let outcome = if finished.outcome.is_complete() { "complete" } else { "failed" };
        metrics::counter!(metric_names::JOBS, "outcome" => outcome).increment(1);
        if self.journal.enqueue(&JobRecord::Finished(finished.record)).is_err() {
            metrics::counter!(metric_names::RECORDS_DROPPED).increment(1);
        }
        let accept_waiters = self.forget(finished.id);
        self.cancels.stop(finished.cancel);
        for tx in finished.waiters.into_iter().chain(accept_waiters) {
            let _ = tx.send(Ok(JobStatus::Finished(finished.outcome.as_ref().clone())));
        }
    }

    /// Drops a job's queued tasks and returns the callers that wait for its acceptance.
    pub(crate) fn forget(&mut self, id: types::JobId) -> Vec<StatusTx> {
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
        self.ended(msg, &dispatcher);
    }
}
