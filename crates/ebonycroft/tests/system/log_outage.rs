//! The log is down, is slow or loses replies.

use std::sync::Arc;

use types::JobId;

use crate::support::{System, bookings, run, tasks, until};

#[test]
fn idempotent_jobs_are_served_and_others_refused_as_not_run() {
    run(async {
        let system = System::builder().entries(2).upstreams(3).start().await;
        system.log.faults().update(|faults| faults.down = true);
        until(async || {
            let id = JobId::generate();
            let reply = system.submit(0, id, "book", bookings(1, 1)).await;
            if reply.slug() == "log-unavailable" {
                assert_eq!(reply.body["not_run"], true);
                assert_eq!(system.starts_of(id), 0);
                return true;
            }
            false
        })
        .await;
        for _ in 0..10 {
            let reply = system.submit(1, JobId::generate(), "allergens", tasks(2, 5)).await;
            assert!(reply.is_complete(), "{reply:?}");
        }
        system.log.faults().clear();
        until(async || {
            system.submit(0, JobId::generate(), "book", bookings(1, 1)).await.is_complete()
        })
        .await;
        system.assert_no_task_started_twice();
    });
}

#[test]
fn lost_replies_of_the_log_cause_no_second_start() {
    run(async {
        let system = Arc::new(System::builder().upstreams(3).start().await);
        system.log.faults().update(|faults| {
            faults.lose_after_effect = 1;
            faults.lose_before_effect = 1;
        });
        let jobs: Vec<_> = (0..10).map(|_| JobId::generate()).collect();
        let waiting: Vec<_> =
            jobs.iter().map(|id| system.submit_later(0, *id, "allergens", tasks(2, 5))).collect();
        for reply in waiting {
            let reply = reply.await.unwrap();
            assert!(reply.is_complete(), "{reply:?}");
        }
        system.assert_no_task_started_twice();
    });
}

#[test]
fn idempotent_and_other_jobs_complete_with_a_slow_log() {
    run(async {
        let system = System::builder().upstreams(2).append_latency_ms(400).start().await;
        let reply = system.submit(0, JobId::generate(), "book", bookings(1, 1)).await;
        assert!(reply.is_complete(), "{reply:?}");
        let reply = system.submit(0, JobId::generate(), "allergens", tasks(1, 1)).await;
        assert!(reply.is_complete(), "{reply:?}");
        system.assert_no_task_started_twice();
    });
}
