//! The end of a part of the agent ends the agent.

use std::sync::Arc;

use futures::future::BoxFuture;
use ports::{Executor, ExecutorError, RunRequest};
use settings::TokenDigest;
use types::{Location, Payload, Resources};

use crate::{AdminSettings, Agent, AgentParts, AgentSettings, ExecutorSettings};

/// An executor that is never asked.
struct IdleExecutor;

impl Executor for IdleExecutor {
    fn run(&self, _: RunRequest) -> BoxFuture<'_, Result<Payload, ExecutorError>> {
        Box::pin(std::future::pending())
    }
}

async fn agent() -> Agent {
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
    let parts = AgentParts { executor: Some(Arc::new(IdleExecutor)), ..Default::default() };
    Agent::start(settings, parts).await.unwrap()
}

#[tokio::test]
async fn end_of_the_core_ends_the_agent() {
    let agent = agent().await;
    agent.core.kill();
    agent.stopped().await;
    assert!(!agent.is_leaving());
}

#[tokio::test]
async fn panic_in_a_server_ends_the_agent() {
    let agent = agent().await;
    let _server = agent.supervise(async { panic!("a fault of the test") });
    agent.stopped().await;
    assert!(!agent.is_leaving());
}
