//! Tests of tasks that crash their upstreams: who is suspected, who is given up, who is not.

mod common;

use std::sync::Arc;

use common::{
    attempts, batch, cores, hear, job, open, replace, report, run_list, submit, task, upstream,
};
use direct::{
    AgentHello, AgentKey, AttemptId, AttemptOutcome, Crash, CrashNotice, Dispatcher,
    DispatcherEffect, JobOutcome, SessionKey, StartResult, Supervisor, SupervisorEffect, Suspect,
    Timing, UnsettledAttempts,
};

struct Agent {
    supervisor: Supervisor,
    entry: SessionKey,
}

impl Agent {
    fn new() -> Self {
        let mut supervisor = Supervisor::new(Timing::default(), 0);
        supervisor.on_heartbeat(upstream("u", 1), 1, 0);
        open(&mut supervisor);
        let (entry, _) =
            supervisor.on_entry_hello(&Arc::from("e1"), 1, &UnsettledAttempts::default(), 2, 2);
        supervisor.report(entry, true);
        Self { supervisor, entry }
    }

    fn start(&mut self, job: &str, id: u64, now_ms: u64) {
        self.supervisor.on_attempts(self.entry, &batch(job, &[id], cores(1)), now_ms);
        self.supervisor.on_start_result(&task(job, 0), 1, StartResult::Started, now_ms + 1);
    }

    fn notices(&mut self) -> Vec<CrashNotice> {
        self.supervisor.report(self.entry, false).map_or_else(Vec::new, |report| report.crashes)
    }
}

fn suspects(jobs: &[&str]) -> Vec<Suspect> {
    jobs.iter().map(|job| Suspect { task: task(job, 0), kind: "scale".into() }).collect()
}

fn crash(incarnation: u64, jobs: &[&str]) -> CrashNotice {
    CrashNotice::Crashed(Crash { incarnation, age_ms: 0, suspects: suspects(jobs) })
}

#[test]
fn the_jobs_that_had_just_started_are_suspected_of_a_crash() {
    let mut agent = Agent::new();
    agent.start("old", 1, 10);
    agent.start("first", 2, 480);
    agent.start("last", 3, 490);
    agent.supervisor.on_call_timeout(500);
    // This start reaches nobody, so it cannot be the cause.
    agent.supervisor.on_attempts(agent.entry, &batch("late", &[4], cores(1)), 501);
    agent.supervisor.on_call_refused(502);
    agent.supervisor.on_start_result(&task("late", 0), 1, StartResult::Undelivered, 502);
    hear(&mut agent.supervisor, agent.entry, 510);
    agent.supervisor.tick(510);
    assert_eq!(agent.notices(), [crash(1, &["last", "first"])]);
}

#[test]
fn a_cut_from_the_upstream_is_no_crash() {
    let mut agent = Agent::new();
    agent.start("j", 1, 490);
    for at_ms in [500, 650, 800] {
        agent.supervisor.on_call_timeout(at_ms);
        hear(&mut agent.supervisor, agent.entry, at_ms);
    }
    let end_ms = 500 + Timing::default().lease_end_ms();
    hear(&mut agent.supervisor, agent.entry, end_ms);
    agent.supervisor.tick(end_ms);
    let report = agent.supervisor.report(agent.entry, false).expect("the session is connected");
    assert_eq!(report.outcomes, [(AttemptId(1), AttemptOutcome::Lost)]);
    assert_eq!(report.crashes, []);
    agent.supervisor.on_run_list(&run_list(end_ms + 1, &[]));
    assert_eq!(agent.notices(), []);
}

#[test]
fn a_silent_outage_is_a_crash_when_another_incarnation_follows() {
    let mut agent = Agent::new();
    agent.start("old", 1, 400);
    agent.start("j", 2, 490);
    [500, 650, 800].into_iter().for_each(|at_ms| drop(agent.supervisor.on_call_timeout(at_ms)));
    replace(&mut agent.supervisor, 2, 900);
    assert_eq!(agent.notices(), [crash(1, &["j"])]);
}

