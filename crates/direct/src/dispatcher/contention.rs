//! Restraint of entries that compete for the last slots of agents in other zones.
//!
//! Load pattern: the upstreams are nearly full, and tens of entries have tasks that wait. If each of
//! them sends a task to another zone for every slot that a report shows there, one starts and the
//! others are refused, many times over for each start, and every refused one has cost a round trip
//! and the bytes of its input between zones. An entry therefore tries for the last slots of an agent
//! in another zone only with a probability, which falls with each refusal and rises with each
//! start until the intended share is refused. Within its zone it tries at once, because there a
//! refusal costs little and a slot that nobody tries for stays empty.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Share of the tries that is refused in the long run.
const REFUSED_SHARE: f64 = 0.15;
/// Relative change of the probability with a refusal.
const STEP: f64 = 0.15;
/// Minimum probability, so that an entry notices when the competition ends.
const MIN_PROBABILITY: f64 = 0.01;
/// Time for which a decision not to try holds, milliseconds.
const DRAW_MS: u64 = 8;

types::plain! {
    /// Probability of trying for the last slots of an agent in another zone.
    #[derive(Copy)]
    pub(crate) struct Contention {
        probability: f64,
    }
}

impl Default for Contention {
    fn default() -> Self {
        Self { probability: 1.0 }
    }
}

impl Contention {
    /// Records whether an attempt that competed started.
    pub(crate) fn record(&mut self, is_started: bool) {
        let change = if is_started { STEP * REFUSED_SHARE / (1.0 - REFUSED_SHARE) } else { -STEP };
        self.probability = (self.probability * (1.0 + change)).clamp(MIN_PROBABILITY, 1.0);
    }

    /// Returns whether the entry tries for the last slots of the agent with this rank now.
    pub(crate) fn may_try(&self, rank: u64, now_ms: u64) -> bool {
        let mut hasher = DefaultHasher::new();
        (rank, now_ms / DRAW_MS).hash(&mut hasher);
        let drawn = u32::try_from(hasher.finish() >> 32).unwrap_or(u32::MAX);
        f64::from(drawn) < self.probability * f64::from(u32::MAX)
    }
}
