use ports::{LogError, LogPage, Offset, StreamName};
use types::{Peer, StepError};

/// Checks that a page is of the requested stream and that its offsets start at `from`
/// without gaps.
pub(crate) fn check_page(
    step: &'static str,
    stream: &StreamName,
    from: Offset,
    page: LogPage,
) -> Result<LogPage, LogError> {
    let malformed = |cause: String| {
        let peer = Peer::Named(format!("stream {stream}"));
        LogError::Malformed(StepError::new(step, peer, format!("at offset {from}: {cause}")))
    };
    if page.stream != *stream {
        return Err(malformed(format!("the answer is about stream {}", page.stream)));
    }
    if page.oldest > from {
        return Err(LogError::Truncated { stream: page.stream, from, oldest: page.oldest });
    }
    if page.end < from {
        return Err(malformed(format!("the stream ends at offset {}", page.end)));
    }
    if page.records.is_empty() && page.end > from {
        return Err(malformed(format!("no records, but the stream ends at offset {}", page.end)));
    }
    let gap = page.records.iter().zip(from.0..).find(|(r, expected)| r.offset.0 != *expected);
    if let Some((record, expected)) = gap {
        return Err(malformed(format!(
            "offset {} follows where {expected} is next",
            record.offset
        )));
    }
    Ok(page)
}
