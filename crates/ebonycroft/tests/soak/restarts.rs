//! Restarts and suspensions of single agents, or of two or three together.

use std::{ops::Range, sync::Mutex, time::Duration};

use futures::future::join_all;
use rand::{RngExt, rngs::StdRng, seq::IndexedRandom};
use rustix::process::Signal;
use tokio::time::sleep;

use crate::{
    faults::{Fault, end, lock},
    process::Process,
    system::System,
};

/// Share of the faults that two or three agents have together.
const GROUP_SHARE: f64 = 0.3;
const MAX_GROUP: usize = 3;
/// Time until an agent is back, milliseconds.
const PAUSE_MS: Range<u64> = 0..4_000;
/// Time after which the successor of a killed agent is killed too, milliseconds. Its first calls
/// take some of it.
const AGAIN_MS: Range<u64> = 0..50;
/// Around the length of a lease, milliseconds.
const SUSPENSION_MS: Range<u64> = 900..1_200;

/// Disturbs one or more agents.
pub(crate) async fn of_agents(system: &System, fault: Fault, rng: &mut StdRng) {
    let is_group = rng.random_bool(GROUP_SHARE);
    let count = if is_group { rng.random_range(2..=MAX_GROUP) } else { 1 };
    let agents: Vec<_> = system.agents.sample(rng, count).collect();
    let (pause, again) = (duration(PAUSE_MS, rng), duration(AGAIN_MS, rng));
    let suspension = duration(SUSPENSION_MS, rng);
    let disturb = async |agent: &Mutex<Process>| match fault {
        Fault::KillAgentsTwice => {
            end(agent, Signal::KILL, Duration::ZERO).await;
            sleep(again).await;
            end(agent, Signal::KILL, Duration::ZERO).await;
        }
        Fault::PauseAgents => end(agent, Signal::KILL, pause).await,
        Fault::StopAgents => end(agent, Signal::TERM, Duration::ZERO).await,
        Fault::SuspendAgents => {
            lock(agent).signal(Signal::STOP);
            sleep(suspension).await;
            lock(agent).signal(Signal::CONT);
        }
        _ => end(agent, Signal::KILL, Duration::ZERO).await,
    };
    join_all(agents.into_iter().map(disturb)).await;
}

fn duration(range_ms: Range<u64>, rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
}
