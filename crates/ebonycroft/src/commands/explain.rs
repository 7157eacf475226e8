//! `ebonycroft explain`: the way of one request through the logs of several processes.

use std::{fs, path::PathBuf};

use getopts::Options;
use indexmap::IndexMap;
use serde_json::{Map, Value};

use crate::{cli_error::CliError, command::Command};

/// Events that change what a process believes; shown when they happened around the request.
const BELIEFS: [&str; 12] = [
    "agent_connected",
    "agent_lost",
    "entry_connected",
    "entry_lost",
    "lines_dropped",
    "start",
    "stop",
    "stopping",
    "suspended",
    "upstream",
    "upstream_judged",
    "upstream_mute",
];
/// How far around the request such events are shown, milliseconds.
const AROUND_MS: i64 = 1_500;

#[derive(Clone, Debug)]
struct Line {
    at_ms: i64,
    process: String,
    event: String,
    fields: Map<String, Value>,
}

pub(crate) fn run(args: &[String]) -> Result<(), CliError> {
    let mut opts = Options::new();
    opts.optopt("i", "id", "id of the request", "ID");
    opts.optflag("h", "help", "show this text");
    let matches = opts.parse(args).map_err(|e| CliError::Usage(e.to_string()))?;
    if matches.opt_present("help") {
        let brief = format!("ebonycroft explain --id ID FILE...: {}", Command::Explain.summary());
        print!("{}", opts.usage(&brief));
        return Ok(());
    }
    let id = matches.opt_str("id").ok_or_else(|| CliError::Usage("--id is required".into()))?;
    if matches.free.is_empty() {
        return Err(CliError::Usage("name at least one file of log lines".into()));
    }
    let mut lines = Vec::new();
    for path in &matches.free {
        let path = PathBuf::from(path);
        let bytes = fs::read(&path).map_err(|source| CliError::Read { path, source })?;
        lines.extend(String::from_utf8_lossy(&bytes).lines().filter_map(parse));
    }
    print!("{}", explain(&id, &lines));
    Ok(())
}

/// Reads a log line; a collector may have put something before the object.
fn parse(text: &str) -> Option<Line> {
    let object = text.get(text.find('{')?..)?;
    let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let at_ms = fields.remove("at_ms")?.as_i64()?;
    let process = fields.remove("process")?.as_str()?.to_owned();
    let event = fields.remove("event")?.as_str()?.to_owned();
    Some(Line { at_ms, process, event, fields })
}

fn explain(id: &str, all: &[Line]) -> String {
    let is_of = |line: &&Line| line.fields.get("job").and_then(Value::as_str) == Some(id);
    let mut lines: Vec<Line> = all.iter().filter(is_of).cloned().collect();
    if lines.is_empty() {
        return format!(
            "no line names {id}: it was not accepted by these processes, or its lines were dropped\n"
        );
    }
    let shifts = clock_shifts(&lines);
    let (first, last) = span(&lines, &shifts);
    let is_around = |line: &&Line| {
        let Some(shift) = shifts.get(&line.process) else { return false };
        let at_ms = line.at_ms + shift;
        BELIEFS.contains(&line.event.as_str())
            && (first - AROUND_MS..=last + AROUND_MS).contains(&at_ms)
    };
    lines.extend(all.iter().filter(is_around).cloned());
    lines.sort_by_key(|line| line.at_ms + shifts.get(&line.process).copied().unwrap_or(0));
    let mut text = String::new();
    for line in &lines {
        let at_ms = line.at_ms + shifts.get(&line.process).copied().unwrap_or(0) - first;
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
    for (process, shift) in shifts.iter().filter(|(_, shift)| **shift != 0) {
        text += &format!("the clock of {process} is behind by at least {shift} ms\n");
    }
    text
}

/// Returns what has to be added to the times of each process so that nothing comes before its
/// cause: an agent's first line on a request before the entry's order to it.
fn clock_shifts(lines: &[Line]) -> IndexMap<String, i64> {
    let mut shifts = IndexMap::new();
    for line in lines {
        let process = &line.process;
        let own = lines.iter().filter(|line| line.process == *process);
        let ordered = lines.iter().filter(|line| {
            line.event == "placed"
                && line.fields.get("agent").and_then(Value::as_str) == Some(process)
        });
        let own = own.map(|line| line.at_ms).min();
        let ordered = ordered.map(|line| line.at_ms).min();
        let shift = ordered.zip(own).map_or(0, |(ordered, own)| (ordered - own).max(0));
        shifts.insert(process.clone(), shift);
    }
    shifts
}

fn span(lines: &[Line], shifts: &IndexMap<String, i64>) -> (i64, i64) {
    let at = |line: &Line| line.at_ms + shifts.get(&line.process).copied().unwrap_or(0);
    let first = lines.iter().map(at).min().unwrap_or(0);
    (first, lines.iter().map(at).max().unwrap_or(first))
}
