//! Tests of evacuated zones: no task starts there, and the rest of the system goes on.

mod common;

use std::{collections::BTreeSet, sync::Arc};

use common::{
    activated, attempts, batch, cores, grant, hear, job, on_standby, open, report,
    simulation::{Entry, Host, HostFaults, Link, STEP_MS},
    step, submit, upstream,
};
use direct::{
    AgentHello, AgentKey, AttemptOutcome, DirectJob, Dispatcher, DispatcherEffect, Evacuations,
    JobOutcome, JobStep, RefusalReason, SettledBy, StartResult, Supervisor, SupervisorEffect,
    Timing, ToAgent, UnsettledAttempts, Upstream, ZoneRecord,
};

const ZONES: [&str; 4] = ["mid-a", "mid-b", "mid-c", "mid-d"];
/// Period in which each entry gets a job in a burst, milliseconds.
const BURST_PERIOD_MS: u64 = 20;
/// Time after which an order must be in force, once the store has acknowledged it, milliseconds.
const IN_FORCE_MS: u64 = 5_000;
/// Period in which entries tell each other what they know, milliseconds.
const PEER_PERIOD_MS: u64 = 600;

fn evacuate(zone: &str, offset: u64) -> Evacuations {
    let record = ZoneRecord { offset, is_evacuated: true };
    Evacuations::from_listing(Some(offset + 1), [(zone.into(), record)])
}

fn nothing_evacuated(end: u64) -> Evacuations {
    Evacuations::from_listing(Some(end), [])
}

/// Three entries, and eight hosts in four zones.
struct World {
    entries: Vec<Entry>,
    hosts: Vec<Host>,
    now_ms: u64,
    jobs: usize,
}

impl World {
    fn new() -> Self {
        let links = || (0..3).map(|_| Link::new(Vec::new(), Vec::new())).collect();
        let host = |n: usize| Host::in_zone(ZONES[n % 4], n, links(), HostFaults::default());
        let mut world = Self {
            entries: (0..3).map(|e| Entry::new(e, e as u64)).collect(),
            hosts: (0..8).map(host).collect(),
            now_ms: 10,
            jobs: 0,
        };
        world.run_until(500, |_| {});
        world
    }

    /// Lets time pass in a burst: each entry gets a job of two tasks every [`BURST_PERIOD_MS`].
    fn run_until(&mut self, end_ms: u64, mut act: impl FnMut(&mut Self)) {
        while self.now_ms < end_ms {
            let is_due = self.now_ms >= 200 && self.now_ms.is_multiple_of(BURST_PERIOD_MS);
            for e in (0..3).filter(|_| is_due) {
                let submitted = job(&format!("j{}", self.jobs), 2);
                self.jobs += 1;
                self.entries[e].submit(&mut self.hosts, submitted, false, self.now_ms);
            }
            act(self);
            self.hosts.iter_mut().for_each(|host| host.step(self.now_ms));
            for entry in &mut self.entries {
                entry.step(&mut self.hosts, self.now_ms);
            }
            self.now_ms += STEP_MS;
        }
    }

    fn learn(&mut self, e: usize, value: &Evacuations) {
        self.entries[e].merge_evacuations(&mut self.hosts, value, self.now_ms);
    }

    /// Returns the number of starts from `from_ms` on, in a zone.
    fn starts(&self, zone: usize, from_ms: u64) -> usize {
        let in_zone = self.hosts.iter().skip(zone).step_by(4);
        in_zone.flat_map(|host| &host.started_ms).filter(|ms| **ms >= from_ms).count()
    }

    fn assert_no_job_failed(&self) {
        let answers = self.entries.iter().flat_map(|entry| entry.answers.values());
        let failed: Vec<_> = answers.filter(|outcome| **outcome == JobOutcome::Failed).collect();
        assert!(failed.is_empty(), "{} jobs failed", failed.len());
    }
}

// Guards against starts in an evacuated zone by an entry that learns of the order late, or never.
#[test]
fn one_informed_entry_stops_all_starts_in_the_zone_during_a_burst() {
    let mut world = World::new();
    assert!(world.starts(0, 0) > 0, "the burst uses the zone");
    world.learn(0, &evacuate("mid-a", 7));
    let ordered_ms = world.now_ms;
    world.run_until(ordered_ms + PEER_PERIOD_MS, |_| {});
    let value = world.entries[0].dispatcher.evacuations().clone();
    world.learn(1, &value);
    world.run_until(ordered_ms + 6_000, |_| {});
    assert_eq!(world.starts(0, ordered_ms + 2 * STEP_MS), 0);
    assert!(world.starts(1, ordered_ms + IN_FORCE_MS) > 0, "the other zones go on");
    assert!(world.entries.iter().all(|entry| entry.dispatcher.is_ready(world.now_ms)));
    world.assert_no_job_failed();
    // The agents accept attempts as soon as one entry knows that the order was removed.
    world.learn(1, &nothing_evacuated(20));
    let removed_ms = world.now_ms;
    world.run_until(removed_ms + 200, |_| {});
    assert!(world.starts(0, removed_ms) > 0);
}

