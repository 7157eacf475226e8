//! Tests of agents that refuse tasks although their reports show free capacity.

mod common;

use common::{attempts, cores, job, report, submit, upstream};
use direct::{
    AgentHello, AgentKey, AttemptOutcome, DirectJob, Dispatcher, DispatcherEffect, JobOutcome,
    Timing, ToAgent,
};

const CORES: u32 = 8;

/// An entry with agents that refuse every task until a time of their own.
struct Refusing {
    entry: Dispatcher,
    accepts_from_ms: Vec<u64>,
    /// Time and agent of each attempt that was sent.
    sent: Vec<(u64, usize)>,
    /// Time and agent of each attempt that was accepted.
    accepted: Vec<(u64, usize)>,
    answers: Vec<JobOutcome>,
}

impl Refusing {
    fn new(accepts_from_ms: &[u64]) -> Self {
        let mut entry = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
        for n in 0..accepts_from_ms.len() {
            let up = upstream(&format!("agent-{n}"), 1);
            let hello = AgentHello { agent: up.id.clone(), incarnation: 1, entries: Vec::new() };
            let (key, _, _) = entry.on_agent_hello(&hello, 0);
            entry.on_report(key, report(Some(up), cores(CORES), 0), 0);
        }
        let accepts_from_ms = accepts_from_ms.to_vec();
        Self { entry, accepts_from_ms, sent: Vec::new(), accepted: Vec::new(), answers: Vec::new() }
    }

    /// Answers each attempt at once, and those that are sent in return: the load in which an entry
    /// sent 14,000.
    fn handle(&mut self, effects: Vec<DispatcherEffect>, now_ms: u64) {
        let mut waiting = effects;
        while !waiting.is_empty() {
            assert!(self.sent.len() < 20_000, "attempts are sent without a wait");
            for effect in std::mem::take(&mut waiting) {
                match effect {
                    DispatcherEffect::Send(key, ToAgent::Start(_)) => {
                        waiting.extend(self.receive(key, &effect, now_ms));
                    }
                    DispatcherEffect::Answer(_, outcome) => self.answers.push(outcome),
                    _ => {}
                }
            }
        }
    }

    fn receive(
        &mut self,
        key: AgentKey,
        start: &DispatcherEffect,
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        let agent = key.0 as usize;
        let ids = attempts(std::slice::from_ref(start));
        self.sent.extend(ids.iter().map(|_| (now_ms, agent)));
        if now_ms >= self.accepts_from_ms[agent] {
            self.accepted.extend(ids.iter().map(|_| (now_ms, agent)));
            return Vec::new();
        }
        let mut refusal = report(None, cores(CORES), u64::MAX);
        refusal.outcomes =
            ids.into_iter().map(|(_, id)| (id, AttemptOutcome::NotStarted)).collect();
        self.entry.on_report(key, refusal, now_ms)
    }

    fn submit(&mut self, job: DirectJob, now_ms: u64) {
        let (_, effects) = submit(&mut self.entry, job, now_ms);
        self.handle(effects, now_ms);
    }

    /// Lets the time pass, with a report of free capacity by each agent every `report_ms`.
    fn pass(&mut self, from_ms: u64, until_ms: u64, report_ms: u64) {
        for now_ms in from_ms..until_ms {
            if now_ms.is_multiple_of(report_ms) {
                for n in 0..self.accepts_from_ms.len() {
                    let key = AgentKey(u32::try_from(n).expect("few agents"));
                    let report = report(None, cores(CORES), u64::MAX);
                    let effects = self.entry.on_report(key, report, now_ms);
                    self.handle(effects, now_ms);
                }
            }
            let effects = self.entry.tick(now_ms);
            self.handle(effects, now_ms);
        }
    }
}

/// A job of one task that waits for a start for more than half a second.
fn patient(id: &str) -> DirectJob {
    DirectJob { allowance_ms: 3_000, caller_timeout_ms: 10_000, ..job(id, 1) }
}

