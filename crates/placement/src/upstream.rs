use types::Resources;

use crate::{
    AgentLoad, HealthWeight, RackIndex, UpstreamSpec, indices::GroupIndex, speed_class::SpeedClass,
};

/// Whether an upstream accepts new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamState {
    Serving,
    Draining,
    Down,
}

/// State of one upstream as seen by an entry.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) spec: UpstreamSpec,
    pub(crate) group: GroupIndex,
    pub(crate) rack: RackIndex,
    /// Number of resets; dispatches of an earlier generation are no longer outstanding.
    pub(crate) generation: u32,
    pub(crate) state: UpstreamState,
    pub(crate) health: HealthWeight,
    pub(crate) speed: f64,
    pub(crate) class: SpeedClass,
    /// Class as which the upstream counts in the mean speed of its pool; `None` if it does not
    /// count.
    pub(crate) counted_class: Option<SpeedClass>,
    pub(crate) offers: i32,
    /// Offers spent since a hello was sent, while its reply is outstanding.
    pub(crate) spent_since_hello: Option<i32>,
    pub(crate) outstanding: u32,
    /// Send time of the task that was sent without an offer and may still be queued at the
    /// agent.
    pub(crate) fallback_sent_us: Option<u64>,
    pub(crate) charged: Resources,
    pub(crate) load: AgentLoad,
    pub(crate) last_report_us: Option<u64>,
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
            class: SpeedClass::nearest(1.0),
            counted_class: None,
            offers: 0,
            spent_since_hello: None,
            outstanding: 0,
            fallback_sent_us: None,
            charged: Resources::default(),
            load: AgentLoad::default(),
            last_report_us: None,
        }
    }

    /// Discards the offers and outstanding tasks, for example after a restart of the agent.
    pub(crate) fn reset(&mut self) {
        self.generation += 1;
        self.offers = 0;
        self.spent_since_hello = None;
        self.outstanding = 0;
        self.fallback_sent_us = None;
        self.charged = Resources::default();
        self.load = AgentLoad::default();
        self.last_report_us = None;
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state == UpstreamState::Serving && !matches!(self.health, HealthWeight::Ejected)
    }

    /// Returns the class of the speed, multiplied by the health weight.
    pub(crate) fn effective_class(&self) -> SpeedClass {
        match self.health {
            HealthWeight::Weight(weight) => SpeedClass::nearest(self.speed * weight),
            HealthWeight::Ejected => SpeedClass::nearest(self.speed),
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

    pub(crate) fn accepts_offered(&self) -> bool {
        self.is_serving() && self.offers > 0
    }

    /// Returns whether an attempt may be sent without an offer: none is queued there already, and
    /// a slot is idle or the entry runs fewer tasks than its fair share.
    pub(crate) fn accepts_fallback(&self, entry_count: u32) -> bool {
        let is_below_fair_share = self.outstanding * entry_count < self.max_running();
        self.is_serving()
            && self.offers <= 0
            && self.fallback_sent_us.is_none()
            && (self.has_idle_slot() || is_below_fair_share)
    }

    /// Returns whether the last load report shows an idle slot, reserved for another entry or
    /// not.
    pub(crate) fn has_idle_slot(&self) -> bool {
        self.last_report_us.is_some() && self.load.running + self.load.queued < self.max_running()
    }

    /// Returns whether a charge fits in addition to this entry's outstanding tasks.
    pub(crate) fn fits(&self, charge: Resources) -> bool {
        charge.fits_in(self.spec.capacity.saturating_sub(self.charged))
    }
}
