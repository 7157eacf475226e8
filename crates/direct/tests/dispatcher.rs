//! The entry's decisions: placement, refusals, retries and what must never happen twice.

mod common;

use common::{cores, job, report, step, upstream};
use direct::{
    Admission, AgentHello, AgentKey, AttemptBatch, AttemptId, AttemptOutcome, DirectJob,
    Dispatcher, DispatcherEffect, JobOutcome, RefusalReason, Timing, ToAgent, Upstream,
};

fn hello(agent: &str, incarnation: u64) -> AgentHello {
    AgentHello { agent: agent.into(), incarnation, entries: Vec::new() }
}

/// A dispatcher in zone `mid-a` that knows agents with this much free.
fn dispatcher(agents: &[(&str, u32)]) -> (Dispatcher, Vec<AgentKey>) {
    let mut dispatcher = Dispatcher::new(Timing::default(), "mid-a".into());
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

fn ends(effects: &[DispatcherEffect]) -> Vec<JobOutcome> {
    let end = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Answer(_, end) => Some(*end),
        _ => None,
    };
    effects.iter().filter_map(end).collect()
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
/// A run time at which a job of `job` misses its objective, and still ends before it is worth
/// nothing, milliseconds.
const LATE_MS: u32 = 400;
/// When a job of `job` is refused that has not started, milliseconds after it came.
const REFUSAL_MS: u64 = 100;

/// Has tasks of other kinds take `run_ms` at an agent in place of the 100 ms declared.
fn slow_down(dispatcher: &mut Dispatcher, agent: AgentKey, run_ms: u32) {
    for n in 0..40 {
        let kind = format!("kind {n}").into();
        let other = DirectJob { kind, allowance_ms: 60_000, ..job(&format!("other {n}"), 1) };
        let (_, effects) = dispatcher.submit(other, n);
        let (_, id) = attempts(&effects)[0];
        settle(dispatcher, agent, 4, &[(id, AttemptOutcome::Done { run_ms })], n);
    }
}

#[test]
fn answers_when_every_task_has_ended_well() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8)]);
    let (_, effects) = dispatcher.submit(job("j", 3), 0);
    let ids = attempts(&effects);
    assert_eq!(ids.len(), 3);
    let effects = settle(&mut dispatcher, keys[0], 7, &[(ids[0].1, DONE), (ids[1].1, DONE)], 90);
    assert!(ends(&effects).is_empty());
    let effects = settle(&mut dispatcher, keys[0], 8, &[(ids[2].1, DONE)], 100);
    assert_eq!(ends(&effects), [JobOutcome::Succeeded]);
}

#[test]
fn never_orders_more_than_is_free_by_the_last_report_and_what_was_sent_since() {
    let (mut dispatcher, _) = dispatcher(&[("a", 2), ("b", 1)]);
    let (_, effects) = dispatcher.submit(job("j", 5), 0);
    assert_eq!(attempts(&effects).len(), 3);
    let (_, effects) = dispatcher.submit(job("k", 1), 1);
    assert!(attempts(&effects).is_empty());
}

#[test]
fn a_report_from_before_an_order_does_not_free_its_charge() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 1)]);
    dispatcher.submit(job("j", 1), 0);
    dispatcher.on_report(keys[0], report(None, cores(1), 0), 1);
    let (_, effects) = dispatcher.submit(job("k", 1), 2);
    assert!(attempts(&effects).is_empty());
}

#[test]
fn the_more_urgent_job_goes_first() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 0)]);
    dispatcher.submit(DirectJob { priority: 2, ..job("late", 1) }, 0);
    dispatcher.submit(DirectJob { priority: 0, ..job("urgent", 1) }, 1);
    let effects = dispatcher.on_report(keys[0], report(None, cores(1), 0), 2);
    let sent: Vec<_> = batches(&effects).into_iter().map(|(_, b)| b.job).collect();
    assert_eq!(sent, ["urgent".into()]);
}

#[test]
fn what_cannot_start_is_refused_within_a_quarter_of_its_objective() {
    let (mut dispatcher, _) = dispatcher(&[("a", 0)]);
    // The objective is 1.6 x 100 ms + 60 ms.
    dispatcher.submit(job("j", 1), 0);
    assert!(ends(&dispatcher.tick(40)).is_empty());
    let refused = JobOutcome::NotRun { reason: RefusalReason::Overloaded, retry_after_ms: 1_000 };
    assert_eq!(ends(&dispatcher.tick(55)), [refused]);
    assert!(attempts(&dispatcher.tick(56)).is_empty());
}

