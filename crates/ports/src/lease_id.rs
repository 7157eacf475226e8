use std::{fmt, str::FromStr};

types::identifier! {
    /// Identifier of a lease, chosen by its holder.
    #[serde(transparent)]
    pub struct LeaseId(pub u64);
}

impl FromStr for LeaseId {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
