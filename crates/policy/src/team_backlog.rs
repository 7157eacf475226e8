use types::{TeamName, Urgency};

types::plain! {
    /// Queued work of one team.
    #[derive(Eq)]
    pub struct TeamBacklog<'a> {
        /// The team.
        pub team: &'a TeamName,
        /// Weight of the team's share.
        pub weight: u32,
        /// Predicted slot time of the queued tasks of each class, in microseconds, in the
        /// order of [`Urgency::ALL`].
        pub by_class_us: [u64; Urgency::ALL.len()],
    }
}

impl TeamBacklog<'_> {
    /// Returns the predicted slot time of all queued tasks in microseconds.
    pub fn total_us(&self) -> u64 {
        self.by_class_us.iter().sum()
    }
}
