//! Restraint of entries that compete for the last capacity of an agent.
//!
//! Load pattern: the upstreams are nearly full, and tens of entries have tasks that wait. If each of
//! them sends a task for every slot that a report shows, one starts and the others are refused,
//! several times over for each start, and the refused ones have cost a round trip and the bytes of
//! their input. An entry therefore tries for the last slots of an agent only with a probability,
//! which falls with each refusal and rises with each start until the intended share is refused. A
//! slot that the entry's own task has just left is free for it without restraint.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Share of the tries that is refused in the long run, for agents of the own zone and of others. It
/// is higher for the own zone, because a slot that nobody tries for stays empty.
const NEAR_REFUSED_SHARE: f64 = 0.4;
const FAR_REFUSED_SHARE: f64 = 0.15;
/// Relative change of the probability with a refusal.
const STEP: f64 = 0.06;
/// Minimum probability, so that an entry notices when the competition ends.
const MIN_PROBABILITY: f64 = 0.02;
/// Time for which a decision not to try holds, milliseconds.
const DRAW_MS: u64 = 8;

types::plain! {
    /// Which slots an attempt competed for.
    #[derive(Copy, Eq)]
    pub(crate) enum Contest {
        /// The last slots of an agent in the entry's zone.
        Near,
        /// The last slots of an agent in another zone.
        Far,
    }

    /// Probability of trying for last slots.
    #[derive(Copy)]
    pub(crate) struct Contention {
        near: f64,
        far: f64,
    }
}

impl Default for Contention {
    fn default() -> Self {
        Self { near: 1.0, far: 1.0 }
    }
}

impl Contention {
    /// Records whether an attempt that competed started.
    pub(crate) fn record(&mut self, contest: Contest, is_started: bool) {
        let (probability, refused_share) = match contest {
            Contest::Near => (&mut self.near, NEAR_REFUSED_SHARE),
            Contest::Far => (&mut self.far, FAR_REFUSED_SHARE),
        };
        let change = if is_started { STEP * refused_share / (1.0 - refused_share) } else { -STEP };
        *probability = (*probability * (1.0 + change)).clamp(MIN_PROBABILITY, 1.0);
    }

    /// Returns whether the entry tries for the last slots of the agent with this rank now.
    pub(crate) fn may_try(&self, contest: Contest, rank: u64, now_ms: u64) -> bool {
        let probability = match contest {
            Contest::Near => self.near,
            Contest::Far => self.far,
        };
        let mut hasher = DefaultHasher::new();
        (rank, now_ms / DRAW_MS).hash(&mut hasher);
        let drawn = u32::try_from(hasher.finish() >> 32).unwrap_or(u32::MAX);
        f64::from(drawn) < probability * f64::from(u32::MAX)
    }
}
