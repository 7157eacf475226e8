//! Jobs that start only when it is certain enough that their callers still wait.

mod common;

use common::{cores, job, report, submit, submit_held, upstream};
use direct::{AgentHello, AgentKey, Dispatcher, DispatcherEffect, Timing, ToAgent};

fn dispatcher() -> (Dispatcher, AgentKey) {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let hello = AgentHello { agent: "a".into(), incarnation: 1, entries: Vec::new() };
    let (agent, _, _) = dispatcher.on_agent_hello(&hello, 0);
    dispatcher.on_report(agent, report(Some(upstream("a", 1)), cores(8), 0), 0);
    (dispatcher, agent)
}

fn starts(effects: &[DispatcherEffect]) -> usize {
    let is_start =
        |effect: &&DispatcherEffect| matches!(effect, DispatcherEffect::Send(_, ToAgent::Start(_)));
    effects.iter().filter(is_start).count()
}

/// Guards against a start of a request that its path has held up, before the end of its connection
/// could be read.
#[test]
fn nothing_of_a_held_job_starts_before_its_release() {
    let (mut dispatcher, agent) = dispatcher();
    let (key, effects) = submit_held(&mut dispatcher, job("j", 1), 0);
    assert_eq!(starts(&effects), 0);
    assert_eq!(starts(&dispatcher.on_report(agent, report(None, cores(8), 0), 5)), 0);
    assert_eq!(starts(&dispatcher.tick(6)), 0);
    assert_eq!(starts(&dispatcher.release(key, 10)), 1);
}

/// Guards against a start for a caller who has gone while its job was held.
#[test]
fn a_held_job_whose_caller_has_gone_never_starts() {
    let (mut dispatcher, _) = dispatcher();
    let (key, _) = submit_held(&mut dispatcher, job("j", 1), 0);
    assert_eq!(starts(&dispatcher.cancel(key, 5)), 0);
    assert_eq!(starts(&dispatcher.release(key, 10)), 0);
    assert_eq!(starts(&dispatcher.tick(20)), 0);
}

/// Guards against a start for a caller who has gone, in the time of another held submission of the job.
#[test]
fn a_held_submission_is_not_released_by_another_one() {
    let (mut dispatcher, _) = dispatcher();
    let (first, _) = submit_held(&mut dispatcher, job("j", 1), 0);
    let (second, effects) = submit_held(&mut dispatcher, job("j", 1), 9);
    assert_eq!(starts(&effects), 0);
    assert_eq!(starts(&dispatcher.cancel(first, 9)), 0);
    assert_eq!(starts(&dispatcher.release(first, 10)), 0);
    assert_eq!(starts(&dispatcher.release(second, 19)), 1);
}

/// Guards against a delay of a caller who certainly waits, because a held submission came first.
#[test]
fn a_submission_that_is_not_held_starts_the_job_at_once() {
    let (mut dispatcher, _) = dispatcher();
    submit_held(&mut dispatcher, job("j", 1), 0);
    let (_, effects) = submit(&mut dispatcher, job("j", 1), 1);
    assert_eq!(starts(&effects), 1);
}

/// Guards against a limit that leaves a start no time on its way: the request of a caller who breaks off
/// at once and comes back after the resend time is held from this age on.
#[test]
fn a_request_that_is_not_held_leaves_time_for_its_start_and_its_stop() {
    let timing = Timing::default();
    let stopped_ms = timing.max_request_age_ms()
        + timing.max_start_age_ms()
        + timing.call_ms
        + timing.stop_end_ms();
    assert!(stopped_ms <= timing.resend_ms);
}

/// Guards against a delay of other jobs beside a held one.
#[test]
fn a_held_job_does_not_delay_another_one() {
    let (mut dispatcher, _) = dispatcher();
    submit_held(&mut dispatcher, job("held", 1), 0);
    let (_, effects) = submit(&mut dispatcher, job("other", 1), 1);
    assert_eq!(starts(&effects), 1);
}
