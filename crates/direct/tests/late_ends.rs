//! Simulation of callers who give up and submit their jobs again at the other entry while the ends of
//! their first connections are under way or lost.
//!
//! Guards against a second run of a task beside one whose caller has gone unnoticed: nothing that one
//! entry knows tells which submission is the later one.

mod common;

use std::collections::BTreeMap;

use common::{
    job,
    simulation::{Entry, Host, HostFaults, Link, STEP_MS, running},
};
use direct::{DirectJob, JobKey, JobOutcome, Timing};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 16;
const AGENTS: usize = 3;
const ENTRIES: usize = 2;
const JOB_PERIOD_MS: u64 = 250;
/// Time after which no new jobs come.
const LAST_JOB_MS: u64 = 15_000;
/// Time for which a caller who doesn't give up waits, milliseconds.
const PATIENCE_MS: u64 = 20_000;
/// Submissions of a job; the caller waits for the answer to the last one.
const MAX_SUBMISSIONS: u32 = 3;
/// Longest time after which a caller gives up early, milliseconds.
const MAX_GIVE_UP_MS: u64 = 80;
const END_MS: u64 = LAST_JOB_MS + 2 * (MAX_GIVE_UP_MS + 1_300) + PATIENCE_MS + 1_000;
/// Longest time for which the end of a connection is under way, milliseconds.
const MAX_END_DELAY_MS: u64 = 10_000;

/// When the ends of callers' connections arrive.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ends {
    Prompt,
    /// A third of them each is prompt, late and lost.
    Mixed,
}

/// Whether agents are killed and replaced.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Agents {
    Lasting,
    Replaced,
}

enum Event {
    Submit { id: String, e: usize, number: u32 },
    Release { e: usize, key: JobKey },
    GiveUp { id: String, e: usize, number: u32, key: JobKey },
    End { e: usize, key: JobKey },
    Kill { h: usize },
    Restart { h: usize },
}

/// What a run of the simulation showed.
#[derive(Default)]
struct Observed {
    /// Tasks that ran twice at a time, with the first time at which they did.
    twice: BTreeMap<String, u64>,
    resubmissions: u32,
    /// Submissions whose callers waited in vain for a success.
    unserved: Vec<String>,
}

struct Simulation {
    rng: StdRng,
    ends: Ends,
    hosts: Vec<Host>,
    entries: Vec<Entry>,
    events: BTreeMap<(u64, usize), Event>,
    next_event: usize,
    /// Submissions whose callers wait for the answer.
    patient: Vec<(usize, JobKey, String)>,
    observed: Observed,
}

