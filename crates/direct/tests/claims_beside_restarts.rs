//! Simulation of callers who give up unnoticed and submit their jobs again at the other entry, while the two
//! agents that keep the claims of the job are killed and replaced.
//!
//! Guards against a second run of a task beside one whose claims both agents have forgotten.

mod common;

use std::collections::BTreeMap;

use common::{
    job,
    simulation::{Entry, Host, HostFaults, Link, STEP_MS, running},
};
use direct::{DirectJob, JobKey, JobOutcome, Timing};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 30;
const AGENTS: usize = 6;
const ENTRIES: usize = 2;
const JOB_PERIOD_MS: u64 = 1_500;
/// Time after which no new jobs come.
const LAST_JOB_MS: u64 = 15_000;
const PATIENCE_MS: u64 = 9_000;
const MAX_GIVE_UP_MS: u64 = 80;
const END_MS: u64 = LAST_JOB_MS + MAX_GIVE_UP_MS + 1_300 + PATIENCE_MS + 1_000;

/// How the two agents are replaced.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Restarts {
    /// At the same time.
    Together,
    /// The second one is killed when the first one is back.
    InTurn,
}

enum Event {
    Submit { id: String, e: usize, is_again: bool },
    Replace { id: String, e: usize },
    Kill { h: usize },
    Restart { h: usize },
}

struct Simulation {
    rng: StdRng,
    restarts: Restarts,
    /// Longest time from the opening of an agent until it dials an entry, milliseconds.
    max_dial_ms: u64,
    hosts: Vec<Host>,
    entries: Vec<Entry>,
    events: BTreeMap<(u64, usize), Event>,
    next_event: usize,
    /// Submissions whose callers wait for the answer.
    patient: Vec<(usize, JobKey, String)>,
    /// Tasks that ran twice at a time, with the first time at which they did and for how long.
    twice: BTreeMap<String, (u64, u64)>,
}

