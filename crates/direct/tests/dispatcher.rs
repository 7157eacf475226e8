//! Tests of the dispatcher: placement, refusals, retries and duplicate submissions.

mod common;

use common::{cores, job, report, step, submit, upstream};
use direct::{
    Admission, AgentHello, AgentKey, AttemptBatch, AttemptId, AttemptOutcome, Crash, CrashNotice,
    DirectJob, Dispatcher, DispatcherEffect, JobKey, JobName, JobOutcome, JobStep, RefusalReason,
    Report, Suspect, Timing, ToAgent, UnsettledAttempts, Upstream,
};

fn hello(agent: &str, incarnation: u64) -> AgentHello {
    AgentHello { agent: agent.into(), incarnation, entries: Vec::new() }
}

/// Returns a dispatcher in zone `mid-a` and its agents, each with the given number of free cores.
fn dispatcher(agents: &[(&str, u32)]) -> (Dispatcher, Vec<AgentKey>) {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let keys = agents.iter().map(|(name, free)| add(&mut dispatcher, upstream(name, 1), *free, 0));
    let keys = keys.collect();
    (dispatcher, keys)
}

fn add(dispatcher: &mut Dispatcher, up: Upstream, free: u32, now_ms: u64) -> AgentKey {
    let (key, _, _) = dispatcher.on_agent_hello(&hello(&up.id, 1), now_ms);
    dispatcher.on_report(key, report(Some(up), cores(free), 0), now_ms);
    key
}

fn batches(effects: &[DispatcherEffect]) -> Vec<(AgentKey, AttemptBatch)> {
    let batch = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Send(agent, ToAgent::Start(batch)) => Some((*agent, batch.clone())),
        _ => None,
    };
    effects.iter().filter_map(batch).collect()
}

fn attempts(effects: &[DispatcherEffect]) -> Vec<(AgentKey, AttemptId)> {
    let each = |(agent, batch): &(AgentKey, AttemptBatch)| {
        batch.attempts.iter().map(|attempt| (*agent, attempt.id)).collect::<Vec<_>>()
    };
    batches(effects).iter().flat_map(each).collect()
}

fn job_outcomes(effects: &[DispatcherEffect]) -> Vec<JobOutcome> {
    let outcome = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Answer(_, outcome) => Some(*outcome),
        _ => None,
    };
    effects.iter().filter_map(outcome).collect()
}

fn stops(effects: &[DispatcherEffect]) -> Vec<AttemptId> {
    let stop = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Send(_, ToAgent::Stop(ids)) => Some(ids.clone()),
        _ => None,
    };
    effects.iter().filter_map(stop).flatten().collect()
}

fn settle(
    dispatcher: &mut Dispatcher,
    agent: AgentKey,
    free: u32,
    outcomes: &[(AttemptId, AttemptOutcome)],
    now_ms: u64,
) -> Vec<DispatcherEffect> {
    let mut report = report(None, cores(free), 1_000);
    report.outcomes = outcomes.to_vec();
    dispatcher.on_report(agent, report, now_ms)
}

const DONE: AttemptOutcome = AttemptOutcome::Done { run_ms: 100 };
/// Run time with which a job of `job` misses its objective but still ends while its answer has
/// value, milliseconds.
const LATE_MS: u32 = 400;
/// Time by which a job of `job` that has not started starts late if it can, milliseconds after its
/// arrival.
const REFUSAL_MS: u64 = 100;
/// Half of the objective of `job`, at which it is refused while overload is brief, milliseconds.
const BRIEF_REFUSAL_MS: u64 = 110;

/// Teaches the dispatcher that an agent is slow: tasks of other kinds take `run_ms` there instead
/// of the declared 100 ms.
fn slow_down(dispatcher: &mut Dispatcher, agent: AgentKey, run_ms: u32) {
    for n in 0..40 {
        let kind = format!("kind {n}").into();
        let other = DirectJob { kind, allowance_ms: 60_000, ..job(&format!("other {n}"), 1) };
        let (_, effects) = submit(dispatcher, other, n);
        let (_, id) = attempts(&effects)[0];
        settle(dispatcher, agent, 4, &[(id, AttemptOutcome::Done { run_ms })], n);
    }
}

