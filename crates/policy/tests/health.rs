//! Ejection of faulty upstreams in a simulated pool, in which a task is assigned to an
//! upstream only when a slot is free.

use std::collections::BTreeMap;

use policy::{HealthChange, HealthState, HealthTracker, HealthTrackerBuilder, Outcome};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::{JobId, UpstreamName};

const SLOTS: usize = 8;
const RUN_US: u64 = 250_000;
const FAIL_US: u64 = 2_000;
const TIMEOUT_US: u64 = 2_000_000;
const POLL_US: u64 = 50_000;
const SECOND_US: u64 = 1_000_000;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    FailsFast,
    Slow,
    Unresponsive,
    Flaps { every_us: u64 },
}

/// Load on the pool: jobs of `tasks` tasks at 80% of the capacity.  A fraction `bad_jobs` of
/// the jobs fails in every task; in the others a fraction `bad_tasks` of the tasks fails.
#[derive(Clone, Copy)]
struct Load {
    tasks: usize,
    bad_jobs: f64,
    bad_tasks: f64,
    seconds: u64,
}

struct Attempt {
    job: usize,
    upstream: usize,
    outcome: Outcome,
}

struct Pool {
    faults: Vec<Fault>,
    names: Vec<UpstreamName>,
    health: HealthTracker,
    free_slots: Vec<usize>,
    rng: StdRng,
    changes: Vec<HealthChange>,
}

/// Results of a simulation.  `finished` counts the attempts at tasks of jobs that are not
/// bad, and `failed` the jobs among these with a failed attempt; both leave out the first
/// second.
struct Report {
    first_bad_us: Option<u64>,
    changes: Vec<HealthChange>,
    finished: usize,
    failed: usize,
}

impl Pool {
    fn new(faults: &[Fault], seed: u64) -> Self {
        let names: Vec<UpstreamName> =
            (0..faults.len()).map(|n| format!("up-{n}").parse().expect("valid name")).collect();
        let mut health = HealthTrackerBuilder::default().build();
        names.iter().for_each(|name| health.add_upstream(name, 0));
        let free_slots = vec![SLOTS; faults.len()];
        let rng = StdRng::seed_from_u64(seed);
        Self { faults: faults.to_vec(), names, health, free_slots, rng, changes: Vec::new() }
    }

    /// Picks a free upstream at random by weight.
    fn place(&mut self, now_us: u64) -> Option<usize> {
        let weights: Vec<f64> = (0..self.names.len())
            .map(|n| self.free_slots[n] as f64 * self.health.weight(&self.names[n], now_us))
            .collect();
        let mut point = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        weights.iter().position(|&weight| {
            point -= weight;
            weight > 0.0 && point <= 0.0
        })
    }

    fn outcome(&mut self, upstream: usize, is_bad_job: bool, now_us: u64) -> (u64, Outcome) {
        let run_us = (RUN_US as f64 * self.rng.random_range(0.2..1.8)) as u64;
        let success = |run_us, expected_us| (run_us, Outcome::Success { run_us, expected_us });
        match self.faults[upstream] {
            _ if is_bad_job => (FAIL_US, Outcome::Failure),
            Fault::FailsFast => (FAIL_US, Outcome::Failure),
            Fault::Flaps { every_us } if now_us / every_us % 2 == 1 => (FAIL_US, Outcome::Failure),
            Fault::Slow => success(8 * run_us, run_us),
            Fault::Unresponsive => (TIMEOUT_US, Outcome::NoAnswer),
            Fault::None | Fault::Flaps { .. } => success(run_us, run_us),
        }
    }
}

fn job_id(job: usize) -> JobId {
    let mut random = [0; 10];
    random[..8].copy_from_slice(&(job as u64).to_be_bytes());
    JobId::from_parts(0, random)
}

