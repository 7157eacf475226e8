use crate::{PatchId, PatchOutcome, Version};

types::wire! {
    /// A whole [`crate::ConfigState`] in the form in which it is recorded.
    #[derive(Eq)]
    pub struct ConfigSnapshot {
        /// Version of the configuration.
        pub version: Version,
        /// The configuration as JSON text.
        pub config: String,
        /// The latest decisions, oldest first.
        pub recent: Vec<PatchDecision>,
    }

    /// A patch and its first outcome.
    #[derive(Eq)]
    pub struct PatchDecision {
        /// Identifier of the patch.
        pub patch_id: PatchId,
        /// Its first outcome.
        #[serde(rename = "verdict")]
        pub outcome: PatchOutcome,
    }
}
