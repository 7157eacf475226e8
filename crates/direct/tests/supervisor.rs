//! Tests of the supervisor: capacity, ends of runs and protection against duplicate starts.

mod common;

use std::sync::Arc;

use common::{batch, cores, hear, open, replace, run_list, task, upstream};
use direct::{
    AttemptId, AttemptOutcome, RunList, RunOutcome, SessionKey, StartResult, StartRun, Supervisor,
    SupervisorEffect, TaskId, Timing, UnsettledAttempts, Upstream, UpstreamState,
};

struct Agent {
    supervisor: Supervisor,
    entry: SessionKey,
}

/// Returns an open agent with an upstream of 8 cores and a session with one entry.
fn agent() -> Agent {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    supervisor.on_heartbeat(upstream("u", 1), 1, 30);
    open(&mut supervisor);
    let (entry, _) =
        supervisor.on_entry_hello(&Arc::from("e1"), 1, &UnsettledAttempts::default(), 10, 10);
    supervisor.report(entry, true);
    Agent { supervisor, entry }
}

impl Agent {
    fn starts(&mut self, job: &str, ids: &[u64], n: u32) -> Vec<StartRun> {
        let effects = self.supervisor.on_attempts(self.entry, &batch(job, ids, cores(n)), 10);
        effects.into_iter().filter_map(as_start).collect()
    }

    fn outcomes(&mut self) -> Vec<(AttemptId, AttemptOutcome)> {
        self.supervisor.report(self.entry, false).map_or_else(Vec::new, |r| r.outcomes)
    }
}

fn wanted(ids: &[AttemptId]) -> UnsettledAttempts {
    UnsettledAttempts { wanted: ids.to_vec(), stopping: Vec::new() }
}

fn as_start(effect: SupervisorEffect) -> Option<StartRun> {
    match effect {
        SupervisorEffect::Start(start) => Some(start),
        _ => None,
    }
}

fn stops(effects: &[SupervisorEffect]) -> Vec<(TaskId, u32)> {
    let stop = |effect: &SupervisorEffect| match effect {
        SupervisorEffect::Stop(task, run, _) => Some((task.clone(), *run)),
        _ => None,
    };
    effects.iter().filter_map(stop).collect()
}

#[test]
fn starts_what_fits_and_refuses_the_rest() {
    let mut agent = agent();
    assert_eq!(agent.starts("j", &[1, 2, 3], 3).len(), 2);
    assert_eq!(agent.outcomes(), [(AttemptId(3), AttemptOutcome::NotStarted)]);
    assert_eq!(agent.supervisor.free(), cores(2));
}

#[test]
fn a_run_that_is_being_stopped_occupies_capacity_until_its_end_is_listed() {
    let mut agent = agent();
    agent.starts("j", &[1], 8);
    let t = task("j", 0);
    agent.supervisor.on_start_result(&t, 1, StartResult::Started, 20);
    let effects = agent.supervisor.on_stop(agent.entry, &[AttemptId(1)]);
    assert_eq!(stops(&effects), [(t.clone(), 1)]);
    agent.supervisor.on_stop_result(&t, 1, true, 30);
    assert!(agent.starts("k", &[2], 1).is_empty());
    let mut list = run_list(31, &[]);
    list.ended.push((t, 1, RunOutcome::Terminated));
    agent.supervisor.on_run_list(&list);
    assert_eq!(agent.starts("k", &[3], 1).len(), 1);
}

#[test]
fn an_unanswered_start_is_repeated_then_stopped_and_settled_only_when_the_stop_is_confirmed() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let t = task("j", 0);
    for _ in 0..3 {
        let effects = agent.supervisor.on_start_result(&t, 1, StartResult::Unknown, 20);
        assert!(effects.iter().any(|e| matches!(e, SupervisorEffect::Start(_))));
    }
    let effects = agent.supervisor.on_start_result(&t, 1, StartResult::Unknown, 40);
    assert_eq!(stops(&effects), [(t.clone(), 1)]);
    assert!(agent.outcomes().is_empty());
    let effects = agent.supervisor.on_stop_result(&t, 1, false, 50);
    assert_eq!(stops(&effects), [(t.clone(), 1)], "a stop without an answer is repeated");
    agent.supervisor.on_stop_result(&t, 1, true, 60);
    agent.supervisor.on_run_list(&run_list(59, &[]));
    assert!(agent.outcomes().is_empty(), "a list from before the stop proves nothing");
    agent.supervisor.on_run_list(&run_list(60, &[]));
    let end_ms = 60 + Timing::default().missing_after_ms();
    agent.supervisor.on_run_list(&run_list(end_ms - 1, &[]));
    assert!(agent.outcomes().is_empty(), "a run that has started may still end");
    agent.supervisor.on_run_list(&run_list(end_ms, &[]));
    assert_eq!(agent.outcomes(), [(AttemptId(1), AttemptOutcome::Lost)]);
}

