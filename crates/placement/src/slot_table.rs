use std::collections::HashMap;

use indexmap::IndexMap;
use types::{AttemptKey, EntryName, Resources};

use crate::{
    AgentLoad, FinishOutcome, RecallOutcome, SlotDecision, SlotLimits, SlotRefusal, StartRequest,
    entry_share::EntryShare, waiting_list::WaitingList,
};

/// Slots beyond its even part that an entry may hold before freed slots go to others.
const EVEN_PART_SLACK: u32 = 1;

/// Starts that may pass a waiting attempt which lacks resources, before all others wait.
const MAX_BYPASSES: u32 = 8;

#[derive(Clone, Debug)]
struct RunningTask {
    entry: EntryName,
    charge: Resources,
}

/// An agent's account of slots, connections, resources and offers.
///
/// A slot is running, promised to one entry, or free.  Starts never exceed the slots, the
/// connections or the resources by what attempts are charged with.  An idle slot is never
/// withheld: an attempt without an offer takes a free slot, or one promised to the entry
/// with the most promises, which learns of it with its next reply.
#[derive(Clone, Debug)]
pub struct SlotTable {
    limits: SlotLimits,
    shares: IndexMap<EntryName, EntryShare>,
    running: HashMap<AttemptKey, RunningTask>,
    waiting: WaitingList,
    used: Resources,
    bypasses: u32,
    draining: bool,
}

impl SlotTable {
    /// Creates an empty table.
    pub fn new(limits: SlotLimits) -> Self {
        Self {
            limits,
            shares: IndexMap::new(),
            running: HashMap::new(),
            waiting: WaitingList::default(),
            used: Resources::default(),
            bypasses: 0,
            draining: false,
        }
    }

    /// Opens a link to an entry.  Returns the number of slots now offered to it, which
    /// replaces what it counted before.
    pub fn connect_entry(&mut self, entry: &EntryName) -> u32 {
        let share = self.share_mut(entry);
        share.live = true;
        share.promised = 0;
        if !self.draining {
            self.promise_even_part(entry);
        }
        let share = self.share_mut(entry);
        share.take_delta();
        share.promised
    }

    /// Decides about a new attempt.
    pub fn request_start(&mut self, req: StartRequest) -> SlotDecision {
        let has_promise = self.spend_offer(&req);
        match self.decide(&req) {
            SlotDecision::Start => {
                self.start(req, has_promise);
                SlotDecision::Start
            }
            SlotDecision::Queue => {
                self.waiting.push(req);
                SlotDecision::Queue
            }
            SlotDecision::Refuse(reason) => {
                self.share_mut(&req.entry).promised += u32::from(has_promise);
                self.drop_unused_share(&req.entry);
                SlotDecision::Refuse(reason)
            }
        }
    }

    /// Ends a running attempt.  Waiting attempts take its slot first; otherwise the slot is
    /// offered, as a rule to the same entry.  Returns nothing when the attempt is not
    /// running.
    pub fn finish(&mut self, key: &AttemptKey) -> Option<FinishOutcome> {
        let task = self.running.remove(key)?;
        self.used = self.used.saturating_sub(task.charge);
        self.share_mut(&task.entry).running -= 1;
        let start_next = self.start_waiting();
        self.offer_free_slots(&task.entry);
        let offers_delta = self.take_offers_delta(&task.entry);
        self.drop_unused_share(&task.entry);
        Some(FinishOutcome { start_next, offers_delta })
    }

    /// Returns the change of an entry's offers since its last report, for a reply to it.
    pub fn take_offers_delta(&mut self, entry: &EntryName) -> i32 {
        match self.shares.get_mut(entry) {
            Some(share) if share.live => share.take_delta(),
            _ => 0,
        }
    }

    /// Returns the offers of an entry that is gone to the pool.  Its attempts stay.
    pub fn disconnect_entry(&mut self, entry: &EntryName) {
        if let Some(share) = self.shares.get_mut(entry) {
            *share = EntryShare { running: share.running, ..EntryShare::default() };
        }
        self.drop_unused_share(entry);
    }

