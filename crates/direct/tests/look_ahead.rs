//! Tests of look-ahead placement: large tasks beside streams of small ones, gaps before a
//! reservation, wrong estimates, lost agents and capacity kept for urgent jobs.

mod common;

use common::{batches, cores, job, report, step, submit, upstream};
use direct::{
    AgentHello, AgentKey, AttemptId, AttemptOutcome, DirectJob, Dispatcher, DispatcherEffect,
    JobStep, Timing, Upstream,
};

const CORES: u32 = 8;

/// One entry and its agents, which run what they are sent.
struct Site {
    entry: Dispatcher,
    agents: Vec<Agent>,
    /// Jobs that have started a task, with the time and the agent.
    started: Vec<(String, u64, usize)>,
}

struct Agent {
    key: AgentKey,
    capacity: u32,
    batches: u64,
    running: Vec<Run>,
}

struct Run {
    id: AttemptId,
    cores: u32,
    started_ms: u64,
    end_ms: u64,
}

impl Agent {
    fn free(&self) -> u32 {
        let used: u32 = self.running.iter().map(|run| run.cores).sum();
        self.capacity.saturating_sub(used)
    }
}

impl Site {
    fn new(agents: usize, is_on: bool) -> Self {
        let mut entry = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
        entry.set_look_ahead(is_on);
        let mut site = Self { entry, agents: Vec::new(), started: Vec::new() };
        for n in 0..agents {
            let up = upstream(&format!("a{n}"), 1);
            let hello = AgentHello { agent: up.id.clone(), incarnation: 1, entries: Vec::new() };
            let (key, _, _) = site.entry.on_agent_hello(&hello, 0);
            site.entry.on_report(key, report(Some(up), cores(CORES), 0), 0);
            site.agents.push(Agent { key, capacity: CORES, batches: 0, running: Vec::new() });
        }
        site
    }

    fn submit(&mut self, work: DirectJob, now_ms: u64) {
        let (_, effects) = submit(&mut self.entry, work, now_ms);
        self.apply(&effects, now_ms);
    }

    fn apply(&mut self, effects: &[DispatcherEffect], now_ms: u64) {
        for (key, batch) in batches(effects) {
            let n = self.agents.iter().position(|agent| agent.key == key).expect("known agent");
            self.agents[n].batches += 1;
            for attempt in &batch.attempts {
                let run_ms: u64 = batch.payload.parse().expect("the payload is the run time");
                self.agents[n].running.push(Run {
                    id: attempt.id,
                    cores: batch.need.milli_cores / 1_000,
                    started_ms: now_ms,
                    end_ms: now_ms + run_ms,
                });
                self.started.push((batch.job.to_string(), now_ms, n));
            }
            assert!(self.agents[n].running.iter().map(|run| run.cores).sum::<u32>() <= CORES);
        }
    }

    /// Reports what has ended, and lets time pass at the entry.
    fn advance(&mut self, now_ms: u64) {
        for n in 0..self.agents.len() {
            let agent = &mut self.agents[n];
            let ended: Vec<Run> =
                agent.running.extract_if(.., |run| run.end_ms <= now_ms).collect();
            if ended.is_empty() && !now_ms.is_multiple_of(20) {
                continue;
            }
            let mut report = report(None, cores(agent.free()), agent.batches);
            let done = |run: Run| {
                let run_ms = u32::try_from(run.end_ms - run.started_ms).unwrap_or(0);
                (run.id, AttemptOutcome::Done { run_ms })
            };
            report.outcomes = ended.into_iter().map(done).collect();
            let effects = self.entry.on_report(agent.key, report, now_ms);
            self.apply(&effects, now_ms);
        }
        let effects = self.entry.tick(now_ms);
        self.apply(&effects, now_ms);
    }

    fn advance_to(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in from_ms..to_ms {
            self.advance(now_ms);
        }
    }

    fn start_of(&self, id: &str) -> Option<u64> {
        self.started.iter().find(|(job, ..)| job == id).map(|(_, at_ms, _)| *at_ms)
    }

    fn agent_of(&self, id: &str) -> Option<usize> {
        self.started.iter().find(|(job, ..)| job == id).map(|(.., agent)| *agent)
    }
}