fn simulate(faults: &[Fault], load: Load, seed: u64) -> Report {
    let mut pool = Pool::new(faults, seed);
    let slots = (faults.len() * SLOTS) as f64;
    let job_every_us = load.tasks as f64 * RUN_US as f64 / (0.8 * slots);
    let mut next_job_us = 0.0;
    let mut jobs: Vec<bool> = Vec::new();
    let mut queue = std::collections::VecDeque::new();
    let mut running: BTreeMap<(u64, usize), Attempt> = BTreeMap::new();
    let mut failed = std::collections::BTreeSet::new();
    let mut first_bad_us = None;
    let (mut starts, mut finished, mut next_poll_us) = (0, 0, 0);
    loop {
        let next_end = running.first_key_value().map_or(u64::MAX, |(&(at, _), _)| at);
        let now_us = next_end.min(next_job_us as u64).min(next_poll_us);
        if now_us > load.seconds * SECOND_US {
            return Report { first_bad_us, changes: pool.changes, finished, failed: failed.len() };
        }
        if now_us == next_poll_us {
            next_poll_us += POLL_US;
            pool.changes.extend(pool.health.poll(now_us));
        }
        if now_us == next_job_us as u64 {
            queue.extend(std::iter::repeat_n(jobs.len(), load.tasks));
            jobs.push(pool.rng.random_bool(load.bad_jobs));
            next_job_us += -pool.rng.random_range(1e-9..1.0f64).ln() * job_every_us;
        }
        while let Some(entry) = running.first_entry().filter(|entry| entry.key().0 == now_us) {
            let Attempt { job, upstream, outcome } = entry.remove();
            pool.free_slots[upstream] += 1;
            pool.health.record(&pool.names[upstream], job_id(job), outcome, now_us);
            if !matches!(outcome, Outcome::Success { run_us, expected_us } if run_us == expected_us)
            {
                first_bad_us.get_or_insert(now_us);
            }
            let is_counted = !jobs[job] && now_us > SECOND_US;
            finished += usize::from(is_counted);
            if is_counted && !matches!(outcome, Outcome::Success { .. }) {
                failed.insert(job);
            }
        }
        while !queue.is_empty() {
            let Some(upstream) = pool.place(now_us) else { break };
            let job = queue.pop_front().expect("a queued task");
            let is_bad = jobs[job] || pool.rng.random_bool(load.bad_tasks);
            let (run_us, outcome) = pool.outcome(upstream, is_bad, now_us);
            pool.free_slots[upstream] -= 1;
            running.insert((now_us + run_us, starts), Attempt { job, upstream, outcome });
            starts += 1;
        }
    }
}

fn ejections(report: &Report) -> impl Iterator<Item = &HealthChange> {
    report.changes.iter().filter(|change| change.to == HealthState::Ejected)
}

fn pool_with(fault: Fault, upstreams: usize) -> Vec<Fault> {
    let mut faults = vec![Fault::None; upstreams];
    faults[3] = fault;
    faults
}

types::cases! {
    fn a_faulty_upstream_is_ejected(fault: Fault, tasks: usize, within_us: u64) {
        for seed in 0..5 {
            let load = Load { tasks, bad_jobs: 0.0, bad_tasks: 0.0, seconds: 20 };
            let report = simulate(&pool_with(fault, 11), load, seed);
            let first = ejections(&report).next().expect("an ejection");
            let delay_us = first.at_us - report.first_bad_us.expect("a bad outcome");
            println!("ejected {delay_us} us after the first bad outcome");
            assert!(delay_us <= within_us, "ejected after {delay_us} us");
            assert!(ejections(&report).all(|change| change.upstream.as_str() == "up-3"));
        }
    }
    fails_fast_under_single_tasks: (Fault::FailsFast, 1, 500_000),
    fails_fast_under_large_jobs: (Fault::FailsFast, 100, 300_000),
    slow: (Fault::Slow, 10, 3_000_000),
    unresponsive: (Fault::Unresponsive, 10, 1_000_000),
    flapping: (Fault::Flaps { every_us: 3_000_000 }, 10, 700_000),
}

types::cases! {
    fn healthy_upstreams_are_not_ejected(upstreams: usize, load: Load) {
        for seed in 0..5 {
            let report = simulate(&vec![Fault::None; upstreams], load, seed);
            let ejections = ejections(&report).count();
            assert_eq!(ejections, 0, "seed {seed}: {ejections} ejections");
        }
    }
    no_faults: (11, Load { tasks: 10, bad_jobs: 0.0, bad_tasks: 0.0, seconds: 60 }),
    one_large_bad_job_in_twenty: (11, Load { tasks: 370, bad_jobs: 0.05, bad_tasks: 0.0, seconds: 60 }),
    bad_jobs_of_single_tasks: (11, Load { tasks: 1, bad_jobs: 0.3, bad_tasks: 0.0, seconds: 60 }),
    bad_tasks_in_every_job: (11, Load { tasks: 20, bad_jobs: 0.0, bad_tasks: 0.3, seconds: 60 }),
    bad_tasks_in_large_jobs: (11, Load { tasks: 370, bad_jobs: 0.0, bad_tasks: 0.3, seconds: 60 }),
    every_job_is_bad: (11, Load { tasks: 10, bad_jobs: 1.0, bad_tasks: 0.0, seconds: 10 }),
    bad_jobs_on_two_upstreams: (2, Load { tasks: 10, bad_jobs: 0.2, bad_tasks: 0.0, seconds: 60 }),
}

