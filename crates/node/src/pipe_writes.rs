//! Splits log output into writes that are atomic on a pipe, so that lines of several processes that
//! share a pipe are not interleaved.

/// Most bytes that a write to a pipe stores atomically (`PIPE_BUF` of Linux).
const MAX_WRITE_BYTES: usize = 4_096;

/// Splits text into writes that end at the end of a line and are at most [`MAX_WRITE_BYTES`] long;
/// a longer line is a write by itself, which need not be atomic.
pub(crate) fn split_into_writes(lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = lines;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let (write, after) = rest.split_at(next_write_bytes(rest));
        rest = after;
        Some(write)
    })
}

fn next_write_bytes(lines: &[u8]) -> usize {
    if lines.len() <= MAX_WRITE_BYTES {
        return lines.len();
    }
    let is_end = |byte: &u8| *byte == b'\n';
    let last_end = lines[..MAX_WRITE_BYTES].iter().rposition(is_end);
    let end = last_end.or_else(|| lines.iter().position(is_end));
    end.map_or(lines.len(), |end| end + 1)
}

#[cfg(test)]
mod tests;