/// A job of one task that declares `estimate_ms` and runs for `run_ms`.
fn work(id: &str, priority: u8, need: u32, estimate_ms: u32, run_ms: u64) -> DirectJob {
    let steps = vec![JobStep { need: cores(need), estimate_ms, ..step(1) }];
    DirectJob {
        steps,
        priority,
        kind: format!("kind-{need}-{estimate_ms}").into(),
        payload: run_ms.to_string().into(),
        allowance_ms: 4_000,
        caller_timeout_ms: 10_000,
        ..job(id, 1)
    }
}

/// Runs a stream of small tasks that always fill the agents, and one task of six cores that arrives
/// at 100 ms; returns the start of the large one.
fn start_beside_a_stream(is_on: bool) -> Option<u64> {
    let mut site = Site::new(2, is_on);
    for now_ms in 0..1_000 {
        site.advance(now_ms);
        if now_ms == 100 {
            site.submit(work("large", 1, 6, 100, 100), now_ms);
        }
        // 16 cores complete 0.4 tasks of 40 ms a millisecond; 0.5 arrive.
        if now_ms.is_multiple_of(2) {
            site.submit(work(&format!("s{now_ms}"), 1, 1, 40, 40), now_ms);
        }
    }
    site.start_of("large")
}

// A large task waited for as long as a stream of small ones lasted, although it was first in the
// queue.
#[test]
fn a_large_task_starts_beside_a_stream_of_small_ones_when_its_capacity_is_expected() {
    assert_eq!(start_beside_a_stream(false), None, "without look-ahead it does not start");
    let started_ms = start_beside_a_stream(true).expect("it starts");
    assert!(started_ms <= 100 + 45, "a run of a small task later, not at {started_ms}");
}

/// An agent with 7 of 8 cores in use until 200, and a task of 8 cores that waits for them.
fn reserved(is_on: bool) -> Site {
    let mut site = Site::new(1, is_on);
    site.submit(work("first", 1, 7, 200, 200), 0);
    site.submit(work("large", 1, 8, 100, 100), 10);
    site
}

// Without backfill, the gap before a reservation would stay empty.
#[test]
fn a_short_task_fills_the_gap_before_a_reservation_and_a_long_one_does_not() {
    let mut site = reserved(true);
    site.submit(work("long", 1, 1, 500, 500), 20);
    assert_eq!(site.start_of("long"), None);
    site.submit(work("short", 1, 1, 50, 50), 21);
    assert_eq!(site.start_of("short"), Some(21));
    site.advance_to(22, 400);
    assert_eq!(site.start_of("large"), Some(200));
    assert_eq!(site.start_of("long"), Some(300), "the long task follows the large one");
    let counts = site.entry.look_ahead_counts();
    assert_eq!((counts.backfilled_tasks, counts.reservations > 0), (1, true));
}

#[test]
fn a_more_urgent_task_uses_what_is_reserved_for_a_less_urgent_one() {
    let mut site = reserved(true);
    site.submit(work("urgent", 0, 1, 500, 500), 20);
    assert_eq!(site.start_of("urgent"), Some(20));
}

// A task that runs far longer than estimated kept the capacity beside it idle until it ended.
#[test]
fn a_reservation_that_waits_for_a_wrong_estimate_expires() {
    let mut site = Site::new(1, true);
    site.submit(work("first", 1, 7, 100, 3_000), 0);
    site.submit(work("large", 1, 8, 100, 100), 10);
    site.submit(work("long", 1, 1, 900, 900), 20);
    assert_eq!(site.start_of("long"), None);
    site.advance_to(21, 800);
    let started_ms = site.start_of("long").expect("the reservations end");
    assert!(started_ms < 600, "{started_ms}");
}

#[derive(Clone, Copy)]
enum Change {
    Lost,
    Closed,
    Shrunk,
}

// Reservations at agents that are gone must not hold tasks back.
types::cases! {
    fn a_reservation_moves_when_its_agent(change: Change) {
        let mut site = Site::new(2, true);
        site.submit(work("first", 1, 7, 200, 200), 0);
        site.submit(work("second", 1, 7, 300, 300), 0);
        let (first, second) = (site.agent_of("first").unwrap(), site.agent_of("second").unwrap());
        assert_ne!(first, second);
        site.submit(work("large", 1, 8, 100, 100), 10);
        let before = site.entry.look_ahead_counts().reservations;
        change_agent(&mut site, first, change);
        site.entry.tick(31);
        assert_eq!(site.entry.look_ahead_counts().reservations, before + 1);
        // At the other agent, a task that ends after 300 is held back now.
        site.submit(work("long", 1, 1, 600, 600), 40);
        assert_eq!(site.start_of("long"), None);
        let mut done = report(None, cores(8), 1);
        let id = site.agents[second].running[0].id;
        done.outcomes = vec![(id, AttemptOutcome::Done { run_ms: 300 })];
        let effects = site.entry.on_report(site.agents[second].key, done, 300);
        let started: Vec<_> = batches(&effects).into_iter().map(|(_, batch)| batch.job).collect();
        assert_eq!(started, ["large".into()]);
    }
    is_lost: (Change::Lost),
    closes: (Change::Closed),
    shrinks: (Change::Shrunk),
}

