use crate::{InvalidField, Version};

types::wire! {
    /// Outcome of a patch; the same in every process.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum PatchOutcome {
        /// The patch made this version.
        Accepted(Version),
        /// The patch changed nothing, for these reasons.
        Rejected(Vec<InvalidField>),
        /// The patch was decided before; this is its first verdict.
        Duplicate(Box<PatchOutcome>),
    }
}

/// Size of a verdict besides its faults.
const VERDICT_BYTES: usize = 32;

impl PatchOutcome {
    /// Returns about the size of the verdict in a record; the same in every process.
    pub(crate) fn size_bytes(&self) -> usize {
        let faults = match self.first() {
            Self::Rejected(faults) => faults.iter().map(InvalidField::size_bytes).sum(),
            Self::Accepted(_) | Self::Duplicate(_) => 0,
        };
        VERDICT_BYTES + faults
    }

    /// Returns the verdict of the first time that the patch was decided.
    pub fn first(&self) -> &Self {
        match self {
            Self::Duplicate(first) => first.first(),
            Self::Accepted(_) | Self::Rejected(_) => self,
        }
    }
}
