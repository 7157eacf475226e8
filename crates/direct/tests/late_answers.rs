//! Answers to claims that come after the jobs have started without them: two entries, two agents.

mod common;

use common::{attempts, cores, job, report, upstream};
use direct::{
    AgentHello, AgentKey, AttemptId, AttemptOutcome, ClaimNews, DirectJob, Dispatcher,
    DispatcherEffect, JobOutcome, Report, SessionKey, Supervisor, Timing, ToAgent,
    UnsettledAttempts,
};

const AGENTS: [&str; 2] = ["a", "b"];
const TICK_MS: u64 = 10;
/// Time at which the held answers come: both entries have started the job by then.
const ANSWER_MS: u64 = 300;
const PATIENCE_MS: u64 = 30_000;

struct World {
    entries: Vec<Dispatcher>,
    agents: Vec<Supervisor>,
    sessions: Vec<Vec<SessionKey>>,
    /// Whether the news of an agent for an entry is held up, by entry and agent.
    is_held: [[bool; 2]; 2],
    /// Attempts in progress: entry, agent, attempt, and the time at which a stopped one has ended.
    runs: Vec<(usize, usize, AttemptId, Option<u64>)>,
    /// Time that an agent needs to stop a run, milliseconds.
    stop_ms: u64,
    starts: [u32; 2],
    answers: Vec<(usize, JobOutcome)>,
    now_ms: u64,
}

impl World {
    fn new(stop_ms: u64) -> Self {
        let none = UnsettledAttempts::default();
        let mut world = Self {
            entries: (0..2)
                .map(|n| Dispatcher::new(Timing::default(), "mid-a".into(), n))
                .collect(),
            agents: AGENTS.iter().map(|_| Supervisor::new(Timing::default(), 0)).collect(),
            sessions: vec![Vec::new(); 2],
            is_held: [[false; 2]; 2],
            runs: Vec::new(),
            stop_ms,
            starts: [0; 2],
            answers: Vec::new(),
            now_ms: 0,
        };
        for e in 0..2 {
            for (a, name) in AGENTS.into_iter().enumerate() {
                let hello = AgentHello { agent: name.into(), incarnation: 1, entries: Vec::new() };
                let (key, ..) = world.entries[e].on_agent_hello(&hello, 0);
                let up = report(Some(upstream(name, 1)), cores(8), 0);
                world.entries[e].on_report(key, up, 0);
                let entry = format!("e{e}");
                let (session, _) =
                    world.agents[a].on_entry_hello(&entry.as_str().into(), 1, &none, 0, 0);
                world.sessions[e].push(session);
            }
        }
        world.run_until(100);
        world
    }

    fn carry_out(&mut self, e: usize, effects: Vec<DispatcherEffect>) {
        for effect in effects {
            match effect {
                DispatcherEffect::Answer(_, outcome) => self.answers.push((e, outcome)),
                DispatcherEffect::Send(to, message) => self.deliver(e, to.0 as usize, message),
                _ => {}
            }
        }
    }

    fn deliver(&mut self, e: usize, a: usize, message: ToAgent) {
        let (session, now_ms) = (self.sessions[e][a], self.now_ms);
        match message {
            ToAgent::Claim(claim) => {
                self.agents[a].on_claim(session, &claim, now_ms);
            }
            ToAgent::EndClaim(id, end) => {
                self.agents[a].on_claim_end(session, id, end, now_ms);
            }
            ToAgent::Start(batch) => {
                self.starts[e] += 1;
                self.runs.extend(batch.attempts.iter().map(|started| (e, a, started.id, None)));
            }
            ToAgent::Stop(ids) => {
                let end_ms = Some(now_ms + self.stop_ms);
                let stopped = self.runs.iter_mut().filter(|run| run.0 == e && ids.contains(&run.2));
                stopped.for_each(|run| run.3 = run.3.or(end_ms));
            }
            _ => {}
        }
    }

