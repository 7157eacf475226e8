use indexmap::IndexMap;
use rpc::{StartedAttempt, StartedReport};
use types::{AttemptKey, Incarnation, JobId, UpstreamName};

use crate::AttemptRef;

/// An attempt as one agent reported it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ReportedAttempt {
    pub(crate) target: AttemptRef,
    pub(crate) state: rpc::AttemptState,
}

/// The report of one agent.
#[derive(Clone, Copy, Debug, PartialEq)]
struct AgentReport {
    agent: Incarnation,
    /// Time at which the report was received, in Unix milliseconds.
    received_ms: u64,
    /// Time since which the agent remembers all attempts that it started, in Unix milliseconds.
    remembers_from_ms: u64,
}

/// Attempts of the partitions under takeover as the agents of a deployment have reported them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct TakeoverAgents {
    reports: IndexMap<UpstreamName, Option<AgentReport>>,
    attempts: IndexMap<JobId, Vec<ReportedAttempt>>,
}

impl TakeoverAgents {
    pub(crate) fn add_upstream(&mut self, upstream: UpstreamName) {
        self.reports.entry(upstream).or_default();
    }

    /// Adds the first report of an incarnation and ignores later ones: after its first report,
    /// an agent starts nothing for a previous owner.
    pub(crate) fn add_report(
        &mut self,
        upstream: &UpstreamName,
        report: StartedReport,
        is_taken_over: impl Fn(JobId) -> bool,
        now_ms: u64,
    ) {
        let agent = report.incarnation;
        let received = self.reports.entry(upstream.clone()).or_default();
        if received.is_some_and(|received| received.agent == agent) {
            return;
        }
        let remembers_from_ms = now_ms.saturating_sub(report.memory_ms);
        *received = Some(AgentReport { agent, received_ms: now_ms, remembers_from_ms });
        report
            .attempts
            .into_iter()
            .filter(|attempt| is_taken_over(attempt.key.task.job))
            .for_each(|attempt| self.add_attempt(upstream, agent, attempt));
    }

    /// Records the current incarnation of an agent. If the report of another incarnation was
    /// added, the agent has to report again; the attempts of the earlier report stay.
    pub(crate) fn set_incarnation(&mut self, upstream: &UpstreamName, agent: Incarnation) {
        let received = self.reports.entry(upstream.clone()).or_default();
        if received.is_some_and(|received| received.agent != agent) {
            *received = None;
        }
    }

    fn add_attempt(
        &mut self,
        upstream: &UpstreamName,
        agent: Incarnation,
        attempt: StartedAttempt,
    ) {
        let target = attempt_ref(attempt.key, upstream, agent);
        let reported = ReportedAttempt { target, state: attempt.state };
        self.attempts.entry(attempt.key.task.job).or_default().push(reported);
    }

    pub(crate) fn unanswered(&self) -> impl Iterator<Item = &UpstreamName> {
        self.reports.iter().filter(|(_, received)| received.is_none()).map(|(name, _)| name)
    }

    /// Returns the time in Unix milliseconds at which more than half of the agents had
    /// reported.
    pub(crate) fn majority_reported_ms(&self) -> Option<u64> {
        let mut times: Vec<u64> =
            self.reports.values().flatten().map(|report| report.received_ms).collect();
        times.sort_unstable();
        times.get(self.reports.len() / 2).copied()
    }

    /// Returns whether every agent has reported and remembers all that it started since a time
    /// in Unix milliseconds.
    pub(crate) fn all_remember_since(&self, since_ms: u64) -> bool {
        self.reports
            .values()
            .all(|received| received.is_some_and(|received| received.remembers_from_ms <= since_ms))
    }

    pub(crate) fn take_attempts(&mut self, id: JobId) -> Vec<ReportedAttempt> {
        self.attempts.swap_remove(&id).unwrap_or_default()
    }

    /// Returns the attempts of all jobs that [`TakeoverAgents::take_attempts`] did not return
    /// before.
    pub(crate) fn take_remaining(&mut self) -> IndexMap<JobId, Vec<ReportedAttempt>> {
        std::mem::take(&mut self.attempts)
    }
}

fn attempt_ref(key: AttemptKey, upstream: &UpstreamName, agent: Incarnation) -> AttemptRef {
    AttemptRef { key, upstream: upstream.clone(), agent }
}
