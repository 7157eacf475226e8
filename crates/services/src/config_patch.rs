use crate::{PatchId, Version};

types::wire! {
    /// A proposed change to the shared configuration.
    #[derive(Eq)]
    pub struct ConfigPatch {
        /// Identifier of the patch.
        pub patch_id: PatchId,
        /// Version that the patch is based on.
        pub base: Version,
        /// JSON merge patch (RFC 7396) of the whole configuration, as text.
        pub patch: String,
    }
}
