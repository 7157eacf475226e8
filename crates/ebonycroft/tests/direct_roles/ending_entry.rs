//! What becomes of the runs and the callers of an entry that ends.

use reqwest::StatusCode;
use serde_json::json;

use crate::{
    direct_system::{Timing, with_direct_system},
    role::Signal,
};

/// Run time of the tasks, much longer than the test: only a stop ends them.
const LASTING: Timing = Timing { executor_ms: 120_000, allowance_ms: 200_000 };

/// Guards against an agent that waits for the session of a killed entry to time out before it stops
/// the entry's runs, although its connection attempts are refused.
#[tokio::test(flavor = "multi_thread")]
async fn runs_of_a_killed_entry_are_stopped_before_its_session_times_out() {
    with_direct_system("killed-entry", LASTING, async |system| {
        let job = json!({ "spec": "payload", "bestEffort": true,
            "steps": [{ "count": 2, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] });
        let kill = async {
            system.until_executor_is_full().await;
            system.entry.signal(Signal::KILL);
            system.until_executor_is_idle().await;
        };
        tokio::join!(kill, system.try_submit("5c0e7a21d94b36f8", &job));
        let events = system.finish_agent();
        let position = |event: &str| events.iter().position(|known| known == event);
        let gone = position("entry_gone").expect("the agent has noticed that the entry is gone");
        assert!(Some(gone) < position("settled"), "{events:?}");
    })
    .await;
}

/// Guards against an entry that closes the channels of its waiting callers at the end of the grace
/// period instead of answering them.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_entry_that_stops_get_an_answer() {
    with_direct_system("stopped-entry", LASTING, async |system| {
        let job = json!({ "spec": "payload", "bestEffort": true,
            "steps": [{ "count": 2, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] });
        let stop = async {
            system.until_executor_is_full().await;
            system.entry.signal(Signal::TERM);
        };
        let waiting = async {
            system.until_executor_is_full().await;
            system.try_submit("5c0e7a21d94b36f9", &job).await
        };
        let running = system.try_submit("5c0e7a21d94b36f8", &job);
        let (_, running, waiting) = tokio::join!(stop, running, waiting);
        assert_eq!(running, Some(StatusCode::GATEWAY_TIMEOUT));
        assert_eq!(waiting, Some(StatusCode::SERVICE_UNAVAILABLE));
    })
    .await;
}
