//! Executors in this process or as processes of their own, and the faults of the latter.

use std::{
    env,
    ops::Range,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use emulator::{
    FakeExecutor, FakeExecutorClock, FakeExecutorFaults, FakeExecutorSettings, Relay, RunLedger,
};
use rand::{RngExt, rngs::StdRng};
use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    faults::{Fault, end, lock, starve},
    hosts,
    process::Process,
    system::{self, System},
};

/// Length of a freeze, number of freezes in a series, and time between two of them, milliseconds.
const FREEZE_MS: Range<u64> = 20..400;
const FREEZES: Range<u64> = 1..8;
const THAW_MS: Range<u64> = 1..100;
/// Time that a starved process runs in each tenth of a second, and for how long it is starved,
/// milliseconds.
const STARVED_RUN_MS: Range<u64> = 2..8;
const STARVED_MS: Range<u64> = 300..3_000;
/// Time until a killed executor is back, milliseconds.
const PAUSE_MS: Range<u64> = 0..1_500;

/// Faults of a sequence of faults of executors. The host is the executor with its agent.
pub(crate) const OF_EXECUTORS: [Fault; 5] = [
    Fault::FreezeExecutor,
    Fault::FreezeHost,
    Fault::StarveExecutor,
    Fault::StarveHost,
    Fault::KillExecutor,
];

/// Returns whether executors are processes of their own.
pub(crate) fn are_processes() -> bool {
    match env::var("SOAK_EXECUTORS").as_deref() {
        Ok("processes") => true,
        Ok(other) => panic!("SOAK_EXECUTORS is processes or not set, not {other}"),
        Err(_) => false,
    }
}

/// An executor, whose agent reaches it through a relay.
pub(crate) enum Executor {
    Fake(FakeExecutor),
    Process(Mutex<Process>),
}

impl Executor {
    /// Starts an executor that sends heartbeats to `control`.
    pub(crate) async fn start(
        dir: &Path,
        settings: FakeExecutorSettings,
        clock: FakeExecutorClock,
        relay: &Arc<Relay>,
        control: &Relay,
        ledger: &RunLedger,
    ) -> Self {
        if are_processes() {
            let clock = FakeExecutorClock { is_late_when_starved: true, ..clock };
            let name = settings.id.clone();
            let settings = json!({ "platform_executor":
                { "control": control.addr(), "behaviour": settings, "clock": clock,
                    "drain_ms": hosts::drain_ms() } });
            let relays = vec![("executor", Arc::clone(relay))];
            let ledger = Some(ledger.clone());
            let process = system::start(dir, "emulator", &name, &settings, relays, ledger);
            return Self::Process(Mutex::new(process));
        }
        let executor = FakeExecutor::start(settings, ledger.clone()).await;
        let executor = executor.expect("an executor starts");
        executor.set_clock(clock);
        relay.set_target(executor.addr());
        executor.announce(control.addr());
        Self::Fake(executor)
    }

    pub(crate) fn set_faults(&self, faults: FakeExecutorFaults) {
        match self {
            Self::Fake(executor) => executor.set_faults(faults),
            Self::Process(process) => {
                let line = serde_json::to_string(&faults).expect("faults can be written");
                lock(process).send(line);
            }
        }
    }

    pub(crate) fn into_process(self) -> Option<Process> {
        match self {
            Self::Fake(..) => None,
            Self::Process(process) => process.into_inner().ok(),
        }
    }

    pub(crate) fn process(&self) -> Option<&Mutex<Process>> {
        match self {
            Self::Fake(..) => None,
            Self::Process(process) => Some(process),
        }
    }
}

/// Disturbs an executor that is a process, alone or with its agent.
pub(crate) async fn disturb(system: &System, fault: Fault, rng: &mut StdRng) {
    let i = rng.random_range(0..system.executors.len());
    let executor = system.executors[i].process().expect("executors are processes");
    let mut processes = vec![executor];
    if matches!(fault, Fault::FreezeHost | Fault::StarveHost) {
        processes.push(&system.agents[i]);
    }
    match fault {
        Fault::KillExecutor => {
            let is_back_at_once = rng.random_bool(0.5);
            let pause_ms = if is_back_at_once { 0 } else { rng.random_range(PAUSE_MS) };
            end(executor, Signal::KILL, Duration::from_millis(pause_ms)).await;
        }
        Fault::StarveExecutor | Fault::StarveHost => {
            let run_ms = rng.random_range(STARVED_RUN_MS);
            let length = Duration::from_millis(rng.random_range(STARVED_MS));
            starve(&processes, run_ms, length).await;
        }
        _ => {
            for _ in 0..rng.random_range(FREEZES) {
                let freeze_ms = rng.random_range(FREEZE_MS);
                processes.iter().for_each(|process| lock(process).signal(Signal::STOP));
                sleep(Duration::from_millis(freeze_ms)).await;
                processes.iter().for_each(|process| lock(process).signal(Signal::CONT));
                sleep(Duration::from_millis(rng.random_range(THAW_MS))).await;
            }
        }
    }
}
