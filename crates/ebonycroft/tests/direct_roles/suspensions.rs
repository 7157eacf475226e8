//! Entries and agents that are suspended while callers give up their jobs and submit them to another
//! entry.

use std::time::Duration;

use emulator::FakeExecutorFaults;
use reqwest::StatusCode;
use tokio::time::sleep;

use crate::{
    fleet::{Fleet, STOP_MS},
    role::Signal,
};

/// Time after which callers resubmit an unanswered job, as the platform specifies it.
const RESEND: Duration = Duration::from_millis(1_300);
const ID: &str = "5c0e7a21d94b36f8";
/// Run time of the first submission, longer than every test: only a stop or its lease ends it.
const LASTING_MS: u64 = 30_000;
/// Run time of the second submission, milliseconds.
const RUN_MS: u64 = 300;
/// Jobs and their steps: most wait for capacity when their entry is suspended.
const JOBS: usize = 12;
const STEPS: usize = 2;

async fn two_entries_and_hosts(test: &str) -> Fleet {
    let mut fleet = Fleet::start(test, 2).await;
    for _ in 0..2 {
        fleet.add_host(FakeExecutorFaults { stop_ms: STOP_MS, ..Default::default() }).await;
    }
    fleet
}

/// Suspends the agent of a running task for a while. Its caller gives the job up at once and submits
/// it to another entry.
async fn give_up_while_the_agent_is_suspended(test: &str, suspended: Duration) {
    let fleet = two_entries_and_hosts(test).await;
    let given_up = fleet.submit(0, ID, LASTING_MS, 1);
    fleet.until_started(ID, 1).await;
    let is_busy = |i: &usize| fleet.hosts[*i].executor.running() > 0;
    let host = (0..2).find(is_busy).expect("a host runs the task");
    fleet.hosts[host].agent.signal(Signal::STOP);
    drop(given_up);
    let resume = async {
        sleep(suspended).await;
        fleet.hosts[host].agent.signal(Signal::CONT);
    };
    let resubmit = async {
        sleep(RESEND).await;
        fleet.submit(1, ID, RUN_MS, 1).status().await
    };
    let ((), status) = tokio::join!(resume, resubmit);
    assert_eq!(status, Some(StatusCode::OK));
    assert!(fleet.ledger.count_runs(ID) >= 2, "the job was started again");
    assert_eq!(fleet.overlaps().await, Vec::<String>::new());
}

/// Guards against a run that goes on because its stop was lost in a suspension of its agent: the
/// agent resumes before its session has timed out.
#[tokio::test(flavor = "multi_thread")]
async fn a_given_up_job_has_ended_when_its_agent_was_suspended_for_500_ms() {
    give_up_while_the_agent_is_suspended("agent-500", Duration::from_millis(500)).await;
}

/// Guards against the same where the agent resumes when its session times out.
#[tokio::test(flavor = "multi_thread")]
async fn a_given_up_job_has_ended_when_its_agent_was_suspended_for_900_ms() {
    give_up_while_the_agent_is_suspended("agent-900", Duration::from_millis(900)).await;
}

/// Guards against the same where the agent resumes shortly before the job is submitted again.
#[tokio::test(flavor = "multi_thread")]
async fn a_given_up_job_has_ended_when_its_agent_was_suspended_for_1200_ms() {
    give_up_while_the_agent_is_suspended("agent-1200", Duration::from_millis(1_200)).await;
}

/// Guards against an agent that resumes beside the next run and extends the lease of the earlier one.
#[tokio::test(flavor = "multi_thread")]
async fn a_given_up_job_has_ended_when_its_agent_was_suspended_for_2000_ms() {
    give_up_while_the_agent_is_suspended("agent-2000", Duration::from_millis(2_000)).await;
}

/// Suspends an entry with queued jobs until some time after their callers, which have left, have
/// submitted them to another entry.
async fn leave_while_the_entry_is_suspended(test: &str, after_resend: Duration) {
    let fleet = two_entries_and_hosts(test).await;
    let ids: Vec<String> = (0..JOBS).map(|i| format!("5c0e7a21d94b36{i:02x}")).collect();
    let submit = |entry: usize| {
        let submit = |id: &String| fleet.submit(entry, id, RUN_MS, STEPS);
        ids.iter().map(submit).collect::<Vec<_>>()
    };
    let given_up = submit(0);
    fleet.until_started("", 1).await;
    fleet.entries[0].signal(Signal::STOP);
    drop(given_up);
    sleep(RESEND).await;
    let again = submit(1);
    sleep(after_resend).await;
    fleet.entries[0].signal(Signal::CONT);
    for submission in again {
        assert_eq!(submission.status().await, Some(StatusCode::OK));
    }
    assert_eq!(fleet.overlaps().await, Vec::<String>::new());
}

/// Guards against an entry that starts tasks after a suspension before it reads that their callers
/// have left: they run beside those of the resubmitted jobs.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_resumes_starts_nothing_of_jobs_whose_callers_left_some_ms_ago() {
    leave_while_the_entry_is_suspended("entry-some", Duration::from_millis(50)).await;
}

/// Guards against the same where the resubmitted jobs have been running for a while.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_resumes_starts_nothing_of_jobs_whose_callers_left_long_ago() {
    leave_while_the_entry_is_suspended("entry-long", Duration::from_millis(700)).await;
}
