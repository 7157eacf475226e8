//! Signs of life that an entry leaves elsewhere than on its link: records in the log, and
//! probes that it sends.  They keep entries that cannot reach each other from taking
//! partitions from one another in turn.

use indexmap::IndexMap;
use ports::Offset;
use rpc::EntryIdentity;
use tokio::time::{Duration, Instant};

/// Time for which a record in the log shows that its writer lives.
const RECORD_LIFE: Duration = Duration::from_secs(5);
/// Time for which a probe shows that its sender lives.
const PROBE_LIFE: Duration = Duration::from_millis(1_500);
/// Most times that [`RECORD_LIFE`] is doubled.
const MAX_DOUBLINGS: u32 = 7;

#[derive(Default)]
struct Signs {
    /// End of the entry's stream of job records when it was last looked at.
    end: Option<Offset>,
    /// Whether `end` was read since the entry was last heard on its link.
    is_end_current: bool,
    alive_until: Option<Instant>,
    /// Whether this process has claimed partitions of the entry since its last sign.
    is_replaced: bool,
    /// How often the entry gave a sign after it was replaced as dead.
    false_deaths: u32,
}

/// Signs of life of the other entries.
#[derive(Default)]
pub(crate) struct LogActivity {
    entries: IndexMap<EntryIdentity, Signs>,
}

impl LogActivity {
    /// Returns whether an entry has given a sign of life recently.
    pub(crate) fn is_alive(&self, entry: &EntryIdentity, now: Instant) -> bool {
        let until = self.entries.get(entry).and_then(|signs| signs.alive_until);
        until.is_some_and(|until| now < until)
    }

    /// Notes a record that an entry has written.  The sign lasts longer each time that the
    /// entry was replaced as dead in spite of living.
    pub(crate) fn note_record(&mut self, entry: &EntryIdentity, now: Instant) {
        let signs = self.entries.entry(entry.clone()).or_default();
        signs.false_deaths += u32::from(std::mem::take(&mut signs.is_replaced));
        let life = RECORD_LIFE * 2_u32.pow(signs.false_deaths.min(MAX_DOUBLINGS));
        signs.alive_until = signs.alive_until.max(Some(now + life));
    }

    /// Notes a probe that an entry has sent.
    pub(crate) fn note_probe(&mut self, entry: &EntryIdentity, now: Instant) {
        let signs = self.entries.entry(entry.clone()).or_default();
        signs.alive_until = signs.alive_until.max(Some(now + PROBE_LIFE));
    }

    /// Notes the end of an entry's stream of job records; that it has moved is a sign.
    pub(crate) fn note_end(&mut self, entry: &EntryIdentity, end: Offset, now: Instant) {
        let signs = self.entries.entry(entry.clone()).or_default();
        let former = signs.end.replace(end);
        let is_current = std::mem::replace(&mut signs.is_end_current, true);
        if is_current && former.is_some_and(|former| end > former) {
            self.note_record(entry, now);
        }
    }

    /// Notes that an entry answers on its link, which makes other signs out of date.
    pub(crate) fn note_heard(&mut self, entry: &EntryIdentity) {
        if let Some(signs) = self.entries.get_mut(entry) {
            signs.alive_until = None;
            signs.is_end_current = false;
        }
    }

    /// Notes that this process claims partitions of an entry that it holds for dead.
    pub(crate) fn note_replaced(&mut self, entry: &EntryIdentity) {
        self.entries.entry(entry.clone()).or_default().is_replaced = true;
    }

    /// Returns the offset from which the stream of an entry is looked at next.
    pub(crate) fn end(&self, entry: &EntryIdentity) -> Offset {
        self.entries.get(entry).and_then(|signs| signs.end).unwrap_or_default()
    }

    /// Drops what is known of entries that do not matter any more.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&EntryIdentity) -> bool) {
        self.entries.retain(|entry, _| is_kept(entry));
    }
}
