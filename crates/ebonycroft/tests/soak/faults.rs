//! Random faults of the processes, the executors and the store.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use emulator::{FakeExecutorFaults, LogFaults};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::sleep;

use crate::{
    caller::DEADLY_CALLER,
    process::Process,
    system::{System, config},
};

/// Fault of a process (killed, frozen for a time or stopped by a signal), of an executor or of the
/// store, or a change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    Kill,
    Freeze,
    Stop,
    UnresponsiveExecutor,
    LateStarts,
    FailingExecutor,
    DeadlyTasks,
    StoreOutage,
    ConfigChange,
}

/// All faults, each with the same probability.
const ALL: [Fault; 9] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::Stop,
    Fault::UnresponsiveExecutor,
    Fault::LateStarts,
    Fault::FailingExecutor,
    Fault::DeadlyTasks,
    Fault::StoreOutage,
    Fault::ConfigChange,
];

/// Injects random faults one after the other for a time. Returns the number of faults of each kind.
pub(crate) async fn inject(
    system: &mut System,
    seed: u64,
    length: Duration,
) -> BTreeMap<Fault, usize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counts = BTreeMap::new();
    let mut version = 1;
    let start = Instant::now();
    while start.elapsed() < length {
        sleep(Duration::from_millis(rng.random_range(100..600))).await;
        let fault = ALL[rng.random_range(0..ALL.len())];
        *counts.entry(fault).or_insert(0) += 1;
        let duration = Duration::from_millis(rng.random_range(50..2_000));
        match fault {
            Fault::Kill => {
                let process = random_process(system, &mut rng);
                process.signal(Signal::KILL);
                process.wait();
                sleep(duration / 4).await;
                process.restart();
            }
            Fault::Freeze => {
                let process = random_process(system, &mut rng);
                process.signal(Signal::STOP);
                sleep(duration).await;
                process.signal(Signal::CONT);
            }
            Fault::Stop => {
                let process = random_process(system, &mut rng);
                process.signal(Signal::TERM);
                process.wait();
                process.restart();
            }
            Fault::UnresponsiveExecutor => {
                let faults = FakeExecutorFaults { is_unresponsive: true, ..Default::default() };
                inject_at_executor(system, &mut rng, faults, duration).await;
            }
            Fault::LateStarts => {
                let late_starts = rng.random_range(1..6);
                let faults = FakeExecutorFaults { late_starts, ..Default::default() };
                inject_at_executor(system, &mut rng, faults, duration).await;
            }
            Fault::FailingExecutor => {
                let faults = FakeExecutorFaults { fails_all: true, ..Default::default() };
                inject_at_executor(system, &mut rng, faults, duration).await;
            }
            Fault::DeadlyTasks => {
                let faults =
                    FakeExecutorFaults { crashed_by: Some(DEADLY_CALLER), ..Default::default() };
                system.executors.iter().for_each(|executor| executor.set_faults(faults));
                sleep(duration / 2).await;
                // The process that knows of the crashes is lost in the middle of them.
                let process = random_process(system, &mut rng);
                process.signal(Signal::KILL);
                process.wait();
                process.restart();
                sleep(duration / 2).await;
                let none = FakeExecutorFaults::default();
                system.executors.iter().for_each(|executor| executor.set_faults(none));
            }
            Fault::StoreOutage => {
                let silent = rng.random_bool(0.5);
                let faults = LogFaults { silent, down: !silent, ..LogFaults::default() };
                system.store.faults().set(faults);
                sleep(duration).await;
                system.store.faults().clear();
            }
            Fault::ConfigChange => {
                version += rng.random_range(1..5);
                system.store.put_config(&config(version));
            }
        }
    }
    counts
}

/// Returns a random entry or agent.
fn random_process<'a>(system: &'a mut System, rng: &mut StdRng) -> &'a mut Process {
    let processes = if rng.random_bool(0.5) { &mut system.entries } else { &mut system.agents };
    let index = rng.random_range(0..processes.len());
    &mut processes[index]
}

/// Sets faults at a random executor for a time.
async fn inject_at_executor(
    system: &System,
    rng: &mut StdRng,
    faults: FakeExecutorFaults,
    duration: Duration,
) {
    let executor = &system.executors[rng.random_range(0..system.executors.len())];
    executor.set_faults(faults);
    sleep(duration).await;
    executor.set_faults(FakeExecutorFaults::default());
}
