//! Property test of the job table against a naive model that scans lists.

mod common;

use std::mem::size_of;

use common::{NOW_MS, answer, config, job_id, other_team, submission, table};
use jobs::{
    AttemptEffects, AttemptResult, CancelEffects, JobTable, RetryDecision, StartError, Submission,
    SubmitDecision, TableSettings,
};
use proptest::prelude::*;
use rpc::{NotStarted, TaskResult};
use types::{
    Answer, AttemptKey, AttemptNumber, Digest, Epoch, Failure, Incarnation, JobId, JobOutcome,
    Refusal, TaskIndex, TaskKey, TeamName, UpstreamName,
};

const WINDOW_MS: u64 = 4_000;
const SKEW_MS: u64 = 100;
const ANSWER_BYTES: usize = 400;

#[derive(Clone, Debug)]
enum Step {
    Submit { job: u8, other_content: bool, other_team: bool },
    Recorded { job: u8 },
    Begin { job: u8, index: u32 },
    End { job: u8, index: u32, attempt: u16, result: TaskResult, give_up: bool },
    Cancel { job: u8 },
    Tick { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let result = prop_oneof![
        4 => Just(TaskResult::Done(answer("\"some answer\""))),
        2 => Just(TaskResult::Failed("failed".into())),
        1 => Just(TaskResult::NotStarted(NotStarted::QueueFull)),
        1 => Just(TaskResult::Unknown("lost".into())),
    ];
    let index = 0..3u32;
    prop_oneof![
        4 => (0..5u8, prop::bool::weighted(0.1), prop::bool::weighted(0.1))
            .prop_map(|(job, other_content, other_team)| {
                Step::Submit { job, other_content, other_team }
            }),
        1 => (0..5u8).prop_map(|job| Step::Recorded { job }),
        6 => (0..5u8, index.clone()).prop_map(|(job, index)| Step::Begin { job, index }),
        6 => (0..5u8, index, 1..4u16, result, prop::bool::weighted(0.1)).prop_map(
            |(job, index, attempt, result, give_up)| {
                Step::End { job, index, attempt, result, give_up }
            }
        ),
        1 => (0..5u8).prop_map(|job| Step::Cancel { job }),
        1 => (1..1_500u64).prop_map(|ms| Step::Tick { ms }),
    ]
}

/// Observable result of one step.
#[derive(Clone, Debug, PartialEq)]
enum Observed {
    Start,
    Join,
    Refused(Refusal),
    Outcome(JobOutcome),
    Begun(Result<AttemptNumber, StartError>),
    Dropped,
    Pending,
    Dispatch,
    Expired(Vec<JobId>),
    Nothing,
}

#[derive(Clone, Debug)]
struct NaiveTask {
    attempt: u16,
    failures: u16,
    sent: bool,
    answer: Option<Answer>,
}

#[derive(Clone, Debug)]
struct NaiveJob {
    request: Submission,
    recorded: bool,
    deadline_ms: u64,
    tasks: Vec<NaiveTask>,
    outcome: Option<JobOutcome>,
    ended: bool,
}

struct Naive {
    now_ms: u64,
    /// Jobs in progress in any order, then the finished ones in the order in which they
    /// finished.
    jobs: Vec<NaiveJob>,
}

impl Naive {
    fn evict(&mut self) {
        let oldest_ms = self.now_ms - WINDOW_MS - SKEW_MS;
        self.jobs.retain(|job| !job.ended || job.request.terms.id.created_ms() >= oldest_ms);
        let size = |job: &NaiveJob| match &job.outcome {
            Some(JobOutcome::Complete { answers }) => {
                let answers = answers.iter().map(|a| size_of::<Answer>() + a.payload.len());
                size_of::<JobOutcome>() + answers.sum::<usize>()
            }
            Some(JobOutcome::Failed { .. }) => size_of::<JobOutcome>(),
            None => 0,
        };
        while self.jobs.iter().map(size).sum::<usize>() > ANSWER_BYTES {
            let oldest = self.jobs.iter_mut().find(|job| job.outcome.is_some()).unwrap();
            oldest.outcome = None;
        }
    }

    fn live(&mut self, id: JobId) -> Option<&mut NaiveJob> {
        self.jobs.iter_mut().find(|job| job.request.terms.id == id && !job.ended)
    }

