use std::fmt;

use uuid::Uuid;

crate::identifier! {
    /// Identifier of one run of a process; a restart creates a new one.  Incarnations of
    /// a process sort by start time, unless the wall clock was set back in between.
    pub struct Incarnation(Uuid);
}

impl Incarnation {
    /// Creates an incarnation from the current wall clock and random bits.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }

    /// Creates an incarnation from a number, for tests and simulations.
    pub fn from_u128(n: u128) -> Self {
        Self(Uuid::from_u128(n))
    }

    /// Returns the incarnation as a number.
    pub fn as_u128(self) -> u128 {
        self.0.as_u128()
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
