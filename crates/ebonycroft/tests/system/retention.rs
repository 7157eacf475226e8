//! Ownership is recovered from a snapshot after retention has removed the older claims from the
//! log.

use std::sync::Arc;

use jobs::{ClaimRecord, OwnershipState, PositionedClaim};
use journal::{Writer, WriterSettings, decode_record};
use platform::StoreClient;
use ports::{CallBudget, Offset, StreamName};
use types::{Incarnation, JobId, Partition, PartitionCount};

use crate::support::{LOG_TIMEOUT, PARTITIONS, System, run, tasks, until};

/// Returns the claims in the log.
fn claims(system: &System) -> Vec<PositionedClaim> {
    let stream = StreamName::claims();
    let records = system.log.records(&stream);
    let decoded = records.iter().map(|record| decode_record::<ClaimRecord>(&stream, record));
    decoded
        .flat_map(|record| {
            let record = record.unwrap();
            let offset = record.offset;
            record.bodies.into_iter().map(move |record| PositionedClaim { offset, record })
        })
        .collect()
}

#[test]
fn entry_started_after_truncation_knows_the_owners() {
    run(async {
        let mut system = System::builder().entries(2).upstreams(2).start().await;
        let count = PartitionCount(PARTITIONS);
        let state = OwnershipState::recover(count, Offset(0), &claims(&system)).unwrap();
        let log = Arc::new(StoreClient::new(system.log.url(), LOG_TIMEOUT).unwrap());
        let settings = WriterSettings::new(
            StreamName::claims(),
            Incarnation::generate(),
            CallBudget::new(100.0, 1),
        );
        let writer: Writer<ClaimRecord> = Writer::spawn(log, settings);
        writer.commit(&ClaimRecord::Snapshot(state.snapshot())).await.unwrap();
        system.log.faults().update(|faults| faults.keep_records = Some(1));
        system.start_entry("entry-late").await;
        system.log.faults().clear();
        until(async || {
            (0..PARTITIONS).map(Partition).all(|partition| {
                let owner = system.entries[2].owner_of(partition);
                owner.is_some() && owner == system.entries[0].owner_of(partition)
            })
        })
        .await;
        system.wait_until_ready().await;
        for entry in 0..3 {
            let reply = system.submit(entry, JobId::generate(), "allergens", tasks(4, 2)).await;
            assert!(reply.is_complete(), "{reply:?}");
        }
        system.assert_no_task_started_twice();
    });
}
