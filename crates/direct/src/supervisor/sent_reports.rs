use std::collections::VecDeque;

/// Times at which the messages of one connection were sent to an entry. Each message of the entry
/// names the last one that it had read, which proves that it was not sent earlier than that.
#[derive(Debug)]
pub(crate) struct SentReports {
    /// Number of reports sent; the handshake is number 0.
    count: u64,
    /// Times of the latest messages, milliseconds; the last one is that of number `count`.
    times: VecDeque<u64>,
}

impl SentReports {
    /// Starts a connection whose handshake was sent at `hello_ms`.
    pub(crate) fn new(hello_ms: u64) -> Self {
        Self { count: 0, times: VecDeque::from([hello_ms]) }
    }

    /// Records a report that is being sent, and forgets those that were sent `retention_ms` ago: a
    /// message that names one of them proves too little. Returns the report's number.
    pub(crate) fn record(&mut self, now_ms: u64, retention_ms: u64) -> u64 {
        self.count += 1;
        self.times.push_back(now_ms);
        while self.times.front().is_some_and(|ms| now_ms.saturating_sub(*ms) >= retention_ms) {
            self.times.pop_front();
        }
        self.count
    }

    /// Returns the time at which a message was sent, milliseconds; `None` if it was not sent or is
    /// forgotten.
    pub(crate) fn sent_ms(&self, number: u64) -> Option<u64> {
        let later = usize::try_from(self.count.checked_sub(number)?).ok()?;
        self.times.get(self.times.len().checked_sub(later + 1)?).copied()
    }
}
