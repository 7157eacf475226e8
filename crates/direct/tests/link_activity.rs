//! Tests of the choice of active links at the size of a large deployment: 160 agents in 5 zones, of
//! which the entry's own zone has 32.

mod common;

use std::collections::BTreeSet;

use common::{activated, attempts, cores, job, on_standby, report, submit, upstream};
use direct::{
    AgentHello, AgentKey, AttemptId, AttemptOutcome, DirectJob, Dispatcher, DispatcherEffect,
    JobOutcome, Timing, Upstream,
};

const ZONES: [&str; 5] = ["mid-a", "mid-b", "mid-c", "mid-d", "mid-e"];
const AGENTS: u32 = 160;
const NEAR_AGENTS: usize = 32;
/// Free cores of an idle agent.
const CORES: u32 = 8;
const DONE: AttemptOutcome = AttemptOutcome::Done { run_ms: 100 };

/// An entry in `mid-a`, and agents that answer each message of it at once.
struct Fleet {
    dispatcher: Dispatcher,
    active: BTreeSet<AgentKey>,
    running: Vec<(AgentKey, AttemptId)>,
    sent: usize,
    answers: Vec<JobOutcome>,
    closed: Vec<AgentKey>,
}

impl Fleet {
    fn empty() -> Self {
        Self {
            dispatcher: Dispatcher::new(Timing::default(), "mid-a".into(), 1),
            active: BTreeSet::new(),
            running: Vec::new(),
            sent: 0,
            answers: Vec::new(),
            closed: Vec::new(),
        }
    }

    fn new(zones: &[&str]) -> Self {
        let mut fleet = Self::empty();
        for n in 0..AGENTS {
            let zone = zones[n as usize % zones.len()].into();
            fleet.connect(&Upstream { zone, ..upstream(&format!("agent-{n}"), 1) }, 0);
        }
        fleet
    }

    fn connect(&mut self, up: &Upstream, now_ms: u64) -> AgentKey {
        let hello = AgentHello { agent: up.id.clone(), incarnation: 1, entries: Vec::new() };
        let (key, _, effects) = self.dispatcher.on_agent_hello(&hello, now_ms);
        self.handle(effects, now_ms);
        let effects =
            self.dispatcher.on_report(key, report(Some(up.clone()), cores(CORES), 0), now_ms);
        self.handle(effects, now_ms);
        key
    }

    /// Applies effects; an agent whose link becomes active reports 2 ms later.
    fn handle(&mut self, effects: Vec<DispatcherEffect>, now_ms: u64) {
        let mut pending = vec![effects];
        while let Some(effects) = pending.pop() {
            for agent in on_standby(&effects) {
                assert!(self.active.remove(&agent));
                let is_used = self.running.iter().any(|(used, _)| *used == agent);
                assert!(!is_used, "a link with attempts goes on standby");
            }
            let sent = attempts(&effects);
            self.sent += sent.len();
            assert!(sent.iter().all(|(agent, _)| self.active.contains(agent)));
            self.running.extend(sent);
            for effect in &effects {
                match effect {
                    DispatcherEffect::Answer(_, outcome) => self.answers.push(*outcome),
                    DispatcherEffect::CloseLink(agent) => {
                        self.active.remove(agent);
                        self.closed.push(*agent);
                    }
                    _ => {}
                }
            }
            for agent in activated(&effects) {
                assert!(self.active.insert(agent));
                pending.push(self.report(agent, now_ms + 2));
            }
        }
    }

    fn report(&mut self, agent: AgentKey, now_ms: u64) -> Vec<DispatcherEffect> {
        let used = self.running.iter().filter(|(at, _)| *at == agent).count();
        let free = CORES.saturating_sub(u32::try_from(used).unwrap_or(CORES));
        self.dispatcher.on_report(agent, report(None, cores(free), 1_000), now_ms)
    }

    fn submit(&mut self, job: DirectJob, now_ms: u64) {
        let (_, effects) = submit(&mut self.dispatcher, job, now_ms);
        self.handle(effects, now_ms);
    }

