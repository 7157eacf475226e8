//! Processes that pause for longer than the timeouts of the others, and resume.

use std::sync::Arc;

use reqwest::Method;
use rstest::rstest;
use types::{JobId, Partition, PartitionCount};

use crate::support::{
    LINE_TOKEN, PARTITIONS, Reply, System, bookings, id_owned_by, run, scalings, tasks, until,
};

fn owner_name(system: &System, entry: usize, partition: Partition) -> Option<String> {
    system.entries[entry].owner_of(partition).map(|owner| owner.name.to_string())
}

/// Waits until no partition has the owner `name` in the view of an entry.
async fn until_owns_nothing(system: &System, entry: usize, name: &str) {
    until(async || {
        (0..PARTITIONS).all(|p| owner_name(system, entry, Partition(p)).as_deref() != Some(name))
    })
    .await;
}

async fn submit_with_deadline(system: &System, id: JobId, run_ms: u64, deadline_ms: u64) -> Reply {
    let body = serde_json::json!({
        "id": id, "kind": "book", "deadline_ms": deadline_ms, "tasks": bookings(1, run_ms),
    });
    let path = "/v1/services/recipe/jobs";
    system.call(0, Method::POST, path, LINE_TOKEN, Some(body.to_string())).await
}

#[rstest]
#[case::idempotent("scale")]
#[case::non_idempotent("book")]
fn entry_paused_beyond_takeover_starts_no_task_twice(#[case] kind: &'static str) {
    run(async {
        let system = Arc::new(System::builder().entries(3).upstreams(3).slots(2).start().await);
        let id = id_owned_by(&system, 0).await;
        let work = match kind {
            "book" => bookings(12, 800),
            _ => scalings(12, 800),
        };
        let at_owner = system.submit_later(0, id, kind, work.clone());
        system.until_started(id, 4).await;
        let pause = system.entries[0].pause().await;
        let at_other = system.submit_later(1, id, kind, work);
        until_owns_nothing(&system, 1, "entry-0").await;
        drop(pause);
        let partition = Partition::of(id, PartitionCount(PARTITIONS));
        until(async || owner_name(&system, 0, partition).as_deref() != Some("entry-0")).await;
        for reply in [at_owner.await.unwrap(), at_other.await.unwrap()] {
            let is_truthful = reply.is_complete() || reply.body["not_run"] == false;
            assert!(is_truthful, "{reply:?}");
            if reply.is_complete() {
                assert_eq!(reply.body["answers"].as_array().map(Vec::len), Some(12));
            }
        }
        system.assert_no_task_started_twice();
        let mut is_complete = false;
        while !is_complete {
            let next = system.submit(0, JobId::generate(), "book", bookings(2, 1)).await;
            is_complete = next.is_complete();
        }
        system.assert_no_task_started_twice();
    });
}

#[test]
fn agent_paused_past_a_deadline_does_not_start_the_task() {
    run(async {
        let system = System::builder().upstreams(1).slots(2).start().await;
        let id = JobId::generate();
        let pause = system.agents[0].pause().await;
        let reply = submit_with_deadline(&system, id, 1, 1_500).await;
        assert!(!reply.is_complete(), "{reply:?}");
        drop(pause);
        let mut is_complete = false;
        while !is_complete {
            let next = JobId::generate();
            is_complete = submit_with_deadline(&system, next, 1, 10_000).await.is_complete();
        }
        assert_eq!(system.starts_of(id), 0);
        system.assert_no_task_started_twice();
    });
}

#[test]
fn agent_checks_deadlines_of_queued_tasks_after_a_pause() {
    run(async {
        let system = Arc::new(System::builder().upstreams(1).slots(1).start().await);
        let running = system.submit_later(0, JobId::generate(), "book", bookings(1, 1_000));
        until(async || !system.executors[0].starts().is_empty()).await;
        let id = JobId::generate();
        let caller = Arc::clone(&system);
        let queued = tokio::spawn(async move { submit_with_deadline(&caller, id, 1, 2_000).await });
        until(async || {
            let metrics = system.operate(0, Method::GET, "/v1/upstreams", None, None).await;
            metrics.body["upstreams"][0]["outstanding"].as_u64() >= Some(1)
        })
        .await;
        let pause = system.agents[0].pause().await;
        let reply = queued.await.unwrap();
        drop(pause);
        let _ = running.await.unwrap();
        let mut is_complete = false;
        while !is_complete {
            let reply = system.submit(0, JobId::generate(), "allergens", tasks(1, 1)).await;
            is_complete = reply.is_complete();
        }
        if !reply.is_complete() {
            assert_eq!(system.starts_of(id), 0, "{reply:?}");
        }
        system.assert_no_task_started_twice();
    });
}
