use rpc::EntryIdentity;
use types::Epoch;

use crate::Tenure;

types::wire! {
    /// Current and previous ownership of one partition.
    #[derive(Default)]
    pub struct PartitionState {
        /// Current tenure; `None` if the partition was never claimed.
        pub current: Option<Tenure>,
        /// Previous tenures that have not been trimmed, oldest first.
        #[serde(rename = "former")]
        pub previous: Vec<Tenure>,
    }
}

impl PartitionState {
    /// Returns the current epoch; 0 if the partition was never claimed.
    pub fn epoch(&self) -> Epoch {
        self.current.as_ref().map_or(Epoch::default(), |tenure| tenure.epoch)
    }

    /// Returns the current owner, or `None` if the partition was never claimed or its owner has
    /// released it.
    pub fn owner(&self) -> Option<&EntryIdentity> {
        self.current.as_ref().filter(|tenure| !tenure.released).map(|tenure| &tenure.owner)
    }

    pub(crate) fn claim(&mut self, owner: &EntryIdentity, claimed_ms: u64) -> Epoch {
        let epoch = self.epoch().next();
        let tenure =
            Tenure { owner: owner.clone(), epoch, claimed_ms, ended_ms: None, released: false };
        if let Some(mut previous) = self.current.replace(tenure) {
            previous.ended_ms = Some(claimed_ms);
            self.previous.push(previous);
        }
        epoch
    }

    pub(crate) fn release(&mut self, owner: &EntryIdentity, epoch: Epoch) -> bool {
        match &mut self.current {
            Some(tenure) if tenure.epoch == epoch && tenure.owner == *owner && !tenure.released => {
                tenure.released = true;
                true
            }
            _ => false,
        }
    }

    pub(crate) fn trim(&mut self, ended_before_ms: u64) {
        self.previous.retain(|tenure| tenure.ended_ms.is_none_or(|ended| ended >= ended_before_ms));
    }
}
