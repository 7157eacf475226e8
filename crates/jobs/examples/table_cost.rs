//! Prints the costs of a job table: time of each operation, memory per job, and bytes of its
//! records. Run it in release mode.

use std::{fs, hint::black_box, time::Instant};

use jobs::{
    AttemptResult, Claim, JobRecord, JobTable, JobTerms, OwnershipState, PartitionClaim,
    PositionedClaim, RestoredPartition, RestoredState, RetryDecision, Submission, SubmitDecision,
    TableSettings, Takeover,
};
use rpc::{AttemptState, EntryIdentity, OwnedPartition, StartedAttempt, StartedReport, TaskResult};
use services::Acceptance;
use types::{
    Answer, AttemptKey, AttemptNumber, Digest, Epoch, Incarnation, JobId, PartitionCount, Payload,
    TaskIndex, TaskKey, UpstreamName,
};

const COUNT: PartitionCount = PartitionCount(256);
const NOW_MS: u64 = 1_700_000_000_000;
const PAGE_BYTES: usize = 4_096;
const PAYLOAD: &str = r#"{"batch":"b-20391","recipe":"r-77","allergens":["nuts","milk"]}"#;

fn main() {
    memory();
    println!("operations");
    for tasks in [1, 50, 370] {
        operations(tasks, 400_000 / tasks);
    }
    println!("records");
    records();
    println!("takeover");
    takeover(200, 50, 1_000);
}

fn submission(n: u64, tasks: u32) -> Submission {
    let id = JobId::from_parts(NOW_MS, {
        let mut random = [0; 10];
        random[2..].copy_from_slice(&n.to_be_bytes());
        random
    });
    let terms = JobTerms {
        id,
        team: "harwick-dunmore".parse().unwrap(),
        service: "recipes".parse().unwrap(),
        kind: "check-allergens".parse().unwrap(),
        digest: Digest::of_bytes(id.as_bytes()),
        tasks,
        idempotent: true,
        max_attempts: 3,
        acceptance: Acceptance::Behind,
        accepted_ms: NOW_MS,
        deadline_ms: NOW_MS + 5_000,
    };
    let payloads = (0..tasks).map(|_| Payload::from_json(PAYLOAD.to_owned())).collect();
    Submission { terms, payloads, wait: true }
}

fn table(settings: TableSettings) -> JobTable<u64> {
    let mut table = JobTable::new(settings, COUNT);
    let partitions = COUNT.iter().map(|partition| RestoredPartition {
        owned: OwnedPartition { partition, epoch: Epoch(1) },
        ambiguous_periods: Vec::new(),
    });
    table.restore(RestoredState { partitions: partitions.collect(), ..RestoredState::default() });
    table.confirm(&table.owned(), NOW_MS);
    table
}

fn upstream() -> UpstreamName {
    "upstream-0001".parse().unwrap()
}

/// Runs jobs from submission to their answers and prints the nanoseconds per call.
fn operations(tasks: u32, jobs: u32) {
    let mut table = table(TableSettings::default());
    let submissions: Vec<_> = (0..u64::from(jobs)).map(|n| submission(n, tasks)).collect();
    let ids: Vec<_> = submissions.iter().map(|submission| submission.terms.id).collect();
    let started = Instant::now();
    for submission in submissions {
        black_box(table.submit(submission, NOW_MS));
    }
    let submit_ns = started.elapsed().as_nanos() / u128::from(jobs);
    let (upstream, agent) = (upstream(), Incarnation::from_u128(1));
    let started = Instant::now();
    let mut keys = Vec::with_capacity((jobs * tasks) as usize);
    for job in &ids {
        for index in (0..tasks).map(TaskIndex) {
            let key = TaskKey { job: *job, index };
            keys.push(table.begin_attempt(key, upstream.clone(), agent, NOW_MS).unwrap().key);
        }
    }
    let begin_ns = started.elapsed().as_nanos() / keys.len() as u128;
    let answer = Answer { payload: Payload::from_json(PAYLOAD.to_owned()), run_us: 250_000 };
    let started = Instant::now();
    for key in &keys {
        let result = TaskResult::Done(answer.clone());
        let end = AttemptResult { key: *key, epoch: Epoch(1), upstream: upstream.clone(), result };
        black_box(table.on_attempt_result(end, RetryDecision::Retry, NOW_MS));
    }
    let ended_ns = started.elapsed().as_nanos() / keys.len() as u128;
    println!(
        "  {tasks:>3} tasks: submit {submit_ns} ns/job, begin_attempt {begin_ns} ns/task, \
         on_attempt_result {ended_ns} ns/task"
    );
}

/// Returns the resident memory of the process in bytes.
fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Prints the resident memory per job. All tables stay allocated until every measurement is
/// done, since memory freed earlier would be reused and not counted.
fn memory() {
    println!("memory");
    let tombstones = tombstone_memory(1_000_000);
    let live = [1, 50, 370].map(|tasks| live_memory(tasks, 400_000 / tasks));
    black_box((tombstones, live));
}

fn live_memory(tasks: u32, jobs: u32) -> JobTable<u64> {
    let mut table = table(TableSettings::default());
    let before = resident_bytes();
    for n in 0..u64::from(jobs) {
        table.submit(submission(n, tasks), NOW_MS);
    }
    let resident = resident_bytes().saturating_sub(before) / jobs as usize;
    let counted = table.sizes().live_bytes / jobs as usize;
    println!("  {tasks:>3} tasks: {resident} bytes resident, {counted} bytes counted per job");
    table
}

