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
/// Patience with which each caller outlasts the kills by a whole run: they may cut off all runs before.
const LONG_PATIENCE_MS: u64 = 20_000;
const MAX_GIVE_UP_MS: u64 = 80;

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
    patience_ms: u64,
    hosts: Vec<Host>,
    entries: Vec<Entry>,
    events: BTreeMap<(u64, usize), Event>,
    next_event: usize,
    /// Submissions whose callers wait for the answer.
    patient: Vec<(usize, JobKey, String)>,
    /// Tasks that ran twice at a time, with the first time at which they did and for how long.
    twice: BTreeMap<String, (u64, u64)>,
    /// Time of the submission or of the last run of each job, and the longest time between two of
    /// these, milliseconds.
    waits: BTreeMap<String, (u64, u64)>,
}

/// What a simulation has shown.
#[derive(Default)]
struct Observed {
    /// Tasks that ran twice at a time.
    twice: Vec<String>,
    /// Submissions that were not served.
    unserved: Vec<String>,
    /// Jobs that were without a run for longer than the runs of a lost agent last.
    waited: Vec<String>,
}

impl Simulation {
    fn new(seed: u64, restarts: Restarts, max_dial_ms: u64, patience_ms: u64) -> Self {
        let faults = HostFaults { stop_ms: Timing::default().stop_ms, ..HostFaults::default() };
        let links = || (0..ENTRIES).map(|_| Link::default()).collect();
        let entry = |e: usize| Entry::new(e, seed * 100 + u64::try_from(e).unwrap());
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            restarts,
            max_dial_ms,
            patience_ms,
            hosts: (0..AGENTS).map(|n| Host::new(n, links(), faults)).collect(),
            entries: (0..ENTRIES).map(entry).collect(),
            events: BTreeMap::new(),
            next_event: 0,
            patient: Vec::new(),
            twice: BTreeMap::new(),
            waits: BTreeMap::new(),
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
                    caller_timeout_ms: self.patience_ms,
                    queue_timeout_ms: self.patience_ms,
                    allowance_ms: self.patience_ms,
                    ..job(&id, 1)
                };
                self.waits.entry(id.clone()).or_insert((now_ms, 0));
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

    fn run(mut self) -> Observed {
        let end_ms = LAST_JOB_MS + MAX_GIVE_UP_MS + 1_300 + self.patience_ms + 1_000;
        for now_ms in (STEP_MS..end_ms).step_by(usize::try_from(STEP_MS).unwrap()) {
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
            for task in self.hosts.iter().flat_map(Host::tasks) {
                let (last_ms, longest_ms) = self.waits.get_mut(&*task.job).unwrap();
                *longest_ms = (*longest_ms).max(now_ms - *last_ms);
                *last_ms = now_ms;
            }
        }
        let row = |(task, (ms, for_ms)): (&String, &(u64, u64))| {
            format!("{task} from {ms} ms for {for_ms} ms")
        };
        let mut observed =
            Observed { twice: self.twice.iter().map(row).collect(), ..Observed::default() };
        for (e, key, id) in self.patient {
            let outcome = self.entries[e].answers.get(&key);
            if outcome != Some(&JobOutcome::Succeeded) {
                observed.unserved.push(format!("{id} at entry {e}: {outcome:?}"));
            }
        }
        let limit_ms = Timing::default().lost_after_ms();
        let long = self.waits.iter().filter(|(_, (_, longest_ms))| *longest_ms > limit_ms);
        observed.waited = long.map(|(id, (_, ms))| format!("{id} for {ms} ms")).collect();
        observed
    }
}

fn observe(restarts: Restarts, max_dial_ms: u64, patience_ms: u64) -> Observed {
    let mut observed = Observed::default();
    for seed in 0..SEEDS {
        let one = Simulation::new(seed, restarts, max_dial_ms, patience_ms).run();
        let name = |text| format!("seed {seed}: {text}");
        observed.twice.extend(one.twice.into_iter().map(name));
        observed.unserved.extend(one.unserved.into_iter().map(name));
        observed.waited.extend(one.waited.into_iter().map(name));
    }
    let Observed { twice, unserved, waited } = &observed;
    println!("{} twice, {} unserved, {} waited", twice.len(), unserved.len(), waited.len());
    observed
}

types::cases! {
    fn no_task_runs_twice_although_both_keepers_are_replaced(restarts: Restarts, max_dial_ms: u64) {
        let Observed { twice, waited, .. } = observe(restarts, max_dial_ms, PATIENCE_MS);
        assert!(twice.is_empty(), "{} tasks ran twice at a time: {twice:#?}", twice.len());
        assert_eq!(waited, Vec::<String>::new());
    }
    together: (Restarts::Together, 0),
    in_turn: (Restarts::InTurn, 0),
    together_with_entries_reached_40_ms_apart: (Restarts::Together, 40),
    in_turn_with_entries_reached_40_ms_apart: (Restarts::InTurn, 40),
    together_with_entries_reached_200_ms_apart: (Restarts::Together, 200),
    in_turn_with_entries_reached_200_ms_apart: (Restarts::InTurn, 200),
}

// Guards against agents that count as informed while an entry has not connected to them. A job may be without a run for
// longer than the runs of a lost agent last: the agent is not back to say that its runs have ended earlier.
types::cases! {
    fn no_task_runs_twice_although_entries_reach_agents_seconds_apart(
        restarts: Restarts,
        max_dial_ms: u64,
    ) {
        let Observed { twice, .. } = observe(restarts, max_dial_ms, PATIENCE_MS);
        assert!(twice.is_empty(), "{} tasks ran twice at a time: {twice:#?}", twice.len());
    }
    together_with_entries_reached_1500_ms_apart: (Restarts::Together, 1_500),
    in_turn_with_entries_reached_1500_ms_apart: (Restarts::InTurn, 1_500),
    together_with_entries_reached_3000_ms_apart: (Restarts::Together, 3_000),
    in_turn_with_entries_reached_3000_ms_apart: (Restarts::InTurn, 3_000),
}

/// Guards against callers who are not served after both agents that keep their claims were replaced.
#[test]
fn jobs_whose_keepers_are_replaced_succeed() {
    let observed = observe(Restarts::Together, 0, LONG_PATIENCE_MS);
    assert_eq!(observed.unserved, Vec::<String>::new());
    assert_eq!(observed.waited, Vec::<String>::new());
}
