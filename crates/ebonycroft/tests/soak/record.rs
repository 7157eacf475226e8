//! A soak's overlaps as a record in the form of the platform's users: the pairs of each case, then
//! the lines of two thirds of the entries that have the name of a task, then the changes there.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    fmt::Write,
    fs,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    time::Duration,
};

use emulator::{RecordedRun, RunEnd};
use serde_json::Value;

use crate::{
    overlaps::{Overlap, agent_of, unix_ms},
    site::Site,
    system::{SERVICE, System},
};

/// Overlaps beside one agent that begin within this time of the first one are one case.
const CASE: Duration = Duration::from_millis(100);
/// Time in which all entries lose an agent whose process ends, milliseconds.
const LINKS_CLOSED_MS: u64 = 30;
/// How long before an overlap a loss of the agent belongs to it, milliseconds.
const LOSS_BEFORE_MS: u64 = 2_000;
/// Changes that are written: from so long before a case to so long after it, milliseconds, and the
/// last ones of each entry.
const CHANGES_BEFORE_MS: u64 = 20_000;
const CHANGES_AFTER_MS: u64 = 1_000;
const MAX_CHANGES: usize = 30;
/// Number of cases with their lines; the others have their pairs only.
const MAX_CASES_WITH_LINES: usize = 8;

/// A line of a process.
struct Line {
    at_ms: u64,
    event: String,
    /// The agent that it names, if any.
    agent: String,
    is_change: bool,
    text: String,
}

/// The lines of one process.
struct Log {
    process: String,
    lines: Vec<Line>,
}

type LinesByJob<'a> = BTreeMap<&'a str, Vec<(&'a Log, &'a Line)>>;

/// Overlaps beside one agent at one moment.
struct Case<'a> {
    agent: String,
    at_ms: u64,
    pairs: Vec<&'a Overlap>,
}

/// Returns the folder for the lines of the processes: `SOAK_LOGS`, or one beside the record.
pub(crate) fn log_folder() -> Option<PathBuf> {
    let beside_record = || Some(record_path()?.with_extension("logs"));
    env::var_os("SOAK_LOGS").map(PathBuf::from).or_else(beside_record)
}

/// Makes the folder for the lines, if there is to be a record.
pub(crate) fn prepare() {
    if let (Some(_), Some(dir)) = (record_path(), log_folder()) {
        fs::create_dir_all(dir).expect("the folder for lines can be made");
    }
}

fn record_path() -> Option<PathBuf> {
    env::var_os("SOAK_RECORD").map(PathBuf::from)
}

