//! Callers that submit jobs at a steady rate.

use std::{net::SocketAddr, time::Duration};

use reqwest::Client;
use serde_json::{Value, json};
use tokio::{task::JoinHandle, time::interval};
use types::JobId;

use crate::fleet::{Fleet, TOKEN};

/// Running callers of a fleet.
pub(crate) struct Load {
    callers: JoinHandle<()>,
}

impl Load {
    /// Submits one job a second for each agent, each with `starts_per_agent` tasks.
    pub(crate) fn start(fleet: &Fleet, starts_per_agent: u32) -> Self {
        let addrs = fleet.addrs();
        let period = Duration::from_secs(1) / fleet.len() as u32;
        let tasks: Value =
            (0..starts_per_agent).map(|i| json!({ "batch": i, "ingredients": ["milk"] })).collect();
        let callers = fleet.caller_runtime().spawn(submit_forever(addrs, period, tasks));
        Self { callers }
    }

    pub(crate) fn stop(self) {
        self.callers.abort();
    }
}

/// Submits a job to the next entry in turn every `period`, without waiting for the replies.
async fn submit_forever(addrs: Vec<SocketAddr>, period: Duration, tasks: Value) {
    let client = Client::new();
    let mut ticks = interval(period);
    for addr in addrs.iter().cycle() {
        ticks.tick().await;
        let body = json!({ "id": JobId::generate(), "kind": "allergens", "tasks": tasks });
        let url = format!("http://{addr}/v1/services/recipe/jobs");
        let req = client.post(url).bearer_auth(TOKEN).body(body.to_string());
        tokio::spawn(req.send());
    }
}
