//! The upstreams of an entry: which are available, and how healthy they are.

use std::sync::Arc;

use kameo::message::{Context, Message};
use placement::{HealthWeight, UpstreamSpec};
use policy::{HealthState, HealthTracker, HealthTrackerBuilder};
use rpc::AgentIdentity;
use types::{Incarnation, PoolName, UpstreamName};

use crate::{
    dispatcher::{Dispatcher, replies::agent_load},
    link::LinkHandle,
    messages::{
        EntryCount, ListUpstreams, UpstreamDown, UpstreamGone, UpstreamLeaving, UpstreamUp,
        UpstreamView, UpstreamsView,
    },
    metric_names,
};

const DEFAULT_MAX_EJECTED_PERCENT: u8 = 30;

/// Whether an upstream is reachable and accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberPhase {
    Serving,
    Leaving,
    Down,
}

/// An upstream with the link to its agent.
pub(crate) struct Member {
    pub(crate) identity: AgentIdentity,
    pub(crate) handle: Arc<LinkHandle>,
    pub(crate) phase: MemberPhase,
}

/// Health of a pool's upstreams, and the ejection limit with which the tracker was built.
pub(crate) struct PoolHealth {
    pub(crate) tracker: HealthTracker,
    max_ejected_percent: u8,
}

impl Dispatcher {
    fn member_mut(
        &mut self,
        upstream: &UpstreamName,
        incarnation: Incarnation,
    ) -> Option<&mut Member> {
        let found = self.members.get_mut(upstream);
        found.filter(|member| member.identity.incarnation == incarnation)
    }

    fn on_upstream_up(&mut self, msg: UpstreamUp) {
        let now_us = self.clock.now_us();
        let identity = msg.identity;
        let is_leaving = self
            .member_mut(&identity.upstream, identity.incarnation)
            .is_some_and(|member| member.phase == MemberPhase::Leaving);
        let index = self.placer.register_upstream(upstream_spec(&identity));
        if is_leaving {
            self.placer.mark_draining(index);
            return;
        }
        if let Some(offers) = msg.hello.offers {
            self.placer.set_offers(now_us, index, offers, agent_load(msg.hello.load));
        }
        self.pool_health(&identity.pool).add_upstream(&identity.upstream, now_us);
        let member = Member { handle: msg.handle, phase: MemberPhase::Serving, identity };
        self.members.insert(member.identity.upstream.clone(), member);
        self.export_upstreams();
    }

    fn max_ejected_percent(&self, pool: &PoolName) -> u8 {
        let terms = self.config.pools.get(pool);
        terms.map_or(DEFAULT_MAX_EJECTED_PERCENT, |terms| terms.max_ejected_percent)
    }

    fn pool_health(&mut self, pool: &PoolName) -> &mut HealthTracker {
        let max_ejected_percent = self.max_ejected_percent(pool);
        let build = || {
            let tracker =
                HealthTrackerBuilder::default().max_ejected_percent(max_ejected_percent).build();
            PoolHealth { tracker, max_ejected_percent }
        };
        &mut self.health.entry(pool.clone()).or_insert_with(build).tracker
    }

    /// Rebuilds the health trackers of pools whose ejection limit has changed.
    pub(crate) fn rebuild_health(&mut self) {
        let changed: Vec<_> = self
            .health
            .iter()
            .filter(|(pool, known)| known.max_ejected_percent != self.max_ejected_percent(pool))
            .map(|(pool, _)| pool.clone())
            .collect();
        let now_us = self.clock.now_us();
        for pool in changed {
            self.health.swap_remove(&pool);
            let serving: Vec<_> = self
                .members
                .values()
                .filter(|member| member.phase == MemberPhase::Serving)
                .filter(|member| member.identity.pool == pool)
                .map(|member| member.identity.upstream.clone())
                .collect();
            let tracker = self.pool_health(&pool);
            serving.iter().for_each(|upstream| tracker.add_upstream(upstream, now_us));
        }
    }

    /// Applies changes of health to placement.
    pub(crate) fn poll_health(&mut self) {
        let now_us = self.clock.now_us();
        let changes: Vec<_> =
            self.health.values_mut().flat_map(|pool| pool.tracker.poll(now_us)).collect();
        for change in changes {
            log::info!("{change}");
            let label = change.to.to_string();
            metrics::counter!(metric_names::HEALTH_CHANGES, "to" => label).increment(1);
        }
        for PoolHealth { tracker, .. } in self.health.values() {
            for member in self.members.values() {
                let Some(health_state) = tracker.state(&member.identity.upstream) else { continue };
                let Some(index) = self.placer.upstream_index(&member.identity.upstream) else {
                    continue;
                };
                let weight = tracker.weight(&member.identity.upstream, now_us);
                let health_weight = match health_state {
                    HealthState::Ejected => HealthWeight::Ejected,
                    HealthState::Healthy | HealthState::Probation if weight > 0.0 => {
                        HealthWeight::Weight(weight)
                    }
                    HealthState::Healthy | HealthState::Probation => HealthWeight::Ejected,
                };
                self.placer.set_health(index, health_weight);
            }
        }
    }

