use std::sync::Arc;

use emulator::FakeExecutorFaults;
use reqwest::StatusCode;
use serde_json::json;

use crate::support::{Fleet, job, run, wait_until};

const ID: &str = "5c0e7a21d94b36f8";

fn succeeded() -> Option<(StatusCode, serde_json::Value)> {
    Some((StatusCode::OK, json!({ "state": "succeeded" })))
}

#[test]
fn runs_of_a_killed_entry_are_stopped_and_its_job_can_run_at_another() {
    run(async {
        let mut fleet = Fleet::start(2, 2, 3_000).await;
        let (client, addr) = (fleet.client.clone(), fleet.entries[0].addr);
        let body = job(2).to_string();
        let call = tokio::spawn(async move {
            crate::support::send(&client, addr, "POST", &format!("/j/{ID}"), body).await
        });
        wait_until("the tasks run", || async { fleet.ledger.running() == 2 }).await;
        fleet.entries[0].kill();
        assert_eq!(call.await.expect("the call ends"), None);
        wait_until("the runs have ended", || async { fleet.ledger.running() == 0 }).await;
        assert_eq!(fleet.submit(1, ID, &job(2)).await, succeeded());
        assert_eq!(fleet.ledger.overlaps(), Vec::<String>::new());
    });
}

#[test]
fn runs_of_a_killed_agent_are_dispatched_again() {
    run(async {
        let mut fleet = Fleet::start(1, 2, 600).await;
        let (client, addr) = (fleet.client.clone(), fleet.entries[0].addr);
        let body = job(6).to_string();
        let call = tokio::spawn(async move {
            crate::support::send(&client, addr, "POST", &format!("/j/{ID}"), body).await
        });
        wait_until("the tasks run", || async { fleet.ledger.running() == 6 }).await;
        fleet.restart_agent(0).await;
        assert_eq!(call.await.expect("the call ends"), succeeded());
        assert_eq!(fleet.ledger.overlaps(), Vec::<String>::new());
    });
}

#[test]
fn starts_without_a_reply_run_once() {
    run(async {
        let fleet = Fleet::start(1, 2, 50).await;
        for agent in &fleet.agents {
            let faults = FakeExecutorFaults { late_starts: 4, ..FakeExecutorFaults::default() };
            agent.executor.set_faults(faults);
        }
        assert_eq!(fleet.submit(0, ID, &job(4)).await, succeeded());
        assert_eq!(fleet.ledger.overlaps(), Vec::<String>::new());
    });
}

#[test]
fn tasks_on_an_unresponsive_executor_are_dispatched_again_after_their_lease() {
    run(async {
        let fleet = Arc::new(Fleet::start(1, 2, 400).await);
        let caller_fleet = Arc::clone(&fleet);
        let call = tokio::spawn(async move { caller_fleet.submit(0, ID, &job(8)).await });
        wait_until("the tasks run", || async { fleet.ledger.running() == 8 }).await;
        let faults = FakeExecutorFaults { is_unresponsive: true, ..FakeExecutorFaults::default() };
        fleet.agents[0].executor.set_faults(faults);
        assert_eq!(call.await.expect("the call ends"), succeeded());
        assert_eq!(fleet.ledger.overlaps(), Vec::<String>::new());
    });
}

#[test]
fn tasks_are_stopped_when_the_caller_disconnects() {
    run(async {
        let fleet = Arc::new(Fleet::start(1, 1, 30_000).await);
        let caller_fleet = Arc::clone(&fleet);
        let call = tokio::spawn(async move { caller_fleet.submit(0, ID, &job(3)).await });
        wait_until("the tasks run", || async { fleet.ledger.running() == 3 }).await;
        call.abort();
        wait_until("the tasks are stopped", || async { fleet.ledger.running() == 0 }).await;
        assert_eq!(fleet.ledger.done(), 0);
    });
}
