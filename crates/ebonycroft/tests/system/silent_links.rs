//! Connections (links) between an entry and an agent that go silent, that is, carry no data and are
//! not reset, that close in one direction, or whose agent restarts, while new connections work.

use std::{sync::Arc, time::Duration};

use rstest::rstest;
use types::JobId;

use crate::{
    relay::{Condition, Flow},
    support::{Reply, System, bookings, id_owned_by, run, submit_to, tasks, until},
};

/// Run time of tasks, milliseconds; the failed link has to be replaced within it.
const RUN_MS: u64 = 3_000;
const TASKS: u32 = 4;
/// Most bytes on a link while its agent restarts during a job.
const MAX_RESTART_BYTES: usize = 64 * 1024;
const SILENT_OUT: Condition = Condition { out: Flow::Hold, ..Condition::PASS };
const SILENT_BACK: Condition = Condition { back: Flow::Hold, ..Condition::PASS };
const CLOSED_OUT: Condition = Condition { out: Flow::Close, ..Condition::PASS };
const CLOSED_BACK: Condition = Condition { back: Flow::Close, ..Condition::PASS };

/// Kind of a job.
#[derive(Clone, Copy)]
enum Kind {
    Allergens,
    Book,
}

impl Kind {
    async fn submit_later(
        self,
        system: &Arc<System>,
        id: JobId,
        run_ms: u64,
    ) -> tokio::task::JoinHandle<Reply> {
        let count = TASKS as usize;
        match self {
            Self::Allergens => system.submit_later(0, id, "allergens", tasks(count, run_ms)),
            Self::Book => system.submit_later(0, id, "book", bookings(count, run_ms)),
        }
    }
}

async fn one_upstream() -> Arc<System> {
    Arc::new(System::builder().upstreams(1).relay_agents().start().await)
}

/// Returns the number of tasks that the executor has finished.
fn finished(system: &System) -> u32 {
    system.executors[0].starts().iter().map(|start| start.finished).sum()
}

/// Waits until a new connection has been opened. Asserts that the upstream stays in service until
/// then and that no task has finished yet.
async fn until_replaced(system: &System, accepted: usize) {
    until(async || {
        let state = system.upstream_state(0, 0).await;
        assert_eq!(state.as_deref(), Some("serving"));
        system.agent_relays[0].accepted() > accepted
    })
    .await;
    assert_eq!(finished(system), 0, "the link was replaced after the tasks had ended");
}

/// Asserts that a job has an answer for each task and that each task was started once.
fn assert_complete(system: &System, id: JobId, reply: &Reply) {
    assert!(reply.is_complete(), "{reply:?}");
    assert_eq!(reply.body["answers"].as_array().map(Vec::len), Some(TASKS as usize));
    assert_eq!(system.starts_of(id), TASKS);
    system.assert_no_task_started_twice();
}

#[rstest]
#[case::silent_out(SILENT_OUT, Kind::Allergens)]
#[case::silent_out_book(SILENT_OUT, Kind::Book)]
#[case::silent_back(SILENT_BACK, Kind::Allergens)]
#[case::silent_back_book(SILENT_BACK, Kind::Book)]
#[case::silent_both(Condition::HOLD, Kind::Book)]
#[case::closed_out(CLOSED_OUT, Kind::Book)]
#[case::closed_back(CLOSED_BACK, Kind::Book)]
#[case::cut(Condition::CUT, Kind::Book)]
fn link_that_fails_while_tasks_run_is_replaced(#[case] condition: Condition, #[case] kind: Kind) {
    run(async {
        let system = one_upstream().await;
        let id = JobId::generate();
        let waiting = kind.submit_later(&system, id, RUN_MS).await;
        system.until_started(id, TASKS).await;
        let accepted = system.agent_relays[0].accepted();
        system.agent_relays[0].set_open_connections(condition);
        until_replaced(&system, accepted).await;
        assert_complete(&system, id, &waiting.await.unwrap());
    });
}

