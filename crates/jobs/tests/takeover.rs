//! Tests of what a takeover restores from the records of previous owners and the reports of
//! agents.

mod common;

use common::{NOW_MS, answer, entry, job_id, submission};
use jobs::{
    AcceptedRecord, AmbiguousPeriod, Claim, ClaimRecord, FinishedRecord, JobRecord, JobTable,
    OutcomeClass, OwnershipState, PartitionClaim, PositionedClaim, Release, RestoredState,
    ResumeStep, ServedRecord, Submission, SubmitDecision, TableSettings, Takeover,
};
use ports::Offset;
use rpc::{AttemptState, OwnedPartition, StartedAttempt, StartedReport, TaskResult};
use types::{
    AttemptKey, AttemptNumber, Epoch, Failure, Incarnation, JobId, JobOutcome, Partition,
    PartitionCount, Refusal, TaskIndex, TaskKey,
};

const COUNT: PartitionCount = PartitionCount(1);
const AGENTS: usize = 3;
const FULL_MEMORY_MS: u64 = 1_000_000;
const CLAIMED_MS: u64 = NOW_MS + 10;
const SERVED_MS: u64 = CLAIMED_MS + 1_000;

fn claim(n: u8, replaces: u64, offset: u64) -> PositionedClaim {
    let partitions = vec![PartitionClaim { partition: Partition(0), replaces: Epoch(replaces) }];
    let claim = Claim { owner: entry(n, 1), partitions, claimed_ms: NOW_MS - 500 };
    PositionedClaim { offset: Offset(offset), record: ClaimRecord::Claim(claim) }
}

/// Returns a takeover from entry 0 by entry 1 with the given records and a complete stream.
fn takeover(released: bool, records: Vec<JobRecord>) -> Takeover {
    let mut ownership = OwnershipState::new(COUNT);
    ownership.apply(&claim(0, 0, 0));
    let owned = vec![OwnedPartition { partition: Partition(0), epoch: Epoch(1) }];
    if released {
        let release = ClaimRecord::Release(Release { owner: entry(0, 1), partitions: owned });
        ownership.apply(&PositionedClaim { offset: Offset(1), record: release });
    }
    let owned = ownership.apply(&claim(1, 1, 2));
    let settings = TableSettings::builder().clock_skew_ms(100).build();
    let mut takeover = Takeover::new(settings, COUNT, &owned, &ownership, CLAIMED_MS);
    (0..AGENTS).for_each(|n| takeover.expect_agent(format!("oven-{n}").parse().unwrap()));
    records.into_iter().for_each(|record| takeover.add_record(&entry(0, 1), record));
    takeover.on_stream_read(&entry(0, 1), true);
    takeover
}

fn report(takeover: &mut Takeover, n: usize, memory_ms: u64, attempts: &[StartedAttempt]) {
    let report = StartedReport {
        incarnation: Incarnation::from_u128(n as u128),
        memory_ms,
        attempts: attempts.to_vec(),
    };
    let queried = takeover.owned();
    takeover.on_agent_report(&format!("oven-{n}").parse().unwrap(), &queried, report, CLAIMED_MS);
}

fn accepted(request: &Submission) -> JobRecord {
    JobRecord::Accepted(AcceptedRecord {
        terms: request.terms.clone(),
        owned: OwnedPartition { partition: Partition(0), epoch: Epoch(1) },
        payloads: (!request.wait).then(|| request.payloads.clone()),
    })
}

fn attempt(id: JobId, index: u32, state: AttemptState) -> StartedAttempt {
    let task = TaskKey { job: id, index: TaskIndex(index) };
    StartedAttempt { key: AttemptKey { task, attempt: AttemptNumber::FIRST }, state }
}

fn done(text: &str) -> AttemptState {
    AttemptState::Ended(TaskResult::Done(answer(text)))
}

fn serve(takeover: Takeover) -> JobTable<u32> {
    let settings = TableSettings::builder().clock_skew_ms(100).build();
    let mut table = JobTable::new(settings, COUNT);
    table.restore(takeover.finish(SERVED_MS).unwrap());
    table.confirm(&table.owned(), SERVED_MS);
    table
}

