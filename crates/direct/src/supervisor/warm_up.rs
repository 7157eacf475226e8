//! Part of the capacity that an agent offers while its upstream is cold.
//!
//! A cold upstream runs tasks slowly for a while, for example after its start. Full of tasks at once,
//! it would delay all of them; few tasks are enough to warm it up.

use types::Resources;

use crate::supervisor::{Supervisor, SupervisorEffect};

/// Number of equal parts of the capacity that are offered one after the other. Each further part is
/// one report on each active link.
const PARTS: u64 = 16;
/// Parts that are offered at first: a quarter.
const FIRST_PARTS: u64 = 4;
/// Difference of two announced ends that counts as the delay of heartbeats, milliseconds; from a
/// later end on, the upstream has become cold again.
const END_TOLERANCE_MS: u64 = 1_000;

types::plain! {
    /// Warm-up of an upstream.
    #[derive(Copy, Eq)]
    pub(crate) struct WarmUp {
        since_ms: u64,
        until_ms: u64,
        /// The time that remained when it began, milliseconds.
        initial_ms: u64,
    }
}

impl WarmUp {
    /// Returns the warm-up after a heartbeat that announces `remaining_ms` of it; `None` if the
    /// upstream is warm.
    fn after_heartbeat(known: Option<Self>, remaining_ms: u64, now_ms: u64) -> Option<Self> {
        if remaining_ms == 0 {
            return None;
        }
        let until_ms = now_ms.saturating_add(remaining_ms);
        let is_same = |known: &Self| until_ms <= known.until_ms.saturating_add(END_TOLERANCE_MS);
        let begun = Self { since_ms: now_ms, until_ms, initial_ms: remaining_ms };
        Some(known.filter(is_same).map_or(begun, |known| Self { until_ms, ..known }))
    }

    /// Returns the number of parts of the capacity that are offered now.
    fn parts(self, now_ms: u64) -> u64 {
        let total_ms = self.until_ms.saturating_sub(self.since_ms).max(1);
        let passed_ms = now_ms.saturating_sub(self.since_ms).min(total_ms);
        let further =
            u128::from(PARTS - FIRST_PARTS) * u128::from(passed_ms) / u128::from(total_ms);
        FIRST_PARTS + u64::try_from(further).unwrap_or(0)
    }

    /// Returns the part of a capacity that is offered now, rounded up in every dimension.
    fn offered(self, capacity: Resources, now_ms: u64) -> Resources {
        let parts = self.parts(now_ms);
        let part = |amount: u32| {
            u32::try_from((u64::from(amount) * parts).div_ceil(PARTS)).unwrap_or(amount)
        };
        Resources {
            milli_cores: part(capacity.milli_cores),
            memory_mb: part(capacity.memory_mb),
            accelerators: part(capacity.accelerators),
        }
    }
}

impl Supervisor {
    /// Applies the time for which the upstream is still cold, from a heartbeat. Returns the time as of
    /// the beginning of the warm-up, which the entries get: it changes only when one begins or ends.
    pub(crate) fn update_warm_up(
        &mut self,
        remaining_ms: u64,
        now_ms: u64,
        effects: &mut Vec<SupervisorEffect>,
    ) -> u64 {
        let was_cold = self.upstream.as_ref().is_some_and(|upstream| upstream.cold_ms > 0);
        let known = self.warm_up;
        // When the announced time has passed, all capacity is offered, and the upstream counts as cold
        // until it reports otherwise: a late heartbeat begins no other warm-up.
        self.warm_up = WarmUp::after_heartbeat(known, remaining_ms, now_ms);
        match (known, self.warm_up) {
            (Some(known), Some(new)) if known.since_ms == new.since_ms => {}
            (_, Some(_)) => effects.push(SupervisorEffect::Warming { remaining_ms }),
            (_, None) if was_cold => effects.push(SupervisorEffect::Warm),
            (_, None) => {}
        }
        self.warm_up.map_or(0, |warm_up| warm_up.initial_ms)
    }

    /// Sets the capacity that is offered now.
    pub(crate) fn update_offer(&mut self, now_ms: u64) {
        let capacity = self.upstream.as_ref().map_or(Resources::default(), |up| up.capacity);
        self.offered = self.warm_up.map_or(capacity, |warm_up| warm_up.offered(capacity, now_ms));
    }
}
