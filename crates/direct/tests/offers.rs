//! Tests of the offers of scarce capacity: many entries with waiting tasks compete for one agent.

mod common;

use std::{collections::VecDeque, sync::Arc};

use common::{batch, cores, run_list, upstream};
use direct::{
    AttemptOutcome, Report, RunOutcome, SessionKey, StartResult, Supervisor, SupervisorEffect,
    TaskId, Timing,
};

const CORES: u32 = 8;
const RUN_MS: u64 = 100;
/// Period in which a busy agent calls `tick`, milliseconds.
const TICK_MS: u64 = 20;
/// Time that a message takes, milliseconds.
const DELAY_MS: u64 = 1;

/// An entry that sends a task whenever the agent's last report leaves capacity for one.
struct Entry {
    key: SessionKey,
    is_waiting: bool,
    free: u32,
    batches_sent: u64,
}

struct Contest {
    supervisor: Supervisor,
    entries: Vec<Entry>,
    reports: VecDeque<(u64, usize, Report)>,
    attempts: VecDeque<(u64, usize, u64)>,
    ends: VecDeque<(u64, TaskId)>,
    next_attempt: u64,
    started: usize,
    denied: usize,
    started_of: Vec<usize>,
}

impl Contest {
    /// Creates an agent with `entries` entries, of which the first `waiting` have endless work.
    fn new(entries: usize, waiting: usize) -> Self {
        let mut supervisor = Supervisor::new(Timing::default(), 0);
        supervisor.on_heartbeat(upstream("u", 1), 1);
        supervisor.on_run_list(&run_list(1, &[]));
        let mut contest = Self {
            supervisor,
            entries: Vec::new(),
            reports: VecDeque::new(),
            attempts: VecDeque::new(),
            ends: VecDeque::new(),
            next_attempt: 0,
            started: 0,
            denied: 0,
            started_of: vec![0; entries],
        };
        for n in 0..entries {
            let name: Arc<str> = format!("e{n}").into();
            let (key, _) = contest.supervisor.on_entry_hello(&name, 1, &[], 1);
            let is_waiting = n < waiting;
            contest.entries.push(Entry { key, is_waiting, free: 0, batches_sent: 0 });
            let effects = contest.supervisor.set_active(key, true);
            contest.handle(effects, 1);
            if is_waiting {
                let effects = contest.supervisor.set_waiting(key, Some(1));
                contest.handle(effects, 1);
            }
        }
        contest
    }

    fn handle(&mut self, effects: Vec<SupervisorEffect>, now_ms: u64) {
        for effect in effects {
            match effect {
                SupervisorEffect::Report(key) => {
                    let index = self.entries.iter().position(|entry| entry.key == key);
                    let index = index.expect("the session is known");
                    if let Some(report) = self.supervisor.report(key, false) {
                        self.reports.push_back((now_ms + DELAY_MS, index, report));
                    }
                }
                SupervisorEffect::Start(start) => {
                    self.started += 1;
                    let index: usize =
                        start.task.job.split('-').next().map_or(0, |n| {
                            n.parse().expect("the name of a job begins with its entry")
                        });
                    self.started_of[index] += 1;
                    self.ends.push_back((now_ms + RUN_MS, start.task.clone()));
                    self.supervisor.on_start_result(&start.task, 1, StartResult::Started, now_ms);
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, now_ms: u64) {
        while self.ends.front().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            let Some((_, task)) = self.ends.pop_front() else { break };
            let mut list = run_list(0, &[]);
            list.received_ms = now_ms;
            list.ended.push((task, 1, RunOutcome::Done));
            let effects = self.supervisor.on_run_list(&list);
            self.handle(effects, now_ms);
        }
        while self.attempts.front().is_some_and(|(at_ms, ..)| *at_ms <= now_ms) {
            let Some((_, index, id)) = self.attempts.pop_front() else { break };
            let attempts = batch(&format!("{index}-{id}"), &[id], cores(1));
            let effects = self.supervisor.on_attempts(self.entries[index].key, &attempts);
            self.handle(effects, now_ms);
        }
        if now_ms % TICK_MS == 0 {
            for entry in &self.entries {
                self.supervisor.on_entry_message(entry.key, now_ms);
            }
            let effects = self.supervisor.tick(now_ms);
            self.handle(effects, now_ms);
        }
        while self.reports.front().is_some_and(|(at_ms, ..)| *at_ms <= now_ms) {
            let Some((_, index, report)) = self.reports.pop_front() else { break };
            self.denied += report
                .outcomes
                .iter()
                .filter(|(_, outcome)| *outcome == AttemptOutcome::NotStarted)
                .count();
            let entry = &mut self.entries[index];
            let unseen = u32::try_from(entry.batches_sent - report.load.batches_seen).unwrap_or(0);
            entry.free = (report.load.free.milli_cores / 1_000).saturating_sub(unseen);
            while entry.is_waiting && entry.free > 0 {
                entry.free -= 1;
                entry.batches_sent += 1;
                self.next_attempt += 1;
                self.attempts.push_back((now_ms + DELAY_MS, index, self.next_attempt));
            }
        }
    }

    fn run(&mut self, length_ms: u64) {
        for now_ms in 2..length_ms {
            self.step(now_ms);
        }
    }

    /// Share of the capacity that was used over the time.
    fn utilization(&self, length_ms: u64) -> f64 {
        let used = u32::try_from(self.started).map_or(0.0, f64::from) * 100.0;
        used / (f64::from(CORES) * u32::try_from(length_ms).map_or(1.0, f64::from))
    }
}

types::cases! {
    fn competing_entries_are_seldom_denied_and_the_upstream_stays_full(
        entries: usize,
        waiting: usize,
        least_utilization: f64,
    ) {
        let mut contest = Contest::new(entries, waiting);
        // The first offers go to all entries, because the agent is empty.
        contest.run(500);
        contest.started = 0;
        contest.denied = 0;
        for now_ms in 500..5_500 {
            contest.step(now_ms);
        }
        let (started, denied) = (contest.started, contest.denied);
        assert!(denied * 20 <= started, "{denied} denied, {started} started");
        let utilization = contest.utilization(5_000);
        assert!(utilization >= least_utilization, "{utilization}");
    }
    three_entries: (3, 3, 0.9),
    seven_entries: (7, 7, 0.9),
    thirty_five_entries: (35, 35, 0.9),
    one_of_thirty_five_waits: (35, 1, 0.9),
    five_of_thirty_five_wait: (35, 5, 0.9),
}

#[test]
fn every_waiting_entry_gets_a_share() {
    let mut contest = Contest::new(35, 35);
    contest.run(20_000);
    let without = contest.started_of.iter().filter(|started| **started == 0).count();
    assert_eq!(without, 0, "{:?}", contest.started_of);
}

#[test]
fn ample_capacity_is_reported_to_all() {
    let mut contest = Contest::new(35, 0);
    contest.run(100);
    assert!(contest.entries.iter().all(|entry| entry.free == CORES));
}
