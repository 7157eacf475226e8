//! Crash of the entry that owns a job.

use std::{sync::Arc, time::Duration};

use platform::StoreClient;
use ports::{Log, StreamName};
use types::{JobId, Partition};

use crate::support::{System, bookings, id_owned_by, run, scalings, tasks, until};

fn other(entry: usize) -> usize {
    (entry + 1) % 3
}

#[test]
fn job_of_a_killed_owner_is_answered_once() {
    run(async {
        let system = Arc::new(System::builder().entries(3).upstreams(3).start().await);
        let id = id_owned_by(&system, 0).await;
        let waiting = system.submit_later(other(0), id, "allergens", tasks(8, 2_500));
        system.until_started(id, 8).await;
        system.until_recorded(0, id).await;
        system.entries[0].kill();
        let reply = waiting.await.unwrap();
        assert!(reply.is_complete(), "{reply:?}");
        assert_eq!(system.starts_of(id), 8);
        system.assert_no_task_started_twice();
    });
}

#[test]
fn non_idempotent_job_of_a_killed_owner_runs_at_most_once() {
    run(async {
        let system = Arc::new(System::builder().entries(3).upstreams(3).start().await);
        let id = id_owned_by(&system, 0).await;
        let waiting = system.submit_later(other(0), id, "book", bookings(4, 2_500));
        system.until_started(id, 4).await;
        system.entries[0].kill();
        let reply = waiting.await.unwrap();
        assert!(reply.is_complete(), "{reply:?}");
        system.assert_no_task_started_twice();
    });
}

#[test]
fn resubmission_after_the_loss_of_owner_and_agent_does_not_run_again() {
    run(async {
        let system = Arc::new(System::builder().entries(3).upstreams(4).start().await);
        let id = id_owned_by(&system, 0).await;
        let first = system.submit_later(0, id, "book", bookings(1, 1_500));
        system.until_started(id, 1).await;
        let upstream = system.executors.iter().position(|e| !e.starts().is_empty()).unwrap();
        system.entries[0].kill();
        system.agents[upstream].kill();
        first.abort();
        let reply = system.submit(1, id, "book", bookings(1, 1_500)).await;
        assert!(!reply.is_complete(), "{reply:?}");
        assert_ne!(reply.body["not_run"], true, "{reply:?}");
        system.assert_no_task_started_twice();
    });
}

/// Guards against an entry that follows no claims after an unreadable one, and so takes over nothing.
#[test]
fn partitions_are_taken_over_after_an_unreadable_claim() {
    run(async {
        let system = Arc::new(System::builder().entries(2).upstreams(2).start().await);
        let log = StoreClient::new(system.log.url(), Duration::from_secs(5)).unwrap();
        log.append(&StreamName::claims(), b"\xffnoise".to_vec()).await.unwrap();
        system.entries[1].kill();
        let killed = system.entries[1].identity().clone();
        until(async || {
            (0..16).all(|p| {
                let owner = system.entries[0].owner_of(Partition(p));
                owner.is_some_and(|owner| owner != killed)
            })
        })
        .await;
        until(async || {
            let id = JobId::generate();
            system.submit(0, id, "scale", scalings(1, 10)).await.is_complete()
        })
        .await;
    });
}

#[test]
fn every_partition_is_served_after_a_crash() {
    run(async {
        let system = Arc::new(System::builder().entries(3).upstreams(3).start().await);
        system.entries[2].kill();
        let killed = system.entries[2].identity().clone();
        until(async || {
            (0..16).all(|p| {
                let owner = system.entries[0].owner_of(Partition(p));
                owner.is_some_and(|owner| owner != killed)
            })
        })
        .await;
        let mut consecutive = 0;
        while consecutive < 20 {
            let reply = system.submit(0, JobId::generate(), "allergens", tasks(2, 1)).await;
            consecutive = if reply.is_complete() { consecutive + 1 } else { 0 };
        }
        system.assert_no_task_started_twice();
    });
}

#[test]
fn crash_of_the_owner_during_a_log_outage_starts_no_task_twice() {
    run(async {
        let system = Arc::new(System::builder().entries(3).upstreams(3).start().await);
        let id = id_owned_by(&system, 0).await;
        let waiting = system.submit_later(other(0), id, "scale", scalings(4, 2_000));
        system.until_started(id, 4).await;
        system.log.faults().update(|faults| faults.down = true);
        system.entries[0].kill();
        system.log.faults().update(|faults| {
            faults.down = true;
            faults.clear_after_ms = Some(1_500);
        });
        let reply = waiting.await.unwrap();
        assert!(reply.status == 200, "{reply:?}");
        system.assert_no_task_started_twice();
    });
}
