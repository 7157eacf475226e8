//! Upstreams that are late, mute or replaced, and what their agents take for the end of a run.

mod common;

use std::sync::Arc;

use common::{batch, cores, hear, open, run_list, task, upstream};
use direct::{
    AttemptId, AttemptOutcome, FencingToken, ListPosition, RunList, RunOutcome, SessionKey,
    StartResult, Supervisor, SupervisorEffect, Timing, UnsettledAttempts,
};

fn agent() -> (Supervisor, SessionKey) {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    supervisor.on_heartbeat(upstream("u", 1), 1, 30);
    open(&mut supervisor);
    let attempts = UnsettledAttempts::default();
    let (entry, _) = supervisor.on_entry_hello(&Arc::from("e1"), 1, &attempts, 10, 10);
    supervisor.report(entry, true);
    (supervisor, entry)
}

fn outcomes(agent: &mut Supervisor, entry: SessionKey) -> Vec<(AttemptId, AttemptOutcome)> {
    agent.report(entry, false).map_or_else(Vec::new, |report| report.outcomes)
}

/// Returns the time from the sending of a lease until a late upstream has ended its runs, milliseconds.
fn late_lease_end_ms(timing: &Timing) -> u64 {
    timing.granted_lease_ms() * 102 / 100 + timing.stop_end_ms()
}

/// Guards against runs that count as ended while a mute upstream still ends them: the entry started their tasks again
/// beside them.
#[test]
fn runs_of_an_unresponsive_upstream_that_is_late_are_not_lost_before_they_have_ended() {
    let timing = Timing::default();
    let (mut agent, entry) = agent();
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    agent.on_start_result(&task("j", 0), 1, StartResult::Started, 20);
    agent.record_lease_sent(100);
    for at_ms in [200, 350, 450] {
        agent.on_call_timeout(at_ms);
    }
    let at_ms = 100 + late_lease_end_ms(&timing) - 1;
    hear(&mut agent, entry, at_ms);
    agent.tick(at_ms);
    assert_eq!(outcomes(&mut agent, entry), []);
}

/// Guards against a new agent that opens beside the runs of a mute upstream: the entries start their tasks again beside
/// them.
#[test]
fn a_new_agent_of_a_mute_upstream_that_is_late_opens_after_the_last_run_has_ended() {
    let timing = Timing::default();
    let mut agent = Supervisor::new(timing, 0);
    for at_ms in [100, 250, 400] {
        agent.on_call_timeout(at_ms);
    }
    let at_ms = late_lease_end_ms(&timing) - 1;
    assert!(!agent.tick(at_ms).contains(&SupervisorEffect::Open));
}

/// Guards against a run that outlasts its silent agent at a late upstream.
#[test]
fn a_silent_agent_is_lost_after_a_late_upstream_has_ended_its_runs() {
    let timing = Timing::default();
    let end_ms = timing.run_limit_ms() * 102 / 100 + timing.stop_end_ms();
    assert!(end_ms <= timing.lost_after_ms(), "{end_ms} > {}", timing.lost_after_ms());
}

/// Guards against a run that outlasts its silent entry at a late upstream.
#[test]
fn runs_of_a_silent_entry_end_before_its_callers_resubmit_at_a_late_upstream() {
    let timing = Timing::default();
    let end_ms = timing.max_request_age_ms()
        + timing.max_start_age_ms()
        + timing.call_ms
        + timing.stop_end_ms();
    assert!(end_ms <= timing.resend_ms, "{end_ms} > {}", timing.resend_ms);
}

/// Guards against orders of an earlier agent that are carried out because its token is not lower.
#[test]
fn a_token_that_was_raised_is_higher_than_that_of_the_earlier_agent() {
    for back_ms in 1..=64 {
        let earlier = 1_000_000;
        let mut token = FencingToken::new(earlier - back_ms);
        // The upstream refuses what is lower than what it has seen.
        while token.value() < earlier {
            token.raise();
        }
        let accepted = token.value();
        assert!(!token.on_accepted(accepted), "as fenced at {accepted}, {back_ms} ms back");
        assert!(token.value() > earlier, "equal after {back_ms} ms back");
        assert!(token.on_accepted(token.value()), "not fenced after {back_ms} ms back");
    }
}

