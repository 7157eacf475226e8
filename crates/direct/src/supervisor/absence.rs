use crate::RunList;

/// Since when the lists of an upstream omit a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Absence {
    since_ms: Option<u64>,
}

impl Absence {
    /// Records a list without the run. Returns the time for which lists have omitted it,
    /// milliseconds.
    pub(crate) fn record(&mut self, list: &RunList) -> u64 {
        let since_ms = *self.since_ms.get_or_insert(list.sent_ms);
        list.sent_ms.saturating_sub(since_ms)
    }

    /// Records a list that contains the run.
    pub(crate) fn end(&mut self) {
        self.since_ms = None;
    }
}
