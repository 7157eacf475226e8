//! The agent's side of direct jobs: guards the capacity of one upstream, follows its runs and stops
//! those that no entry needs any more.

mod absence;
mod claims;
mod crashes;
mod evacuation;
mod isolation;
mod lease_record;
mod messages;
mod orphans;
mod replaced_runs;
mod response_monitor;
mod run;
mod run_outcomes;
mod sent_reports;
mod session;
mod start_timer;
mod starts;
mod stops;
mod warm_up;

use std::sync::Arc;

use indexmap::IndexMap;
use types::Resources;

pub use crate::supervisor::messages::{
    RunList, RunOutcome, RunRow, SessionKey, SettledBy, StartResult, StartRun, StopCause,
    SupervisorEffect,
};
use crate::{
    AttemptId, AttemptOutcome, Evacuations, Load, Report, TaskId, Timing, UnsettledAttempts,
    Upstream, UpstreamState,
    supervisor::{
        claims::Claims,
        crashes::Crashes,
        isolation::Isolation,
        lease_record::LeaseRecord,
        orphans::Orphan,
        response_monitor::ResponseMonitor,
        run::{EndedRun, Phase, Run},
        sent_reports::SentReports,
        session::Session,
        start_timer::StartTimer,
        warm_up::WarmUp,
    },
};

/// Time without a message after which a disconnected session is removed, milliseconds; longer than
/// any outage after which an entry of the same incarnation requests its outcomes.
const SESSION_RETENTION_MS: u64 = 60_000;

/// Age of the last heartbeat from which a suspended process no longer relies on it, milliseconds:
/// longer than the period of heartbeats, shorter than the time in which a smaller capacity must be
/// kept to.
const OUTDATED_MS: u64 = 2_500;

/// State of an agent: its upstream, the runs there and the sessions with entries.
#[derive(Debug)]
pub struct Supervisor {
    timing: Timing,
    upstream: Option<Upstream>,
    /// Incarnation of the upstream that answers calls, and the time of its first answer,
    /// milliseconds.
    answering: Option<(u64, u64)>,
    /// Last heartbeat of an incarnation other than the one that answers calls, with its `seq`.
    announced: Option<(Upstream, i64)>,
    heartbeat_seq: i64,
    /// Time of the last heartbeat, milliseconds.
    heartbeat_ms: u64,
    /// Whether this process was suspended for so long that the upstream's capacity may have shrunk
    /// unnoticed.
    is_capacity_outdated: bool,
    runs: IndexMap<TaskId, Run>,
    /// Highest run number known for each ended task; the task's next run gets a higher one.
    run_numbers: IndexMap<TaskId, EndedRun>,
    sessions: IndexMap<Arc<str>, (SessionKey, Session)>,
    next_session: u32,
    /// Whether all runs of earlier agents have ended; no attempts are accepted before.
    is_open: bool,
    is_leaving: bool,
    /// Time of the first answer that shows that the upstream refuses the orders of earlier agents, and
    /// those of this one that were meant for an earlier incarnation, milliseconds.
    controlled_ms: Option<u64>,
    /// Runs at the upstream that this agent did not start. The number is that of the run.
    orphans: IndexMap<(TaskId, u32), Orphan>,
    /// Number of unanswered stop calls for each run.
    open_stops: IndexMap<(TaskId, u32), u32>,
    leases: LeaseRecord,
    /// Capacity that is offered: less than that of the upstream while it is cold.
    offered: Resources,
    warm_up: Option<WarmUp>,
    evacuations: Evacuations,
    /// Whether the zone of the upstream is evacuated.
    is_evacuated: bool,
    response_monitor: ResponseMonitor,
    crashes: Crashes,
    isolation: Option<Isolation>,
    claims: Claims,
    start_timer: StartTimer,
}

