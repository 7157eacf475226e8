/// Calls in a row without an answer after which an upstream is held for mute. Source: single calls
/// are lost on a sound upstream.
const UNANSWERED_TO_MUTE: u32 = 3;
/// Least time that these calls must span, milliseconds. Source: calls that were sent together are
/// lost together.
const LEAST_SPAN_MS: u64 = 200;

types::plain! {
    /// Tells an upstream that does not answer from single answers that are lost.
    #[derive(Copy, Default)]
    pub(crate) struct ResponseMonitor {
        unanswered: u32,
        first_ms: u64,
        is_unresponsive: bool,
    }
}

impl ResponseMonitor {
    /// Notes an answer; returns whether the upstream was mute.
    pub(crate) fn answered(&mut self) -> bool {
        let was_mute = self.is_unresponsive;
        *self = Self::default();
        was_mute
    }

    /// Notes a call without an answer; returns whether the upstream is held for mute from now on.
    pub(crate) fn unanswered(&mut self, now_ms: u64) -> bool {
        if self.unanswered == 0 {
            self.first_ms = now_ms;
        }
        self.unanswered += 1;
        let is_long = now_ms.saturating_sub(self.first_ms) >= LEAST_SPAN_MS;
        let turns_mute = !self.is_unresponsive && self.unanswered >= UNANSWERED_TO_MUTE && is_long;
        self.is_unresponsive |= turns_mute;
        turns_mute
    }

    pub(crate) fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }
}
