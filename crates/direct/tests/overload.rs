//! Tests of an overload of some seconds: what is refused, when callers return, and what is not
//! started any more.

mod common;

use common::{attempts, cores, job, report, submit, upstream};
use direct::{
    AgentHello, AgentKey, AttemptId, AttemptOutcome, DirectJob, Dispatcher, DispatcherEffect,
    JobOutcome, RefusalReason, Timing,
};

const CORES: u32 = 8;
const RUN_MS: u64 = 100;

fn entry() -> (Dispatcher, AgentKey) {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let hello = AgentHello { agent: "a".into(), incarnation: 1, entries: Vec::new() };
    let (key, _, _) = dispatcher.on_agent_hello(&hello, 0);
    dispatcher.on_report(key, report(Some(upstream("a", 1)), cores(CORES), 0), 0);
    (dispatcher, key)
}

/// Retry-After times of the refusals among the effects, milliseconds.
fn return_times(effects: &[DispatcherEffect]) -> Vec<u64> {
    let time = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Answer(
            _,
            JobOutcome::NotRun { reason: RefusalReason::Overloaded, retry_after_ms },
        ) => Some(*retry_after_ms),
        _ => None,
    };
    effects.iter().filter_map(time).collect()
}

/// Completes full rounds of work until `until_ms`, which teaches the entry its rate: 8 cores.
fn work(dispatcher: &mut Dispatcher, agent: AgentKey, until_ms: u64) {
    for now_ms in (0..until_ms).step_by(usize::try_from(RUN_MS).unwrap_or(1)) {
        let (_, effects) = submit(dispatcher, job(&format!("work {now_ms}"), CORES), now_ms);
        let mut report = report(None, cores(CORES), 1_000);
        let done = AttemptOutcome::Done { run_ms: 100 };
        report.outcomes = attempts(&effects).into_iter().map(|(_, id)| (id, done)).collect();
        assert_eq!(report.outcomes.len(), CORES as usize);
        dispatcher.on_report(agent, report, now_ms + RUN_MS - 1);
    }
}

/// Fills the agent with tasks that do not end, and returns their attempts.
fn fill(dispatcher: &mut Dispatcher, now_ms: u64) -> Vec<(AgentKey, AttemptId)> {
    let long = DirectJob { caller_timeout_ms: 60_000, ..job("long", CORES) };
    let (_, effects) = submit(dispatcher, long, now_ms);
    attempts(&effects)
}

#[test]
fn callers_of_refused_jobs_return_at_the_rate_at_which_work_is_completed() {
    let (mut dispatcher, agent) = entry();
    work(&mut dispatcher, agent, 2_000);
    fill(&mut dispatcher, 2_000);
    // Each job is 100 ms of the whole capacity, so 40 of them are 4 s of work.
    for n in 0..40 {
        submit(&mut dispatcher, job(&format!("j{n}"), CORES), 2_001);
    }
    let times = return_times(&dispatcher.tick(2_111));
    assert_eq!(times.len(), 40);
    assert!(times.is_sorted(), "callers return in the order of their refusals: {times:?}");
    let within = |from_ms: u64, to_ms: u64| {
        times.iter().filter(|time| (from_ms..to_ms).contains(time)).count()
    };
    for second in 1..4 {
        let returning = within(second * 1_000, (second + 1) * 1_000);
        assert!((6..=14).contains(&returning), "{returning} return in second {second}");
    }
    assert_eq!(within(0, 1_000), 0);
}

#[test]
fn callers_with_urgent_jobs_return_before_others_that_were_refused_earlier() {
    let (mut dispatcher, agent) = entry();
    work(&mut dispatcher, agent, 2_000);
    fill(&mut dispatcher, 2_000);
    for n in 0..30 {
        submit(&mut dispatcher, DirectJob { priority: 2, ..job(&format!("j{n}"), CORES) }, 2_001);
    }
    let later = return_times(&dispatcher.tick(2_111));
    submit(&mut dispatcher, DirectJob { priority: 0, ..job("urgent", CORES) }, 2_112);
    let urgent = return_times(&dispatcher.tick(2_222));
    assert_eq!(urgent, [1_000]);
    assert!(later.iter().max() > Some(&3_000), "{later:?}");
}

