use std::{fmt, str::FromStr};

use uuid::Uuid;

types::identifier! {
    /// Identifier of a patch, chosen by the operator who submits it.  A repeated submission
    /// of the patch has the same identifier.
    pub struct PatchId(Uuid);
}

impl PatchId {
    /// Creates an identifier from the current wall clock and random bits.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }

    /// Creates an identifier from a number, for tests and simulations.
    pub fn from_u128(n: u128) -> Self {
        Self(Uuid::from_u128(n))
    }
}

impl FromStr for PatchId {
    type Err = uuid::Error;

    fn from_str(s: &str) -> Result<Self, uuid::Error> {
        s.parse().map(Self)
    }
}

impl fmt::Display for PatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
