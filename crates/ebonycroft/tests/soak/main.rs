//! Invariants of real processes under load and random faults: no task runs twice at the same time,
//! no executor is over its capacity, no refused job runs, and each task of a succeeded job has run.
//! Variables:
//! - `SOAK_SEED`, `SOAK_SECONDS`: the sequence of faults and its length.
//! - `SOAK_SHAPE`: `recipes` (3 entries and 11 agents in 3 zones), `notebook` (4 and 11 in 4 zones, one
//!   entry in each) or `grown` (6 and 24 in 3 zones); the first one by default.
//! - `SOAK_PROCESSES`, `SOAK_CALLERS`: entries and agents together, and callers for each agent.
//! - `SOAK_FAULTS`: how many faults may overlap, besides those of callers' paths.
//! - `SOAK_AGENT_RESTARTS`, `SOAK_RESTART_MS`: sequences of restarts of single agents beside the faults,
//!   and the mean time from one of a sequence to the next.
//! - `SOAK_BUSY`: threads that keep processors busy.
//! - `SOAK_STOP_MS`: how long executors take to end a stopped run.
//! - `SOAK_STOP_LAG_MS`: how much longer than that they take at most. The platform promises no more than
//!   `SOAK_STOP_MS`, so the default is 0; overlaps with more show the margin.
//! - `SOAK_STOPPING`: `running` or `unlisted`, what the lists of executors show of a run until then. By
//!   default half of the executors do the one and half the other.
//! - `SOAK_SLOW_PERCENT`: by how much the clock of every second executor is slow.
//! - `SOAK_LAPSE_LAG_MS`: how late executors at most end runs whose lease has expired. The platform
//!   promises that they are never late, so the default is 0; overlaps with more show the margin.
//! - `SOAK_LATE_ENDS`: 0 keeps requests, and the ends of their channels behind them, from being under
//!   way for longer than callers take to submit again.
//! - `SOAK_EXECUTORS`: `processes` lets executors be processes of their own, which are frozen, starved
//!   and killed too, alone or with their agents. An executor ends its runs by its own clock, and can't do
//!   so before it gets a processor. So what a task's second run shares with the first one then counts as
//!   an overlap only if it starts less than `ALLOWANCE` after the executor of the first one had promised
//!   its end; the others are counted and printed as beyond the allowance.
//! - `SOAK_EXECUTOR_FAULTS`: sequences of faults of such executors. Every second one has another id in
//!   each of its lives.
//! - `SOAK_HOST_CHANGES`: sequences in which a host, which is an agent with an executor that is a
//!   process, is lost at once or leaves in order, and 1 to 4 s later another one comes, with another
//!   name and other addresses. `SOAK_DRAIN_MS`: how long executors serve on before they leave, by
//!   default longer than all runs. Half of their agents are stopped then, half afterwards.
//! - `SOAK_ROLLS`: sequences of planned ends of all agents in turn, one or three at a time.
//! - `SOAK_KEEPER_RESTARTS`: 1 lets entries learn late of callers that give up, and restarts two agents
//!   when such a caller submits its job again. Few processes make these the agents that keep its claim.
//! - `SOAK_PROGRAM`: another build of the program. `SOAK_LINK_RELAYS`: 0 for one whose entries can't
//!   advertise another address for links; faults of links have no effect then.
//! - `SOAK_LOGS`: an existing folder for the decision lines of the processes. The lines of jobs that ran
//!   twice at a time are printed too. Only they show which overlaps have the record's shape: a line
//!   leads from the loss of an agent to the later run.
//! - `SOAK_RECORD`: a file for the record of these tasks in the users' form: the pairs of runs of each
//!   case, then of two thirds of the entries the lines with the platform's name of a task, then their
//!   changes. A summary counts the features of the users' record, and the pairs whose task, or job,
//!   lines name. The lines go to `SOAK_LOGS`, or to a folder beside the file with the ending `.logs`.

