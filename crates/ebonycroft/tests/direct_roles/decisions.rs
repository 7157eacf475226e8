//! Each decision about a request writes exactly one line, with the inputs of the decision and their
//! age.

use std::collections::BTreeSet;

use emulator::{FakeExecutorFaults, RunLedger};
use reqwest::StatusCode;
use serde_json::{Value, json};

use crate::{
    direct_system::{DirectSystem, Timing, with_direct_system},
    role::Signal,
};

/// Id of the job whose lines are checked.
const ID: &str = "5c0e7a21d94b36f8";
/// The first job occupies the executor for longer than the next one may wait.
const FULL_EXECUTOR: Timing = Timing { executor_ms: 5_000, allowance_ms: 2_000 };
/// Run time of the tasks, much longer than the test: only a stop ends them.
const LASTING: Timing = Timing { executor_ms: 120_000, allowance_ms: 200_000 };

fn job(tasks: u32) -> Value {
    json!({ "spec": "payload", "bestEffort": true,
        "steps": [{ "count": tasks, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] })
}

/// Returns the names of the tasks as the executor knows them, in order.
fn names(ledger: &RunLedger) -> BTreeSet<String> {
    ledger.runs().into_iter().map(|run| run.task).collect()
}

/// Returns a list of names.
fn listed(value: &Value) -> BTreeSet<String> {
    let names = value.as_array().expect("names are listed");
    names.iter().map(|name| name.as_str().expect("a name is text").to_owned()).collect()
}

fn events(lines: &[Value]) -> Vec<&str> {
    lines.iter().filter_map(|line| line["event"].as_str()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn served_request() {
    with_direct_system("served", Timing::default(), async |system| {
        assert_eq!(system.submit(ID, &job(2)).await, StatusCode::OK);
        let names = names(&system.ledger);
        let (entry, agent) = system.finish(ID);
        assert_eq!(events(&entry), ["accepted", "placed", "answered"]);
        assert_eq!((&entry[0]["config"], &entry[0]["tasks"]), (&json!(7), &json!(2)));
        assert_eq!(names.len(), 2);
        assert_eq!((&listed(&entry[0]["names"]), &listed(&entry[2]["names"])), (&names, &names));
        assert_eq!(listed(&entry[1]["tasks"]), names);
        assert!(entry[1]["view_age_ms"].is_u64() && entry[1]["free_milli_cores"] == 0);
        assert_eq!(entry[2]["end"], "succeeded");
        let count = |event: &str| events(&agent).iter().filter(|known| **known == event).count();
        let is_repeated =
            |line: &&Value| line["event"] == "start_overdue" && line["is_repeated"] == true;
        // A start that a busy machine answers late is sent again, which is a decision of its own: it
        // has one line, and so has the response to it.
        let repeated = agent.iter().filter(is_repeated).count();
        let lines = (count("started") + count("not_started"), count("start_overdue"), agent.len());
        assert_eq!(lines, (2 + repeated, repeated, 4 + 2 * repeated), "{agent:?}");
        assert!(count("started") >= 2 && count("settled") == 2, "{agent:?}");
        for event in ["started", "settled"] {
            let lines = lines_of(&agent, event).into_iter();
            let told = lines.filter_map(|line| line["task"].as_str().map(str::to_owned));
            assert_eq!(told.collect::<BTreeSet<_>>(), names, "{agent:?}");
        }
        assert!(agent.iter().all(|line| names.contains(line["task"].as_str().unwrap_or(""))));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_fails_twice() {
    with_direct_system("fails", Timing::default(), async |system| {
        system.executor.set_faults(FakeExecutorFaults { fails_all: true, ..Default::default() });
        assert_eq!(system.submit(ID, &job(1)).await, StatusCode::OK);
        let (entry, agent) = system.finish(ID);
        assert_eq!(events(&entry)[..2], ["accepted", "placed"]);
        let answered = entry.last().expect("there are lines");
        assert_eq!((&answered["event"], &answered["end"]), (&json!("answered"), &json!("failed")));
        let settled: Vec<_> = agent.iter().filter(|line| line["event"] == "settled").collect();
        assert!(settled.iter().all(|line| line["outcome"] == "failed"), "{settled:?}");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_beyond_the_capacity_of_the_executor() {
    with_direct_system("overloaded", FULL_EXECUTOR, async |system| {
        let (jobs, one) = (job(2), job(1));
        let first = system.submit("0000000000000001", &jobs);
        let second = async {
            system.until_executor_is_full().await;
            system.submit(ID, &one).await
        };
        let (_, status) = tokio::join!(first, second);
        assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
        let (entry, agent) = system.finish(ID);
        assert_eq!(events(&entry), ["accepted", "answered"]);
        let answered = &entry[1];
        assert_eq!(answered["end"], "overloaded");
        assert_eq!((&answered["agents"], &answered["open_agents"]), (&json!(1), &json!(1)));
        assert_eq!(answered["most_free_milli_cores"], 0);
        assert!(answered["oldest_view_ms"].is_u64() && agent.is_empty());
    })
    .await;
}

types::cases! {
    fn rejected_call(path: &str, body: &str, status: u16) {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
        let name = format!("rejected-{status}-{}", body.len());
        runtime.block_on(with_direct_system(&name, Timing::default(), async |system| {
            let url = format!("http://{}{path}", system.entry.addr("callers"));
            let call = system.client.post(url).header("Host", "jobs.example").body(body.to_owned());
            assert_eq!(call.send().await.expect("an answer comes").status().as_u16(), status);
            let (entry, agent) = system.finish(ID);
            assert_eq!(events(&entry), ["rejected"]);
            let line = &entry[0];
            assert_eq!((&line["status"], &line["config"]), (&json!(status), &json!(7)));
            assert!(line["cause"].is_string() && agent.is_empty());
        }));
    }
    unknown_path: ("/k/5c0e7a21d94b36f8", "{}", 404),
    no_json: ("/j/5c0e7a21d94b36f8", "{", 400),
    stored_job: ("/j/5c0e7a21d94b36f8", r#"{"steps":[{"count":1}]}"#, 503),
}

/// Returns the lines with an event.
fn lines_of<'a>(lines: &'a [Value], event: &str) -> Vec<&'a Value> {
    lines.iter().filter(|line| line["event"] == event).collect()
}

/// Checks that the stops of both tasks were sent for this reason and acknowledged, and that both
/// have ended by what the executor lists.
fn assert_stopped(agent: &[Value], names: &BTreeSet<String>, cause: &str) {
    let sent = lines_of(agent, "stop_sent");
    let tasks: BTreeSet<_> = sent.iter().filter_map(|line| line["task"].as_str()).collect();
    assert_eq!((sent.len(), tasks.len()), (2, 2), "{agent:?}");
    assert!(names.iter().eq(&tasks), "{names:?} {agent:?}");
    for line in sent {
        assert_eq!(line["cause"], cause);
        assert!(line["run"].is_u64() && line["token"].is_u64(), "{line}");
    }
    let answered = lines_of(agent, "stop_answered");
    for task in tasks {
        let is_acknowledged =
            |line: &&&Value| line["task"] == task && line["is_acknowledged"] == true;
        let answer = answered.iter().find(is_acknowledged).expect("the executor has answered");
        assert!(answer["took_ms"].is_u64() && answer["is_repeated"].is_boolean(), "{answer}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_request_names_its_stops() {
    with_direct_system("cancelled", LASTING, async |system| {
        let call = job(2);
        let cancel = async {
            system.until_executor_is_full().await;
            assert_eq!(system.cancel(ID).await, StatusCode::OK);
            system.until_executor_is_idle().await;
        };
        tokio::join!(cancel, system.submit(ID, &call));
        let names = names(&system.ledger);
        let (entry, agent) = system.finish(ID);
        assert_eq!(events(&entry), ["accepted", "placed", "withdrawn", "answered"]);
        let (placed, withdrawn) = (&entry[1], &entry[2]);
        assert_eq!(placed["orders"].as_array().map(Vec::len), Some(2));
        assert_eq!(withdrawn["orders"], placed["orders"]);
        assert_eq!(withdrawn["tasks"], placed["tasks"]);
        assert_eq!(listed(&withdrawn["tasks"]), names);
        assert_eq!(withdrawn["agent"], "agent");
        assert_eq!(
            (&withdrawn["cause"], &withdrawn["is_connected"]),
            (&json!("cancelled"), &json!(true))
        );
        assert_stopped(&agent, &names, "requested");
        let settled = lines_of(&agent, "settled");
        assert_eq!(settled.len(), 2);
        for line in settled {
            assert_eq!((&line["outcome"], &line["entry"]), (&json!("stopped"), &json!("entry")));
            assert!(names.contains(line["task"].as_str().unwrap_or("")), "{line}");
            assert!(["listed_end", "absence"].iter().any(|by| line["by"] == *by), "{line}");
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_whose_caller_is_gone_names_its_stops() {
    with_direct_system("gone-caller", LASTING, async |system| {
        let call = job(2);
        tokio::select! {
            () = system.until_executor_is_full() => {}
            status = system.submit(ID, &call) => panic!("answered with {status}"),
        }
        system.until_executor_is_idle().await;
        let names = names(&system.ledger);
        let (entry, agent) = system.finish(ID);
        assert_eq!(events(&entry), ["accepted", "placed", "client_gone", "withdrawn"]);
        assert_eq!(listed(&entry[2]["names"]), names);
        assert_eq!(entry[3]["cause"], "client_gone");
        assert_stopped(&agent, &names, "requested");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stops_of_the_runs_of_a_killed_entry_name_their_cause() {
    with_direct_system("gone-entry", LASTING, async |system| {
        let call = job(2);
        let kill = async {
            system.until_executor_is_full().await;
            system.entry.signal(Signal::KILL);
            system.until_executor_is_idle().await;
        };
        tokio::join!(kill, system.try_submit(ID, &call));
        let names = names(&system.ledger);
        let (_, agent) = system.finish(ID);
        assert_stopped(&agent, &names, "entry_gone");
    })
    .await;
}

/// Submits a job of two tasks, waits for their start and for what `disturb` does, and cancels the
/// job.
async fn disturbed(name: &str, disturb: impl AsyncFnOnce(&mut DirectSystem)) -> [Vec<Value>; 2] {
    let mut lines = [Vec::new(), Vec::new()];
    with_direct_system(name, LASTING, async |mut system| {
        let call = system.call(ID, &job(2));
        system.until_executor_is_full().await;
        disturb(&mut system).await;
        system.cancel(ID).await;
        call.await.expect("the call ends");
        system.until_executor_is_idle().await;
        lines = system.finish(ID).into();
    })
    .await;
    lines
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_of_a_killed_agent_are_found_and_stopped_by_the_next_one() {
    let [entry, agent] = disturbed("next-agent", async |system| {
        system.replace_agent();
        system.entry.next_line("presumed_lost");
    })
    .await;
    assert_eq!(lines_of(&agent, "found_run").len(), 2, "{agent:?}");
    let found = lines_of(&agent, "stop_sent");
    let found = found.iter().filter(|line| line["cause"] == "found").count();
    assert_eq!(found, 2, "{agent:?}");
    // The test has read the first of the two lines.
    let lost = lines_of(&entry, "presumed_lost");
    assert_eq!(lost.len(), 1, "{entry:?}");
    assert_eq!((&lost[0]["agent"], &lost[0]["cause"]), (&json!("agent"), &json!("agent_replaced")));
    let is_named =
        lost[0]["task"].as_str().is_some_and(|name| name.starts_with("5c0e7a21d94b36f8.0.0."));
    assert!(is_named && lost[0]["order"].is_u64(), "{entry:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn attempts_at_a_silent_agent_are_named_when_they_count_as_lost() {
    let mut silent_ms = None;
    let [entry, agent] = disturbed("silent-agent", async |system| {
        system.agent.signal(Signal::STOP);
        silent_ms = system.entry.next_line("presumed_lost")["silent_ms"].as_u64();
        system.agent.signal(Signal::CONT);
        // A busy machine may have delayed the agent before, too.
        while system.agent.next_line("late_loop")["delay_ms"].as_u64() < Some(1_000) {}
    })
    .await;
    assert!(silent_ms >= Some(1_300), "{silent_ms:?}");
    assert_eq!(lines_of(&entry, "presumed_lost")[0]["cause"], "silent");
    let causes: Vec<_> = lines_of(&agent, "stop_sent").iter().map(|line| &line["cause"]).collect();
    let expected = |cause: &&&Value| **cause == "session_expired" || **cause == "unwanted";
    assert_eq!(causes.iter().filter(expected).count(), 2, "{agent:?}");
}
