//! The lines about a task are found by a plain search for its name, as its executor knows it.

use std::collections::BTreeSet;

use emulator::{FakeExecutorFaults, StoppingRuns};
use reqwest::StatusCode;
use serde_json::{Value, json};

use crate::{
    direct_system::{Timing, with_direct_system},
    fleet::{Fleet, STOP_MS},
    role::Signal,
};

const ID: &str = "ddd9a51c5fb9066a";
/// Longer than the restart of an agent on a busy machine.
const RUN_MS: u64 = 3_000;

/// Returns the lines that contain a text.
fn search(output: &str, text: &str) -> Vec<Value> {
    let found = output.lines().filter(|line| line.contains(text));
    found.map(|line| serde_json::from_str(line).expect("a line is an object")).collect()
}

/// Returns the events of the lines of a process.
fn events<'a>(lines: &'a [Value], process: &str) -> Vec<&'a str> {
    let own = lines.iter().filter(|line| line["process"] == process);
    own.filter_map(|line| line["event"].as_str()).collect()
}

/// Guards against lines that name a task in another form than its executor does, so that nobody who
/// searches for the name finds them.
#[tokio::test(flavor = "multi_thread")]
async fn the_name_of_a_restarted_task_finds_its_whole_chain() {
    let mut fleet = Fleet::start("names-restarted", 1).await;
    let stopping_runs = StoppingRuns::Unlisted;
    let faults = FakeExecutorFaults { stop_ms: STOP_MS, stopping_runs, ..Default::default() };
    fleet.add_host(faults).await;
    let job = fleet.submit(0, ID, RUN_MS, 1);
    // Routine lines wait for a periodic check, and an agent that is killed before loses them.
    fleet.hosts[0].agent.next_line("started");
    fleet.add_host(faults).await;
    fleet.replace_agent(0);
    assert_eq!(job.status().await, Some(StatusCode::OK));
    fleet.entries[0].next_line("answered");
    let runs = fleet.ledger.runs();
    let [first, second] = &runs[..] else { panic!("the task has not run twice: {runs:?}") };
    assert_eq!(first.task, second.task);
    let host = |host: &str| usize::from(host == "host-1");
    let second_host = host(&second.executor);
    while fleet.hosts[second_host].agent.next_line("settled")["outcome"] != "done" {}
    let output = fleet.kill_and_read();
    let found = search(&output, &first.task);
    println!("{}\n{found:#?}", first.task);
    let entry = events(&found, "entry-0");
    assert_eq!(entry, ["accepted", "placed", "presumed_lost", "placed", "answered"]);
    let mut first_host = vec!["started", "found_run", "stop_sent", "stop_answered"];
    if second_host == 0 {
        first_host.extend(["started", "settled"]);
    } else {
        assert_eq!(events(&found, "host-1"), ["started", "settled"]);
    }
    assert_eq!(events(&found, "host-0"), first_host);
}

/// Guards against contested claims that only the id of the job finds at the entries.
#[tokio::test(flavor = "multi_thread")]
async fn the_name_of_a_task_finds_the_contested_claim_of_its_job() {
    let mut fleet = Fleet::start("names-claimed", 2).await;
    fleet.add_host(FakeExecutorFaults { stop_ms: STOP_MS, ..Default::default() }).await;
    let first = fleet.submit(0, ID, RUN_MS, 1);
    fleet.until_started(ID, 1).await;
    let second = fleet.submit(1, ID, RUN_MS, 1);
    fleet.entries[0].next_line("claim_asked");
    drop(first);
    assert_eq!(second.status().await, Some(StatusCode::OK));
    fleet.entries[1].next_line("answered");
    let name = fleet.ledger.runs()[0].task.clone();
    let output = fleet.kill_and_read();
    let found = search(&output, &name);
    let first = events(&found, "entry-0");
    assert_eq!(first, ["accepted", "placed", "claim_asked", "client_gone", "withdrawn"]);
    let second = events(&found, "entry-1");
    assert_eq!(second, ["accepted", "claim_contested", "placed", "answered"]);
    // An agent knows the job of a claim, but not its tasks.
    let (prefix, _) = name.split_once('.').expect("the job's id is the first part");
    let agent = search(&output, prefix);
    for event in ["claim_contested", "claim_ended"] {
        assert_eq!(events(&agent, "host-0").iter().filter(|known| **known == event).count(), 1);
    }
}

/// Returns the events of the entry's lines about a whole job with this number of tasks that a search
/// for the name of each of them finds.
async fn found_by_each_name(tasks: u32) -> Vec<Vec<String>> {
    let mut found = Vec::new();
    with_direct_system(&format!("names-of-{tasks}"), Timing::default(), async |mut system| {
        let job = json!({ "spec": "payload", "bestEffort": true,
            "steps": [{ "count": tasks, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] });
        assert_eq!(system.submit(ID, &job).await, StatusCode::OK);
        system.entry.next_line("answered");
        let output = system.entry.kill_and_read();
        let names: BTreeSet<String> =
            system.ledger.runs().into_iter().map(|run| run.task).collect();
        assert_eq!(names.len(), tasks as usize);
        for name in names {
            let lines = search(&output, &format!("\"{name}\""));
            assert!(events(&lines, "entry").contains(&"placed"), "{name}");
            let whole = events(&lines, "entry").into_iter().filter(|event| *event != "placed");
            found.push(whole.map(str::to_owned).collect());
            let (prefix, _) = name.split_once('.').expect("the job's id is the first part");
            let by_prefix = search(&output, prefix);
            let by_prefix = events(&by_prefix, "entry");
            assert!(by_prefix.contains(&"accepted") && by_prefix.contains(&"answered"));
        }
    })
    .await;
    found
}

#[tokio::test(flavor = "multi_thread")]
async fn each_name_of_an_ordinary_job_finds_its_lines() {
    for found in found_by_each_name(32).await {
        assert_eq!(found, ["accepted", "answered"]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_lines_about_a_large_job_have_the_prefix_of_its_names() {
    for found in found_by_each_name(33).await {
        assert_eq!(found, Vec::<String>::new());
    }
}

/// Guards against suspects of a crash, and runs of an unresponsive executor, that nobody finds.
#[tokio::test(flavor = "multi_thread")]
async fn the_name_of_a_task_finds_the_crash_of_its_executor() {
    with_direct_system("names-crashed", Timing::default(), async |mut system| {
        let id = "dead000000000000";
        let job = json!({ "spec": "payload", "bestEffort": true,
            "steps": [{ "count": 1, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] });
        let deadly = FakeExecutorFaults { crashed_by: Some("dead"), ..Default::default() };
        system.executor.set_faults(deadly);
        assert_eq!(system.submit(id, &job).await, StatusCode::OK);
        system.entry.next_line("answered");
        let name = system.ledger.runs()[0].task.clone();
        let given_up = search(&system.entry.kill_and_read(), &name);
        assert!(events(&given_up, "entry").contains(&"given_up"), "{given_up:?}");
        system.agent.signal(Signal::TERM);
        let lines = system.agent.remaining_lines();
        for (event, field) in [("upstream_mute", "youngest"), ("upstream_crashed", "suspects")] {
            let mut of_event = lines.iter().filter(|line| line["event"] == event);
            assert!(of_event.any(|line| line[field][0][0] == *name), "{event}: {lines:?}");
        }
    })
    .await;
}