/// Guards against an agent that takes the acknowledgement of a stop, or the time that the upstream
/// promises for it, for the end of the run: the entry started the task again beside it.
#[test]
fn a_stopped_run_has_ended_when_its_end_is_listed() {
    let stop_ms = Timing::default().stop_ms;
    let t = task("j", 0);
    let mut stopped = RunList { ended: Vec::new(), ..run_list(31, &[]) };
    stopped.ended.push((t.clone(), 1, RunOutcome::Terminated));
    let listed = run_list(30 + stop_ms, &[(&t, 1)]);
    for (list, outcomes) in [
        (run_list(31, &[]), vec![]),
        (run_list(29 + stop_ms, &[]), vec![]),
        (listed, vec![]),
        (run_list(30 + stop_ms, &[]), vec![]),
        (run_list(30 + 10 * stop_ms, &[]), vec![]),
        (stopped, vec![(AttemptId(1), AttemptOutcome::Stopped)]),
    ] {
        let mut agent = agent();
        agent.starts("j", &[1], 1);
        agent.supervisor.on_start_result(&t, 1, StartResult::Started, 20);
        agent.supervisor.on_stop(agent.entry, &[AttemptId(1)]);
        agent.supervisor.on_stop_result(&t, 1, true, 30);
        agent.supervisor.on_run_list(&list);
        assert_eq!(agent.outcomes(), outcomes, "{list:?}");
    }
}

/// Guards against an agent that takes a run for lost whose lease has expired and which the upstream
/// omits from its lists while it ends: the entry started the task again beside it.
#[test]
fn a_run_that_is_in_no_list_has_ended_when_its_end_is_listed() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let t = task("j", 0);
    agent.supervisor.on_start_result(&t, 1, StartResult::Started, 20);
    agent.supervisor.on_run_list(&run_list(30, &[]));
    agent.supervisor.on_run_list(&run_list(200, &[]));
    assert!(agent.outcomes().is_empty());
    let ended = vec![(t, 1, RunOutcome::Terminated)];
    agent.supervisor.on_run_list(&RunList { ended, ..run_list(210, &[]) });
    assert_eq!(agent.outcomes(), [(AttemptId(1), AttemptOutcome::Lost)]);
}

/// Guards against a run that occupies its capacity for ever because its end was lost.
#[test]
fn a_run_whose_end_is_never_listed_is_lost_after_a_time() {
    let missing_after_ms = Timing::default().missing_after_ms();
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let t = task("j", 0);
    agent.supervisor.on_start_result(&t, 1, StartResult::Started, 20);
    agent.supervisor.on_run_list(&run_list(30, &[]));
    agent.supervisor.on_run_list(&run_list(100, &[(&t, 1)]));
    agent.supervisor.on_run_list(&run_list(110, &[]));
    agent.supervisor.on_run_list(&run_list(109 + missing_after_ms, &[]));
    assert!(agent.outcomes().is_empty(), "it was listed at 100 ms");
    agent.supervisor.on_run_list(&run_list(110 + missing_after_ms, &[]));
    assert_eq!(agent.outcomes(), [(AttemptId(1), AttemptOutcome::Lost)]);
}

#[test]
fn a_start_whose_answer_is_overdue_is_sent_again_while_the_first_call_goes_on() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let t = task("j", 0);
    for took_ms in [2, 3, 2, 4, 3, 2] {
        agent.supervisor.record_start_time(took_ms);
    }
    let overdue_ms = agent.supervisor.start_overdue_ms();
    assert!(overdue_ms < Timing::default().call_ms / 3, "{overdue_ms} ms");
    let effects = agent.supervisor.on_start_overdue(&t, 1);
    assert!(matches!(&effects[..], [SupervisorEffect::Start(start)] if start.run == 1));
    agent.supervisor.on_start_result(&t, 1, StartResult::Started, 20);
    // The first call times out after the second one was answered.
    let effects = agent.supervisor.on_start_result(&t, 1, StartResult::Unknown, 100);
    assert!(effects.is_empty(), "{effects:?}");
    assert!(agent.supervisor.on_start_overdue(&t, 1).is_empty());
    assert!(agent.outcomes().is_empty(), "the run goes on");
}

