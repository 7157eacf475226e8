use std::fmt;

crate::identifier! {
    /// Ownership epoch of a partition; each new owner has a higher one.
    #[derive(Default)]
    pub struct Epoch(pub u64);
}

impl Epoch {
    /// Returns the epoch after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
