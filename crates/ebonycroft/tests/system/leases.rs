//! Tasks that run on workers under leases.

use std::sync::Arc;

use emulator::WorkerFaults;
use reqwest::Method;
use rstest::rstest;
use types::JobId;

use crate::support::{LEASE_MS, LINE_TOKEN, Reply, System, bookings, run, scalings, tasks, until};

/// Run time of a task, milliseconds, that needs several renewals of its lease.
const LONG_MS: u64 = LEASE_MS * 2;

async fn workers(count: usize) -> Arc<System> {
    Arc::new(System::builder().upstreams(count).slots(4).workers().start().await)
}

/// Returns the number of tasks that the workers have finished.
fn finished(system: &System) -> u32 {
    system.workers.iter().flat_map(|worker| worker.starts()).map(|start| start.finished).sum()
}

/// Asserts that a job has failed and may have run.
fn assert_unknown(reply: &Reply) {
    assert_eq!(reply.body["status"], "failed", "{reply:?}");
    assert_eq!(reply.body["not_run"], false, "{reply:?}");
}

#[test]
fn lease_is_renewed_until_its_task_ends() {
    run(async {
        let system = workers(2).await;
        let id = JobId::generate();
        let reply = system.submit(0, id, "book", bookings(6, LONG_MS)).await;
        assert!(reply.is_complete(), "{reply:?}");
        assert_eq!((system.starts_of(id), finished(&system)), (6, 6));
        system.assert_no_task_started_twice();
    });
}

#[test]
fn expired_lease_of_a_paused_agent_causes_no_second_start() {
    run(async {
        let system = workers(1).await;
        let id = JobId::generate();
        let waiting = system.submit_later(0, id, "book", bookings(3, LONG_MS));
        system.until_started(id, 3).await;
        let pause = system.agents[0].pause().await;
        until(async || system.workers[0].running() == 0).await;
        drop(pause);
        let reply = waiting.await.unwrap();
        assert_unknown(&reply);
        let again = system.submit(0, id, "book", bookings(3, LONG_MS)).await;
        assert_eq!(again.body, reply.body);
        assert_eq!((system.starts_of(id), finished(&system)), (3, 0));
        system.assert_no_task_started_twice();
    });
}

#[rstest]
#[case::silent(WorkerFaults { silent: true, ..Default::default() })]
#[case::dead(WorkerFaults { dead: true, ..Default::default() })]
fn loss_of_a_worker_leaves_the_outcome_unknown(#[case] faults: WorkerFaults) {
    run(async {
        let system = workers(2).await;
        let id = JobId::generate();
        let waiting = system.submit_later(0, id, "book", bookings(1, LONG_MS));
        system.until_started(id, 1).await;
        let upstream = system.workers.iter().position(|w| !w.starts().is_empty()).unwrap();
        system.workers[upstream].faults().set(faults);
        assert_unknown(&waiting.await.unwrap());
        assert_eq!(system.starts_of(id), 1);
        let mut is_complete = false;
        while !is_complete {
            let reply = system.submit(0, JobId::generate(), "book", bookings(1, 1)).await;
            is_complete = reply.is_complete();
        }
        system.assert_no_task_started_twice();
    });
}

#[test]
fn failing_worker_does_not_run_a_task_twice() {
    run(async {
        let system = workers(1).await;
        system.workers[0].faults().update(|faults| faults.fail_all = true);
        let id = JobId::generate();
        let reply = system.submit(0, id, "book", bookings(1, 1)).await;
        assert_unknown(&reply);
        assert_eq!(system.starts_of(id), 1);
    });
}

#[test]
fn lost_reply_to_a_start_is_queried() {
    run(async {
        let system = workers(1).await;
        system.workers[0].faults().update(|faults| faults.lose_answers = 2);
        let id = JobId::generate();
        let reply = system.submit(0, id, "book", bookings(2, 10)).await;
        assert!(reply.is_complete(), "{reply:?}");
        system.assert_no_task_started_twice();
    });
}

#[test]
fn silent_connections_to_a_worker_do_not_lose_its_leases() {
    run(async {
        let system = workers(1).await;
        let id = JobId::generate();
        let waiting = system.submit_later(0, id, "book", bookings(2, LONG_MS));
        system.until_started(id, 2).await;
        system.workers[0].faults().update(|faults| faults.silence_connections = true);
        let reply = waiting.await.unwrap();
        assert!(reply.is_complete(), "{reply:?}");
        system.assert_no_task_started_twice();
    });
}

#[test]
fn cancellation_stops_the_task_on_the_worker() {
    run(async {
        let system = workers(1).await;
        let id = JobId::generate();
        let waiting = system.submit_later(0, id, "scale", scalings(2, 20_000));
        system.until_started(id, 2).await;
        let path = format!("/v1/jobs/{id}");
        let cancelled = system.call(0, Method::DELETE, &path, LINE_TOKEN, None).await;
        assert_eq!(cancelled.body["status"], "failed");
        until(async || system.workers[0].running() == 0).await;
        let _ = waiting.await.unwrap();
        assert_eq!(finished(&system), 0);
        let next = system.submit(0, JobId::generate(), "allergens", tasks(2, 1)).await;
        assert!(next.is_complete(), "{next:?}");
    });
}