#[test]
fn an_overdue_start_is_stopped_only_when_none_of_its_calls_is_open() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let t = task("j", 0);
    let repeats = (0..10).filter(|_| !agent.supervisor.on_start_overdue(&t, 1).is_empty()).count();
    assert!((1..=4).contains(&repeats), "{repeats} repeats");
    for _ in 0..repeats {
        let effects = agent.supervisor.on_start_result(&t, 1, StartResult::Unknown, 100);
        assert!(effects.is_empty(), "{effects:?}");
    }
    let effects = agent.supervisor.on_start_result(&t, 1, StartResult::Unknown, 130);
    assert_eq!(stops(&effects), [(t, 1)]);
}

#[test]
fn answers_that_take_long_defer_the_repetition() {
    let mut agent = agent();
    let before_ms = agent.supervisor.start_overdue_ms();
    for _ in 0..20 {
        agent.supervisor.record_start_time(60);
    }
    let after_ms = agent.supervisor.start_overdue_ms();
    assert!(after_ms > 60 && after_ms > before_ms, "{before_ms} and {after_ms} ms");
}

#[test]
fn a_start_that_waited_for_too_long_is_not_sent() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let t = task("j", 0);
    // The session was opened at 10 ms.
    let timing = Timing::default();
    assert!(timing.max_start_age_ms() < timing.session_ms);
    let end_ms = 10 + timing.max_start_age_ms();
    assert!(agent.supervisor.may_send_start(&t, 1, end_ms - 1));
    assert!(!agent.supervisor.may_send_start(&t, 1, end_ms), "the permission has run out");
    let end_ms = 10 + timing.session_ms;
    assert_eq!(stops(&agent.supervisor.tick(end_ms)), [(t, 1)]);
}

#[test]
fn a_start_that_waited_until_its_run_was_stopped_is_not_sent() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let t = task("j", 0);
    agent.supervisor.on_stop(agent.entry, &[AttemptId(1)]);
    assert!(!agent.supervisor.may_send_start(&t, 1, 20));
    assert!(!agent.supervisor.may_send_start(&task("k", 0), 1, 20), "unknown run");
}

#[test]
fn only_active_links_get_a_report_of_each_change_of_load() {
    let mut agent = agent();
    agent.supervisor.tick(15);
    let (other, _) =
        agent.supervisor.on_entry_hello(&Arc::from("e2"), 1, &UnsettledAttempts::default(), 16, 16);
    let timing = Timing::default();
    assert_eq!(agent.supervisor.heartbeat_ms(other), timing.standby_heartbeat_ms);
    let effects = agent.supervisor.set_active(other, true);
    assert_eq!(effects, [SupervisorEffect::Report(other)]);
    assert_eq!(agent.supervisor.heartbeat_ms(other), timing.heartbeat_ms);
    agent.starts("j", &[1], 1);
    assert_eq!(agent.supervisor.tick(20), [SupervisorEffect::Report(other)]);
    assert!(agent.supervisor.tick(40).is_empty(), "nothing has changed");
    let (again, _) =
        agent.supervisor.on_entry_hello(&Arc::from("e2"), 1, &UnsettledAttempts::default(), 50, 50);
    assert_eq!(agent.supervisor.heartbeat_ms(again), timing.standby_heartbeat_ms, "a new link");
}

#[test]
fn a_report_says_how_often_the_link_was_switched() {
    let mut agent = agent();
    let seen = |agent: &mut Agent| {
        agent.supervisor.report(agent.entry, false).map(|report| report.load.switches_seen)
    };
    assert_eq!(seen(&mut agent), Some(0));
    agent.supervisor.set_active(agent.entry, true);
    agent.supervisor.set_active(agent.entry, false);
    assert_eq!(seen(&mut agent), Some(2));
    let none = UnsettledAttempts::default();
    agent.supervisor.on_entry_hello(&Arc::from("e1"), 1, &none, 50, 50);
    assert_eq!(seen(&mut agent), Some(0), "a new connection");
}

types::cases! {
    fn a_refusal_of_a_repeated_start_does_not_settle_the_first(result: StartResult) {
        let mut agent = agent();
        agent.starts("j", &[1], 1);
        let t = task("j", 0);
        agent.supervisor.on_start_result(&t, 1, StartResult::Unknown, 20);
        let effects = agent.supervisor.on_start_result(&t, 1, result, 30);
        assert!(agent.outcomes().is_empty(), "the first start may have run");
        assert_eq!(stops(&effects), [(t, 1)]);
    }
    refused_start_after_an_unanswered_one: (StartResult::Refused),
    old_run_after_an_unanswered_start: (StartResult::OldRun),
    unhealthy_after_an_unanswered_start: (StartResult::Unhealthy),
}

