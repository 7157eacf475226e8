//! Runs a load plan against the naive dispatcher and executors of different speeds, all in
//! one process: `cargo run --release -p load --example naive -- PLAN [RATIO [JSON]]`.
//! The fastest executor is RATIO times as fast as the slowest (default 4). The report is also
//! written to the file JSON, when it is given.

use std::{env, error::Error, fs, net::SocketAddr, path::Path};

use emulator::{ExecutorServer, ExecutorSettings};
use load::{LoadPlan, NaiveDispatcher, NaiveUpstream};

/// Executors of each service.
const EXECUTORS: u32 = 11;

const DEFAULT_RATIO: f64 = 4.0;

type AnyError = Box<dyn Error>;

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let mut args = env::args().skip(1);
    let plan_file = args.next().ok_or("usage: naive PLAN [RATIO [JSON]]")?;
    let mut plan: LoadPlan = settings::load(Path::new(&plan_file))?;
    let ratio = args.next().map_or(Ok(DEFAULT_RATIO), |text| text.parse())?;
    let (executors, upstreams) = start_executors(&plan, ratio).await?;
    let naive = NaiveDispatcher::start(upstreams, loopback()).await?;
    plan.targets = vec![naive.url()];
    plan.executors = executors.iter().map(ExecutorServer::url).collect();
    let report = load::run(plan, |progress| println!("{progress}")).await?;
    println!("{report}");
    if let Some(json_file) = args.next() {
        fs::write(json_file, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(())
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts the executors of every service of a plan, and returns them with their upstreams.
async fn start_executors(
    plan: &LoadPlan,
    ratio: f64,
) -> Result<(Vec<ExecutorServer>, Vec<NaiveUpstream>), AnyError> {
    let (mut executors, mut upstreams) = (Vec::new(), Vec::new());
    for (service, capacity) in &plan.services {
        let slots = capacity.slots / EXECUTORS;
        for index in 0..EXECUTORS {
            let speed = capacity.mean_speed * relative_speed(index, ratio);
            let settings = ExecutorSettings { slots, speed, ..Default::default() };
            let executor = ExecutorServer::start(settings, loopback()).await?;
            upstreams.push(NaiveUpstream { url: executor.url(), service: service.clone(), slots });
            executors.push(executor);
        }
    }
    Ok((executors, upstreams))
}

/// Returns the speed of an executor relative to the mean speed; speeds rise in even steps.
fn relative_speed(index: u32, ratio: f64) -> f64 {
    let slowest = 2.0 / (1.0 + ratio);
    let position = f64::from(index) / f64::from(EXECUTORS - 1);
    slowest * (1.0 + (ratio - 1.0) * position)
}