/// Guards against a token that is equal without a refusal: two agents start in the same millisecond.
#[test]
fn the_token_of_the_next_agent_is_higher_in_the_same_millisecond() {
    let mut highest = 0;
    for _ in 0..8 {
        let mut token = FencingToken::new(1_000_000);
        while token.value() < highest {
            token.raise();
        }
        assert!(!token.on_accepted(token.value()));
        assert!(token.value() > highest, "{highest}");
        highest = token.value();
    }
}

/// Guards against an agent that takes the answer to an earlier token for that to the present one.
#[test]
fn the_answer_to_an_earlier_token_does_not_fence_earlier_agents() {
    let mut token = FencingToken::new(1_000_000);
    let first = token.value();
    assert!(!token.on_accepted(first));
    assert!(!token.on_accepted(first), "another answer to the same token");
    assert!(token.on_accepted(token.value()));
    token.raise();
    let raised = token.value();
    assert!(!token.on_accepted(raised), "as high as what refused the call");
}

/// Guards against an agent that opens by its first answer although an order of an earlier agent with a higher token
/// has been carried out since: the runs that the earlier agent stopped until then may be in no list.
#[test]
fn an_agent_that_is_refused_counts_the_time_until_it_opens_anew() {
    let end_ms = Timing::default().stop_end_ms();
    let mut agent = Supervisor::new(Timing::default(), 0);
    agent.on_run_list(&run_list(1, &[]));
    agent.on_fenced();
    assert_eq!(agent.opening_list_ms(), None);
    let is_open = |effects: Vec<SupervisorEffect>| effects.contains(&SupervisorEffect::Open);
    let unproven = RunList { is_fencing: false, ..run_list(2 + end_ms, &[]) };
    assert!(!is_open(agent.on_run_list(&unproven)));
    assert!(!is_open(agent.on_run_list(&run_list(10 + end_ms, &[]))));
    assert!(!is_open(agent.on_run_list(&run_list(10 + 2 * end_ms, &[]))));
    assert!(is_open(agent.on_run_list(&run_list(11 + 2 * end_ms, &[]))));
}

/// Guards against an agent that opens by an answer of the executor's earlier life: the next one has seen no token.
#[test]
fn an_agent_whose_upstream_is_replaced_counts_the_time_until_it_opens_anew() {
    let end_ms = Timing::default().stop_end_ms();
    let mut agent = Supervisor::new(Timing::default(), 0);
    agent.on_run_list(&run_list(1, &[]));
    let next = RunList { incarnation: Some(2), ..run_list(2 + end_ms, &[]) };
    assert!(!agent.on_run_list(&next).contains(&SupervisorEffect::Open));
    assert_eq!(agent.opening_list_ms(), Some(next.received_ms + end_ms));
}

/// Guards against a job that is refused as not run although it ran.
#[test]
fn a_run_that_was_listed_is_not_reported_as_not_started() {
    let timing = Timing::default();
    let (mut agent, entry) = agent();
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    let t = task("j", 0);
    for at_ms in [30, 60, 90, 120] {
        agent.on_start_result(&t, 1, StartResult::Unknown, at_ms);
    }
    agent.on_run_list(&run_list(200, &[(&t, 1)]));
    agent.on_stop_result(&t, 1, true, 205);
    // Its end cannot be read.
    for i in 0..30 {
        agent.on_run_list(&run_list(210 + i * 50, &[]));
    }
    hear(&mut agent, entry, 210 + timing.missing_after_ms());
    assert_eq!(outcomes(&mut agent, entry), [(AttemptId(1), AttemptOutcome::Lost)]);
}

/// Guards against a job that is refused as not run although a late upstream ran it.
#[test]
fn a_run_that_a_late_upstream_ends_is_not_reported_as_not_started() {
    let (mut agent, entry) = agent();
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    let t = task("j", 0);
    for at_ms in [30, 60, 90, 120] {
        agent.on_start_result(&t, 1, StartResult::Unknown, at_ms);
    }
    agent.on_stop_result(&t, 1, true, 130);
    for sent_ms in [140, 180, 220, 260, 281] {
        agent.on_run_list(&run_list(sent_ms, &[]));
    }
    let ended = vec![(t, 1, RunOutcome::Terminated)];
    agent.on_run_list(&RunList { ended, ..run_list(300, &[]) });
    assert_eq!(outcomes(&mut agent, entry), [(AttemptId(1), AttemptOutcome::Lost)]);
}