#[test]
fn runs_of_an_unresponsive_entry_are_stopped_before_its_callers_resubmit() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let t = task("j", 0);
    agent.supervisor.on_start_result(&t, 1, StartResult::Started, 20);
    agent.supervisor.on_disconnected(agent.entry);
    assert!(stops(&agent.supervisor.tick(900)).is_empty());
    assert_eq!(stops(&agent.supervisor.tick(911)), [(t, 1)]);
}

/// Guards against a lease that protects the runs of a failed entry beyond the resubmission of its
/// jobs, because the agent extends it for the runs of other entries.
#[test]
fn no_lease_outlives_the_limit_of_a_run_that_cannot_be_stopped() {
    let timing = Timing::default();
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let (other, _) =
        agent.supervisor.on_entry_hello(&Arc::from("e2"), 1, &UnsettledAttempts::default(), 20, 20);
    agent.supervisor.on_attempts(other, &batch("k", &[1], cores(1)), 20);
    // The entry of the first run was last heard at 10 ms.
    let limit_ms = 10 + timing.run_limit_ms();
    assert!(limit_ms * 102 / 100 + timing.stop_end_ms() <= 10 + timing.resend_ms);
    for now_ms in (100..limit_ms).step_by(100) {
        hear(&mut agent.supervisor, other, now_ms);
        agent.supervisor.tick(now_ms);
        let end_ms = limit_ms.min(now_ms + timing.granted_lease_ms());
        assert_eq!(agent.supervisor.lease_end_ms(now_ms), Some(end_ms), "at {now_ms} ms");
    }
    assert_eq!(agent.supervisor.lease_end_ms(limit_ms), None);
    let mut list = run_list(limit_ms, &[(&task("k", 0), 1)]);
    list.ended.push((task("j", 0), 1, RunOutcome::Terminated));
    agent.supervisor.on_run_list(&list);
    let end_ms = limit_ms + timing.granted_lease_ms();
    assert_eq!(agent.supervisor.lease_end_ms(limit_ms), Some(end_ms), "the run has ended");
}

/// Guards against a lease that protects the run of an answered job beyond the resubmission of the job,
/// because its entry goes on to send messages.
#[test]
fn messages_after_a_stop_do_not_extend_the_limit_of_the_stopped_run() {
    let timing = Timing::default();
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    hear(&mut agent.supervisor, agent.entry, 200);
    hear(&mut agent.supervisor, agent.entry, 400);
    agent.supervisor.on_stop(agent.entry, &[AttemptId(1)]);
    for now_ms in [600, 800, 1_000] {
        hear(&mut agent.supervisor, agent.entry, now_ms);
    }
    // When the entry sent the stop, it had read the report of 400 ms.
    assert_eq!(agent.supervisor.lease_end_ms(1_000), Some(400 + timing.run_limit_ms()));
}

/// Guards against a new agent whose polls extend the leases of the runs that it stops: after the loss
/// of an entry and an agent they went on while stops got no answer.
#[test]
fn an_agent_that_has_not_opened_grants_no_lease() {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    supervisor.on_heartbeat(upstream("u", 1), 1, 1);
    assert_eq!(supervisor.lease_end_ms(1), None);
    let effects = supervisor.on_run_list(&run_list(2, &[(&task("j", 0), 1)]));
    assert_eq!(stops(&effects), [(task("j", 0), 1)]);
    assert_eq!(supervisor.lease_end_ms(3), None);
    supervisor.on_stop_result(&task("j", 0), 1, true, 4);
    let now_ms = supervisor.opening_list_ms().expect("the upstream has answered");
    assert_eq!(supervisor.lease_end_ms(now_ms), None);
    let ended = vec![(task("j", 0), 1, RunOutcome::Terminated)];
    supervisor.on_run_list(&RunList { ended, ..run_list(now_ms, &[]) });
    let none = UnsettledAttempts::default();
    let (entry, _) = supervisor.on_entry_hello(&Arc::from("e1"), 1, &none, now_ms, now_ms);
    supervisor.on_attempts(entry, &batch("k", &[1], cores(1)), now_ms);
    assert_eq!(
        supervisor.lease_end_ms(now_ms),
        Some(now_ms + Timing::default().granted_lease_ms())
    );
}