#[test]
fn answers_when_every_task_has_succeeded() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8)]);
    let (_, effects) = submit(&mut dispatcher, job("j", 3), 0);
    let ids = attempts(&effects);
    assert_eq!(ids.len(), 3);
    let effects = settle(&mut dispatcher, keys[0], 7, &[(ids[0].1, DONE), (ids[1].1, DONE)], 90);
    assert!(job_outcomes(&effects).is_empty());
    let effects = settle(&mut dispatcher, keys[0], 8, &[(ids[2].1, DONE)], 100);
    assert_eq!(job_outcomes(&effects), [JobOutcome::Succeeded]);
}

#[test]
fn never_sends_more_attempts_than_the_reported_free_capacity_allows() {
    let (mut dispatcher, _) = dispatcher(&[("a", 2), ("b", 1)]);
    let (_, effects) = submit(&mut dispatcher, job("j", 5), 0);
    assert_eq!(attempts(&effects).len(), 3);
    let (_, effects) = submit(&mut dispatcher, job("k", 1), 1);
    assert!(attempts(&effects).is_empty());
}

#[test]
fn a_report_from_before_an_attempt_does_not_free_its_capacity() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 1)]);
    submit(&mut dispatcher, job("j", 1), 0);
    dispatcher.on_report(keys[0], report(None, cores(1), 0), 1);
    let (_, effects) = submit(&mut dispatcher, job("k", 1), 2);
    assert!(attempts(&effects).is_empty());
}

#[test]
fn the_more_urgent_job_goes_first() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 0)]);
    submit(&mut dispatcher, DirectJob { priority: 2, ..job("late", 1) }, 0);
    submit(&mut dispatcher, DirectJob { priority: 0, ..job("urgent", 1) }, 1);
    let effects = dispatcher.on_report(keys[0], report(None, cores(1), 0), 2);
    let sent: Vec<_> = batches(&effects).into_iter().map(|(_, b)| b.job).collect();
    assert_eq!(sent, ["urgent".into()]);
}

/// Makes overload last: a job with a distant objective waits for so long.
fn overload(dispatcher: &mut Dispatcher, until_ms: u64) {
    let patient =
        DirectJob { allowance_ms: 60_000, caller_timeout_ms: 60_000, ..job("patient", 1) };
    submit(dispatcher, patient, 0);
    dispatcher.tick(until_ms);
}

#[test]
fn a_job_that_cannot_start_is_refused_within_a_quarter_of_its_objective_while_overload_lasts() {
    let (mut dispatcher, _) = dispatcher(&[("a", 0)]);
    overload(&mut dispatcher, 1_000);
    // The objective is 1.6 x 100 ms + 60 ms.
    submit(&mut dispatcher, job("j", 1), 1_000);
    assert!(job_outcomes(&dispatcher.tick(1_040)).is_empty());
    let refused = JobOutcome::NotRun { reason: RefusalReason::Overloaded, retry_after_ms: 1_000 };
    assert_eq!(job_outcomes(&dispatcher.tick(1_055)), [refused]);
    assert!(attempts(&dispatcher.tick(1_056)).is_empty());
}

#[test]
fn a_job_waits_for_half_of_its_objective_while_overload_is_brief() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 0)]);
    for id in ["j", "k"] {
        submit(&mut dispatcher, job(id, 1), 0);
    }
    assert!(job_outcomes(&dispatcher.tick(100)).is_empty());
    let effects = dispatcher.on_report(keys[0], report(None, cores(1), 0), 105);
    assert_eq!(attempts(&effects).len(), 1, "a backlog that is worked off loses no job");
    let ended = job_outcomes(&dispatcher.tick(110));
    assert!(matches!(ended[..], [JobOutcome::NotRun { .. }]), "{ended:?}");
}

#[test]
fn a_job_with_an_outstanding_attempt_is_never_reported_as_not_run() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 1)]);
    let (_, effects) = submit(&mut dispatcher, job("j", 2), 0);
    assert_eq!(attempts(&effects).len(), 1);
    // The agent lives, so the attempt stays outstanding.
    dispatcher.on_report(keys[0], report(None, cores(0), 1), 1_200);
    let effects = dispatcher.tick(1_490);
    assert_eq!(job_outcomes(&effects), [JobOutcome::TimedOut]);
    assert_eq!(stops(&effects).len(), 1);
}