/// Guards against runs that count as crashed because of a heartbeat that was held up.
#[test]
fn a_late_heartbeat_of_an_earlier_life_with_a_higher_number_settles_nothing() {
    let (mut agent, entry) = agent();
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    let t = task("j", 0);
    agent.on_start_result(&t, 1, StartResult::Started, 20);
    agent.on_run_list(&run_list(200, &[(&t, 1)]));
    // The time of day was set back between the two lives; the earlier one's call was under way.
    agent.on_heartbeat(upstream("u", 9), 70, 210);
    agent.on_run_list(&run_list(220, &[(&t, 1)]));
    assert_eq!(outcomes(&mut agent, entry), []);
}

/// Guards against a late heartbeat that is taken for that of the present life while none of that has come: the runs of
/// the present life were settled when its own heartbeat came.
#[test]
fn a_late_heartbeat_of_an_earlier_life_does_not_describe_the_next() {
    let (mut agent, entry) = agent();
    let list = |sent_ms, running: &[(&direct::TaskId, u32)]| RunList {
        incarnation: Some(2),
        ..run_list(sent_ms, running)
    };
    agent.on_run_list(&list(200, &[]));
    for (incarnation, described) in [(1, None), (9, None), (2, Some(2)), (9, Some(2)), (1, Some(2))]
    {
        agent.on_heartbeat(upstream("u", incarnation), 70, 210);
        assert_eq!(agent.upstream().map(|up| up.incarnation), described);
    }
    hear(&mut agent, entry, 220);
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 220);
    let t = task("j", 0);
    agent.on_start_result(&t, 1, StartResult::Started, 230);
    agent.on_heartbeat(upstream("u", 1), 71, 240);
    agent.on_run_list(&list(250, &[(&t, 1)]));
    assert_eq!(outcomes(&mut agent, entry), []);
}

/// Guards against a run that the next life of the upstream carries out and that counts as lost with the earlier life: the
/// entry started its task elsewhere beside it, until a list had it stopped.
#[test]
fn a_start_that_the_next_life_carries_out_is_not_lost_with_the_earlier_one() {
    let (mut agent, entry) = agent();
    let list = |incarnation, sent_ms, running: &[(&direct::TaskId, u32)]| RunList {
        incarnation: Some(incarnation),
        ..run_list(sent_ms, running)
    };
    agent.on_run_list(&list(1, 200, &[]));
    hear(&mut agent, entry, 210);
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 210);
    let t = task("j", 0);
    agent.on_start_result(&t, 1, StartResult::Started, 220);
    agent.on_run_list(&list(2, 230, &[(&t, 1)]));
    assert_eq!(outcomes(&mut agent, entry), []);
}

/// Returns a list of the incarnation that has replaced the first one.
fn next_list(sent_ms: u64, running: &[(&direct::TaskId, u32)]) -> RunList {
    RunList { incarnation: Some(2), ..run_list(sent_ms, running) }
}

/// Returns an agent whose only run was started, with this number of calls, at an upstream that another
/// incarnation has replaced.
fn replaced(sends: u32) -> (Supervisor, SessionKey) {
    let (mut agent, entry) = agent();
    agent.on_run_list(&run_list(200, &[]));
    hear(&mut agent, entry, 210);
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 210);
    for _ in 1..sends {
        agent.on_start_overdue(&task("j", 0), 1);
    }
    let effects = agent.on_run_list(&next_list(230, &[]));
    assert!(effects.contains(&SupervisorEffect::RaiseToken));
    (agent, entry)
}

/// Guards against a start that is under way when the first list of the next life is made, and that this life carries out
/// after it: the list did not show it, and the entry started its task elsewhere beside it.
#[test]
fn a_start_that_is_under_way_to_the_next_life_is_not_lost_before_this_life_refuses_it() {
    for result in [None, Some(StartResult::Started), Some(StartResult::Unknown)] {
        let (mut agent, entry) = replaced(1);
        let t = task("j", 0);
        if let Some(result) = result {
            agent.on_start_result(&t, 1, result, 232);
        }
        // This call was sent with the token before.
        agent.on_run_list(&RunList { is_fencing: false, ..next_list(231, &[]) });
        assert_eq!(outcomes(&mut agent, entry), [], "{result:?}");
        agent.on_run_list(&next_list(234, &[(&t, 1)]));
        assert_eq!(outcomes(&mut agent, entry), [], "{result:?}");
        let ended = vec![(t, 1, RunOutcome::Done)];
        agent.on_run_list(&RunList { ended, ..next_list(300, &[]) });
        let outcomes = outcomes(&mut agent, entry);
        assert!(matches!(outcomes[..], [(AttemptId(1), AttemptOutcome::Done { .. })]));
    }
}

