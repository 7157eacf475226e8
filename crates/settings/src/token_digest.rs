use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use types::Digest;

/// SHA-256 digest of a bearer token, written as 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenDigest(Digest);

impl TokenDigest {
    /// Returns the digest of a token.
    pub fn of(token: &str) -> Self {
        Self(Digest::of_bytes(token.as_bytes()))
    }

    /// Returns whether the digests are equal; the comparison takes constant time.
    pub fn matches(&self, presented: &Self) -> bool {
        self.0.as_bytes().ct_eq(presented.0.as_bytes()).into()
    }
}

impl TryFrom<String> for TokenDigest {
    type Error = types::ParseDigestError;

    fn try_from(s: String) -> Result<Self, Self::Error> {
        s.parse().map(Self)
    }
}

impl From<TokenDigest> for String {
    fn from(digest: TokenDigest) -> String {
        digest.0.to_string()
    }
}

/// Returns the digest of the token in the value of an `Authorization` header; `None` for
/// schemes other than `Bearer`.
pub fn bearer_digest(value: &str) -> Option<TokenDigest> {
    value.strip_prefix("Bearer ").map(|token| TokenDigest::of(token.trim()))
}
