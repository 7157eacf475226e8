//! Indirect evidence that another entry is alive while it cannot be reached: records that it
//! appends to the log, and probes that it sends.  It prevents entries that cannot reach each other
//! from taking over each other's partitions in turn.

use indexmap::IndexMap;
use ports::Offset;
use rpc::EntryIdentity;
use tokio::time::{Duration, Instant};

/// Time for which a record in the log counts as evidence that its writer is alive.
const RECORD_TTL: Duration = Duration::from_secs(5);
/// Time for which a probe counts as evidence that its sender is alive.
const PROBE_TTL: Duration = Duration::from_millis(1_500);
/// Largest number of times that [`RECORD_TTL`] is doubled.
const MAX_DOUBLINGS: u32 = 7;

#[derive(Default)]
struct EntryActivity {
    /// End of the entry's stream of job records at the latest read.
    stream_end: Option<Offset>,
    /// Whether `stream_end` was read since the entry last replied on its link.
    is_stream_end_current: bool,
    alive_until: Option<Instant>,
    /// Whether this process has claimed partitions of the entry since its latest append.
    is_replaced: bool,
    /// How often the entry appended records after it was replaced as dead.
    false_replacements: u32,
}

/// Recent activity of the other entries in the log, and probes received from them.
#[derive(Default)]
pub(crate) struct LogActivity {
    entries: IndexMap<EntryIdentity, EntryActivity>,
}

impl LogActivity {
    /// Returns whether there is recent evidence that an entry is alive.
    pub(crate) fn is_alive(&self, entry: &EntryIdentity, now: Instant) -> bool {
        let until = self.entries.get(entry).and_then(|activity| activity.alive_until);
        until.is_some_and(|until| now < until)
    }

    /// Records that an entry has appended to the log.  The evidence is valid for twice as long
    /// after each time that the entry was replaced as dead although it was alive.
    pub(crate) fn record_append(&mut self, entry: &EntryIdentity, now: Instant) {
        let activity = self.entries.entry(entry.clone()).or_default();
        activity.false_replacements += u32::from(std::mem::take(&mut activity.is_replaced));
        let ttl = RECORD_TTL * 2_u32.pow(activity.false_replacements.min(MAX_DOUBLINGS));
        activity.alive_until = activity.alive_until.max(Some(now + ttl));
    }

    /// Records a probe that an entry has sent.
    pub(crate) fn record_probe(&mut self, entry: &EntryIdentity, now: Instant) {
        let activity = self.entries.entry(entry.clone()).or_default();
        activity.alive_until = activity.alive_until.max(Some(now + PROBE_TTL));
    }

    /// Records the end of an entry's stream of job records.  If the end has moved since the
    /// previous read, the entry has appended records.
    pub(crate) fn record_stream_end(
        &mut self,
        entry: &EntryIdentity,
        stream_end: Offset,
        now: Instant,
    ) {
        let activity = self.entries.entry(entry.clone()).or_default();
        let previous = activity.stream_end.replace(stream_end);
        let was_current = std::mem::replace(&mut activity.is_stream_end_current, true);
        if was_current && previous.is_some_and(|previous| stream_end > previous) {
            self.record_append(entry, now);
        }
    }

    /// Discards the evidence about an entry that has replied on its link, as it is out of date.
    pub(crate) fn on_peer_contact(&mut self, entry: &EntryIdentity) {
        if let Some(activity) = self.entries.get_mut(entry) {
            activity.alive_until = None;
            activity.is_stream_end_current = false;
        }
    }

    /// Records that this process claims partitions of an entry that it considers dead.
    pub(crate) fn mark_replaced(&mut self, entry: &EntryIdentity) {
        self.entries.entry(entry.clone()).or_default().is_replaced = true;
    }

    /// Returns the offset from which the stream of an entry is read next.
    pub(crate) fn stream_end(&self, entry: &EntryIdentity) -> Offset {
        self.entries.get(entry).and_then(|activity| activity.stream_end).unwrap_or_default()
    }

    /// Removes the entries for which `is_kept` returns false.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&EntryIdentity) -> bool) {
        self.entries.retain(|entry, _| is_kept(entry));
    }
}
