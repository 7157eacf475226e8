//! Jobs without faults: complete answers, idempotent resubmission, conflicts, cancellation.

use std::sync::Arc;

use reqwest::Method;
use serde_json::json;
use types::JobId;

use crate::support::{LINE_TOKEN, OFFICE_TOKEN, System, bookings, run, tasks};

#[test]
fn answers_are_complete_and_in_order() {
    run(async {
        let system = System::builder().entries(3).upstreams(3).start().await;
        let id = JobId::generate();
        let reply = system.submit(0, id, "allergens", tasks(20, 10)).await;
        assert!(reply.is_complete(), "{reply:?}");
        let batches: Vec<_> = reply.body["answers"]
            .as_array()
            .unwrap()
            .iter()
            .map(|answer| answer["batch"].as_str().unwrap().to_owned())
            .collect();
        let expected: Vec<_> = (0..20).map(|i| format!("B-{i}")).collect();
        assert_eq!(batches, expected);
        assert_eq!(system.starts_of(id), 20);
    });
}

#[test]
fn copies_of_a_job_at_several_entries_start_each_task_once() {
    run(async {
        let system = Arc::new(System::builder().entries(3).upstreams(3).start().await);
        let id = JobId::generate();
        let copies: Vec<_> = (0..3)
            .map(|entry| system.submit_later(entry, id, "allergens", tasks(12, 30)))
            .collect();
        let mut bodies = Vec::new();
        for copy in copies {
            let reply = copy.await.unwrap();
            assert!(reply.is_complete(), "{reply:?}");
            bodies.push(reply.body);
        }
        assert!(bodies.windows(2).all(|pair| pair[0] == pair[1]));
        assert_eq!(system.starts_of(id), 12);
        system.assert_no_task_started_twice();
    });
}

#[test]
fn resubmission_of_a_finished_job_starts_nothing() {
    run(async {
        let system = System::builder().entries(2).start().await;
        let id = JobId::generate();
        let first = system.submit(0, id, "book", bookings(3, 5)).await;
        let second = system.submit(1, id, "book", bookings(3, 5)).await;
        assert!(first.is_complete(), "{first:?}");
        assert_eq!(first.body, second.body);
        assert_eq!(system.starts_of(id), 3);
    });
}

#[test]
fn same_id_with_other_content_is_a_conflict() {
    run(async {
        let system = System::builder().start().await;
        let id = JobId::generate();
        assert!(system.submit(0, id, "allergens", tasks(2, 5)).await.is_complete());
        let reply = system.submit(0, id, "allergens", tasks(3, 5)).await;
        assert_eq!((reply.status, reply.slug()), (409, "id-conflict"));
        assert_eq!(system.starts_of(id), 2);
    });
}

#[test]
fn caller_that_does_not_wait_gets_the_same_result_later() {
    run(async {
        let system = System::builder().entries(2).start().await;
        let id = JobId::generate();
        let body = json!({ "id": id, "kind": "book", "tasks": bookings(2, 40) }).to_string();
        let path = "/v1/services/recipe/jobs?wait=false";
        let accepted = system.call(0, Method::POST, path, LINE_TOKEN, Some(body)).await;
        assert_eq!((accepted.status, accepted.body["status"].as_str()), (202, Some("accepted")));
        let path = format!("/v1/jobs/{id}?wait_ms=20000");
        let finished = system.call(1, Method::GET, &path, LINE_TOKEN, None).await;
        assert!(finished.is_complete(), "{finished:?}");
        assert_eq!(system.starts_of(id), 2);
    });
}

#[test]
fn job_of_another_team_is_reported_as_unknown() {
    run(async {
        let system = System::builder().start().await;
        let id = JobId::generate();
        assert!(system.submit(0, id, "allergens", tasks(1, 5)).await.is_complete());
        let foreign =
            system.call(0, Method::GET, &format!("/v1/jobs/{id}"), OFFICE_TOKEN, None).await;
        let unknown = JobId::generate();
        let absent =
            system.call(0, Method::GET, &format!("/v1/jobs/{unknown}"), OFFICE_TOKEN, None).await;
        assert_eq!((foreign.status, foreign.slug()), (404, "unknown-job"));
        assert_eq!(foreign.body, absent.body);
        let cancel =
            system.call(0, Method::DELETE, &format!("/v1/jobs/{id}"), OFFICE_TOKEN, None).await;
        assert_eq!((cancel.status, cancel.slug()), (404, "unknown-job"));
    });
}

#[test]
fn cancellation_drops_queued_tasks_and_keeps_complete_answers() {
    run(async {
        let system = Arc::new(System::builder().upstreams(1).slots(1).start().await);
        let done = JobId::generate();
        assert!(system.submit(0, done, "allergens", tasks(1, 1)).await.is_complete());
        let long = JobId::generate();
        let waiting = system.submit_later(0, long, "allergens", tasks(20, 4_000));
        system.until_started(long, 1).await;
        let path = format!("/v1/jobs/{long}");
        let cancelled = system.call(0, Method::DELETE, &path, LINE_TOKEN, None).await;
        assert_eq!(cancelled.body["status"], "failed");
        assert_eq!(cancelled.body["not_run"], false);
        assert_eq!(waiting.await.unwrap().body, cancelled.body);
        let next = system.submit(0, JobId::generate(), "allergens", tasks(1, 1)).await;
        assert!(next.is_complete(), "{next:?}");
        let path = format!("/v1/jobs/{done}");
        let unchanged = system.call(0, Method::DELETE, &path, LINE_TOKEN, None).await;
        assert!(unchanged.is_complete(), "{unchanged:?}");
        assert!(system.starts_of(long) < 20);
    });
}

#[test]
fn deadline_fails_the_job_as_a_whole() {
    run(async {
        let system = System::builder().upstreams(1).slots(1).start().await;
        let id = JobId::generate();
        let body = json!({
            "id": id, "kind": "allergens", "deadline_ms": 1_200, "tasks": tasks(2, 900),
        });
        let path = "/v1/services/recipe/jobs";
        let reply = system.call(0, Method::POST, path, LINE_TOKEN, Some(body.to_string())).await;
        assert_eq!(reply.body["status"], "failed", "{reply:?}");
        assert!(reply.body.get("answers").is_none());
        assert_eq!(reply.body["not_run"], false);
        assert!(system.starts_of(id) >= 1);
    });
}
