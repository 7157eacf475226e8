//! Disturbances of the connections through a relay.

use std::{sync::Arc, time::Duration};

use emulator::{PathFault, Relay, RelayFaults};
use rand::{RngExt, rngs::StdRng};
use tokio::time::sleep;

use crate::{faults::lock, system::System};

/// Step in which a delay grows; the gaps between messages stay short.
const GROWTH_PERIOD: Duration = Duration::from_millis(30);
const GROWTH_MS: usize = 20;
const MAX_DELAY_MS: u64 = 4_000;
/// Longest delay of requests, and of the ends of channels, with which an entry learns that a caller
/// has gone before the caller submits its job again, milliseconds.
const MAX_REQUEST_DELAY_MS: u64 = 1_000;
/// Longest round trip between callers and entries, milliseconds.
const MAX_ROUND_TRIP_MS: u64 = 6;
/// Number of connections after which the random selection repeats.
const SELECTION: usize = 64;
const PASSING: PathFault = PathFault { delay_ms: 0, is_held: false, gap_ms: 0, bytes_per_s: None };
const HELD: PathFault = PathFault { is_held: true, ..PASSING };

/// Kind of a disturbance.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// The connections are reset.
    Reset,
    /// The connections have these faults.
    Constant(RelayFaults),
    /// The delay of one direction grows, then the other direction is held up.
    Growing { is_out: bool },
}

impl Kind {
    pub(crate) fn any(rng: &mut StdRng) -> Self {
        match rng.random_range(0..6) {
            0 => Self::Reset,
            1 => Self::Growing { is_out: rng.random_bool(0.5) },
            2 => Self::Constant(RelayFaults { out: HELD, back: HELD }),
            3 => Self::Constant(RelayFaults { out: HELD, back: PASSING }),
            4 => Self::Constant(RelayFaults { out: PASSING, back: HELD }),
            _ => {
                let path = PathFault {
                    delay_ms: rng.random_range(50..1_500),
                    bytes_per_s: rng.random_bool(0.5).then(|| rng.random_range(2_000..50_000)),
                    ..PASSING
                };
                Self::Constant(RelayFaults { out: path, back: path })
            }
        }
    }

    /// Returns a disturbance of the path of callers. An entry can tell that a request was held up
    /// from the end of the channel behind it. If that end is under way for longer than the callers
    /// take to submit again, nothing tells it. With `has_late_ends` delays do that, without it only
    /// a path that is held up after the request has passed.
    pub(crate) fn of_callers(rng: &mut StdRng, has_late_ends: bool) -> Self {
        let late = |max_ms: u64, rng: &mut StdRng| PathFault {
            delay_ms: rng.random_range(50..max_ms),
            ..PASSING
        };
        let held = PathFault { gap_ms: rng.random_range(0..=MAX_ROUND_TRIP_MS), ..HELD };
        let max_out_ms = if has_late_ends { MAX_DELAY_MS } else { MAX_REQUEST_DELAY_MS };
        let (out, back) = match rng.random_range(0..8) {
            0 => return Self::Reset,
            1 => (PASSING, HELD),
            2 => (PASSING, late(MAX_DELAY_MS, rng)),
            3 => (late(max_out_ms, rng), late(MAX_DELAY_MS, rng)),
            4 => (held, HELD),
            _ => (held, PASSING),
        };
        Self::Constant(RelayFaults { out, back })
    }
}

/// Disturbs some of a relay's connections, or all and new ones too, for a time.
pub(crate) async fn disturb(relay: &Relay, kind: Kind, duration: Duration, rng: &mut StdRng) {
    let includes_new = rng.random_bool(0.3);
    let share = rng.random_range(0.2..1.0);
    let selected: Vec<bool> = (0..SELECTION).map(|_| rng.random_bool(share)).collect();
    let is_selected = |i: usize| includes_new || selected[i % SELECTION];
    let set = |faults: RelayFaults| {
        if includes_new {
            relay.set_faults(faults);
        } else {
            relay.set_open_connections(faults, is_selected);
        }
    };
    match kind {
        Kind::Reset => relay.reset(is_selected),
        Kind::Constant(faults) => set(faults),
        Kind::Growing { is_out } => {
            let mut faults = RelayFaults::default();
            for delay_ms in (0..MAX_DELAY_MS).step_by(GROWTH_MS) {
                let path = if is_out { &mut faults.out } else { &mut faults.back };
                path.delay_ms = delay_ms;
                set(faults);
                sleep(GROWTH_PERIOD).await;
            }
            let other = if is_out { &mut faults.back } else { &mut faults.out };
            other.is_held = true;
            set(faults);
        }
    }
    sleep(duration).await;
    relay.set_faults(RelayFaults::default());
}

/// Ends all disturbances.
pub(crate) fn clear(system: &System) {
    let relays = system.link_relays.iter().chain(&system.caller_relays);
    let relays = relays.chain([&system.store_relay]).cloned();
    let of_executors = system.executor_relays.iter().map(|relay| Arc::clone(&lock(relay)));
    relays.chain(of_executors).for_each(|relay| relay.set_faults(RelayFaults::default()));
}
