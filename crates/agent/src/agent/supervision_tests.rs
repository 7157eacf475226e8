//! The agent stops when one of its parts fails, instead of running on without it.

use std::sync::Arc;

use futures::future::BoxFuture;
use ports::{Executor, ExecutorError, RunRequest};
use settings::TokenDigest;
use types::{Location, Payload, Resources};

use crate::{AdminSettings, Agent, AgentParts, AgentSettings, ExecutorSettings};

/// An executor that these tests never call.
struct UnusedExecutor;

impl Executor for UnusedExecutor {
    fn run(&self, _: RunRequest) -> BoxFuture<'_, Result<Payload, ExecutorError>> {
        Box::pin(std::future::pending())
    }
}

async fn start_agent() -> Agent {
    let addr = "127.0.0.1:0".parse().unwrap();
    let settings = AgentSettings {
        name: "recipe-01".parse().unwrap(),
        pool: "recipe-executors".parse().unwrap(),
        location: Location {
            region: "midlands".parse().unwrap(),
            zone: "mid-a".parse().unwrap(),
            rack: "a-1".parse().unwrap(),
        },
        listen: addr,
        advertise: None,
        admin: AdminSettings { listen: addr, tokens: vec![TokenDigest::of("operator")] },
        entries: Vec::new(),
        log: "http://127.0.0.1:1".to_owned(),
        executor: Some(ExecutorSettings {
            url: "http://127.0.0.1:1".to_owned(),
            slots: 1,
            connections: 1,
        }),
        worker: None,
        capacity: Resources { milli_cores: 1_000, memory_mb: 1_024, accelerators: 0 },
        memory: Default::default(),
        traces: Default::default(),
    };
    let parts = AgentParts { executor: Some(Arc::new(UnusedExecutor)), ..Default::default() };
    Agent::start(settings, parts).await.unwrap()
}

#[tokio::test]
async fn agent_stops_when_its_core_is_killed() {
    let agent = start_agent().await;
    agent.core.kill();
    agent.stopped().await;
    assert!(!agent.is_leaving());
}

#[tokio::test]
async fn agent_stops_when_a_server_panics() {
    let agent = start_agent().await;
    let _server = agent.supervise(async { panic!("panic injected by the test") });
    agent.stopped().await;
    assert!(!agent.is_leaving());
}
