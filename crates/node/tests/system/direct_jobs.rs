use emulator::FakeExecutorFaults;
use reqwest::StatusCode;
use serde_json::json;

use crate::support::{Fleet, job, run, send, shared};

#[test]
fn a_job_is_answered_with_its_outcome() {
    run(async {
        let fleet = Fleet::start(1, 2, 20).await;
        let answer = fleet.submit(0, "5c0e7a21d94b36f8", &job(6)).await;
        assert_eq!(answer, Some((StatusCode::OK, json!({ "state": "succeeded" }))));
        assert_eq!((fleet.ledger.count_runs("5c0e7a21d94b36f8."), fleet.ledger.done()), (6, 6));
    });
}

#[test]
fn a_task_never_runs_twice_at_once_under_many_jobs() {
    run(async {
        let fleet = shared(Fleet::start(2, 3, 10).await);
        let mut calls = tokio::task::JoinSet::new();
        for n in 0..60_usize {
            let fleet = std::sync::Arc::clone(&fleet);
            calls.spawn(async move {
                fleet.submit(n % 2, &format!("{n:016x}"), &job(3)).await.map(|(status, _)| status)
            });
        }
        let answers = calls.join_all().await;
        assert!(answers.iter().all(|answer| *answer == Some(StatusCode::OK)), "{answers:?}");
        assert_eq!(fleet.ledger.done(), 180);
        assert_eq!(fleet.ledger.overlaps(), Vec::<String>::new());
    });
}

#[test]
fn a_task_that_fails_at_every_upstream_fails_its_job() {
    run(async {
        let fleet = Fleet::start(1, 3, 5).await;
        for agent in &fleet.agents {
            let faults = FakeExecutorFaults { fails_all: true, ..FakeExecutorFaults::default() };
            agent.executor.set_faults(faults);
        }
        let answer = fleet.submit(0, "5c0e7a21d94b36f8", &job(1)).await;
        assert_eq!(answer, Some((StatusCode::OK, json!({ "state": "failed" }))));
        assert_eq!(fleet.ledger.count_runs("5c0e7a21d94b36f8."), 3);
    });
}

#[test]
fn an_answered_job_is_not_stored() {
    run(async {
        let fleet = Fleet::start(1, 1, 5).await;
        fleet.submit(0, "5c0e7a21d94b36f8", &job(1)).await;
        let addr = fleet.entries[0].addr;
        for (method, path, expected) in [
            ("GET", "/j/5c0e7a21d94b36f8", StatusCode::GONE),
            ("DELETE", "/j/5c0e7a21d94b36f8", StatusCode::GONE),
            ("GET", "/j/", StatusCode::OK),
        ] {
            let answer = send(&fleet.client, addr, method, path, String::new()).await;
            assert_eq!(answer.map(|(status, _)| status), Some(expected), "{method} {path}");
        }
    });
}
