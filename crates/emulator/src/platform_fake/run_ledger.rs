use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{run_reports, steady_time};

/// A record of every run at a group of executors, with which tests find tasks that ran twice at
/// the same time. Clones share the record.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    runs: Arc<Mutex<Vec<RecordedRun>>>,
    /// Whether each change is written to the standard output.
    is_reported: bool,
}

/// A run of a task at an executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRun {
    /// Name of the task.
    pub task: String,
    /// Id of the executor.
    pub executor: String,
    /// Start.
    #[serde(with = "steady_time")]
    pub from: Instant,
    /// First request to stop it.
    #[serde(with = "steady_time::optional")]
    pub stop: Option<Instant>,
    /// Time until which it has ended by the executor's promises: the end of its lease, or its time
    /// limit after a stop.
    #[serde(with = "steady_time::optional")]
    pub due: Option<Instant>,
    /// End.
    #[serde(with = "steady_time::optional")]
    pub to: Option<Instant>,
    /// How it ended.
    pub end: Option<RunEnd>,
    /// First list of the executor that had its end.
    #[serde(with = "steady_time::optional")]
    pub listed: Option<Instant>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunEnd {
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
    /// It was asked to stop.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Its executor crashed, or was ended by the test.
    Crashed,
}

impl RunEnd {
    /// Returns the name in the executor's lists.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Crashed => "crashed",
        }
    }
}

/// Whether a list of the executor had the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listing {
    /// A list had it.
    Listed,
    /// None had it.
    Unlisted,
}

/// Which of two overlapping runs, in the order of their starts, was first asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoppedRun {
    /// None of the two.
    Neither,
    /// The run that started first.
    Earlier,
    /// The run that started second.
    Later,
}

/// Two overlapping runs of one task, in the order of their starts.
struct Overlap<'a> {
    earlier: &'a RecordedRun,
    later: &'a RecordedRun,
}

/// Lengths up to which overlaps, and gaps, are counted together, milliseconds.
const LENGTHS_MS: [u64; 8] = [2, 5, 10, 20, 50, 100, 200, 500];

impl RunLedger {
    /// Creates a record whose changes are written to the standard output, before those who made them
    /// go on.
    pub fn reporting() -> Self {
        Self { is_reported: true, ..Self::default() }
    }

    /// Records the start of a run and returns its index in the ledger.
    pub(crate) fn record_start(&self, task: &str, executor: &str) -> usize {
        let mut runs = self.lock();
        let (task, executor) = (task.to_owned(), executor.to_owned());
        let from = Instant::now();
        runs.push(RecordedRun {
            task,
            executor,
            from,
            stop: None,
            due: None,
            to: None,
            end: None,
            listed: None,
        });
        let index = runs.len() - 1;
        self.report(index, &runs[index]);
        index
    }

    /// Records the first request to stop a run.
    pub(crate) fn record_stop(&self, run: usize) {
        self.change(run, |run| {
            run.stop.get_or_insert_with(Instant::now);
        });
    }

    /// Records until when a run is to have ended.
    pub(crate) fn record_due(&self, run: usize, due: Instant) {
        self.change(run, |run| run.due = Some(due));
    }

    pub(crate) fn record_end(&self, run: usize, end: RunEnd) {
        self.record_end_at(run, Instant::now(), end);
    }

    pub(crate) fn record_end_at(&self, run: usize, at: Instant, end: RunEnd) {
        self.change(run, |run| {
            run.to.get_or_insert(at);
            run.end.get_or_insert(end);
        });
    }

    /// Records that a list of the executor has the end of a run.
    pub(crate) fn record_listing(&self, run: usize) {
        self.change(run, |run| {
            run.listed.get_or_insert_with(Instant::now);
        });
    }

    /// Returns every run, in the order of their starts.
    pub fn runs(&self) -> Vec<RecordedRun> {
        self.lock().clone()
    }

    /// Returns the number of runs of tasks whose name starts with `prefix`.
    pub fn count_runs(&self, prefix: &str) -> usize {
        self.lock().iter().filter(|run| run.task.starts_with(prefix)).count()
    }

    /// Returns the starts of a task in their order.
    pub fn starts_of(&self, task: &str) -> Vec<Instant> {
        self.lock().iter().filter(|run| run.task == task).map(|run| run.from).collect()
    }

    /// Returns the number of runs of tasks whose name starts with `prefix` that were asked to stop.
    pub fn count_stops(&self, prefix: &str) -> usize {
        let is_stopped = |run: &&RecordedRun| run.task.starts_with(prefix) && run.stop.is_some();
        self.lock().iter().filter(is_stopped).count()
    }

    /// Returns the number of runs that have not ended.
    pub fn running(&self) -> usize {
        self.lock().iter().filter(|run| run.to.is_none()).count()
    }

    /// Returns the number of runs that succeeded.
    pub fn done(&self) -> usize {
        self.lock().iter().filter(|run| run.is_done()).count()
    }

    /// Returns the largest number of concurrent runs at any executor.
    pub fn max_concurrent_runs(&self) -> usize {
        let runs = self.lock();
        let mut changes = BTreeMap::<&str, Vec<(Instant, isize)>>::new();
        for run in runs.iter() {
            let changes = changes.entry(&run.executor).or_default();
            changes.push((run.from, 1));
            changes.extend(run.to.map(|to| (to, -1)));
        }
        let most = |mut changes: Vec<(Instant, isize)>| {
            // Ends come before starts of the same instant.
            changes.sort_unstable();
            let sums = changes.iter().scan(0_isize, |sum, (_, change)| {
                *sum += change;
                Some(*sum)
            });
            sums.max().unwrap_or(0)
        };
        let most = changes.into_values().map(most).max().unwrap_or(0);
        usize::try_from(most).unwrap_or(0)
    }