/// Takes over one job of two tasks and submits it again. Of the agents, `reporting` report; the
/// first one reports `attempts`.
fn resubmit_after_takeover(
    reporting: usize,
    attempts: &[StartedAttempt],
    idempotent: bool,
) -> SubmitDecision {
    let request = submission(job_id(NOW_MS, 1), 2, idempotent, NOW_MS);
    let mut takeover = takeover(false, vec![accepted(&request)]);
    report(&mut takeover, 0, FULL_MEMORY_MS, attempts);
    (1..reporting).for_each(|n| report(&mut takeover, n, FULL_MEMORY_MS, &[]));
    serve(takeover).submit(request, SERVED_MS)
}

fn unknown(index: u32) -> SubmitDecision {
    let failure = Failure::OutcomeUnknown { index };
    SubmitDecision::Finished(JobOutcome::Failed { failure, not_run: false }.into())
}

types::cases! {
    fn job_fails_as_unknown(reporting: usize, state: AttemptState, idempotent: bool, index: u32) {
        let attempts = [attempt(job_id(NOW_MS, 1), 0, state)];
        assert_eq!(resubmit_after_takeover(reporting, &attempts, idempotent), unknown(index));
    }
    task_may_have_started_at_an_unresponsive_agent: (2, AttemptState::Running, true, 1),
    answer_was_discarded: (3, AttemptState::AnswerGone, true, 0),
    attempt_has_an_unknown_outcome:
        (3, AttemptState::Ended(TaskResult::Unknown("lost".into())), false, 0),
}

#[test]
fn tasks_continue_from_what_agents_report() {
    let id = job_id(NOW_MS, 1);
    let attempts = [attempt(id, 0, AttemptState::Running)];
    let SubmitDecision::Resume(plan) = resubmit_after_takeover(3, &attempts, false) else {
        panic!()
    };
    assert!(matches!(&plan.steps[0], ResumeStep::JoinAttempt(target)
        if target.key == attempts[0].key && target.upstream.as_str() == "oven-0"));
    assert_eq!(plan.steps[1], ResumeStep::Dispatch(TaskIndex(1)));
    let attempts = [attempt(id, 0, done("1")), attempt(id, 1, done("2"))];
    let answers = vec![answer("1"), answer("2")];
    let complete = SubmitDecision::Finished(JobOutcome::Complete { answers }.into());
    assert_eq!(resubmit_after_takeover(3, &attempts, false), complete);
}

#[test]
fn failed_attempt_is_retried_only_when_idempotent() {
    let failed = AttemptState::Ended(TaskResult::Failed("failed".into()));
    let attempts = [attempt(job_id(NOW_MS, 1), 0, failed)];
    assert!(matches!(resubmit_after_takeover(3, &attempts, true), SubmitDecision::Resume(_)));
    assert!(
        matches!(resubmit_after_takeover(3, &attempts, false), SubmitDecision::Finished(outcome)
        if matches!(&*outcome, JobOutcome::Failed { not_run: false, .. }))
    );
}

#[test]
fn finished_job_returns_its_answer_or_reports_that_it_was_discarded() {
    let request = submission(job_id(NOW_MS, 1), 1, true, NOW_MS);
    let terms = &request.terms;
    let finished = JobRecord::Finished(FinishedRecord {
        id: terms.id,
        team: terms.team.clone(),
        digest: terms.digest,
        epoch: Epoch(1),
        class: OutcomeClass::Complete,
    });
    let outcome = JobOutcome::Complete { answers: vec![answer("1")] };
    let answered = attempt(terms.id, 0, done("1"));
    for (attempts, expected) in [
        (vec![answered], SubmitDecision::Finished(outcome.into())),
        (vec![], SubmitDecision::Refuse(Refusal::AnswerGone)),
    ] {
        let mut takeover = takeover(false, vec![accepted(&request), finished.clone()]);
        report(&mut takeover, 0, FULL_MEMORY_MS, &attempts);
        report(&mut takeover, 1, FULL_MEMORY_MS, &[]);
        assert_eq!(serve(takeover).submit(request.clone(), SERVED_MS), expected);
    }
}