// Guards against an agent that has lost what it knew with its process, and starts tasks for an entry
// that knows nothing.
#[test]
fn restarted_agents_start_nothing_in_the_zone() {
    let mut world = World::new();
    (0..2).for_each(|e| world.learn(e, &evacuate("mid-a", 7)));
    let ordered_ms = world.now_ms + 2 * STEP_MS;
    for host in [0, 1, 4, 5] {
        let killed_ms = world.now_ms;
        world.hosts[host].kill();
        world.run_until(killed_ms + 400, |_| {});
        let now_ms = world.now_ms;
        world.hosts[host].restart(now_ms);
        // The uninformed entry is the first one that a restarted agent does not reach.
        world.hosts[host].delay_dial(2, 100);
        world.run_until(now_ms + 1_500, |_| {});
    }
    assert_eq!(world.starts(0, ordered_ms), 0);
    assert!(world.starts(1, ordered_ms) > 0, "the other zones go on");
    world.assert_no_job_failed();
}

// Guards against an order that lapses while the store cannot be read, or that an older state from a
// peer undoes.
#[test]
fn an_order_stays_in_force_during_an_outage_of_the_store() {
    let mut world = World::new();
    let before = world.entries[2].dispatcher.evacuations().clone();
    (0..2).for_each(|e| world.learn(e, &evacuate("mid-a", 7)));
    let ordered_ms = world.now_ms + 2 * STEP_MS;
    world.run_until(ordered_ms + 12_000, |world| {
        if world.now_ms.is_multiple_of(PEER_PERIOD_MS) {
            world.learn(0, &before);
            world.learn(1, &nothing_evacuated(6));
        }
    });
    assert_eq!(world.starts(0, ordered_ms), 0);
    assert!(world.starts(2, ordered_ms + 10_000) > 0, "the other zones go on");
}

// Guards against an order that is forgotten, or that outlives its removal, when the zone's machines
// are lost and come back.
#[test]
fn a_zone_that_is_lost_while_evacuated_comes_back_in_the_state_of_now() {
    let mut world = World::new();
    (0..3).for_each(|e| world.learn(e, &evacuate("mid-a", 7)));
    let ordered_ms = world.now_ms + 2 * STEP_MS;
    world.run_until(ordered_ms + 300, |_| {});
    [0, 4].into_iter().for_each(|host| world.hosts[host].kill());
    world.run_until(ordered_ms + 1_000, |_| {});
    let now_ms = world.now_ms;
    world.hosts[0].restart(now_ms);
    world.run_until(ordered_ms + 3_500, |_| {});
    assert_eq!(world.starts(0, ordered_ms), 0, "the order is still in force");
    (0..3).for_each(|e| world.learn(e, &nothing_evacuated(20)));
    let removed_ms = world.now_ms;
    world.hosts[4].restart(removed_ms);
    world.run_until(removed_ms + 2_500, |_| {});
    assert!(world.hosts[0].started_ms.iter().any(|ms| *ms >= removed_ms));
    assert!(world.hosts[4].started_ms.iter().any(|ms| *ms >= removed_ms));
    world.assert_no_job_failed();
}

fn connect(
    dispatcher: &mut Dispatcher,
    name: &str,
    zone: &str,
) -> (AgentKey, Vec<DispatcherEffect>) {
    let hello = AgentHello { agent: name.into(), incarnation: 1, entries: Vec::new() };
    let (key, _, mut effects) = dispatcher.on_agent_hello(&hello, 0);
    let up = Upstream { zone: zone.into(), ..upstream(name, 1) };
    effects.extend(dispatcher.on_report(key, report(Some(up), cores(8), 0), 0));
    (key, effects)
}

/// An entry in `mid-a` with 60 agents in four zones, and its active links.
fn large_entry() -> (Dispatcher, BTreeSet<AgentKey>) {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let mut active = BTreeSet::new();
    for n in 0..60 {
        let (_, effects) = connect(&mut dispatcher, &format!("agent-{n}"), ZONES[n % 4]);
        active.extend(activated(&effects));
    }
    (dispatcher, active)
}

fn in_zone_a(key: &AgentKey) -> bool {
    key.0.is_multiple_of(4)
}

