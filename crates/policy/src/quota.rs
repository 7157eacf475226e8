/// Most slots that one team occupies at once over all entries, enforced by each entry alone.
///
/// An entry that owns `owned` of `total` partitions may occupy the whole part of
/// `slots * owned / total`.  These parts add up to at most `slots`, so the quota holds at
/// every instant while each partition has one owner and every part is at least one slot.
///
/// An entry whose part is below one slot may occupy one slot for that part of the time: it
/// pauses after each task.  Such entries together stay within the quota in the mean, and
/// exceed it at an instant by at most one slot for each of them.
///
/// Slots that are occupied when a share or the quota shrinks stay occupied until their
/// tasks end; nothing new is started before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quota {
    slots: u32,
    owned: u32,
    total: u32,
    in_use: u32,
    lone_since_us: u64,
    resumes_us: u64,
}

impl Quota {
    /// Creates a quota of slots for an entry that owns no partitions yet.
    pub fn new(slots: u32) -> Self {
        Self { slots, owned: 0, total: 1, in_use: 0, lone_since_us: 0, resumes_us: 0 }
    }

    /// Changes the quota.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Changes the entry's share of the partitions.
    pub fn set_share(&mut self, owned: u32, total: u32) {
        self.total = total.max(1);
        self.owned = owned.min(self.total);
    }

    /// Returns the slots that this entry may occupy at once.
    pub fn limit(&self) -> u32 {
        let whole = self.part() / u64::from(self.total);
        let limit = if self.is_below_one_slot() { 1 } else { whole };
        u32::try_from(limit).unwrap_or(u32::MAX)
    }

    /// Returns the slots that this entry occupies.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns whether a slot may be taken now.
    pub fn has_free_slot(&self, now_us: u64) -> bool {
        let is_paused = self.is_below_one_slot() && now_us < self.resumes_us;
        self.in_use < self.limit() && !is_paused
    }

    /// Takes a slot if one may be taken now.
    pub fn try_acquire(&mut self, now_us: u64) -> bool {
        if !self.has_free_slot(now_us) {
            return false;
        }
        if self.in_use == 0 {
            self.lone_since_us = now_us;
        }
        self.in_use += 1;
        true
    }

    /// Gives back a slot that was taken.
    pub fn release(&mut self, now_us: u64) {
        self.in_use = self.in_use.saturating_sub(1);
        if self.is_below_one_slot() && self.in_use == 0 {
            self.resumes_us = now_us.saturating_add(self.pause_us(now_us));
        }
    }

    /// Returns the pause after which the slot was occupied for the entry's part of the time.
    fn pause_us(&self, now_us: u64) -> u64 {
        let held_us = u128::from(now_us.saturating_sub(self.lone_since_us));
        let rest = u128::from(u64::from(self.total) - self.part());
        let pause_us = (held_us * rest).div_ceil(u128::from(self.part()));
        u64::try_from(pause_us).unwrap_or(u64::MAX)
    }

    /// Returns the entry's part in slots, times the number of partitions.
    fn part(&self) -> u64 {
        u64::from(self.slots) * u64::from(self.owned)
    }

    fn is_below_one_slot(&self) -> bool {
        (1..u64::from(self.total)).contains(&self.part())
    }
}
