//! How long overload has lasted, and what waits.
//!
//! Load pattern: a backlog that arrives at once, for example when all callers return after a
//! restart, or before the agents have connected to a new entry. Refusing what waits after the time
//! that suits lasting overload turns callers away whom the next tenths of a second could serve.

use crate::{
    ToAgent,
    dispatcher::{AgentKey, Dispatcher, DispatcherEffect},
};

/// Time for which jobs may wait without interruption before overload counts as lasting,
/// milliseconds.
const BRIEF_OVERLOAD_MS: u64 = 600;
/// Time for which the agents are not told that nothing waits any more, milliseconds, because more
/// jobs usually follow.
const ANNOUNCEMENT_MS: u64 = 100;

types::plain! {
    /// Since when there have been jobs without an agent, and what the agents know of them.
    #[derive(Default)]
    pub(crate) struct Backlog {
        since_ms: Option<u64>,
        /// Urgency that the agents on active links know, and when it last applied.
        announced: Option<u8>,
        applied_ms: u64,
    }
}

impl Backlog {
    /// Returns whether the present overload, if there is one, is still brief.
    pub(crate) fn is_brief(&self, now_ms: u64) -> bool {
        self.since_ms.is_none_or(|since_ms| now_ms < since_ms + BRIEF_OVERLOAD_MS)
    }

    /// Returns the message about the backlog for an agent whose link becomes active.
    pub(crate) fn announcement(&self) -> Option<ToAgent> {
        self.announced.map(|urgency| ToAgent::SetWaiting(Some(urgency)))
    }
}

impl Dispatcher {
    /// Records the urgency of the most urgent job that a round of placement has left without an
    /// agent, and tells the agents if that is news for them.
    pub(crate) fn record_backlog(
        &mut self,
        urgency: Option<u8>,
        now_ms: u64,
        effects: &mut Vec<DispatcherEffect>,
    ) {
        let backlog = &mut self.backlog;
        backlog.since_ms = urgency.map(|_| backlog.since_ms.unwrap_or(now_ms));
        let is_more_urgent = match (urgency, backlog.announced) {
            (Some(urgency), Some(announced)) => urgency < announced,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if urgency.is_some() && urgency == backlog.announced {
            backlog.applied_ms = now_ms;
        }
        let is_over =
            urgency != backlog.announced && now_ms >= backlog.applied_ms + ANNOUNCEMENT_MS;
        if is_more_urgent || is_over {
            backlog.announced = urgency;
            backlog.applied_ms = now_ms;
            let keys: Vec<AgentKey> = self.links.active.iter().copied().collect();
            let send = |key| DispatcherEffect::Send(key, ToAgent::SetWaiting(urgency));
            effects.extend(keys.into_iter().map(send));
        }
    }
}