    fn end(&mut self, e: usize, a: usize, id: AttemptId, outcome: AttemptOutcome) {
        let outcomes = vec![(id, outcome)];
        let ended = Report { outcomes, ..report(None, cores(8), 99) };
        let effects = self.entries[e].on_report(AgentKey(a as u32), ended, self.now_ms);
        self.carry_out(e, effects);
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            let now_ms = self.now_ms;
            let ended: Vec<_> =
                self.runs.extract_if(.., |run| run.3.is_some_and(|ms| ms <= now_ms)).collect();
            for (e, a, id, _) in ended {
                self.end(e, a, id, AttemptOutcome::Stopped);
            }
            for e in 0..2 {
                for a in 0..2 {
                    common::hear(&mut self.agents[a], self.sessions[e][a], now_ms);
                    self.agents[a].tick(now_ms);
                    self.report(e, a);
                }
                let effects = self.entries[e].tick(now_ms);
                self.carry_out(e, effects);
            }
        }
    }

    fn report(&mut self, e: usize, a: usize) {
        let sent = if self.is_held[e][a] {
            Report { claims: Vec::new(), ..report(None, cores(8), 99) }
        } else {
            let sent = self.agents[a].report(self.sessions[e][a], false).unwrap();
            Report { claims: sent.claims, ..report(None, cores(8), 99) }
        };
        let effects = self.entries[e].on_report(AgentKey(a as u32), sent, self.now_ms);
        self.carry_out(e, effects);
    }

    /// Returns the entries that have runs in progress.
    fn running(&self) -> Vec<usize> {
        self.runs.iter().map(|run| run.0).collect()
    }
}

// Guards against two entries that both start a job without an answer and both go on when the answers come,
// and against callers without an answer when both give way. `first` claims the job before the other one
// at both agents; `order` is the order in which the four answers come.
types::cases! {
    fn of_two_entries_that_started_unanswered_one_goes_on(first: [usize; 2], order: [usize; 4]) {
        for stop_ms in [10, 50, 1_500] {
            let mut world = World::new(stop_ms);
            world.is_held = [[true; 2]; 2];
            // The claims of each entry at each agent, in the order in which the agents read them.
            let mut claims = Vec::new();
            for e in 0..2 {
                let job = DirectJob { caller_timeout_ms: PATIENCE_MS, ..job("j", 1) };
                let (_, effects) = world.entries[e].submit(job, world.now_ms);
                for effect in effects {
                    if let DispatcherEffect::Send(to, message) = effect {
                        claims.push((e, to.0 as usize, message));
                    }
                }
            }
            claims.sort_by_key(|(e, a, _)| first[*a] != *e);
            for (e, a, message) in claims {
                world.deliver(e, a, message);
            }
            world.run_until(ANSWER_MS);
            assert_eq!(world.starts, [1, 1], "both have started without an answer");
            for place in order {
                world.is_held[place / 2][place % 2] = false;
                world.run_until(world.now_ms + TICK_MS);
            }
            world.run_until(world.now_ms + stop_ms + 300);
            assert_eq!(world.running().len(), 1, "stop {stop_ms}: {:?}", world.runs);
            assert_eq!(world.answers, []);
            let until_ms = world.now_ms + 4_000;
            while world.now_ms < until_ms {
                world.run_until(world.now_ms + TICK_MS);
                assert_eq!(world.running().len(), 1, "stop {stop_ms}, at {} ms", world.now_ms);
            }
            let (e, a, id, _) = world.runs.remove(0);
            world.end(e, a, id, AttemptOutcome::Done { run_ms: 100 });
            world.run_until(world.now_ms + 100);
            world.answers.sort_by_key(|(e, _)| *e);
            let expected = [(0, JobOutcome::Succeeded), (1, JobOutcome::Succeeded)];
            assert_eq!(world.answers, expected, "stop {stop_ms}");
        }
    }
    one_grant_each_in_order: ([0, 1], [0, 1, 2, 3]),
    one_grant_each_reversed: ([0, 1], [3, 2, 1, 0]),
    one_grant_each_crossed: ([0, 1], [0, 3, 1, 2]),
    one_grant_each_contested_first: ([0, 1], [1, 2, 0, 3]),
    the_other_grants_in_order: ([1, 0], [0, 1, 2, 3]),
    the_other_grants_reversed: ([1, 0], [3, 2, 1, 0]),
    the_other_grants_crossed: ([1, 0], [0, 3, 1, 2]),
    the_other_grants_contested_first: ([1, 0], [1, 2, 0, 3]),
    both_grants_at_one_entry: ([0, 0], [0, 1, 2, 3]),
    both_grants_at_the_other_entry: ([1, 1], [0, 1, 2, 3]),
}