#[test]
fn a_job_with_an_order_under_way_is_never_called_not_run() {
    let (mut dispatcher, _) = dispatcher(&[("a", 1)]);
    let (_, effects) = dispatcher.submit(job("j", 2), 0);
    assert_eq!(attempts(&effects).len(), 1);
    let effects = dispatcher.tick(1_490);
    assert_eq!(ends(&effects), [JobOutcome::TimedOut]);
    assert_eq!(stops(&effects).len(), 1);
}

#[test]
fn a_job_whose_only_order_was_denied_has_not_run() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 1)]);
    let (_, effects) = dispatcher.submit(job("j", 1), 0);
    let id = attempts(&effects)[0].1;
    settle(&mut dispatcher, keys[0], 0, &[(id, AttemptOutcome::NotStarted)], 10);
    let ended = ends(&dispatcher.tick(60));
    assert!(matches!(ended[..], [JobOutcome::NotRun { .. }]), "{ended:?}");
}

#[test]
fn a_client_that_leaves_stops_what_runs() {
    let (mut dispatcher, _) = dispatcher(&[("a", 8)]);
    let (key, effects) = dispatcher.submit(job("j", 2), 0);
    let ids: Vec<_> = attempts(&effects).into_iter().map(|(_, id)| id).collect();
    assert_eq!(stops(&dispatcher.cancel(key, 10)), ids);
}

#[test]
fn a_job_that_comes_again_starts_only_when_its_former_runs_have_ended() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 4), ("b", 4)]);
    let (key, effects) = dispatcher.submit(job("j", 1), 0);
    let (agent, id) = attempts(&effects)[0];
    dispatcher.cancel(key, 10);
    let (_, effects) = dispatcher.submit(job("j", 1), 20);
    assert!(attempts(&effects).is_empty(), "the former run is being stopped");
    assert!(keys.contains(&agent));
    let effects = settle(&mut dispatcher, agent, 4, &[(id, AttemptOutcome::Stopped)], 30);
    assert_eq!(attempts(&effects).len(), 1);
}

#[test]
fn a_job_sent_twice_runs_once_and_both_are_answered() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 4)]);
    let (_, effects) = dispatcher.submit(job("j", 1), 0);
    let id = attempts(&effects)[0].1;
    let (_, again) = dispatcher.submit(job("j", 1), 5);
    assert!(attempts(&again).is_empty());
    let effects = settle(&mut dispatcher, keys[0], 4, &[(id, DONE)], 100);
    assert_eq!(ends(&effects), [JobOutcome::Succeeded, JobOutcome::Succeeded]);
}

#[test]
fn a_failed_task_is_tried_elsewhere_until_its_attempts_are_used() {
    let (mut dispatcher, _) = dispatcher(&[("a", 4), ("b", 4)]);
    let (_, effects) = dispatcher.submit(job("j", 1), 0);
    let (first, id) = attempts(&effects)[0];
    let effects = settle(&mut dispatcher, first, 4, &[(id, AttemptOutcome::Failed)], 10);
    let (second, id) = attempts(&effects)[0];
    assert_ne!(first, second);
    assert_eq!(batches(&effects)[0].1.attempts[0].run, 2);
    let effects = settle(&mut dispatcher, second, 4, &[(id, AttemptOutcome::Failed)], 20);
    assert_eq!(ends(&effects), [JobOutcome::Failed]);
}

#[test]
fn a_failed_task_is_tried_again_where_it_failed_if_nothing_else_takes_tasks() {
    let (mut dispatcher, _) = dispatcher(&[("a", 4)]);
    let (_, effects) = dispatcher.submit(job("j", 1), 0);
    let (only, id) = attempts(&effects)[0];
    let effects = settle(&mut dispatcher, only, 4, &[(id, AttemptOutcome::Failed)], 10);
    assert_eq!(attempts(&effects).iter().map(|(agent, _)| *agent).collect::<Vec<_>>(), [only]);
    // Another one that is full takes tasks soon: the task waits for it.
    let (_, id) = attempts(&effects)[0];
    add(&mut dispatcher, upstream("b", 1), 0, 15);
    let patient = DirectJob { max_attempts: 9, ..job("k", 1) };
    settle(&mut dispatcher, only, 4, &[(id, DONE)], 20);
    let (_, effects) = dispatcher.submit(patient, 20);
    let (_, id) = attempts(&effects)[0];
    let effects = settle(&mut dispatcher, only, 4, &[(id, AttemptOutcome::Failed)], 30);
    assert!(attempts(&effects).is_empty());
}

#[test]
fn orders_at_a_restarted_agent_are_lost_and_placed_again() {
    let (mut dispatcher, _) = dispatcher(&[("a", 4), ("b", 4)]);
    let (_, effects) = dispatcher.submit(job("j", 1), 0);
    let (agent, _) = attempts(&effects)[0];
    let name = dispatcher.agent_name(agent).cloned().unwrap_or_default();
    let (_, outstanding, effects) = dispatcher.on_agent_hello(&hello(&name, 2), 50);
    assert!(outstanding.is_empty());
    let placed = attempts(&effects);
    assert_eq!(placed.len(), 1);
    assert_ne!(placed[0].0, agent, "the restarted agent has not reported yet");
}

