//! What is known of tasks that ran twice at the same time, as in the users' record.

use std::{
    collections::BTreeSet,
    fmt::{self, Write},
    fs,
    path::Path,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use emulator::{RecordedRun, RunEnd};
use serde_json::Value;

use crate::{
    executors,
    faults::lock,
    process::{Event, Process},
    record,
    system::System,
};

/// How long before an overlap an event may have caused it.
const CAUSE_BEFORE: Duration = Duration::from_secs(2);
/// By how much an executor that is a process may break a promise before an overlap is its own fault:
/// the `upstream_delay_ms` that the dispatcher allows for.
const ALLOWANCE: Duration = Duration::from_millis(100);
/// Number of jobs whose lines are printed.
const MAX_LOGGED_JOBS: usize = 12;

/// Two runs of a task, in the order of their starts.
pub(crate) struct Overlap {
    pub(crate) earlier: RecordedRun,
    pub(crate) later: RecordedRun,
    /// Events of all processes shortly before, with the names of the processes.
    before: Vec<(Instant, String, Event)>,
    /// Times of the lines that lead from a loss of the earlier run's agent to the later run, Unix
    /// milliseconds.
    pub(crate) losses: Vec<u64>,
}

/// Prints the number of overlaps of the system, and of those in the shape of the record, and writes
/// the record. Returns them as text, which is empty without any.
pub(crate) fn report(system: &System) -> String {
    let mut events = Vec::new();
    let mut add_events = |process: &Process| {
        let name = process.name();
        events.extend(process.events().iter().map(|(at, event)| (*at, name.clone(), *event)));
    };
    let processes = system.entries.iter().chain(&system.agents).chain(system.executor_processes());
    processes.for_each(|process| add_events(&lock(process)));
    lock(&system.gone).iter().for_each(add_events);
    events.sort_unstable_by_key(|(at, ..)| *at);
    let found = system.ledger.overlapping_runs().into_iter();
    let mut found: Vec<Overlap> = found
        .map(|[earlier, later]| {
            let start = later.from;
            let is_before = |(at, ..): &&(Instant, String, Event)| {
                start.checked_duration_since(*at).is_some_and(|since| since <= CAUSE_BEFORE)
            };
            let before = events.iter().filter(is_before).cloned().collect();
            Overlap { earlier, later, before, losses: Vec::new() }
        })
        .collect();
    found.sort_unstable_by_key(|overlap| overlap.later.from);
    if executors::are_processes() {
        let (beyond, within): (Vec<_>, _) =
            found.into_iter().partition(Overlap::is_beyond_allowance);
        println!("overlaps beyond the allowance for late executors: {}", beyond.len());
        beyond.iter().for_each(|overlap| println!("{overlap}"));
        found = within;
    }
    let started_ms = events.first().map_or(0, |(at, ..)| unix_ms(*at));
    record::read_losses(&mut found, started_ms);
    record::write(system, &found, started_ms);
    let shaped: Vec<&Overlap> = found.iter().filter(|overlap| overlap.has_shape()).collect();
    let is_twin = |overlap: &&&Overlap| shaped.iter().any(|other| overlap.is_twin(other));
    let known = if record::log_folder().is_some() { "" } else { " (not known without SOAK_LOGS)" };
    println!(
        "overlaps: {}; in the record's shape{known}: {}, of these beside one of another job: {}",
        found.len(),
        shaped.len(),
        shaped.iter().filter(is_twin).count()
    );
    let mut text = String::new();
    for overlap in &found {
        let twins = found.iter().filter(|other| overlap.is_twin(other)).count();
        writeln!(text, "{overlap}\n  overlaps of other jobs at this moment: {twins}")
            .expect("a string takes all");
    }
    if let Some(dir) = record::log_folder() {
        let jobs: BTreeSet<&str> = found.iter().map(Overlap::job).take(MAX_LOGGED_JOBS).collect();
        for job in jobs {
            lines_of(&dir, job).iter().for_each(|line| text.push_str(&format!("  {line}\n")));
        }
    }
    text
}

impl Overlap {
    /// Returns the id of the job.
    pub(crate) fn job(&self) -> &str {
        self.earlier.task.split('.').next().unwrap_or_default()
    }

    /// Returns whether the stopped run is the earlier one and was sent by an agent that has just
    /// ended or was suspended, a line leads from there to the later run, and that one was done without
    /// a stop.
    pub(crate) fn has_shape(&self) -> bool {
        let agent = agent_of(&self.earlier);
        let is_cause = |(at, process, event): &(Instant, String, Event)| {
            let is_end =
                matches!(event, Event::Killed | Event::Ended | Event::Suspended | Event::Resumed);
            *process == agent && is_end && self.losses.iter().any(|loss| *loss >= unix_ms(*at))
        };
        let is_done = self.later.stop.is_none() && self.later.end == Some(RunEnd::Done);
        self.earlier.stop.is_some() && is_done && self.before.iter().any(is_cause)
    }

    /// Returns whether the first run would have ended before the second one, had its executor been late
    /// by no more than the allowance.
    fn is_beyond_allowance(&self) -> bool {
        self.earlier.due.is_some_and(|due| self.later.from >= due + ALLOWANCE)
    }

    /// Returns whether the other overlap is one of another job at the same moment.
    fn is_twin(&self, other: &Self) -> bool {
        let is_other = self.job() != other.job();
        is_other && self.later.from < other.end() && other.later.from < self.end()
    }

    fn end(&self) -> Instant {
        let now = Instant::now();
        self.earlier.to.unwrap_or(now).min(self.later.to.unwrap_or(now))
    }
}

impl fmt::Display for Overlap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.later.from;
        let length = self.end().saturating_duration_since(start);
        let shape = if self.has_shape() { ", in the record's shape" } else { "" };
        write!(
            f,
            "{} for {} ms at {}{shape}",
            self.earlier.task,
            length.as_millis(),
            unix_ms(start)
        )?;
        for run in [&self.earlier, &self.later] {
            write!(f, "\n  {} {}: start {}", run.executor, agent_of(run), offset(start, run.from))?;
            let times =
                [("stop", run.stop), ("due", run.due), ("end", run.to), ("listed", run.listed)];
            for (name, at) in times {
                match at {
                    Some(at) => write!(f, ", {name} {}", offset(start, at))?,
                    None => write!(f, ", no {name}")?,
                }
            }
            let late = run.to.zip(run.due).and_then(|(to, due)| to.checked_duration_since(due));
            let late_ms = late.unwrap_or_default().as_millis();
            write!(f, ", {late_ms} ms late, {}", run.end.map_or("running", RunEnd::name))?;
        }
        write!(f, "\n  before:")?;
        for (at, process, event) in &self.before {
            write!(f, " {process} {event:?} {};", offset(start, *at))?;
        }
        Ok(())
    }
}

