use indexmap::IndexMap;

/// Most lines a second: about as many as a process may write within its processor time.
const LINES_PER_SECOND: u32 = 1_000;
/// Lines a second that are reserved for [`Level::Notable`].
const RESERVED_LINES: u32 = 200;
/// Most bytes a second. [`LINES_PER_SECOND`] lines of their mean length, 200 bytes, leave about a
/// quarter of this to spare.
const BYTES_PER_SECOND: usize = 256 * 1_024;
/// Bytes a second that are reserved for [`Level::Notable`].
const RESERVED_BYTES: usize = BYTES_PER_SECOND / 5;

/// Importance of a line; routine lines are dropped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Level {
    /// A step that succeeded.
    Routine,
    /// A failure, a refusal, or a change in what the process knows about others.
    Notable,
}

/// Limits the lines and bytes that are written in each second, with a reserve for notable lines.
#[derive(Debug, Default)]
pub(crate) struct LineBudget {
    second: u64,
    lines: u32,
    bytes: usize,
    dropped: IndexMap<&'static str, u64>,
}

impl LineBudget {
    /// Starts a new second if `unix_ms` lies in another one than the last call. Returns how many
    /// lines were dropped since the last start, by event.
    pub(crate) fn start_second(&mut self, unix_ms: u64) -> IndexMap<&'static str, u64> {
        if self.second == unix_ms / 1_000 {
            return IndexMap::new();
        }
        let dropped = std::mem::take(&mut self.dropped);
        *self = Self { second: unix_ms / 1_000, ..Self::default() };
        dropped
    }

    /// Returns whether a line may be written in this second; counts it as dropped if not.
    pub(crate) fn admit(&mut self, level: Level, event: &'static str) -> bool {
        let (lines, bytes) = match level {
            Level::Routine => {
                (LINES_PER_SECOND - RESERVED_LINES, BYTES_PER_SECOND - RESERVED_BYTES)
            }
            Level::Notable => (LINES_PER_SECOND, BYTES_PER_SECOND),
        };
        let is_admitted = self.lines < lines && self.bytes < bytes;
        if is_admitted {
            self.lines += 1;
        } else {
            self.record_dropped(event, 1);
        }
        is_admitted
    }

    /// Counts the bytes of a line that was written.
    pub(crate) fn record_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Counts lines that were dropped.
    pub(crate) fn record_dropped(&mut self, event: &'static str, lines: u64) {
        *self.dropped.entry(event).or_insert(0) += lines;
    }
}

#[cfg(test)]
mod tests;