/// Guards against runs that are never settled because the next life has not got them.
#[test]
fn a_run_that_the_next_life_neither_has_nor_accepts_any_more_has_crashed() {
    let (mut agent, entry) = replaced(1);
    agent.on_run_list(&next_list(234, &[]));
    assert_eq!(outcomes(&mut agent, entry), [(AttemptId(1), AttemptOutcome::Crashed)]);
    // It is not among the runs of the agent any more.
    let found = agent.on_run_list(&next_list(240, &[(&task("j", 0), 1)]));
    assert!(found.iter().any(|effect| matches!(effect, SupervisorEffect::Stop(..))), "{found:?}");
}

/// Guards against a start that is sent to the next life with the raised token, after the list that settles it.
#[test]
fn a_start_for_an_earlier_life_is_not_sent_to_the_next() {
    let (mut agent, _) = replaced(1);
    let t = task("j", 0);
    assert!(!agent.may_send_start(&t, 1, 231));
    assert_eq!(agent.on_start_overdue(&t, 1), []);
    assert_eq!(agent.on_start_result(&t, 1, StartResult::Unknown, 232), []);
}

/// Guards against a start that is sent to the next life because its connection broke: a task that had crashed its upstream
/// crashed the next life, too.
#[test]
fn a_start_whose_connection_broke_is_not_sent_to_the_next_life() {
    let (mut agent, entry) = agent();
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    let effects = agent.on_start_result(&task("j", 0), 1, StartResult::Broken, 220);
    assert_eq!(effects, [SupervisorEffect::PollRuns]);
    let is_start = |effect: &SupervisorEffect| matches!(effect, SupervisorEffect::Start(_));
    for sent_ms in [225, 230] {
        assert!(!agent.on_run_list(&next_list(sent_ms, &[])).iter().any(is_start));
    }
    assert_eq!(outcomes(&mut agent, entry), [(AttemptId(1), AttemptOutcome::Crashed)]);
}

/// Guards against a start that is never sent again after a connection of the same life broke, and against one that is sent
/// before it is known whose connection it was.
#[test]
fn a_start_whose_connection_broke_is_sent_again_to_the_same_life() {
    let t = task("j", 0);
    let is_start = |effect: &SupervisorEffect| matches!(effect, SupervisorEffect::Start(_));
    for (running, is_repeated) in [(vec![], true), (vec![(&t, 1)], false)] {
        let (mut agent, entry) = agent();
        agent.on_attempts(entry, &batch("j", &[1], cores(1)), 210);
        agent.on_start_result(&t, 1, StartResult::Broken, 220);
        // A list that was requested before shows nothing.
        assert!(!agent.on_run_list(&run_list(219, &[])).iter().any(is_start));
        let effects = agent.on_run_list(&run_list(221, &running));
        assert_eq!(effects.iter().any(is_start), is_repeated);
        let ended = vec![(t.clone(), 1, RunOutcome::Done)];
        agent.on_run_list(&RunList { ended, ..run_list(300, &[]) });
        let outcomes = outcomes(&mut agent, entry);
        assert!(matches!(outcomes[..], [(AttemptId(1), AttemptOutcome::Done { .. })]));
    }
}

/// Guards against a start that is sent to the next life because one of its two connections broke.
#[test]
fn a_start_with_two_calls_is_not_sent_again_when_the_first_one_breaks() {
    let (mut agent, entry) = agent();
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    let t = task("j", 0);
    agent.on_start_overdue(&t, 1);
    assert_eq!(agent.on_start_result(&t, 1, StartResult::Broken, 25), []);
    let effects = agent.on_start_result(&t, 1, StartResult::Broken, 26);
    assert_eq!(effects, [SupervisorEffect::PollRuns]);
}

