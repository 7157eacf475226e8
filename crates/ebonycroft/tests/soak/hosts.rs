//! Hosts, each an agent with its executor, that are lost or leave in order, with others that come in
//! their place, and planned ends of all agents in turn.

use std::{ops::Range, sync::Mutex, time::Duration};

use futures::future::join_all;
use rand::{RngExt, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use crate::{
    env_number,
    faults::{Fault, end, lock},
    process::Process,
    system::System,
};

/// Faults of a sequence of changes of hosts.
pub(crate) const OF_HOSTS: [Fault; 2] = [Fault::LoseHost, Fault::DrainHost];
/// How long an executor serves on before its planned end, unless `SOAK_DRAIN_MS` states it: longer than
/// all runs, milliseconds.
const DRAIN_MS: u64 = 4_000;
/// Share of the hosts that drain whose agent is stopped beside its executor, and not after it.
const BESIDE_SHARE: f64 = 0.5;
/// Longer than the time that an agent, or an executor after its drain, takes for a planned end.
const END_TIMEOUT: Duration = Duration::from_secs(7);
/// Time until another host comes, milliseconds.
const ABSENCE_MS: Range<u64> = 1_000..4_000;
/// Time from one step of a roll to the next, and from an agent's end until it is back.
const ROLL_PERIOD: Duration = Duration::from_millis(1_200);
const ROLL_PAUSE: Duration = Duration::from_millis(500);
/// Number of agents in each step of a roll.
const ROLL_GROUPS: [usize; 2] = [1, 3];

/// Returns how long executors serve on before a planned end, milliseconds.
pub(crate) fn drain_ms() -> u64 {
    env_number("SOAK_DRAIN_MS", DRAIN_MS)
}

/// Ends a host, at once or in order, and starts another one in its place.
pub(crate) async fn replace(system: &System, fault: Fault, rng: &mut StdRng) {
    let slot = rng.random_range(0..system.agents.len());
    let (is_beside, share) = (rng.random_bool(BESIDE_SHARE), rng.random_range(0.0..1.1));
    let absence = Duration::from_millis(rng.random_range(ABSENCE_MS));
    // Another sequence may be replacing it.
    let Ok(_replacing) = system.replacing[slot].try_lock() else { return };
    let executor = system.executors[slot].process().expect("executors are processes");
    let agent = &system.agents[slot];
    if fault == Fault::DrainHost {
        let drain = Duration::from_millis(drain_ms());
        lock(executor).retire(Signal::TERM);
        if is_beside {
            sleep(drain.mul_f64(share)).await;
        } else {
            until_ended(executor, drain + END_TIMEOUT).await;
        }
        lock(agent).retire(Signal::TERM);
        until_ended(executor, drain + END_TIMEOUT).await;
        until_ended(agent, END_TIMEOUT).await;
    }
    [executor, agent].into_iter().for_each(|process| lock(process).retire(Signal::KILL));
    [executor, agent].into_iter().for_each(|process| lock(process).finish());
    sleep(absence).await;
    system.replace_host(slot).await;
}

/// Stops the agents in turn, one or three at a time, until the time is over.
pub(crate) async fn roll(system: &System, time: Duration, rng: &mut StdRng) {
    let group = ROLL_GROUPS[rng.random_range(0..ROLL_GROUPS.len())];
    let steps = system.agents.chunks(group).zip(0_u32..);
    let steps = steps.map(|(agents, i)| (agents, ROLL_PERIOD * i));
    let steps = steps.take_while(|(_, after)| *after < time).map(async |(agents, after)| {
        sleep(after).await;
        join_all(agents.iter().map(|agent| end(agent, Signal::TERM, ROLL_PAUSE))).await;
    });
    join_all(steps).await;
}

async fn until_ended(process: &Mutex<Process>, limit: Duration) {
    let start = Instant::now();
    while !lock(process).has_ended() && start.elapsed() < limit {
        sleep(Duration::from_millis(5)).await;
    }
}
