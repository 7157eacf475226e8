//! Tests of learned run times where estimates are absent or wrong.

mod common;

use common::{attempts, cores, job, report, step, submit, upstream};
use direct::{
    AgentHello, AgentKey, AttemptId, AttemptOutcome, DirectJob, Dispatcher, DispatcherEffect,
    JobKey, JobOutcome, JobStep, Timing,
};

const AGENTS: u32 = 4;
const CORES: u32 = 8;
const TICK_MS: u64 = 12;

/// An entry and agents whose upstreams run every task for the same time.
struct Pool {
    entry: Dispatcher,
    agents: u32,
    run_ms: u32,
    now_ms: u64,
    /// Time of the end, agent and attempt of each run.
    running: Vec<(u64, AgentKey, AttemptId)>,
    starts: usize,
    answers: Vec<(JobKey, JobOutcome)>,
}

impl Pool {
    fn new(agents: u32, run_ms: u32) -> Self {
        let mut entry = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
        for n in 0..agents {
            let up = upstream(&format!("agent-{n}"), 1);
            let hello = AgentHello { agent: up.id.clone(), incarnation: 1, entries: Vec::new() };
            let (key, _, _) = entry.on_agent_hello(&hello, 0);
            entry.on_report(key, report(Some(up), cores(CORES), 0), 0);
        }
        Self {
            entry,
            agents,
            run_ms,
            now_ms: 0,
            running: Vec::new(),
            starts: 0,
            answers: Vec::new(),
        }
    }

    fn handle(&mut self, effects: &[DispatcherEffect]) {
        let end_ms = self.now_ms + u64::from(self.run_ms);
        let sent = attempts(effects);
        self.starts += sent.len();
        self.running.extend(sent.into_iter().map(|(agent, id)| (end_ms, agent, id)));
        for effect in effects {
            if let DispatcherEffect::Answer(key, outcome) = effect {
                self.answers.push((*key, *outcome));
            }
        }
    }

    fn submit(&mut self, job: DirectJob) -> JobKey {
        let (key, effects) = submit(&mut self.entry, job, self.now_ms);
        self.handle(&effects);
        key
    }

    fn pass(&mut self, length_ms: u64) {
        for _ in 0..length_ms {
            self.now_ms += 1;
            let now_ms = self.now_ms;
            for n in 0..self.agents {
                let key = AgentKey(n);
                let is_end = |run: &mut (u64, AgentKey, AttemptId)| run.0 <= now_ms && run.1 == key;
                let ended: Vec<_> = self.running.extract_if(.., is_end).collect();
                if ended.is_empty() && !now_ms.is_multiple_of(200) {
                    continue;
                }
                let used = self.running.iter().filter(|(_, agent, _)| *agent == key).count();
                let free = CORES - u32::try_from(used).expect("few runs");
                let mut report = report(None, cores(free), u64::MAX);
                let done = AttemptOutcome::Done { run_ms: self.run_ms };
                report.outcomes = ended.into_iter().map(|(_, _, id)| (id, done)).collect();
                let effects = self.entry.on_report(key, report, now_ms);
                self.handle(&effects);
            }
            if now_ms.is_multiple_of(TICK_MS) {
                let effects = self.entry.tick(now_ms);
                self.handle(&effects);
            }
        }
    }

    fn succeeded(&self) -> usize {
        self.answers.iter().filter(|(_, outcome)| *outcome == JobOutcome::Succeeded).count()
    }
}

fn job_of(id: &str, tasks: u32, estimate_ms: u32) -> DirectJob {
    let steps = vec![JobStep { estimate_ms, ..step(tasks) }];
    DirectJob { steps, ..job(id, tasks) }
}

/// Runs a job of 370 tasks, of which the caller waits for the end.
fn run_large(pool: &mut Pool, id: &str, estimate_ms: u32) {
    let large = DirectJob { caller_timeout_ms: 600_000, ..job_of(id, 370, estimate_ms) };
    pool.submit(large);
    while !pool.running.is_empty() {
        pool.pass(1);
    }
}

/// Submits `jobs` jobs of two tasks with an estimate of 200 ms, one every 20 ms.
fn submit_small(pool: &mut Pool, prefix: &str, jobs: usize) {
    for n in 0..jobs {
        pool.submit(job_of(&format!("{prefix}-{n}"), 2, 200));
        pool.pass(20);
    }
    pool.pass(2_000);
}