#[test]
fn a_job_whose_only_attempt_was_refused_has_not_run() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 1)]);
    let (_, effects) = submit(&mut dispatcher, job("j", 1), 0);
    let id = attempts(&effects)[0].1;
    settle(&mut dispatcher, keys[0], 0, &[(id, AttemptOutcome::NotStarted)], 10);
    let ended = job_outcomes(&dispatcher.tick(110));
    assert!(matches!(ended[..], [JobOutcome::NotRun { .. }]), "{ended:?}");
}

#[test]
fn cancelling_a_submission_stops_its_attempts() {
    let (mut dispatcher, _) = dispatcher(&[("a", 8)]);
    let (key, effects) = submit(&mut dispatcher, job("j", 2), 0);
    let ids: Vec<_> = attempts(&effects).into_iter().map(|(_, id)| id).collect();
    assert_eq!(stops(&dispatcher.cancel(key, 10)), ids);
}

#[test]
fn a_resubmitted_job_starts_only_when_its_previous_runs_have_ended() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 4), ("b", 4)]);
    let (key, effects) = submit(&mut dispatcher, job("j", 1), 0);
    let (agent, id) = attempts(&effects)[0];
    dispatcher.cancel(key, 10);
    let (_, effects) = submit(&mut dispatcher, job("j", 1), 20);
    assert!(attempts(&effects).is_empty(), "the previous run is being stopped");
    assert!(keys.contains(&agent));
    let effects = settle(&mut dispatcher, agent, 4, &[(id, AttemptOutcome::Stopped)], 30);
    assert_eq!(attempts(&effects).len(), 1);
}

#[test]
fn a_job_submitted_twice_runs_once_and_both_submissions_are_answered() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 4)]);
    let (_, effects) = submit(&mut dispatcher, job("j", 1), 0);
    let id = attempts(&effects)[0].1;
    let (_, again) = submit(&mut dispatcher, job("j", 1), 5);
    assert!(attempts(&again).is_empty());
    let effects = settle(&mut dispatcher, keys[0], 4, &[(id, DONE)], 100);
    assert_eq!(job_outcomes(&effects), [JobOutcome::Succeeded, JobOutcome::Succeeded]);
}

#[test]
fn a_failed_task_is_retried_elsewhere_until_its_attempts_are_used_up() {
    let (mut dispatcher, _) = dispatcher(&[("a", 4), ("b", 4)]);
    let (_, effects) = submit(&mut dispatcher, job("j", 1), 0);
    let (first, id) = attempts(&effects)[0];
    let effects = settle(&mut dispatcher, first, 4, &[(id, AttemptOutcome::Failed)], 10);
    let (second, id) = attempts(&effects)[0];
    assert_ne!(first, second);
    assert_eq!(batches(&effects)[0].1.attempts[0].run, 2);
    let effects = settle(&mut dispatcher, second, 4, &[(id, AttemptOutcome::Failed)], 20);
    assert_eq!(job_outcomes(&effects), [JobOutcome::Failed]);
}

#[test]
fn a_task_that_avoids_the_only_free_agent_does_not_hold_up_the_others_of_its_step() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 1), ("b", 1)]);
    let submitted = DirectJob { caller_timeout_ms: 10_000, allowance_ms: 5_000, ..job("j", 3) };
    let (_, effects) = submit(&mut dispatcher, submitted, 0);
    let placed = attempts(&effects);
    let (_, id) = placed.into_iter().find(|(agent, _)| *agent == keys[0]).expect("one is at a");
    let effects = settle(&mut dispatcher, keys[0], 1, &[(id, AttemptOutcome::Failed)], 10);
    assert_eq!(batches(&effects).len(), 1, "the task that has not started goes to a");
    assert_eq!(batches(&effects)[0].1.attempts[0].run, 1);
}

#[test]
fn a_failed_task_is_retried_where_it_failed_if_no_other_agent_accepts_tasks() {
    let (mut dispatcher, _) = dispatcher(&[("a", 4)]);
    let (_, effects) = submit(&mut dispatcher, job("j", 1), 0);
    let (only, id) = attempts(&effects)[0];
    let effects = settle(&mut dispatcher, only, 4, &[(id, AttemptOutcome::Failed)], 10);
    assert_eq!(attempts(&effects).iter().map(|(agent, _)| *agent).collect::<Vec<_>>(), [only]);
    // A second agent is full but accepts tasks soon, so the task waits for it.
    let (_, id) = attempts(&effects)[0];
    add(&mut dispatcher, upstream("b", 1), 0, 15);
    let submitted = DirectJob { max_attempts: 9, ..job("k", 1) };
    settle(&mut dispatcher, only, 4, &[(id, DONE)], 20);
    let (_, effects) = submit(&mut dispatcher, submitted, 20);
    let (_, id) = attempts(&effects)[0];
    let effects = settle(&mut dispatcher, only, 4, &[(id, AttemptOutcome::Failed)], 30);
    assert!(attempts(&effects).is_empty());
}

