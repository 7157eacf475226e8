//! Measures the cost of decisions: `cargo run --release -p policy --example decision_cost`.

use std::{hint::black_box, time::Instant};

use policy::{
    AdmissionBuilder, FairQueue, FairQueueBuilder, HealthTrackerBuilder, JobDemand, Outcome,
    QueuedTask,
};
use types::{JobId, TeamName, UpstreamName, Urgency};

const TEAMS: usize = 20;
const UPSTREAMS: usize = 1_000;
const SLOTS: f64 = 8_000.0;
const TASKS_PER_JOB: usize = 370;
const OPERATIONS: usize = 1_000_000;
const COST_US: u64 = 250_000;
const DEADLINE_US: u64 = 3_600_000_000;

fn main() {
    for queued in [1_000, 100_000, 2_000_000] {
        let ns = push_and_pop_ns(queued);
        println!("push and pop, {TEAMS} teams, {queued} queued tasks: {ns:.0} ns");
    }
    println!("refusal, {TEAMS} waiting teams: {:.0} ns", refusal_ns());
    println!("outcome, {UPSTREAMS} upstreams: {:.0} ns", outcome_ns(1_000));
    println!("outcome, {UPSTREAMS} upstreams, half of them bad: {:.0} ns", outcome_ns(2));
}

/// Returns the mean duration of an operation in nanoseconds.
fn mean_ns(mut operation: impl FnMut(usize)) -> f64 {
    let started = Instant::now();
    for nth in 0..OPERATIONS {
        operation(nth);
    }
    started.elapsed().as_nanos() as f64 / OPERATIONS as f64
}

fn team_names() -> Vec<TeamName> {
    (0..TEAMS).map(|team| format!("team-{team}").parse().expect("valid name")).collect()
}

fn push_and_pop_ns(queued: usize) -> f64 {
    let teams = team_names();
    let mut queue = FairQueueBuilder::default().max_bytes(usize::MAX).build();
    for nth in 0..queued {
        push(&mut queue, &teams, nth);
    }
    mean_ns(|nth| {
        push(&mut queue, &teams, nth);
        let popped = queue.pop(nth as u64, |_| false).expect("a queued task");
        queue.settle(&popped.charge, COST_US + nth as u64 % 1_000);
        black_box(popped.item);
    })
}

fn refusal_ns() -> f64 {
    let teams = team_names();
    let mut queue = FairQueueBuilder::default().max_bytes(usize::MAX).build();
    let mut admission = AdmissionBuilder::default().build();
    (0..1_000_000).for_each(|nth| push(&mut queue, &teams, nth));
    teams.iter().for_each(|team| admission.on_finished(team, COST_US, 0));
    let mut demand = JobDemand {
        team: teams[0].clone(),
        weight: 1,
        quota_slots: None,
        urgency: Urgency::Normal,
        total_cost_us: COST_US * TASKS_PER_JOB as u64,
        longest_task_us: COST_US,
        deadline_us: 0,
    };
    mean_ns(|nth| {
        let now_us = nth as u64;
        demand.deadline_us = now_us + 2 * COST_US;
        let decision = admission.check(&demand, queue.backlogs(), SLOTS, now_us, now_us);
        assert!(black_box(decision).is_err());
    })
}

fn outcome_ns(bad_every: usize) -> f64 {
    let upstreams: Vec<UpstreamName> =
        (0..UPSTREAMS).map(|n| format!("up-{n}").parse().expect("valid name")).collect();
    let mut health = HealthTrackerBuilder::default().build();
    upstreams.iter().for_each(|upstream| health.add_upstream(upstream, 0));
    mean_ns(|nth| {
        let mut random = [0; 10];
        random[..8].copy_from_slice(&(nth / TASKS_PER_JOB).to_be_bytes());
        let job = JobId::from_parts(0, random);
        let upstream = &upstreams[nth * 7_919 % UPSTREAMS];
        let outcome = match nth % bad_every {
            0 => Outcome::Failure,
            _ => Outcome::Success { run_us: COST_US, expected_us: COST_US },
        };
        health.record(upstream, job, outcome, nth as u64);
    })
}

fn push(queue: &mut FairQueue<usize>, teams: &[TeamName], nth: usize) {
    let task = QueuedTask {
        team: teams[nth % TEAMS].clone(),
        weight: 1 + (nth % TEAMS) as u32,
        urgency: Urgency::ALL[nth / TEAMS % Urgency::ALL.len()],
        cost_us: COST_US,
        deadline_us: DEADLINE_US + nth as u64 * 7_919 % 1_000_000,
        bytes: 1_000,
        item: nth,
    };
    queue.push(task).expect("free capacity");
}