#[test]
fn orders_at_a_silent_agent_stay_undecided_until_every_lease_has_ended() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 4)]);
    let patient = DirectJob { caller_timeout_ms: 10_000, ..job("j", 1) };
    dispatcher.submit(patient, 0);
    dispatcher.on_disconnected(keys[0]);
    let timing = Timing::default();
    let end_ms = timing.session_end_ms() + timing.lease_end_ms();
    let other = add(&mut dispatcher, upstream("b", 1), 4, 100);
    for now_ms in (200..end_ms).step_by(100) {
        dispatcher.on_report(other, report(None, cores(4), 0), now_ms);
        assert!(attempts(&dispatcher.tick(now_ms)).is_empty(), "at {now_ms} ms");
    }
    dispatcher.on_report(other, report(None, cores(4), 0), end_ms);
    assert_eq!(attempts(&dispatcher.tick(end_ms)).len(), 1);
}

#[test]
fn a_greeting_names_the_orders_without_an_outcome() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 4)]);
    let (_, effects) = dispatcher.submit(job("j", 2), 0);
    let ids: Vec<_> = attempts(&effects).into_iter().map(|(_, id)| id).collect();
    dispatcher.on_disconnected(keys[0]);
    let (_, outstanding, _) = dispatcher.on_agent_hello(&hello("a", 1), 50);
    assert_eq!(outstanding, ids);
}

#[test]
fn an_upstream_that_fails_jobs_in_a_row_is_ejected_and_comes_back_by_probation() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8), ("b", 0)]);
    for (n, id) in [(0, "j"), (1, "k")] {
        let (_, effects) = dispatcher.submit(DirectJob { max_attempts: 1, ..job(id, 1) }, n);
        let id = attempts(&effects)[0].1;
        settle(&mut dispatcher, keys[0], 8, &[(id, AttemptOutcome::Failed)], n);
    }
    let (_, effects) = dispatcher.submit(job("l", 1), 10);
    assert!(attempts(&effects).is_empty(), "ejected");
    dispatcher.on_report(keys[0], report(None, cores(8), 1_000), 1_000);
    let (_, effects) = dispatcher.submit(job("m", 2), 1_001);
    assert_eq!(attempts(&effects).len(), 1, "one task at a time on probation");
    let id = attempts(&effects)[0].1;
    let effects = settle(&mut dispatcher, keys[0], 8, &[(id, DONE)], 1_010);
    assert_eq!(attempts(&effects).len(), 1);
}

#[test]
fn never_ejects_more_than_half() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8)]);
    for (n, id) in ["j", "k", "l"].into_iter().enumerate() {
        let now_ms = n as u64;
        let (_, effects) = dispatcher.submit(DirectJob { max_attempts: 1, ..job(id, 1) }, now_ms);
        let id = attempts(&effects)[0].1;
        settle(&mut dispatcher, keys[0], 8, &[(id, AttemptOutcome::Failed)], now_ms);
    }
    let (_, effects) = dispatcher.submit(job("m", 1), 10);
    assert_eq!(attempts(&effects).len(), 1);
}

#[test]
fn a_job_that_fits_nowhere_fails_at_once() {
    let (mut dispatcher, _) = dispatcher(&[("a", 8)]);
    let mut large = job("j", 1);
    large.steps[0].need = cores(9);
    assert_eq!(ends(&dispatcher.submit(large, 0).1), [JobOutcome::Failed]);
}

#[test]
fn steps_wait_for_the_steps_that_they_depend_on() {
    let (mut dispatcher, keys) = dispatcher(&[("a", 8)]);
    let mut chain = job("j", 1);
    let mut second = step(2);
    second.after = vec![0];
    chain.steps.push(second);
    let (_, effects) = dispatcher.submit(chain, 0);
    let ids = attempts(&effects);
    assert_eq!(ids.len(), 1);
    let effects = settle(&mut dispatcher, keys[0], 8, &[(ids[0].1, DONE)], 10);
    assert_eq!(batches(&effects)[0].1.step, 1);
    assert_eq!(attempts(&effects).len(), 2);
}

#[test]
fn labels_and_the_most_per_upstream_are_kept() {
    let (mut dispatcher, _) = dispatcher(&[("a", 8), ("b", 8)]);
    let mut spread = job("j", 3);
    spread.steps[0].max_per_upstream = Some(1);
    assert_eq!(attempts(&dispatcher.submit(spread, 0).1).len(), 2);
    let mut labelled = job("k", 1);
    labelled.steps[0].label = Some("z".into());
    assert_eq!(ends(&dispatcher.submit(labelled, 1).1), [JobOutcome::Failed]);
}

