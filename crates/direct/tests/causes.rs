//! What the effects for the log say: which attempts and runs, and why.

mod common;

use std::sync::Arc;

use common::{attempts, batch, cores, job, open, report, run_list, submit, task, upstream};
use direct::{
    AgentHello, AgentKey, AttemptId, AttemptOutcome, Dispatcher, DispatcherEffect, LossCause,
    SessionKey, SettledBy, StartResult, StopCause, Supervisor, SupervisorEffect, Timing,
    UnsettledAttempts, WithdrawalCause,
};

/// Returns an entry with an agent `a` that has two cores.
fn entry() -> (Dispatcher, AgentKey) {
    let mut entry = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let key = connect(&mut entry, 1, 0);
    entry.on_report(key, report(Some(upstream("a", 1)), cores(2), 0), 0);
    (entry, key)
}

fn connect(entry: &mut Dispatcher, incarnation: u64, now_ms: u64) -> AgentKey {
    let hello = AgentHello { agent: "a".into(), incarnation, entries: Vec::new() };
    entry.on_agent_hello(&hello, now_ms).0
}

fn withdrawn(effects: &[DispatcherEffect]) -> Vec<(Arc<str>, Vec<AttemptId>, WithdrawalCause)> {
    let withdrawal = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Withdrawn { job, attempts, cause, .. } => {
            Some((Arc::clone(job), attempts.clone(), *cause))
        }
        _ => None,
    };
    effects.iter().filter_map(withdrawal).collect()
}

fn losses(effects: &[DispatcherEffect]) -> Vec<(AttemptId, LossCause)> {
    let loss = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::PresumedLost { task: lost, attempt, cause, .. } => {
            assert_eq!(*lost, task("j", 0));
            Some((*attempt, *cause))
        }
        _ => None,
    };
    effects.iter().filter_map(loss).collect()
}

#[test]
fn a_withdrawal_names_the_attempts_and_its_cause() {
    let (mut entry, agent) = entry();
    let (_, first) = submit(&mut entry, job("j", 1), 0);
    let (key, second) = submit(&mut entry, job("k", 1), 0);
    let name = job("j", 1).name();
    let cancelled = entry.cancel_job(&name, 5).expect("the job is unanswered");
    let id = attempts(&first)[0].1;
    assert_eq!(withdrawn(&cancelled), [("j".into(), vec![id], WithdrawalCause::Cancelled)]);
    let gone = entry.cancel(key, 6);
    let id = attempts(&second)[0].1;
    assert_eq!(withdrawn(&gone), [("k".into(), vec![id], WithdrawalCause::ClientGone)]);
    let mut free = report(None, cores(2), 1_000);
    free.outcomes = vec![(id, AttemptOutcome::Stopped)];
    entry.on_report(agent, free, 7);
    let (_, third) = submit(&mut entry, job("l", 1), 8);
    let id = attempts(&third)[0].1;
    let answered = entry.answer_all();
    assert_eq!(withdrawn(&answered), [("l".into(), vec![id], WithdrawalCause::Answered)]);
}

#[test]
fn nothing_is_withdrawn_from_a_job_that_succeeds() {
    let (mut entry, agent) = entry();
    let (_, effects) = submit(&mut entry, job("j", 1), 0);
    let mut done = report(None, cores(2), 1);
    done.outcomes = vec![(attempts(&effects)[0].1, AttemptOutcome::Done { run_ms: 100 })];
    let effects = entry.on_report(agent, done, 100);
    assert_eq!((withdrawn(&effects), losses(&effects)), (Vec::new(), Vec::new()));
}

#[test]
fn a_loss_that_the_entry_presumes_names_its_cause() {
    let silent_ms = Timing::default().lost_after_ms();
    let (mut entry, _) = entry();
    let (_, effects) = submit(&mut entry, job("j", 1), 0);
    let id = attempts(&effects)[0].1;
    assert_eq!(losses(&entry.tick(silent_ms - 1)), []);
    assert_eq!(losses(&entry.tick(silent_ms)), [(id, LossCause::Silent { silent_ms })]);
}

