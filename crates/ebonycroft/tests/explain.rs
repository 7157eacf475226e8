//! `ebonycroft explain` on the collected decision lines of an entry and an agent.

use std::{fs, process::Command};

const ENTRY: &str = r#"
  1.0 host {"at_ms":1000,"process":"entry-a","event":"accepted","job":"j1","tasks":2}
noise
{"at_ms":1002,"process":"entry-a","event":"placed","job":"j1","agent":"agent-b","run":1}
{"at_ms":1003,"process":"entry-a","event":"accepted","job":"other"}
{"at_ms":1400,"process":"entry-a","event":"agent_lost","agent":"agent-b","cause":"silent"}
{"at_ms":2500,"process":"entry-a","event":"answered","job":"j1","end":"timed_out"}
{"at_ms":70000,"process":"entry-a","event":"accepted","job":"twice"}
{"at_ms":70003,"process":"entry-a","event":"placed","job":"twice","agent":"agent-b","orders":[7],"run":1}
{"at_ms":70010,"process":"entry-c","event":"accepted","job":"twice"}
{"at_ms":70011,"process":"entry-c","event":"placed","job":"twice","agent":"agent-d","orders":[9],"run":1}
{"at_ms":70013,"process":"entry-a","event":"client_gone","job":"twice","after_ms":12}
{"at_ms":70014,"process":"entry-a","event":"withdrawn","job":"twice","agent":"agent-b","orders":[7],"cause":"client_gone"}
{"at_ms":70031,"process":"entry-a","event":"late_loop","delay_ms":21}
{"at_ms":71400,"process":"entry-a","event":"presumed_lost","job":"twice","task":"twice.0.0.0","agent":"agent-b","order":7,"cause":"silent"}
{"at_ms":90000,"process":"entry-a","event":"accepted","job":"killed"}
{"at_ms":90001,"process":"entry-a","event":"placed","job":"killed","agent":"agent-e","orders":[8],"run":1}
{"at_ms":90005,"process":"entry-a","event":"agent_lost","agent":"agent-e","cause":"connection closed"}
{"at_ms":90030,"process":"entry-a","event":"agent_connected","agent":"agent-e","incarnation":90010,"replaces":80000}
{"at_ms":90031,"process":"entry-a","event":"presumed_lost","job":"killed","task":"killed.0.0.0","agent":"agent-e","order":8,"cause":"agent_replaced"}
{"at_ms":120000,"process":"entry-a","event":"accepted","job":"several","tasks":2,"names":["several.0.0.0","several.0.0.1"]}
{"at_ms":120001,"process":"entry-a","event":"placed","job":"several","tasks":["several.0.0.0"],"agent":"agent-f"}
{"at_ms":120002,"process":"entry-a","event":"placed","job":"several","tasks":["several.0.0.1"],"agent":"agent-g"}
{"at_ms":120003,"process":"agent-f","event":"started","job":"several","task":"several.0.0.0","run":1}
{"at_ms":120004,"process":"agent-g","event":"started","job":"several","task":"several.0.0.1","run":1}
{"at_ms":120005,"process":"entry-a","event":"answered","job":"several","end":"succeeded"}
"#;
/// The clock of the agent is 700 ms behind that of the entry in the first job, and right later.
const AGENT: &str = r#"
{"at_ms":302,"process":"agent-b","event":"started","job":"j1","run":1}
{"at_ms":310,"process":"agent-b","event":"upstream_mute","cause":"no answer"}
{"at_ms":99999,"process":"agent-b","event":"upstream_mute","cause":"long after"}
{"at_ms":70006,"process":"agent-b","event":"started","job":"twice","task":"twice.0.0.0","run":1}
{"at_ms":70012,"process":"agent-d","event":"started","job":"twice","task":"twice.0.0.0","run":1}
{"at_ms":70015,"process":"agent-b","event":"stop_sent","job":"twice","task":"twice.0.0.0","run":1,"cause":"requested"}
{"at_ms":70017,"process":"agent-b","event":"stop_answered","job":"twice","task":"twice.0.0.0","run":1,"is_acknowledged":true}
{"at_ms":70019,"process":"agent-b","event":"settled","job":"twice","task":"twice.0.0.0","order":7,"outcome":"stopped"}
{"at_ms":70500,"process":"agent-b","event":"open","token":5}
{"at_ms":70501,"process":"agent-b","event":"found_run","job":"twice","task":"twice.0.0.0","run":1}
{"at_ms":90010,"process":"agent-e","event":"start","incarnation":90010}
{"at_ms":90012,"process":"agent-e","event":"fencing_token","token":90011}
{"at_ms":90012,"process":"agent-e","event":"open","token":90011,"answered_ms":0,"list_age_ms":1,"found":0}
"#;

