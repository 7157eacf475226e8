use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use emulator::{FakeExecutorFaults, LogFaults};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::sleep;

use crate::{
    process::Process,
    system::{System, config},
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    Kill,
    Freeze,
    Stop,
    MuteExecutor,
    LateStarts,
    FailingExecutor,
    StoreOutage,
    ConfigChange,
}

const ALL: [Fault; 8] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::Stop,
    Fault::MuteExecutor,
    Fault::LateStarts,
    Fault::FailingExecutor,
    Fault::StoreOutage,
    Fault::ConfigChange,
];

/// Plays faults one after the other; returns how many of each kind.
pub(crate) async fn play(
    system: &mut System,
    seed: u64,
    length: Duration,
) -> BTreeMap<Fault, usize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut played = BTreeMap::new();
    let mut version = 1;
    let start = Instant::now();
    while start.elapsed() < length {
        sleep(Duration::from_millis(rng.random_range(100..600))).await;
        let fault = ALL[rng.random_range(0..ALL.len())];
        *played.entry(fault).or_insert(0) += 1;
        let for_ = Duration::from_millis(rng.random_range(50..2_000));
        match fault {
            Fault::Kill => {
                let process = any_process(system, &mut rng);
                process.signal(Signal::KILL);
                process.wait();
                sleep(for_ / 4).await;
                process.start_again();
            }
            Fault::Freeze => {
                let process = any_process(system, &mut rng);
                process.signal(Signal::STOP);
                sleep(for_).await;
                process.signal(Signal::CONT);
            }
            Fault::Stop => {
                let process = any_process(system, &mut rng);
                process.signal(Signal::TERM);
                process.wait();
                process.start_again();
            }
            Fault::MuteExecutor => {
                let faults = FakeExecutorFaults { is_unresponsive: true, ..Default::default() };
                on_executor(system, &mut rng, faults, for_).await;
            }
            Fault::LateStarts => {
                let late_starts = rng.random_range(1..6);
                let faults = FakeExecutorFaults { late_starts, ..Default::default() };
                on_executor(system, &mut rng, faults, for_).await;
            }
            Fault::FailingExecutor => {
                let faults = FakeExecutorFaults { fails_all: true, ..Default::default() };
                on_executor(system, &mut rng, faults, for_).await;
            }
            Fault::StoreOutage => {
                let silent = rng.random_bool(0.5);
                let faults = LogFaults { silent, down: !silent, ..LogFaults::default() };
                system.store.faults().set(faults);
                sleep(for_).await;
                system.store.faults().clear();
            }
            Fault::ConfigChange => {
                version += rng.random_range(1..5);
                system.store.put_config(&config(version));
            }
        }
    }
    played
}

fn any_process<'a>(system: &'a mut System, rng: &mut StdRng) -> &'a mut Process {
    let processes = if rng.random_bool(0.5) { &mut system.entries } else { &mut system.agents };
    let index = rng.random_range(0..processes.len());
    &mut processes[index]
}

async fn on_executor(
    system: &System,
    rng: &mut StdRng,
    faults: FakeExecutorFaults,
    for_: Duration,
) {
    let executor = &system.executors[rng.random_range(0..system.executors.len())];
    executor.set_faults(faults);
    sleep(for_).await;
    executor.set_faults(FakeExecutorFaults::default());
}
