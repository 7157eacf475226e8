//! Handover of partitions: jobs are restored when a partition is gained and dropped when it is
//! lost.

use std::sync::Arc;

use jobs::JobRecord;
use kameo::{
    actor::ActorRef,
    message::{Context, Message},
};
use rpc::ForwardedJob;
use types::{JobId, Refusal};

use crate::{
    dispatcher::Dispatcher,
    messages::{ConfigChanged, Fence, Restore},
    metric_names,
};

impl Dispatcher {
    /// Adds the jobs of a takeover to the job table and resumes them.
    fn restore(&mut self, msg: Restore, dispatcher: &ActorRef<Self>) {
        let effects = self.table.restore(msg.0);
        self.cancels.stop(effects.recall);
        for record in &effects.records {
            self.enqueue_record(record);
        }
        for plan in effects.resume {
            let Some(spec) = self.table.submission(plan.id) else { continue };
            let spec = self.forwarded_job(spec);
            let terms = self.config.services.get(&spec.service);
            let terms = terms.and_then(|service| service.kinds.get(&spec.kind)).cloned();
            let Some(terms) = terms else { continue };
            let info = self.job_info(&spec, Arc::new(terms));
            self.resume(info, &plan, dispatcher);
        }
        self.update_quotas();
        self.flush_cancels();
    }

    fn forwarded_job(&self, spec: jobs::Submission) -> ForwardedJob {
        let terms = spec.terms;
        ForwardedJob {
            id: terms.id,
            team: terms.team,
            service: terms.service,
            kind: terms.kind,
            timeout_ms: terms.deadline_ms.saturating_sub(self.clock.now_ms()),
            digest: terms.digest,
            tasks: spec.payloads,
            wait: spec.wait,
            traceparent: None,
        }
    }

    fn enqueue_record(&self, record: &JobRecord) {
        if self.journal.enqueue(record).is_err() {
            metrics::counter!(metric_names::RECORDS_DROPPED).increment(1);
        }
    }

    /// Appends a mark to the job records when all earlier records are durable.  It bounds the time
    /// in which a new owner has to assume that records are missing.
    pub(crate) fn mark_journal(&mut self) {
        const MARK_INTERVAL_MS: u64 = 2_000;
        let at_ms = self.clock.now_ms();
        let state = self.journal.state();
        let is_idle = state.is_available && state.backlog_bodies == 0;
        if is_idle && !self.table.owned().is_empty() && at_ms >= self.marked_ms + MARK_INTERVAL_MS {
            self.marked_ms = at_ms;
            self.enqueue_record(&JobRecord::Marked { at_ms });
        }
    }

    /// Stops serving partitions.  Waiting callers are routed to the new owner, which joins the
    /// running attempts.
    fn fence(&mut self, msg: &Fence) {
        for owned in &msg.0 {
            for job in self.table.fence(owned.partition, owned.epoch) {
                self.discard_in_flight(job.id);
                let accept_waiters = self.remove_job(job.id);
                for tx in job.waiters.into_iter().chain(accept_waiters) {
                    let _ = tx.send(Err(Refusal::OwnerChanging { retry_after_ms: 0 }));
                }
            }
        }
        self.update_quotas();
    }

    /// Discards the attempts of a job that another owner continues.
    fn discard_in_flight(&mut self, id: JobId) {
        let now_us = self.clock.now_us();
        let keys: Vec<_> =
            self.in_flight.keys().filter(|key| key.task.job == id).copied().collect();
        for key in keys {
            let Some(in_flight) = self.in_flight.remove(&key) else { continue };
            self.recall.untrack(&key);
            if let Some(dispatch) = in_flight.dispatch {
                self.placer.record_loss(dispatch);
            }
            if in_flight.has_quota
                && let Some(quota) = self.quotas.get_mut(&in_flight.team)
            {
                quota.release(now_us);
            }
        }
    }
}

impl Message<Restore> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Restore, cx: &mut Context<Self, ()>) {
        let dispatcher = cx.actor_ref().clone();
        self.restore(msg, &dispatcher);
    }
}

impl Message<Fence> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Fence, _: &mut Context<Self, ()>) {
        self.fence(&msg);
    }
}

impl Message<ConfigChanged> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: ConfigChanged, cx: &mut Context<Self, ()>) {
        self.apply_config(msg.0);
        let dispatcher = cx.actor_ref().clone();
        self.dispatch_queued(&dispatcher);
    }
}
