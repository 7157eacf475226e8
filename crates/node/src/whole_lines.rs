/// Most bytes that a write to a pipe puts there in one piece (`PIPE_BUF` of Linux), so that lines
/// of several processes that share a pipe are not mixed.
const MAX_WRITE_BYTES: usize = 4_096;

/// Cuts lines into writes that end with a line and are not split on the way; a line that is
/// longer by itself is one write.
pub(crate) fn writes(lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = lines;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let (write, after) = rest.split_at(length_of_next(rest));
        rest = after;
        Some(write)
    })
}

fn length_of_next(lines: &[u8]) -> usize {
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