/// Guards against a run that a lease from before its start protects beyond its limit: its entry is
/// killed, its stops get no answer, and its job has been resubmitted.
#[test]
fn no_earlier_lease_protects_a_run_beyond_its_limit() {
    let timing = Timing::default();
    let mut agent = agent();
    assert_eq!(agent.supervisor.lease_end_ms(12), None, "nothing runs that needs a lease");
    // The entry has read the handshake of 10 ms and nothing since.
    let latest_ms = 10 + timing.run_limit_ms() - timing.granted_lease_ms();
    for (n, granted_ms) in [(1, latest_ms), (2, latest_ms + 1)] {
        agent.supervisor.record_lease_sent(granted_ms);
        agent.supervisor.record_lease_call_end(granted_ms, true);
        assert!(granted_ms + 1 < 10 + timing.max_start_age_ms());
        let batch = batch(&format!("j{n}"), &[n], cores(1));
        let effects = agent.supervisor.on_attempts(agent.entry, &batch, granted_ms + 1);
        let is_started = effects.into_iter().filter_map(as_start).count() == 1;
        assert_eq!(is_started, granted_ms == latest_ms, "after a lease at {granted_ms} ms");
    }
    assert_eq!(agent.outcomes(), [(AttemptId(2), AttemptOutcome::NotStarted)]);
    assert!(!agent.supervisor.may_send_start(&task("j1", 0), 1, latest_ms + 2));
}

/// Guards against an upstream that allows long leases and then starts nothing while it is busy, since
/// each lease would protect the next run beyond its limit.
#[test]
fn a_run_starts_beside_others_however_long_the_leases_may_be() {
    for lease_ms in [800, 1_000, 3_000, 60_000] {
        let timing = Timing { lease_ms, ..Timing::default() };
        assert_eq!(timing.check(), Ok(()));
        let mut supervisor = Supervisor::new(timing, 0);
        supervisor.on_heartbeat(upstream("u", 1), 1, 1);
        open(&mut supervisor);
        let none = UnsettledAttempts::default();
        let (entry, _) = supervisor.on_entry_hello(&Arc::from("e1"), 1, &none, 2, 2);
        supervisor.on_attempts(entry, &batch("j", &[1], cores(1)), 2);
        let now_ms = 2 + timing.heartbeat_ms;
        assert!(supervisor.lease_end_ms(now_ms).is_some());
        supervisor.record_lease_sent(now_ms);
        let effects = supervisor.on_attempts(entry, &batch("k", &[2], cores(1)), now_ms);
        assert_eq!(effects.into_iter().filter_map(as_start).count(), 1, "{lease_ms} ms");
    }
}

/// Guards against a stop that waits for the session of a killed entry to time out, although its
/// process is known to be gone.
#[test]
fn runs_of_an_entry_whose_process_is_gone_are_stopped_at_once() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    agent.supervisor.on_disconnected(agent.entry);
    let effects = agent.supervisor.on_entry_gone(agent.entry);
    assert_eq!(stops(&effects), [(task("j", 0), 1)]);
}

#[test]
fn a_new_incarnation_of_an_entry_stops_the_runs_of_the_previous_one() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let (_, effects) =
        agent.supervisor.on_entry_hello(&Arc::from("e1"), 2, &UnsettledAttempts::default(), 30, 30);
    assert_eq!(stops(&effects), [(task("j", 0), 1)]);
}

#[test]
fn a_reconnected_entry_receives_the_outcomes_that_it_missed() {
    let mut agent = agent();
    agent.starts("j", &[1, 2], 1);
    for i in 0..2 {
        agent.supervisor.on_start_result(&task("j", i), 1, StartResult::Started, 20);
    }
    agent.supervisor.on_disconnected(agent.entry);
    let mut list = run_list(30, &[(&task("j", 1), 1)]);
    list.ended.push((task("j", 0), 1, RunOutcome::Done));
    agent.supervisor.on_run_list(&list);
    let ids = [AttemptId(1), AttemptId(2), AttemptId(3)];
    agent.supervisor.on_entry_hello(&Arc::from("e1"), 1, &wanted(&ids), 40, 40);
    let expected = [
        (AttemptId(1), AttemptOutcome::Done { run_ms: 11 }),
        (AttemptId(3), AttemptOutcome::NotStarted),
    ];
    assert_eq!(agent.outcomes(), expected);
}

/// Guards against a stop that was lost with its connection and never sent again: the run of an
/// answered job went on beside that of the resubmitted one.
#[test]
fn a_resumed_session_stops_the_runs_whose_stop_was_lost() {
    let mut agent = agent();
    agent.starts("j", &[1, 2, 3], 1);
    for i in 0..3 {
        agent.supervisor.on_start_result(&task("j", i), 1, StartResult::Started, 20);
    }
    agent.supervisor.on_disconnected(agent.entry);
    // The third attempt counts as lost at the entry, which lists it no longer.
    let attempts = UnsettledAttempts { wanted: vec![AttemptId(1)], stopping: vec![AttemptId(2)] };
    let (_, effects) = agent.supervisor.on_entry_hello(&Arc::from("e1"), 1, &attempts, 40, 40);
    assert_eq!(stops(&effects), [(task("j", 1), 1), (task("j", 2), 1)]);
    assert!(agent.outcomes().is_empty(), "a stop without an acknowledgement is no outcome");
}

