//! An operator's record evacuates a zone, and its removal restores the zone.

use emulator::FakeExecutorFaults;
use reqwest::StatusCode;

use crate::fleet::Fleet;

const ORDER: &str = "evacuate/a";
/// Jobs that are submitted one after the other; an entry prefers the executor of its own zone.
const IDS: [&str; 6] = [
    "5c0e7a21d94b36f0",
    "5c0e7a21d94b36f1",
    "5c0e7a21d94b36f2",
    "5c0e7a21d94b36f3",
    "5c0e7a21d94b36f4",
    "5c0e7a21d94b36f5",
];

/// Returns the executors that have run tasks of the jobs, in the order of the jobs.
async fn executors(fleet: &Fleet, ids: &[&str]) -> Vec<String> {
    for id in ids {
        assert_eq!(fleet.submit(0, id, 1, 1).status().await, Some(StatusCode::OK));
    }
    let runs = fleet.ledger.runs();
    let of = |id: &&str| runs.iter().find(|run| run.task.starts_with(*id));
    ids.iter().map(|id| of(id).expect("the job has run").executor.clone()).collect()
}

/// Guards against an order of which the decisions know and the processes do not: each reads it from the
/// store or hears of it, starts nothing in the zone while it is in force, and uses the zone again
/// afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_starts_in_a_zone_while_the_order_is_in_the_store() {
    let mut fleet = Fleet::start("evacuation", 2).await;
    fleet.add_host_in("a", FakeExecutorFaults::default()).await;
    fleet.add_host_in("b", FakeExecutorFaults::default()).await;
    assert_eq!(executors(&fleet, &IDS[..2]).await, ["host-0", "host-0"]);
    fleet.put_operator_record(ORDER, b"{}");
    for entry in &mut fleet.entries {
        let line = entry.next_line("zone_evacuated");
        assert_eq!((&line["zone"], &line["source"]), (&"a".into(), &"store".into()));
    }
    assert_eq!(fleet.hosts[0].agent.next_line("evacuated")["zone"], "a");
    assert_eq!(executors(&fleet, &IDS[2..4]).await, ["host-1", "host-1"]);
    // An agent that has just started learns of the order with the handshake.
    fleet.replace_agent(0);
    assert_eq!(fleet.hosts[0].agent.next_line("evacuated")["zone"], "a");
    fleet.put_operator_record(ORDER, b"");
    for entry in &mut fleet.entries {
        assert_eq!(entry.next_line("zone_restored")["zone"], "a");
    }
    assert_eq!(fleet.hosts[0].agent.next_line("restored")["zone"], "a");
    assert_eq!(executors(&fleet, &IDS[4..5]).await.len(), 1);
    fleet.put_operator_record(ORDER, b"not JSON");
    assert_eq!(fleet.hosts[0].agent.next_line("evacuated")["zone"], "a");
    assert_eq!(executors(&fleet, &IDS[5..]).await, ["host-1"]);
}