impl Supervisor {
    /// Creates the state of an agent that has just started.
    pub fn new(timing: Timing, now_ms: u64) -> Self {
        Self {
            timing,
            upstream: None,
            answering: None,
            announced: None,
            heartbeat_seq: -1,
            heartbeat_ms: now_ms,
            is_capacity_outdated: false,
            runs: IndexMap::new(),
            run_numbers: IndexMap::new(),
            sessions: IndexMap::new(),
            next_session: 0,
            is_open: false,
            is_leaving: false,
            controlled_ms: None,
            orphans: IndexMap::new(),
            open_stops: IndexMap::new(),
            // An earlier agent may have granted a lease until now.
            leases: LeaseRecord::new(now_ms),
            offered: Resources::default(),
            warm_up: None,
            evacuations: Evacuations::default(),
            is_evacuated: false,
            response_monitor: ResponseMonitor::default(),
            crashes: Crashes::default(),
            isolation: None,
            claims: Claims::default(),
            start_timer: StartTimer::default(),
        }
    }

    /// Returns the upstream as of its last heartbeat; `None` before the first one.
    pub fn upstream(&self) -> Option<&Upstream> {
        self.upstream.as_ref()
    }

    /// Returns the name of a session's entry.
    pub fn session_entry(&self, key: SessionKey) -> Option<&Arc<str>> {
        let mut sessions = self.sessions.iter();
        sessions.find(|(_, (known, _))| *known == key).map(|(name, _)| name)
    }

    /// Returns whether no run that this agent started is left, including those being stopped.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the tasks of the runs with their ages in milliseconds, the youngest first.
    pub fn runs_by_age(&self, now_ms: u64) -> Vec<(TaskId, u64)> {
        let age =
            |(task, run): (&TaskId, &Run)| (task.clone(), now_ms.saturating_sub(run.accepted_ms));
        let mut runs: Vec<_> = self.runs.iter().map(age).collect();
        runs.sort_by_key(|(_, age_ms)| *age_ms);
        runs
    }

    /// Returns whether a stop is pending, so that the next run list is needed soon.
    pub fn has_pending_stop(&self) -> bool {
        !self.orphans.is_empty()
            || self.runs.values().any(|run| matches!(run.phase, Phase::Stopping { .. }))
    }

    /// Returns the tasks of the runs whose start is unanswered.
    pub fn starting(&self) -> Vec<TaskId> {
        let starting = |(_, run): &(&TaskId, &Run)| {
            matches!(run.phase, Phase::Starting { .. } | Phase::AwaitingList { .. })
        };
        self.runs.iter().filter(starting).map(|(task, _)| task.clone()).collect()
    }

    /// Returns the tasks of the runs that are being stopped, with those that the agent found: their
    /// stop is unanswered, or their end is not confirmed by a list.
    pub fn stopping(&self) -> Vec<TaskId> {
        let stopping = |(_, run): &(&TaskId, &Run)| matches!(run.phase, Phase::Stopping { .. });
        let own = self.runs.iter().filter(stopping).map(|(task, _)| task);
        own.chain(self.orphans.keys().map(|(task, _)| task)).cloned().collect()
    }

    /// Returns whether the upstream answers calls.
    pub fn is_responsive(&self) -> bool {
        !self.response_monitor.is_unresponsive()
    }

    /// Returns the end of a lease that is granted now, milliseconds; `None` while none is granted.
    /// An unresponsive upstream gets no lease, so that its runs end with the last one, and an agent
    /// that has not opened grants none to the runs of an earlier agent, which it stops.
    ///
    /// All runs share the lease, so it ends in time for each of them: a run that no stop reaches
    /// must not outlive the limit that follows from the last time at which its entry wanted it.
    /// Without runs none is granted, because it would protect the next run beyond its limit.
    pub fn lease_end_ms(&self, now_ms: u64) -> Option<u64> {
        if !self.is_open || !self.is_responsive() || self.runs.is_empty() {
            return None;
        }
        let wanted_ms = self.runs.values().filter_map(|run| self.wanted_until_ms(run));
        let limit_ms = wanted_ms.min().map_or(u64::MAX, |ms| ms + self.timing.run_limit_ms());
        Some(limit_ms.min(now_ms + self.timing.granted_lease_ms()))
            .filter(|end_ms| *end_ms > now_ms)
    }

