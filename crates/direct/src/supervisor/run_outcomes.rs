//! Ends of runs, and the outcomes that are reported to their entries.

use crate::{
    AttemptId, AttemptOutcome, RunList, RunOutcome, SessionKey, SettledBy, TaskId, Upstream,
    supervisor::{
        Supervisor, SupervisorEffect,
        run::{EndedRun, Phase, StopReport},
    },
};

/// Maximum number of ended tasks whose run numbers are kept, so that a resubmitted task gets a
/// higher one; enough for the tasks that an upstream ends in the time in which a caller may
/// resubmit.
const MAX_RUN_NUMBERS: usize = 2_048;

impl Supervisor {
    /// Settles a run that the upstream lists as ended.
    pub(crate) fn on_run_end(
        &mut self,
        task: &TaskId,
        number: u32,
        run_outcome: RunOutcome,
        now_ms: u64,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        self.orphans.shift_remove(&(task.clone(), number));
        self.record_run_number(task, number, Some(now_ms));
        let Some(run) = self.runs.get(task).filter(|run| run.number == number) else {
            return;
        };
        let outcome = match (run_outcome, run.phase) {
            (RunOutcome::Done, Phase::Running { since_ms }) => AttemptOutcome::Done {
                run_ms: u32::try_from(now_ms.saturating_sub(since_ms)).unwrap_or(u32::MAX),
            },
            (RunOutcome::Done, _) => AttemptOutcome::Done { run_ms: 0 },
            (RunOutcome::Failed, _) => AttemptOutcome::Failed,
            (RunOutcome::Terminated, Phase::Stopping { report: StopReport::Stopped, .. }) => {
                AttemptOutcome::Stopped
            }
            (RunOutcome::Terminated, _) => AttemptOutcome::Lost,
        };
        self.finish(task, outcome, SettledBy::ListedEnd, effects);
    }

    /// Settles the runs that are missing from a list. A run has ended when its end is listed: an
    /// upstream may omit a run while it ends, and may be late with that, so absence shows its end only
    /// after the time in which all ends are listed. The same holds for a start that was never
    /// confirmed, which may have run: it is lost, not unstarted.
    pub(crate) fn settle_absent(&mut self, list: &RunList, effects: &mut Vec<SupervisorEffect>) {
        let mut absent = Vec::new();
        let known = self.runs.iter_mut().filter(|(_, run)| run.outcome_if_gone.is_none());
        for (task, run) in known {
            if list.contains(task, run.number) {
                run.absence.end();
                continue;
            }
            let outcome = match run.phase {
                Phase::Running { since_ms } if list.sent_ms > since_ms => AttemptOutcome::Lost,
                Phase::Stopping { acked_ms: Some(acked_ms), report }
                    if list.sent_ms >= acked_ms =>
                {
                    match report {
                        StopReport::Stopped => AttemptOutcome::Stopped,
                        StopReport::Unconfirmed => AttemptOutcome::Lost,
                    }
                }
                _ => continue,
            };
            if run.absence.record(list) >= self.timing.missing_after_ms() {
                absent.push((task.clone(), outcome));
            }
        }
        for (task, outcome) in absent {
            self.finish(&task, outcome, SettledBy::Absence, effects);
        }
    }

    /// Records which incarnation answers. Returns whether it is another one than before; `None` if the
    /// list was requested before the present one answered, and another one sent it: answers overtake
    /// each other.
    pub(crate) fn identify_incarnation(&mut self, list: &RunList) -> Option<bool> {
        let Some(incarnation) = list.incarnation else { return Some(false) };
        let announced = self.upstream.as_ref().map(|up| up.incarnation);
        let is_outdated = match self.answering {
            Some((known, _)) if known == incarnation => return Some(false),
            Some((_, since_ms)) => list.sent_ms < since_ms,
            None => announced > Some(incarnation) && list.sent_ms < self.heartbeat_ms,
        };
        if is_outdated {
            return None;
        }
        let earlier = self.answering.replace((incarnation, list.received_ms));
        self.orphans.clear();
        // Another life has seen no token, and carries out late orders of earlier agents until it has.
        self.controlled_ms = None;
        Some(earlier.is_some())
    }

