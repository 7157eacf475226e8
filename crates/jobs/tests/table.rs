//! Tests of single decisions of the job table.

mod common;

use common::{NOW_MS, answer, first_epoch, is_start, job_id, other_team, submission, table};
use jobs::{
    AttemptEffects, AttemptResult, DropReason, JobRecord, JobTable, RetryDecision, StartError,
    SubmitDecision, TableSettings,
};
use rpc::{NotStarted, TaskResult};
use services::Acceptance;
use types::{
    AttemptKey, Digest, Epoch, Failure, Incarnation, JobId, JobOutcome, Partition, PartitionCount,
    Refusal, TaskIndex, TaskKey, UpstreamName,
};

fn upstream() -> UpstreamName {
    "oven-1".parse().unwrap()
}

fn settings() -> TableSettings {
    TableSettings::builder().window_ms(60_000).clock_skew_ms(100).build()
}

fn begin(table: &mut JobTable<u32>, id: JobId, index: u32) -> Result<AttemptKey, StartError> {
    let key = TaskKey { job: id, index: TaskIndex(index) };
    table.begin_attempt(key, upstream(), Incarnation::from_u128(1), NOW_MS).map(|permit| permit.key)
}

fn end_attempt(
    table: &mut JobTable<u32>,
    key: AttemptKey,
    result: TaskResult,
) -> AttemptEffects<u32> {
    let attempt_result = AttemptResult { key, epoch: Epoch(1), upstream: upstream(), result };
    table.on_attempt_result(attempt_result, RetryDecision::Retry, NOW_MS)
}

fn accepted_job(idempotent: bool, tasks: u32) -> (JobTable<u32>, JobId) {
    let mut table = table(settings());
    let id = job_id(NOW_MS, 1);
    assert!(is_start(&table.submit(submission(id, tasks, idempotent, NOW_MS), NOW_MS)));
    (table, id)
}

fn outcome(effects: AttemptEffects<u32>) -> JobOutcome {
    match effects {
        AttemptEffects::Finished(job) => (*job.outcome).clone(),
        other => panic!("not finished: {other:?}"),
    }
}

types::cases! {
    fn id_outside_the_window_is_refused(created_ms: u64, expected: Refusal) {
        let mut table = table::<u32>(settings());
        let decision = table.submit(submission(job_id(created_ms, 1), 1, true, NOW_MS), NOW_MS);
        assert_eq!(decision, SubmitDecision::Refuse(expected));
    }
    older_than_the_window: (NOW_MS - 60_001, Refusal::Expired { window_ms: 60_000 }),
    beyond_the_skew: (NOW_MS + 101, Refusal::FutureId),
}

types::cases! {
    fn attempt_result_ends_job(idempotent: bool, result: TaskResult, expected: JobOutcome) {
        let (mut table, id) = accepted_job(idempotent, 1);
        table.mark_recorded(id);
        let key = begin(&mut table, id, 0).unwrap();
        assert_eq!(outcome(end_attempt(&mut table, key, result)), expected);
    }
    answer_completes: (
        true,
        TaskResult::Done(answer("1")),
        JobOutcome::Complete { answers: vec![answer("1")] },
    ),
    unknown_fails_even_when_idempotent: (
        true,
        TaskResult::Unknown("lost".into()),
        JobOutcome::Failed { failure: Failure::OutcomeUnknown { index: 0 }, not_run: false },
    ),
    failure_is_final_when_not_idempotent: (
        false,
        TaskResult::Failed("burnt".into()),
        JobOutcome::Failed {
            failure: Failure::TaskFailed {
                index: 0,
                upstream: upstream(),
                message: "burnt".into(),
            },
            not_run: false,
        },
    ),
}

#[test]
fn other_content_and_other_team_are_refused() {
    let (mut table, id) = accepted_job(true, 1);
    let mut other = submission(id, 1, true, NOW_MS);
    other.terms.digest = Digest::of_bytes(b"other");
    assert_eq!(table.submit(other, NOW_MS), SubmitDecision::Refuse(Refusal::Conflict));
    let mut other = submission(id, 1, true, NOW_MS);
    other.terms.team = other_team();
    assert_eq!(table.submit(other, NOW_MS), SubmitDecision::Refuse(Refusal::UnknownJob));
    assert_eq!(table.status(id, &other_team()), Err(Refusal::UnknownJob));
    assert_eq!(table.cancel(id, &other_team(), NOW_MS).unwrap_err(), Refusal::UnknownJob);
}

#[test]
fn second_start_of_a_task_is_refused() {
    let (mut table, id) = accepted_job(true, 1);
    assert!(begin(&mut table, id, 0).is_ok());
    assert_eq!(begin(&mut table, id, 0), Err(StartError::NotWaiting));
    assert_eq!(table.submit(submission(id, 1, true, NOW_MS), NOW_MS), SubmitDecision::Join);
}

