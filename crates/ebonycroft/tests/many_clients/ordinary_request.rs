//! One ordinary request beside a load.

use std::time::Duration;

use reqwest::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use crate::direct_system::DirectSystem;

/// Attempts at an ordinary request, and the pause between them. A refusal with 503 asks for a pause.
const MAX_CALLS: u32 = 100;
const CALL_PERIOD: Duration = Duration::from_millis(200);

/// Submits an ordinary job until it is accepted and checks that it succeeds.
pub(crate) async fn check(system: &DirectSystem) {
    let job = json!({ "spec": "payload", "bestEffort": true,
        "steps": [{ "count": 1, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] });
    for _ in 0..MAX_CALLS {
        match system.try_submit("5c0e7a21d94b36f8", &job).await {
            Some(StatusCode::OK) => return,
            None | Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
                sleep(CALL_PERIOD).await;
            }
            Some(status) => panic!("an ordinary request was answered {status}"),
        }
    }
    panic!("an ordinary request was not served");
}