impl Simulation {
    fn new(seed: u64, ends: Ends, agents: Agents) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let faults = HostFaults { stop_ms: Timing::default().stop_ms, ..HostFaults::default() };
        let links = || (0..ENTRIES).map(|_| Link::default()).collect();
        let hosts = (0..AGENTS).map(|n| Host::new(n, links(), faults)).collect();
        let entry = |e: usize| Entry::new(e, seed * 100 + u64::try_from(e).unwrap());
        let mut simulation = Self {
            rng,
            ends,
            hosts,
            entries: (0..ENTRIES).map(entry).collect(),
            events: BTreeMap::new(),
            next_event: 0,
            patient: Vec::new(),
            observed: Observed::default(),
        };
        simulation.plan_jobs();
        if agents == Agents::Replaced {
            (0..AGENTS).for_each(|h| simulation.plan_kills(h));
        }
        simulation
    }

    fn plan(&mut self, at_ms: u64, event: Event) {
        self.events.insert((at_ms, self.next_event), event);
        self.next_event += 1;
    }

    fn plan_jobs(&mut self) {
        for at_ms in (JOB_PERIOD_MS..LAST_JOB_MS).step_by(usize::try_from(JOB_PERIOD_MS).unwrap()) {
            let e = self.rng.random_range(0..ENTRIES);
            self.plan(at_ms, Event::Submit { id: format!("j{at_ms}"), e, number: 1 });
        }
    }

    fn plan_kills(&mut self, h: usize) {
        let mut at_ms = 0;
        while at_ms < LAST_JOB_MS {
            at_ms += self.rng.random_range(2_000..8_000);
            self.plan(at_ms, Event::Kill { h });
            at_ms += self.rng.random_range(10..1_500);
            self.plan(at_ms, Event::Restart { h });
        }
    }

    fn carry_out(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Submit { id, e, number } => self.submit(id, e, number, now_ms),
            Event::Release { e, key } => self.entries[e].release(&mut self.hosts, key, now_ms),
            Event::GiveUp { id, e, number, key } => self.give_up(id, e, number, key, now_ms),
            Event::End { e, key } => self.entries[e].cancel(&mut self.hosts, key, now_ms),
            Event::Kill { h } => self.hosts[h].kill(),
            Event::Restart { h } => self.hosts[h].restart(now_ms),
        }
    }

    fn submit(&mut self, id: String, e: usize, number: u32, now_ms: u64) {
        let submitted = DirectJob {
            caller_timeout_ms: PATIENCE_MS,
            queue_timeout_ms: PATIENCE_MS,
            allowance_ms: 15_000,
            ..job(&id, 1)
        };
        self.observed.resubmissions += u32::from(number > 1);
        // The first request of a connection is held.
        let is_held = self.rng.random_bool(0.5);
        let key = self.entries[e].submit(&mut self.hosts, submitted, is_held, now_ms);
        if is_held {
            self.plan(now_ms + Timing::default().end_wait_ms, Event::Release { e, key });
        }
        if number < MAX_SUBMISSIONS && self.rng.random_bool(0.5) {
            let at_ms = now_ms + self.rng.random_range(20..MAX_GIVE_UP_MS);
            self.plan(at_ms, Event::GiveUp { id, e, number, key });
        } else {
            self.patient.push((e, key, id));
        }
    }

    /// Closes the connection of a caller, unless the answer has come.
    fn give_up(&mut self, id: String, e: usize, number: u32, key: JobKey, now_ms: u64) {
        if self.entries[e].answers.contains_key(&key) {
            return;
        }
        let delay_ms = match (self.ends, self.rng.random_range(0..3)) {
            (Ends::Prompt, _) | (Ends::Mixed, 0) => Some(STEP_MS),
            (Ends::Mixed, 1) => Some(self.rng.random_range(0..MAX_END_DELAY_MS)),
            (Ends::Mixed, _) => None,
        };
        if let Some(delay_ms) = delay_ms {
            self.plan(now_ms + delay_ms, Event::End { e, key });
        }
        let again = Event::Submit { id, e: (e + 1) % ENTRIES, number: number + 1 };
        self.plan(now_ms + Timing::default().resend_ms, again);
    }

    fn run(mut self) -> Observed {
        for now_ms in (STEP_MS..END_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            self.hosts.iter_mut().for_each(|host| host.step(now_ms));
            while let Some(first) = self.events.first_entry().filter(|e| e.key().0 <= now_ms) {
                let event = first.remove();
                self.carry_out(event, now_ms);
            }
            for entry in &mut self.entries {
                entry.step(&mut self.hosts, now_ms);
            }
            let (_, twice) = running(&self.hosts);
            for task in twice {
                self.observed.twice.entry(task.to_string()).or_insert(now_ms);
            }
        }
        for (e, key, id) in self.patient {
            let outcome = self.entries[e].answers.get(&key);
            if outcome != Some(&JobOutcome::Succeeded) {
                self.observed.unserved.push(format!("{id} at entry {e}: {outcome:?}"));
            }
        }
        self.observed
    }
}

/// Runs the simulation with every seed. Returns the tasks that ran twice at a time and the
/// submissions whose callers waited in vain for a success.
fn observe(ends: Ends, agents: Agents) -> (Vec<String>, Vec<String>) {
    let (mut twice, mut unserved, mut resubmissions) = (Vec::new(), Vec::new(), 0);
    for seed in 0..SEEDS {
        let observed = Simulation::new(seed, ends, agents).run();
        let row = |(task, ms): (&String, &u64)| format!("seed {seed}: {task} at {ms} ms");
        twice.extend(observed.twice.iter().map(row));
        unserved.extend(observed.unserved.iter().map(|text| format!("seed {seed}: {text}")));
        resubmissions += observed.resubmissions;
    }
    assert!(resubmissions > 0, "no job was submitted again");
    (twice, unserved)
}

fn assert_none(twice: &[String]) {
    assert!(
        twice.is_empty(),
        "{} tasks ran twice at a time, for example {}",
        twice.len(),
        twice[0]
    );
}

/// Guards against callers whose jobs come again and are not served, and shows that the tests below
/// fail for the ends alone.
#[test]
fn jobs_that_come_again_after_a_prompt_end_run_once_at_a_time_and_succeed() {
    let (twice, unserved) = observe(Ends::Prompt, Agents::Lasting);
    assert_none(&twice);
    assert_eq!(unserved, Vec::<String>::new());
}

/// Guards against the same while agents are replaced.
#[test]
fn jobs_that_come_again_after_a_prompt_end_run_once_at_a_time_although_agents_are_replaced() {
    assert_none(&observe(Ends::Prompt, Agents::Replaced).0);
}

/// Guards against a second run beside the first one, and against callers who are not served, when ends
/// are late or never come.
#[test]
fn no_task_runs_twice_at_a_time_whenever_the_ends_of_connections_arrive() {
    let (twice, unserved) = observe(Ends::Mixed, Agents::Lasting);
    assert_none(&twice);
    assert_eq!(unserved, Vec::<String>::new());
}

/// Guards against a second run beside the first one when ends are late or never come, while agents
/// are replaced and forget what they know of jobs.
#[test]
fn no_task_runs_twice_at_a_time_although_agents_are_replaced() {
    assert_none(&observe(Ends::Mixed, Agents::Replaced).0);
}
