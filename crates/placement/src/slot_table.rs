use std::collections::HashMap;

use indexmap::IndexMap;
use types::{AttemptKey, EntryName, Resources};

use crate::{
    AgentLoad, FinishOutcome, RecallOutcome, SlotDecision, SlotLimits, SlotRefusal, StartRequest,
    entry_account::EntryAccount, waiting_list::WaitingList,
};

/// Slots beyond its fair share that an entry may have before freed slots are offered to others.
const FAIR_SHARE_SLACK: u32 = 1;

/// Starts that may bypass the first queued attempt while it lacks resources; after these, all
/// other attempts wait for it.
const MAX_BYPASSES: u32 = 8;

#[derive(Clone, Debug)]
struct RunningTask {
    entry: EntryName,
    charge: Resources,
}

/// An agent's accounting of slots, connections, resources and offers.
///
/// A slot runs a task, is reserved for one entry, or is free.  Running attempts never exceed the
/// slots or the connections, and an attempt starts only if its charge fits into the free
/// resources.  An idle slot is never withheld: an attempt without an offer uses a free slot, or
/// else one reserved for the entry with the most reservations, which is notified with its next
/// reply.
#[derive(Clone, Debug)]
pub struct SlotTable {
    limits: SlotLimits,
    accounts: IndexMap<EntryName, EntryAccount>,
    running: HashMap<AttemptKey, RunningTask>,
    waiting: WaitingList,
    used: Resources,
    bypasses: u32,
    draining: bool,
}

impl SlotTable {
    /// Creates a table without entries and attempts.
    pub fn new(limits: SlotLimits) -> Self {
        Self {
            limits,
            accounts: IndexMap::new(),
            running: HashMap::new(),
            waiting: WaitingList::default(),
            used: Resources::default(),
            bypasses: 0,
            draining: false,
        }
    }

    /// Connects an entry.  Returns the number of slots now offered to it, which replaces the
    /// entry's previous count.
    pub fn connect_entry(&mut self, entry: &EntryName) -> u32 {
        let account = self.account_mut(entry);
        account.connected = true;
        account.reserved = 0;
        if !self.draining {
            self.reserve_fair_share(entry);
        }
        let account = self.account_mut(entry);
        account.take_offers_delta();
        account.reserved
    }

    /// Starts, queues or refuses a new attempt.
    pub fn request_start(&mut self, req: StartRequest) -> SlotDecision {
        let has_reservation = self.spend_offer(&req);
        match self.decide(&req) {
            SlotDecision::Start => {
                self.start(req, has_reservation);
                SlotDecision::Start
            }
            SlotDecision::Queue => {
                self.waiting.push(req);
                SlotDecision::Queue
            }
            SlotDecision::Refuse(reason) => {
                self.account_mut(&req.entry).reserved += u32::from(has_reservation);
                self.drop_unused_account(&req.entry);
                SlotDecision::Refuse(reason)
            }
        }
    }

    /// Ends a running attempt.  Queued attempts use its slot first; otherwise the slot is offered,
    /// usually to the same entry.  Returns `None` if the attempt is not running.
    pub fn finish(&mut self, key: &AttemptKey) -> Option<FinishOutcome> {
        let task = self.running.remove(key)?;
        self.used = self.used.saturating_sub(task.charge);
        self.account_mut(&task.entry).running -= 1;
        let start_next = self.start_waiting();
        self.offer_free_slots(&task.entry);
        let offers_delta = self.take_offers_delta(&task.entry);
        self.drop_unused_account(&task.entry);
        Some(FinishOutcome { start_next, offers_delta })
    }

    /// Returns the change of an entry's offers since they were last reported, to be sent in a
    /// reply to the entry; 0 if it is not connected.
    pub fn take_offers_delta(&mut self, entry: &EntryName) -> i32 {
        match self.accounts.get_mut(entry) {
            Some(account) if account.connected => account.take_offers_delta(),
            _ => 0,
        }
    }

    /// Disconnects an entry and frees the slots reserved for it.  Its attempts continue.
    pub fn disconnect_entry(&mut self, entry: &EntryName) {
        if let Some(account) = self.accounts.get_mut(entry) {
            *account = EntryAccount { running: account.running, ..EntryAccount::default() };
        }
        self.drop_unused_account(entry);
    }

    /// Removes a queued attempt; a running one is not affected.
    pub fn recall(&mut self, key: &AttemptKey) -> RecallOutcome {
        let Some(req) = self.waiting.remove(key) else { return RecallOutcome::default() };
        self.drop_unused_account(&req.entry);
        RecallOutcome { removed: true, start_next: self.start_waiting() }
    }

    /// Corrects the charge of a running attempt once its usage is known.
    pub fn update_charge(&mut self, key: &AttemptKey, charge: Resources) {
        if let Some(task) = self.running.get_mut(key) {
            self.used = self.used.saturating_sub(task.charge).saturating_add(charge);
            task.charge = charge;
        }
    }

    /// Refuses new attempts from now on and withdraws every offer.  Returns the queued attempts,
    /// which never start.
    pub fn drain(&mut self) -> Vec<AttemptKey> {
        self.draining = true;
        self.accounts.values_mut().for_each(|account| account.reserved = 0);
        self.waiting.take_all()
    }

    /// Returns the load, summed over all entries.
    pub fn load(&self) -> AgentLoad {
        let accepts_starts = self.waiting.is_empty() && !self.draining;
        AgentLoad {
            running: self.running_count(),
            queued: self.waiting.len() as u32,
            free: if accepts_starts { self.free_slots() } else { 0 },
        }
    }