/// Adds the times of the lines that lead from a loss of the earlier run's agent to the later run of
/// each overlap: the entry presumes the order lost, or the agent settles the run in its next life. The
/// replacement of an executor is no loss of its agent.
pub(crate) fn read_losses(found: &mut [Overlap], since_ms: u64) {
    let Some(dir) = log_folder() else { return };
    let logs = read_logs(&dir, since_ms);
    for pair in found {
        let (agent, start_ms) = (agent_of(&pair.earlier), unix_ms(pair.later.from));
        let (task, job) =
            (format!(r#""task":"{}""#, pair.earlier.task), format!(r#""job":"{}""#, pair.job()));
        let is_named = |line: &Line| {
            // The lines of older builds name the job only.
            let name = if line.text.contains(r#""task":"#) { &task } else { &job };
            line.at_ms <= start_ms + 1 && line.text.contains(name)
        };
        let leads = |log: &Log, line: &Line| match &*line.event {
            "presumed_lost" => line.agent == agent,
            "settled" => {
                let is_other = |name| line.text.contains(name);
                log.process == agent
                    && !["upstream_replaced", r#""done""#].into_iter().any(is_other)
            }
            _ => false,
        };
        let lines = logs.iter().flat_map(|log| log.lines.iter().map(move |line| (log, line)));
        let losses = lines.filter(|(log, line)| is_named(line) && leads(log, line));
        pair.losses = losses.map(|(_, line)| line.at_ms).collect();
    }
}

/// Writes the record of the overlaps to `SOAK_RECORD`, if that is set, and prints its summary.
pub(crate) fn write(system: &System, found: &[Overlap], since_ms: u64) {
    let (Some(path), Some(dir)) = (record_path(), log_folder()) else { return };
    let logs = read_logs(&dir, since_ms);
    let is_entry = |log: &&Log| log.process.starts_with("entry-");
    let entries: Vec<&Log> = logs.iter().filter(is_entry).collect();
    let shown = &entries[..(entries.len() * 2).div_ceil(3)];
    let cases = cases(found);
    let mut text = String::new();
    for (i, case) in cases.iter().enumerate() {
        let number = i + 1;
        let site = Site::selected().name;
        writeln!(text, "##### Case {number}. Deployment {site}. (+0.000 is {})", case.at_ms)
            .expect("a string takes all");
        case.pairs.iter().for_each(|pair| write_pair(&mut text, system, case, pair));
        if i < MAX_CASES_WITH_LINES {
            shown.iter().for_each(|log| write_lines(&mut text, case, log));
        }
        text.push('\n');
    }
    print_summary(&cases, found, &entries, shown, &logs);
    fs::write(&path, text).expect("the record can be written");
}

/// Groups the overlaps, which are in the order of their starts.
fn cases(found: &[Overlap]) -> Vec<Case<'_>> {
    let mut cases: Vec<Case<'_>> = Vec::new();
    for pair in found {
        let agent = agent_of(&pair.earlier);
        let is_same = |case: &&mut Case<'_>| {
            case.agent == agent && pair.later.from - case.pairs[0].later.from <= CASE
        };
        match cases.iter_mut().rev().find(is_same) {
            Some(case) => case.pairs.push(pair),
            None => {
                let at_ms = unix_ms(pair.later.from);
                cases.push(Case { agent, at_ms, pairs: vec![pair] });
            }
        }
    }
    cases
}

impl Case<'_> {
    /// Returns the number of pairs whose stopped run was at the lost agent.
    fn shaped(&self) -> usize {
        self.pairs.iter().filter(|pair| pair.has_shape()).count()
    }

    fn has_two_jobs(&self) -> bool {
        let shaped = self.pairs.iter().filter(|pair| pair.has_shape());
        shaped.map(|pair| pair.job()).collect::<BTreeSet<_>>().len() > 1
    }

    /// Returns whether all entries have lost the agent within a short time shortly before.
    fn has_closed_links(&self, entries: &[&Log]) -> bool {
        let before = self.at_ms.saturating_sub(LOSS_BEFORE_MS)..=self.at_ms;
        let has_lost = |log: &Log, within: &RangeInclusive<u64>| {
            log.lines.iter().any(|line| self.is_loss(line) && within.contains(&line.at_ms))
        };
        let lines = entries.iter().flat_map(|log| &log.lines);
        let mut losses = lines.filter(|line| self.is_loss(line) && before.contains(&line.at_ms));
        losses.any(|first| {
            let within = first.at_ms..=first.at_ms + LINKS_CLOSED_MS;
            entries.iter().all(|log| has_lost(log, &within))
        })
    }

    fn is_loss(&self, line: &Line) -> bool {
        line.event == "agent_lost" && line.agent == self.agent
    }
}

fn write_pair(text: &mut String, system: &System, case: &Case<'_>, pair: &Overlap) {
    let first = case.pairs[0].later.from;
    let run = |run: &RecordedRun| {
        let at = |at: Option<std::time::Instant>| match at {
            Some(at) if at < first => format!("-{:.3}", (first - at).as_secs_f64()),
            Some(at) => format!("+{:.3}", (at - first).as_secs_f64()),
            None => "-".into(),
        };
        let starts = system.ledger.starts_of(&run.task);
        let number = starts.iter().position(|from| *from == run.from).map_or(0, |i| i + 1);
        let place = run.executor.rsplit('-').next().and_then(|n| n.parse().ok());
        format!(
            "[{} run {number} on {} ({SERVICE}, {}) from {}, order - late -, start {} stop {} end {} {} noted {}]",
            run.task,
            run.executor,
            Site::selected().zone(place.unwrap_or_default()),
            agent_of(run),
            at(Some(run.from)),
            at(run.stop),
            at(run.to),
            run.end.map_or("running", RunEnd::name),
            at(run.listed)
        )
    };
    let since = (pair.later.from - first).as_secs_f64();
    let (later, earlier) = (run(&pair.later), run(&pair.earlier));
    writeln!(text, "+{since:.3} two runs at once: {later} while {earlier}")
        .expect("a string takes all");
}

fn write_lines(text: &mut String, case: &Case<'_>, log: &Log) {
    writeln!(
        text,
        "\n== Log of {} (lines that name the request, then warnings and changes)",
        log.process
    )
    .expect("a string takes all");
    let names: BTreeSet<&str> = case.pairs.iter().map(|pair| &*pair.earlier.task).collect();
    let is_named = |line: &&Line| names.iter().any(|name| line.text.contains(name));
    let around =
        case.at_ms.saturating_sub(CHANGES_BEFORE_MS)..=case.at_ms.saturating_add(CHANGES_AFTER_MS);
    let is_change = |line: &&Line| line.is_change && around.contains(&line.at_ms);
    let changes: Vec<&Line> = log.lines.iter().filter(is_change).collect();
    let last = &changes[changes.len().saturating_sub(MAX_CHANGES)..];
    for line in log.lines.iter().filter(is_named).chain(last.iter().copied()) {
        text.push_str(&line.text);
        text.push('\n');
    }
}

fn print_summary(
    cases: &[Case<'_>],
    found: &[Overlap],
    entries: &[&Log],
    shown: &[&Log],
    logs: &[Log],
) {
    let of = |is_of: &dyn Fn(&Case<'_>) -> bool| {
        let cases = cases.iter().filter(|case| is_of(case));
        let (cases, pairs) = cases.fold((0, 0), |(n, pairs), case| (n + 1, pairs + case.shaped()));
        format!("{pairs} pairs in {cases} cases")
    };
    let has_shape = |case: &Case<'_>| case.shaped() > 0;
    let has_several = |case: &Case<'_>| case.shaped() > 1;
    let is_closed = |case: &Case<'_>| has_shape(case) && case.has_closed_links(entries);
    println!(
        "record: {} pairs in {} cases; a run that was stopped at a lost agent beside one that was done: {}; \
         of these several tasks at one moment: {}; two jobs: {}; links closed within {LINKS_CLOSED_MS} ms: {}; \
         all of these features: {}",
        found.len(),
        cases.len(),
        of(&has_shape),
        of(&has_several),
        of(&|case| case.has_two_jobs()),
        of(&is_closed),
        of(&|case| has_several(case) && is_closed(case)),
    );
    let named = lines_by_job(found, logs);
    let of_shown = |log: &Log| shown.iter().any(|shown| shown.process == log.process);
    let is_entry = |log: &Log| entries.iter().any(|entry| entry.process == log.process);
    let print = |of: &str, is_in: &dyn Fn(&Log) -> bool| {
        let by_task = events_of(found, &named, is_in, |pair| &pair.earlier.task);
        let by_job = events_of(found, &named, is_in, Overlap::job);
        println!(
            "record: pairs named in lines of {of}, by the task: {by_task:?}; by the job: {by_job:?}"
        );
    };
    print("the entries shown", &of_shown);
    print("all entries", &is_entry);
    print("all", &|_| true);
}

/// Returns the lines that name each job of the overlaps, with their logs.
fn lines_by_job<'a>(found: &'a [Overlap], logs: &'a [Log]) -> LinesByJob<'a> {
    let jobs: BTreeSet<&str> = found.iter().map(Overlap::job).collect();
    let lines = |job: &str| {
        let all = logs.iter().flat_map(|log| log.lines.iter().map(move |line| (log, line)));
        all.filter(|(_, line)| line.text.contains(job)).collect()
    };
    jobs.into_iter().map(|job| (job, lines(job))).collect()
}

/// Returns the number of pairs that have a line with their name, as `any`, and of those with each
/// event.
fn events_of(
    found: &[Overlap],
    named: &LinesByJob<'_>,
    is_in: &dyn Fn(&Log) -> bool,
    name: impl Fn(&Overlap) -> &str,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::from([("any".to_owned(), 0)]);
    for pair in found {
        // The name of a task begins with that of its job.
        let lines = named[pair.job()].iter().filter(|(log, _)| is_in(log));
        let lines = lines.filter(|(_, line)| line.text.contains(name(pair)));
        let events: BTreeSet<&str> = lines.map(|(_, line)| &*line.event).collect();
        let any = (!events.is_empty()).then_some("any");
        for event in events.into_iter().chain(any) {
            *counts.entry(event.to_owned()).or_default() += 1;
        }
    }
    counts
}

/// Reads the lines since a time of all processes, in the order of the processes' names.
fn read_logs(dir: &Path, since_ms: u64) -> Vec<Log> {
    let files = fs::read_dir(dir).into_iter().flatten().flatten().map(|file| file.path());
    let mut files: Vec<PathBuf> =
        files.filter(|path| path.extension() == Some("log".as_ref())).collect();
    files.sort_by_key(|path| (path.as_os_str().len(), path.clone()));
    let read = |path: &PathBuf| {
        let process = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let text = fs::read_to_string(path).unwrap_or_default();
        let lines = text.lines().filter_map(parse).filter(|line| line.at_ms >= since_ms).collect();
        Log { process, lines }
    };
    files.iter().map(read).collect()
}

fn parse(text: &str) -> Option<Line> {
    let line: Value = serde_json::from_str(text).ok()?;
    let field = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
    Some(Line {
        at_ms: line["at_ms"].as_u64()?,
        event: field("event"),
        agent: field("agent"),
        is_change: line.get("job").is_none() && line.get("task").is_none(),
        text: text.to_owned(),
    })
}
