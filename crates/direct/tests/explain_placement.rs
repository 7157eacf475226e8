//! Tests of the explanation of a placement: each reason for which an agent is passed over, and that
//! asking changes nothing.

mod common;

use common::{attempts, cores, job, report, step, submit, upstream};
use direct::{
    Admission, AgentHello, AgentKey, AttemptOutcome, DirectJob, Dispatcher, JobOutcome, JobStep,
    PassedOver, PlacementAnswer, PlacementQuestion, RefusalReason, Timing, Upstream,
};

/// An entry with agents `a0`, `a1`, ... of 8 cores.
fn entry(agents: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    for n in 0..agents {
        let up = upstream(&format!("a{n}"), 1);
        let hello = AgentHello { agent: up.id.clone(), incarnation: 1, entries: Vec::new() };
        let (key, _, _) = dispatcher.on_agent_hello(&hello, 0);
        dispatcher.on_report(key, report(Some(up), cores(8), 0), 0);
    }
    dispatcher
}

fn question(tasks: u32, need: u32) -> PlacementQuestion {
    PlacementQuestion {
        pool: "kitchen".into(),
        kind: "scale".into(),
        need: cores(need),
        tasks,
        expected_ms: 100,
        objective_ms: 220,
        priority: 1,
    }
}

fn reasons(answer: &PlacementAnswer) -> Vec<(u32, Option<PassedOver>)> {
    answer.agents.iter().map(|agent| (agent.tasks, agent.passed_over)).collect()
}

fn reason_at_0(entry: &Dispatcher, question: &PlacementQuestion, now_ms: u64) -> PassedOver {
    reasons(&entry.explain_placement(question, now_ms))[0].1.expect("it is passed over")
}

// The answer must be what a submission gets; a question must not change what later jobs get.
#[test]
fn the_answer_is_what_a_submission_then_gets() {
    let mut entry = entry(3);
    let before = format!("{entry:?}");
    let answer = entry.explain_placement(&question(20, 1), 1);
    assert_eq!(format!("{entry:?}"), before);
    assert_eq!((answer.placed, answer.waiting, answer.refusal), (20, 0, None));
    let (_, effects) = submit(&mut entry, job("j", 20), 1);
    let sent = attempts(&effects);
    for (n, agent) in (0..).zip(&answer.agents) {
        let count = sent.iter().filter(|(key, _)| *key == AgentKey(n)).count();
        assert_eq!(count, agent.tasks as usize, "at {}", agent.agent);
    }
}

#[test]
fn tasks_beyond_the_capacity_wait_and_the_agents_have_no_room() {
    let answer = entry(2).explain_placement(&question(20, 1), 1);
    assert_eq!((answer.placed, answer.waiting), (16, 4));
    assert_eq!(reasons(&answer), [(8, Some(PassedOver::NoRoom)); 2]);
}

#[test]
fn an_agent_that_is_eligible_but_not_chosen_is_costlier() {
    let answer = entry(2).explain_placement(&question(1, 1), 1);
    assert_eq!(reasons(&answer), [(1, None), (0, Some(PassedOver::Costlier))]);
}

#[test]
fn a_closed_a_silent_and_a_disconnected_agent_are_told_apart() {
    let mut entry = entry(1);
    let silent_ms = Timing::default().silence_ms;
    assert_eq!(reason_at_0(&entry, &question(1, 1), silent_ms), PassedOver::Silent);
    let mut closed = report(None, cores(8), 0);
    closed.load.is_open = false;
    entry.on_report(AgentKey(0), closed, 1);
    assert_eq!(reason_at_0(&entry, &question(1, 1), 2), PassedOver::Closed);
    entry.on_report(AgentKey(0), report(None, cores(8), 0), 3);
    entry.on_disconnected(AgentKey(0));
    assert_eq!(reason_at_0(&entry, &question(1, 1), 4), PassedOver::Closed);
}

#[test]
fn an_agent_that_would_miss_the_objective_is_too_slow() {
    let late = PlacementQuestion { objective_ms: 99, ..question(1, 1) };
    assert_eq!(reason_at_0(&entry(1), &late, 1), PassedOver::TooSlow);
}

#[test]
fn an_ejected_agent_is_named() {
    let mut entry = entry(2);
    for n in 0..2 {
        let (_, effects) = submit(&mut entry, job(&format!("j{n}"), 1), n);
        let (key, id) = attempts(&effects)[0];
        assert_eq!(key, AgentKey(0));
        let mut failed = report(None, cores(8), n + 1);
        failed.outcomes = vec![(id, AttemptOutcome::Failed)];
        // Each job tries again at the other agent, where it stays.
        entry.on_report(key, failed, n);
    }
    assert_eq!(reason_at_0(&entry, &question(1, 1), 3), PassedOver::Ejected);
}

#[test]
fn reserved_capacity_and_that_kept_for_urgent_jobs_are_named() {
    let long = |id: &str, need: u32, estimate_ms: u32, priority: u8| {
        let steps = vec![JobStep { need: cores(need), estimate_ms, ..step(1) }];
        DirectJob { steps, priority, allowance_ms: 4_000, caller_timeout_ms: 9_000, ..job(id, 1) }
    };
    let mut reserving = entry(1);
    reserving.set_look_ahead(true);
    submit(&mut reserving, long("first", 7, 200, 1), 0);
    submit(&mut reserving, long("large", 8, 100, 1), 1);
    let slow = PlacementQuestion { expected_ms: 900, objective_ms: 9_000, ..question(1, 1) };
    assert_eq!(reason_at_0(&reserving, &slow, 2), PassedOver::Reserved);

    let mut keeping = entry(1);
    keeping.set_look_ahead(true);
    for n in 0..10 {
        submit(&mut keeping, long(&format!("u{n}"), 1, 10, 0), n);
        let seen = report(None, cores(1), n + 1);
        keeping.on_report(AgentKey(0), seen, n);
    }
    let slow = PlacementQuestion { priority: 2, ..slow };
    assert_eq!(reason_at_0(&keeping, &slow, 12), PassedOver::KeptForUrgent);
}

#[test]
fn a_refusal_is_reported() {
    let mut entry = entry(1);
    let refused = entry.explain_placement(&question(1, 9), 1).refusal;
    assert_eq!(refused, Some(JobOutcome::Failed));
    entry.set_admission(Admission::Closed(RefusalReason::Stopping));
    let refused = entry.explain_placement(&question(1, 1), 1).refusal;
    assert!(matches!(refused, Some(JobOutcome::NotRun { reason: RefusalReason::Stopping, .. })));
}

#[test]
fn agents_of_other_pools_are_not_listed() {
    let mut entry = entry(1);
    let up = Upstream { pool: "bakery".into(), ..upstream("b", 1) };
    let hello = AgentHello { agent: "b".into(), incarnation: 1, entries: Vec::new() };
    let (key, _, _) = entry.on_agent_hello(&hello, 0);
    entry.on_report(key, report(Some(up), cores(8), 0), 0);
    assert_eq!(entry.explain_placement(&question(1, 1), 1).agents.len(), 1);
}
