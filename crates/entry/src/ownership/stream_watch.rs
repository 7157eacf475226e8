//! Reads the end of another entry's stream of job records, which moves while the entry is active.

use std::sync::Arc;

use kameo::actor::ActorRef;
use ports::{Log, LogError, Offset, StreamName};
use rpc::EntryIdentity;
use tokio::time::{Duration, timeout};

use crate::ownership::OwnershipManager;

const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The end of an entry's stream of job records; `None` if it could not be read.
pub(crate) struct StreamEnd {
    pub(crate) entry: EntryIdentity,
    pub(crate) end: Option<Offset>,
}

/// Reads the end of an entry's stream and reports it to the ownership manager.
pub(crate) async fn watch_stream(
    log: Arc<dyn Log>,
    entry: EntryIdentity,
    from: Offset,
    ownership_manager: ActorRef<OwnershipManager>,
) {
    let stream = StreamName::jobs(&entry.name, entry.incarnation);
    let end = match timeout(READ_TIMEOUT, log.read(&stream, from, 0)).await {
        Ok(Ok(page)) => Some(page.end),
        Ok(Err(LogError::Truncated { oldest, .. })) => Some(oldest),
        Ok(Err(_)) | Err(_) => None,
    };
    let _ = ownership_manager.tell(StreamEnd { entry, end }).await;
}