/// Guards against a run that counts as lost when the leases of the earlier life have ended: they do not bound those of
/// the next one, which is mute.
#[test]
fn a_start_that_a_mute_next_life_may_carry_out_is_not_lost_with_the_leases_of_the_earlier_one() {
    for is_announced in [false, true] {
        let (mut agent, entry) = agent();
        agent.on_run_list(&run_list(200, &[]));
        hear(&mut agent, entry, 210);
        agent.on_attempts(entry, &batch("j", &[1], cores(1)), 210);
        agent.record_lease_sent(210);
        if is_announced {
            agent.on_call_refused(220);
            agent.on_heartbeat(upstream("u", 2), 1, 230);
        } else {
            agent.on_run_list(&next_list(230, &[]));
        }
        for at_ms in [330, 450, 560] {
            agent.on_call_timeout(at_ms);
        }
        hear(&mut agent, entry, 1_400);
        agent.tick(1_400);
        assert_eq!(outcomes(&mut agent, entry), [], "announced: {is_announced}");
        agent.on_run_list(&next_list(1_420, &[]));
        agent.on_run_list(&next_list(1_425, &[]));
        assert_eq!(outcomes(&mut agent, entry), [(AttemptId(1), AttemptOutcome::Crashed)]);
    }
}

/// Guards against a run that counts as ended at the next life because the earlier one had omitted it.
#[test]
fn an_absence_from_the_lists_of_the_earlier_life_settles_nothing_at_the_next() {
    let missing_ms = Timing::default().missing_after_ms();
    let (mut agent, entry) = agent();
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    let t = task("j", 0);
    agent.on_start_overdue(&t, 1);
    agent.on_start_result(&t, 1, StartResult::Started, 15);
    agent.on_stop(entry, &[AttemptId(1)]);
    agent.on_stop_result(&t, 1, true, 220);
    for sent_ms in [225, 224 + missing_ms] {
        agent.on_run_list(&run_list(sent_ms, &[]));
    }
    hear(&mut agent, entry, 225 + missing_ms);
    agent.on_run_list(&next_list(226 + missing_ms, &[]));
    assert_eq!(outcomes(&mut agent, entry), []);
}

/// Guards against a run that counts as gone although the next life has listed it and not its end.
#[test]
fn a_run_that_the_next_life_has_listed_is_not_gone_with_the_earlier_one() {
    let (mut agent, entry) = replaced(1);
    let t = task("j", 0);
    agent.on_run_list(&RunList { is_fencing: false, ..next_list(232, &[(&t, 1)]) });
    agent.on_run_list(&next_list(234, &[]));
    assert_eq!(outcomes(&mut agent, entry), []);
}

/// Guards against a third life that passes for the second one while no heartbeat has described that one.
#[test]
fn a_third_life_is_recognised_before_a_heartbeat_of_the_second() {
    let (mut agent, entry) = replaced(1);
    agent.on_run_list(&next_list(234, &[(&task("j", 0), 1)]));
    let third = |sent_ms| RunList { incarnation: Some(3), ..run_list(sent_ms, &[]) };
    let effects = agent.on_run_list(&third(300));
    assert!(effects.contains(&SupervisorEffect::RaiseToken), "{effects:?}");
    assert_eq!(outcomes(&mut agent, entry), []);
    agent.on_run_list(&third(304));
    assert_eq!(outcomes(&mut agent, entry), [(AttemptId(1), AttemptOutcome::Lost)]);
}

/// Guards against a run that is never stopped again: the acknowledgement of its stop came from the earlier life, or the
/// stop had no effect.
#[test]
fn an_acknowledged_stop_of_a_run_that_stays_listed_is_repeated() {
    let (mut agent, entry) = agent();
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 10);
    let t = task("j", 0);
    agent.on_start_result(&t, 1, StartResult::Started, 15);
    agent.on_stop(entry, &[AttemptId(1)]);
    agent.on_stop_result(&t, 1, true, 220);
    let stop = SupervisorEffect::Stop(t.clone(), 1, direct::StopCause::Repeated);
    let end_ms = 220 + Timing::default().stop_end_ms();
    assert!(!agent.on_run_list(&run_list(end_ms - 1, &[(&t, 1)])).contains(&stop));
    assert!(agent.on_run_list(&run_list(end_ms, &[(&t, 1)])).contains(&stop));
}

