//! Tests of kinds of jobs that crash upstreams: how much of a pool they may take down.

mod common;

use std::{collections::BTreeSet, sync::Arc};

use common::{attempts, batches, cores, job, report, submit, task, upstream};
use direct::{
    AgentHello, AgentKey, Crash, CrashNotice, DirectJob, Dispatcher, DispatcherEffect, Suspect,
    Timing,
};

const AGENTS: u32 = 12;

struct Entry {
    dispatcher: Dispatcher,
    agents: Vec<AgentKey>,
    jobs: u32,
}

impl Entry {
    /// Returns an entry that has started as many jobs of each kind.
    fn new(seed: u64, kinds: &[&str]) -> Self {
        let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), seed);
        let add = |i| {
            let name = format!("a{i}");
            let hello =
                AgentHello { agent: name.as_str().into(), incarnation: 1, entries: Vec::new() };
            let (key, _, _) = dispatcher.on_agent_hello(&hello, 0);
            dispatcher.on_report(key, report(Some(upstream(&name, 1)), cores(8), 0), 0);
            key
        };
        let agents = (0..AGENTS).map(add).collect();
        let mut entry = Self { dispatcher, agents, jobs: 0 };
        for _ in 0..20 {
            kinds.iter().for_each(|kind| drop(entry.submit(kind, 0)));
            entry.idle(0);
        }
        entry
    }

    /// Submits a job of two tasks.
    fn submit(&mut self, kind: &str, now_ms: u64) -> Vec<DispatcherEffect> {
        self.jobs += 1;
        let kind = Arc::from(kind);
        let job = DirectJob { kind, ..job(&format!("job-{}", self.jobs), 2) };
        submit(&mut self.dispatcher, job, now_ms).1
    }

    /// Reports all agents as idle.
    fn idle(&mut self, now_ms: u64) -> Vec<DispatcherEffect> {
        let agents = self.agents.clone().into_iter();
        agents
            .flat_map(|key| self.dispatcher.on_report(key, report(None, cores(8), 1_000), now_ms))
            .collect()
    }

    /// Reports a crash of an agent's upstream with one suspected job of each given kind.
    fn crash(&mut self, agent: usize, incarnation: u64, kinds: &[&str], now_ms: u64) {
        self.idle(now_ms);
        let suspect = |kind: &&str| Suspect {
            task: task(&format!("{kind}-{now_ms}"), 0),
            kind: (*kind).into(),
        };
        let suspects = kinds.iter().map(suspect).collect();
        let mut report = report(None, cores(8), 1_000);
        report.crashes = vec![CrashNotice::Crashed(Crash { incarnation, age_ms: 0, suspects })];
        self.dispatcher.on_report(self.agents[agent], report, now_ms);
    }

    /// Returns the agents to which as many jobs of a kind go as this number of agents has room for.
    fn agents_of(&mut self, kind: &str, room: u32, now_ms: u64) -> BTreeSet<AgentKey> {
        self.idle(now_ms);
        let sent: Vec<_> =
            (0..4 * room).flat_map(|_| attempts(&self.submit(kind, now_ms))).collect();
        sent.into_iter().map(|(agent, _)| agent).collect()
    }
}

// Incident docs/incidents/deadly-tasks.md: the first starts of one kind took down the whole fleet.
#[test]
fn a_kind_that_keeps_crashing_upstreams_is_contained_to_a_part_of_the_pool() {
    let mut entry = Entry::new(1, &["deadly", "b", "c"]);
    for crash in 0..4 {
        entry.crash(crash, 1, &["deadly"], 1_000 + 300 * crash as u64);
    }
    let contained = entry.agents_of("deadly", 8, 2_000);
    assert_eq!(contained.len(), 4, "a third of the work, so a third of 12 upstreams");
    // Another entry that has learned of the same crashes chooses the same upstreams.
    let mut other = Entry::new(2, &["deadly", "b", "c"]);
    for crash in 0..4 {
        other.crash(crash, 1, &["deadly"], 1_000 + 300 * crash as u64);
    }
    assert_eq!(other.agents_of("deadly", 8, 2_000), contained);
}