#[test]
fn an_unresponsive_upstream_gets_no_lease_and_its_runs_are_lost_when_the_last_one_has_ended() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    agent.supervisor.on_start_result(&task("j", 0), 1, StartResult::Started, 20);
    agent.supervisor.record_lease_sent(100);
    for at_ms in [200, 350, 450] {
        agent.supervisor.on_call_timeout(at_ms);
    }
    assert_eq!(agent.supervisor.lease_end_ms(460), None);
    assert!(agent.starts("k", &[2], 1).is_empty());
    agent.outcomes();
    let end_ms = 100 + Timing::default().lease_end_ms();
    hear(&mut agent.supervisor, agent.entry, end_ms - 1);
    agent.supervisor.tick(end_ms - 1);
    assert!(agent.outcomes().is_empty());
    agent.supervisor.tick(end_ms);
    assert_eq!(agent.outcomes(), [(AttemptId(1), AttemptOutcome::Lost)]);
}

// Incident docs/incidents/deadly-tasks.md: a crashed upstream passed for a free one for 0.2 s.
#[test]
fn an_upstream_that_refuses_connections_gets_no_attempts_from_the_first_refusal() {
    let mut agent = agent();
    agent.starts("j", &[1, 2], 1);
    agent.supervisor.on_start_result(&task("j", 0), 1, StartResult::Started, 20);
    agent.supervisor.record_lease_sent(20);
    agent.supervisor.record_lease_call_end(20, true);
    agent.supervisor.record_lease_sent(30);
    agent.supervisor.on_call_refused(31);
    agent.supervisor.record_lease_call_end(30, false);
    let result = agent.supervisor.on_start_result(&task("j", 1), 1, StartResult::Undelivered, 31);
    assert!(stops(&result).is_empty());
    assert!(agent.starts("k", &[3], 1).is_empty());
    let not_started = |id| (AttemptId(id), AttemptOutcome::NotStarted);
    assert_eq!(agent.outcomes(), [not_started(2), not_started(3)]);
    // The refused call granted no lease.
    let end_ms = 20 + Timing::default().lease_end_ms();
    hear(&mut agent.supervisor, agent.entry, end_ms - 1);
    agent.supervisor.tick(end_ms - 1);
    assert!(agent.outcomes().is_empty());
    agent.supervisor.tick(end_ms);
    assert_eq!(agent.outcomes(), [(AttemptId(1), AttemptOutcome::Crashed)]);
}

#[test]
fn a_start_of_which_one_call_was_refused_may_still_run_by_the_other() {
    let mut agent = agent();
    let t = task("j", 0);
    agent.starts("j", &[1], 1);
    agent.supervisor.on_start_overdue(&t, 1);
    agent.supervisor.on_call_refused(31);
    agent.supervisor.on_start_result(&t, 1, StartResult::Undelivered, 31);
    assert!(agent.outcomes().is_empty());
    agent.supervisor.on_start_result(&t, 1, StartResult::Unknown, 100);
    assert!(agent.outcomes().is_empty());
}

#[test]
fn single_unanswered_calls_do_not_make_the_upstream_unresponsive() {
    let mut agent = agent();
    agent.starts("k", &[2], 1);
    agent.supervisor.on_call_timeout(100);
    agent.supervisor.on_call_timeout(400);
    assert!(agent.supervisor.lease_end_ms(410).is_some());
    agent.supervisor.on_run_list(&run_list(410, &[]));
    agent.supervisor.on_call_timeout(900);
    assert_eq!(agent.starts("j", &[1], 1).len(), 1);
}

/// Guards against a row with an unreadable run number that passes for a run that has ended.
#[test]
fn a_run_that_is_listed_with_an_unreadable_number_is_not_lost() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    agent.supervisor.on_start_result(&task("j", 0), 1, StartResult::Started, 20);
    let missing_after_ms = Timing::default().missing_after_ms();
    for sent_ms in [40, 40 + missing_after_ms] {
        let list = RunList { unnumbered: vec![task("j", 0)], ..run_list(sent_ms, &[]) };
        agent.supervisor.on_run_list(&list);
        assert!(agent.outcomes().is_empty());
    }
    agent.supervisor.on_run_list(&run_list(50 + missing_after_ms, &[]));
    assert!(agent.outcomes().is_empty());
    agent.supervisor.on_run_list(&run_list(50 + 2 * missing_after_ms, &[]));
    assert_eq!(agent.outcomes(), [(AttemptId(1), AttemptOutcome::Lost)]);
}

