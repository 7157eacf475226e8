use std::fmt;

types::identifier! {
    /// Position of a record in a stream, from 0, without gaps.
    #[derive(Default)]
    pub struct Offset(pub u64);
}

impl Offset {
    /// Returns the offset after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
