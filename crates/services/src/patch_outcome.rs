use crate::{InvalidField, Version};

types::wire! {
    /// Outcome of a patch; the same in every process.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum PatchOutcome {
        /// The patch was applied as this version.
        Accepted(Version),
        /// The patch changed nothing because these fields are invalid.
        Rejected(Vec<InvalidField>),
        /// The patch was decided before; this is its first outcome.
        Duplicate(Box<PatchOutcome>),
    }
}

/// Approximate size of an outcome in a record, without its invalid fields.
const OUTCOME_BYTES: usize = 32;

impl PatchOutcome {
    /// Returns the approximate size of the outcome in a record; it is the same in every
    /// process.
    pub(crate) fn size_bytes(&self) -> usize {
        let fields = match self.first() {
            Self::Rejected(fields) => fields.iter().map(InvalidField::size_bytes).sum(),
            Self::Accepted(_) | Self::Duplicate(_) => 0,
        };
        OUTCOME_BYTES + fields
    }

    /// Returns the outcome of the first submission of the patch.
    pub fn first(&self) -> &Self {
        match self {
            Self::Duplicate(first) => first.first(),
            Self::Accepted(_) | Self::Rejected(_) => self,
        }
    }
}
