use crate::EntryIdentity;

types::wire! {
    /// Digest of the incarnations of a set of entries, independent of their order.
    #[derive(Copy, Eq, Default)]
    pub struct EntriesDigest(u64);
}

impl EntriesDigest {
    /// Computes the digest of a set of entries.
    pub fn of<'a>(entries: impl IntoIterator<Item = &'a EntryIdentity>) -> Self {
        let bits = entries.into_iter().map(|entry| entry.incarnation.as_u128());
        let combined = bits.fold(0, |combined, bits| combined ^ bits);
        Self((combined as u64) ^ ((combined >> u64::BITS) as u64))
    }
}
