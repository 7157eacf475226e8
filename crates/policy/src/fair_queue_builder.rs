use crate::{ClassFloors, FairQueue, builder::builder};

const DEFAULT_MAX_BYTES: usize = 64 << 20;
const DEFAULT_MAX_TASKS_PER_CLASS: usize = 100_000;
const DEFAULT_MAX_LEAD_US: u64 = 30_000_000;

builder! {
    /// Settings of a [`FairQueue`].
    pub struct FairQueueBuilder {
        /// Most bytes that all queued tasks may hold; 64 MiB by default.
        max_bytes: usize = DEFAULT_MAX_BYTES,
        /// Most tasks that one team may queue in one urgency class; 100,000 by default.
        max_tasks_per_class: usize = DEFAULT_MAX_TASKS_PER_CLASS,
        /// Floors of the urgency classes of each team.
        floors: ClassFloors = ClassFloors::default(),
        /// Most slot time in microseconds by which corrections of charges move a team ahead of
        /// or behind the others; 30 s by default.  It should exceed the number of slots times
        /// the usual error of a prediction.
        max_lead_us: u64 = DEFAULT_MAX_LEAD_US,
    }
}

impl FairQueueBuilder {
    /// Creates an empty queue with these settings.
    pub fn build<T>(self) -> FairQueue<T> {
        FairQueue::with_settings(self)
    }
}
