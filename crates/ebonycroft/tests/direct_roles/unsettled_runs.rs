//! The lines that tell what an agent that ends still had, and which life of its executor a run was lost with.

use emulator::FakeExecutorFaults;
use serde_json::{Value, json};

use crate::{fleet::Fleet, role::Signal};

const ID: &str = "5c0e7a21d94b36f8";
const WITHDRAWN: &str = "5c0e7a21d94b36f9";
/// Start of the id of the job that crashes its executor.
const DEADLY: &str = "dead000000000000";
/// Longer than the test.
const RUN_MS: u64 = 20_000;
/// So short that an agent ends before the lease of a run that its executor does not stop.
const SHORT_GRACE_MS: u64 = 600;

/// Returns the name of the only task of a job.
fn name(job: &str) -> String {
    format!("{job}.0.0.0")
}

/// Guards against an agent whose last line says that it is not idle, but not with which runs: a successor or another
/// host may run their tasks then.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_ends_names_its_runs_and_those_that_it_was_stopping() {
    let mut fleet = Fleet::start("ends-with-runs", 1).await;
    fleet.grace_ms = SHORT_GRACE_MS;
    fleet.add_host(FakeExecutorFaults { stop_ms: RUN_MS, ..Default::default() }).await;
    let _job = fleet.submit(0, ID, RUN_MS, 1);
    let withdrawn = fleet.submit(0, WITHDRAWN, RUN_MS, 1);
    fleet.until_started(ID, 1).await;
    fleet.until_started(WITHDRAWN, 1).await;
    drop(withdrawn);
    let agent = &mut fleet.hosts[0].agent;
    while agent.next_line("stop_answered")["is_acknowledged"] != true {}
    agent.signal(Signal::TERM);
    let stop = agent.next_line("stop");
    let listed = |field: &str| {
        let names = stop[field].as_array().into_iter().flatten().filter_map(Value::as_str);
        let mut names: Vec<String> = names.map(str::to_owned).collect();
        names.sort();
        names
    };
    assert_eq!((&stop["is_idle"], &stop["is_open"]), (&json!(false), &json!(true)), "{stop}");
    assert_eq!(listed("tasks"), [name(ID), name(WITHDRAWN)], "{stop}");
    assert_eq!(listed("stopping"), [name(WITHDRAWN)], "{stop}");
    assert_eq!(listed("unanswered_starts"), Vec::<String>::new(), "{stop}");
}

/// Guards against a settlement that does not tell which life of the executor has replaced the earlier one: the run may
/// be one that this very life carries out.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_is_lost_with_its_upstream_names_the_life_that_has_replaced_it() {
    let mut fleet = Fleet::start("lost-with-life", 1).await;
    fleet.add_host(FakeExecutorFaults { crashed_by: Some("dead"), ..Default::default() }).await;
    let _job = fleet.submit(0, ID, RUN_MS, 1);
    fleet.until_started(ID, 1).await;
    let _deadly = fleet.submit(0, DEADLY, RUN_MS, 1);
    fleet.until(|fleet| fleet.hosts[0].executor.crashes() > 0).await;
    fleet.hosts[0].executor.set_faults(FakeExecutorFaults::default());
    let agent = &mut fleet.hosts[0].agent;
    let settled = loop {
        let line = agent.next_line("settled");
        if line["task"] == name(ID) {
            break line;
        }
    };
    assert_eq!(settled["by"], "upstream_replaced", "{settled}");
    let next = fleet.entries[0].next_line("upstream");
    assert!(next["born"].is_u64(), "{next}");
    assert_eq!(settled["born"], next["born"], "{settled} {next}");
}
