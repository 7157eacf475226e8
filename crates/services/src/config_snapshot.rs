use crate::{PatchId, PatchOutcome, Version};

types::wire! {
    /// A [`crate::ConfigState`] in the form in which it is written to the log.
    #[derive(Eq)]
    pub struct ConfigSnapshot {
        /// Version of the configuration.
        pub version: Version,
        /// The configuration as JSON text.
        pub config: String,
        /// Latest patches with their outcomes, oldest first.
        pub recent: Vec<PatchDecision>,
    }

    /// A patch and its first outcome.
    #[derive(Eq)]
    pub struct PatchDecision {
        /// Identifier of the patch.
        pub patch_id: PatchId,
        /// Outcome of its first submission.
        #[serde(rename = "verdict")]
        pub outcome: PatchOutcome,
    }
}