/// Returns the agent of the host at which a run was.
pub(crate) fn agent_of(run: &RecordedRun) -> String {
    run.executor.replace("executor", "agent")
}

/// Returns the milliseconds from one instant to another, with the sign.
fn offset(from: Instant, to: Instant) -> String {
    match to.checked_duration_since(from) {
        Some(after) => format!("+{}", after.as_millis()),
        None => format!("-{}", (from - to).as_millis()),
    }
}

/// Returns the time of day of an instant, as in the lines of the processes.
pub(crate) fn unix_ms(at: Instant) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.saturating_sub(at.elapsed()).as_millis()).unwrap_or(u64::MAX)
}

/// Returns the lines of all processes that name a job, in the order of their times.
fn lines_of(dir: &Path, job: &str) -> Vec<String> {
    let files = fs::read_dir(dir).into_iter().flatten().flatten();
    let logs: Vec<_> = files.filter_map(|file| fs::read_to_string(file.path()).ok()).collect();
    let lines = logs.iter().flat_map(|log| log.lines()).filter(|line| line.contains(job));
    let mut lines: Vec<String> = lines.map(str::to_owned).collect();
    let at_ms = |line: &String| {
        serde_json::from_str::<Value>(line).ok().and_then(|line| line["at_ms"].as_u64())
    };
    lines.sort_by_key(at_ms);
    lines
}