    /// Returns whether this incarnation of the upstream has answered last.
    pub fn is_answering(&self, incarnation: Option<u64>) -> bool {
        incarnation.is_none() || self.answering.map(|(known, _)| known) == incarnation
    }

    /// Replaces the upstream if another incarnation answers at its address; returns whether runs may be
    /// left that were meant for the earlier one. `is_changed` tells whether another one answered before.
    /// The number of the new incarnation may be lower, because the time of day may be set back between
    /// the two. Its description is that of its last heartbeat, if one has come already.
    pub(crate) fn check_incarnation(
        &mut self,
        list: &RunList,
        is_changed: bool,
        effects: &mut Vec<SupervisorEffect>,
    ) -> bool {
        let Some(incarnation) = list.incarnation else { return false };
        let is_described =
            self.upstream.as_ref().is_some_and(|known| known.incarnation != incarnation);
        let is_replaced = is_described || (is_changed && !self.runs.is_empty());
        if is_replaced {
            self.on_incarnation_end(list.received_ms, effects);
            self.upstream = None;
            self.warm_up = None;
            self.update_offer(list.received_ms);
            self.run_numbers.clear();
            effects.extend(self.report_all());
        }
        let is_present = |(upstream, _): &mut (Upstream, i64)| upstream.incarnation == incarnation;
        if let Some((upstream, seq)) = self.announced.take_if(is_present) {
            effects.extend(self.on_heartbeat(upstream, seq, list.received_ms));
        }
        is_replaced
    }

    /// Settles the runs of an upstream whose last lease has ended; those whose start is still held have
    /// not started. It says nothing of what another incarnation may carry out, whose leases it does not
    /// bound: those runs wait for its answer.
    pub(crate) fn settle_by_lease_end(&mut self, effects: &mut Vec<SupervisorEffect>) {
        let present = self.upstream.as_ref().map_or(0, |up| up.incarnation);
        if self.announced.as_ref().is_some_and(|(next, _)| next.incarnation > present) {
            return;
        }
        let outcome = self.loss();
        let known = self.runs.iter().filter(|(_, run)| run.outcome_if_gone.is_none());
        let tasks: Vec<(TaskId, bool)> =
            known.map(|(task, run)| (task.clone(), run.phase == Phase::Held)).collect();
        for (task, is_held) in tasks {
            let outcome = if is_held { AttemptOutcome::NotStarted } else { outcome };
            self.finish(&task, outcome, SettledBy::LeaseEnd, effects);
        }
    }

    /// Frees the capacity of a run, records its number and reports the outcome to its entry.
    pub(crate) fn finish(
        &mut self,
        task: &TaskId,
        outcome: AttemptOutcome,
        by: SettledBy,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        let Some(run) = self.runs.shift_remove(task) else { return };
        self.record_run_number(task, run.number, None);
        self.settle(task, run.attempt, outcome, by, effects);
        if let Some((key, _)) = run.attempt {
            effects.push(SupervisorEffect::Report(key));
        }
    }

    /// Records that the run of a task with this number has ended, and when the list arrived that shows
    /// its end.
    fn record_run_number(&mut self, task: &TaskId, number: u32, listed_ms: Option<u64>) {
        let ended = self.run_numbers.entry(task.clone()).or_default();
        if number > ended.number {
            *ended = EndedRun { number, listed_ms };
        } else if number == ended.number {
            ended.listed_ms = ended.listed_ms.or(listed_ms);
        }
        if self.run_numbers.len() > MAX_RUN_NUMBERS {
            self.run_numbers.shift_remove_index(0);
        }
    }

    /// Records the outcome of an attempt for its session and for the log.
    pub(crate) fn settle(
        &mut self,
        task: &TaskId,
        attempt: Option<(SessionKey, AttemptId)>,
        outcome: AttemptOutcome,
        by: SettledBy,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        if let Some((key, id)) = attempt
            && let Some(session) = self.session_mut(key)
        {
            session.record_outcome(id, outcome);
        }
        effects.push(SupervisorEffect::Settled { task: task.clone(), attempt, outcome, by });
    }
}
