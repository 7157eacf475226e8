use indexmap::IndexMap;
use types::Incarnation;

/// Most writers whose latest sequence numbers are remembered; above it, the writer whose
/// last record is the oldest is removed.
const MAX_WRITERS: usize = 1_024;

/// Detects records that were appended again because their first append was not answered.
#[derive(Debug, Default)]
pub(crate) struct DuplicateFilter {
    latest: IndexMap<Incarnation, u64>,
}

impl DuplicateFilter {
    /// Returns whether the record is a duplicate, and remembers it otherwise.
    ///
    /// A writer uses the next sequence number only when the record with the previous one is
    /// in the stream, so every number up to the latest is a duplicate.
    pub(crate) fn is_duplicate(&mut self, writer: Incarnation, sequence: u64) -> bool {
        let is_duplicate = self.latest.get(&writer).is_some_and(|latest| sequence <= *latest);
        if !is_duplicate {
            self.latest.shift_remove(&writer);
            self.latest.insert(writer, sequence);
        }
        if self.latest.len() > MAX_WRITERS {
            self.latest.shift_remove_index(0);
        }
        is_duplicate
    }
}