    /// Returns every pair of overlapping runs of one task: the times of both since the start of the
    /// earlier one, the length of the overlap, and how long ago it began.
    pub fn overlaps(&self) -> Vec<String> {
        overlaps(&self.lock()).iter().map(Overlap::to_string).collect()
    }

    /// Returns every pair of overlapping runs of one task, in the order of their starts.
    pub fn overlapping_runs(&self) -> Vec<[RecordedRun; 2]> {
        let runs = self.lock();
        let pair = |overlap: &Overlap<'_>| [overlap.earlier.clone(), overlap.later.clone()];
        overlaps(&runs).iter().map(pair).collect()
    }

    /// Returns the number of overlaps by their length, as the smallest of some limits in
    /// milliseconds that it does not exceed, and by the run that was first asked to stop.
    pub fn count_overlaps(&self) -> BTreeMap<(u64, StoppedRun), usize> {
        let mut counts = BTreeMap::new();
        for overlap in overlaps(&self.lock()) {
            *counts.entry((limit_ms(overlap.length()), overlap.stopped())).or_insert(0) += 1;
        }
        counts
    }

    /// Returns the smallest gap between the end of a run that was not done and the start of the
    /// task's next run, and the number of gaps by their length as that of overlaps; both by the way
    /// in which the run ended, and by whether a list had its end before the start. If none had,
    /// only bounds on times keep the two runs apart.
    pub fn count_gaps(&self) -> BTreeMap<(RunEnd, Listing), (Duration, BTreeMap<u64, usize>)> {
        let runs = self.lock();
        let mut found = BTreeMap::new();
        for pair in by_task(&runs).values().flat_map(|runs| runs.windows(2)) {
            let [earlier @ RecordedRun { to: Some(to), end: Some(end), .. }, later] = pair else {
                continue;
            };
            let Some(gap) = later.from.checked_duration_since(*to) else { continue };
            if *end != RunEnd::Done {
                let is_listed = earlier.listed.is_some_and(|listed| listed <= later.from);
                let listing = if is_listed { Listing::Listed } else { Listing::Unlisted };
                let found = found.entry((*end, listing));
                let (smallest, counts) = found.or_insert((gap, BTreeMap::new()));
                *smallest = gap.min(*smallest);
                *counts.entry(limit_ms(gap)).or_insert(0) += 1;
            }
        }
        found
    }

    fn change(&self, index: usize, change: impl FnOnce(&mut RecordedRun)) {
        let run = &mut self.lock()[index];
        let before = self.is_reported.then(|| run.clone());
        change(run);
        if before.is_some_and(|before| before != *run) {
            self.report(index, run);
        }
    }

    fn report(&self, index: usize, run: &RecordedRun) {
        if self.is_reported {
            run_reports::write(index, run);
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Vec<RecordedRun>> {
        self.runs.lock().expect("no holder of the lock panics")
    }
}

impl RecordedRun {
    fn is_done(&self) -> bool {
        self.end == Some(RunEnd::Done)
    }
}

/// Returns the smallest limit that the length does not exceed, milliseconds.
fn limit_ms(length: Duration) -> u64 {
    let is_within = |ms: &u64| length <= Duration::from_millis(*ms);
    LENGTHS_MS.into_iter().find(is_within).unwrap_or(u64::MAX)
}

/// Returns the runs of each task in the order of their starts.
fn by_task(runs: &[RecordedRun]) -> BTreeMap<&str, Vec<&RecordedRun>> {
    let mut by_task = BTreeMap::<&str, Vec<&RecordedRun>>::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    // Reports of several processes arrive in another order.
    by_task.values_mut().for_each(|runs| runs.sort_by_key(|run| run.from));
    by_task
}

fn overlaps(runs: &[RecordedRun]) -> Vec<Overlap<'_>> {
    let mut found = Vec::new();
    for runs in by_task(runs).values() {
        for (i, earlier) in runs.iter().copied().enumerate() {
            let is_same_time = |later: &&&RecordedRun| earlier.to.is_none_or(|to| to > later.from);
            let later = runs[i + 1..].iter().filter(is_same_time);
            found.extend(later.map(|later| Overlap { earlier, later }));
        }
    }
    found
}

impl Overlap<'_> {
    fn length(&self) -> Duration {
        let now = Instant::now();
        let end = |run: &RecordedRun| run.to.unwrap_or(now);
        end(self.earlier).min(end(self.later)) - self.later.from
    }

    fn stopped(&self) -> StoppedRun {
        match (self.earlier.stop, self.later.stop) {
            (None, None) => StoppedRun::Neither,
            (Some(earlier), Some(later)) if earlier <= later => StoppedRun::Earlier,
            (Some(_), None) => StoppedRun::Earlier,
            (_, Some(_)) => StoppedRun::Later,
        }
    }
}

impl fmt::Display for Overlap<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.earlier.from;
        write!(f, "{}", self.earlier.task)?;
        for run in [self.earlier, self.later] {
            write!(f, "; {} from {} ms", run.executor, (run.from - start).as_millis())?;
            if let Some(stop) = run.stop {
                write!(f, ", stop at {} ms", (stop - start).as_millis())?;
            }
            match run.to {
                Some(to) => write!(f, ", to {} ms", (to - start).as_millis())?,
                None => f.write_str(", running")?,
            }
            if let Some(end) = run.end {
                write!(f, " ({})", end.name())?;
            }
        }
        let (length, since) = (self.length().as_millis(), self.later.from.elapsed().as_millis());
        write!(f, "; overlap of {length} ms, {since} ms ago")
    }
}