#[test]
fn a_loss_by_another_incarnation_of_the_agent_names_it() {
    let (mut entry, _) = entry();
    let (_, effects) = submit(&mut entry, job("j", 1), 0);
    let id = attempts(&effects)[0].1;
    let agent = connect(&mut entry, 2, 50);
    let effects = entry.on_report(agent, report(Some(upstream("a", 1)), cores(2), 0), 51);
    assert_eq!(losses(&effects), [(id, LossCause::AgentReplaced)]);
}

/// Returns an agent that runs the task of attempt 1 for entry `e1`.
fn agent() -> (Supervisor, SessionKey) {
    let mut agent = Supervisor::new(Timing::default(), 0);
    agent.on_heartbeat(upstream("u", 1), 1, 0);
    open(&mut agent);
    let (entry, _) = hello(&mut agent, 1, &[], 10);
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    agent.on_start_result(&task("j", 0), 1, StartResult::Started, 12);
    (agent, entry)
}

fn hello(
    agent: &mut Supervisor,
    incarnation: u64,
    wanted: &[u64],
    now_ms: u64,
) -> (SessionKey, Vec<SupervisorEffect>) {
    let wanted = wanted.iter().map(|id| AttemptId(*id)).collect();
    let attempts = UnsettledAttempts { wanted, stopping: Vec::new() };
    agent.on_entry_hello(&Arc::from("e1"), incarnation, &attempts, now_ms, now_ms)
}

types::cases! {
    fn stop(end: fn(&mut Supervisor, SessionKey) -> Vec<SupervisorEffect>, cause: StopCause) {
        let (mut agent, entry) = agent();
        let effects = end(&mut agent, entry);
        assert!(effects.contains(&SupervisorEffect::Stop(task("j", 0), 1, cause)), "{effects:?}");
        let again = agent.on_stop_overdue(&task("j", 0), 1);
        assert_eq!(again, [SupervisorEffect::Stop(task("j", 0), 1, StopCause::Repeated)]);
    }
    requested: (|agent, entry| agent.on_stop(entry, &[AttemptId(1)]), StopCause::Requested),
    expired: (|agent, _| agent.tick(10 + Timing::default().session_ms), StopCause::SessionExpired),
    gone: (|agent, entry| agent.on_entry_gone(entry), StopCause::EntryGone),
    replaced: (|agent, _| hello(agent, 2, &[], 50).1, StopCause::EntryReplaced),
    unwanted: (|agent, _| hello(agent, 1, &[], 50).1, StopCause::Unwanted),
}

#[test]
fn a_run_that_the_handshake_wants_is_not_stopped() {
    let (mut agent, _) = agent();
    let (_, effects) = hello(&mut agent, 1, &[1], 50);
    assert!(!effects.iter().any(|effect| matches!(effect, SupervisorEffect::Stop(..))));
}

#[test]
fn a_run_of_an_earlier_agent_is_found() {
    let mut agent = Supervisor::new(Timing::default(), 0);
    agent.on_heartbeat(upstream("u", 1), 1, 0);
    let effects = agent.on_run_list(&run_list(1, &[(&task("j", 0), 4)]));
    assert_eq!(effects, [SupervisorEffect::Stop(task("j", 0), 4, StopCause::Found)]);
}

#[test]
fn a_settlement_names_the_session_and_what_shows_it() {
    let (mut agent, entry) = agent();
    let settled = |number, outcome, by| SupervisorEffect::Settled {
        task: task("j", 0),
        attempt: Some((entry, AttemptId(number))),
        outcome,
        by,
    };
    let refused = agent.on_attempts(entry, &batch("j", &[2], cores(1)), 13);
    assert!(refused.contains(&settled(2, AttemptOutcome::NotStarted, SettledBy::Refusal)));
    agent.on_run_list(&run_list(20, &[]));
    let absent = agent.on_run_list(&run_list(20 + Timing::default().missing_after_ms(), &[]));
    assert!(absent.contains(&settled(1, AttemptOutcome::Lost, SettledBy::Absence)), "{absent:?}");
}