    /// Removes an attempt that waits; one that runs is left alone.
    pub fn recall(&mut self, key: &AttemptKey) -> RecallOutcome {
        let Some(req) = self.waiting.remove(key) else { return RecallOutcome::default() };
        self.drop_unused_share(&req.entry);
        RecallOutcome { removed: true, start_next: self.start_waiting() }
    }

    /// Corrects the charge of a running attempt once its use is known.
    pub fn update_charge(&mut self, key: &AttemptKey, charge: Resources) {
        if let Some(task) = self.running.get_mut(key) {
            self.used = self.used.saturating_sub(task.charge).saturating_add(charge);
            task.charge = charge;
        }
    }

    /// Stops taking work and withdraws every offer.  Returns the attempts that waited, which
    /// never start.
    pub fn drain(&mut self) -> Vec<AttemptKey> {
        self.draining = true;
        self.shares.values_mut().for_each(|share| share.promised = 0);
        self.waiting.clear()
    }

    /// Returns the load over all entries.
    pub fn load(&self) -> AgentLoad {
        let is_taking = self.waiting.is_empty() && !self.draining;
        AgentLoad {
            running: self.running_count(),
            queued: self.waiting.len() as u32,
            free: if is_taking { self.free_slots() } else { 0 },
        }
    }

    /// Returns the idle slots promised to an entry.
    pub fn reserved(&self, entry: &EntryName) -> u32 {
        self.shares.get(entry).map_or(0, |share| share.promised)
    }

    /// Returns the resources charged to running attempts.
    pub fn used(&self) -> Resources {
        self.used
    }

    fn share_mut(&mut self, entry: &EntryName) -> &mut EntryShare {
        self.shares.entry(entry.clone()).or_default()
    }

    fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    fn free_slots(&self) -> u32 {
        let promised: u32 = self.shares.values().map(|share| share.promised).sum();
        self.limits.max_running().saturating_sub(self.running_count() + promised)
    }

    fn free_resources(&self) -> Resources {
        self.limits.capacity.saturating_sub(self.used)
    }

    fn even_part(&self) -> u32 {
        let live = self.shares.values().filter(|share| share.live).count() as u32;
        self.limits.max_running().div_ceil(live.max(1))
    }

    /// Takes a reserved slot off an entry that spends an offer; returns whether there was one.
    fn spend_offer(&mut self, req: &StartRequest) -> bool {
        let share = self.share_mut(&req.entry);
        if !req.uses_offer {
            return false;
        }
        share.told -= 1;
        let has_promise = share.promised > 0;
        share.promised -= u32::from(has_promise);
        has_promise
    }

    fn decide(&self, req: &StartRequest) -> SlotDecision {
        let is_known = self.running.contains_key(&req.key) || self.waiting.contains(&req.key);
        if is_known {
            SlotDecision::Refuse(SlotRefusal::Duplicate)
        } else if self.draining {
            SlotDecision::Refuse(SlotRefusal::Leaving)
        } else if !req.charge.fits_in(self.limits.capacity) {
            SlotDecision::Refuse(SlotRefusal::NoResources)
        } else if self.may_start(req.charge) {
            SlotDecision::Start
        } else if self.waiting.len() < self.limits.queue_len as usize {
            SlotDecision::Queue
        } else {
            SlotDecision::Refuse(SlotRefusal::QueueFull)
        }
    }

    fn may_start(&self, charge: Resources) -> bool {
        let may_pass = self.waiting.is_empty() || self.bypasses < MAX_BYPASSES;
        may_pass
            && self.running_count() < self.limits.max_running()
            && charge.fits_in(self.free_resources())
    }

    fn start(&mut self, req: StartRequest, has_promise: bool) {
        if !has_promise && self.free_slots() == 0 {
            self.steal_promise(&req.entry);
        }
        let passes = self.waiting.head().is_some_and(|head| head.key != req.key);
        self.bypasses = if passes { self.bypasses + 1 } else { 0 };
        self.used = self.used.saturating_add(req.charge);
        self.share_mut(&req.entry).running += 1;
        self.running.insert(req.key, RunningTask { entry: req.entry, charge: req.charge });
    }

