/// Position of an agent in its upstream's list of ended runs, which it acknowledges with each call.
///
/// Each incarnation of the upstream numbers its ends anew, and forgets those that are acknowledged. An
/// acknowledgement of the predecessor's ends would lose the outcomes of the successor's runs, so none
/// is sent after a failed call: the upstream may have been replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListPosition {
    incarnation: Option<u64>,
    /// Incarnation before this one, whose replies may still arrive.
    replaced: Option<u64>,
    seq: u64,
}

impl ListPosition {
    /// Returns the sequence number to acknowledge with the next call; 0 for none.
    pub fn seq(self) -> u64 {
        self.seq
    }

    /// Records the highest sequence number that a reply has listed.
    pub fn on_reply(&mut self, incarnation: Option<u64>, last_seq: Option<u64>) {
        if incarnation.is_some() && incarnation == self.replaced {
            return;
        }
        if self.incarnation != incarnation {
            *self = Self { incarnation, replaced: self.incarnation, seq: 0 };
        }
        self.seq = self.seq.max(last_seq.unwrap_or(0));
    }

    /// Records a call without a reply. The upstream lists again what was not acknowledged.
    pub fn on_failure(&mut self) {
        self.seq = 0;
    }
}
