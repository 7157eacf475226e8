//! Tests of upstreams whose capacity shrinks and grows while they run.

mod common;

use std::sync::Arc;

use common::{
    attempts, batch, cores, hear, job, open, report, run_list, step, submit, task, upstream,
};
use direct::{
    AgentHello, AgentKey, AttemptId, AttemptOutcome, DirectJob, Dispatcher, DispatcherEffect,
    JobOutcome, RefusalReason, RunList, RunOutcome, SessionKey, StartResult, Supervisor,
    SupervisorEffect, Timing, UnsettledAttempts, Upstream,
};

fn agent() -> (Supervisor, SessionKey) {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    supervisor.on_heartbeat(upstream("u", 1), 1, 0);
    open(&mut supervisor);
    let (entry, _) =
        supervisor.on_entry_hello(&Arc::from("e1"), 1, &UnsettledAttempts::default(), 2, 2);
    supervisor.report(entry, true);
    (supervisor, entry)
}

fn of_capacity(n: u32) -> Upstream {
    Upstream { capacity: cores(n), largest_capacity: cores(n), ..upstream("u", 1) }
}

fn starts(effects: &[SupervisorEffect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, SupervisorEffect::Start(_))).count()
}

#[test]
fn a_smaller_capacity_counts_runs_and_pending_stops_before_the_next_start() {
    let (mut agent, entry) = agent();
    agent.on_attempts(entry, &batch("j", &[1, 2, 3, 4, 5, 6], cores(1)), 10);
    for index in 0..6 {
        agent.on_start_result(&task("j", index), 1, StartResult::Started, 11);
    }
    agent.on_heartbeat(of_capacity(4), 2, 100);
    assert_eq!(agent.free(), cores(0));
    agent.on_stop(entry, &[AttemptId(1), AttemptId(2), AttemptId(3)]);
    assert_eq!(starts(&agent.on_attempts(entry, &batch("k", &[7], cores(1)), 110)), 0);
    for index in 0..3 {
        agent.on_stop_result(&task("j", index), 1, true, 120);
    }
    let left = [3, 4, 5].map(|index| task("j", index));
    let left = [(&left[0], 1), (&left[1], 1), (&left[2], 1)];
    let end_ms = 120 + Timing::default().stop_ms;
    agent.on_run_list(&run_list(end_ms, &left));
    assert_eq!(agent.free(), cores(0), "the ends of the stopped runs are not listed yet");
    let ended = (0..3).map(|index| (task("j", index), 1, RunOutcome::Terminated)).collect();
    agent.on_run_list(&RunList { ended, ..run_list(end_ms, &left) });
    assert_eq!(agent.free(), cores(1));
    assert_eq!(starts(&agent.on_attempts(entry, &batch("k", &[8, 9], cores(1)), end_ms + 1)), 1);
    agent.on_heartbeat(of_capacity(8), 3, 200);
    assert_eq!(agent.free(), cores(4));
}

#[test]
fn a_late_heartbeat_does_not_bring_the_larger_capacity_back() {
    let (mut agent, _) = agent();
    agent.on_heartbeat(of_capacity(4), 3, 100);
    agent.on_heartbeat(of_capacity(8), 2, 110);
    assert_eq!(agent.free(), cores(4));
    assert_eq!(agent.upstream().map(|up| up.largest_capacity), Some(cores(8)));
}

// Between a suspension and the next heartbeat, starts went by a capacity of before the suspension.
#[test]
fn an_agent_that_was_suspended_for_long_waits_for_the_capacity_of_now() {
    let (mut agent, entry) = agent();
    agent.on_resumed(2_400);
    hear(&mut agent, entry, 2_400);
    assert_eq!(starts(&agent.on_attempts(entry, &batch("j", &[1], cores(1)), 2_400)), 1);
    agent.on_resumed(6_000);
    hear(&mut agent, entry, 6_000);
    assert_eq!(starts(&agent.on_attempts(entry, &batch("k", &[2], cores(1)), 6_000)), 0);
    assert!(agent.report(entry, false).is_some_and(|report| !report.load.is_open));
    agent.on_heartbeat(of_capacity(4), 2, 6_100);
    assert_eq!(starts(&agent.on_attempts(entry, &batch("k", &[3], cores(1)), 6_100)), 1);
}

fn answers(effects: &[DispatcherEffect]) -> Vec<JobOutcome> {
    let answer = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Answer(_, outcome) => Some(*outcome),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

fn entry() -> (Dispatcher, AgentKey) {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let hello = AgentHello { agent: "u".into(), incarnation: 1, entries: Vec::new() };
    let (agent, _, _) = dispatcher.on_agent_hello(&hello, 0);
    dispatcher.on_report(agent, report(Some(upstream("u", 1)), cores(8), 0), 0);
    (dispatcher, agent)
}

fn large(id: &str) -> DirectJob {
    let steps = vec![direct::JobStep { need: cores(6), ..step(1) }];
    DirectJob { steps, ..job(id, 1) }
}

// A job that fitted before and will fit again was answered as failed.
#[test]
fn a_job_that_fits_no_upstream_since_they_have_shrunk_is_refused_and_not_failed() {
    let (mut entry, agent) = entry();
    let small = Upstream { largest_capacity: cores(8), ..of_capacity(4) };
    entry.on_report(agent, report(Some(small), cores(4), 0), 10);
    let (_, effects) = submit(&mut entry, large("j"), 20);
    let expected = JobOutcome::NotRun { reason: RefusalReason::NoUpstream, retry_after_ms: 1_000 };
    assert_eq!(answers(&effects), [expected]);
    entry.on_report(agent, report(Some(upstream("u", 1)), cores(8), 0), 30);
    assert_eq!(attempts(&submit(&mut entry, large("k"), 40).1).len(), 1);
    let impossible =
        DirectJob { steps: vec![direct::JobStep { need: cores(9), ..step(1) }], ..job("l", 1) };
    assert_eq!(answers(&submit(&mut entry, impossible, 50).1), [JobOutcome::Failed]);
}

#[test]
fn a_task_that_waits_when_the_only_upstream_shrinks_is_refused_as_not_run() {
    let (mut entry, agent) = entry();
    let [first] = attempts(&submit(&mut entry, large("j"), 0).1)[..] else {
        panic!("the task starts")
    };
    let (_, effects) = submit(&mut entry, large("k"), 10);
    assert_eq!(answers(&effects), []);
    let small = Upstream { largest_capacity: cores(8), ..of_capacity(4) };
    let mut shrunk = report(Some(small), cores(0), 1);
    shrunk.outcomes = vec![(first.1, AttemptOutcome::Done { run_ms: 100 })];
    assert_eq!(answers(&entry.on_report(agent, shrunk, 100)), [JobOutcome::Succeeded]);
    let refused = answers(&entry.tick(400));
    assert!(matches!(refused[..], [JobOutcome::NotRun { .. }]), "{refused:?}");
}