/// An entry whose job has started without the answer of its only agent, which then says that another one
/// has it. Returns the entry, the agent and the attempt.
fn withdrawn() -> (Dispatcher, AgentKey, AttemptId, direct::ClaimId) {
    let mut entry = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let hello = AgentHello { agent: "a".into(), incarnation: 1, entries: Vec::new() };
    let (key, ..) = entry.on_agent_hello(&hello, 0);
    entry.on_report(key, report(Some(upstream("a", 1)), cores(8), 0), 0);
    let (_, effects) = entry.submit(job("j", 1), 10);
    let id = common::claims_in(&effects)[0].1.id;
    let ticks = (22..166).step_by(12).map(|now_ms| attempts(&entry.tick(now_ms)));
    let started: Vec<_> = ticks.flatten().collect();
    let [(_, attempt)] = started[..] else { panic!("the job starts without an answer") };
    entry.on_claims(key, &[ClaimNews::Contested(id)], 170);
    (entry, key, attempt, id)
}

/// Guards against a refusal as not run of a job of which something was started and stopped again.
#[test]
fn a_withdrawn_job_is_not_refused_as_not_run() {
    let (mut entry, key, attempt, _) = withdrawn();
    let outcomes = vec![(attempt, AttemptOutcome::NotStarted)];
    entry.on_report(key, Report { outcomes, ..report(None, cores(8), 99) }, 200);
    let mut answers = Vec::new();
    for now_ms in (212..1_700).step_by(12) {
        let mut effects = entry.on_report(key, report(None, cores(8), 99), now_ms);
        effects.extend(entry.tick(now_ms));
        assert!(attempts(&effects).is_empty(), "it starts again at {now_ms} ms");
        answers.extend(effects.into_iter().filter_map(|effect| match effect {
            DispatcherEffect::Answer(_, outcome) => Some(outcome),
            _ => None,
        }));
    }
    assert_eq!(answers, [JobOutcome::TimedOut]);
}

/// Guards against a stop that is lost with its connection: the handshake must not name the attempt as one that is
/// wanted.
#[test]
fn a_withdrawn_attempt_is_not_wanted_after_a_reconnection() {
    let (mut entry, key, attempt, _) = withdrawn();
    entry.on_disconnected(key);
    let hello = AgentHello { agent: "a".into(), incarnation: 1, entries: Vec::new() };
    let (_, unsettled, _) = entry.on_agent_hello(&hello, 180);
    assert_eq!((unsettled.wanted, unsettled.stopping), (Vec::new(), vec![attempt]));
}

/// Guards against a second run of a withdrawn job while the first one has not ended.
#[test]
fn a_withdrawn_job_starts_again_only_when_its_run_has_ended() {
    let (mut entry, key, attempt, id) = withdrawn();
    let effects = entry.on_claims(key, &[ClaimNews::Granted(id)], 180);
    assert!(attempts(&effects).is_empty());
    let outcomes = vec![(attempt, AttemptOutcome::Stopped)];
    let effects = entry.on_report(key, Report { outcomes, ..report(None, cores(8), 99) }, 230);
    assert_eq!(attempts(&effects).len(), 1);
}