#[test]
fn start_waits_for_the_record_of_a_job_that_is_not_idempotent() {
    let (mut table, id) = accepted_job(false, 1);
    assert_eq!(begin(&mut table, id, 0), Err(StartError::NotRecorded));
    table.mark_recorded(id);
    assert!(begin(&mut table, id, 0).is_ok());
}

types::cases! {
    fn recorded_acceptance(age_ms: u64, unconfirmed_ms: u64, expected: Acceptance) {
        let mut table = table::<u32>(settings());
        let now_ms = NOW_MS + unconfirmed_ms;
        let request = submission(job_id(now_ms - age_ms, 1), 1, true, now_ms);
        let SubmitDecision::Start(JobRecord::Accepted(record)) = table.submit(request, now_ms)
        else {
            panic!("not started");
        };
        assert_eq!(record.terms.acceptance, expected);
    }
    behind_for_a_recent_id: (10_000, 0, Acceptance::Behind),
    before_the_start_for_a_late_id: (10_001, 0, Acceptance::BeforeStart),
    behind_while_unconfirmed: (0, 1_000, Acceptance::Behind),
}

#[test]
fn job_accepted_while_unconfirmed_starts_once_confirmed_without_a_durable_record() {
    const UNCONFIRMED_MS: u64 = 1_000;
    let mut table = table::<u32>(settings());
    let now_ms = NOW_MS + UNCONFIRMED_MS;
    let id = job_id(now_ms, 1);
    table.submit(submission(id, 1, true, now_ms), now_ms);
    let key = TaskKey { job: id, index: TaskIndex(0) };
    let agent = Incarnation::from_u128(1);
    let start = |table: &mut JobTable<u32>| table.begin_attempt(key, upstream(), agent, now_ms);
    assert_eq!(start(&mut table), Err(StartError::Unconfirmed));
    table.confirm(&table.owned(), now_ms);
    assert!(start(&mut table).is_ok());
}

#[test]
fn late_answer_of_an_earlier_attempt_is_dropped() {
    let (mut table, id) = accepted_job(true, 1);
    let first = begin(&mut table, id, 0).unwrap();
    assert!(matches!(
        end_attempt(&mut table, first, TaskResult::Failed("x".into())),
        AttemptEffects::Dispatch(_)
    ));
    let second = begin(&mut table, id, 0).unwrap();
    assert_eq!(
        end_attempt(&mut table, first, TaskResult::Done(answer("1"))),
        AttemptEffects::Dropped(DropReason::OtherAttempt)
    );
    let complete = JobOutcome::Complete { answers: vec![answer("2")] };
    assert_eq!(outcome(end_attempt(&mut table, second, TaskResult::Done(answer("2")))), complete);
    assert_eq!(
        table.submit(submission(id, 1, true, NOW_MS), NOW_MS),
        SubmitDecision::Finished(complete.into())
    );
}

#[test]
fn answer_to_a_request_of_another_epoch_is_dropped() {
    let (mut table, id) = accepted_job(true, 1);
    let key = begin(&mut table, id, 0).unwrap();
    let result = TaskResult::NotStarted(NotStarted::StaleEpoch);
    let attempt_result = AttemptResult { key, epoch: Epoch(0), upstream: upstream(), result };
    let effects = table.on_attempt_result(attempt_result, RetryDecision::Retry, NOW_MS);
    assert_eq!(effects, AttemptEffects::Dropped(DropReason::OtherEpoch));
    assert_eq!(begin(&mut table, id, 0), Err(StartError::NotWaiting));
}

#[test]
fn agent_restart_after_a_resend_leaves_the_outcome_unknown() {
    let (mut table, id) = accepted_job(true, 1);
    let key = begin(&mut table, id, 0).unwrap();
    table.resend_attempt(key, &upstream(), NOW_MS).unwrap();
    let restarted = TaskResult::NotStarted(NotStarted::OtherIncarnation);
    assert_eq!(
        outcome(end_attempt(&mut table, key, restarted)),
        JobOutcome::Failed { failure: Failure::OutcomeUnknown { index: 0 }, not_run: false }
    );
}

#[test]
fn unstarted_job_is_reported_as_not_run_only_while_confirmed() {
    for (now_ms, expected) in [(NOW_MS + 500, true), (NOW_MS + 1_000, false)] {
        let (mut table, id) = accepted_job(true, 2);
        let job = table.fail(id, Failure::Cancelled, now_ms).unwrap();
        let expected = JobOutcome::Failed { failure: Failure::Cancelled, not_run: expected };
        assert_eq!(*job.outcome, expected);
    }
}