    /// Lets time pass: reports of active agents, and ticks with the period of a busy entry.
    fn pass(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms..to_ms).step_by(12) {
            for agent in self.active.clone() {
                let effects = self.report(agent, now_ms);
                self.handle(effects, now_ms);
            }
            let effects = self.dispatcher.tick(now_ms);
            self.handle(effects, now_ms);
        }
    }

    /// Lets time pass in which no agent sends anything.
    fn idle(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms..to_ms).step_by(50) {
            let effects = self.dispatcher.tick(now_ms);
            self.handle(effects, now_ms);
        }
    }

    fn end_all(&mut self, now_ms: u64) {
        for (agent, id) in std::mem::take(&mut self.running) {
            let mut report = report(None, cores(CORES), 1_000);
            report.outcomes = vec![(id, DONE)];
            let effects = self.dispatcher.on_report(agent, report, now_ms);
            self.handle(effects, now_ms);
        }
    }
}

#[test]
fn at_rest_only_links_to_agents_of_the_own_zone_are_active() {
    let mut fleet = Fleet::new(&ZONES);
    assert!(fleet.active.len() <= 48 + 24, "{}", fleet.active.len());
    fleet.submit(job("j", 8), 10);
    fleet.pass(10, 6_000);
    assert_eq!((fleet.sent, fleet.active.len()), (8, NEAR_AGENTS));
}

#[test]
fn with_few_agents_all_links_are_active() {
    let mut fleet = Fleet::empty();
    for (n, zone) in ZONES.iter().cycle().take(11).enumerate() {
        let up = Upstream { zone: (*zone).into(), ..upstream(&format!("agent-{n}"), 1) };
        fleet.connect(&up, 0);
    }
    fleet.pass(0, 6_000);
    assert_eq!(fleet.active.len(), 11);
}

#[test]
fn links_at_rest_are_bounded_in_a_zone_of_any_size() {
    let fleet = Fleet::new(&["mid-a"]);
    assert!((8..=48).contains(&fleet.active.len()), "{}", fleet.active.len());
}

#[test]
fn a_burst_beyond_the_own_zone_uses_other_zones_within_milliseconds() {
    let mut fleet = Fleet::new(&ZONES);
    // 4 times what the own zone holds.
    for n in 0..128 {
        fleet.submit(job(&format!("j{n}"), CORES), 100);
    }
    fleet.pass(101, 140);
    assert_eq!(fleet.sent, 128 * CORES as usize);
    assert!(fleet.answers.is_empty(), "{:?}", fleet.answers);
}

#[test]
fn links_go_on_standby_after_a_burst_but_not_while_they_hold_attempts() {
    let mut fleet = Fleet::new(&ZONES);
    for n in 0..64 {
        let patient = DirectJob { caller_timeout_ms: 60_000, ..job(&format!("j{n}"), CORES) };
        fleet.submit(patient, 100);
    }
    fleet.pass(101, 4_000);
    assert_eq!(fleet.sent, 64 * CORES as usize);
    assert!(fleet.active.len() > NEAR_AGENTS);
    fleet.end_all(4_000);
    fleet.pass(4_001, 12_000);
    assert_eq!(fleet.active.len(), NEAR_AGENTS, "none of these is needed any more");
}

#[test]
fn an_entry_without_agents_in_its_zone_uses_those_of_others() {
    let mut fleet = Fleet::new(&ZONES[1..]);
    fleet.pass(0, 100);
    fleet.submit(job("j", 8), 100);
    fleet.pass(101, 140);
    assert_eq!(fleet.sent, 8);
    fleet.pass(140, 12_000);
    assert!(!fleet.active.is_empty(), "the entry stays ready");
}

#[test]
fn a_task_that_only_a_distant_upstream_can_run_is_sent_there() {
    let mut fleet = Fleet::new(&ZONES);
    let labels = vec!["special".into()];
    let up = Upstream { zone: "mid-d".into(), labels, ..upstream("special", 1) };
    let special = fleet.connect(&up, 10);
    let mut labelled = job("j", 1);
    labelled.steps[0].label = Some("special".into());
    fleet.submit(labelled, 20);
    fleet.pass(21, 60);
    assert_eq!(fleet.running.iter().map(|(agent, _)| *agent).collect::<Vec<_>>(), [special]);
}

#[test]
fn a_job_that_fits_no_upstream_fails_although_most_links_are_on_standby() {
    let mut fleet = Fleet::new(&ZONES);
    let mut large = job("j", 1);
    large.steps[0].need = cores(CORES + 1);
    fleet.submit(large, 10);
    assert_eq!(fleet.answers, [JobOutcome::Failed]);
}

