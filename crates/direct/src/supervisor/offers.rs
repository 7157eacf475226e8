//! Which entries learn of free capacity.
//!
//! Load pattern: the upstreams are nearly full, and many entries have tasks that wait. If all of
//! them learn of a slot as soon as it is free, all of them send a task there; one starts and the
//! others are refused and sent elsewhere, many times over, while later jobs of these entries wait.
//! While entries have tasks that wait, free capacity is therefore offered to one of them at a time,
//! to those with the most urgent tasks first and otherwise in turn. An offer is reserved for its
//! entry for a short time. Ample capacity, and all capacity while no tasks wait, is reported to all.

use types::Resources;

use crate::{
    SessionKey,
    supervisor::{Supervisor, SupervisorEffect, session::Session},
};

/// Free share of the processor capacity from which all entries learn of it, percent.
const AMPLE_FREE_PERCENT: u64 = 50;
/// Time for which an offer is reserved, milliseconds: enough for the offer and the attempts that use
/// it to cross between zones while both hosts share their processors.
const OFFER_MS: u64 = 16;
/// Time for which an entry that has not used an offer gets no further one, milliseconds.
const UNUSED_PAUSE_MS: u64 = 60;
/// Share by which the smallest known need grows with each batch that needs more, so that it follows
/// the present tasks; the inverse of it.
const NEED_GROWTH_DIVISOR: u32 = 50;

impl Supervisor {
    /// Records the urgency of the most urgent task that waits at a session's entry; `None` if none
    /// waits.
    pub fn set_waiting(&mut self, key: SessionKey, urgency: Option<u8>) -> Vec<SupervisorEffect> {
        if let Some(session) = self.session_mut(key) {
            session.waiting = urgency;
            session.no_offer_before_ms = 0;
        }
        self.update_offers()
    }

    /// Returns the free capacity that a session's entry may use.
    pub(crate) fn offer(&self, session: &Session) -> Resources {
        let free = self.free();
        if !self.is_contended() {
            return free;
        }
        let reserved_by_others = self.reserved().saturating_sub(session.reserved);
        if self.is_ample(free) {
            free.saturating_sub(reserved_by_others)
        } else {
            session.reserved.min_each(free)
        }
    }

    /// Withdraws offers that have expired, offers what is free to the next waiting entry, and
    /// returns the reports that tell entries on active links of changed offers.
    pub(crate) fn update_offers(&mut self) -> Vec<SupervisorEffect> {
        let now_ms = self.latest_ms;
        for (_, session) in self.sessions.values_mut() {
            if session.reserved != Resources::default() && now_ms >= session.offer_expires_ms {
                session.reserved = Resources::default();
                session.no_offer_before_ms = now_ms + UNUSED_PAUSE_MS;
            }
        }
        let available = self.free().saturating_sub(self.reserved());
        if available.milli_cores >= self.smallest_need.max(1)
            && let Some(index) = self.next_waiting(now_ms)
            && let Some((_, (_, session))) = self.sessions.get_index_mut(index)
        {
            if session.reserved == Resources::default() {
                session.offer_expires_ms = now_ms + OFFER_MS;
            }
            session.reserved = session.reserved.saturating_add(available);
            self.next_offer = index + 1;
        }
        let is_changed = |session: &Session| {
            session.is_active && session.is_connected && self.offer(session) != session.offered
        };
        let changed = self.sessions.values().filter(|(_, session)| is_changed(session));
        changed.map(|(key, _)| SupervisorEffect::Report(*key)).collect()
    }

    /// Reduces a session's offer by what an attempt of its entry uses.
    pub(crate) fn use_offer(&mut self, key: SessionKey, need: Resources) {
        if let Some(session) = self.session_mut(key) {
            session.offered = session.offered.saturating_sub(need);
            session.reserved = session.reserved.saturating_sub(need);
            session.no_offer_before_ms = 0;
        }
    }

    /// Records what a task of a batch needs, thousandths of a core.
    pub(crate) fn record_need(&mut self, milli_cores: u32) {
        let grown = self.smallest_need.saturating_add(self.smallest_need / NEED_GROWTH_DIVISOR + 1);
        self.smallest_need =
            if self.smallest_need == 0 { milli_cores } else { grown.min(milli_cores) };
    }

    /// Returns the position of the waiting session that gets the next offer.
    fn next_waiting(&self, now_ms: u64) -> Option<usize> {
        let count = self.sessions.len();
        let turn = |index: usize| (index + count - self.next_offer % count.max(1)) % count.max(1);
        let sessions = self.sessions.values().enumerate();
        let candidates = sessions.filter_map(|(index, (_, session))| {
            let is_eligible =
                session.is_active && session.is_connected && now_ms >= session.no_offer_before_ms;
            session.waiting.filter(|_| is_eligible).map(|urgency| (urgency, turn(index), index))
        });
        candidates.min().map(|(.., index)| index)
    }

    /// Returns whether tasks wait at some entry with an active link.
    pub(crate) fn is_contended(&self) -> bool {
        let is_waiting = |session: &Session| {
            session.is_active && session.is_connected && session.waiting.is_some()
        };
        self.sessions.values().any(|(_, session)| is_waiting(session))
    }

    fn reserved(&self) -> Resources {
        let reserved = self.sessions.values().map(|(_, session)| session.reserved);
        reserved.fold(Resources::default(), Resources::saturating_add)
    }

    fn is_ample(&self, free: Resources) -> bool {
        let capacity = self.upstream.as_ref().map_or(0, |up| up.capacity.milli_cores);
        u64::from(free.milli_cores) * 100 >= u64::from(capacity) * AMPLE_FREE_PERCENT
    }
}
