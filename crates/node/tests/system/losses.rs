use std::sync::Arc;

use emulator::FakeExecutorFaults;
use reqwest::StatusCode;
use serde_json::json;

use crate::support::{Fleet, job, run, until};

const ID: &str = "5c0e7a21d94b36f8";

fn succeeded() -> Option<(StatusCode, serde_json::Value)> {
    Some((StatusCode::OK, json!({ "state": "succeeded" })))
}

#[test]
fn a_killed_entry_leaves_nothing_running_and_its_job_runs_at_another() {
    run(async {
        let mut fleet = Fleet::start(2, 2, 3_000).await;
        let (client, addr) = (fleet.client.clone(), fleet.entries[0].addr);
        let body = job(2).to_string();
        let call = tokio::spawn(async move {
            crate::support::send(&client, addr, "POST", &format!("/j/{ID}"), body).await
        });
        until("the tasks run", || async { fleet.ledger.running() == 2 }).await;
        fleet.entries[0].kill();
        assert_eq!(call.await.expect("the call ends"), None);
        until("the runs have ended", || async { fleet.ledger.running() == 0 }).await;
        assert_eq!(fleet.submit(1, ID, &job(2)).await, succeeded());
        assert_eq!(fleet.ledger.overlaps(), Vec::<String>::new());
    });
}

#[test]
fn a_killed_agent_loses_its_runs_and_they_are_placed_again() {
    run(async {
        let mut fleet = Fleet::start(1, 2, 600).await;
        let (client, addr) = (fleet.client.clone(), fleet.entries[0].addr);
        let body = job(6).to_string();
        let call = tokio::spawn(async move {
            crate::support::send(&client, addr, "POST", &format!("/j/{ID}"), body).await
        });
        until("the tasks run", || async { fleet.ledger.running() == 6 }).await;
        fleet.restart_agent(0).await;
        assert_eq!(call.await.expect("the call ends"), succeeded());
        assert_eq!(fleet.ledger.overlaps(), Vec::<String>::new());
    });
}

#[test]
fn starts_without_an_answer_run_once() {
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
fn tasks_on_a_mute_executor_are_placed_again_when_their_lease_has_ended() {
    run(async {
        let fleet = Arc::new(Fleet::start(1, 2, 400).await);
        let calling = Arc::clone(&fleet);
        let call = tokio::spawn(async move { calling.submit(0, ID, &job(8)).await });
        until("the tasks run", || async { fleet.ledger.running() == 8 }).await;
        let faults = FakeExecutorFaults { is_unresponsive: true, ..FakeExecutorFaults::default() };
        fleet.agents[0].executor.set_faults(faults);
        assert_eq!(call.await.expect("the call ends"), succeeded());
        assert_eq!(fleet.ledger.overlaps(), Vec::<String>::new());
    });
}

#[test]
fn a_client_that_leaves_stops_its_tasks() {
    run(async {
        let fleet = Arc::new(Fleet::start(1, 1, 30_000).await);
        let calling = Arc::clone(&fleet);
        let call = tokio::spawn(async move { calling.submit(0, ID, &job(3)).await });
        until("the tasks run", || async { fleet.ledger.running() == 3 }).await;
        call.abort();
        until("the tasks are stopped", || async { fleet.ledger.running() == 0 }).await;
        assert_eq!(fleet.ledger.done(), 0);
    });
}
