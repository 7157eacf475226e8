/// Consecutive unanswered calls after which an upstream counts as unresponsive; more than one,
/// because a healthy upstream loses single calls too.
const MIN_UNANSWERED_CALLS: u32 = 3;
/// Minimum time that these calls must span, milliseconds, because calls that were sent together are
/// lost together.
const MIN_UNANSWERED_SPAN_MS: u64 = 200;

types::plain! {
    /// Detects an unresponsive upstream; single lost calls do not count.
    #[derive(Copy, Default)]
    pub(crate) struct ResponseMonitor {
        unanswered: u32,
        first_unanswered_ms: u64,
        is_unresponsive: bool,
    }
}

impl ResponseMonitor {
    /// Records an answered call; returns whether the upstream was unresponsive before.
    pub(crate) fn record_answer(&mut self) -> bool {
        let was_unresponsive = self.is_unresponsive;
        *self = Self::default();
        was_unresponsive
    }

    /// Records an unanswered call; returns whether it makes the upstream unresponsive.
    pub(crate) fn record_timeout(&mut self, now_ms: u64) -> bool {
        if self.unanswered == 0 {
            self.first_unanswered_ms = now_ms;
        }
        self.unanswered += 1;
        let is_long = now_ms.saturating_sub(self.first_unanswered_ms) >= MIN_UNANSWERED_SPAN_MS;
        let becomes_unresponsive =
            !self.is_unresponsive && self.unanswered >= MIN_UNANSWERED_CALLS && is_long;
        self.is_unresponsive |= becomes_unresponsive;
        becomes_unresponsive
    }

    /// Records that nothing listens at the upstream's address, which unlike a lost call leaves no
    /// doubt; returns whether this makes the upstream unresponsive.
    pub(crate) fn record_refusal(&mut self, now_ms: u64) -> bool {
        if self.unanswered == 0 {
            self.first_unanswered_ms = now_ms;
        }
        self.unanswered += 1;
        !std::mem::replace(&mut self.is_unresponsive, true)
    }

    /// Returns the time of the first call that failed since the last answer, milliseconds.
    pub(crate) fn failing_since_ms(&self) -> u64 {
        self.first_unanswered_ms
    }

    pub(crate) fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }
}
