//! Entries that have started a job without an answer to its claim.

mod common;

use common::{attempts, claims_in, cores, job, report, upstream};
use direct::{
    AgentHello, AgentKey, DirectJob, Dispatcher, DispatcherEffect, Supervisor, Timing,
    UnsettledAttempts,
};

/// Guards against an entry that has started a job without an answer and takes the grant of the one that runs it.
#[test]
fn an_entry_that_started_without_an_answer_yields_to_the_one_that_was_granted() {
    let none = UnsettledAttempts::default();
    let mut agents: Vec<Supervisor> =
        (0..2).map(|_| Supervisor::new(Timing::default(), 0)).collect();
    let mut entries: Vec<Dispatcher> =
        (0..2).map(|n| Dispatcher::new(Timing::default(), "mid-a".into(), n)).collect();
    let mut sessions = Vec::new();
    for (e, entry) in entries.iter_mut().enumerate() {
        let mut row = Vec::new();
        for (agent, name) in agents.iter_mut().zip(["a", "b"]) {
            let hello = AgentHello { agent: name.into(), incarnation: 1, entries: Vec::new() };
            let (key, ..) = entry.on_agent_hello(&hello, 0);
            entry.on_report(key, report(Some(upstream(name, 1)), cores(8), 0), 0);
            row.push(agent.on_entry_hello(&format!("e{e}").as_str().into(), 1, &none, 0, 0).0);
        }
        sessions.push(row);
    }
    agents.iter_mut().for_each(|a| drop(a.tick(100)));
    let long = || DirectJob {
        caller_timeout_ms: 30_000,
        queue_timeout_ms: 30_000,
        allowance_ms: 30_000,
        ..job("j", 1)
    };
    // The first entry is granted the job and starts it.
    for a in 0..2 {
        entries[0].on_report(AgentKey(a), report(None, cores(8), 0), 1_995);
    }
    let (_, effects) = entries[0].submit(long(), 2_000);
    let mut started = 0;
    for (key, claim) in claims_in(&effects) {
        let a = key.0 as usize;
        agents[a].on_claim(sessions[0][a], &claim, 2_001);
        let news = agents[a].report(sessions[0][a], false).unwrap().claims;
        started += attempts(&entries[0].on_claims(key, &news, 2_002)).len();
    }
    assert_eq!(started, 1, "the first entry starts");
    // The claims of the second one are lost with its connections; it starts without the answers.
    for a in 0..2 {
        entries[1].on_report(AgentKey(a), report(None, cores(8), 0), 3_295);
    }
    let (_, _) = entries[1].submit(long(), 3_300);
    let mut started = 0;
    for now_ms in (3_310..3_500).step_by(12) {
        started += attempts(&entries[1].tick(now_ms)).len();
    }
    assert_eq!(started, 1, "the second entry starts without an answer");
    // Its connections are replaced.
    let mut stops = 0;
    for (a, name) in ["a", "b"].into_iter().enumerate() {
        entries[1].on_disconnected(AgentKey(u32::try_from(a).unwrap()));
        agents[a].on_disconnected(sessions[1][a]);
        let hello = AgentHello { agent: name.into(), incarnation: 1, entries: Vec::new() };
        let (key, wanted, effects) = entries[1].on_agent_hello(&hello, 3_510);
        agents[a].on_entry_hello(&"e1".into(), 1, &wanted, 3_510, 3_511);
        for (to, claim) in claims_in(&effects) {
            if to == key {
                agents[a].on_claim(sessions[1][a], &claim, 3_512);
            }
        }
    }
    for (a, agent) in agents.iter_mut().enumerate() {
        let key = AgentKey(u32::try_from(a).unwrap());
        for e in [1, 0] {
            let news = agent.report(sessions[e][a], false).unwrap().claims;
            let effects = entries[e].on_claims(key, &news, 3_515);
            stops +=
                effects.iter().filter(|x| matches!(x, DispatcherEffect::Withdrawn { .. })).count();
        }
    }
    assert!(stops > 0, "both entries run the job on");
}
