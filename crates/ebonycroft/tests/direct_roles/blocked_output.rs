//! Standard output that nobody reads delays no request and ends no process.

use reqwest::StatusCode;
use serde_json::json;

use crate::way::{Terms, with_way};

/// Jobs whose lines together are several times what a pipe holds.
const JOBS: u64 = 400;

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_nobody_reads_the_lines() {
    with_way("blocked-output", Terms::default(), async |way| {
        let job = json!({ "spec": "payload", "bestEffort": true,
            "steps": [{ "count": 2, "cpu": 1_000, "memMb": 64, "estimateMs": 50 }] });
        for n in 0..JOBS {
            assert_eq!(way.submit(&format!("{n:016x}"), &job).await, StatusCode::OK, "job {n}");
        }
    })
    .await;
}
