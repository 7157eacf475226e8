use std::{fmt, str::FromStr};

use thiserror::Error;
use uuid::{Uuid, Version};

crate::identifier! {
    /// Identifier of a submission, chosen by the caller: a UUIDv7, which carries its
    /// creation time.
    pub struct JobId(Uuid);
}

/// A string that is not a [`JobId`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JobIdError {
    /// The string is not a UUID.
    #[error("job id is not a uuid")]
    Syntax,
    /// The UUID has a version other than 7.
    #[error("job id is a uuid of version {0}, not 7")]
    Version(usize),
}

impl JobId {
    /// Creates an identifier from the current wall clock and random bits.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }

    /// Creates an identifier from a creation time in Unix milliseconds and 10 random bytes.
    pub fn from_parts(created_ms: u64, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(created_ms, &random).into_uuid())
    }

    /// Returns the creation time in Unix milliseconds, on the caller's clock.
    pub fn created_ms(self) -> u64 {
        const TIMESTAMP_SHIFT: u32 = 80;
        (self.0.as_u128() >> TIMESTAMP_SHIFT) as u64
    }

    /// Returns the identifier as bytes in network order.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(s: &str) -> Result<Self, JobIdError> {
        let uuid = Uuid::try_parse(s).map_err(|_| JobIdError::Syntax)?;
        match uuid.get_version() {
            Some(Version::SortRand) => Ok(Self(uuid)),
            _ => Err(JobIdError::Version(uuid.get_version_num())),
        }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
