use types::{Incarnation, Resources};

use crate::UpstreamIndex;

types::plain! {
    /// An attempt sent to an upstream.  The caller passes it back to
    /// [`crate::Placer::record_reply`] or [`crate::Placer::record_loss`].
    #[derive(Copy, Eq)]
    #[must_use]
    pub struct Dispatch {
        /// Upstream that the attempt was sent to.
        pub upstream: UpstreamIndex,
        /// Incarnation of the upstream's agent.
        pub incarnation: Incarnation,
        /// Whether an offer was spent.
        pub uses_offer: bool,
        /// Resources that the attempt is charged with.
        pub charge: Resources,
        pub(crate) sent_us: u64,
        pub(crate) generation: u32,
    }
}