#[test]
fn a_new_incarnation_of_the_upstream_loses_all_runs() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    agent.supervisor.on_start_result(&task("j", 0), 1, StartResult::Started, 20);
    replace(&mut agent.supervisor, 2, 30);
    assert_eq!(agent.outcomes(), [(AttemptId(1), AttemptOutcome::Crashed)]);
    assert_eq!(agent.supervisor.upstream().map(|up| up.incarnation), Some(2));
}

/// Guards against a replaced upstream whose time of day was set back: its heartbeats were ignored, so
/// it went on to get tasks while it drained.
#[test]
fn a_replaced_upstream_with_an_earlier_clock_is_followed() {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    supervisor.on_heartbeat(upstream("u", 5), 9, 10);
    supervisor.on_run_list(&RunList { incarnation: Some(5), ..run_list(20, &[]) });
    // Its successor answers before it has sent a heartbeat.
    supervisor.on_run_list(&RunList { incarnation: Some(3), ..run_list(100, &[]) });
    assert!(supervisor.upstream().is_none());
    let draining = Upstream { state: UpstreamState::Draining, ..upstream("u", 3) };
    supervisor.on_heartbeat(draining.clone(), 1, 110);
    assert_eq!(supervisor.upstream(), Some(&draining));
    // A reply that was requested before belongs to the predecessor.
    supervisor.on_run_list(&RunList { incarnation: Some(5), ..run_list(90, &[]) });
    assert_eq!(supervisor.upstream(), Some(&draining));
}

#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let mut agent = agent();
    replace(&mut agent.supervisor, 5, 30);
    agent.supervisor.on_heartbeat(upstream("u", 1), 900, 30);
    assert_eq!(agent.supervisor.upstream().map(|up| up.incarnation), Some(5));
}

#[test]
fn a_draining_upstream_gets_no_tasks() {
    let mut agent = agent();
    let mut draining = upstream("u", 1);
    draining.state = UpstreamState::Draining;
    agent.supervisor.on_heartbeat(draining, 2, 30);
    assert!(agent.starts("j", &[1], 1).is_empty());
    assert_eq!(agent.outcomes(), [(AttemptId(1), AttemptOutcome::NotStarted)]);
}

#[test]
fn a_restarted_agent_stops_the_runs_that_it_finds_before_it_opens() {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    let found = task("old", 0);
    let effects = supervisor.on_run_list(&run_list(1, &[(&found, 3)]));
    assert_eq!(stops(&effects), [(found.clone(), 3)]);
    supervisor.on_stop_result(&found, 3, true, 5);
    let effects = supervisor.on_run_list(&run_list(6, &[(&found, 3)]));
    assert!(!effects.contains(&SupervisorEffect::Open), "it is still listed");
    let list = RunList { ended: vec![(found, 3, RunOutcome::Terminated)], ..run_list(60, &[]) };
    assert!(!supervisor.on_run_list(&list).contains(&SupervisorEffect::Open));
    let list_ms = supervisor.opening_list_ms().expect("the upstream has answered");
    assert!(supervisor.on_run_list(&run_list(list_ms, &[])).contains(&SupervisorEffect::Open));
}

/// Guards against a new agent that opens when the stop of an earlier agent's run is acknowledged: its
/// entries started the task again beside the run that still ended.
#[test]
fn a_restarted_agent_opens_when_the_ends_of_the_runs_that_it_stopped_are_listed() {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    let found = task("old", 0);
    supervisor.on_run_list(&run_list(1, &[(&found, 3)]));
    supervisor.on_stop_result(&found, 3, true, 5);
    let end_ms = 5 + Timing::default().stop_ms;
    let list_ms = supervisor.opening_list_ms().expect("the upstream has answered");
    for sent_ms in [6, end_ms, list_ms, 2 * list_ms] {
        let effects = supervisor.on_run_list(&run_list(sent_ms, &[]));
        assert!(!effects.contains(&SupervisorEffect::Open), "at {sent_ms} ms");
    }
    let ended = vec![(found, 3, RunOutcome::Terminated)];
    let effects = supervisor.on_run_list(&RunList { ended, ..run_list(2 * list_ms, &[]) });
    assert!(effects.contains(&SupervisorEffect::Open));
}

