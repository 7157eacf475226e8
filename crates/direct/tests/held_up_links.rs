//! Simulation of links that delay, hold up or cut off messages, and of agents that read slowly.
//!
//! Guards against a start that is carried out because it has just arrived, although it was sent
//! seconds ago and its entry has started the task elsewhere since.

mod common;

use common::{
    job,
    simulation::{Disruption, Entry, Host, HostFaults, Link, STEP_MS, running},
};
use direct::{DirectJob, TaskId};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 16;
const AGENTS: usize = 3;
/// Links with disruptions.
const DISRUPTED: usize = 2;
const END_MS: u64 = 25_000;
const JOB_PERIOD_MS: u64 = 150;

fn host(n: usize, rng: &mut StdRng) -> Host {
    let mut disruptions = || {
        let mut start_ms = 1_000;
        let mut all = Vec::new();
        while n < DISRUPTED && start_ms < END_MS - 5_000 {
            let from_ms = start_ms + rng.random_range(0..4_000);
            let until_ms = from_ms + rng.random_range(200..10_000);
            let delay_ms = rng.random_range(200..10_000);
            all.push(Disruption { from_ms, until_ms, delay_ms, is_cut: rng.random_bool(0.4) });
            start_ms = until_ms;
        }
        all
    };
    let (to_agent, to_entry) = (disruptions(), disruptions());
    let faults = HostFaults {
        is_slow: n < DISRUPTED && rng.random_bool(0.4),
        stops_are_lost: rng.random_bool(0.7),
        ..HostFaults::default()
    };
    Host::new(n, vec![Link::new(to_agent, to_entry)], faults)
}

#[test]
fn no_task_runs_twice_at_a_time_whatever_its_links_delay() {
    let mut runs_started = 0;
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut hosts: Vec<Host> = (0..AGENTS).map(|n| host(n, &mut rng)).collect();
        let mut entry = Entry::new(0, seed);
        for now_ms in (STEP_MS..END_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            hosts.iter_mut().for_each(|host| host.step(now_ms));
            if now_ms.is_multiple_of(JOB_PERIOD_MS) {
                let submitted = DirectJob {
                    caller_timeout_ms: 20_000,
                    allowance_ms: 15_000,
                    ..job(&format!("j{now_ms}"), 1)
                };
                entry.submit(&mut hosts, submitted, false, now_ms);
            }
            entry.step(&mut hosts, now_ms);
            let (runs, twice) = running(&hosts);
            assert_eq!(twice, Vec::<TaskId>::new(), "seed {seed}: at {now_ms} ms");
            runs_started = runs_started.max(runs);
        }
    }
    assert!(runs_started > 1, "nothing ran");
}
