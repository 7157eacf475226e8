use rpc::EntryIdentity;
use types::Epoch;

types::wire! {
    /// Ownership of a partition by one entry under one epoch.
    pub struct Tenure {
        /// The owner; its identity also names the stream of its job records.
        pub owner: EntryIdentity,
        /// Epoch of the partition under this owner.
        pub epoch: Epoch,
        /// Time of the claim on the wall clock of the owner, in Unix milliseconds.
        pub claimed_ms: u64,
        /// Time of the next claim on the wall clock of the successor, in Unix milliseconds.
        pub ended_ms: Option<u64>,
        /// Whether the owner released the partition; its job records are complete then.
        pub released: bool,
    }
}
