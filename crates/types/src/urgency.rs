crate::identifier! {
    /// Urgency class of a kind of request, most urgent first.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Urgency {
        /// A person or a production line is waiting for the answer.
        Urgent,
        /// Ordinary interactive work.
        #[default]
        Normal,
        /// Work that may wait until the load is lower.
        Background,
    }
}

impl Urgency {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Background];

    /// Returns the position of the class in [`Urgency::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}