/// Returns the ambiguous periods after the loss of an owner whose last record is of [`NOW_MS`].
/// `memory_ms` is how far back each agent remembers; `None` for an agent that does not report.
fn ambiguous(memory_ms: [Option<u64>; AGENTS]) -> Vec<AmbiguousPeriod> {
    let request = submission(job_id(NOW_MS, 1), 1, true, NOW_MS);
    let mut takeover = takeover(false, vec![accepted(&request)]);
    for (n, memory_ms) in memory_ms.into_iter().enumerate() {
        memory_ms.into_iter().for_each(|ms| report(&mut takeover, n, ms, &[]));
    }
    let restored: RestoredState = takeover.finish(SERVED_MS).unwrap();
    restored.partitions[0].ambiguous_periods.clone()
}

types::cases! {
    fn ambiguous_ids(memory_ms: [Option<u64>; AGENTS], expected: Vec<AmbiguousPeriod>) {
        assert_eq!(ambiguous(memory_ms), expected);
    }
    none_when_every_agent_remembers_all_starts: ([Some(FULL_MEMORY_MS); AGENTS], vec![]),
    ids_around_the_loss_when_an_agent_does_not_report: (
        [Some(FULL_MEMORY_MS), Some(FULL_MEMORY_MS), None],
        vec![AmbiguousPeriod { from_ms: NOW_MS - 10_000, until_ms: SERVED_MS + 100 }],
    ),
    ids_around_the_loss_when_an_agent_has_restarted: (
        [Some(FULL_MEMORY_MS), Some(FULL_MEMORY_MS), Some(5)],
        vec![AmbiguousPeriod { from_ms: NOW_MS - 10_000, until_ms: SERVED_MS + 100 }],
    ),
}

#[test]
fn every_id_is_ambiguous_when_records_are_truncated() {
    let mut takeover = takeover(false, vec![]);
    takeover.on_stream_read(&entry(0, 1), false);
    (0..2).for_each(|n| report(&mut takeover, n, FULL_MEMORY_MS, &[]));
    let restored = takeover.finish(SERVED_MS).unwrap();
    let expected = [AmbiguousPeriod { from_ms: 0, until_ms: SERVED_MS + 100 }];
    assert_eq!(restored.partitions[0].ambiguous_periods, expected);
}

#[test]
fn restarted_agent_has_to_report_again() {
    let mut takeover = takeover(false, vec![]);
    (0..AGENTS).for_each(|n| report(&mut takeover, n, FULL_MEMORY_MS, &[]));
    assert!(takeover.unanswered_agents().is_empty());
    takeover.on_agent_incarnation(&"oven-1".parse().unwrap(), Incarnation::from_u128(9));
    assert_eq!(takeover.unanswered_agents().len(), 1);
}

#[test]
fn earlier_loss_stays_ambiguous_until_its_successor_served() {
    const FIRST_SERVED_MS: u64 = NOW_MS - 400;
    let mut ownership = OwnershipState::new(COUNT);
    let claims = [claim(0, 0, 0), claim(1, 1, 1), claim(2, 2, 2)];
    let owned = claims.map(|claim| ownership.apply(&claim));
    let settings = TableSettings::builder().clock_skew_ms(100).late_submission_ms(0).build();
    let mut takeover = Takeover::new(settings, COUNT, &owned[2], &ownership, CLAIMED_MS);
    let served = ServedRecord { owned: owned[1].clone(), serve_from_ms: FIRST_SERVED_MS };
    takeover.add_record(&entry(1, 1), JobRecord::Served(served));
    (0..2).for_each(|n| takeover.on_stream_read(&entry(n, 1), true));
    (0..AGENTS).for_each(|n| takeover.expect_agent(format!("oven-{n}").parse().unwrap()));
    (0..2).for_each(|n| report(&mut takeover, n, FULL_MEMORY_MS, &[]));
    let restored = takeover.finish(SERVED_MS).unwrap();
    let from_ms = NOW_MS - 500;
    let expected = [FIRST_SERVED_MS, SERVED_MS]
        .map(|served_ms| AmbiguousPeriod { from_ms, until_ms: served_ms + 100 });
    assert_eq!(restored.partitions[0].ambiguous_periods, expected);
}

