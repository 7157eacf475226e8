/// An agent's slot account of one entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryAccount {
    /// Whether the entry is connected; the account of a disconnected one is kept until its tasks
    /// have ended.
    pub(crate) connected: bool,
    /// Idle slots reserved for the entry.
    pub(crate) reserved: u32,
    /// Offers that the entry counts once it has received every reply sent so far.
    pub(crate) reported: i32,
    /// Running tasks of the entry.
    pub(crate) running: u32,
}

impl EntryAccount {
    /// Returns the number of slots that the entry occupies or that are reserved for it.
    pub(crate) fn allotted(&self) -> u32 {
        self.running + self.reserved
    }

    /// Returns whether the entry has no reserved slot and fewer slots than its fair share.
    pub(crate) fn is_below(&self, fair_share: u32) -> bool {
        self.connected && self.reserved == 0 && self.allotted() < fair_share
    }

    /// Returns whether a reserved slot has not been reported to the entry yet.
    pub(crate) fn has_unreported(&self) -> bool {
        self.reserved > 0 && i64::from(self.reserved) > i64::from(self.reported)
    }

    /// Returns the change of the offers since the last report and marks it as reported.
    pub(crate) fn take_offers_delta(&mut self) -> i32 {
        let reserved = i32::try_from(self.reserved).unwrap_or(i32::MAX);
        let delta = reserved.saturating_sub(self.reported);
        self.reported = reserved;
        delta
    }
}
