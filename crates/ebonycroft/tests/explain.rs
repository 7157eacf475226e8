//! `ebonycroft explain` on the collected decision lines of an entry and an agent.

use std::{fs, process::Command};

const ENTRY: &str = r#"
  1.0 host {"at_ms":1000,"process":"entry-a","event":"accepted","job":"j1","tasks":2}
noise
{"at_ms":1002,"process":"entry-a","event":"placed","job":"j1","agent":"agent-b","run":1}
{"at_ms":1003,"process":"entry-a","event":"accepted","job":"other"}
{"at_ms":1400,"process":"entry-a","event":"agent_lost","agent":"agent-b","cause":"silent"}
{"at_ms":2500,"process":"entry-a","event":"answered","job":"j1","end":"timed_out"}
"#;
/// The clock of the agent is 700 ms behind that of the entry.
const AGENT: &str = r#"
{"at_ms":302,"process":"agent-b","event":"started","job":"j1","run":1}
{"at_ms":310,"process":"agent-b","event":"upstream_mute","cause":"no answer"}
{"at_ms":99999,"process":"agent-b","event":"upstream_mute","cause":"long after"}
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
}
