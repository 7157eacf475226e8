use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexSet;
use types::Resources;

use crate::{
    AttemptId, Load, Upstream, UpstreamState,
    dispatcher::{health::Health, speed::Speed},
};

/// What an entry knows of one agent.
#[derive(Debug)]
pub(crate) struct AgentView {
    pub(crate) name: Arc<str>,
    pub(crate) incarnation: u64,
    pub(crate) is_connected: bool,
    pub(crate) last_heard_ms: u64,
    pub(crate) upstream: Option<Upstream>,
    load: Load,
    batches_sent: u64,
    /// Charges of batches that the load does not account for yet.
    unseen: VecDeque<(u64, Resources)>,
    pub(crate) attempts: IndexSet<AttemptId>,
    pub(crate) speed: Speed,
    pub(crate) health: Health,
}

impl AgentView {
    pub(crate) fn new(name: Arc<str>, incarnation: u64, now_ms: u64) -> Self {
        Self {
            name,
            incarnation,
            is_connected: true,
            last_heard_ms: now_ms,
            upstream: None,
            load: Load { free: Resources::default(), batches_seen: 0, is_open: false },
            batches_sent: 0,
            unseen: VecDeque::new(),
            attempts: IndexSet::new(),
            speed: Speed::default(),
            health: Health::default(),
        }
    }

    pub(crate) fn connected(&mut self, now_ms: u64) {
        self.is_connected = true;
        self.last_heard_ms = now_ms;
        self.batches_sent = 0;
        self.unseen.clear();
        self.load.is_open = false;
    }

    pub(crate) fn reported(&mut self, load: Load) {
        self.load = load;
        while self.unseen.front().is_some_and(|(number, _)| *number <= load.batches_seen) {
            self.unseen.pop_front();
        }
    }

    pub(crate) fn charge(&mut self, need: Resources) {
        self.batches_sent += 1;
        self.unseen.push_back((self.batches_sent, need));
    }

    /// Returns what may be used here now.
    pub(crate) fn free(&self) -> Resources {
        self.unseen.iter().fold(self.load.free, |free, (_, need)| free.saturating_sub(*need))
    }

    /// Returns whether new tasks may be sent here, by what is known of the agent.
    pub(crate) fn is_open(&self, now_ms: u64, silence_ms: u64) -> bool {
        let is_ready = self.upstream.as_ref().is_some_and(|up| up.state == UpstreamState::Ready);
        self.is_connected
            && self.load.is_open
            && is_ready
            && now_ms.saturating_sub(self.last_heard_ms) < silence_ms
    }

    pub(crate) fn is_of_pool(&self, pool: &str) -> bool {
        self.upstream.as_ref().is_some_and(|up| &*up.pool == pool)
    }
}