mod caller;
mod channel;
mod executors;
mod faults;
mod hosts;
mod keepers;
mod network;
mod overlaps;
mod process;
mod record;
mod restarts;
mod site;
mod system;

use std::{
    env,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    faults::Fault,
    site::Site,
    system::{SLOTS, System},
};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_SECONDS: u64 = 30;
/// Number of sequences of faults that go on at the same time.
const DEFAULT_FAULTS: u64 = 2;

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).ok().map_or(default, |text| text.parse().expect("the variable is a number"))
}

/// Keeps processors busy with this number of threads until the result is dropped.
fn keep_busy(threads: u64) -> Arc<()> {
    let busy = Arc::new(());
    for _ in 0..threads {
        let busy = Arc::downgrade(&busy);
        thread::spawn(move || while busy.strong_count() > 0 {});
    }
    busy
}

#[test]
fn invariants_hold_under_random_faults() {
    let (seed, seconds) =
        (env_number("SOAK_SEED", DEFAULT_SEED), env_number("SOAK_SECONDS", DEFAULT_SECONDS));
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    runtime.expect("a runtime can be built").block_on(async {
        let processes = usize::try_from(env_number("SOAK_PROCESSES", Site::selected().processes));
        record::prepare();
        let system = System::start(processes.expect("the number is small")).await;
        let _busy = keep_busy(env_number("SOAK_BUSY", 0));
        let callers = caller::start(&system, seed);
        let sequences = env_number("SOAK_FAULTS", DEFAULT_FAULTS);
        let length = Duration::from_secs(seconds);
        let (injected, keeper_restarts) = tokio::join!(
            faults::inject_all(&system, seed, sequences, length),
            keepers::restart(&system, seed, length),
        );
        let last_fault = Instant::now();
        let serving = async {
            system.until_serving().await;
            last_fault.elapsed()
        };
        let (jobs, recovery) = tokio::join!(callers.finish(), serving);
        println!("seed {seed}: all entries served again {recovery:?} after the last fault");
        // Their last lines are part of the record.
        system.executor_processes().for_each(|executor| faults::lock(executor).finish());
        let ledger = &system.ledger;
        println!(
            "seed {seed}: {} faults {injected:?}, {keeper_restarts} restarts of keepers; {} jobs, {} succeeded, {} refused, {} unknown; {} runs",
            injected.values().sum::<usize>(),
            jobs.len(),
            jobs.iter().filter(|job| job.is_succeeded()).count(),
            jobs.iter().filter(|job| job.is_refused()).count(),
            jobs.iter().filter(|job| job.is_unknown()).count(),
            ledger.count_runs(""),
        );
        println!("seed {seed}: overlaps by length, ms: {:?}", ledger.count_overlaps());
        println!("seed {seed}: gaps after runs that were not done, smallest and by length, ms: {:?}", ledger.count_gaps());
        let overlaps = overlaps::report(&system);
        assert!(overlaps.is_empty(), "seed {seed}: tasks ran twice at a time:\n{overlaps}");
        assert!(ledger.max_concurrent_runs() <= SLOTS, "seed {seed}: an executor was over its capacity");
        for job in &jobs {
            let runs = ledger.count_runs(&job.id);
            assert!(!job.is_refused() || runs == 0, "seed {seed}: {} ran though refused", job.id);
            let is_failing = |fault| injected.contains_key(fault);
            // A task that has lost as many executors as its attempts is given up.
            let may_fail = job.is_deadly()
                || [Fault::FailingExecutor, Fault::KillExecutor, Fault::LoseHost, Fault::DrainHost]
                    .iter()
                    .any(is_failing);
            assert!(!job.is_failed() || may_fail, "seed {seed}: {} was given up", job.id);
            assert!(!job.is_succeeded() || runs >= job.shape.task_count(), "seed {seed}: {} is partial", job.id);
        }
        assert!(jobs.iter().any(caller::Job::is_succeeded), "seed {seed}: nothing was served");
    });
}