#[test]
fn a_crash_is_withdrawn_when_the_same_incarnation_answers() {
    let mut agent = Agent::new();
    agent.start("j", 1, 490);
    agent.supervisor.on_call_refused(500);
    agent.supervisor.tick(510);
    agent.supervisor.on_run_list(&run_list(700, &[(&task("j", 0), 1)]));
    assert_eq!(agent.notices(), [crash(1, &["j"]), CrashNotice::Refuted(1)]);
    agent.supervisor.on_entry_hello(&Arc::from("e1"), 1, &UnsettledAttempts::default(), 800, 800);
    assert_eq!(agent.notices(), []);
}

#[test]
fn an_upstream_that_leaves_does_not_crash() {
    let mut agent = Agent::new();
    agent.start("j", 1, 490);
    agent.supervisor.on_upstream_leaving();
    agent.supervisor.on_call_refused(500);
    agent.supervisor.tick(510);
    replace(&mut agent.supervisor, 2, 520);
    let report = agent.supervisor.report(agent.entry, false).expect("the session is connected");
    assert_eq!(report.outcomes, [(AttemptId(1), AttemptOutcome::Lost)]);
    assert_eq!(report.crashes, []);
}

#[test]
fn an_entry_that_connects_after_a_crash_learns_of_it() {
    let mut agent = Agent::new();
    agent.start("j", 1, 490);
    agent.supervisor.on_call_refused(500);
    agent.supervisor.tick(510);
    replace(&mut agent.supervisor, 2, 2_000);
    let (entry, _) = agent.supervisor.on_entry_hello(
        &Arc::from("e2"),
        1,
        &UnsettledAttempts::default(),
        3_000,
        3_000,
    );
    let report = agent.supervisor.report(entry, false).expect("the session is connected");
    let known = Crash { incarnation: 1, age_ms: 2_500, suspects: suspects(&["j"]) };
    assert_eq!(report.crashes, [CrashNotice::Crashed(known)]);
}

#[test]
fn a_suspected_job_starts_alone() {
    let mut agent = Agent::new();
    agent.start("old", 1, 100);
    agent.start("fresh", 2, 190);
    let starts = |effects: Vec<SupervisorEffect>| {
        let job = |effect| match effect {
            SupervisorEffect::Start(start) => Some(start.task.job),
            _ => None,
        };
        effects.into_iter().filter_map(job).collect::<Vec<_>>()
    };
    let mut suspect = batch("again", &[3, 4], cores(1));
    suspect.is_suspect = true;
    let held = agent.supervisor.on_attempts(agent.entry, &suspect, 200);
    assert_eq!(starts(held), Vec::<Arc<str>>::new());
    assert_eq!(agent.supervisor.free(), cores(4));
    agent.supervisor.on_attempts(agent.entry, &batch("next", &[5], cores(1)), 210);
    assert!(agent.supervisor.report(agent.entry, false).is_some_and(|report| !report.load.is_open));
    assert_eq!(starts(agent.supervisor.tick(215)), Vec::<Arc<str>>::new());
    assert_eq!(
        starts(agent.supervisor.tick(220)),
        ["again".into(), "again".into()] as [Arc<str>; 2]
    );
    agent.supervisor.tick(249);
    assert!(agent.supervisor.report(agent.entry, false).is_some_and(|report| !report.load.is_open));
    agent.supervisor.tick(250);
    assert!(agent.supervisor.report(agent.entry, false).is_some_and(|report| report.load.is_open));
    agent.supervisor.on_call_refused(292);
    agent.supervisor.tick(300);
    // No run has just started, so the suspected ones are the cause.
    let both = (0..2).map(|index| Suspect { task: task("again", index), kind: "scale".into() });
    let expected = Crash { incarnation: 1, age_ms: 0, suspects: both.collect() };
    assert_eq!(agent.notices(), [CrashNotice::Crashed(expected)]);
}