types::cases! {
    fn a_refused_task_is_sent_to_the_only_agent_less_than_200_times_in_half_a_second(
        report_ms: u64,
    ) {
        let mut world = Refusing::new(&[500]);
        world.submit(patient("j"), 0);
        world.pass(1, 500, report_ms);
        let sent = world.sent.len();
        assert!((8..200).contains(&sent), "{sent} attempts");
        let mut times: Vec<u64> = world.sent.iter().map(|(at_ms, _)| *at_ms).collect();
        times.dedup();
        assert_eq!(times.len(), sent, "at most one attempt in a millisecond");
        world.pass(500, 570, report_ms);
        assert_eq!(world.accepted.len(), 1, "the wait ends within 64 ms");
    }

    report_in_each_millisecond: (1),
    report_every_20_ms: (20),
    report_every_200_ms: (200),
}

#[test]
fn a_report_with_free_capacity_ends_the_wait_early() {
    let mut world = Refusing::new(&[130]);
    world.submit(patient("j"), 0);
    // Sent at 0, 2, 6, 14, 30, 62 and 126 ms; the next wait would last until 190 ms.
    world.pass(1, 140, 1_000);
    assert_eq!(world.accepted, []);
    world.pass(140, 141, 140);
    assert_eq!(world.accepted, [(140, 0)]);
}

#[test]
fn a_task_that_one_agent_refuses_starts_at_once_where_another_has_room() {
    let mut world = Refusing::new(&[u64::MAX, 0]);
    for n in 0..8 {
        world.submit(patient(&format!("j{n}")), 0);
    }
    assert_eq!(world.accepted, [(0, 1); 8]);
    assert!(world.sent.len() <= 16, "each agent gets a task once: {:?}", world.sent);
}

#[test]
fn a_task_that_two_agents_refuse_is_sent_to_each_in_turn_with_waits() {
    let mut world = Refusing::new(&[u64::MAX, u64::MAX]);
    world.submit(patient("j"), 0);
    world.pass(1, 500, 20);
    for agent in 0..2 {
        let sent = world.sent.iter().filter(|(_, to)| *to == agent).count();
        assert!((8..100).contains(&sent), "{sent} attempts at agent {agent}");
    }
}

// A wait that outlasts the last time at which the job may start would refuse it although the
// agent has room again.
types::cases! {
    fn a_job_that_would_be_refused_is_tried_once_more_before(job: DirectJob, refusal_ms: u64) {
        let mut world = Refusing::new(&[refusal_ms - 1]);
        world.submit(job, 0);
        world.pass(1, refusal_ms + 1, 1_000);
        assert_eq!(world.answers, []);
        assert_eq!(world.accepted.len(), 1, "{:?}", world.sent);
    }
    in_time: (job("j", 1), 110),
    with_an_objective_out_of_reach:
        (DirectJob { stretch: 0.5, allowance_ms: 40, ..job("j", 1) }, 45),
}

#[test]
fn a_job_that_every_try_refuses_is_answered_in_time() {
    let mut world = Refusing::new(&[u64::MAX]);
    world.submit(job("j", 1), 0);
    world.pass(1, 112, 20);
    assert!(matches!(world.answers[..], [JobOutcome::NotRun { .. }]), "{:?}", world.answers);
}

// A report of refusals that does not account for their batch left the agent charged for it.
#[test]
fn a_refused_attempt_leaves_no_charge_after_the_report_that_refuses_it() {
    let mut entry = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let hello = AgentHello { agent: "u".into(), incarnation: 1, entries: Vec::new() };
    let (agent, _, _) = entry.on_agent_hello(&hello, 0);
    entry.on_report(agent, report(Some(upstream("u", 1)), cores(CORES), 0), 0);
    let (_, effects) = submit(&mut entry, job("first", CORES), 1);
    let sent = attempts(&effects);
    assert_eq!(sent.len(), CORES as usize);
    let mut refusal = report(None, cores(CORES), 0);
    refusal.outcomes = sent.into_iter().map(|(_, id)| (id, AttemptOutcome::NotStarted)).collect();
    entry.on_report(agent, refusal, 2);
    let (_, effects) = submit(&mut entry, job("second", CORES), 2);
    assert_eq!(attempts(&effects).len(), CORES as usize);
}