#[rstest]
#[case::silent_out(SILENT_OUT, Kind::Allergens)]
#[case::silent_out_book(SILENT_OUT, Kind::Book)]
#[case::silent_back(SILENT_BACK, Kind::Allergens)]
#[case::silent_back_book(SILENT_BACK, Kind::Book)]
#[case::closed_out(CLOSED_OUT, Kind::Book)]
#[case::closed_back(CLOSED_BACK, Kind::Book)]
#[case::cut(Condition::CUT, Kind::Book)]
fn request_on_an_idle_link_that_has_failed_is_answered(
    #[case] condition: Condition,
    #[case] kind: Kind,
) {
    run(async {
        let system = one_upstream().await;
        let accepted = system.agent_relays[0].accepted();
        system.agent_relays[0].set_open_connections(condition);
        let id = JobId::generate();
        let waiting = kind.submit_later(&system, id, RUN_MS).await;
        until_replaced(&system, accepted).await;
        assert_complete(&system, id, &waiting.await.unwrap());
    });
}

#[rstest]
#[case::allergens(Kind::Allergens)]
#[case::book(Kind::Book)]
fn answers_that_arrive_after_the_replacement_are_dropped(#[case] kind: Kind) {
    run(async {
        let system = one_upstream().await;
        let id = JobId::generate();
        let waiting = kind.submit_later(&system, id, RUN_MS).await;
        system.until_started(id, TASKS).await;
        let accepted = system.agent_relays[0].accepted();
        system.agent_relays[0].set_open_connections(SILENT_BACK);
        until_replaced(&system, accepted).await;
        system.agent_relays[0].set_open_connections(Condition::PASS);
        assert_complete(&system, id, &waiting.await.unwrap());
        let next = JobId::generate();
        let reply = system.submit(0, next, "book", bookings(TASKS as usize, 1)).await;
        assert_complete(&system, next, &reply);
    });
}

#[rstest]
#[case::allergens(Kind::Allergens)]
#[case::book(Kind::Book)]
fn requests_that_arrive_after_the_replacement_start_nothing(#[case] kind: Kind) {
    run(async {
        let system = one_upstream().await;
        let accepted = system.agent_relays[0].accepted();
        system.agent_relays[0].set_open_connections(SILENT_OUT);
        let id = JobId::generate();
        let waiting = kind.submit_later(&system, id, 1).await;
        assert_complete(&system, id, &waiting.await.unwrap());
        assert!(system.agent_relays[0].accepted() > accepted);
        system.agent_relays[0].set_open_connections(Condition::PASS);
        let next = JobId::generate();
        let reply = system.submit(0, next, "book", bookings(TASKS as usize, 1)).await;
        assert_complete(&system, next, &reply);
        assert_eq!(system.starts_of(id), TASKS);
    });
}

#[rstest]
#[case::allergens(Kind::Allergens)]
#[case::book(Kind::Book)]
fn link_that_accepts_and_never_replies_recovers(#[case] kind: Kind) {
    run(async {
        let system = one_upstream().await;
        let id = JobId::generate();
        let waiting = kind.submit_later(&system, id, 1_000).await;
        system.until_started(id, TASKS).await;
        let relay = &system.agent_relays[0];
        let accepted = relay.accepted();
        relay.set_new_connections(Condition::HOLD);
        relay.set_open_connections(Condition::HOLD);
        until(async || relay.accepted() > accepted).await;
        relay.set_new_connections(Condition::PASS);
        assert_complete(&system, id, &waiting.await.unwrap());
        until(async || system.upstream_state(0, 0).await.as_deref() == Some("serving")).await;
    });
}