#[test]
fn attempts_at_a_restarted_agent_are_lost_and_placed_again() {
    let (mut dispatcher, _) = dispatcher(&[("a", 4), ("b", 4)]);
    let (_, effects) = submit(&mut dispatcher, job("j", 1), 0);
    let (agent, _) = attempts(&effects)[0];
    let name = dispatcher.agent_name(agent).cloned().unwrap_or_default();
    let (_, unsettled, effects) = dispatcher.on_agent_hello(&hello(&name, 2), 50);
    assert_eq!(unsettled, UnsettledAttempts::default());
    assert!(attempts(&effects).is_empty(), "the restarted agent has not reported yet");
    let restarted = report(Some(upstream(&name, 1)), cores(4), 0);
    let placed = attempts(&dispatcher.on_report(agent, restarted, 52));
    assert_eq!(placed.len(), 1);
    assert_ne!(placed[0].0, agent);
}

/// Guards against a handshake of an agent that has ended since, which a path held up: the attempts
/// at the agent of now counted as lost and were started a second time beside their runs.
#[test]
fn a_held_up_handshake_of_an_earlier_agent_settles_nothing() {
    for earlier in [1, 3] {
        let (mut dispatcher, keys) = dispatcher(&[("a", 4), ("b", 4)]);
        dispatcher.on_agent_hello(&hello("a", 2), 10);
        dispatcher.on_report(keys[0], report(Some(upstream("a", 1)), cores(4), 0), 12);
        let submitted = DirectJob { caller_timeout_ms: 10_000, ..job("j", 8) };
        let (_, effects) = submit(&mut dispatcher, submitted, 14);
        let at_agent = |(agent, id): (AgentKey, AttemptId)| (agent == keys[0]).then_some(id);
        let ids: Vec<_> = attempts(&effects).into_iter().filter_map(at_agent).collect();
        assert!(!ids.is_empty());
        let (_, _, effects) = dispatcher.on_agent_hello(&hello("a", earlier), 20);
        assert!(attempts(&effects).is_empty());
        dispatcher.on_disconnected(keys[0]);
        assert!(attempts(&dispatcher.tick(30)).is_empty());
        let (_, unsettled, _) = dispatcher.on_agent_hello(&hello("a", 2), 40);
        assert_eq!(unsettled.wanted, ids, "after the handshake of {earlier}");
    }
}

#[test]
fn attempts_at_a_disconnected_agent_stay_outstanding_until_every_lease_has_ended() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 4)]);
    let submitted = DirectJob { caller_timeout_ms: 10_000, ..job("j", 1) };
    submit(&mut dispatcher, submitted, 0);
    dispatcher.on_disconnected(keys[0]);
    let timing = Timing::default();
    let end_ms = timing.lost_after_ms();
    let other = add(&mut dispatcher, upstream("b", 1), 4, 100);
    for now_ms in (200..end_ms).step_by(100) {
        dispatcher.on_report(other, report(None, cores(4), 0), now_ms);
        assert!(attempts(&dispatcher.tick(now_ms)).is_empty(), "at {now_ms} ms");
    }
    dispatcher.on_report(other, report(None, cores(4), 0), end_ms);
    assert_eq!(attempts(&dispatcher.tick(end_ms)).len(), 1);
}

#[test]
fn a_handshake_returns_the_attempts_without_an_outcome() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 4)]);
    let (_, effects) = submit(&mut dispatcher, job("j", 2), 0);
    let ids: Vec<_> = attempts(&effects).into_iter().map(|(_, id)| id).collect();
    dispatcher.on_disconnected(keys[0]);
    let (_, unsettled, _) = dispatcher.on_agent_hello(&hello("a", 1), 50);
    assert_eq!(unsettled, UnsettledAttempts { wanted: ids, stopping: Vec::new() });
}