fn change_agent(site: &mut Site, n: usize, change: Change) {
    let key = site.agents[n].key;
    let mut changed = report(None, cores(1), 1);
    match change {
        Change::Lost => return site.entry.on_disconnected(key),
        Change::Closed => changed.load.is_open = false,
        Change::Shrunk => {
            let up = Upstream { capacity: cores(7), ..upstream(&format!("a{n}"), 1) };
            changed = report(Some(up), cores(0), 1);
        }
    }
    site.entry.on_report(key, changed, 30);
}

// Another entry's tasks are visible only in the free capacity: the reservation must not wait for
// ever for capacity that others use again.
#[test]
fn a_reservation_ends_when_another_entry_takes_its_capacity() {
    let mut site = reserved(true);
    site.submit(work("long", 1, 1, 900, 900), 20);
    assert_eq!(site.start_of("long"), None);
    let agent = site.agents[0].key;
    let mut taken = report(None, cores(2), 1);
    taken.outcomes = vec![(site.agents[0].running[0].id, AttemptOutcome::Done { run_ms: 200 })];
    site.agents[0].running.clear();
    let effects = site.entry.on_report(agent, taken, 200);
    site.apply(&effects, 200);
    for now_ms in 201..1_500 {
        let effects = site.entry.on_report(agent, report(None, cores(2), 1), now_ms);
        site.apply(&effects, now_ms);
    }
    // From 1,008 on, the large job is refused.
    let started_ms = site.start_of("long").expect("the reservations end");
    assert!(started_ms < 900, "{started_ms}");
}

// A long task of a less urgent job took the last capacity, and each urgent job of the next tenths
// of a second waited for it.
#[test]
fn a_long_task_leaves_room_for_urgent_jobs_only_while_these_arrive() {
    let run = |is_on: bool, is_urgent_work: bool| {
        let mut site = Site::new(10, is_on);
        for now_ms in 0..400 {
            site.advance(now_ms);
            if is_urgent_work && now_ms.is_multiple_of(20) {
                site.submit(work(&format!("u{now_ms}"), 0, 2, 10, 10), now_ms);
            }
        }
        for n in 0..80 {
            site.submit(work(&format!("long-{n}"), 2, 1, 900, 900), 400);
        }
        let long = site.started.iter().filter(|(id, ..)| id.starts_with("long")).count();
        site.submit(work("last", 0, 2, 10, 10), 401);
        (long, site.start_of("last") == Some(401))
    };
    assert_eq!(run(false, true), (80, false));
    assert_eq!(run(true, false), (80, false));
    let (long, is_started) = run(true, true);
    assert!((72..80).contains(&long), "at most a tenth is kept: {long}");
    assert!(is_started);
}

#[test]
fn the_room_for_urgent_jobs_shrinks_to_nothing_after_the_last_of_them() {
    let mut site = Site::new(10, true);
    for now_ms in (0..400).step_by(20) {
        site.advance(now_ms);
        site.submit(work(&format!("u{now_ms}"), 0, 2, 10, 10), now_ms);
    }
    site.advance_to(400, 8_000);
    for n in 0..80 {
        site.submit(work(&format!("long-{n}"), 2, 1, 900, 900), 8_000);
    }
    assert_eq!(site.started.iter().filter(|(id, ..)| id.starts_with("long")).count(), 80);
}

// A pool that is smaller than the sum of a task and the kept room must still run the task.
#[test]
fn a_task_of_the_size_of_an_agent_starts_although_urgent_jobs_arrive() {
    let mut site = Site::new(1, true);
    for now_ms in (0..400).step_by(20) {
        site.advance(now_ms);
        site.submit(work(&format!("u{now_ms}"), 0, 2, 10, 10), now_ms);
    }
    site.advance(400);
    site.submit(work("whole", 2, CORES, 900, 900), 401);
    assert_eq!(site.start_of("whole"), Some(401));
}
