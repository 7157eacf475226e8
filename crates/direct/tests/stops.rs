//! Simulation of stops of which a share gets no answer and takes no effect in time.
//!
//! Load pattern: an entry with 30 runs at one upstream ends while the upstream leaves half of the
//! orders unanswered. All runs must have ended when the callers resubmit.

mod common;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
};

use common::{batch, cores, open, run_list, task, upstream};
use direct::{
    RunOutcome, StartResult, Supervisor, SupervisorEffect, TaskId, Timing, UnsettledAttempts,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const RUNS: u32 = 30;
/// Share of the stops without an answer.
const LOST_SHARE: f64 = 0.5;
/// Time until the answer to a stop arrives, and until the run has ended after it, milliseconds.
const ANSWER_MS: u64 = 3;
const END_MS: u64 = 10;
/// Pause after a call without an answer, milliseconds, and the number of concurrent stops, as in
/// the agent.
const PAUSE_MS: u64 = 20;
const MAX_CONCURRENT: usize = 24;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answered,
    Ended,
    Overdue,
    TimedOut,
    Paused,
}

struct Simulation {
    supervisor: Supervisor,
    timing: Timing,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, Event, u32)>>,
    waiting: VecDeque<u32>,
    calls: usize,
}

impl Simulation {
    fn new(seed: u64) -> (Self, Vec<SupervisorEffect>) {
        let timing = Timing::default();
        let mut supervisor = Supervisor::new(timing, 0);
        let mut up = upstream("u", 1);
        (up.capacity, up.largest_capacity) = (cores(RUNS), cores(RUNS));
        supervisor.on_heartbeat(up, 1, 0);
        open(&mut supervisor);
        let entry = Arc::from("e1");
        let (key, _) = supervisor.on_entry_hello(&entry, 1, &UnsettledAttempts::default(), 0, 0);
        let ids: Vec<u64> = (0..u64::from(RUNS)).collect();
        supervisor.on_attempts(key, &batch("j", &ids, cores(1)), 0);
        for i in 0..RUNS {
            supervisor.on_start_result(&task("j", i), 1, StartResult::Started, 1);
        }
        let effects = supervisor.tick(timing.session_ms);
        let simulation = Self {
            supervisor,
            timing,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            waiting: VecDeque::new(),
            calls: 0,
        };
        (simulation, effects)
    }

    fn apply(&mut self, effects: Vec<SupervisorEffect>, now_ms: u64) {
        let stop = |effect: SupervisorEffect| match effect {
            SupervisorEffect::Stop(task, _, _) => Some(task.index),
            _ => None,
        };
        self.waiting.extend(effects.into_iter().filter_map(stop));
        while self.calls < MAX_CONCURRENT {
            let Some(index) = self.waiting.pop_front() else { break };
            self.calls += 1;
            let mut at =
                |after_ms, event| self.queue.push(Reverse((now_ms + after_ms, event, index)));
            if self.rng.random_bool(LOST_SHARE) {
                at(self.supervisor.start_overdue_ms(), Event::Overdue);
                at(self.timing.call_ms, Event::TimedOut);
            } else {
                at(ANSWER_MS, Event::Answered);
                at(END_MS, Event::Ended);
            }
        }
    }

    /// Returns the time at which the last run has ended, milliseconds.
    fn last_end_ms(mut self, effects: Vec<SupervisorEffect>) -> u64 {
        let mut ended = [false; RUNS as usize];
        let start_ms = self.timing.session_ms;
        self.apply(effects, start_ms);
        while let Some(Reverse((now_ms, event, index))) = self.queue.pop() {
            let task: TaskId = task("j", index);
            let effects = match event {
                Event::Answered => {
                    self.calls -= 1;
                    self.supervisor.on_stop_result(&task, 1, true, now_ms)
                }
                Event::Ended => {
                    ended[index as usize] = true;
                    let mut list = run_list(now_ms, &[]);
                    list.ended.push((task, 1, RunOutcome::Terminated));
                    let effects = self.supervisor.on_run_list(&list);
                    if ended.iter().all(|has_ended| *has_ended) {
                        return now_ms;
                    }
                    effects
                }
                Event::Overdue => self.supervisor.on_stop_overdue(&task, 1),
                Event::TimedOut => {
                    self.calls -= 1;
                    self.queue.push(Reverse((now_ms + PAUSE_MS, Event::Paused, index)));
                    Vec::new()
                }
                Event::Paused => self.supervisor.on_stop_result(&task, 1, false, now_ms),
            };
            self.apply(effects, now_ms);
        }
        panic!("some runs were never stopped");
    }
}

/// Guards against stops that are sent one after the other: the runs of a silent entry went on beside
/// those of the resubmitted jobs while stops got no answer.
#[test]
fn runs_of_a_silent_entry_end_before_its_callers_resubmit_while_half_of_the_stops_are_lost() {
    let resend_ms = Timing::default().resend_ms;
    let late: Vec<(u64, u64)> = (0..1_000)
        .map(|seed| {
            let (simulation, effects) = Simulation::new(seed);
            (seed, simulation.last_end_ms(effects))
        })
        .filter(|(_, end_ms)| *end_ms > resend_ms)
        .collect();
    assert!(late.is_empty(), "{} of 1,000: {:?}", late.len(), &late[..late.len().min(5)]);
}