fn tombstone_memory(jobs: u32) -> JobTable<u64> {
    let mut table = table(TableSettings::builder().max_answer_bytes(0).build());
    let team: types::TeamName = "harwick-dunmore".parse().unwrap();
    let before = resident_bytes();
    for n in 0..u64::from(jobs) {
        let mut submission = submission(n, 1);
        submission.terms.team = team.clone();
        let id = submission.terms.id;
        table.submit(submission, NOW_MS);
        table.fail(id, types::Failure::Cancelled, NOW_MS);
    }
    let resident = resident_bytes().saturating_sub(before) / jobs as usize;
    println!("  tombstone: {resident} bytes resident");
    table
}

fn records() {
    let mut table = table(TableSettings::default());
    let size = |record: &JobRecord| postcard::to_stdvec(record).map_or(0, |bytes| bytes.len());
    for wait in [true, false] {
        let mut submission = submission(u64::from(wait), 1);
        submission.wait = wait;
        if let SubmitDecision::Start(record) = table.submit(submission, NOW_MS) {
            println!("  accepted, caller waits = {wait}: {} bytes", size(&record));
        }
    }
    let id = submission(1, 1).terms.id;
    if let Some(job) = table.fail(id, types::Failure::Cancelled, NOW_MS) {
        println!("  finished: {} bytes", size(&JobRecord::Finished(job.record)));
    }
    let mut ownership = OwnershipState::new(COUNT);
    let claim = claim_all(&entry(1), &ownership);
    println!("  claim of 256 partitions: {} bytes", postcard::to_stdvec(&claim).unwrap().len());
    ownership.apply(&claim);
    let snapshot = postcard::to_stdvec(&ownership.snapshot()).unwrap();
    println!("  snapshot of 256 partitions: {} bytes", snapshot.len());
}

fn entry(n: u8) -> EntryIdentity {
    EntryIdentity {
        name: format!("entry-{n}").parse().unwrap(),
        incarnation: Incarnation::from_u128(u128::from(n)),
        addr: ([127, 0, 0, 1], 7_000 + u16::from(n)).into(),
    }
}

fn claim_all(owner: &EntryIdentity, ownership: &OwnershipState) -> PositionedClaim {
    let partitions = ownership
        .iter()
        .map(|(partition, part)| PartitionClaim { partition, replaces: part.epoch() });
    let claim =
        Claim { owner: owner.clone(), partitions: partitions.collect(), claimed_ms: NOW_MS };
    PositionedClaim { offset: ownership.next_offset(), record: jobs::ClaimRecord::Claim(claim) }
}

/// Prints the time of a takeover that combines the records of `open` jobs in progress and many
/// finished jobs with the reports of `agents` agents.
fn takeover(open: u32, tasks: u32, agents: u32) {
    const FINISHED: u32 = 100_000;
    let mut ownership = OwnershipState::new(COUNT);
    let previous = entry(1);
    let first = claim_all(&previous, &ownership);
    ownership.apply(&first);
    let second = claim_all(&entry(2), &ownership);
    let owned = ownership.apply(&second);
    let mut table = table(TableSettings::default());
    let mut records = Vec::new();
    for n in 0..u64::from(FINISHED + open) {
        let is_unfinished = n >= u64::from(FINISHED);
        let submission = submission(n, if is_unfinished { tasks } else { 1 });
        let id = submission.terms.id;
        if let SubmitDecision::Start(record) = table.submit(submission, NOW_MS) {
            records.push(record);
        }
        if !is_unfinished && let Some(job) = table.fail(id, types::Failure::Cancelled, NOW_MS) {
            records.push(JobRecord::Finished(job.record));
        }
    }
    let attempts: Vec<_> = (u64::from(FINISHED)..u64::from(FINISHED + open))
        .flat_map(|n| {
            let job = submission(n, 1).terms.id;
            (0..tasks).map(move |index| TaskKey { job, index: TaskIndex(index) })
        })
        .map(|task| AttemptKey { task, attempt: AttemptNumber::FIRST })
        .collect();
    let started = Instant::now();
    let mut takeover = Takeover::new(TableSettings::default(), COUNT, &owned, &ownership, NOW_MS);
    let count = records.len();
    records.into_iter().for_each(|record| takeover.add_record(&previous, record));
    takeover.on_stream_read(&previous, true);
    for n in 0..agents as usize {
        let attempts = attempts
            .iter()
            .skip(n)
            .step_by(agents as usize)
            .map(|key| StartedAttempt { key: *key, state: AttemptState::Running });
        let report = StartedReport {
            incarnation: Incarnation::from_u128(n as u128),
            memory_ms: 1_000_000,
            attempts: attempts.collect(),
        };
        takeover.on_agent_report(&format!("upstream-{n}").parse().unwrap(), &owned, report, NOW_MS);
    }
    let restored = takeover.finish(NOW_MS + 1_000).unwrap();
    let jobs = restored.jobs.len();
    let mut successor: JobTable<u64> = JobTable::new(TableSettings::default(), COUNT);
    successor.restore(restored);
    let elapsed = started.elapsed();
    println!("  {count} records, {agents} agents, {jobs} open jobs of {tasks} tasks: {elapsed:?}");
}