#[test]
fn other_kinds_avoid_the_upstreams_of_a_contained_one_until_the_rest_is_full() {
    let mut entry = Entry::new(1, &["deadly", "b", "c"]);
    for crash in 0..4 {
        entry.crash(crash, 1, &["deadly"], 1_000 + 300 * crash as u64);
    }
    let contained = entry.agents_of("deadly", 4, 2_000);
    let first = |entry: &mut Entry, jobs: usize| -> BTreeSet<AgentKey> {
        entry.idle(2_010);
        (0..jobs).flat_map(|_| attempts(&entry.submit("b", 2_010))).map(|(key, _)| key).collect()
    };
    // Eight upstreams have room for 64 tasks.
    assert!(first(&mut entry, 32).is_disjoint(&contained));
    assert!(!first(&mut entry, 36).is_disjoint(&contained));
}

#[test]
fn a_kind_is_free_again_when_nothing_has_crashed_under_it_for_a_while() {
    let mut entry = Entry::new(1, &["deadly", "b", "c"]);
    for crash in 0..4 {
        entry.crash(crash, 1, &["deadly"], 1_000 + 300 * crash as u64);
    }
    assert_eq!(entry.agents_of("deadly", 4, 6_800).len(), 4);
    assert_eq!(entry.agents_of("deadly", AGENTS, 6_900).len(), 12);
}

#[test]
fn crashes_that_come_with_every_kind_contain_none() {
    let mut entry = Entry::new(1, &["a", "b", "c"]);
    for round in 0..30 {
        let kinds = [["a"], ["b"], ["c"]][round as usize % 3];
        entry.crash(round as usize % 12, round, &kinds, 1_000 + 200 * round);
    }
    for kind in ["a", "b", "c"] {
        assert_eq!(entry.agents_of(kind, AGENTS, 7_000).len(), 12, "kind {kind}");
    }
}

#[test]
fn the_only_kind_of_a_pool_keeps_the_whole_pool() {
    let mut entry = Entry::new(1, &["deadly"]);
    for round in 0..6 {
        entry.crash(round as usize, 1, &["deadly"], 1_000 + 300 * round);
    }
    assert_eq!(entry.agents_of("deadly", AGENTS, 3_000).len(), 12);
}

// The parts of a pool were taken of the work of all pools.
#[test]
fn work_in_other_pools_does_not_make_a_part_smaller() {
    let mut entry = Entry::new(1, &["deadly"]);
    let hello = AgentHello { agent: "other".into(), incarnation: 1, entries: Vec::new() };
    let (other, _, _) = entry.dispatcher.on_agent_hello(&hello, 0);
    let elsewhere = direct::Upstream { pool: "bakery".into(), ..upstream("other", 1) };
    for n in 0..60 {
        entry.dispatcher.on_report(other, report(Some(elsewhere.clone()), cores(8), 1_000), 0);
        let job = DirectJob {
            pool: "bakery".into(),
            kind: "bake".into(),
            ..job(&format!("other-{n}"), 2)
        };
        submit(&mut entry.dispatcher, job, 0);
    }
    for round in 0..6 {
        entry.crash(round as usize, 1, &["deadly"], 1_000 + 300 * round);
    }
    assert_eq!(entry.agents_of("deadly", AGENTS, 3_000).len(), 12);
}

#[test]
fn a_suspected_job_starts_only_where_its_kind_would_be_contained() {
    let mut entry = Entry::new(1, &["a", "b", "c", "d"]);
    entry.crash(0, 1, &["a"], 1_000);
    assert_eq!(entry.agents_of("a", AGENTS, 1_100).len(), 12);
    let mut seen = BTreeSet::new();
    for n in 0..40 {
        let now_ms = 1_200 + n;
        entry.idle(now_ms);
        let suspect = DirectJob { kind: "a".into(), ..job("a-1000", 2) };
        let (key, effects) = submit(&mut entry.dispatcher, suspect, now_ms);
        let sent = batches(&effects);
        assert!(sent.iter().all(|(_, batch)| batch.is_suspect));
        seen.extend(sent.into_iter().map(|(agent, _)| agent));
        entry.dispatcher.cancel(key, now_ms);
    }
    assert!((1..=3).contains(&seen.len()), "a quarter of 12 upstreams, not {}", seen.len());
}