/// Guards against an entry that claims the attempts of an answered job as its own in a handshake,
/// so that their agent lets them run on.
#[test]
fn a_handshake_names_the_attempts_of_answered_jobs_as_stopping() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 4)]);
    let mut ids = Vec::new();
    let mut submit = |id: &str, caller_timeout_ms| {
        let job = DirectJob { caller_timeout_ms, ..job(id, 1) };
        let (key, effects) = submit(&mut dispatcher, job, 0);
        ids.push(attempts(&effects)[0].1);
        key
    };
    submit("expired", 500);
    let cancelled = submit("cancelled", 1_500);
    submit("unanswered", 1_500);
    dispatcher.on_disconnected(keys[0]);
    dispatcher.cancel(cancelled, 100);
    assert_eq!(job_outcomes(&dispatcher.tick(500)), [JobOutcome::TimedOut]);
    let (_, unsettled, _) = dispatcher.on_agent_hello(&hello("a", 1), 510);
    let (wanted, stopping) = (vec![ids[2]], vec![ids[0], ids[1]]);
    assert_eq!(unsettled, UnsettledAttempts { wanted, stopping });
}

#[test]
fn an_upstream_that_fails_consecutive_jobs_is_ejected_and_returns_on_probation() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8), ("b", 0)]);
    for (n, id) in [(0, "j"), (1, "k")] {
        let (_, effects) = submit(&mut dispatcher, DirectJob { max_attempts: 1, ..job(id, 1) }, n);
        let id = attempts(&effects)[0].1;
        settle(&mut dispatcher, keys[0], 8, &[(id, AttemptOutcome::Failed)], n);
    }
    let (_, effects) = submit(&mut dispatcher, job("l", 1), 10);
    assert!(attempts(&effects).is_empty(), "ejected");
    dispatcher.on_report(keys[0], report(None, cores(8), 1_000), 1_000);
    let (_, effects) = submit(&mut dispatcher, job("m", 2), 1_001);
    assert_eq!(attempts(&effects).len(), 1, "one task at a time on probation");
    let id = attempts(&effects)[0].1;
    let effects = settle(&mut dispatcher, keys[0], 8, &[(id, DONE)], 1_010);
    assert_eq!(attempts(&effects).len(), 1);
}

#[test]
fn never_ejects_more_than_half_of_the_upstreams() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8)]);
    for (n, id) in ["j", "k", "l"].into_iter().enumerate() {
        let now_ms = n as u64;
        let (_, effects) =
            submit(&mut dispatcher, DirectJob { max_attempts: 1, ..job(id, 1) }, now_ms);
        let id = attempts(&effects)[0].1;
        settle(&mut dispatcher, keys[0], 8, &[(id, AttemptOutcome::Failed)], now_ms);
    }
    let (_, effects) = submit(&mut dispatcher, job("m", 1), 10);
    assert_eq!(attempts(&effects).len(), 1);
}

#[test]
fn a_job_that_fits_no_upstream_fails_immediately() {
    let (mut dispatcher, _) = dispatcher(&[("a", 8)]);
    let mut large = job("j", 1);
    large.steps[0].need = cores(9);
    assert_eq!(job_outcomes(&submit(&mut dispatcher, large, 0).1), [JobOutcome::Failed]);
}

#[test]
fn steps_wait_for_the_steps_that_they_depend_on() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8)]);
    let mut chain = job("j", 1);
    let mut second = step(2);
    second.after = vec![0];
    chain.steps.push(second);
    let (_, effects) = submit(&mut dispatcher, chain, 0);
    let ids = attempts(&effects);
    assert_eq!(ids.len(), 1);
    let effects = settle(&mut dispatcher, keys[0], 8, &[(ids[0].1, DONE)], 10);
    assert_eq!(batches(&effects)[0].1.step, 1);
    assert_eq!(attempts(&effects).len(), 2);
}

#[test]
fn labels_and_the_maximum_per_upstream_are_respected() {
    let (mut dispatcher, _) = dispatcher(&[("a", 8), ("b", 8)]);
    let mut spread = job("j", 3);
    spread.steps[0].max_per_upstream = Some(1);
    assert_eq!(attempts(&submit(&mut dispatcher, spread, 0).1).len(), 2);
    let mut labelled = job("k", 1);
    labelled.steps[0].label = Some("z".into());
    assert_eq!(job_outcomes(&submit(&mut dispatcher, labelled, 1).1), [JobOutcome::Failed]);
}

