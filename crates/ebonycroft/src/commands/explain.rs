//! `ebonycroft explain`: traces one request, or one of its tasks, through the logs of several
//! processes.

use std::{fs, path::PathBuf};

use getopts::Options;
use indexmap::IndexMap;
use platform::{decode_task_name, encode_task_name};
use serde_json::{Map, Value};

use crate::{cli_error::CliError, command::Command};

/// Events about the state of a process or its peers; shown when they are close in time to the
/// request.
const CONTEXT_EVENTS: [&str; 22] = [
    "agent_connected",
    "agent_lost",
    "config_in_force",
    "entry_connected",
    "entry_gone",
    "entry_lost",
    "fencing_token",
    "late_loop",
    "lines_dropped",
    "open",
    "start",
    "stop",
    "stopping",
    "store_back",
    "store_lost",
    "suspended",
    "upstream",
    "upstream_back",
    "upstream_crashed",
    "upstream_judged",
    "upstream_leaves",
    "upstream_mute",
];
/// Time before the first and after the last line of the request in which such events are shown,
/// milliseconds.
const CONTEXT_MS: i64 = 1_500;

/// A decision line of a process.
#[derive(Clone, Debug)]
struct Line {
    at_ms: i64,
    process: String,
    event: String,
    fields: Map<String, Value>,
}

/// What a trace is about.
#[derive(Clone, Debug)]
enum Subject {
    /// A job, by its id.
    Job(String),
    /// A task of a job, by the job's id and the task's name.
    Task { job: String, name: String },
}

impl Subject {
    /// Parses the id of a job or the name of a task; `None` for text of another form.
    fn parse(text: &str) -> Option<Self> {
        // Jobs of these roles have one occurrence, so a name with another one is in no line.
        if let Some(task) = decode_task_name(text).filter(|task| encode_task_name(task) == text) {
            return Some(Self::Task { job: task.job.to_string(), name: text.to_owned() });
        }
        let is_id = !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric());
        is_id.then(|| Self::Job(text.to_owned()))
    }

    fn text(&self) -> &str {
        match self {
            Self::Job(id) => id,
            Self::Task { name, .. } => name,
        }
    }

    /// Returns whether a line is about the job, or about the task or the whole job that it belongs
    /// to.
    fn matches(&self, line: &Line) -> bool {
        let job = line.fields.get("job").and_then(Value::as_str);
        match self {
            Self::Job(id) => job == Some(id),
            Self::Task { job: id, name } => job == Some(id) && line.concerns(name),
        }
    }
}

pub(crate) fn run(args: &[String]) -> Result<(), CliError> {
    let mut opts = Options::new();
    opts.optopt("i", "id", "id of the request, or name of one of its tasks", "ID|ID.0.STEP.INDEX");
    opts.optflag("h", "help", "show this text");
    let matches = opts.parse(args).map_err(|e| CliError::Usage(e.to_string()))?;
    if matches.opt_present("help") {
        let summary = Command::Explain.summary();
        let brief = format!("ebonycroft explain --id ID|ID.0.STEP.INDEX FILE...: {summary}");
        print!("{}", opts.usage(&brief));
        return Ok(());
    }
    let id = matches.opt_str("id").ok_or_else(|| CliError::Usage("--id is required".into()))?;
    let subject = Subject::parse(&id).ok_or_else(|| {
        let problem = "is neither the id of a request nor the name of a task, ID.0.STEP.INDEX";
        CliError::Usage(format!("--id {id}: {problem}"))
    })?;
    if matches.free.is_empty() {
        return Err(CliError::Usage("name at least one file of log lines".into()));
    }
    let mut lines = Vec::new();
    for path in &matches.free {
        let path = PathBuf::from(path);
        let bytes = fs::read(&path).map_err(|source| CliError::Read { path, source })?;
        lines.extend(String::from_utf8_lossy(&bytes).lines().filter_map(parse));
    }
    print!("{}", explain(&subject, &lines));
    Ok(())
}