#[test]
fn a_silent_agent_is_disconnected_sooner_on_an_active_link() {
    let mut fleet = Fleet::new(&ZONES);
    let timing = Timing::default();
    let near = fleet.active.clone();
    // The first reports on active links came 2 ms after their activation.
    fleet.idle(0, timing.silence_ms);
    assert!(fleet.closed.is_empty());
    fleet.idle(timing.silence_ms, timing.silence_ms + 100);
    assert_eq!(fleet.closed.iter().copied().collect::<BTreeSet<_>>(), near);
    fleet.idle(timing.silence_ms + 100, timing.standby_silence_ms + 100);
    let mut left = AGENTS as usize - fleet.closed.len();
    left -= fleet.active.len();
    assert_eq!(left, 0, "all that were on standby are closed");
}

#[test]
fn a_pause_of_the_entry_itself_does_not_count_as_silence_of_its_agents() {
    let mut fleet = Fleet::new(&ZONES);
    fleet.idle(0, 300);
    let effects = fleet.dispatcher.tick(900);
    fleet.handle(effects, 900);
    assert!(fleet.closed.is_empty(), "their messages may still be unread");
    fleet.idle(950, 1_600);
    assert!(!fleet.closed.is_empty(), "they are silent after the pause too");
}

#[test]
fn a_reconnected_agent_that_holds_attempts_is_activated_at_once() {
    let mut fleet = Fleet::new(&ZONES[1..]);
    fleet.pass(0, 100);
    fleet.submit(job("j", 1), 100);
    fleet.pass(101, 120);
    let (agent, id) = fleet.running[0];
    let name = fleet.dispatcher.agent_name(agent).cloned().expect("the agent is known");
    fleet.dispatcher.on_disconnected(agent);
    let hello = AgentHello { agent: name, incarnation: 1, entries: Vec::new() };
    let (_, unsettled, effects) = fleet.dispatcher.on_agent_hello(&hello, 130);
    assert_eq!(unsettled.wanted, [id]);
    assert_eq!(activated(&effects), [agent], "its session needs frequent heartbeats");
}

#[test]
fn entries_prefer_different_agents_of_other_zones() {
    let first_widening = |seed| {
        let mut dispatcher = Dispatcher::new(Timing::default(), "mid-z".into(), seed);
        for n in 0..AGENTS {
            let up = upstream(&format!("agent-{n}"), 1);
            let hello = AgentHello { agent: up.id.clone(), incarnation: 1, entries: Vec::new() };
            let (key, _, _) = dispatcher.on_agent_hello(&hello, 0);
            dispatcher.on_report(key, report(Some(up), cores(CORES), 0), 0);
        }
        // More than what the links that are active at rest can hold.
        let effects = (0..40).map(|n| submit(&mut dispatcher, job(&format!("j{n}"), CORES), 10).1);
        effects.flat_map(|effects| activated(&effects)).collect::<BTreeSet<_>>()
    };
    let (one, other) = (first_widening(1), first_widening(2));
    assert!(!one.is_empty());
    assert!(one.intersection(&other).count() * 2 < one.len(), "{one:?} and {other:?}");
}

/// Guards against a start that waits in a dead path behind the activation of a link on standby: the
/// agent reads both seconds later and carries out the start, which the entry has sent elsewhere.
#[test]
fn nothing_is_sent_on_a_link_before_its_agent_knows_that_it_is_active() {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let hello = AgentHello { agent: "a".into(), incarnation: 1, entries: Vec::new() };
    let (agent, _, _) = dispatcher.on_agent_hello(&hello, 0);
    let seen = |switches_seen: u64, up: Option<Upstream>| {
        let mut report = report(up, cores(8), 0);
        report.load.switches_seen = switches_seen;
        report
    };
    // The report that follows the handshake activates the link.
    let effects = dispatcher.on_report(agent, seen(0, Some(upstream("u", 1))), 1);
    assert_eq!(activated(&effects), [agent]);
    assert!(attempts(&submit(&mut dispatcher, job("j", 1), 2).1).is_empty());
    // A report that was under way when the link was activated proves nothing.
    assert!(attempts(&dispatcher.on_report(agent, seen(0, None), 3)).is_empty());
    assert_eq!(attempts(&dispatcher.on_report(agent, seen(1, None), 4)).len(), 1);
}
