use crate::UpstreamIndex;

types::plain! {
    /// Placement decision for a task.
    #[derive(Copy, Eq)]
    pub enum Choice {
        /// Send the task to this upstream and spend one of its offers.
        Offer(UpstreamIndex),
        /// Send the task to this upstream without an offer.
        Fallback(UpstreamIndex),
        /// Keep the task queued.  The caller chooses again when one of its outstanding tasks
        /// is answered.  There may be none if every upstream that could run the task is out of
        /// service or to be avoided.
        Wait,
    }
}

impl Choice {
    /// Returns the upstream, if one was chosen.
    pub fn upstream(self) -> Option<UpstreamIndex> {
        match self {
            Self::Offer(upstream) | Self::Fallback(upstream) => Some(upstream),
            Self::Wait => None,
        }
    }
}
