//! Runs on an executor that has crashed and started again.

use std::time::Duration;

use emulator::FakeExecutorFaults;
use reqwest::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use crate::direct_system::{Timing, with_direct_system};

/// Number of runs that end before the crash.
const RUNS: u64 = 20;

/// Guards against an agent that acknowledges the ends of the earlier life in its first call to the new
/// one, so that the outcomes of all further runs are lost (found by the soak, seeds 12 and 15).
#[tokio::test(flavor = "multi_thread")]
async fn outcomes_are_not_lost_after_a_crash_of_the_executor() {
    with_direct_system("crashed-executor", Timing::default(), async |system| {
        let job = json!({ "spec": "payload", "bestEffort": true,
            "steps": [{ "count": 1, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] });
        for n in 0..RUNS {
            assert_eq!(system.submit(&format!("{n:016x}"), &job).await, StatusCode::OK);
        }
        let deadly = FakeExecutorFaults { crashed_by: Some("dead"), ..Default::default() };
        system.executor.set_faults(deadly);
        let mend = async {
            while system.executor.crashes() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            system.executor.set_faults(FakeExecutorFaults::default());
        };
        let id = "dead000000000000";
        let (status, ()) = tokio::join!(system.submit(id, &job), mend);
        assert_eq!(status, StatusCode::OK);
        let (_, agent) = system.finish(id);
        let settled: Vec<_> = agent.iter().filter(|line| line["event"] == "settled").collect();
        assert!(settled.iter().all(|line| line["outcome"] != "lost"), "{settled:?}");
    })
    .await;
}