    fn submit(&mut self, request: &Submission) -> Observed {
        self.evict();
        let id = request.terms.id;
        if let Some(job) = self.jobs.iter().find(|job| job.request.terms.id == id) {
            return match &job.outcome {
                _ if job.request.terms.team != request.terms.team => {
                    Observed::Refused(Refusal::UnknownJob)
                }
                _ if job.request.terms.digest != request.terms.digest => {
                    Observed::Refused(Refusal::Conflict)
                }
                Some(outcome) => Observed::Outcome(outcome.clone()),
                None if job.ended => Observed::Refused(Refusal::AnswerGone),
                None => Observed::Join,
            };
        }
        if id.created_ms() < self.now_ms - WINDOW_MS {
            return Observed::Refused(Refusal::Expired { window_ms: WINDOW_MS });
        }
        let task = NaiveTask { attempt: 0, failures: 0, sent: false, answer: None };
        self.jobs.push(NaiveJob {
            deadline_ms: request.terms.deadline_ms,
            tasks: vec![task; request.payloads.len()],
            request: request.clone(),
            recorded: false,
            outcome: None,
            ended: false,
        });
        Observed::Start
    }

    fn begin(&mut self, id: JobId, index: u32) -> Result<AttemptNumber, StartError> {
        let now_ms = self.now_ms;
        let job = self.live(id).ok_or(StartError::NoSuchJob)?;
        if now_ms >= job.deadline_ms {
            return Err(StartError::DeadlinePassed);
        }
        if !job.request.terms.idempotent && !job.recorded {
            return Err(StartError::NotRecorded);
        }
        let task = job.tasks.get_mut(index as usize).ok_or(StartError::NoSuchTask)?;
        if task.sent || task.answer.is_some() {
            return Err(StartError::NotWaiting);
        }
        task.sent = true;
        task.attempt += 1;
        Ok(AttemptNumber(task.attempt))
    }

    fn end(&mut self, key: AttemptKey, result: TaskResult, give_up: bool) -> Observed {
        let index = key.task.index.0;
        let Some(job) = self.live(key.task.job) else { return Observed::Dropped };
        let idempotent = job.request.terms.idempotent;
        let Some(task) = job.tasks.get_mut(index as usize) else { return Observed::Dropped };
        if !task.sent || task.attempt != key.attempt.0 {
            return Observed::Dropped;
        }
        task.sent = false;
        match result {
            TaskResult::Done(answer) => {
                task.answer = Some(answer);
                let answers = job.tasks.iter().map(|task| task.answer.clone()).collect();
                match answers {
                    Some(answers) => self.finish(key.task.job, JobOutcome::Complete { answers }),
                    None => Observed::Pending,
                }
            }
            TaskResult::Failed(message) => {
                task.failures += 1;
                if idempotent && !give_up && task.failures < 3 {
                    return Observed::Dispatch;
                }
                self.fail(
                    key.task.job,
                    Failure::TaskFailed { index, upstream: upstream(), message },
                )
            }
            TaskResult::NotStarted(_) if give_up => self.fail(key.task.job, Failure::NoUpstream),
            TaskResult::NotStarted(_) => Observed::Dispatch,
            TaskResult::Unknown(_) => {
                task.sent = true;
                self.fail(key.task.job, Failure::OutcomeUnknown { index })
            }
        }
    }

    fn fail(&mut self, id: JobId, failure: Failure) -> Observed {
        let Some(job) = self.live(id) else { return Observed::Nothing };
        let is_unstarted =
            |task: &NaiveTask| !task.sent && task.answer.is_none() && task.failures == 0;
        let not_run = job.tasks.iter().all(is_unstarted);
        self.finish(id, JobOutcome::Failed { failure, not_run })
    }

    fn finish(&mut self, id: JobId, outcome: JobOutcome) -> Observed {
        let at = self.jobs.iter().position(|job| job.request.terms.id == id).unwrap();
        let mut job = self.jobs.remove(at);
        job.ended = true;
        job.outcome = Some(outcome.clone());
        self.jobs.push(job);
        self.evict();
        Observed::Outcome(outcome)
    }

    fn cancel(&mut self, id: JobId, team: &TeamName) -> Observed {
        let is_match =
            |job: &&NaiveJob| job.request.terms.id == id && job.request.terms.team == *team;
        let Some(job) = self.jobs.iter().find(is_match) else {
            return Observed::Refused(Refusal::UnknownJob);
        };
        match &job.outcome {
            Some(outcome) => Observed::Outcome(outcome.clone()),
            None if job.ended => Observed::Refused(Refusal::AnswerGone),
            None => self.fail(id, Failure::Cancelled),
        }
    }