// A task that had not started counted as one that shared the crash.
#[test]
fn a_held_start_has_not_run_when_the_upstream_crashes() {
    let mut agent = Agent::new();
    agent.start("fresh", 1, 190);
    let mut suspect = batch("again", &[2], cores(1));
    suspect.is_suspect = true;
    agent.supervisor.on_attempts(agent.entry, &suspect, 200);
    replace(&mut agent.supervisor, 2, 205);
    let report = agent.supervisor.report(agent.entry, false).expect("the session is connected");
    let expected =
        [(AttemptId(1), AttemptOutcome::Crashed), (AttemptId(2), AttemptOutcome::NotStarted)];
    assert_eq!(report.outcomes, expected);
    assert_eq!(report.crashes, [crash(1, &["fresh"])]);
}

struct Entry {
    dispatcher: Dispatcher,
    agents: Vec<AgentKey>,
}

impl Entry {
    fn new(agents: usize) -> Self {
        let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
        let keys = (0..agents).map(|i| {
            let name = format!("a{i}");
            let hello =
                AgentHello { agent: name.as_str().into(), incarnation: 1, entries: Vec::new() };
            let (key, _, _) = dispatcher.on_agent_hello(&hello, 0);
            dispatcher.on_report(key, report(Some(upstream(&name, 1)), cores(8), 0), 0);
            key
        });
        let agents = keys.collect();
        Self { dispatcher, agents }
    }

    fn submit(&mut self, id: &str, now_ms: u64) -> Vec<DispatcherEffect> {
        let job = direct::DirectJob { caller_timeout_ms: 20_000, ..job(id, 1) };
        submit(&mut self.dispatcher, job, now_ms).1
    }

    /// Reports a crash of an agent's upstream. All others report too, so that none is silent.
    fn crash(
        &mut self,
        agent: AgentKey,
        notice: CrashNotice,
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        for key in self.agents.clone() {
            self.dispatcher.on_report(key, report(None, cores(8), 1_000), now_ms);
        }
        let mut report = report(None, cores(8), 1_000);
        report.crashes = vec![notice];
        self.dispatcher.on_report(agent, report, now_ms)
    }

    fn settle(
        &mut self,
        (agent, id): (AgentKey, AttemptId),
        outcome: AttemptOutcome,
        now_ms: u64,
    ) -> Vec<DispatcherEffect> {
        for key in self.agents.clone() {
            self.dispatcher.on_report(key, report(None, cores(8), 1_000), now_ms);
        }
        let mut report = report(None, cores(8), 1_000);
        report.outcomes = vec![(id, outcome)];
        self.dispatcher.on_report(agent, report, now_ms)
    }
}

