use types::Resources;

use crate::{
    AgentLoad, HealthWeight, RackIndex, UpstreamSpec, indices::GroupIndex, speed_class::SpeedClass,
};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamState {
    Serving,
    Draining,
    Down,
}

/// What an entry knows about one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) spec: UpstreamSpec,
    pub(crate) group: GroupIndex,
    pub(crate) rack: RackIndex,
    /// Counts resets; dispatches of earlier generations are no longer outstanding.
    pub(crate) generation: u32,
    pub(crate) state: UpstreamState,
    pub(crate) health: HealthWeight,
    pub(crate) speed: f64,
    pub(crate) class: SpeedClass,
    /// Class with which it counts in the mean speed of its pool.
    pub(crate) counted: Option<SpeedClass>,
    pub(crate) offers: i32,
    /// Offers spent since a hello was sent whose answer is not here yet.
    pub(crate) spent_since_hello: Option<i32>,
    pub(crate) outstanding: u32,
    /// When the task was sent that has no offer and may still wait at the agent.
    pub(crate) unoffered_us: Option<u64>,
    pub(crate) charged: Resources,
    pub(crate) load: AgentLoad,
    pub(crate) reported_us: Option<u64>,
}

impl Upstream {
    pub(crate) fn new(spec: UpstreamSpec, group: GroupIndex, rack: RackIndex) -> Self {
        Self {
            spec,
            group,
            rack,
            generation: 0,
            state: UpstreamState::Serving,
            health: HealthWeight::default(),
            speed: 1.0,
            class: SpeedClass::of(1.0),
            counted: None,
            offers: 0,
            spent_since_hello: None,
            outstanding: 0,
            unoffered_us: None,
            charged: Resources::default(),
            load: AgentLoad::default(),
            reported_us: None,
        }
    }

    /// Forgets offers and tasks outstanding, as after a restart of the agent.
    pub(crate) fn reset(&mut self) {
        self.generation += 1;
        self.offers = 0;
        self.spent_since_hello = None;
        self.outstanding = 0;
        self.unoffered_us = None;
        self.charged = Resources::default();
        self.load = AgentLoad::default();
        self.reported_us = None;
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state == UpstreamState::Serving && !matches!(self.health, HealthWeight::Ejected)
    }

    /// Returns the speed class with the health weight taken into account.
    pub(crate) fn effective_class(&self) -> SpeedClass {
        match self.health {
            HealthWeight::Weight(weight) => SpeedClass::of(self.speed * weight),
            HealthWeight::Ejected => SpeedClass::of(self.speed),
        }
    }

    pub(crate) fn max_running(&self) -> u32 {
        self.spec.slots.min(self.spec.connections)
    }

    /// Counts an offer as spent.
    pub(crate) fn spend_offer(&mut self) {
        self.offers -= 1;
        self.spent_since_hello = self.spent_since_hello.map(|spent| spent + 1);
    }

    pub(crate) fn takes_offered(&self) -> bool {
        self.is_serving() && self.offers > 0
    }

    /// Returns whether an attempt may be sent without an offer: none waits there already, and
    /// a slot is idle or the entry runs less than its even part.
    pub(crate) fn takes_unoffered(&self, entries: u32) -> bool {
        let is_below_even_part = self.outstanding * entries < self.max_running();
        self.is_serving()
            && self.offers <= 0
            && self.unoffered_us.is_none()
            && (self.has_idle_slot() || is_below_even_part)
    }

    /// Returns whether the last report shows an idle slot, promised to another entry or not.
    pub(crate) fn has_idle_slot(&self) -> bool {
        self.reported_us.is_some() && self.load.running + self.load.queued < self.max_running()
    }

    /// Returns whether a charge fits beside the own tasks outstanding.
    pub(crate) fn fits(&self, charge: Resources) -> bool {
        charge.fits_in(self.spec.capacity.saturating_sub(self.charged))
    }
}
