use std::sync::Arc;

use emulator::FakeExecutorFaults;
use reqwest::StatusCode;
use serde_json::json;

use crate::support::{Fleet, job, run, wait_until};

const ID: &str = "5c0e7a21d94b36f8";

#[test]
fn a_stopping_entry_answers_the_jobs_it_has_accepted() {
    run(async {
        let mut fleet = Fleet::start(1, 1, 800).await;
        let (client, addr) = (fleet.client.clone(), fleet.entries[0].addr);
        let body = job(2).to_string();
        let call = tokio::spawn(async move {
            crate::support::send(&client, addr, "POST", &format!("/j/{ID}"), body).await
        });
        wait_until("the tasks run", || async { fleet.ledger.running() == 2 }).await;
        fleet.entries[0].stop();
        let answer = call.await.expect("the call ends");
        assert_eq!(answer, Some((StatusCode::OK, json!({ "state": "succeeded" }))));
        fleet.entries[0].join();
    });
}

#[test]
fn a_stopping_agent_completes_its_runs_and_accepts_no_others() {
    run(async {
        let mut fleet = Fleet::start(1, 2, 500).await;
        let (client, addr) = (fleet.client.clone(), fleet.entries[0].addr);
        let body = job(8).to_string();
        let call = tokio::spawn(async move {
            crate::support::send(&client, addr, "POST", &format!("/j/{ID}"), body).await
        });
        wait_until("the tasks run", || async { fleet.ledger.running() == 8 }).await;
        fleet.agents[0].process.stop();
        let answer = call.await.expect("the call ends");
        assert_eq!(answer, Some((StatusCode::OK, json!({ "state": "succeeded" }))));
        fleet.agents[0].process.join();
        assert_eq!(fleet.ledger.count_runs(ID), 8, "no task was lost");
    });
}

#[test]
fn processes_stop_while_the_store_does_not_answer() {
    run(async {
        let mut fleet = Fleet::start(2, 2, 10).await;
        fleet.store.faults().update(|faults| faults.silent = true);
        fleet.entries.iter_mut().for_each(crate::support::Process::stop);
        fleet.agents.iter_mut().for_each(|agent| agent.process.stop());
        fleet.entries.iter_mut().for_each(crate::support::Process::join);
        fleet.agents.iter_mut().for_each(|agent| agent.process.join());
    });
}

#[test]
fn a_draining_executor_gets_no_more_tasks() {
    run(async {
        let fleet = Arc::new(Fleet::start(1, 1, 5).await);
        let faults = FakeExecutorFaults { is_draining: true, ..FakeExecutorFaults::default() };
        fleet.agents[0].executor.set_faults(faults);
        let readiness = fleet.entries[0].readiness;
        wait_until("the entry has no executor", || async {
            let url = format!("http://{readiness}/-/readyz");
            let probe = fleet.client.get(url).send().await;
            probe.is_ok_and(|probe| probe.status() == StatusCode::SERVICE_UNAVAILABLE)
        })
        .await;
        let before = fleet.ledger.count_runs("");
        let mut short = job(1);
        short["steps"][0]["estimateMs"] = json!(1);
        let answer = fleet.submit(0, ID, &short).await.map(|(status, _)| status);
        assert_eq!(answer, Some(StatusCode::TOO_MANY_REQUESTS));
        assert_eq!(fleet.ledger.count_runs(""), before);
    });
}