/// Guards against a new agent that opens on its first list: an earlier agent may have stopped a run that
/// the upstream lists neither as running nor as ended yet.
#[test]
fn a_restarted_agent_opens_when_the_stops_of_earlier_agents_have_had_their_time() {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    let first = run_list(20, &[]);
    // From its answer on, the upstream refuses the orders of an earlier agent.
    let end_ms = first.received_ms + Timing::default().stop_end_ms();
    assert!(!supervisor.on_run_list(&first).contains(&SupervisorEffect::Open));
    assert_eq!(supervisor.opening_list_ms(), Some(end_ms));
    assert!(!supervisor.on_run_list(&run_list(end_ms - 1, &[])).contains(&SupervisorEffect::Open));
    assert!(supervisor.on_run_list(&run_list(end_ms, &[])).contains(&SupervisorEffect::Open));
}

/// Guards against a new agent that opens while a run goes on whose number it cannot read, and against
/// one that never opens because of a row of another writer.
#[test]
fn a_restarted_agent_opens_beside_an_unreadable_row_only_after_a_time() {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    let unreadable =
        |sent_ms| RunList { unnumbered: vec![task("old", 0)], ..run_list(sent_ms, &[]) };
    supervisor.on_run_list(&unreadable(1));
    let end_ms = 2 + Timing::default().missing_after_ms();
    assert!(!supervisor.on_run_list(&unreadable(end_ms - 1)).contains(&SupervisorEffect::Open));
    assert!(supervisor.on_run_list(&unreadable(end_ms)).contains(&SupervisorEffect::Open));
}

/// Guards against a start beside a run that the agent did not start and that still ends: the upstream was
/// over its capacity.
#[test]
fn a_run_that_was_found_occupies_capacity_until_its_end_is_listed() {
    let mut agent = agent();
    let found = task("old", 0);
    agent.supervisor.on_run_list(&run_list(200, &[(&found, 3)]));
    agent.supervisor.on_stop_result(&found, 3, true, 203);
    assert!(agent.starts("j", &[1], 1).is_empty());
    let ended = vec![(found, 3, RunOutcome::Terminated)];
    agent.supervisor.on_run_list(&RunList { ended, ..run_list(210, &[]) });
    assert_eq!(agent.starts("j", &[2], 1).len(), 1);
}

/// Guards against an upstream that gets no tasks because a list that was overtaken shows a run as
/// running whose end is known.
#[test]
fn an_overtaken_list_does_not_bring_an_ended_run_back() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let t = task("j", 0);
    agent.supervisor.on_start_result(&t, 1, StartResult::Started, 20);
    let ended = vec![(t.clone(), 1, RunOutcome::Done)];
    agent.supervisor.on_run_list(&RunList { ended, ..run_list(30, &[]) });
    assert!(stops(&agent.supervisor.on_run_list(&run_list(29, &[(&t, 1)]))).is_empty());
    assert!(!agent.supervisor.has_pending_stop());
    let effects = agent.supervisor.on_run_list(&run_list(40, &[(&t, 1)]));
    assert_eq!(stops(&effects), [(t, 1)], "it does run");
}

#[test]
fn a_stop_that_did_not_end_the_run_of_an_earlier_agent_is_sent_again() {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    let found = task("old", 0);
    supervisor.on_run_list(&run_list(1, &[(&found, 3)]));
    supervisor.on_stop_result(&found, 3, true, 5);
    let end_ms = 5 + Timing::default().stop_ms;
    assert!(stops(&supervisor.on_run_list(&run_list(end_ms - 1, &[(&found, 3)]))).is_empty());
    let effects = supervisor.on_run_list(&run_list(end_ms, &[(&found, 3)]));
    assert_eq!(stops(&effects), [(found, 3)]);
}

#[test]
fn a_resubmitted_task_gets_a_higher_run_number() {
    let mut agent = agent();
    agent.starts("j", &[1], 1);
    let mut list = run_list(30, &[]);
    list.ended.push((task("j", 0), 1, RunOutcome::Failed));
    agent.supervisor.on_run_list(&list);
    assert_eq!(agent.starts("j", &[2], 1)[0].run, 2);
}

types::cases! {
    fn inconsistent_timeouts_are_refused(timing: Timing, is_valid: bool) {
        assert_eq!(timing.check().is_ok(), is_valid);
    }
    default_timeouts: (Timing::default(), true),
    long_session: (Timing { session_ms: 1_200, ..Timing::default() }, false),
    long_silence: (Timing { silence_ms: 900, ..Timing::default() }, false),
    long_heartbeat: (Timing { heartbeat_ms: 600, ..Timing::default() }, false),
    long_standby_heartbeat: (Timing { standby_heartbeat_ms: 8_000, ..Timing::default() }, false),
}