/// Parses a log line. A log collector may have added a prefix before the JSON object. Returns
/// `None` for any other text.
fn parse(text: &str) -> Option<Line> {
    let object = text.get(text.find('{')?..)?;
    let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let at_ms = fields.remove("at_ms")?.as_i64()?;
    let process = fields.remove("process")?.as_str()?.to_owned();
    let event = fields.remove("event")?.as_str()?.to_owned();
    Some(Line { at_ms, process, event, fields })
}

impl Line {
    /// Returns whether a line about a job is about this task of it, or about the whole job.
    fn concerns(&self, task: &str) -> bool {
        match (self.fields.get("task"), self.fields.get("tasks")) {
            (Some(name), _) => name.as_str() == Some(task),
            (None, Some(Value::Array(names))) => names.iter().any(|name| name == task),
            _ => true,
        }
    }
}

fn explain(subject: &Subject, all: &[Line]) -> String {
    let is_about_request = |line: &&Line| subject.matches(line);
    let own_lines: Vec<Line> = all.iter().filter(is_about_request).cloned().collect();
    if own_lines.is_empty() {
        return format!(
            "no line names {}: it was not accepted by these processes, or its lines were dropped\n",
            subject.text()
        );
    }
    let offsets = clock_offsets(&own_lines);
    let (first, last) = span(&own_lines, &offsets);
    let is_context = |line: &&Line| {
        let Some(offset) = offsets.get(&line.process) else { return false };
        let at_ms = line.at_ms + offset;
        CONTEXT_EVENTS.contains(&line.event.as_str())
            && (first - CONTEXT_MS..=last + CONTEXT_MS).contains(&at_ms)
    };
    // In the order of the files, so that lines of a process within one millisecond keep theirs.
    let is_shown = |line: &&Line| is_about_request(line) || is_context(line);
    let mut lines: Vec<Line> = all.iter().filter(is_shown).cloned().collect();
    lines.sort_by_key(|line| line.at_ms + offsets.get(&line.process).copied().unwrap_or(0));
    let mut text = String::new();
    for line in &lines {
        let at_ms = line.at_ms + offsets.get(&line.process).copied().unwrap_or(0) - first;
        let fields: Vec<String> = line
            .fields
            .iter()
            .filter(|(name, _)| *name != "job")
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        text += &format!(
            "{at_ms:>+7} ms  {:<20} {:<16} {}\n",
            line.process,
            line.event,
            fields.join(" ")
        );
    }
    for (process, offset) in offsets.iter().filter(|(_, offset)| **offset != 0) {
        text += &format!("the clock of {process} is behind by at least {offset} ms\n");
    }
    text
}

/// Returns the milliseconds to add to the times of each process so that no effect is shown before
/// its cause: an agent's first line about a request doesn't precede the entry's line that placed
/// the request at this agent.
fn clock_offsets(lines: &[Line]) -> IndexMap<String, i64> {
    let mut offsets = IndexMap::new();
    for line in lines {
        let process = &line.process;
        let own_lines = lines.iter().filter(|line| line.process == *process);
        let placements = lines.iter().filter(|line| {
            line.event == "placed"
                && line.fields.get("agent").and_then(Value::as_str) == Some(process)
        });
        let first_line = own_lines.map(|line| line.at_ms).min();
        let placed_at = placements.map(|line| line.at_ms).min();
        let offset =
            placed_at.zip(first_line).map_or(0, |(placed_at, first)| (placed_at - first).max(0));
        offsets.insert(process.clone(), offset);
    }
    // An agent that was killed may have no line about the request; its successor's tell of it.
    let placements = lines.iter().filter(|line| line.event == "placed");
    for agent in placements.filter_map(|line| line.fields.get("agent").and_then(Value::as_str)) {
        offsets.entry(agent.to_owned()).or_insert(0);
    }
    offsets
}

/// Returns the corrected times of the first and the last line.
fn span(lines: &[Line], offsets: &IndexMap<String, i64>) -> (i64, i64) {
    let at = |line: &Line| line.at_ms + offsets.get(&line.process).copied().unwrap_or(0);
    let first = lines.iter().map(at).min().unwrap_or(0);
    (first, lines.iter().map(at).max().unwrap_or(first))
}
