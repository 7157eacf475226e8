use ports::StreamName;

/// Returns the value of a stream's metric label: the part of its name before the first dot,
/// so that the streams of single incarnations share one time series.
pub(crate) fn stream_label(stream: &StreamName) -> String {
    let name = stream.as_str();
    name.split_once('.').map_or(name, |(prefix, _)| prefix).to_owned()
}
