//! Tests of the age of an entry's messages, which an agent judges by its own clock: a message is as
//! old as the latest of the agent's reports that the entry had read.

mod common;

use std::sync::Arc;

use common::{batch, cores, open, task, upstream};
use direct::{
    AttemptId, AttemptOutcome, SessionKey, StartResult, StopCause, Supervisor, SupervisorEffect,
    Timing, UnsettledAttempts,
};

const HELLO_MS: u64 = 10;

/// Returns an open agent with a session, whose handshake was sent at [`HELLO_MS`].
fn agent() -> (Supervisor, SessionKey) {
    let mut supervisor = Supervisor::new(Timing::default(), 0);
    supervisor.on_heartbeat(upstream("u", 1), 1, 1);
    open(&mut supervisor);
    let none = UnsettledAttempts::default();
    let (key, _) = supervisor.on_entry_hello(&Arc::from("e1"), 1, &none, HELLO_MS, 12);
    (supervisor, key)
}

fn starts(effects: &[SupervisorEffect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, SupervisorEffect::Start(_))).count()
}

/// Returns whether the agent starts the runs of a batch that arrives now from an entry that had
/// read `reports_read` reports.
fn starts_from(reports_read: u64, sent_ms: &[u64], now_ms: u64) -> bool {
    let (mut agent, entry) = agent();
    for sent_ms in sent_ms {
        agent.record_report_sent(entry, *sent_ms);
    }
    agent.on_entry_message(entry, reports_read, now_ms);
    let effects = agent.on_attempts(entry, &batch("j", &[1], cores(1)), now_ms);
    let outcomes = agent.report(entry, false).map(|report| report.outcomes).unwrap_or_default();
    let is_started = starts(&effects) == 1;
    let refusal = [(AttemptId(1), AttemptOutcome::NotStarted)];
    assert_eq!(outcomes, if is_started { &[][..] } else { &refusal[..] });
    is_started
}

/// Guards against a start that a path or a slow reader holds up and that is carried out seconds
/// later, while its entry has started the task elsewhere.
#[test]
fn a_start_is_refused_when_the_report_before_it_is_old() {
    let limit_ms = Timing::default().max_start_age_ms();
    assert!(starts_from(2, &[100, 300], 300 + limit_ms - 1));
    assert!(!starts_from(2, &[100, 300], 300 + limit_ms));
    assert!(!starts_from(1, &[100, 300], 100 + limit_ms), "the later report proves nothing");
    assert!(starts_from(0, &[], HELLO_MS + limit_ms - 1), "the handshake counts as read");
    assert!(!starts_from(0, &[], HELLO_MS + limit_ms));
}

#[test]
fn a_report_that_was_not_sent_proves_nothing() {
    let limit_ms = Timing::default().max_start_age_ms();
    for reports_read in [3, u64::MAX] {
        assert!(!starts_from(reports_read, &[100, 300], 300 + limit_ms), "{reports_read}");
    }
}

/// Guards against a session that old messages keep alive, because they arrive one after the other.
#[test]
fn messages_that_were_held_up_do_not_extend_a_session() {
    let timing = Timing::default();
    let (mut agent, entry) = agent();
    let first = agent.record_report_sent(entry, 50);
    agent.on_entry_message(entry, first, 52);
    agent.on_attempts(entry, &batch("j", &[1], cores(1)), 52);
    agent.on_start_result(&task("j", 0), 1, StartResult::Started, 54);
    let end_ms = 50 + timing.session_ms;
    for now_ms in (100..end_ms).step_by(50) {
        agent.record_report_sent(entry, now_ms);
        agent.on_entry_message(entry, first, now_ms);
        assert!(agent.tick(now_ms).is_empty(), "at {now_ms} ms");
        let lease_end_ms = agent.lease_end_ms(now_ms);
        assert!(lease_end_ms <= Some(50 + timing.run_limit_ms()), "{lease_end_ms:?}");
    }
    let stop = SupervisorEffect::Stop(task("j", 0), 1, StopCause::SessionExpired);
    assert!(agent.tick(end_ms).contains(&stop));
}

/// Guards against a reply to a handshake that arrives late and renews a session.
#[test]
fn a_held_up_reply_to_a_handshake_is_as_old_as_the_handshake() {
    let timing = Timing::default();
    let (mut agent, entry) = agent();
    let none = UnsettledAttempts::default();
    let now_ms = HELLO_MS + timing.max_start_age_ms();
    let (resumed, _) = agent.on_entry_hello(&Arc::from("e1"), 1, &none, HELLO_MS, now_ms);
    assert_eq!(resumed, entry);
    assert!(!agent.may_start_for(entry, now_ms));
    assert_eq!(agent.session_age_ms(entry, now_ms), Some(now_ms - HELLO_MS));
}
