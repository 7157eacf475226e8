//! Late answers of agents that have forgotten a claim, or remember one that is over.

mod common;

use std::sync::Arc;

use common::{cores, open, upstream};
use direct::{Supervisor, Timing, UnsettledAttempts};

/// Returns an entry whose job runs by the grant of one agent, without the answer of the other one, its agents,
/// the claim and the number of starts.
fn half_granted() -> (direct::Dispatcher, Vec<direct::AgentKey>, direct::ClaimId, usize) {
    use common::{attempts, claims_in, job, report};
    use direct::{AgentHello, ClaimNews, Dispatcher};
    let mut entry = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    let connect = |entry: &mut Dispatcher, agent: &str| {
        let hello = AgentHello { agent: agent.into(), incarnation: 1, entries: Vec::new() };
        let (key, ..) = entry.on_agent_hello(&hello, 0);
        entry.on_report(key, report(Some(upstream(agent, 1)), cores(8), 0), 0);
    };
    connect(&mut entry, "a");
    connect(&mut entry, "b");
    let (_, effects) = entry.submit(job("j", 1), 10);
    let claims = claims_in(&effects);
    let id = claims[0].1.id;
    let keepers: Vec<_> = claims.into_iter().map(|(agent, _)| agent).collect();
    let mut started = attempts(&entry.on_claims(keepers[0], &[ClaimNews::Granted(id)], 12)).len();
    for now_ms in (22..166).step_by(12) {
        started += attempts(&entry.tick(now_ms)).len();
    }
    (entry, keepers, id, started)
}

fn withdrawals(effects: &[direct::DispatcherEffect]) -> usize {
    effects.iter().filter(|e| matches!(e, direct::DispatcherEffect::Withdrawn { .. })).count()
}

/// Guards against a healthy run that is stopped because an agent was replaced and has forgotten its grant.
#[test]
fn a_keeper_that_granted_a_job_and_forgot_it_does_not_stop_it() {
    let (mut entry, keepers, id, started) = half_granted();
    assert_eq!(started, 1);
    // The first keeper was replaced, and knows only the entry that has waited there.
    let effects = entry.on_claims(keepers[0], &[direct::ClaimNews::Contested(id)], 400);
    assert_eq!(withdrawals(&effects), 0, "{effects:?}");
}

/// Guards against a run that is stopped because of a claim that ended without a word.
#[test]
fn a_claim_of_a_job_that_has_ended_elsewhere_does_not_stop_its_later_submission() {
    use direct::{Claim, ClaimEnd, ClaimId, ClaimNews, JobName};
    // The agent: another entry has run the job and answered its caller; no end of its claim was sent.
    let mut agent = Supervisor::new(Timing::default(), 0);
    agent.on_heartbeat(upstream("b", 1), 1, 0);
    open(&mut agent);
    let none = UnsettledAttempts::default();
    let (other, _) = agent.on_entry_hello(&Arc::from("e2"), 1, &none, 10, 10);
    let (this, _) = agent.on_entry_hello(&Arc::from("e1"), 1, &none, 10, 10);
    agent.tick(200);
    let name = JobName { queue: "kitchen".into(), id: "j".into() };
    let claim = |id, job: &JobName| Claim { id: ClaimId(id), job: job.clone(), is_running: false };
    agent.on_claim(other, &claim(7, &name), 210);
    agent.report(this, false);
    // Its later submission; the entry has started it when the answer arrives.
    let (mut entry, keepers, id, _) = half_granted();
    agent.on_claim(this, &claim(id.0, &name), 1_000);
    let news = agent.report(this, false).map_or_else(Vec::new, |report| report.claims);
    assert_eq!(news, [ClaimNews::Contested(id)]);
    let stopped = withdrawals(&entry.on_claims(keepers[1], &news, 200));
    agent.on_claim_end(other, ClaimId(7), ClaimEnd::Released, 1_003);
    let news = agent.report(this, false).map_or_else(Vec::new, |report| report.claims);
    assert_eq!(news, [ClaimNews::Granted(id)]);
    assert_eq!(stopped, 0, "a healthy run was stopped");
}
