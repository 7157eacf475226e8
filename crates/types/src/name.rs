use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use thiserror::Error;

const MAX_NAME_BYTES: usize = 64;

/// A shared immutable string of 1 to 64 bytes out of `a-z`, `0-9`, `-`, `_`, `.`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// A string that is not a valid [`Name`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("name `{0}` is not 1 to 64 characters of a-z, 0-9, `-`, `_` or `.`")]
pub struct NameError(String);

impl Name {
    /// Returns the text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(s: &str) -> Result<Self, NameError> {
        let is_allowed =
            |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.');
        if s.is_empty() || s.len() > MAX_NAME_BYTES || !s.bytes().all(is_allowed) {
            return Err(NameError(s.chars().take(MAX_NAME_BYTES).collect()));
        }
        Ok(Name(s.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(s: String) -> Result<Self, NameError> {
        s.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().to_owned()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
            #[serde(transparent)]
            pub struct $name(Name);

            impl $name {
                /// Returns the text of the name.
                pub fn as_str(&self) -> &str {
                    self.0.as_str()
                }
            }

            impl FromStr for $name {
                type Err = NameError;

                fn from_str(s: &str) -> Result<Self, NameError> {
                    s.parse().map($name)
                }
            }

            impl Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    self.as_str()
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    self.0.fmt(f)
                }
            }
        )*
    };
}

name_types! {
    /// Name of an entry process, unique in a deployment.
    EntryName;
    /// Name of a kind of request within a service.
    KindName;
    /// Name of a pool of interchangeable upstreams.
    PoolName;
    /// Name of a rack.
    RackName;
    /// Name of a region.
    RegionName;
    /// Name of a service.
    ServiceName;
    /// Name of a team; quotas and fair shares are per team.
    TeamName;
    /// Name of an upstream; it stays the same when the agent restarts.
    UpstreamName;
    /// Name of an availability zone.
    ZoneName;
}
