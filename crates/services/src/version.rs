use std::fmt;

types::identifier! {
    /// Number of a configuration version; 0 is the empty configuration.
    #[derive(Default)]
    pub struct Version(pub u64);
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
