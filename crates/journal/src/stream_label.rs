use ports::StreamName;

/// Returns the part of a stream's name before the first dot, so that the streams of
/// single incarnations share one series.
pub(crate) fn stream_label(stream: &StreamName) -> String {
    let name = stream.as_str();
    name.split_once('.').map_or(name, |(prefix, _)| prefix).to_owned()
}
