//! Reads the job records of a previous owner for a takeover.

use std::sync::Arc;

use jobs::{JobRecord, Takeover};
use journal::{ReadError, Reader};
use ports::{Log, LogError, Offset, StreamName};
use rpc::EntryIdentity;
use tokio::time::{Duration, sleep};

const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Adds a previous owner's job records to a takeover, from the oldest retained record to the end of
/// the stream.  Truncated records leave the stream complete if the first record after them is older
/// than `oldest_ms`, Unix milliseconds.
pub(crate) async fn read_stream(
    log: &Arc<dyn Log>,
    owner: &EntryIdentity,
    oldest_ms: u64,
    takeover: &mut Takeover,
) {
    let stream = StreamName::jobs(&owner.name, owner.incarnation);
    let mut reader: Reader<JobRecord> = Reader::new(Arc::clone(log), stream, Offset::default());
    let mut is_complete = true;
    let mut has_gap = false;
    loop {
        match reader.next_page(0).await {
            Ok(page) => {
                for body in page.records.into_iter().flat_map(|record| record.bodies) {
                    if has_gap {
                        is_complete &= accepted_ms(&body).is_some_and(|ms| ms < oldest_ms);
                        has_gap = false;
                    }
                    takeover.add_record(owner, body);
                }
                if page.is_caught_up {
                    return takeover.on_stream_read(owner, is_complete && !has_gap);
                }
            }
            Err(ReadError::Log(LogError::Truncated { oldest, .. })) => {
                has_gap = true;
                reader.seek(oldest);
            }
            Err(ReadError::Log(_)) => sleep(RETRY_DELAY).await,
            Err(ReadError::Record(e)) => {
                log::error!("skipped an unreadable job record of {}: {e}", owner.name);
                is_complete = false;
                reader.seek(reader.position().next());
            }
        }
    }
}

fn accepted_ms(record: &JobRecord) -> Option<u64> {
    match record {
        JobRecord::Accepted(accepted) => Some(accepted.terms.accepted_ms),
        JobRecord::Marked { at_ms } => Some(*at_ms),
        JobRecord::Finished(_) | JobRecord::Served(_) => None,
    }
}