#[test]
fn jobs_avoid_a_link_that_accepts_and_never_replies() {
    run(async {
        let system = Arc::new(System::builder().upstreams(2).relay_agents().start().await);
        let relay = &system.agent_relays[0];
        relay.set_new_connections(Condition::HOLD);
        relay.set_open_connections(Condition::HOLD);
        let mut consecutive = 0;
        while consecutive < 10 {
            let body = serde_json::json!({
                "id": JobId::generate(), "kind": "book", "deadline_ms": 500, "tasks": bookings(1, 5),
            });
            let path = "/v1/services/recipe/jobs";
            let body = Some(body.to_string());
            let token = crate::support::LINE_TOKEN;
            let reply = system.call(0, reqwest::Method::POST, path, token, body).await;
            consecutive = if reply.is_complete() { consecutive + 1 } else { 0 };
        }
        system.assert_no_task_started_twice();
    });
}

#[test]
fn slow_link_is_not_replaced() {
    run(async {
        let system = one_upstream().await;
        let accepted = system.agent_relays[0].accepted();
        let slow = Flow::Delay(Duration::from_millis(100));
        system.agent_relays[0].set_open_connections(Condition {
            out: slow,
            back: slow,
            is_cut: false,
        });
        let id = JobId::generate();
        let reply = system.submit(0, id, "book", bookings(TASKS as usize, 2_000)).await;
        assert_complete(&system, id, &reply);
        assert_eq!(system.agent_relays[0].accepted(), accepted);
    });
}

/// An idle link that is silent is detected by the query of a new owner.
#[test]
fn takeover_queries_agents_over_failed_links() {
    run(async {
        let mut system = System::builder().entries(2).upstreams(1).relay_agents().start().await;
        let id = id_owned_by(&system, 0).await;
        let addr = system.entries[1].addr();
        let waiting = tokio::spawn(submit_to(addr, id, "book", bookings(4, RUN_MS)));
        system.until_started(id, TASKS).await;
        system.agent_relays[0].set_open_connections(SILENT_BACK);
        system.entries[0].kill();
        assert_complete(&system, id, &waiting.await.unwrap());
        system.entries.remove(0);
    });
}

#[rstest]
#[case::silent_out(SILENT_OUT)]
#[case::silent_back(SILENT_BACK)]
#[case::silent_both(Condition::HOLD)]
#[case::closed_out(CLOSED_OUT)]
#[case::closed_back(CLOSED_BACK)]
#[case::cut(Condition::CUT)]
fn forwarded_job_survives_the_loss_of_the_connection(#[case] condition: Condition) {
    run(async {
        let system = Arc::new(System::builder().entries(2).relay_entries().start().await);
        let id = id_owned_by(&system, 1).await;
        let waiting = system.submit_later(0, id, "book", bookings(TASKS as usize, 1_000));
        system.until_started(id, TASKS).await;
        system.entry_relays[1].set_open_connections(condition);
        assert_complete(&system, id, &waiting.await.unwrap());
    });
}

#[rstest]
#[case::connections_cut(Condition::CUT)]
#[case::connections_silent(Condition::HOLD)]
fn agent_restarted_within_a_heartbeat_is_not_taken_for_its_previous_incarnation(
    #[case] condition: Condition,
) {
    run(async {
        let mut system = System::builder().upstreams(1).relay_agents().start().await;
        let id = JobId::generate();
        let addr = system.entries[0].addr();
        let waiting = tokio::spawn(submit_to(addr, id, "book", bookings(4, 2_000)));
        system.until_started(id, TASKS).await;
        let bytes = system.agent_relays[0].bytes();
        system.agent_relays[0].set_open_connections(condition);
        system.agents[0].kill();
        system.start_agent(0).await;
        let reply = waiting.await.unwrap();
        assert_eq!(reply.body["status"], "failed", "{reply:?}");
        assert_eq!(reply.body["not_run"], false, "{reply:?}");
        let bytes = system.agent_relays[0].bytes() - bytes;
        assert!(bytes < MAX_RESTART_BYTES, "{bytes} bytes on the link of {TASKS} tasks");
        let mut is_complete = false;
        while !is_complete {
            let reply = system.submit(0, JobId::generate(), "book", bookings(4, 1)).await;
            is_complete = reply.is_complete();
        }
        system.assert_no_task_started_twice();
    });
}
