//! Requests to cancel a job.

use reqwest::StatusCode;
use serde_json::json;

use crate::direct_system::{Timing, with_direct_system};

/// Run time of the tasks, much longer than the test: only a stop ends them.
const LASTING: Timing = Timing { executor_ms: 120_000, allowance_ms: 200_000 };

/// Guards against a cancelled job whose tasks run on and whose caller waits for them.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_is_stopped_and_answered() {
    with_direct_system("cancels", LASTING, async |system| {
        let id = "5c0e7a21d94b36f8";
        let job = json!({ "spec": "payload", "bestEffort": true,
            "steps": [{ "count": 2, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] });
        assert_eq!(system.cancel(id).await, StatusCode::GONE, "there is no such job yet");
        let cancel = async {
            system.until_executor_is_full().await;
            assert_eq!(system.cancel(id).await, StatusCode::OK);
            system.until_executor_is_idle().await;
        };
        let (_, status) = tokio::join!(cancel, system.submit(id, &job));
        assert_eq!(status, StatusCode::OK);
        assert_eq!(system.cancel(id).await, StatusCode::GONE, "it is answered");
        let (entry, _) = system.finish(id);
        let end = entry.iter().find(|line| line["event"] == "answered").map(|line| &line["end"]);
        assert_eq!(end, Some(&json!("cancelled")));
    })
    .await;
}
