use indexmap::IndexMap;

/// Most lines a second. Source: the processor time of a role allows about this many.
const LINES_PER_SECOND: u32 = 1_000;
/// Lines of the budget that only failures and changes of belief may use.
const RESERVED_LINES: u32 = 200;
/// Most bytes of lines a second. Source: the lines of a second at their mean length of 200 bytes,
/// with a quarter to spare.
const BYTES_PER_SECOND: usize = 256 * 1_024;

/// Whether a line may be left out before others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Level {
    /// A request that went well.
    Routine,
    /// A failure, a refusal or a change of belief.
    Notable,
}

/// Bounds the lines and bytes written in each second, failures before successes.
#[derive(Debug, Default)]
pub(crate) struct LineBudget {
    second: u64,
    lines: u32,
    bytes: usize,
    dropped: IndexMap<&'static str, u64>,
}

impl LineBudget {
    /// Begins the second of a time, if it is another one. Returns what was left out before, by
    /// event.
    pub(crate) fn begin(&mut self, unix_ms: u64) -> IndexMap<&'static str, u64> {
        if self.second == unix_ms / 1_000 {
            return IndexMap::new();
        }
        let dropped = std::mem::take(&mut self.dropped);
        *self = Self { second: unix_ms / 1_000, ..Self::default() };
        dropped
    }

    /// Returns whether a line may be written in this second; counts it as left out if not.
    pub(crate) fn allows(&mut self, level: Level, event: &'static str) -> bool {
        let limit = match level {
            Level::Routine => LINES_PER_SECOND - RESERVED_LINES,
            Level::Notable => LINES_PER_SECOND,
        };
        let is_allowed = self.lines < limit && self.bytes < BYTES_PER_SECOND;
        if is_allowed {
            self.lines += 1;
        } else {
            self.left_out(event, 1);
        }
        is_allowed
    }

    /// Counts the bytes of a line that was written.
    pub(crate) fn written(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Counts lines that were left out for another reason.
    pub(crate) fn left_out(&mut self, event: &'static str, lines: u64) {
        *self.dropped.entry(event).or_insert(0) += lines;
    }
}

#[cfg(test)]
mod tests;
