//! Buffer of one body in blocks.

/// Largest block, bytes. Blocks of one size can be reused by other bodies, which buffers that double
/// can't.
const MAX_BLOCK_BYTES: usize = 16_384;
/// Smallest block, bytes.
const MIN_BLOCK_BYTES: usize = 1_024;

/// What has been received of a body. Blocks double up to 16 KiB.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    blocks: Vec<Vec<u8>>,
    len: usize,
    capacity: usize,
}

impl BodyBuffer {
    /// Returns the number of received bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the capacity that must be added before `bytes` more can be appended to a body of at most
    /// `max_bytes`.
    pub(crate) fn missing(&self, bytes: usize, max_bytes: usize) -> usize {
        let mut capacity = self.capacity;
        while capacity < self.len + bytes {
            capacity += block_bytes(capacity, self.len + bytes, max_bytes);
        }
        capacity - self.capacity
    }

    /// Appends data to a body of at most `max_bytes`.
    pub(crate) fn append(&mut self, mut data: &[u8], max_bytes: usize) {
        while !data.is_empty() {
            let free = self.capacity - self.len;
            if free == 0 {
                let bytes = block_bytes(self.capacity, self.len + data.len(), max_bytes);
                self.blocks.push(Vec::with_capacity(bytes));
                self.capacity += bytes;
                continue;
            }
            let (now, rest) = data.split_at(free.min(data.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(now);
            }
            self.len += now.len();
            data = rest;
        }
    }

    /// Returns the whole body.
    pub(crate) fn into_bytes(mut self) -> Vec<u8> {
        if self.blocks.len() <= 1 {
            return self.blocks.pop().unwrap_or_default();
        }
        let mut bytes = Vec::with_capacity(self.len);
        for block in self.blocks {
            bytes.extend_from_slice(&block);
        }
        bytes
    }
}

/// Returns the size of the next block of a body that has `capacity` and will have at least `needed`
/// bytes and at most `max_bytes`.
fn block_bytes(capacity: usize, needed: usize, max_bytes: usize) -> usize {
    let most = max_bytes.max(needed) - capacity;
    capacity.max(needed - capacity).clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES).min(most)
}
