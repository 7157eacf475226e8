//! Benchmark of an entry's decisions on a fully used pool: processor time for each report of an agent
//! and for each submission, by the number of jobs that wait.
//!
//! ```
//! cargo run --release --locked -p direct --example dispatch_cost
//! ```

use std::{sync::Arc, time::Instant};

use direct::{
    AgentHello, AgentKey, ClaimNews, DirectJob, Dispatcher, DispatcherEffect, JobStep, Load,
    Report, Timing, ToAgent, Upstream, UpstreamState,
};
use types::Resources;

const AGENTS: u32 = 61;
const ZONES: u32 = 4;
const CAPACITY: Resources = Resources { milli_cores: 64_000, memory_mb: 262_144, accelerators: 0 };
/// Free capacity in reports: less than any task of the waiting jobs needs.
const LEFT: Resources = Resources { milli_cores: 4_000, memory_mb: 200_000, accelerators: 0 };
const NEED: Resources = Resources { milli_cores: 5_800, memory_mb: 64, accelerators: 0 };
const WAITING_JOBS: [u32; 4] = [0, 5, 20, 60];
const REPORTS: u32 = 6_000;

fn report(agent: u32, is_first: bool, free: Resources) -> Report {
    let upstream = Upstream {
        id: format!("u{agent}").into(),
        incarnation: 1,
        pool: "ledger".into(),
        zone: format!("zone-{}", agent % ZONES).into(),
        capacity: CAPACITY,
        largest_capacity: CAPACITY,
        labels: vec!["a".into(), format!("r{}", agent / 7).into()],
        state: UpstreamState::Ready,
        cold_ms: 0,
    };
    let load = Load {
        free,
        batches_seen: u64::MAX,
        switches_seen: u64::MAX,
        is_open: true,
        awaits_entries: false,
    };
    let upstream = is_first.then_some(upstream);
    Report { upstream, load, outcomes: Vec::new(), crashes: Vec::new(), claims: Vec::new() }
}

fn job(id: u32) -> DirectJob {
    let step = JobStep {
        tasks: 8,
        need: NEED,
        estimate_ms: 51,
        after: Vec::new(),
        label: None,
        rack: None,
        max_per_upstream: None,
    };
    DirectJob {
        id: format!("{id:016x}").into(),
        pool: "ledger".into(),
        kind: "posting".into(),
        payload: Arc::from("payload"),
        steps: vec![step],
        priority: 0,
        max_attempts: 2,
        // The jobs wait through the whole benchmark.
        stretch: 10_000.0,
        allowance_ms: 60,
        caller_timeout_ms: 10_000_000,
        queue_timeout_ms: 10_000_000,
    }
}

fn submit(dispatcher: &mut Dispatcher, id: u32, now_ms: u64) {
    let (_, effects) = dispatcher.submit(job(id), now_ms);
    for effect in effects {
        if let DispatcherEffect::Send(agent, ToAgent::Claim(claim)) = effect {
            dispatcher.on_claims(agent, &[ClaimNews::Granted(claim.id)], now_ms);
        }
    }
}

fn main() {
    println!("waiting jobs, us a report, us a submission with its claims");
    for waiting in WAITING_JOBS {
        let mut dispatcher = Dispatcher::new(Timing::default(), "zone-0".into(), 1);
        for agent in 0..AGENTS {
            let hello = AgentHello {
                agent: format!("agent-{agent}").into(),
                incarnation: 1,
                entries: Vec::new(),
            };
            let (key, ..) = dispatcher.on_agent_hello(&hello, 0);
            dispatcher.on_report(key, report(agent, true, LEFT), 0);
        }
        for id in 0..waiting {
            submit(&mut dispatcher, id, 1);
        }
        // A few rounds make all links active.
        for round in 0..40u64 {
            for agent in 0..AGENTS {
                dispatcher.on_report(AgentKey(agent), report(agent, false, LEFT), 2 + round * 6);
            }
        }
        let start = Instant::now();
        for n in 0..REPORTS {
            let free = Resources { milli_cores: LEFT.milli_cores - n % 7, ..LEFT };
            let now_ms = 300 + u64::from(n) / 3;
            dispatcher.on_report(AgentKey(n % AGENTS), report(n % AGENTS, false, free), now_ms);
        }
        let report_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(REPORTS);
        let start = Instant::now();
        for n in 0..20 {
            submit(&mut dispatcher, 1_000 + n, 2_400);
        }
        let submit_us = start.elapsed().as_secs_f64() * 1e6 / 20.0;
        println!("{waiting:12} {report_us:12.1} {submit_us:12.1}");
    }
}
