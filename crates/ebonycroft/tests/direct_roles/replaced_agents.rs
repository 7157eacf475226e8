//! The lines about a task whose agent was replaced, as `ebonycroft explain` prints them.

use emulator::{FakeExecutorFaults, StoppingRuns};
use reqwest::StatusCode;

use crate::fleet::{Fleet, STOP_MS};

const ID: &str = "5c0e7a21d94b36f8";
/// Longer than two restarts of an agent on a busy machine.
const RUN_MS: u64 = 3_000;

/// Returns the time of the first line, at `from_ms` or later, that has all of these words.
fn time_of(text: &str, from_ms: i64, words: &[&str]) -> i64 {
    let at_ms = |line: &str| line.split_whitespace().next()?.parse::<i64>().ok();
    let lines = text.lines().filter(|line| words.iter().all(|word| line.contains(word)));
    let time = lines.filter_map(at_ms).find(|at_ms| *at_ms >= from_ms);
    time.unwrap_or_else(|| panic!("no line {words:?} from {from_ms} ms on in\n{text}"))
}

/// Guards against a trace that lacks the agent in the middle: it was killed before it had written
/// what it found and stopped.
#[tokio::test(flavor = "multi_thread")]
async fn the_trace_of_a_task_names_what_each_of_its_agents_did() {
    let mut fleet = Fleet::start("replaced-traced", 1).await;
    let stopping_runs = StoppingRuns::Unlisted;
    let faults = FakeExecutorFaults { stop_ms: STOP_MS, stopping_runs, ..Default::default() };
    fleet.add_host(faults).await;
    let job = fleet.submit(0, ID, RUN_MS, 1);
    // Routine lines wait for a periodic check, and an agent that is killed before loses them.
    fleet.hosts[0].agent.next_line("started");
    fleet.add_host(faults).await;
    fleet.replace_agent(0);
    let stopped = fleet.hosts[0].agent.next_line("stop_answered");
    assert_eq!(stopped["is_acknowledged"], true);
    fleet.replace_agent(0);
    assert_eq!(job.status().await, Some(StatusCode::OK));
    let text = fleet.explain(ID);
    println!("{text}");
    // Lines that follow from each other, by time: lines of one millisecond may be in any order.
    let mut at_ms = time_of(&text, 0, &[" entry-0 ", " placed ", "agent=\"host-0\"", "run=1 "]);
    let lost_ms = time_of(&text, at_ms, &[" entry-0 ", " agent_lost ", "agent=\"host-0\""]);
    let found: [&[&str]; 5] = [
        &[" host-0 ", " started ", "run=1 "],
        &[" host-0 ", " start ", "incarnation="],
        &[" host-0 ", " found_run ", "task=\"5c0e7a21d94b36f8.0.0.0\""],
        &[" host-0 ", " stop_sent ", "cause=\"found\""],
        &[" host-0 ", " stop_answered ", "is_acknowledged=true"],
    ];
    found.iter().for_each(|words| at_ms = time_of(&text, at_ms, words));
    time_of(&text, at_ms, &[" host-0 ", " start ", "incarnation="]);
    let opened: [&[&str]; 5] = [
        &[" host-0 ", " open ", "answered_ms=", "found=", "list_age_ms=", "token="],
        &[" entry-0 ", " agent_connected ", "agent=\"host-0\"", "replaces="],
        &[" entry-0 ", " presumed_lost ", "agent=\"host-0\"", "cause=\"agent_replaced\""],
        &[" entry-0 ", " placed ", "run=2 "],
        &[" started ", "run=2 "],
    ];
    opened.iter().for_each(|words| at_ms = time_of(&text, at_ms.max(lost_ms), words));
}