/// Guards against a run that is never stopped because it counts as an outdated row: each list of a busy upstream shows an
/// end of some other run.
#[test]
fn a_settled_run_that_is_listed_is_stopped_beside_the_ends_of_others() {
    let (mut agent, entry) = replaced(1);
    agent.on_run_list(&next_list(234, &[]));
    assert_eq!(outcomes(&mut agent, entry), [(AttemptId(1), AttemptOutcome::Crashed)]);
    let t = task("j", 0);
    let others = RunList {
        received_ms: 240,
        ended: vec![(task("other", 0), 1, RunOutcome::Done)],
        ..next_list(236, &[])
    };
    agent.on_run_list(&others);
    let effects = agent.on_run_list(&next_list(240, &[(&t, 1)]));
    let stop = SupervisorEffect::Stop(t, 1, direct::StopCause::Found);
    assert!(effects.contains(&stop), "{effects:?}");
}

/// Guards against a run that counts as not started because one of its calls was refused: another one may have started it.
#[test]
fn a_refused_repetition_does_not_settle_the_start_for_an_earlier_life() {
    let (mut agent, entry) = replaced(2);
    let t = task("j", 0);
    agent.on_start_result(&t, 1, StartResult::Refused, 232);
    assert_eq!(outcomes(&mut agent, entry), []);
    agent.on_run_list(&next_list(234, &[]));
    assert_eq!(outcomes(&mut agent, entry), [(AttemptId(1), AttemptOutcome::Crashed)]);
}

/// Guards against a run that goes on at the next life because its stop was acknowledged by the earlier one.
#[test]
fn a_stopped_run_that_the_next_life_has_is_stopped_again() {
    let (mut agent, entry) = replaced(1);
    let t = task("j", 0);
    agent.on_stop(entry, &[AttemptId(1)]);
    agent.on_stop_result(&t, 1, true, 232);
    let effects = agent.on_run_list(&next_list(234, &[(&t, 1)]));
    let stop = SupervisorEffect::Stop(t, 1, direct::StopCause::Repeated);
    assert!(effects.contains(&stop), "{effects:?}");
    assert_eq!(outcomes(&mut agent, entry), []);
}

/// Guards against a run that the next life is still ending by a stop that was under way, and that its lists omit.
#[test]
fn a_stopped_run_is_not_lost_before_the_next_life_has_ended_it() {
    let (mut agent, entry) = replaced(1);
    agent.on_stop(entry, &[AttemptId(1)]);
    let end_ms = 235 + Timing::default().stop_end_ms();
    for sent_ms in [234, end_ms - 1] {
        agent.on_run_list(&next_list(sent_ms, &[]));
        assert_eq!(outcomes(&mut agent, entry), [], "at {sent_ms} ms");
    }
    hear(&mut agent, entry, end_ms);
    agent.on_run_list(&next_list(end_ms, &[]));
    assert_eq!(outcomes(&mut agent, entry), [(AttemptId(1), AttemptOutcome::Crashed)]);
}

/// Guards against orders for the earlier life that the next one carries out because the token is equal.
#[test]
fn the_token_rises_when_the_upstream_is_replaced() {
    let mut token = FencingToken::new(1_000_000);
    token.on_accepted(token.value());
    let earlier = token.value();
    assert!(token.on_accepted(earlier));
    token.on_replaced();
    assert!(token.value() > earlier);
    assert!(!token.on_accepted(earlier), "it accepts the earlier token still");
    assert!(token.on_accepted(token.value()));
}

/// Guards against ends that are acknowledged before they were read.
#[test]
fn an_overtaken_reply_of_an_earlier_life_does_not_acknowledge_ends_of_the_next() {
    let mut position = ListPosition::default();
    position.on_reply(Some(1), Some(40));
    position.on_failure();
    position.on_reply(Some(2), Some(1));
    position.on_reply(Some(1), Some(40));
    assert!(position.seq() <= 1, "acknowledges {}", position.seq());
}

/// Guards against an agent that never opens.
#[test]
fn an_agent_opens_although_another_writer_has_an_unreadable_row_of_a_task_that_it_found() {
    let mut agent = Supervisor::new(Timing::default(), 0);
    let found = task("old", 0);
    agent.on_run_list(&run_list(1, &[(&found, 3)]));
    agent.on_stop_result(&found, 3, true, 5);
    let mut is_open = false;
    for i in 1..200 {
        let list = RunList { unnumbered: vec![found.clone()], ..run_list(i * 50, &[]) };
        is_open |= agent.on_run_list(&list).contains(&SupervisorEffect::Open);
    }
    assert!(is_open, "not open after 10 s");
}
