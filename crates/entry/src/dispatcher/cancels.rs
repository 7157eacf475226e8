//! Batches of cancellations and recalls, one message for each agent.

use std::{mem, sync::Arc};

use indexmap::IndexMap;
use jobs::AttemptRef;
use rpc::CancelBatch;
use types::{AttemptKey, UpstreamName};

use crate::{dispatcher::Dispatcher, metric_names};

/// Attempts to cancel or to recall, by upstream, until they are sent.
#[derive(Default)]
pub(crate) struct PendingCancels {
    stop: IndexMap<UpstreamName, Vec<AttemptKey>>,
    recall: IndexMap<UpstreamName, Vec<AttemptKey>>,
}

impl PendingCancels {
    pub(crate) fn stop(&mut self, attempts: impl IntoIterator<Item = AttemptRef>) {
        attempts.into_iter().for_each(|attempt| {
            self.stop.entry(attempt.upstream).or_default().push(attempt.key);
        });
    }

    pub(crate) fn recall(&mut self, upstream: UpstreamName, keys: Vec<AttemptKey>) {
        self.recall.entry(upstream).or_default().extend(keys);
    }

    fn take_batches(&mut self) -> Vec<(UpstreamName, CancelBatch)> {
        let batch =
            |stop_running| move |(upstream, keys)| (upstream, CancelBatch { keys, stop_running });
        let stops = mem::take(&mut self.stop).into_iter().map(batch(true));
        let recalls = mem::take(&mut self.recall).into_iter().map(batch(false));
        stops.chain(recalls).collect()
    }
}

impl Dispatcher {
    /// Sends the pending cancellations and recalls; those for unknown upstreams are dropped.
    pub(crate) fn flush_cancels(&mut self) {
        for (upstream, batch) in self.cancels.take_batches() {
            let Some(member) = self.members.get(&upstream) else { continue };
            metrics::counter!(metric_names::CANCEL_MESSAGES).increment(1);
            let handle = Arc::clone(&member.handle);
            tokio::spawn(async move { handle.cancel(batch).await });
        }
    }

    /// Recalls attempts that have been queued at an agent for too long.
    pub(crate) fn recall_queued(&mut self) {
        let now_us = self.clock.now_us();
        for batch in self.recall.take_due(now_us, &self.placer) {
            let upstream = self.placer.upstream_name(batch.upstream).clone();
            self.cancels.recall(upstream, batch.keys);
        }
    }
}