#[test]
fn upstreams_of_another_pool_and_draining_ones_get_no_tasks() {
    let (mut dispatcher, _) = dispatcher(&[]);
    add(&mut dispatcher, Upstream { pool: "other".into(), ..upstream("a", 1) }, 8, 0);
    let state = direct::UpstreamState::Draining;
    add(&mut dispatcher, Upstream { state, ..upstream("b", 1) }, 8, 0);
    assert!(attempts(&submit(&mut dispatcher, job("j", 1), 1).1).is_empty());
}

#[test]
fn closed_admission_refuses_before_anything_starts() {
    let (mut dispatcher, _) = dispatcher(&[("a", 8)]);
    dispatcher.set_admission(Admission::Closed(RefusalReason::Suspended));
    let (_, effects) = submit(&mut dispatcher, job("j", 1), 0);
    let refused = JobOutcome::NotRun { reason: RefusalReason::Suspended, retry_after_ms: 1_000 };
    assert_eq!(job_outcomes(&effects), [refused]);
    assert!(attempts(&effects).is_empty());
}

/// Guards against an entry that resumes from a suspension, hears of free capacity and starts a queued
/// task before it reads that the caller has left and may have submitted its job elsewhere.
#[test]
fn nothing_of_an_accepted_job_starts_while_a_suspension_closes_admission() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 1)]);
    let (_, effects) = submit(&mut dispatcher, job("running", 1), 0);
    let running = attempts(&effects)[0].1;
    let (left, _) = submit(&mut dispatcher, job("left", 1), 1);
    submit(&mut dispatcher, job("waits", 1), 2);
    dispatcher.set_admission(Admission::Closed(RefusalReason::Suspended));
    let done = [(running, AttemptOutcome::Done { run_ms: 100 })];
    assert!(attempts(&settle(&mut dispatcher, keys[0], 1, &done, 20)).is_empty());
    assert!(attempts(&dispatcher.tick(21)).is_empty());
    assert!(attempts(&dispatcher.cancel(left, 22)).is_empty());
    dispatcher.set_admission(Admission::Open);
    let batches = batches(&dispatcher.tick(23));
    assert_eq!(batches.iter().map(|(_, batch)| &*batch.job).collect::<Vec<_>>(), ["waits"]);
}

#[test]
fn the_faster_upstream_is_learned_and_chosen() {
    let (mut dispatcher, keys) = dispatcher(&[("slow", 0), ("fast", 0)]);
    for n in 0..40_u64 {
        let key = keys[usize::from(n % 2 == 1)];
        let run_ms = if key == keys[0] { 130 } else { 80 };
        let now_ms = n * 200;
        dispatcher.on_report(key, report(None, cores(1), 1_000), now_ms);
        let (_, effects) = submit(&mut dispatcher, job(&format!("j{n}"), 1), now_ms);
        let id = attempts(&effects)[0].1;
        settle(&mut dispatcher, key, 0, &[(id, AttemptOutcome::Done { run_ms })], now_ms + 100);
    }
    for key in &keys {
        dispatcher.on_report(*key, report(None, cores(1), 1_000), 8_000);
    }
    let (_, effects) = submit(&mut dispatcher, job("next", 1), 8_000);
    let used: Vec<_> = attempts(&effects).into_iter().map(|(agent, _)| agent).collect();
    assert_eq!(used, [keys[1]]);
}

types::cases! {
    fn the_entrys_zone_is_preferred_to_a_faster_upstream_while_the_objective_is_safe(
        near_ms: u32,
        is_near_chosen: bool,
    ) {
        let (mut dispatcher, keys) = dispatcher(&[("near", 4)]);
        slow_down(&mut dispatcher, keys[0], near_ms);
        let far = Upstream { zone: "mid-b".into(), ..upstream("far", 1) };
        add(&mut dispatcher, far, 4, 45);
        let submitted = DirectJob { allowance_ms: 160, ..job("j", 1) };
        let (_, mut effects) = submit(&mut dispatcher, submitted, 50);
        // An agent whose link becomes active reports at once.
        for agent in common::activated(&effects) {
            effects.extend(dispatcher.on_report(agent, report(None, cores(4), 0), 53));
        }
        let (chosen, _) = attempts(&effects)[0];
        assert_eq!(chosen == keys[0], is_near_chosen);
    }
    as_fast: (100, true),
    much_slower: (180, true),
    too_slow: (240, false),
}