#[test]
fn an_upstream_of_another_pool_or_that_drains_gets_nothing() {
    let (mut dispatcher, _) = dispatcher(&[]);
    add(&mut dispatcher, Upstream { pool: "other".into(), ..upstream("a", 1) }, 8, 0);
    let state = direct::UpstreamState::Draining;
    add(&mut dispatcher, Upstream { state, ..upstream("b", 1) }, 8, 0);
    assert!(attempts(&dispatcher.submit(job("j", 1), 1).1).is_empty());
}

#[test]
fn a_closed_door_refuses_before_anything_starts() {
    let (mut dispatcher, _) = dispatcher(&[("a", 8)]);
    dispatcher.set_admission(Admission::Closed(RefusalReason::Suspended));
    let (_, effects) = dispatcher.submit(job("j", 1), 0);
    let refused = JobOutcome::NotRun { reason: RefusalReason::Suspended, retry_after_ms: 1_000 };
    assert_eq!(ends(&effects), [refused]);
    assert!(attempts(&effects).is_empty());
}

#[test]
fn the_faster_upstream_is_learned_and_taken() {
    let (mut dispatcher, keys) = dispatcher(&[("slow", 0), ("fast", 0)]);
    for n in 0..40_u64 {
        let key = keys[usize::from(n % 2 == 1)];
        let run_ms = if key == keys[0] { 130 } else { 80 };
        let now_ms = n * 200;
        dispatcher.on_report(key, report(None, cores(1), 1_000), now_ms);
        let (_, effects) = dispatcher.submit(job(&format!("j{n}"), 1), now_ms);
        let id = attempts(&effects)[0].1;
        settle(&mut dispatcher, key, 0, &[(id, AttemptOutcome::Done { run_ms })], now_ms + 100);
    }
    for key in &keys {
        dispatcher.on_report(*key, report(None, cores(1), 1_000), 8_000);
    }
    let (_, effects) = dispatcher.submit(job("next", 1), 8_000);
    let used: Vec<_> = attempts(&effects).into_iter().map(|(agent, _)| agent).collect();
    assert_eq!(used, [keys[1]]);
}

types::cases! {
    fn the_own_zone_goes_before_a_faster_one_while_the_objective_is_safe(
        near_ms: u32,
        is_near_chosen: bool,
    ) {
        let (mut dispatcher, keys) = dispatcher(&[("near", 4)]);
        slow_down(&mut dispatcher, keys[0], near_ms);
        add(&mut dispatcher, Upstream { zone: "mid-b".into(), ..upstream("far", 1) }, 4, 45);
        let wanted = DirectJob { allowance_ms: 160, ..job("j", 1) };
        let (_, effects) = dispatcher.submit(wanted, 50);
        let (chosen, _) = attempts(&effects)[0];
        assert_eq!(chosen == keys[0], is_near_chosen);
    }
    as_fast: (100, true),
    much_slower: (180, true),
    too_slow: (240, false),
}

#[test]
fn a_job_that_misses_its_objective_starts_late_where_there_is_room_for_all_of_it() {
    let (mut dispatcher, keys) = dispatcher(&[("slow", 4)]);
    slow_down(&mut dispatcher, keys[0], LATE_MS);
    let (key, effects) = dispatcher.submit(job("j", 2), 50);
    assert!(
        attempts(&effects).is_empty(),
        "nothing starts that would be late, while others may come"
    );
    let effects = dispatcher.tick(50 + REFUSAL_MS);
    assert_eq!(attempts(&effects).len(), 2);
    assert!(ends(&effects).is_empty(), "{key:?} is not refused");
}

#[test]
fn a_job_that_starts_late_gets_no_more_than_is_free() {
    let (mut dispatcher, keys) = dispatcher(&[("slow", 4)]);
    slow_down(&mut dispatcher, keys[0], LATE_MS);
    let two_steps = DirectJob { steps: vec![step(3), step(3)], ..job("j", 1) };
    dispatcher.submit(two_steps, 50);
    let effects = dispatcher.tick(50 + REFUSAL_MS);
    assert!((1..=4).contains(&attempts(&effects).len()), "{effects:?}");
}

#[test]
fn a_job_of_which_a_part_would_fit_late_is_refused_unstarted() {
    let (mut dispatcher, keys) = dispatcher(&[("slow", 4)]);
    slow_down(&mut dispatcher, keys[0], LATE_MS);
    dispatcher.submit(job("j", 5), 50);
    let effects = dispatcher.tick(50 + REFUSAL_MS);
    assert!(attempts(&effects).is_empty());
    assert!(matches!(
        ends(&effects)[..],
        [JobOutcome::NotRun { reason: RefusalReason::Overloaded, .. }]
    ));
}