#[test]
fn service_waits_for_a_majority_of_agents_and_for_the_previous_owner() {
    let mut takeover = takeover(false, vec![]);
    assert_eq!(takeover.serve_from_ms(), None);
    (0..2).for_each(|n| report(&mut takeover, n, FULL_MEMORY_MS, &[]));
    assert_eq!(takeover.serve_from_ms(), Some(SERVED_MS));
    assert!(takeover.finish(SERVED_MS - 1).is_err());
}

#[test]
fn report_for_another_takeover_is_ignored() {
    let mut takeover = takeover(false, vec![]);
    let queried = [OwnedPartition { partition: Partition(0), epoch: Epoch(1) }];
    for n in 0..AGENTS {
        let incarnation = Incarnation::from_u128(n as u128);
        let report = StartedReport { incarnation, memory_ms: FULL_MEMORY_MS, attempts: Vec::new() };
        takeover.on_agent_report(
            &format!("oven-{n}").parse().unwrap(),
            &queried,
            report,
            CLAIMED_MS,
        );
    }
    assert_eq!(takeover.unanswered_agents().len(), AGENTS);
}

#[test]
fn released_partition_is_served_at_once() {
    let restored = takeover(true, vec![]).finish(CLAIMED_MS).unwrap();
    assert_eq!(restored.partitions[0].ambiguous_periods, []);
}

#[test]
fn unrecorded_start_is_refused_and_recalled() {
    let request = submission(job_id(NOW_MS, 1), 1, true, NOW_MS);
    let mut takeover = takeover(false, vec![]);
    let queued = attempt(request.terms.id, 0, AttemptState::Queued);
    report(&mut takeover, 0, FULL_MEMORY_MS, std::slice::from_ref(&queued));
    (1..AGENTS).for_each(|n| report(&mut takeover, n, FULL_MEMORY_MS, &[]));
    assert_eq!(takeover.clone().finish(SERVED_MS).unwrap().recall[0].key, queued.key);
    let decision = serve(takeover).submit(request, SERVED_MS);
    assert_eq!(decision, SubmitDecision::Refuse(Refusal::OutcomeUnknown));
}

#[test]
fn recorded_payloads_continue_without_a_resubmission() {
    let mut request = submission(job_id(NOW_MS, 1), 1, true, NOW_MS);
    request.wait = false;
    let mut takeover = takeover(false, vec![accepted(&request)]);
    (0..AGENTS).for_each(|n| report(&mut takeover, n, FULL_MEMORY_MS, &[]));
    let mut table: JobTable<u32> = JobTable::new(TableSettings::default(), COUNT);
    let effects = table.restore(takeover.finish(SERVED_MS).unwrap());
    assert_eq!(effects.resume[0].steps, [ResumeStep::Dispatch(TaskIndex(0))]);
}

#[test]
fn orphaned_job_without_a_resubmission_is_interrupted() {
    let request = submission(job_id(NOW_MS, 1), 1, true, NOW_MS);
    let mut takeover = takeover(false, vec![accepted(&request)]);
    (0..AGENTS).for_each(|n| report(&mut takeover, n, FULL_MEMORY_MS, &[]));
    let mut table = serve(takeover);
    table.confirm(&table.owned(), NOW_MS + 5_000);
    let expired = table.expire(NOW_MS + 5_000);
    let outcome = JobOutcome::Failed { failure: Failure::Interrupted, not_run: true };
    assert_eq!(*expired[0].outcome, outcome);
}