    /// Returns the number of idle slots reserved for an entry.
    pub fn reserved(&self, entry: &EntryName) -> u32 {
        self.accounts.get(entry).map_or(0, |account| account.reserved)
    }

    /// Returns the resources charged to running attempts.
    pub fn used(&self) -> Resources {
        self.used
    }

    fn account_mut(&mut self, entry: &EntryName) -> &mut EntryAccount {
        self.accounts.entry(entry.clone()).or_default()
    }

    fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    fn free_slots(&self) -> u32 {
        let reserved: u32 = self.accounts.values().map(|account| account.reserved).sum();
        self.limits.max_running().saturating_sub(self.running_count() + reserved)
    }

    fn free_resources(&self) -> Resources {
        self.limits.capacity.saturating_sub(self.used)
    }

    fn fair_share(&self) -> u32 {
        let connected = self.accounts.values().filter(|account| account.connected).count() as u32;
        self.limits.max_running().div_ceil(connected.max(1))
    }

    /// Releases a slot reserved for an entry that spends an offer; returns whether there was one.
    fn spend_offer(&mut self, req: &StartRequest) -> bool {
        let account = self.account_mut(&req.entry);
        if !req.uses_offer {
            return false;
        }
        account.reported -= 1;
        let has_reservation = account.reserved > 0;
        account.reserved -= u32::from(has_reservation);
        has_reservation
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
        let may_bypass = self.waiting.is_empty() || self.bypasses < MAX_BYPASSES;
        may_bypass
            && self.running_count() < self.limits.max_running()
            && charge.fits_in(self.free_resources())
    }

    fn start(&mut self, req: StartRequest, has_reservation: bool) {
        if !has_reservation && self.free_slots() == 0 {
            self.revoke_reservation(&req.entry);
        }
        let bypasses_head = self.waiting.head().is_some_and(|head| head.key != req.key);
        self.bypasses = if bypasses_head { self.bypasses + 1 } else { 0 };
        self.used = self.used.saturating_add(req.charge);
        self.account_mut(&req.entry).running += 1;
        self.running.insert(req.key, RunningTask { entry: req.entry, charge: req.charge });
    }

    /// Revokes a reservation for an attempt of `entry` that starts: one of the same entry that is
    /// not reported to it yet, otherwise one of the entry with the most.
    fn revoke_reservation(&mut self, entry: &EntryName) {
        if let Some(account) =
            self.accounts.get_mut(entry).filter(|account| account.has_unreported())
        {
            account.reserved -= 1;
            return;
        }
        if let Some(account) = self.accounts.values_mut().max_by_key(|account| account.reserved) {
            account.reserved = account.reserved.saturating_sub(1);
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
            self.accounts[recipient].reserved += 1;
        }
    }

    /// Returns the index of the account to which a free slot is offered while a reply to `entry`
    /// is prepared.  `None` keeps the slot free for an entry that awaits no reply.
    fn offer_recipient(&self, entry: &EntryName) -> Option<usize> {
        let fair_share = self.fair_share();
        let own_account = self.accounts.get_full(entry).filter(|(_, _, account)| account.connected);
        match own_account {
            Some((i, _, account)) if account.allotted() < fair_share + FAIR_SHARE_SLACK => Some(i),
            _ => match self.entry_below_share(fair_share) {
                Some(i) => Some(i),
                None if self.free_slots() <= self.idle_entries_below_share(fair_share) => None,
                None => own_account.map(|(i, ..)| i),
            },
        }
    }

    /// Returns the index of the account with the fewest slots among the entries that are below
    /// their fair share and await a reply.
    fn entry_below_share(&self, fair_share: u32) -> Option<usize> {
        self.accounts
            .values()
            .enumerate()
            .filter(|(_, account)| account.running > 0 && account.is_below(fair_share))
            .min_by_key(|(_, account)| account.allotted())
            .map(|(i, _)| i)
    }

    /// Counts the entries that are below their fair share and await no reply.
    fn idle_entries_below_share(&self, fair_share: u32) -> u32 {
        let is_idle_below_share =
            |account: &&EntryAccount| account.running == 0 && account.is_below(fair_share);
        self.accounts.values().filter(is_idle_below_share).count() as u32
    }

    fn reserve_fair_share(&mut self, entry: &EntryName) {
        let fair_share = self.fair_share();
        while self.account_mut(entry).allotted() < fair_share {
            if self.free_slots() == 0 && !self.revoke_excess_reservation(fair_share) {
                return;
            }
            self.account_mut(entry).reserved += 1;
        }
    }

    /// Revokes a reservation of the entry with the most slots beyond its fair share; returns
    /// whether there was one.
    fn revoke_excess_reservation(&mut self, fair_share: u32) -> bool {
        let largest = self
            .accounts
            .values_mut()
            .filter(|account| account.reserved > 0 && account.allotted() > fair_share)
            .max_by_key(|account| account.allotted());
        match largest {
            Some(account) => {
                account.reserved -= 1;
                true
            }
            None => false,
        }
    }

    fn drop_unused_account(&mut self, entry: &EntryName) {
        let is_unused = self
            .accounts
            .get(entry)
            .is_some_and(|account| !account.connected && account.running == 0);
        if is_unused {
            self.accounts.shift_remove(entry);
        }
    }
}