#[test]
fn unconfirmed_owner_neither_starts_nor_resends() {
    let (mut table, id) = accepted_job(true, 2);
    table.mark_recorded(id);
    let resent = begin(&mut table, id, 1).unwrap();
    let later_ms = NOW_MS + 2_000;
    let key = TaskKey { job: id, index: TaskIndex(0) };
    let agent = Incarnation::from_u128(1);
    assert_eq!(table.begin_attempt(key, upstream(), agent, later_ms), Err(StartError::Unconfirmed));
    assert_eq!(table.resend_attempt(resent, &upstream(), later_ms), Err(StartError::Unconfirmed));
    table.confirm(&table.owned(), later_ms);
    assert!(table.begin_attempt(key, upstream(), agent, later_ms).is_ok());
}

#[test]
fn confirmation_covers_only_the_queried_epochs() {
    let mut table: JobTable<u32> = JobTable::new(settings(), PartitionCount(4));
    let queried = table.owned();
    table.restore(first_epoch(PartitionCount(4)));
    table.confirm(&queried, NOW_MS);
    let id = job_id(NOW_MS, 1);
    table.submit(submission(id, 1, true, NOW_MS), NOW_MS);
    table.mark_recorded(id);
    assert_eq!(begin(&mut table, id, 0), Err(StartError::Unconfirmed));
    table.confirm(&table.owned(), NOW_MS);
    assert!(begin(&mut table, id, 0).is_ok());
}

#[test]
fn fence_returns_jobs_without_claiming_that_nothing_ran() {
    let (mut table, id) = accepted_job(true, 1);
    table.add_waiter(id, 7);
    let partition = table.owned().into_iter().map(|owned| owned.partition);
    let fenced: Vec<_> = partition
        .collect::<Vec<Partition>>()
        .into_iter()
        .flat_map(|p| table.fence(p, Epoch(2)))
        .collect();
    assert_eq!(fenced.len(), 1);
    assert_eq!(fenced[0].waiters, [7]);
    assert!(!fenced[0].refusal.not_run());
    assert_eq!(begin(&mut table, id, 0), Err(StartError::NoSuchJob));
    assert_eq!(table.submit(submission(id, 1, true, NOW_MS), NOW_MS), SubmitDecision::NotOwner);
}

#[test]
fn answers_beyond_the_limit_leave_tombstones() {
    let settings = TableSettings::builder().window_ms(60_000).max_answer_bytes(200).build();
    let mut table = table::<u32>(settings);
    for n in 0..4 {
        let id = job_id(NOW_MS, n);
        table.submit(submission(id, 1, true, NOW_MS), NOW_MS);
        let key = begin(&mut table, id, 0).unwrap();
        end_attempt(&mut table, key, TaskResult::Done(answer(&"1".repeat(60))));
    }
    let resubmit = |table: &mut JobTable<u32>, n| {
        table.submit(submission(job_id(NOW_MS, n), 1, true, NOW_MS), NOW_MS)
    };
    assert_eq!(resubmit(&mut table, 0), SubmitDecision::Refuse(Refusal::AnswerGone));
    assert!(matches!(resubmit(&mut table, 3), SubmitDecision::Finished(_)));
    assert!(table.sizes().retained_bytes <= 200);
    table.evict(NOW_MS + 1_000_000);
    assert_eq!(table.sizes().finished, 0);
    assert_eq!(table.sizes().retained_bytes, 0);
    assert_eq!(
        resubmit(&mut table, 0),
        SubmitDecision::Refuse(Refusal::Expired { window_ms: 60_000 })
    );
}

#[test]
fn limit_on_finished_jobs_expires_the_oldest() {
    let settings = TableSettings::builder().window_ms(60_000).max_finished(2).build();
    let mut table = table::<u32>(settings);
    for n in 0..4 {
        let id = job_id(NOW_MS + u64::from(n), n);
        table.submit(submission(id, 1, true, NOW_MS), NOW_MS);
        table.fail(id, Failure::Cancelled, NOW_MS);
    }
    assert_eq!(table.sizes().finished, 2);
    let decision = table.submit(submission(job_id(NOW_MS, 0), 1, true, NOW_MS), NOW_MS);
    assert_eq!(decision, SubmitDecision::Refuse(Refusal::Expired { window_ms: 60_000 }));
}

#[test]
fn deadlines_expire_in_order() {
    let (mut table, id) = accepted_job(true, 1);
    let key = begin(&mut table, id, 0).unwrap();
    assert_eq!(table.next_deadline_ms(), Some(NOW_MS + 5_000));
    assert!(table.expire(NOW_MS + 4_999).is_empty());
    let expired = table.expire(NOW_MS + 5_000);
    assert_eq!(expired[0].cancel[0].key, key);
    let failure = Failure::DeadlineExceeded;
    assert_eq!(*expired[0].outcome, JobOutcome::Failed { failure, not_run: false });
    assert_eq!(table.sizes().live_bytes, 0);
}
