//! Executors without answers that end runs late when their lease has expired.

use std::time::Duration;

use emulator::{FakeExecutorClock, FakeExecutorFaults, StoppingRuns};
use reqwest::StatusCode;
use tokio::time::sleep;

use crate::fleet::{Fleet, STOP_MS};

const ID: &str = "5c0e7a21d94b36f8";
const RUN_MS: u64 = 4_000;
/// How much longer than a lease runs last on a busy machine, milliseconds.
const LAPSE_LAG_MS: u64 = 95;
/// Time after which the run has a lease, milliseconds.
const LEASED_AFTER_MS: u64 = 200;

/// Lets the executor of a running task fall silent while another host is free.
async fn mute(test: &str, clock: FakeExecutorClock, is_replaced: bool) {
    let faults = FakeExecutorFaults {
        stop_ms: STOP_MS,
        stopping_runs: StoppingRuns::Unlisted,
        ..Default::default()
    };
    let mut fleet = Fleet::start(test, 1).await;
    fleet.add_host(faults).await;
    fleet.hosts[0].executor.set_clock(clock);
    let job = fleet.submit(0, ID, RUN_MS, 1);
    fleet.until_started(ID, 1).await;
    fleet.add_host(faults).await;
    sleep(Duration::from_millis(LEASED_AFTER_MS)).await;
    let unresponsive = FakeExecutorFaults { is_unresponsive: true, ..faults };
    fleet.hosts[0].executor.set_faults(unresponsive);
    if is_replaced {
        fleet.replace_agent(0);
    }
    assert_eq!(job.status().await, Some(StatusCode::OK));
    assert!(fleet.ledger.count_runs(ID) >= 2, "the task was started again");
    assert_eq!(fleet.overlaps().await, Vec::<String>::new());
}

/// Guards against an agent that takes the run of a mute executor for lost while it still ends: the entry
/// starts the task again beside it.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_starts_again_when_a_mute_executor_has_ended_its_run_late() {
    let clock = FakeExecutorClock { lapse_lag_ms: LAPSE_LAG_MS, ..Default::default() };
    mute("mute-late", clock, false).await;
}

/// Guards against the same at an executor whose clock is slow.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_starts_again_when_a_mute_executor_with_a_slow_clock_has_ended_its_run_late() {
    let clock =
        FakeExecutorClock { lapse_lag_ms: LAPSE_LAG_MS, slow_percent: 2, ..Default::default() };
    mute("mute-late-slow", clock, false).await;
}

/// Guards against a new agent that opens without an answer while the executor still ends a run.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_agent_of_a_mute_executor_opens_when_it_has_ended_its_runs_late() {
    let clock =
        FakeExecutorClock { lapse_lag_ms: LAPSE_LAG_MS, slow_percent: 2, ..Default::default() };
    mute("mute-late-replaced", clock, true).await;
}