fn explain(id: &str) -> String {
    let dir = std::env::temp_dir().join(format!("explain-{}-{id}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    let files = [("entry.log", ENTRY), ("agent.log", AGENT)].map(|(name, text)| {
        let path = dir.join(name);
        fs::write(&path, text).expect("a file can be written");
        path
    });
    let output = Command::new(env!("CARGO_BIN_EXE_ebonycroft"))
        .args(["explain", "--id", id])
        .args(&files)
        .output()
        .expect("the program runs");
    fs::remove_dir_all(&dir).expect("the folder can be removed");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("the output is text")
}

#[test]
fn lines_of_a_request_are_in_order_despite_clock_skew() {
    let text = explain("j1");
    let events = ["accepted", "placed", "started", "upstream_mute", "agent_lost", "answered"];
    let at: Vec<_> = events.iter().map(|event| text.find(event)).collect();
    assert!(at.iter().all(Option::is_some) && at.is_sorted(), "{text}");
    assert!(text.contains("the clock of agent-b is behind by at least 700 ms"), "{text}");
    assert!(!text.contains("long after") && !text.contains("other"), "{text}");
}

#[test]
fn starts_stops_and_settlements_of_two_runs_are_shown() {
    let text = explain("twice");
    let lines = [
        "entry-a accepted",
        "entry-a placed",
        "agent-b started",
        "entry-c accepted",
        "entry-c placed",
        "agent-d started",
        "entry-a client_gone",
        "entry-a withdrawn",
        "agent-b stop_sent",
        "agent-b stop_answered",
        "agent-b settled",
        "entry-a late_loop",
        "agent-b open",
        "agent-b found_run",
        "entry-a presumed_lost",
    ];
    let name_and_event = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().skip(2).take(2).collect();
        words.join(" ")
    };
    let shown: Vec<String> = text.lines().map(name_and_event).collect();
    assert_eq!(shown, lines, "{text}");
    assert!(text.contains("cause=\"requested\"") && text.contains("orders=[7]"), "{text}");
}

/// Guards against a trace without the agent that was killed before it had written a line about the job.
#[test]
fn lines_of_the_successor_of_an_agent_are_shown_that_left_none() {
    let text = explain("killed");
    let events = ["placed", "agent_lost", "start ", "fencing_token", "open ", "agent_connected"];
    let events: Vec<_> = events.iter().chain(&["presumed_lost"]).collect();
    let at: Vec<_> = events.iter().map(|event| text.find(**event)).collect();
    assert!(at.iter().all(Option::is_some) && at.is_sorted(), "{text}");
    assert!(text.contains("replaces=80000"), "{text}");
}

/// Returns the events that are shown, in order.
fn shown_events(text: &str) -> Vec<&str> {
    text.lines().filter_map(|line| line.split_whitespace().nth(3)).collect()
}

#[test]
fn lines_of_a_task_and_of_its_whole_job_are_shown() {
    let text = explain("several.0.0.1");
    assert_eq!(shown_events(&text), ["accepted", "placed", "started", "answered"], "{text}");
    assert!(text.contains("agent-g") && !text.contains("agent-f"), "{text}");
    let job = explain("several");
    let whole = ["accepted", "placed", "placed", "started", "started", "answered"];
    assert_eq!(shown_events(&job), whole, "{job}");
}

#[test]
fn unknown_request_is_reported() {
    assert!(explain("j9").starts_with("no line names j9"));
}

#[test]
fn invalid_command_lines_have_their_exit_codes() {
    let run = |args: &[&str]| {
        let program = Command::new(env!("CARGO_BIN_EXE_ebonycroft")).args(args).output();
        program.expect("the program runs").status.code()
    };
    assert_eq!(run(&["explain"]), Some(2));
    assert_eq!(run(&["explain", "--id", "j1"]), Some(2));
    assert_eq!(run(&["explain", "--id", "j1", "/nonexistent/file"]), Some(1));
    assert_eq!(run(&["explain", "--help"]), Some(0));
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    for other_form in ["j1/0/0", "j1.0.0", "j1.0.0.x", "j1.0.0.0.0", "j1.1.0.0", ".", ""] {
        assert_eq!(run(&["explain", "--id", other_form, file]), Some(2), "{other_form}");
    }
    assert_eq!(run(&["explain", "--id", "j1.0.0.0", file]), Some(0));
}
