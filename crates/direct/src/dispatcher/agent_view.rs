use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use indexmap::IndexSet;
use types::Resources;

use crate::{
    AttemptId, AttemptOutcome, JobStep, Load, Report, Upstream, UpstreamState,
    dispatcher::{health::UpstreamHealth, passed_over::PassedOver, speed::Speed},
};

/// Resources of a batch that was sent to an agent.
#[derive(Debug)]
struct Charge {
    /// Number of the batch on its connection.
    number: u64,
    /// Needs of one attempt.
    need: Resources,
    /// Needs of the attempts that have not been refused.
    total: Resources,
    attempts: Vec<AttemptId>,
}

/// State of one agent as its entry knows it.
#[derive(Debug)]
pub(crate) struct AgentView {
    pub(crate) name: Arc<str>,
    /// Hash of the name, the same at all entries.
    pub(crate) name_hash: u64,
    pub(crate) incarnation: u64,
    /// Incarnation named by the last handshake, if it is another one and has not reported yet: a
    /// handshake that was held up may be of an agent that has ended since.
    pub(crate) announced: Option<u64>,
    pub(crate) is_connected: bool,
    /// Incarnation of the last handshake.
    known_incarnation: u64,
    /// Time at which its last connection was found to have ended, milliseconds.
    pub(crate) lost_ms: Option<u64>,
    /// Whether it has left a claim unanswered and has not reported since.
    pub(crate) leaves_claims: bool,
    /// Whether the link is active, that is, the agent reports each change of its load.
    pub(crate) is_active: bool,
    pub(crate) last_heard_ms: u64,
    /// Start of the present wait for a message: the last message, connection or activation.
    pub(crate) awaited_since_ms: u64,
    /// Position in the order in which this entry activates links; it differs between entries.
    pub(crate) rank: u64,
    pub(crate) upstream: Option<Upstream>,
    /// Whether the zone of the upstream is evacuated.
    pub(crate) is_evacuated: bool,
    load: Load,
    batches_sent: u64,
    /// Number of times that the link was made active or put on standby on this connection.
    switches_sent: u64,
    /// Batches that the agent's load does not account for yet.
    unacknowledged: VecDeque<Charge>,
    /// Time of the last report that refused no attempt, milliseconds.
    pub(crate) reported_ms: u64,
    pub(crate) attempts: IndexSet<AttemptId>,
    pub(crate) speed: Speed,
    pub(crate) health: UpstreamHealth,
}

impl AgentView {
    pub(crate) fn new(name: Arc<str>, incarnation: u64, rank: u64, now_ms: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self {
            name,
            name_hash: hasher.finish(),
            incarnation,
            announced: None,
            is_connected: true,
            known_incarnation: incarnation,
            lost_ms: None,
            leaves_claims: false,
            is_active: false,
            last_heard_ms: now_ms,
            awaited_since_ms: now_ms,
            rank,
            upstream: None,
            is_evacuated: false,
            load: Load {
                free: Resources::default(),
                batches_seen: 0,
                switches_seen: 0,
                is_open: false,
                awaits_entries: true,
            },
            batches_sent: 0,
            switches_sent: 0,
            unacknowledged: VecDeque::new(),
            reported_ms: now_ms,
            attempts: IndexSet::new(),
            speed: Speed::default(),
            health: UpstreamHealth::default(),
        }
    }

    /// Starts a new connection: batches are counted from 0, and no attempts are sent before the
    /// first report.
    pub(crate) fn on_connected(&mut self, incarnation: u64, now_ms: u64) {
        self.is_connected = true;
        self.lost_ms = None;
        // Another process says in its first report which entries have connected to it.
        self.load.awaits_entries |= self.known_incarnation != incarnation;
        self.known_incarnation = incarnation;
        self.leaves_claims = false;
        self.is_active = false;
        self.last_heard_ms = now_ms;
        self.awaited_since_ms = now_ms;
        self.batches_sent = 0;
        self.switches_sent = 0;
        self.load.switches_seen = 0;
        self.unacknowledged.clear();
        self.load.is_open = false;
    }

    /// Returns whether the agent may not know yet which jobs other entries have, by its last report.
    pub(crate) fn awaits_entries(&self) -> bool {
        self.load.awaits_entries
    }

    /// Applies a load report and drops the charges of the batches that it accounts for.
    pub(crate) fn on_report(&mut self, report: &Report, now_ms: u64) {
        self.last_heard_ms = now_ms;
        self.awaited_since_ms = now_ms;
        self.leaves_claims = false;
        self.load = report.load;
        let seen = report.load.batches_seen;
        while self.unacknowledged.front().is_some_and(|charge| charge.number <= seen) {
            self.unacknowledged.pop_front();
        }
        if report.outcomes.iter().all(|(_, outcome)| *outcome != AttemptOutcome::NotStarted) {
            self.reported_ms = now_ms;
        }
    }