#[test]
fn a_job_that_misses_its_objective_starts_late_if_all_of_it_fits() {
    let (mut dispatcher, keys) = dispatcher(&[("slow", 4)]);
    slow_down(&mut dispatcher, keys[0], LATE_MS);
    let (key, effects) = submit(&mut dispatcher, job("j", 2), 50);
    assert!(
        attempts(&effects).is_empty(),
        "no task starts that would be late while a faster agent may connect"
    );
    let effects = dispatcher.tick(50 + REFUSAL_MS);
    assert_eq!(attempts(&effects).len(), 2);
    assert!(job_outcomes(&effects).is_empty(), "{key:?} is not refused");
}

#[test]
fn a_job_that_starts_late_gets_no_more_than_is_free() {
    let (mut dispatcher, keys) = dispatcher(&[("slow", 4)]);
    slow_down(&mut dispatcher, keys[0], LATE_MS);
    let two_steps = DirectJob { steps: vec![step(3), step(3)], ..job("j", 1) };
    submit(&mut dispatcher, two_steps, 50);
    let effects = dispatcher.tick(50 + REFUSAL_MS);
    assert!((1..=4).contains(&attempts(&effects).len()), "{effects:?}");
}

#[test]
fn a_late_job_that_fits_only_in_part_is_refused_unstarted() {
    let (mut dispatcher, keys) = dispatcher(&[("slow", 4)]);
    slow_down(&mut dispatcher, keys[0], LATE_MS);
    submit(&mut dispatcher, job("j", 5), 50);
    assert!(attempts(&dispatcher.tick(50 + REFUSAL_MS)).is_empty());
    let effects = dispatcher.tick(50 + BRIEF_REFUSAL_MS);
    assert!(attempts(&effects).is_empty());
    assert!(matches!(
        job_outcomes(&effects)[..],
        [JobOutcome::NotRun { reason: RefusalReason::Overloaded, .. }]
    ));
}

/// Returns the outcomes of two jobs with one id and different queues, and the number of tasks that
/// were sent for them.
fn outcomes_of_one_id(queues: [&str; 2], pools: [&str; 2]) -> (Vec<(JobKey, JobOutcome)>, usize) {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8)]);
    let other = Upstream { pool: "other".into(), ..upstream("b", 1) };
    let other = add(&mut dispatcher, other, 8, 0);
    let (mut answers, mut sent) = (Vec::new(), Vec::new());
    for (queue, pool) in queues.iter().zip(pools) {
        let job = DirectJob { kind: (*queue).into(), pool: pool.into(), ..job("j", 2) };
        sent.extend(attempts(&submit(&mut dispatcher, job, 0).1));
    }
    for (agent, id) in &sent {
        let report = Report { outcomes: vec![(*id, DONE)], ..report(None, cores(8), 1) };
        let effects = dispatcher.on_report(*agent, report, 100);
        answers.extend(effects.iter().filter_map(|effect| match effect {
            DispatcherEffect::Answer(key, outcome) => Some((*key, *outcome)),
            _ => None,
        }));
    }
    assert!(sent.iter().all(|(agent, _)| *agent == keys[0] || *agent == other));
    (answers, sent.len())
}

types::cases! {
    // Guards against a caller that is answered with the outcome of another queue's job of the same
    // id, none of its own tasks having run.
    fn jobs_of_two_queues_with_one_id_are_two_jobs(queues: [&str; 2], pools: [&str; 2]) {
        let (answers, sent) = outcomes_of_one_id(queues, pools);
        let succeeded = JobOutcome::Succeeded;
        assert_eq!(answers, [(JobKey(0), succeeded), (JobKey(1), succeeded)]);
        assert_eq!(sent, 4);
    }
    two_pools: (["scale", "label"], ["kitchen", "other"]),
    two_pools_in_the_other_order: (["label", "scale"], ["other", "kitchen"]),
    one_pool: (["scale", "label"], ["kitchen", "kitchen"]),
}

#[test]
fn a_resubmission_waits_only_for_runs_of_its_own_queue() {
    let (mut dispatcher, _) = dispatcher(&[("a", 8)]);
    let first = DirectJob { caller_timeout_ms: 100, ..job("j", 1) };
    assert_eq!(attempts(&submit(&mut dispatcher, first.clone(), 0).1).len(), 1);
    dispatcher.tick(90);
    assert!(attempts(&submit(&mut dispatcher, first, 95).1).is_empty(), "its run is being stopped");
    let other = DirectJob { kind: "label".into(), ..job("j", 1) };
    assert_eq!(attempts(&submit(&mut dispatcher, other, 96).1).len(), 1);
}