impl Simulation {
    fn new(seed: u64, restarts: Restarts, max_dial_ms: u64) -> Self {
        let faults = HostFaults { stop_ms: Timing::default().stop_ms, ..HostFaults::default() };
        let links = || (0..ENTRIES).map(|_| Link::default()).collect();
        let entry = |e: usize| Entry::new(e, seed * 100 + u64::try_from(e).unwrap());
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            restarts,
            max_dial_ms,
            hosts: (0..AGENTS).map(|n| Host::new(n, links(), faults)).collect(),
            entries: (0..ENTRIES).map(entry).collect(),
            events: BTreeMap::new(),
            next_event: 0,
            patient: Vec::new(),
            twice: BTreeMap::new(),
        };
        for at_ms in (JOB_PERIOD_MS..LAST_JOB_MS).step_by(usize::try_from(JOB_PERIOD_MS).unwrap()) {
            let e = simulation.rng.random_range(0..ENTRIES);
            let again_ms = at_ms + simulation.rng.random_range(20..MAX_GIVE_UP_MS) + 1_300;
            let id = format!("j{at_ms}");
            simulation.plan(at_ms, Event::Submit { id: id.clone(), e, is_again: false });
            let replace_ms = again_ms - simulation.rng.random_range(0..900);
            simulation.plan(replace_ms, Event::Replace { id: id.clone(), e });
            let e = (e + 1) % ENTRIES;
            simulation.plan(again_ms, Event::Submit { id, e, is_again: true });
        }
        simulation
    }

    fn plan(&mut self, at_ms: u64, event: Event) {
        self.events.insert((at_ms, self.next_event), event);
        self.next_event += 1;
    }

    fn carry_out(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Submit { id, e, is_again } => {
                let submitted = DirectJob {
                    caller_timeout_ms: PATIENCE_MS,
                    queue_timeout_ms: PATIENCE_MS,
                    allowance_ms: PATIENCE_MS,
                    ..job(&id, 1)
                };
                let key = self.entries[e].submit(&mut self.hosts, submitted, false, now_ms);
                if is_again {
                    self.patient.push((e, key, id));
                }
            }
            Event::Replace { id, e } => self.replace_keepers(&id, e, now_ms),
            Event::Kill { h } => self.hosts[h].kill(),
            Event::Restart { h } => {
                for e in 0..ENTRIES {
                    let delay_ms = self.rng.random_range(0..=self.max_dial_ms);
                    self.hosts[h].delay_dial(e, delay_ms);
                }
                self.hosts[h].restart(now_ms);
            }
        }
    }

    /// Replaces the two agents to which the job was claimed last.
    fn replace_keepers(&mut self, id: &str, e: usize, now_ms: u64) {
        let Some(claimed) = self.entries[e].claimed_at.get(id) else { return };
        let mut keepers: Vec<usize> = Vec::new();
        for h in claimed.iter().rev() {
            if keepers.len() < 2 && !keepers.contains(h) {
                keepers.push(*h);
            }
        }
        let mut kill_ms = now_ms;
        for h in keepers {
            let back_ms = kill_ms + self.rng.random_range(5..400);
            self.plan(kill_ms, Event::Kill { h });
            self.plan(back_ms, Event::Restart { h });
            if self.restarts == Restarts::InTurn {
                kill_ms = back_ms + self.rng.random_range(0..400);
            }
        }
    }

    /// Returns the tasks that ran twice at a time, and the submissions that were not served.
    fn run(mut self) -> (Vec<String>, Vec<String>) {
        for now_ms in (STEP_MS..END_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            self.hosts.iter_mut().for_each(|host| host.step(now_ms));
            while let Some(first) = self.events.first_entry().filter(|e| e.key().0 <= now_ms) {
                let event = first.remove();
                self.carry_out(event, now_ms);
            }
            for entry in &mut self.entries {
                entry.step(&mut self.hosts, now_ms);
            }
            for task in running(&self.hosts).1 {
                let times = self.twice.entry(task.to_string()).or_insert((now_ms, 0));
                times.1 += STEP_MS;
            }
        }
        let row = |(task, (ms, for_ms)): (&String, &(u64, u64))| {
            format!("{task} from {ms} ms for {for_ms} ms")
        };
        let twice = self.twice.iter().map(row).collect();
        let mut unserved = Vec::new();
        for (e, key, id) in self.patient {
            let outcome = self.entries[e].answers.get(&key);
            if outcome != Some(&JobOutcome::Succeeded) {
                unserved.push(format!("{id} at entry {e}: {outcome:?}"));
            }
        }
        (twice, unserved)
    }
}

fn observe(restarts: Restarts, max_dial_ms: u64) -> (Vec<String>, Vec<String>) {
    let (mut twice, mut unserved) = (Vec::new(), Vec::new());
    for seed in 0..SEEDS {
        let (t, u) = Simulation::new(seed, restarts, max_dial_ms).run();
        twice.extend(t.into_iter().map(|text| format!("seed {seed}: {text}")));
        unserved.extend(u.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    println!("{} twice, {} unserved", twice.len(), unserved.len());
    (twice, unserved)
}

types::cases! {
    fn no_task_runs_twice_although_both_keepers_are_replaced(restarts: Restarts, max_dial_ms: u64) {
        let (twice, _) = observe(restarts, max_dial_ms);
        assert!(twice.is_empty(), "{} tasks ran twice at a time: {twice:#?}", twice.len());
    }
    together: (Restarts::Together, 0),
    in_turn: (Restarts::InTurn, 0),
    together_with_entries_reached_40_ms_apart: (Restarts::Together, 40),
    in_turn_with_entries_reached_40_ms_apart: (Restarts::InTurn, 40),
    together_with_entries_reached_200_ms_apart: (Restarts::Together, 200),
    in_turn_with_entries_reached_200_ms_apart: (Restarts::InTurn, 200),
}

/// Guards against callers who are not served after both agents that keep their claims were replaced.
#[test]
fn jobs_whose_keepers_are_replaced_succeed() {
    let (_, unserved) = observe(Restarts::Together, 0);
    assert_eq!(unserved, Vec::<String>::new());
}