// The learned ratio of run time to estimate reached 200, and the entry refused all 80 jobs.
#[test]
fn after_jobs_without_an_estimate_jobs_with_a_correct_one_all_start_on_idle_upstreams() {
    let mut pool = Pool::new(AGENTS, 200);
    for n in 0..4 {
        run_large(&mut pool, &format!("large-{n}"), 0);
    }
    assert_eq!(pool.succeeded(), 4);
    submit_small(&mut pool, "small", 80);
    assert_eq!(pool.succeeded(), 84, "{:?}", pool.answers);
}

// A learned run time with an objective that does not include it would refuse every such job.
#[test]
fn jobs_without_an_estimate_start_after_their_run_time_has_been_learned() {
    let mut pool = Pool::new(AGENTS, 200);
    run_large(&mut pool, "large", 0);
    for n in 0..20 {
        pool.submit(job_of(&format!("small-{n}"), 2, 0));
        pool.pass(30);
    }
    pool.pass(1_000);
    assert_eq!(pool.succeeded(), 21, "{:?}", pool.answers);
}

// An estimate of 1 ms for tasks of 200 ms: the ratio and the speeds are bounded.
#[test]
fn estimates_that_are_far_too_short_do_not_make_the_upstreams_look_slow_to_other_kinds() {
    let mut pool = Pool::new(1, 200);
    run_large(&mut pool, "large", 1);
    for n in 0..20 {
        pool.submit(DirectJob { kind: "other".into(), ..job_of(&format!("other-{n}"), 2, 200) });
        pool.pass(100);
    }
    pool.pass(1_000);
    assert_eq!(pool.succeeded(), 21, "{:?}", pool.answers);
}

// Tasks took ten times their estimate for a while. Every job was refused afterwards, and none
// corrected the learned ratio.
#[test]
fn a_kind_that_is_ruled_out_starts_one_job_at_a_time_which_corrects_a_wrong_value() {
    let mut pool = Pool::new(AGENTS, 2_000);
    run_large(&mut pool, "large", 200);
    let before = pool.starts;
    for n in 0..20 {
        pool.submit(job_of(&format!("burst-{n}"), 2, 200));
    }
    assert_eq!(pool.starts - before, 2, "one job of two tasks starts");
    pool.pass(1_000);
    assert_eq!(pool.starts - before, 2, "the others are refused without a start");
    let refused =
        |(_, outcome): &&(JobKey, JobOutcome)| matches!(outcome, JobOutcome::NotRun { .. });
    assert_eq!(pool.answers.iter().filter(refused).count(), 19);
    pool.pass(1_000);
    pool.run_ms = 200;
    submit_small(&mut pool, "first", 20);
    let before = pool.succeeded();
    submit_small(&mut pool, "later", 80);
    assert_eq!(pool.succeeded() - before, 80, "{:?}", pool.answers);
}

// Without jobs that run, only the passage of time corrects the learned ratio.
#[test]
fn a_learned_ratio_decays_while_nothing_of_the_kind_runs() {
    let mut pool = Pool::new(AGENTS, 2_000);
    run_large(&mut pool, "large", 200);
    pool.pass(24_000);
    pool.run_ms = 200;
    let before = pool.starts;
    for n in 0..16 {
        pool.submit(job_of(&format!("burst-{n}"), 2, 200));
    }
    assert_eq!(pool.starts - before, 32, "all start at once on idle upstreams");
}

// A probe must not start what is late by its own estimate.
#[test]
fn a_job_whose_correct_estimate_exceeds_the_time_left_is_refused_without_a_start() {
    let mut pool = Pool::new(AGENTS, 200);
    run_large(&mut pool, "large", 200);
    let before = pool.starts;
    let hopeless = DirectJob { stretch: 0.5, caller_timeout_ms: 180, ..job_of("j", 2, 200) };
    let key = pool.submit(hopeless);
    pool.pass(100);
    assert_eq!(pool.starts, before);
    assert!(
        matches!(pool.answers.last(), Some((last, JobOutcome::NotRun { .. })) if *last == key),
        "{:?}",
        pool.answers.last()
    );
}
