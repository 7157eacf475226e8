use types::Resources;

use crate::{PoolIndex, indices::ZoneIndex};

/// Properties that all upstreams of a group share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Group {
    pub(crate) pool: PoolIndex,
    pub(crate) zone: ZoneIndex,
    pub(crate) capacity: Resources,
}