// Guards against an entry in an evacuated zone that has no links left, and against a start that is
// sent before an agent knows the order.
#[test]
fn an_entry_in_the_evacuated_zone_goes_on_with_links_to_other_zones() {
    let (mut dispatcher, mut active) = large_entry();
    let (changes, effects) = dispatcher.merge_evacuations(&evacuate("mid-a", 7), 100);
    assert_eq!(changes.len(), 1);
    let told = effects
        .iter()
        .take_while(|effect| matches!(effect, DispatcherEffect::Send(_, ToAgent::Evacuations(_))));
    assert_eq!(told.count(), 60, "all agents are told, and first");
    on_standby(&effects).iter().for_each(|key| assert!(active.remove(key)));
    active.extend(activated(&effects));
    assert!(!active.iter().any(in_zone_a));
    assert!(active.len() >= 24, "{} links are active", active.len());
    for key in &active {
        dispatcher.on_report(*key, report(None, cores(8), 0), 101);
    }
    assert!(dispatcher.is_ready(102));
    let (_, effects) = submit(&mut dispatcher, job("j", 40), 102);
    let sent = attempts(&effects);
    assert_eq!(sent.len(), 40);
    assert!(!sent.iter().any(|(key, _)| in_zone_a(key)));
    // When the order is removed, the near links are active again.
    let (_, effects) = dispatcher.merge_evacuations(&nothing_evacuated(9), 200);
    assert_eq!(activated(&effects).iter().filter(|key| in_zone_a(key)).count(), 15);
}

fn outcomes(effects: &[DispatcherEffect]) -> Vec<JobOutcome> {
    let outcome = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Answer(_, outcome) => Some(*outcome),
        _ => None,
    };
    effects.iter().filter_map(outcome).collect()
}

const REFUSED: JobOutcome =
    JobOutcome::NotRun { reason: RefusalReason::NoUpstream, retry_after_ms: 1_000 };

// Guards against jobs that are answered as failed, or as refused because of overload, although the
// evacuation is the reason.
#[test]
fn a_job_that_fits_evacuated_upstreams_only_is_refused() {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-b".into(), 1);
    let (special, _) = connect(&mut dispatcher, "special", "mid-a");
    let labels = vec!["special".into()];
    let up = Upstream { labels, ..upstream("special", 1) };
    dispatcher.on_report(special, report(Some(up), cores(1), 0), 0);
    connect(&mut dispatcher, "other", "mid-b");
    let of_special = |id: &str| DirectJob {
        steps: vec![JobStep { label: Some("special".into()), ..step(1) }],
        ..job(id, 1)
    };
    assert_eq!(attempts(&submit(&mut dispatcher, of_special("i"), 5).1).len(), 1);
    submit(&mut dispatcher, of_special("j"), 6);
    let (_, effects) = dispatcher.merge_evacuations(&evacuate("mid-a", 7), 10);
    assert_eq!(outcomes(&effects), [REFUSED], "the job that waits is refused, not the other one");
    assert_eq!(outcomes(&submit(&mut dispatcher, of_special("k"), 20).1), [REFUSED]);
    assert_eq!(attempts(&submit(&mut dispatcher, job("l", 1), 30).1).len(), 1);
}

// Guards against a start at an agent whose link stays active because a task still runs there.
#[test]
fn a_link_that_is_active_for_a_running_task_gets_no_other_one() {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let (near, _) = connect(&mut dispatcher, "near", "mid-a");
    let (far, _) = connect(&mut dispatcher, "far", "mid-b");
    let [(chosen, running)] = attempts(&submit(&mut dispatcher, job("i", 1), 5).1)[..] else {
        panic!("the task starts")
    };
    assert_eq!(chosen, near);
    let (_, effects) = dispatcher.merge_evacuations(&evacuate("mid-a", 7), 10);
    assert!(on_standby(&effects).is_empty(), "the link protects the run");
    let sent = attempts(&submit(&mut dispatcher, job("j", 2), 20).1);
    assert_eq!(sent.iter().map(|(key, _)| *key).collect::<Vec<_>>(), [far, far]);
    let mut ended = report(None, cores(8), 1);
    ended.outcomes = vec![(running, AttemptOutcome::Done { run_ms: 20 })];
    dispatcher.on_report(near, ended, 30);
    assert_eq!(on_standby(&dispatcher.tick(40)), [near]);
}

fn agent() -> Supervisor {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    supervisor.on_heartbeat(upstream("u", 1), 1, 0);
    open(&mut supervisor);
    supervisor
}

fn is_start(effect: &&SupervisorEffect) -> bool {
    matches!(effect, SupervisorEffect::Start(_))
}

