types::identifier! {
    /// Index of an upstream in a [`crate::Placer`]; restarts of the upstream do not change it.
    pub struct UpstreamIndex(pub u32);

    /// Index of a kind in a [`crate::Learner`].
    pub struct KindIndex(pub u32);

    /// Index of a pool in a [`crate::Placer`].
    pub struct PoolIndex(pub u32);

    /// Index of a rack in a [`crate::Placer`].
    pub struct RackIndex(pub u32);

    /// Index of an availability zone.
    pub(crate) struct ZoneIndex(pub(crate) u32);

    /// Index of a group of upstreams.
    pub(crate) struct GroupIndex(pub(crate) u32);
}

macro_rules! impl_as_usize {
    ($($index:ident),* $(,)?) => {
        $(
            impl $index {
                pub(crate) fn as_usize(self) -> usize {
                    self.0 as usize
                }
            }
        )*
    };
}

impl_as_usize!(UpstreamIndex, KindIndex, PoolIndex, RackIndex, ZoneIndex, GroupIndex);