    fn expire(&mut self) -> Vec<JobId> {
        let mut expired: Vec<_> = self
            .jobs
            .iter()
            .filter(|job| !job.ended && job.deadline_ms <= self.now_ms)
            .map(|job| (job.deadline_ms, job.request.terms.id))
            .collect();
        expired.sort_unstable();
        let ids: Vec<_> = expired.into_iter().map(|(_, id)| id).collect();
        for id in &ids {
            self.fail(*id, Failure::DeadlineExceeded);
        }
        ids
    }
}

fn upstream() -> UpstreamName {
    "oven-1".parse().unwrap()
}

fn request(job: u8, now_ms: u64) -> Submission {
    let id = job_id(NOW_MS + u64::from(job), job);
    submission(id, 1 + u32::from(job) % 3, job != 1, now_ms)
}

fn observe_effects(effects: AttemptEffects<()>) -> Observed {
    match effects {
        AttemptEffects::Dropped(_) => Observed::Dropped,
        AttemptEffects::Pending => Observed::Pending,
        AttemptEffects::Dispatch(_) => Observed::Dispatch,
        AttemptEffects::Finished(job) => Observed::Outcome((*job.outcome).clone()),
        AttemptEffects::OwnerStale(_) => Observed::Nothing,
    }
}

fn observe_decision(decision: SubmitDecision) -> Observed {
    match decision {
        SubmitDecision::Start(_) => Observed::Start,
        SubmitDecision::Join => Observed::Join,
        SubmitDecision::Finished(outcome) => Observed::Outcome((*outcome).clone()),
        SubmitDecision::Refuse(refusal) => Observed::Refused(refusal),
        SubmitDecision::Resume(_) | SubmitDecision::NotOwner => Observed::Nothing,
    }
}

/// Applies a step to the table and to the model; returns the observable result of each.
fn apply(table: &mut JobTable<()>, naive: &mut Naive, step: Step) -> [Observed; 2] {
    let now_ms = naive.now_ms;
    match step {
        Step::Submit { job, other_content, other_team: is_other } => {
            let mut request = request(job, now_ms);
            if other_content {
                request.terms.digest = Digest::of_bytes(b"other");
            }
            if is_other {
                request.terms.team = other_team();
            }
            [observe_decision(table.submit(request.clone(), now_ms)), naive.submit(&request)]
        }
        Step::Recorded { job } => {
            let id = request(job, now_ms).terms.id;
            table.mark_recorded(id);
            naive.live(id).into_iter().for_each(|job| job.recorded = true);
            [Observed::Nothing, Observed::Nothing]
        }
        Step::Begin { job, index } => {
            let id = request(job, now_ms).terms.id;
            let key = TaskKey { job: id, index: TaskIndex(index) };
            let begun = table.begin_attempt(key, upstream(), Incarnation::from_u128(1), now_ms);
            let begun = begun.map(|permit| permit.key.attempt);
            [Observed::Begun(begun), Observed::Begun(naive.begin(id, index))]
        }
        Step::End { job, index, attempt, result, give_up } => {
            let task = TaskKey { job: request(job, now_ms).terms.id, index: TaskIndex(index) };
            let key = AttemptKey { task, attempt: AttemptNumber(attempt) };
            let decision = if give_up { RetryDecision::GiveUp } else { RetryDecision::Retry };
            let (epoch, upstream) = (Epoch(1), upstream());
            let end = AttemptResult { key, epoch, upstream, result: result.clone() };
            [
                observe_effects(table.on_attempt_result(end, decision, now_ms)),
                naive.end(key, result, give_up),
            ]
        }
        Step::Cancel { job } => {
            let terms = request(job, now_ms).terms;
            let cancelled = match table.cancel(terms.id, &terms.team, now_ms) {
                Ok(CancelEffects::Finished(job)) => Observed::Outcome((*job.outcome).clone()),
                Ok(CancelEffects::AlreadyFinished(outcome)) => {
                    Observed::Outcome((*outcome).clone())
                }
                Err(refusal) => Observed::Refused(refusal),
            };
            [cancelled, naive.cancel(terms.id, &terms.team)]
        }
        Step::Tick { ms } => {
            naive.now_ms += ms;
            naive.evict();
            table.evict(naive.now_ms);
            table.confirm(&table.owned(), naive.now_ms);
            let expired = table.expire(naive.now_ms).into_iter().map(|job| job.id);
            [Observed::Expired(expired.collect()), Observed::Expired(naive.expire())]
        }
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn table_equals_naive_table(steps in prop::collection::vec(step(), 1..150)) {
        let settings = TableSettings::builder()
            .window_ms(WINDOW_MS)
            .clock_skew_ms(SKEW_MS)
            .max_answer_bytes(ANSWER_BYTES)
            .build();
        let mut table: JobTable<()> = table(settings);
        let mut naive = Naive { now_ms: NOW_MS, jobs: Vec::new() };
        for step in steps {
            let [observed, expected] = apply(&mut table, &mut naive, step);
            prop_assert_eq!(observed, expected);
            let sizes = table.sizes();
            let ended = naive.jobs.iter().filter(|job| job.ended).count();
            let retained = naive.jobs.iter().filter(|job| job.outcome.is_some()).count();
            prop_assert_eq!((sizes.live, sizes.finished), (naive.jobs.len() - ended, ended));
            prop_assert_eq!(sizes.retained, retained);
            prop_assert!(sizes.retained_bytes <= ANSWER_BYTES);
            prop_assert_eq!(sizes.live_bytes == 0, sizes.live == 0);
        }
    }
}