#[test]
fn places_of_callers_are_free_again_when_their_time_has_passed() {
    let (mut dispatcher, agent) = entry();
    work(&mut dispatcher, agent, 2_000);
    fill(&mut dispatcher, 2_000);
    for n in 0..40 {
        submit(&mut dispatcher, job(&format!("j{n}"), CORES), 2_001);
    }
    dispatcher.tick(2_111);
    dispatcher.on_report(agent, report(None, cores(0), 1_000), 20_000);
    submit(&mut dispatcher, job("next", CORES), 20_000);
    assert_eq!(return_times(&dispatcher.tick(20_110)), [1_000]);
}

#[test]
fn nothing_starts_for_a_job_whose_time_has_run_out() {
    let (mut dispatcher, agent) = entry();
    let (_, effects) = submit(&mut dispatcher, job("j", 1), 0);
    let (_, id) = attempts(&effects)[0];
    // The entry was suspended; the first event after it is a report from the time before.
    let mut stopped = report(None, cores(CORES), 1_000);
    stopped.outcomes = vec![(id, AttemptOutcome::Stopped)];
    let effects = dispatcher.on_report(agent, stopped, 3_000);
    assert!(attempts(&effects).is_empty(), "its caller may have resubmitted it elsewhere");
    let effects = dispatcher.tick(3_001);
    assert!(attempts(&effects).is_empty());
    let is_timeout =
        |e: &DispatcherEffect| matches!(e, DispatcherEffect::Answer(_, JobOutcome::TimedOut));
    assert!(effects.iter().any(is_timeout), "{effects:?}");
}

/// A job whose caller has waited for most of its time before this submission.
fn resubmitted(id: &str, tasks: u32) -> DirectJob {
    DirectJob { caller_timeout_ms: 400, ..job(id, tasks) }
}

fn jobs_started(effects: &[DispatcherEffect]) -> Vec<String> {
    let started = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Send(_, direct::ToAgent::Start(batch)) => Some(batch.job.to_string()),
        _ => None,
    };
    effects.iter().filter_map(started).collect()
}

#[test]
fn resubmitted_jobs_yield_to_fresh_ones_after_an_outage() {
    let (mut dispatcher, agent) = entry();
    dispatcher.on_report(agent, report(None, cores(0), 0), 1);
    submit(&mut dispatcher, resubmitted("old", CORES), 2);
    submit(&mut dispatcher, DirectJob { priority: 2, ..job("fresh", CORES) }, 3);
    let effects = dispatcher.on_report(agent, report(None, cores(CORES), 0), 10);
    assert_eq!(jobs_started(&effects), ["fresh"]);
    let times = return_times(&dispatcher.tick(112));
    assert_eq!(times, [1_000], "the other is refused rather than delay fresh ones");
}

#[test]
fn a_resubmitted_job_runs_at_once_where_capacity_is_spare() {
    let (mut dispatcher, _) = entry();
    let (_, effects) = submit(&mut dispatcher, resubmitted("old", 2), 2);
    assert_eq!(jobs_started(&effects), ["old"]);
}

#[test]
fn callers_that_always_state_short_timeouts_do_not_count_as_late() {
    let (mut dispatcher, agent) = entry();
    let short = |id: &str| DirectJob { caller_timeout_ms: 800, ..job(id, 1) };
    for n in 0..100 {
        let (_, effects) = submit(&mut dispatcher, short(&format!("j{n}")), n);
        let mut report = report(None, cores(CORES), 1_000);
        let done = AttemptOutcome::Done { run_ms: 100 };
        report.outcomes = attempts(&effects).into_iter().map(|(_, id)| (id, done)).collect();
        dispatcher.on_report(agent, report, n);
    }
    dispatcher.on_report(agent, report(None, cores(0), 1_000), 101);
    submit(&mut dispatcher, DirectJob { priority: 2, ..short("later") }, 102);
    submit(&mut dispatcher, DirectJob { priority: 1, ..short("urgent") }, 103);
    let effects = dispatcher.on_report(agent, report(None, cores(1), 1_000), 110);
    assert_eq!(jobs_started(&effects), ["urgent"]);
    assert_eq!(
        jobs_started(&dispatcher.on_report(agent, report(None, cores(2), 1_002), 111)).len(),
        1
    );
}