fn answers(effects: &[DispatcherEffect]) -> Vec<JobOutcome> {
    let answer = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Answer(_, outcome) => Some(*outcome),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

#[test]
fn a_job_that_was_alone_suspected_of_two_crashes_is_failed_everywhere() {
    let mut entry = Entry::new(4);
    let [first] = attempts(&entry.submit("deadly", 0))[..] else { panic!("the task starts") };
    entry.crash(first.0, crash(1, &["deadly"]), 10);
    let again = entry.settle(first, AttemptOutcome::Crashed, 1_000);
    let [second] = attempts(&again)[..] else { panic!("the task starts again") };
    let effects = entry.crash(second.0, crash(2, &["deadly"]), 1_010);
    assert_eq!(answers(&effects), [JobOutcome::Failed]);
    // At another entry, where its caller submits it again.
    let mut other = Entry::new(4);
    other.crash(first.0, crash(1, &["deadly"]), 10);
    assert_eq!(answers(&other.submit("deadly", 500)), []);
    other.crash(second.0, crash(2, &["deadly"]), 1_010);
    assert_eq!(answers(&other.submit("deadly", 1_500)), [JobOutcome::Failed]);
}

#[test]
fn an_innocent_job_that_shares_two_crashes_is_not_given_up() {
    let mut entry = Entry::new(4);
    let [first] = attempts(&entry.submit("innocent", 0))[..] else { panic!("the task starts") };
    entry.crash(first.0, crash(1, &["deadly", "innocent"]), 10);
    let again = entry.settle(first, AttemptOutcome::Crashed, 1_000);
    let [second] = attempts(&again)[..] else { panic!("the task starts again") };
    entry.crash(second.0, crash(2, &["innocent", "other"]), 1_010);
    let again = entry.settle(second, AttemptOutcome::Crashed, 2_000);
    let [third] = attempts(&again)[..] else { panic!("the task starts a third time") };
    let effects = entry.settle(third, AttemptOutcome::Done { run_ms: 100 }, 2_100);
    assert_eq!(answers(&effects), [JobOutcome::Succeeded]);
}

#[test]
fn a_job_that_was_alone_suspected_of_one_of_three_crashes_is_failed() {
    let mut entry = Entry::new(4);
    let agents = entry.agents.clone();
    entry.crash(agents[0], crash(1, &["deadly", "a"]), 0);
    entry.crash(agents[1], crash(1, &["deadly"]), 1_000);
    assert_eq!(answers(&entry.submit("deadly", 1_500)), []);
    let effects = entry.crash(agents[2], crash(1, &["deadly", "b"]), 2_000);
    assert_eq!(answers(&effects), [JobOutcome::Failed]);
    assert_eq!(answers(&entry.submit("a", 2_000)), []);
}

#[test]
fn a_task_that_shares_three_crashes_is_not_started_again() {
    let mut entry = Entry::new(5);
    let mut attempt = attempts(&entry.submit("slow-killer", 0))[0];
    for round in 1..=2 {
        let effects = entry.settle(attempt, AttemptOutcome::Crashed, round * 1_000);
        attempt = attempts(&effects)[0];
    }
    let effects = entry.settle(attempt, AttemptOutcome::Crashed, 3_000);
    assert_eq!((attempts(&effects), answers(&effects)), (Vec::new(), Vec::new()));
    assert_eq!(answers(&entry.dispatcher.tick(19_990)), [JobOutcome::TimedOut]);
}

#[test]
fn upstreams_that_crash_at_the_same_moment_blame_no_job() {
    let mut entry = Entry::new(4);
    for round in 0..2 {
        for agent in entry.agents.clone().into_iter().take(3) {
            entry.crash(agent, crash(round, &["j"]), round * 1_000);
        }
    }
    assert_eq!(answers(&entry.submit("j", 2_000)), []);
}

#[test]
fn a_crash_that_was_none_is_forgotten() {
    let mut entry = Entry::new(4);
    let agents = entry.agents.clone();
    entry.crash(agents[0], crash(1, &["j"]), 0);
    entry.crash(agents[0], CrashNotice::Refuted(1), 300);
    entry.crash(agents[1], crash(1, &["j"]), 400);
    assert_eq!(answers(&entry.submit("j", 500)), []);
}

#[test]
fn two_suspects_do_not_run_on_one_upstream() {
    let mut entry = Entry::new(8);
    let agents = entry.agents.clone();
    entry.crash(agents[0], crash(1, &["s1", "s2", "s3"]), 0);
    let started: Vec<_> =
        ["s1", "s2", "s3"].iter().flat_map(|id| attempts(&entry.submit(id, 10))).collect();
    let at: std::collections::BTreeSet<AgentKey> =
        started.iter().map(|(agent, _)| *agent).collect();
    assert_eq!((started.len(), at.len()), (2, 2));
    assert_eq!(attempts(&entry.submit("innocent", 10)).len(), 1);
}