    /// Charges a batch against the agent's free capacity until a report accounts for it.
    pub(crate) fn charge(&mut self, need: Resources, attempts: Vec<AttemptId>) {
        self.batches_sent += 1;
        let total = attempts.iter().fold(Resources::default(), |sum, _| sum.saturating_add(need));
        let charge = Charge { number: self.batches_sent, need, total, attempts };
        self.unacknowledged.push_back(charge);
    }

    /// Drops the charge of an attempt that was refused: it takes no capacity, whether or not a
    /// report accounts for its batch.
    pub(crate) fn release(&mut self, id: AttemptId) {
        for charge in &mut self.unacknowledged {
            if let Some(position) = charge.attempts.iter().position(|attempt| *attempt == id) {
                charge.attempts.swap_remove(position);
                charge.total = charge.total.saturating_sub(charge.need);
                return;
            }
        }
    }

    /// Returns the free capacity: that of the last report less the batches sent since.
    pub(crate) fn free(&self) -> Resources {
        self.unacknowledged
            .iter()
            .fold(self.load.free, |free, charge| free.saturating_sub(charge.total))
    }

    /// Returns the share of the processor capacity that is used, 0 to 1.
    pub(crate) fn used_share(&self) -> f64 {
        let capacity = self.upstream.as_ref().map_or(0, |up| up.capacity.milli_cores);
        1.0 - f64::from(self.free().milli_cores.min(capacity)) / f64::from(capacity.max(1))
    }

    /// Makes the link active or puts it on standby.
    pub(crate) fn set_active(&mut self, is_active: bool, now_ms: u64) {
        self.is_active = is_active;
        self.awaited_since_ms = now_ms;
        self.switches_sent += 1;
    }

    /// Returns whether tasks may be sent: the link is active, the agent accepts new tasks, sent a
    /// message within `silence_ms`, and knows that the link is active. Before that it waits long for
    /// messages, so it would carry out a start that a dead path has held up for seconds.
    pub(crate) fn is_open(&self, now_ms: u64, silence_ms: u64) -> bool {
        self.not_open(now_ms, silence_ms).is_none()
    }

    /// Returns why no tasks may be sent; `None` if the agent is open.
    pub(crate) fn not_open(&self, now_ms: u64, silence_ms: u64) -> Option<PassedOver> {
        if self.is_evacuated {
            Some(PassedOver::Evacuated)
        } else if !self.accepts_tasks() {
            Some(PassedOver::Closed)
        } else if !self.is_active || self.load.switches_seen < self.switches_sent {
            Some(PassedOver::Standby)
        } else if now_ms.saturating_sub(self.last_heard_ms) >= silence_ms {
            Some(PassedOver::Silent)
        } else {
            None
        }
    }

    /// Returns whether the agent would accept tasks if its link were active, by its last report.
    pub(crate) fn is_standby(&self) -> bool {
        !self.is_active && self.accepts_tasks()
    }

    fn accepts_tasks(&self) -> bool {
        let is_ready = self.upstream.as_ref().is_some_and(|up| up.state == UpstreamState::Ready);
        self.is_connected && self.load.is_open && is_ready && !self.is_evacuated
    }

    /// Returns whether at most one more task would fit beside a task with these needs.
    pub(crate) fn is_nearly_full(&self, need: Resources) -> bool {
        let left = self.free().saturating_sub(need).saturating_sub(need);
        !need.fits_in(left)
    }

    /// Returns whether the upstream is not evacuated and can run a task with these needs while it
    /// runs nothing else.
    pub(crate) fn fits(&self, step: &JobStep) -> bool {
        !self.is_evacuated && self.has_room_for(step)
    }

    /// Returns whether the upstream can run a task with these needs while it runs nothing else and
    /// its zone is not evacuated.
    pub(crate) fn has_room_for(&self, step: &JobStep) -> bool {
        self.upstream.as_ref().is_some_and(|up| has_room(up, up.capacity, step))
    }

    /// Returns whether the upstream runs tasks slowly for now and offers a part of its capacity.
    pub(crate) fn is_cold(&self) -> bool {
        self.upstream.as_ref().is_some_and(|up| up.cold_ms > 0)
    }

    /// Returns whether the upstream could run such a task with the largest capacity that it had.
    pub(crate) fn once_fitted(&self, step: &JobStep) -> bool {
        self.upstream.as_ref().is_some_and(|up| has_room(up, up.largest_capacity, step))
    }

    pub(crate) fn is_in_pool(&self, pool: &str) -> bool {
        self.upstream.as_ref().is_some_and(|up| &*up.pool == pool)
    }
}

fn has_room(upstream: &Upstream, capacity: Resources, step: &JobStep) -> bool {
    step.need.fits_in(capacity)
        && step.label.as_ref().is_none_or(|label| upstream.labels.contains(label))
}
