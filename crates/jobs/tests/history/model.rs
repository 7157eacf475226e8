use std::collections::BTreeMap;

use jobs::Submission;
use types::{AttemptKey, Failure, JobId, JobOutcome, Refusal, TaskKey};

/// One start of an attempt at an agent.
struct Start {
    key: AttemptKey,
    failed: bool,
}

/// Actual starts and what callers have received, independent of the state of the entries. The
/// model checks the guarantees on them.
#[derive(Default)]
pub(crate) struct Model {
    starts: BTreeMap<TaskKey, Vec<Start>>,
    /// Jobs that were reported to a caller as not run, until another copy of the submission
    /// arrives.
    reported_not_run: Vec<JobId>,
    pub(crate) violation: Option<String>,
    /// Number of times that the history has reached each situation.
    pub(crate) reached: BTreeMap<&'static str, u32>,
}

impl Model {
    pub(crate) fn count(&mut self, situation: &'static str) {
        *self.reached.entry(situation).or_default() += 1;
    }

    fn check(&mut self, holds: bool, guarantee: &str) {
        if !holds && self.violation.is_none() {
            self.violation = Some(guarantee.to_owned());
        }
    }

    pub(crate) fn on_start(&mut self, key: AttemptKey, idempotent: bool) {
        let earlier = self.starts.entry(key.task).or_default();
        let all_failed = earlier.iter().all(|start| start.failed);
        let is_first = earlier.is_empty();
        let is_retry = !is_first;
        earlier.push(Start { key, failed: false });
        self.count(if is_retry { "retry" } else { "start" });
        let is_reported_not_run = self.reported_not_run.contains(&key.task.job);
        self.check(
            !is_reported_not_run,
            &format!("{key} started after its caller was informed that it did not run"),
        );
        self.check(idempotent || is_first, &format!("{key} is not idempotent and started again"));
        self.check(all_failed, &format!("{key} started before the earlier attempt had failed"));
    }

    pub(crate) fn on_failure(&mut self, key: AttemptKey) {
        let starts = self.starts.get_mut(&key.task).unwrap();
        starts.iter_mut().filter(|start| start.key == key).for_each(|start| start.failed = true);
    }

    pub(crate) fn on_arrival(&mut self, id: JobId) {
        self.reported_not_run.retain(|reported| *reported != id);
    }

    fn on_not_run(&mut self, id: JobId) {
        let started = self.starts.keys().any(|task| task.job == id);
        self.check(
            !started,
            &format!("{id} has started, but its caller was informed that it did not"),
        );
        self.reported_not_run.push(id);
    }

    pub(crate) fn on_refusal(&mut self, id: JobId, refusal: &Refusal) {
        match refusal {
            Refusal::OutcomeUnknown => self.count("ambiguous"),
            Refusal::AnswerGone => self.count("answer gone"),
            _ => {}
        }
        if refusal.not_run() {
            self.on_not_run(id);
        }
    }

    pub(crate) fn on_outcome(&mut self, request: &Submission, id: JobId, outcome: &JobOutcome) {
        self.check(request.terms.id == id, "a caller got the answer of another job");
        match outcome {
            JobOutcome::Complete { answers } => {
                let answered: Vec<_> = answers.iter().map(|answer| &answer.payload).collect();
                let submitted: Vec<_> = request.payloads.iter().collect();
                self.count("complete");
                self.check(answered == submitted, "an answer is partial or belongs elsewhere");
            }
            JobOutcome::Failed { not_run: true, .. } => {
                self.count("not run");
                self.on_not_run(id);
            }
            JobOutcome::Failed { failure: Failure::OutcomeUnknown { .. }, .. } => {
                self.count("outcome unknown");
            }
            JobOutcome::Failed { .. } => self.count("failed"),
        }
    }
}