#[test]
fn a_job_is_not_blamed_for_crashes_under_the_same_id_of_another_queue() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8), ("b", 8)]);
    for incarnation in [1, 2] {
        let suspect = Suspect { task: common::task("j", 0), kind: "scale".into() };
        let crash = Crash { incarnation, age_ms: 0, suspects: vec![suspect] };
        let crashes = vec![CrashNotice::Crashed(crash)];
        let report = Report { crashes, ..report(None, cores(8), 0) };
        dispatcher.on_report(keys[0], report, 100 * incarnation);
    }
    assert_eq!(job_outcomes(&submit(&mut dispatcher, job("j", 1), 250).1), [JobOutcome::Failed]);
    let other = DirectJob { kind: "label".into(), ..job("j", 1) };
    assert!(job_outcomes(&submit(&mut dispatcher, other, 250).1).is_empty());
}

/// Guards against an entry that ends without an answer to the jobs that are left.
#[test]
fn an_entry_that_ends_answers_every_job() {
    let (mut dispatcher, _) = dispatcher(&[("a", 1)]);
    let started = submit(&mut dispatcher, job("j", 1), 0).1;
    let (waiting, effects) = submit(&mut dispatcher, job("k", 1), 1);
    assert!(attempts(&effects).is_empty(), "there is no room");
    let effects = dispatcher.answer_all();
    assert_eq!(stops(&effects), [attempts(&started)[0].1]);
    let outcomes = job_outcomes(&effects);
    assert_eq!((outcomes.len(), outcomes[0]), (2, JobOutcome::TimedOut));
    let is_refused = |effect: &DispatcherEffect| {
        let reason = RefusalReason::Stopping;
        matches!(effect, DispatcherEffect::Answer(key, JobOutcome::NotRun { reason: r, .. })
            if *key == waiting && *r == reason)
    };
    assert!(effects.iter().any(is_refused), "{effects:?}");
    let (_, effects) = submit(&mut dispatcher, job("l", 1), 2);
    assert!(matches!(job_outcomes(&effects)[..], [JobOutcome::NotRun { .. }]));
}

/// Guards against a cancelled job that starts its further steps and is answered as succeeded.
#[test]
fn nothing_of_a_cancelled_job_starts_any_more() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8)]);
    let steps = vec![step(2), JobStep { after: vec![0], ..step(1) }];
    let submitted = DirectJob { steps, ..job("j", 1) };
    let name = submitted.name();
    let ids: Vec<_> = attempts(&submit(&mut dispatcher, submitted, 0).1);
    assert_eq!(ids.len(), 2);
    let other = JobName { queue: "label".into(), ..name.clone() };
    assert_eq!(dispatcher.cancel_job(&other, 5), None, "another queue's job");
    let effects = dispatcher.cancel_job(&name, 10).expect("the job is unanswered");
    assert_eq!(job_outcomes(&effects), [JobOutcome::Cancelled]);
    assert_eq!(stops(&effects), [ids[0].1, ids[1].1]);
    // The tasks had succeeded before the stops arrived.
    let outcomes = ids.iter().map(|(_, id)| (*id, DONE)).collect();
    let report = Report { outcomes, ..report(None, cores(8), 1) };
    let effects = dispatcher.on_report(keys[0], report, 20);
    assert!(attempts(&effects).is_empty() && job_outcomes(&effects).is_empty(), "{effects:?}");
    assert_eq!(dispatcher.cancel_job(&name, 30), None, "it is answered");
}

types::cases! {
    // Guards against times that wrap around: a job without a limit counted as over at once.
    fn a_queue_without_a_timeout_is_served(caller_timeout_ms: u64) {
        let (mut dispatcher, _) = dispatcher(&[("a", 4)]);
        let unlimited =
            DirectJob { caller_timeout_ms, queue_timeout_ms: u64::MAX, ..job("j", 1) };
        let (_, effects) = submit(&mut dispatcher, unlimited, 100);
        assert_eq!(attempts(&effects).len(), 1);
        assert!(job_outcomes(&dispatcher.tick(120)).is_empty());
    }
    caller_without_a_timeout: (u64::MAX),
    caller_with_a_timeout: (1_500),
}
