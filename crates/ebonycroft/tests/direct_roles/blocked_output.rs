//! Decision lines on a standard output that nobody reads neither delay requests nor end the
//! process.

use reqwest::StatusCode;
use serde_json::json;

use crate::direct_system::{Timing, with_direct_system};

/// Number of jobs whose decision lines together are several times the capacity of a pipe.
const JOBS: u64 = 400;

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_nobody_reads_the_output() {
    with_direct_system("blocked-output", Timing::default(), async |system| {
        let job = json!({ "spec": "payload", "bestEffort": true,
            "steps": [{ "count": 2, "cpu": 1_000, "memMb": 64, "estimateMs": 50 }] });
        for n in 0..JOBS {
            assert_eq!(system.submit(&format!("{n:016x}"), &job).await, StatusCode::OK, "job {n}");
        }
    })
    .await;
}