    /// Stops dispatching to an upstream that is leaving or down.
    fn set_unavailable(
        &mut self,
        upstream: &UpstreamName,
        incarnation: Incarnation,
        phase: MemberPhase,
    ) {
        let Some(member) = self.member_mut(upstream, incarnation) else { return };
        member.phase = phase;
        let pool = member.identity.pool.clone();
        if let Some(health) = self.health.get_mut(&pool) {
            health.tracker.remove_upstream(upstream);
        }
        if let Some(index) = self.placer.upstream_index(upstream) {
            match phase {
                MemberPhase::Leaving => self.placer.mark_draining(index),
                MemberPhase::Down => self.placer.mark_down(index),
                MemberPhase::Serving => {}
            }
        }
        self.export_upstreams();
    }

    fn export_upstreams(&self) {
        for phase in [MemberPhase::Serving, MemberPhase::Leaving, MemberPhase::Down] {
            let count = self.members.values().filter(|member| member.phase == phase).count();
            metrics::gauge!(metric_names::UPSTREAMS, "state" => phase.label()).set(count as f64);
        }
    }

    pub(crate) fn export_sizes(&self) {
        let sizes = self.table.sizes();
        metrics::gauge!(metric_names::JOBS_HELD).set(sizes.live as f64);
        metrics::gauge!(metric_names::ANSWER_BYTES).set(sizes.retained_bytes as f64);
        metrics::gauge!(metric_names::QUEUE_TASKS).set(self.queues.tasks() as f64);
        metrics::gauge!(metric_names::QUEUE_BYTES).set(self.queues.bytes() as f64);
        metrics::gauge!(metric_names::PARTITIONS_OWNED).set(self.table.owned().len() as f64);
        metrics::gauge!(metric_names::BACKLOG_BYTES).set(self.journal.state().backlog_bytes as f64);
    }

    fn upstream_view(&self, member: &Member) -> UpstreamView {
        let name = &member.identity.upstream;
        let index = self.placer.upstream_index(name);
        let health =
            self.health.get(&member.identity.pool).and_then(|pool| pool.tracker.state(name));
        UpstreamView {
            name: name.clone(),
            incarnation: member.identity.incarnation,
            pool: member.identity.pool.clone(),
            location: member.identity.location.clone(),
            state: member.phase.label().to_owned(),
            slots: member.identity.slots,
            outstanding: index.map_or(0, |index| self.placer.outstanding(index)),
            offers: index.map_or(0, |index| self.placer.offers(index)),
            speed: index.map_or(1.0, |index| self.learner.speed(self.clock.now_us(), index)),
            health: health.map_or_else(|| "out".to_owned(), |state| state.to_string()),
        }
    }
}

impl MemberPhase {
    fn label(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Down => "down",
        }
    }
}

fn upstream_spec(identity: &AgentIdentity) -> UpstreamSpec {
    UpstreamSpec {
        name: identity.upstream.clone(),
        incarnation: identity.incarnation,
        pool: identity.pool.clone(),
        location: identity.location.clone(),
        slots: identity.slots,
        connections: identity.connections,
        capacity: identity.capacity,
    }
}

impl Message<UpstreamUp> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: UpstreamUp, cx: &mut Context<Self, ()>) {
        self.on_upstream_up(msg);
        let dispatcher = cx.actor_ref().clone();
        self.dispatch_queued(&dispatcher);
    }
}

impl Message<UpstreamLeaving> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: UpstreamLeaving, _: &mut Context<Self, ()>) {
        self.set_unavailable(&msg.upstream, msg.incarnation, MemberPhase::Leaving);
    }
}

impl Message<UpstreamDown> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: UpstreamDown, _: &mut Context<Self, ()>) {
        self.set_unavailable(&msg.upstream, msg.incarnation, MemberPhase::Down);
    }
}

impl Message<UpstreamGone> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: UpstreamGone, _: &mut Context<Self, ()>) {
        self.set_unavailable(&msg.upstream, msg.incarnation, MemberPhase::Down);
        if self.member_mut(&msg.upstream, msg.incarnation).is_some() {
            self.members.swap_remove(&msg.upstream);
            self.export_upstreams();
        }
    }
}

impl Message<EntryCount> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: EntryCount, _: &mut Context<Self, ()>) {
        self.placer.set_entry_count(msg.0);
    }
}

impl Message<ListUpstreams> for Dispatcher {
    type Reply = UpstreamsView;

    async fn handle(
        &mut self,
        _: ListUpstreams,
        _: &mut Context<Self, UpstreamsView>,
    ) -> UpstreamsView {
        UpstreamsView { upstreams: self.members.values().map(|m| self.upstream_view(m)).collect() }
    }
}
