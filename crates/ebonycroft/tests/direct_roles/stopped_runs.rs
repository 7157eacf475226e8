//! Executors that need some time to end a run after they have acknowledged its stop.

use std::time::Duration;

use emulator::{FakeExecutorClock, FakeExecutorFaults, StoppingRuns};
use reqwest::StatusCode;
use tokio::time::sleep;

use crate::{
    fleet::{Fleet, STOP_MS},
    role::Signal,
};

const ID: &str = "5c0e7a21d94b36f8";
/// Longer than the restart of an agent on a busy machine.
const RUN_MS: u64 = 2_000;
/// Jobs that are stopped later and later, over the period of an agent's polls: whether a list is
/// requested while a run ends is a matter of some ms.
const ROUNDS: u32 = 20;
const ROUND_STEP: Duration = Duration::from_millis(5);

/// How much longer than it promises an executor on a busy machine takes to end a run, milliseconds.
const LATE_MS: u64 = 60;
/// How much longer than a lease an agent is suspended, and runs last whose lease has expired.
const LAPSE_MS: u64 = 80;
const LAPSE_LAG_MS: u64 = 400;
const LEASE_MS: u64 = 1_000;

fn stops(stopping_runs: StoppingRuns) -> FakeExecutorFaults {
    FakeExecutorFaults { stop_ms: STOP_MS, stopping_runs, ..Default::default() }
}

fn late_stops() -> FakeExecutorFaults {
    FakeExecutorFaults { stop_ms: STOP_MS + LATE_MS, ..stops(StoppingRuns::Unlisted) }
}

/// Replaces the killed agent of a running task while another host is free.
async fn replace_the_agent_of_a_run(test: &str, faults: FakeExecutorFaults) {
    let mut fleet = Fleet::start(test, 1).await;
    fleet.add_host(faults).await;
    let job = fleet.submit(0, ID, RUN_MS, 1);
    fleet.until_started(ID, 1).await;
    fleet.add_host(faults).await;
    fleet.replace_agent(0);
    assert_eq!(job.status().await, Some(StatusCode::OK));
    assert!(fleet.ledger.count_runs(ID) >= 2, "the task was started again");
    assert_eq!(fleet.overlaps().await, Vec::<String>::new());
}

/// Guards against a new agent that takes the runs which it stops for ended ones while they are still
/// listed: its entry starts their tasks again beside them.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_agent_opens_when_the_runs_that_it_stops_are_no_longer_listed() {
    replace_the_agent_of_a_run("replaced-listed", stops(StoppingRuns::Running)).await;
}

/// Guards against a new agent that takes the acknowledgement of a stop for the end of the run: its
/// entry starts the task again beside the run that still ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_agent_opens_when_the_runs_that_it_stops_have_ended() {
    replace_the_agent_of_a_run("replaced-omitted", stops(StoppingRuns::Unlisted)).await;
}

/// Guards against a new agent that takes the time which the platform promises for a stop for the end of
/// the run: the entry starts the task again beside a run that ends some ms late.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_agent_opens_when_the_runs_that_it_stops_have_ended_late() {
    replace_the_agent_of_a_run("replaced-late", late_stops()).await;
}

/// Guards against a new agent that opens on an empty list while a run still ends that an earlier agent
/// has stopped: its entry starts the task again beside it.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_opens_when_the_runs_that_an_earlier_agent_stopped_have_ended() {
    let mut fleet = Fleet::start("replaced-twice", 1).await;
    fleet.add_host(stops(StoppingRuns::Unlisted)).await;
    let job = fleet.submit(0, ID, RUN_MS, 1);
    fleet.until_started(ID, 1).await;
    fleet.add_host(stops(StoppingRuns::Unlisted)).await;
    fleet.replace_agent(0);
    fleet.until(|fleet| fleet.ledger.count_stops(ID) == 1).await;
    fleet.replace_agent(0);
    assert_eq!(job.status().await, Some(StatusCode::OK));
    assert!(fleet.ledger.count_runs(ID) >= 2, "the task was started again");
    assert_eq!(fleet.overlaps().await, Vec::<String>::new());
}

/// Submits jobs again to the same entry as soon as the entry has stopped their runs.
async fn resubmit_stopped_jobs(test: &str, faults: FakeExecutorFaults) {
    let mut fleet = Fleet::start(test, 1).await;
    for _ in 0..2 {
        fleet.add_host(faults).await;
    }
    for round in 0..ROUNDS {
        let id = format!("5c0e7a21d94b36{round:02x}");
        let given_up = fleet.submit(0, &id, RUN_MS, 1);
        fleet.until_started(&id, 1).await;
        sleep(ROUND_STEP * round).await;
        drop(given_up);
        fleet.entries[0].next_line("client_gone");
        assert_eq!(fleet.submit(0, &id, 1, 1).status().await, Some(StatusCode::OK));
        assert!(fleet.ledger.count_runs(&id) >= 2, "the job was started again");
    }
    assert_eq!(fleet.overlaps().await, Vec::<String>::new());
}

/// Guards against an agent that settles a run which it has stopped while the executor still lists it:
/// the resubmitted job starts beside it.
#[tokio::test(flavor = "multi_thread")]
async fn a_resubmitted_job_starts_when_its_stopped_run_is_no_longer_listed() {
    resubmit_stopped_jobs("again-listed", stops(StoppingRuns::Running)).await;
}

/// Guards against an agent that takes the acknowledgement of a stop for the end of the run: the
/// resubmitted job starts beside the run that still ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_resubmitted_job_starts_when_its_stopped_run_has_ended() {
    resubmit_stopped_jobs("again-omitted", stops(StoppingRuns::Unlisted)).await;
}

/// Guards against an agent that takes the time which the platform promises for a stop for the end of
/// the run: the resubmitted job starts beside a run that ends some ms late.
#[tokio::test(flavor = "multi_thread")]
async fn a_resubmitted_job_starts_when_its_stopped_run_has_ended_late() {
    resubmit_stopped_jobs("again-late", late_stops()).await;
}

/// Guards against an agent that takes a run for ended which its executor no longer lists and still ends
/// after its lease has expired: the entry starts the task again beside it.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_starts_again_when_its_run_has_ended_whose_lease_has_expired() {
    let mut fleet = Fleet::start("lapsed-late", 1).await;
    fleet.add_host(stops(StoppingRuns::Unlisted)).await;
    let clock = FakeExecutorClock { lapse_lag_ms: LAPSE_LAG_MS, ..Default::default() };
    fleet.hosts[0].executor.set_clock(clock);
    let job = fleet.submit(0, ID, 2 * RUN_MS, 1);
    fleet.until_started(ID, 1).await;
    fleet.add_host(stops(StoppingRuns::Unlisted)).await;
    fleet.hosts[0].agent.signal(Signal::STOP);
    sleep(Duration::from_millis(LEASE_MS + LAPSE_MS)).await;
    fleet.hosts[0].agent.signal(Signal::CONT);
    assert_eq!(job.status().await, Some(StatusCode::OK));
    assert!(fleet.ledger.count_runs(ID) >= 2, "the task was started again");
    assert_eq!(fleet.overlaps().await, Vec::<String>::new());
}
