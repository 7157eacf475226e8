use emulator::FakeExecutorFaults;
use reqwest::StatusCode;
use serde_json::json;

use crate::support::{Fleet, job, run};

const DEADLY: &str = "dead000000000001";

// Incident docs/incidents/deadly-tasks.md: one task crashed executor after executor.
#[test]
fn a_task_that_crashes_its_executors_is_given_up_after_two() {
    run(async {
        let fleet = Fleet::start(1, 4, 100).await;
        for agent in &fleet.agents {
            let faults =
                FakeExecutorFaults { crashed_by: Some(DEADLY), ..FakeExecutorFaults::default() };
            agent.executor.set_faults(faults);
        }
        let answer = fleet.submit(0, DEADLY, &job(1)).await;
        let crashes: u32 = fleet.agents.iter().map(|agent| agent.executor.crashes()).sum();
        assert_eq!((answer, crashes), (Some((StatusCode::OK, json!({ "state": "failed" }))), 2));
        let id = "5c0e7a21d94b36f8";
        let succeeded = Some((StatusCode::OK, json!({ "state": "succeeded" })));
        assert_eq!(fleet.submit(0, id, &job(4)).await, succeeded);
        assert_eq!(fleet.ledger.overlaps(), Vec::<String>::new());
    });
}
