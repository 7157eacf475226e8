use crate::UpstreamIndex;

types::plain! {
    /// Placement decision for a task.
    #[derive(Copy, Eq)]
    pub enum Choice {
        /// Send the task to this upstream and spend one of its offers.
        Offer(UpstreamIndex),
        /// Send the task to this upstream without an offer.
        Fallback(UpstreamIndex),
        /// Keep the task queued and choose again when an outstanding task is answered.  At least
        /// one task is outstanding, unless every upstream that could run this one is out of
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
