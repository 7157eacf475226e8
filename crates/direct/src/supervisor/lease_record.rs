/// When the last lease was granted: the last time at which a call that grants one was sent and may
/// have arrived. Calls whose connection was refused grant none.
#[derive(Debug)]
pub(crate) struct LeaseRecord {
    granted_ms: u64,
    /// Times at which the calls were sent that are in progress.
    open_ms: Vec<u64>,
}

impl LeaseRecord {
    pub(crate) fn new(granted_ms: u64) -> Self {
        Self { granted_ms, open_ms: Vec::new() }
    }

    /// Records that a call is being sent.
    pub(crate) fn record_sent(&mut self, sent_ms: u64) {
        self.open_ms.push(sent_ms);
    }

    /// Records the end of the call that was sent at `sent_ms`, if it granted a lease.
    pub(crate) fn record_end(&mut self, sent_ms: u64, may_have_arrived: bool) {
        let Some(index) = self.open_ms.iter().position(|open_ms| *open_ms == sent_ms) else {
            return;
        };
        self.open_ms.swap_remove(index);
        if may_have_arrived {
            self.granted_ms = self.granted_ms.max(sent_ms);
        }
    }

    /// Returns the last time at which a lease may have been granted.
    pub(crate) fn last_ms(&self) -> u64 {
        self.open_ms.iter().copied().fold(self.granted_ms, u64::max)
    }
}
