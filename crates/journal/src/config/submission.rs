use services::{PatchId, PatchOutcome};

types::plain! {
    /// Result of submitting a patch.
    #[derive(Eq)]
    pub enum Submission {
        /// The patch was read back from the log and decided.
        Decided(PatchOutcome),
        /// The patch may take effect later; its outcome can be queried by its identifier.
        Undecided {
            /// Identifier of the patch.
            patch_id: PatchId,
        },
    }
}
