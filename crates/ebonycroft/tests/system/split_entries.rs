//! A network split between entries that both still reach the log and the agents.

use std::sync::Arc;

use jobs::ClaimRecord;
use journal::Reader;
use platform::StoreClient;
use ports::{Offset, StreamName};
use types::{JobId, Partition, PartitionCount};

use crate::{
    relay::Condition,
    support::{LOG_TIMEOUT, PARTITIONS, System, bookings, run, until},
};

/// Number of jobs that run one after the other during the split.
const JOBS: usize = 25;
/// Run time of each task, milliseconds.
const RUN_MS: u64 = 500;
/// Most claims that both entries together may append during the split.
const MAX_CLAIMS: usize = 4;

/// Sets the condition of all connections between the entries.
fn set_entry_links(system: &System, condition: Condition) {
    for relay in &system.entry_relays {
        relay.set_new_connections(condition);
        relay.set_open_connections(condition);
    }
}

/// Returns the number of claims in the log.
async fn claims(system: &System) -> usize {
    let log = Arc::new(StoreClient::new(system.log.url(), LOG_TIMEOUT).unwrap());
    let mut reader: Reader<ClaimRecord> = Reader::new(log, StreamName::claims(), Offset::default());
    let mut count = 0;
    loop {
        let page = reader.next_page(0).await.unwrap();
        let bodies = page.records.iter().flat_map(|record| &record.bodies);
        count += bodies.filter(|body| matches!(body, ClaimRecord::Claim(_))).count();
        if page.is_caught_up {
            return count;
        }
    }
}

/// Returns a new job id and an entry that considers itself its owner, or `None` when there is none.
fn id_and_owner(system: &System) -> Option<(JobId, usize)> {
    let id = JobId::generate();
    let partition = Partition::of(id, PartitionCount(PARTITIONS));
    let owner = system
        .entries
        .iter()
        .position(|entry| entry.owner_of(partition).as_ref() == Some(entry.identity()))?;
    Some((id, owner))
}

/// Submits jobs one after the other, each to its owner, and returns the number of complete ones.
async fn run_jobs(system: &System) -> usize {
    let mut complete = 0;
    let mut submitted = 0;
    while submitted < JOBS {
        let Some((id, owner)) = id_and_owner(system) else {
            tokio::task::yield_now().await;
            continue;
        };
        submitted += 1;
        let reply = system.submit(owner, id, "book", bookings(1, RUN_MS)).await;
        complete += usize::from(reply.is_complete());
    }
    complete
}

/// Submits new jobs until one is complete. A partition refuses jobs that could be resubmissions
/// until its new owner knows all records of the previous one.
async fn until_complete(system: &System, entry: usize) {
    loop {
        let reply = system.submit(entry, JobId::generate(), "book", bookings(2, 1)).await;
        if reply.is_complete() {
            return;
        }
        let is_refusal = reply.slug() == "outcome-unknown" || reply.slug() == "owner-changing";
        assert!(is_refusal, "{reply:?}");
    }
}

/// Returns the name of the owner of each partition in the view of an entry.
fn owners(system: &System, entry: usize) -> Vec<Option<String>> {
    let owner = |p| system.entries[entry].owner_of(Partition(p));
    (0..PARTITIONS).map(|p| owner(p).map(|owner| owner.name.to_string())).collect()
}

#[test]
fn entries_in_a_split_do_not_claim_partitions_from_each_other_in_turn() {
    run(async {
        let system = System::builder().entries(2).relay_entries().start().await;
        let before = claims(&system).await;
        set_entry_links(&system, Condition::CUT);
        let complete = run_jobs(&system).await;
        let claims = claims(&system).await - before;
        assert!(claims <= MAX_CLAIMS, "{claims} claims during {JOBS} jobs, {complete} complete");
        set_entry_links(&system, Condition::PASS);
        until(async || {
            let owned = owners(&system, 0);
            let count = |name: &str| owned.iter().filter(|o| o.as_deref() == Some(name)).count();
            let half = usize::from(PARTITIONS) / 2;
            owned == owners(&system, 1) && count("entry-0") == half && count("entry-1") == half
        })
        .await;
        for entry in [0, 1] {
            until_complete(&system, entry).await;
        }
        system.assert_no_task_started_twice();
    });
}

#[test]
fn entry_that_crashes_during_a_split_is_replaced() {
    run(async {
        let system = System::builder().entries(2).relay_entries().start().await;
        set_entry_links(&system, Condition::CUT);
        run_jobs(&system).await;
        system.entries[1].kill();
        until(async || owners(&system, 0).iter().all(|o| o.as_deref() == Some("entry-0"))).await;
        until_complete(&system, 0).await;
        system.assert_no_task_started_twice();
    });
}