    /// Takes a promise back: one that the starting entry has not heard of yet, otherwise one
    /// of the entry with the most.
    fn steal_promise(&mut self, entry: &EntryName) {
        if let Some(share) = self.shares.get_mut(entry).filter(|share| share.has_untold()) {
            share.promised -= 1;
            return;
        }
        if let Some(share) = self.shares.values_mut().max_by_key(|share| share.promised) {
            share.promised = share.promised.saturating_sub(1);
        }
    }

    fn start_waiting(&mut self) -> Vec<AttemptKey> {
        std::iter::from_fn(|| self.start_one_waiting()).collect()
    }

    fn start_one_waiting(&mut self) -> Option<AttemptKey> {
        if self.running_count() >= self.limits.max_running() {
            return None;
        }
        let free = self.free_resources();
        let next = match self.bypasses < MAX_BYPASSES {
            true => self.waiting.first_fitting(free),
            false => self.waiting.head().filter(|head| head.charge.fits_in(free)),
        };
        let key = next?.key;
        let is_head = self.waiting.head().is_some_and(|head| head.key == key);
        let bypasses = if is_head { 0 } else { self.bypasses + 1 };
        let req = self.waiting.remove(&key)?;
        self.start(req, false);
        self.bypasses = bypasses;
        Some(key)
    }

    fn offer_free_slots(&mut self, entry: &EntryName) {
        if self.draining || !self.waiting.is_empty() {
            return;
        }
        while self.free_slots() > 0 {
            let Some(recipient) = self.offer_recipient(entry) else { return };
            self.shares[recipient].promised += 1;
        }
    }

    /// Returns the position of the entry to which a free slot is offered while a reply to
    /// `entry` is being made; none keeps the slot free for an entry that awaits no reply.
    fn offer_recipient(&self, entry: &EntryName) -> Option<usize> {
        let even_part = self.even_part();
        let own = self.shares.get_full(entry).filter(|(_, _, share)| share.live);
        match own {
            Some((i, _, share)) if share.held() < even_part + EVEN_PART_SLACK => Some(i),
            _ => match self.short_entry(even_part) {
                Some(i) => Some(i),
                None if self.free_slots() <= self.idle_short_entries(even_part) => None,
                None => own.map(|(i, ..)| i),
            },
        }
    }

    /// Returns the entry that holds least, among those that are short of their even part and
    /// await a reply.
    fn short_entry(&self, even_part: u32) -> Option<usize> {
        self.shares
            .values()
            .enumerate()
            .filter(|(_, share)| share.running > 0 && share.is_short_of(even_part))
            .min_by_key(|(_, share)| share.held())
            .map(|(i, _)| i)
    }

    /// Counts the entries that are short of their even part and await no reply.
    fn idle_short_entries(&self, even_part: u32) -> u32 {
        let is_idle_short =
            |share: &&EntryShare| share.running == 0 && share.is_short_of(even_part);
        self.shares.values().filter(is_idle_short).count() as u32
    }

    fn promise_even_part(&mut self, entry: &EntryName) {
        let even_part = self.even_part();
        while self.share_mut(entry).held() < even_part {
            if self.free_slots() == 0 && !self.take_from_richest(even_part) {
                return;
            }
            self.share_mut(entry).promised += 1;
        }
    }

    /// Returns a promise of an entry beyond its even part to the pool, if there is one.
    fn take_from_richest(&mut self, even_part: u32) -> bool {
        let richest = self
            .shares
            .values_mut()
            .filter(|share| share.promised > 0 && share.held() > even_part)
            .max_by_key(|share| share.held());
        match richest {
            Some(share) => {
                share.promised -= 1;
                true
            }
            None => false,
        }
    }

    fn drop_unused_share(&mut self, entry: &EntryName) {
        let is_unused =
            self.shares.get(entry).is_some_and(|share| !share.live && share.running == 0);
        if is_unused {
            self.shares.shift_remove(entry);
        }
    }
}
