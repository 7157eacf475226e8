use std::{fmt, str::FromStr};

use sha2::{Digest as _, Sha256};
use thiserror::Error;

crate::identifier! {
    /// A SHA-256 digest.
    pub struct Digest([u8; 32]);
}

/// A string that is not a [`Digest`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("digest is not 64 hexadecimal digits")]
pub struct ParseDigestError;

impl Digest {
    /// Returns the digest of a sequence of parts.  The length of each part is included, so
    /// the same bytes in other parts give another digest.
    pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Returns the digest of `bytes`.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns the digest as bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(s: &str) -> Result<Self, ParseDigestError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(s, &mut bytes).map_err(|_| ParseDigestError)?;
        Ok(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