    /// Returns the last time at which the entry of a run is known to have wanted it, milliseconds.
    fn wanted_until_ms(&self, run: &Run) -> Option<u64> {
        let (owner, _) = run.attempt?;
        let session = || self.sessions.values().find(|(key, _)| *key == owner);
        run.wanted_until_ms.or_else(|| session().map(|(_, session)| session.proven_ms))
    }

    /// Records that a call that grants a lease is being sent.
    pub fn record_lease_sent(&mut self, now_ms: u64) {
        self.leases.record_sent(now_ms);
    }

    /// Records the end of a call that grants a lease and was sent at `sent_ms`; a call whose
    /// connection was refused has not arrived.
    pub fn record_lease_call_end(&mut self, sent_ms: u64, may_have_arrived: bool) {
        self.leases.record_end(sent_ms, may_have_arrived);
    }

    /// Applies the upstream's heartbeat. One with a `seq` that is not higher than the last one of the
    /// same incarnation is late and is ignored.
    ///
    /// A heartbeat may be held up for as long as another incarnation lives, whose number may be lower.
    /// So one of an incarnation other than that which answers calls settles nothing: the runs are
    /// listed at once, and the answer shows which incarnation lives.
    pub fn on_heartbeat(
        &mut self,
        mut upstream: Upstream,
        seq: i64,
        now_ms: u64,
    ) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        if self.answering.is_some_and(|(number, _)| number != upstream.incarnation) {
            let is_outdated = self.announced.as_ref().is_some_and(|(announced, last_seq)| {
                announced.incarnation == upstream.incarnation && seq <= *last_seq
            });
            if !is_outdated {
                self.announced = Some((upstream, seq));
            }
            return vec![SupervisorEffect::PollRuns];
        }
        if let Some(known) = &self.upstream {
            let is_same = known.id == upstream.id && known.incarnation == upstream.incarnation;
            let is_earlier = upstream.incarnation < known.incarnation && self.answering.is_none();
            if (is_same && seq <= self.heartbeat_seq) || is_earlier {
                return effects;
            }
            if is_same {
                upstream.largest_capacity =
                    upstream.largest_capacity.max_each(known.largest_capacity);
            } else {
                self.on_incarnation_end(now_ms, &mut effects);
                self.run_numbers.clear();
                self.warm_up = None;
            }
        }
        upstream.cold_ms = self.update_warm_up(upstream.cold_ms, now_ms, &mut effects);
        self.announced = None;
        self.heartbeat_seq = seq;
        self.heartbeat_ms = now_ms;
        self.is_capacity_outdated = false;
        let is_changed = self.upstream.as_ref() != Some(&upstream);
        self.upstream = Some(upstream);
        self.update_offer(now_ms);
        self.apply_evacuations(&mut effects);
        if is_changed {
            effects.extend(self.report_all());
        }
        effects
    }

    /// Handles a suspension of this process that has just ended. If the last heartbeat is old, no
    /// attempts are accepted until the next one.
    pub fn on_resumed(&mut self, now_ms: u64) -> Vec<SupervisorEffect> {
        if now_ms.saturating_sub(self.heartbeat_ms) < OUTDATED_MS {
            return Vec::new();
        }
        self.is_capacity_outdated = true;
        self.report_all()
    }

    /// Marks the upstream as draining when it announces that it leaves.
    pub fn on_upstream_leaving(&mut self) -> Vec<SupervisorEffect> {
        if let Some(upstream) = &mut self.upstream {
            upstream.state = UpstreamState::Draining;
        }
        self.report_all()
    }

    /// Begins to drain the agent: further attempts are refused, and running ones go on.
    pub fn begin_drain(&mut self) -> Vec<SupervisorEffect> {
        self.is_leaving = true;
        self.report_all()
    }

    /// Opens a session with an entry, or resumes that of the same incarnation; the runs of an
    /// earlier incarnation are stopped, and so are those that the entry does not want any more: the
    /// stop may have been lost with an earlier connection. Of the unsettled `attempts`, those
    /// without a run here are reported with their recorded outcome, or as not started. The entry
    /// replies to a handshake that this agent sent at `hello_ms`.
    pub fn on_entry_hello(
        &mut self,
        entry: &Arc<str>,
        incarnation: u64,
        attempts: &UnsettledAttempts,
        hello_ms: u64,
        now_ms: u64,
    ) -> (SessionKey, Vec<SupervisorEffect>) {
        let mut effects = Vec::new();
        let crashes = self.kept_crashes(now_ms);
        let known = self.sessions.get(entry).map(|(key, session)| (*key, session.incarnation));
        let key = match known {
            Some((key, number)) if number == incarnation => key,
            other => {
                if let Some((old, _)) = other {
                    self.claims.on_session_end(old, now_ms);
                    self.stop_session(old, StopCause::EntryReplaced, &mut effects);
                }
                let key = SessionKey(self.next_session);
                self.next_session += 1;
                let session = Session::new(incarnation, hello_ms, now_ms);
                self.sessions.insert(Arc::clone(entry), (key, session));
                key
            }
        };
        let proven_ms = self.session_mut(key).map_or(hello_ms, |session| session.proven_ms);
        let is_unwanted = |id| !attempts.wanted.contains(&id);
        self.stop_attempts(key, proven_ms, StopCause::Unwanted, is_unwanted, &mut effects);
        let live: Vec<AttemptId> = self
            .runs
            .values()
            .filter_map(|run| run.attempt.filter(|(owner, _)| *owner == key).map(|(_, id)| id))
            .collect();
        if let Some((_, session)) = self.sessions.get_mut(entry) {
            session.sent_reports = SentReports::new(hello_ms);
            session.on_message(0, now_ms);
            session.is_connected = true;
            session.is_active = false;
            session.batches_seen = 0;
            session.switches_seen = 0;
            session.report_period_ms = 0;
            session.unsent.clear();
            session.unsent_crashes = crashes;
            let unsettled = attempts.wanted.iter().chain(&attempts.stopping);
            for id in unsettled.filter(|id| !live.contains(id)) {
                let outcome = session.outcome(*id).unwrap_or(AttemptOutcome::NotStarted);
                session.unsent.push((*id, outcome));
            }
        }
        self.claims.on_hello(key, now_ms);
        self.repeat_claim_news(key);
        effects.push(SupervisorEffect::Report(key));
        (key, effects)
    }

    /// Records a message from an entry that had read `reports_read` reports on the connection. Its
    /// session stays alive from the time at which the last of these was sent.
    pub fn on_entry_message(&mut self, key: SessionKey, reports_read: u64, now_ms: u64) {
        if let Some(session) = self.session_mut(key) {
            session.on_message(reports_read, now_ms);
        }
    }

    /// Returns the time since an entry is known to have been alive, milliseconds; `None` if the
    /// session is unknown.
    pub fn session_age_ms(&self, key: SessionKey, now_ms: u64) -> Option<u64> {
        let mut sessions = self.sessions.values();
        let (_, session) = sessions.find(|(known, _)| *known == key)?;
        Some(now_ms.saturating_sub(session.proven_ms))
    }

    /// Returns whether a start from an entry is recent enough to be carried out.
    pub fn may_start_for(&self, key: SessionKey, now_ms: u64) -> bool {
        let age_ms = self.session_age_ms(key, now_ms);
        age_ms.is_some_and(|age_ms| age_ms < self.timing.max_start_age_ms())
    }

    /// Records that a report is being sent on the current connection of a session. Returns its
    /// number.
    pub fn record_report_sent(&mut self, key: SessionKey, now_ms: u64) -> u64 {
        let session_ms = self.timing.session_ms;
        self.session_mut(key).map_or(0, |session| {
            session.record_report(session.reported_free, now_ms);
            session.sent_reports.record(now_ms, session_ms)
        })
    }

    /// Makes a session's link active or puts it on standby. An active link gets a report at once.
    pub fn set_active(&mut self, key: SessionKey, is_active: bool) -> Vec<SupervisorEffect> {
        let Some(session) = self.session_mut(key) else { return Vec::new() };
        session.is_active = is_active;
        session.switches_seen += 1;
        // The heartbeat period changes, so the task that sends reports is woken in both cases.
        vec![SupervisorEffect::Report(key)]
    }

    /// Sets the minimum time between two reports of a change of the load on a session's link,
    /// milliseconds.
    pub fn set_report_period(&mut self, key: SessionKey, period_ms: u16) {
        if let Some(session) = self.session_mut(key) {
            session.report_period_ms = period_ms;
        }
    }

    /// Returns the period of a session's heartbeats, milliseconds.
    pub fn heartbeat_ms(&self, key: SessionKey) -> u64 {
        let is_active = self.sessions.values().any(|(known, s)| *known == key && s.is_active);
        if is_active { self.timing.heartbeat_ms } else { self.timing.standby_heartbeat_ms }
    }

    /// Marks a session as disconnected. Its runs go on until the session times out.
    pub fn on_disconnected(&mut self, key: SessionKey) {
        if let Some(session) = self.session_mut(key) {
            session.is_connected = false;
        }
    }

    /// Handles the end of an entry's process, of which a refused connection leaves no doubt: stops
    /// its runs without waiting for the session to time out.
    pub fn on_entry_gone(&mut self, key: SessionKey) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        self.stop_session(key, StopCause::EntryGone, &mut effects);
        effects
    }

    /// Applies a run list of the upstream: settles runs that have ended or are missing, and stops
    /// runs that the agent did not start. The agent opens once the list shows that no run of an
    /// earlier agent is left.
    pub fn on_run_list(&mut self, list: &RunList) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        let Some(is_changed) = self.identify_incarnation(list) else { return effects };
        if self.response_monitor.record_answer() {
            effects.extend(self.report_all());
        }
        effects.extend(self.on_outage_end(list.incarnation));
        let is_replaced = self.check_incarnation(list, is_changed, &mut effects);
        // The call that shows another incarnation was sent before the token rose, so it fences nothing.
        if list.is_fencing && !is_replaced {
            self.controlled_ms.get_or_insert(list.received_ms);
        }
        for (task, number, run_outcome) in &list.ended {
            self.on_run_end(task, *number, *run_outcome, list.received_ms, &mut effects);
        }
        self.settle_replaced(list, &mut effects);
        self.resume_broken_starts(list, &mut effects);
        self.repeat_stops(list, &mut effects);
        self.settle_absent(list, &mut effects);
        self.stop_orphans(list, &mut effects);
        if !self.is_open && self.shows_no_orphan(list) {
            self.is_open = true;
            effects.push(SupervisorEffect::Open);
        }
        effects
    }

    /// Records that the upstream has refused a call because it has seen a higher fencing token: until
    /// it accepts a higher one, it may carry out orders of an earlier agent.
    pub fn on_fenced(&mut self) {
        self.controlled_ms = None;
    }

    /// Records that a call to the upstream was not answered in time; reports to the entries when
    /// this makes the upstream count as unresponsive.
    pub fn on_call_timeout(&mut self, now_ms: u64) -> Vec<SupervisorEffect> {
        if !self.response_monitor.record_timeout(now_ms) {
            return Vec::new();
        }
        self.begin_outage(self.response_monitor.failing_since_ms(), false);
        self.report_all()
    }

    /// Records that the connection for a call to the upstream was refused: its process is gone, so
    /// the entries are told at once. Its runs count as ended only when their leases have, because
    /// the refusal may come from the network.
    pub fn on_call_refused(&mut self, now_ms: u64) -> Vec<SupervisorEffect> {
        let is_new = self.response_monitor.record_refusal(now_ms);
        self.begin_outage(self.response_monitor.failing_since_ms(), true);
        if is_new { self.report_all() } else { Vec::new() }
    }

    /// Acts on the passage of time: stops the runs of sessions that have timed out, settles all
    /// runs as lost or crashed when the last lease of an unresponsive upstream has ended, and reports a change
    /// of the free capacity on active links. Must be called periodically.
    pub fn tick(&mut self, now_ms: u64) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        let session_ms = self.timing.session_ms;
        let expired: Vec<SessionKey> = self
            .sessions
            .values()
            .filter(|(_, session)| !session.is_proven_within(session_ms, now_ms))
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.stop_session(key, StopCause::SessionExpired, &mut effects);
        }
        self.sessions.retain(|_, (_, session)| {
            session.is_connected
                || now_ms.saturating_sub(session.last_heard_ms) < SESSION_RETENTION_MS
        });
        self.expire_claims(now_ms, &mut effects);
        self.announce_refusal(now_ms, &mut effects);
        self.advance_isolation(now_ms, &mut effects);
        let is_past_lease = now_ms >= self.leases.last_ms() + self.timing.lease_end_ms();
        if self.response_monitor.is_unresponsive() && is_past_lease {
            self.settle_by_lease_end(&mut effects);
            self.orphans.clear();
            if !self.is_open {
                self.is_open = true;
                effects.push(SupervisorEffect::Open);
            }
        }
        self.update_offer(now_ms);
        let free = self.free();
        for (key, session) in self.sessions.values_mut() {
            if session.is_change_due(free, now_ms) {
                session.record_report(free, now_ms);
                effects.push(SupervisorEffect::Report(*key));
            }
        }
        effects
    }

    /// Returns the next report for an entry, with the outcomes that were not sent yet; `None` if
    /// the session is unknown or disconnected. `with_upstream` is to be set for the first report on
    /// a connection and after a change of the upstream.
    pub fn report(&mut self, key: SessionKey, with_upstream: bool) -> Option<Report> {
        let is_open = self.accepts_attempts() && self.isolation.is_none();
        let free = self.free();
        let upstream = self.upstream.clone().filter(|_| with_upstream);
        let awaits_entries = self.claims.awaits_entries();
        let session = self.session_mut(key).filter(|session| session.is_connected)?;
        session.record_report(free, session.reported_ms);
        let outcomes = std::mem::take(&mut session.unsent);
        let crashes = std::mem::take(&mut session.unsent_crashes);
        let claims = std::mem::take(&mut session.unsent_claims);
        let (batches_seen, switches_seen) = (session.batches_seen, session.switches_seen);
        let load = Load { free, batches_seen, switches_seen, is_open, awaits_entries };
        Some(Report { upstream, load, outcomes, crashes, claims })
    }

    /// Returns the offered capacity that no run occupies.
    pub fn free(&self) -> Resources {
        self.runs.values().fold(self.offered, |free, run| free.saturating_sub(run.need))
    }

    fn has_capacity(&self, need: Resources) -> bool {
        need.fits_in(self.free())
    }

    fn accepts_attempts(&self) -> bool {
        let is_ready = self.upstream.as_ref().is_some_and(|up| up.state == UpstreamState::Ready);
        is_ready
            && self.is_open
            && !self.is_leaving
            && !self.response_monitor.is_unresponsive()
            && self.orphans.is_empty()
            && !self.is_capacity_outdated
            && !self.is_evacuated
    }

    fn session_mut(&mut self, key: SessionKey) -> Option<&mut Session> {
        self.sessions.values_mut().find(|(known, _)| *known == key).map(|(_, session)| session)
    }

    fn report_all(&self) -> Vec<SupervisorEffect> {
        self.sessions.values().map(|(key, _)| SupervisorEffect::Report(*key)).collect()
    }
}
