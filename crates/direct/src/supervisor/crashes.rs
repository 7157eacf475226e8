//! Crashes of the upstream, and the jobs that may be their cause.
//!
//! Load pattern: some tasks crash every upstream that starts them, and a dozen runs of other jobs
//! are lost with each. Almost always the cause has just started, so the jobs that started last are
//! suspected. Their entries learn of it at once, long before the leases of the lost runs have ended.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    AttemptOutcome, Crash, CrashNotice, Suspect, TaskId, UpstreamState,
    supervisor::{
        Supervisor, SupervisorEffect,
        run::{Phase, Run},
    },
};

/// Age up to which a run may be the cause of a crash, milliseconds: a task that crashes its upstream
/// does so when it is loaded. An entry counts the crashes that older runs share by itself.
pub(crate) const SUSPECT_AGE_MS: u64 = 30;
/// Time after the first failed call at which the suspects are determined, milliseconds; starts that
/// were refused meanwhile are not among them.
const SETTLING_MS: u64 = 5;
/// How long and how many crashes are kept for entries that connect later.
const KEPT_MS: u64 = 30_000;
const MAX_KEPT_CRASHES: usize = 16;

types::plain! {
    /// A crash, or an outage that may turn out to be one.
    #[derive(Copy, Eq)]
    pub(crate) enum Outage {
        /// Calls are unanswered since this time, milliseconds: a crash only if another incarnation
        /// follows.
        Unanswered(u64),
        /// Connections are refused, and calls fail since this time, milliseconds.
        Refused(u64),
        /// The crash was announced to the entries.
        Announced,
    }

    /// The present outage and the latest crashes.
    #[derive(Default)]
    pub(crate) struct Crashes {
        pub(crate) outage: Option<Outage>,
        /// Suspects of the present outage, if it is a crash.
        suspects: Vec<Suspect>,
        kept: VecDeque<(u64, Crash)>,
    }
}

impl Supervisor {
    /// Returns the outcome of runs that are lost now: whether the upstream has probably crashed.
    pub(crate) fn loss(&self) -> AttemptOutcome {
        match self.crashes.outage {
            Some(Outage::Refused(_) | Outage::Announced) => AttemptOutcome::Crashed,
            None | Some(Outage::Unanswered(_)) => AttemptOutcome::Lost,
        }
    }

    /// Notes an outage that began at `since_ms`.
    pub(crate) fn begin_outage(&mut self, since_ms: u64, is_refused: bool) {
        // An upstream that leaves ends by itself.
        if self.upstream.as_ref().is_none_or(|up| up.state == UpstreamState::Draining) {
            return;
        }
        let is_new = match self.crashes.outage {
            None => true,
            Some(Outage::Unanswered(_)) => is_refused,
            Some(Outage::Refused(_) | Outage::Announced) => false,
        };
        if is_new {
            self.crashes.suspects = self.suspects(since_ms);
            let outage = if is_refused { Outage::Refused } else { Outage::Unanswered };
            self.crashes.outage = Some(outage(since_ms));
        }
    }

    /// Announces a crash once its suspects are certain.
    pub(crate) fn announce_refusal(&mut self, now_ms: u64, effects: &mut Vec<SupervisorEffect>) {
        if let Some(Outage::Refused(since_ms)) = self.crashes.outage
            && now_ms >= since_ms + SETTLING_MS
        {
            self.crashes.suspects = self.suspects(since_ms);
            self.announce_crash(since_ms, effects);
        }
    }

    /// Handles the end of the upstream's incarnation, which another one has replaced. Unless it was
    /// leaving, it has crashed.
    pub(crate) fn on_incarnation_end(&mut self, now_ms: u64, effects: &mut Vec<SupervisorEffect>) {
        self.begin_outage(now_ms, false);
        if let Some(Outage::Unanswered(since_ms) | Outage::Refused(since_ms)) = self.crashes.outage
        {
            self.announce_crash(since_ms, effects);
        }
        self.await_fencing(self.loss(), effects);
        self.crashes.outage = None;
    }

    /// Handles an answer of an incarnation: an outage of the same one was no crash.
    pub(crate) fn on_outage_end(&mut self, incarnation: Option<u64>) -> Vec<SupervisorEffect> {
        let known = self.upstream.as_ref().map(|up| up.incarnation);
        if self.crashes.outage.is_none() || incarnation.is_none() || incarnation != known {
            return Vec::new();
        }
        let outage = self.crashes.outage.take();
        let Some(incarnation) = known.filter(|_| outage == Some(Outage::Announced)) else {
            return Vec::new();
        };
        self.crashes.kept.retain(|(_, crash)| crash.incarnation != incarnation);
        for (_, session) in self.sessions.values_mut() {
            session.unsent_crashes.push(CrashNotice::Refuted(incarnation));
        }
        self.report_all()
    }

    /// Returns the crashes that an entry which connects now may not know.
    pub(crate) fn kept_crashes(&self, now_ms: u64) -> Vec<CrashNotice> {
        let recent = self.crashes.kept.iter().filter(|(at_ms, _)| now_ms < at_ms + KEPT_MS);
        recent
            .map(|(at_ms, crash)| {
                CrashNotice::Crashed(Crash {
                    age_ms: now_ms.saturating_sub(*at_ms),
                    ..crash.clone()
                })
            })
            .collect()
    }

    fn announce_crash(&mut self, at_ms: u64, effects: &mut Vec<SupervisorEffect>) {
        self.crashes.outage = Some(Outage::Announced);
        let Some(incarnation) = self.upstream.as_ref().map(|up| up.incarnation) else { return };
        let suspects = std::mem::take(&mut self.crashes.suspects);
        let crash = Crash { incarnation, age_ms: 0, suspects };
        for (_, session) in self.sessions.values_mut() {
            session.unsent_crashes.push(CrashNotice::Crashed(crash.clone()));
        }
        self.crashes.kept.push_back((at_ms, crash.clone()));
        if self.crashes.kept.len() > MAX_KEPT_CRASHES {
            self.crashes.kept.pop_front();
        }
        effects.push(SupervisorEffect::Crashed(crash));
        effects.extend(self.report_all());
    }

    /// Returns the tasks that may be the cause of a crash at `at_ms`, the latest first: those that
    /// had just started. If none had, those that an entry already suspects are.
    fn suspects(&self, at_ms: u64) -> Vec<Suspect> {
        let has_started = |run: &Run| run.accepted_ms <= at_ms && run.phase != Phase::Held;
        let is_young = |run: &Run| at_ms - run.accepted_ms <= SUSPECT_AGE_MS;
        let mut runs: Vec<(&TaskId, &Run)> =
            self.runs.iter().filter(|(_, run)| has_started(run)).collect();
        if runs.iter().any(|(_, run)| is_young(run)) {
            runs.retain(|(_, run)| is_young(run));
        } else {
            runs.retain(|(_, run)| run.is_suspect);
        }
        runs.sort_by_key(|(_, run)| at_ms - run.accepted_ms);
        let suspect = |(task, run): (&TaskId, &Run)| Suspect {
            task: task.clone(),
            kind: Arc::clone(&run.kind),
        };
        runs.into_iter().map(suspect).collect()
    }
}