// Guards against a start that was accepted before the order, and waits for its turn or for a repeat.
#[test]
fn an_agent_sends_no_start_that_it_has_accepted_before_the_order() {
    let mut agent = agent();
    let none = UnsettledAttempts::default();
    let (entry, _) = agent.on_entry_hello(&Arc::from("e"), 1, &none, 2, 2);
    let effects = agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    assert_eq!(effects.iter().filter(is_start).count(), 1);
    let task = common::task("j", 0);
    let effects = agent.merge_evacuations(&evacuate("mid-a", 7));
    let is_told =
        |effect: &&SupervisorEffect| matches!(effect, SupervisorEffect::EvacuationChanged(_));
    assert_eq!(effects.iter().filter(is_told).count(), 1);
    assert!(!agent.may_send_start(&task, 1, 11));
    assert!(agent.on_start_overdue(&task, 1).is_empty());
    agent.on_start_result(&task, 1, StartResult::Refused, 12);
    let report = agent.report(entry, false).expect("the entry is connected");
    assert!(!report.load.is_open);
    assert_eq!(report.outcomes.len(), 1);
    hear(&mut agent, entry, 20);
    let effects = agent.on_attempts(entry, &batch("k", &[2], cores(1)), 20);
    let refused = effects.iter().any(|effect| {
        matches!(
            effect,
            SupervisorEffect::Settled {
                outcome: AttemptOutcome::NotStarted,
                by: SettledBy::Evacuation,
                ..
            }
        )
    });
    assert!(refused, "{effects:?}");
}

// Guards against runs that an evacuation ends.
#[test]
fn running_tasks_go_on() {
    let mut agent = agent();
    let none = UnsettledAttempts::default();
    let (entry, _) = agent.on_entry_hello(&Arc::from("e"), 1, &none, 2, 2);
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    agent.on_start_result(&common::task("j", 0), 1, StartResult::Started, 11);
    let effects = agent.merge_evacuations(&evacuate("mid-a", 7));
    assert!(!effects.iter().any(|effect| matches!(effect, SupervisorEffect::Stop(..))));
    assert!(!agent.is_idle());
}

fn cold(cold_ms: u64) -> Upstream {
    Upstream { cold_ms, ..upstream("u", 1) }
}

// Guards against a cold executor that gets all the tasks that it could run when warm.
#[test]
fn a_cold_upstream_is_offered_in_growing_parts() {
    let mut agent = agent();
    let warming = agent.on_heartbeat(cold(4_000), 2, 1_000);
    assert!(warming.contains(&SupervisorEffect::Warming { remaining_ms: 4_000 }));
    assert_eq!(agent.free(), cores(2));
    agent.tick(3_000);
    assert_eq!(agent.free(), cores(5));
    // The time that remains shrinks; a heartbeat that was held up is no new warm-up.
    assert!(agent.on_heartbeat(cold(2_200), 3, 3_000).is_empty());
    agent.tick(5_200);
    assert_eq!(agent.free(), cores(8));
    assert!(agent.on_heartbeat(cold(100), 4, 5_300).is_empty());
    let warm = agent.on_heartbeat(cold(0), 5, 6_000);
    assert!(warm.contains(&SupervisorEffect::Warm));
    agent.on_heartbeat(cold(8_000), 6, 7_000);
    assert_eq!(agent.free(), cores(2), "it may become cold again");
}

// Guards against a ramp whose every step is a report to every entry.
#[test]
fn a_warm_up_changes_the_offer_a_limited_number_of_times() {
    let mut agent = agent();
    agent.on_heartbeat(cold(4_000), 2, 1_000);
    let mut offers = BTreeSet::new();
    for now_ms in (1_000..6_000).step_by(20) {
        agent.tick(now_ms);
        offers.insert(agent.free().milli_cores);
    }
    assert_eq!(offers.len(), 13, "{offers:?}");
}

// Guards against a speed that is learned while the upstream is cold: the upstream was avoided long
// after it had become warm.
#[test]
fn runs_on_a_cold_upstream_teach_no_speed() {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let (key, _) = connect(&mut dispatcher, "u", "mid-a");
    dispatcher.on_report(key, report(Some(cold(4_000)), cores(8), 0), 1);
    for n in 0..8 {
        let now_ms = 10 + 1_000 * n;
        let mut effects = dispatcher.on_report(key, report(None, cores(8), u64::MAX), now_ms);
        effects.extend(dispatcher.submit(job(&format!("j{n}"), 1), now_ms).1);
        let [(_, id)] = attempts(&grant(&mut dispatcher, effects, now_ms))[..] else {
            panic!("the task starts")
        };
        // The last task ends when the upstream is warm again.
        let warm = (n == 7).then(|| cold(0));
        let mut ended = report(warm, cores(8), u64::MAX);
        ended.outcomes = vec![(id, AttemptOutcome::Done { run_ms: 900 })];
        dispatcher.on_report(key, ended, now_ms + 900);
    }
    let speed = dispatcher.agent_summary(key, 9_000).map(|summary| summary.speed);
    assert_eq!(speed, Some(1.0));
}