#[test]
fn few_jobs_fail_after_the_first_second() {
    let load = Load { tasks: 1, bad_jobs: 0.0, bad_tasks: 0.0, seconds: 60 };
    let reports = (0..5).map(|seed| simulate(&pool_with(Fault::FailsFast, 11), load, seed));
    let (failed, finished) = reports.fold((0, 0), |(failed, finished), report| {
        (failed + report.failed, finished + report.finished)
    });
    println!("{failed} of {finished} jobs failed");
    assert!(failed * 1_000 < finished, "{failed} of {finished} jobs failed");
}

#[test]
fn two_faulty_upstreams_are_ejected_despite_bad_jobs() {
    let mut faults = pool_with(Fault::FailsFast, 11);
    faults[5] = Fault::FailsFast;
    let load = Load { tasks: 10, bad_jobs: 0.05, bad_tasks: 0.0, seconds: 10 };
    for seed in 0..5 {
        let report = simulate(&faults, load, seed);
        for name in ["up-3", "up-5"] {
            let ejection = ejections(&report).find(|change| change.upstream.as_str() == name);
            let at_us = ejection.expect("an ejection").at_us;
            println!("{name} ejected at {at_us} us");
            assert!(at_us <= 3 * SECOND_US / 2, "{name} ejected at {at_us} us");
        }
    }
}

#[test]
fn ejections_are_capped_and_every_faulty_upstream_changes_state() {
    let faults: Vec<_> =
        (0..10).map(|n| if n < 5 { Fault::FailsFast } else { Fault::None }).collect();
    let report =
        simulate(&faults, Load { tasks: 10, bad_jobs: 0.0, bad_tasks: 0.0, seconds: 3 }, 1);
    let mut ejected = 0_i32;
    for change in &report.changes {
        ejected += i32::from(change.to == HealthState::Ejected);
        ejected -= i32::from(change.from == HealthState::Ejected);
        assert!(ejected <= 3);
    }
    let has_changed_state =
        |n: usize| report.changes.iter().any(|c| c.upstream.as_str() == format!("up-{n}"));
    assert!((0..5).all(has_changed_state));
}

#[test]
fn back_off_doubles_and_a_recovered_upstream_regains_its_weight() {
    let name: UpstreamName = "up".parse().expect("valid name");
    let other: UpstreamName = "other".parse().expect("valid name");
    let mut health = HealthTrackerBuilder::default().build();
    health.add_upstream(&name, 0);
    health.add_upstream(&other, 0);
    let mut now_us = 0;
    for back_off_us in [2, 4, 8, 16, 32, 60, 60].map(|seconds| seconds * SECOND_US) {
        let mut jobs = 0..100;
        while health.state(&name) != Some(HealthState::Ejected) {
            health.record(&name, job_id(jobs.next().expect("ejected")), Outcome::Failure, now_us);
        }
        health.poll(now_us + back_off_us - 1);
        assert_eq!(health.state(&name), Some(HealthState::Ejected));
        now_us += back_off_us;
        health.poll(now_us);
        assert_eq!(health.state(&name), Some(HealthState::Probation));
        assert!(health.weight(&name, now_us) <= 0.1);
    }
    let mut last = 0.0;
    while health.state(&name) == Some(HealthState::Probation) {
        let weight = health.weight(&name, now_us);
        assert!(weight >= last && weight - last < 0.2);
        last = weight;
        now_us += 200_000;
        health.record(&name, job_id(1), Outcome::Success { run_us: 1, expected_us: 1 }, now_us);
    }
    assert_eq!(health.weight(&name, now_us), 1.0);
}
