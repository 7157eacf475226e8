/// Limit on the slots that one team occupies at once over all entries, which each entry
/// enforces on its own.
///
/// An entry that owns `owned` of `total` partitions has a share of `slots * owned / total`
/// slots, and may occupy its integer part.  These add up to at most `slots`, so the quota
/// holds at every instant while each partition has one owner and every share is at least
/// one slot.
///
/// An entry whose share is below one slot may occupy one slot for that fraction of the time:
/// it pauses after each task.  Such entries together stay within the quota on average, and
/// exceed it at any instant by at most one slot for each of them.
///
/// Slots that are occupied when a share or the quota is reduced stay occupied until their
/// tasks end; no new task may start until fewer slots than the new limit are occupied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quota {
    slots: u32,
    owned: u32,
    total: u32,
    in_use: u32,
    busy_since_us: u64,
    paused_until_us: u64,
}

impl Quota {
    /// Creates a quota for an entry that owns no partitions yet.
    pub fn new(slots: u32) -> Self {
        Self { slots, owned: 0, total: 1, in_use: 0, busy_since_us: 0, paused_until_us: 0 }
    }

    /// Sets the quota in slots over all entries.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Sets the number of partitions that the entry owns and their total number.
    pub fn set_share(&mut self, owned: u32, total: u32) {
        self.total = total.max(1);
        self.owned = owned.min(self.total);
    }

    /// Returns the number of slots that this entry may occupy at once.
    pub fn limit(&self) -> u32 {
        let whole = self.scaled_share() / u64::from(self.total);
        let limit = if self.is_below_one_slot() { 1 } else { whole };
        u32::try_from(limit).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots that this entry occupies.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns whether a slot may be occupied now.
    pub fn has_free_slot(&self, now_us: u64) -> bool {
        let is_paused = self.is_below_one_slot() && now_us < self.paused_until_us;
        self.in_use < self.limit() && !is_paused
    }

    /// Occupies a slot and returns true, or returns false if none may be occupied now.
    pub fn try_acquire(&mut self, now_us: u64) -> bool {
        if !self.has_free_slot(now_us) {
            return false;
        }
        if self.in_use == 0 {
            self.busy_since_us = now_us;
        }
        self.in_use += 1;
        true
    }

    /// Releases an occupied slot.
    pub fn release(&mut self, now_us: u64) {
        self.in_use = self.in_use.saturating_sub(1);
        if self.is_below_one_slot() && self.in_use == 0 {
            self.paused_until_us = now_us.saturating_add(self.pause_us(now_us));
        }
    }

    /// Returns the pause in microseconds after which the slot was occupied for the entry's
    /// fraction of the time.
    fn pause_us(&self, now_us: u64) -> u64 {
        let busy_us = u128::from(now_us.saturating_sub(self.busy_since_us));
        let remainder = u128::from(u64::from(self.total) - self.scaled_share());
        let pause_us = (busy_us * remainder).div_ceil(u128::from(self.scaled_share()));
        u64::try_from(pause_us).unwrap_or(u64::MAX)
    }

    /// Returns the entry's share in slots, multiplied by the number of partitions to keep it
    /// an integer.
    fn scaled_share(&self) -> u64 {
        u64::from(self.slots) * u64::from(self.owned)
    }

    fn is_below_one_slot(&self) -> bool {
        (1..u64::from(self.total)).contains(&self.scaled_share())
    }
}
