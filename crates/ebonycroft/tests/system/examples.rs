//! The example settings in `config/`, and the help, exit codes and error messages of the program.

use std::{path::PathBuf, process::Command};

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../config").join(name)
}

fn check(role: &str, file: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_ebonycroft"))
        .args(["check", "--role", role, "--config"])
        .arg(example(file))
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

types::cases! {
    fn example_settings_are_valid(role: &str, file: &str) { check(role, file); }
    entry_example: ("entry", "entry.yaml"),
    agent_example: ("agent", "agent.yaml"),
    shared_example: ("shared", "shared.yaml"),
    emulator_example: ("emulator", "emulator.yaml"),
    emulator_of_separate_processes: ("emulator", "examples/emulator.yaml"),
    first_entry_of_three: ("entry", "examples/entry-a.yaml"),
    second_entry_of_three: ("entry", "examples/entry-b.yaml"),
    third_entry_of_three: ("entry", "examples/entry-c.yaml"),
    first_recipe_agent: ("agent", "examples/agent-recipe-01.yaml"),
    second_recipe_agent: ("agent", "examples/agent-recipe-02.yaml"),
    first_notebook_agent: ("agent", "examples/agent-notebook-01.yaml"),
    second_notebook_agent: ("agent", "examples/agent-notebook-02.yaml"),
}

struct ProgramOutput {
    code: Option<i32>,
    out: String,
    err: String,
}

fn ebonycroft(args: &[&str]) -> ProgramOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_ebonycroft")).args(args).output().unwrap();
    ProgramOutput {
        code: output.status.code(),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

#[test]
fn version_and_help_are_printed() {
    assert!(ebonycroft(&["--version"]).out.starts_with("ebonycroft 0."));
    assert!(ebonycroft(&["--help"]).out.contains("usage: ebonycroft COMMAND"));
    for command in ["try", "entry", "agent", "emulator", "check", "get", "patch", "status", "drain"]
    {
        let run = ebonycroft(&[command, "--help"]);
        assert_eq!(run.code, Some(0), "{command}");
        assert!(run.out.contains(command), "{}", run.out);
    }
}

#[test]
fn exit_codes_differ_for_usage_and_settings() {
    assert_eq!(ebonycroft(&["fly"]).code, Some(2));
    assert_eq!(ebonycroft(&["entry"]).code, Some(2));
    assert_eq!(ebonycroft(&["entry", "--config", "absent.yaml"]).code, Some(3));
}

/// Runs `check` on the text of entry settings.
fn check_entry_settings(name: &str, text: &str) -> ProgramOutput {
    let path = std::env::temp_dir().join(format!("ebonycroft-{name}-{}.yaml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let run = ebonycroft(&["check", "--role", "entry", "--config", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    run
}

/// Returns the settings of the example entry with one change.
fn entry_example_with(from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(example("entry.yaml")).unwrap();
    assert!(text.contains(from));
    text.replace(from, to)
}

types::cases! {
    fn error_names_the_path_of_the_field(name: &str, from: &str, to: &str, path: &str) {
        let run = check_entry_settings(name, &entry_example_with(from, to));
        assert_eq!(run.code, Some(3), "{}", run.err);
        assert!(run.err.contains(path), "{}", run.err);
    }
    unknown_key: ("unknown", "window_s: 600", "window_minutes: 10", "jobs"),
    zero_limit: ("zero", "body_bytes: 8388608", "body_bytes: 0", "limits.body_bytes"),
    negative_limit: ("negative", "appends_per_s: 80", "appends_per_s: -5", "journal.appends_per_s"),
    wrong_type: ("type", "listen: 127.0.0.1:8080", "listen: here", "listen"),
    not_yaml: ("syntax", "jobs: {", "jobs: [", "not valid yaml"),
}

#[test]
fn every_invalid_field_is_reported() {
    let text = entry_example_with("body_bytes: 8388608", "body_bytes: 0")
        .replace("partitions: 64", "partitions: 0");
    let run = check_entry_settings("two", &text);
    assert!(run.err.contains("limits.body_bytes"), "{}", run.err);
    assert!(run.err.contains("jobs.partitions"), "{}", run.err);
}

#[test]
fn try_shows_a_complete_answer_for_both_users() {
    let run = ebonycroft(&["try", "--once"]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    assert_eq!(run.out.matches("\"status\": \"complete\"").count(), 2, "{}", run.out);
}
