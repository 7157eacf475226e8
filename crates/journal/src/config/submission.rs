use services::{PatchId, PatchOutcome};

types::plain! {
    /// What is known of a submitted patch.
    #[derive(Eq)]
    pub enum Submission {
        /// The patch was read back from the log and decided.
        Decided(PatchOutcome),
        /// The patch may take effect later; its verdict can be asked for by its
        /// identifier.
        Undecided {
            /// Identifier of the patch.
            patch_id: PatchId,
        },
    }
}
