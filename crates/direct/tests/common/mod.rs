#![allow(dead_code)]
//! Builders for the tests of direct jobs.

pub mod simulation;

use std::sync::Arc;

use direct::{
    AgentKey, Attempt, AttemptBatch, AttemptId, Claim, ClaimNews, DirectJob, Dispatcher,
    DispatcherEffect, JobKey, JobStep, Load, Report, RunList, RunRow, SessionKey, Supervisor,
    SupervisorEffect, TaskId, ToAgent, Upstream, UpstreamState,
};
use types::Resources;

pub fn cores(n: u32) -> Resources {
    Resources { milli_cores: n * 1_000, memory_mb: n * 64, accelerators: 0 }
}

pub fn upstream(id: &str, incarnation: u64) -> Upstream {
    Upstream {
        id: id.into(),
        incarnation,
        pool: "kitchen".into(),
        zone: "mid-a".into(),
        capacity: cores(8),
        largest_capacity: cores(8),
        labels: vec!["a".into(), "r1".into()],
        state: UpstreamState::Ready,
        cold_ms: 0,
    }
}

pub fn batch(job: &str, ids: &[u64], need: Resources) -> AttemptBatch {
    AttemptBatch {
        job: job.into(),
        kind: "scale".into(),
        is_suspect: false,
        step: 0,
        payload: "payload".into(),
        need,
        attempts: (0u32..)
            .zip(ids)
            .map(|(index, id)| Attempt { id: AttemptId(*id), index, run: 1 })
            .collect(),
    }
}

pub fn task(job: &str, index: u32) -> TaskId {
    TaskId { job: job.into(), step: 0, index }
}

pub fn run_list(sent_ms: u64, running: &[(&TaskId, u32)]) -> RunList {
    let row =
        |(task, run): &(&TaskId, u32)| RunRow { task: (*task).clone(), run: *run, percent: 0 };
    RunList {
        sent_ms,
        received_ms: sent_ms + 1,
        incarnation: Some(1),
        is_fencing: true,
        running: running.iter().map(row).collect(),
        unnumbered: Vec::new(),
        ended: Vec::new(),
    }
}

/// Opens an agent whose upstream has no run of an earlier one.
pub fn open(supervisor: &mut Supervisor) {
    supervisor.on_run_list(&run_list(1, &[]));
    let list_ms = supervisor.opening_list_ms().expect("the upstream has answered");
    let effects = supervisor.on_run_list(&run_list(list_ms, &[]));
    assert!(effects.contains(&SupervisorEffect::Open));
}

/// Replaces the upstream: the heartbeat of its next incarnation settles nothing and has the runs listed at
/// once, and the answer shows that it lives. The agent raises its token and requests the list that shows
/// which runs the next incarnation has: none.
pub fn replace(
    supervisor: &mut Supervisor,
    incarnation: u64,
    now_ms: u64,
) -> Vec<SupervisorEffect> {
    let effects = supervisor.on_heartbeat(upstream("u", incarnation), 1, now_ms);
    assert_eq!(effects, [SupervisorEffect::PollRuns]);
    let list =
        RunList { received_ms: now_ms, incarnation: Some(incarnation), ..run_list(now_ms, &[]) };
    let mut effects = supervisor.on_run_list(&list);
    assert!(effects.contains(&SupervisorEffect::RaiseToken));
    assert!(effects.contains(&SupervisorEffect::PollRuns));
    assert!(!effects.iter().any(|effect| matches!(effect, SupervisorEffect::Settled { .. })));
    let next = RunList { sent_ms: now_ms + 1, received_ms: now_ms + 2, ..list };
    effects.extend(supervisor.on_run_list(&next));
    effects
}

pub fn job(id: &str, tasks: u32) -> DirectJob {
    DirectJob {
        id: id.into(),
        pool: "kitchen".into(),
        kind: "scale".into(),
        payload: Arc::from("payload"),
        steps: vec![step(tasks)],
        priority: 1,
        max_attempts: 2,
        stretch: 1.6,
        allowance_ms: 60,
        caller_timeout_ms: 1_500,
        queue_timeout_ms: 1_500,
    }
}

pub fn step(tasks: u32) -> JobStep {
    JobStep {
        tasks,
        need: cores(1),
        estimate_ms: 100,
        after: Vec::new(),
        label: None,
        rack: None,
        max_per_upstream: None,
    }
}

pub fn report(upstream: Option<Upstream>, free: Resources, batches_seen: u64) -> Report {
    Report {
        upstream,
        load: Load {
            free,
            batches_seen,
            switches_seen: u64::MAX,
            is_open: true,
            awaits_entries: false,
        },
        outcomes: Vec::new(),
        crashes: Vec::new(),
        claims: Vec::new(),
    }
}

/// Submits a job and grants its claim. Returns the effects without the claim.
pub fn submit(
    dispatcher: &mut Dispatcher,
    job: DirectJob,
    now_ms: u64,
) -> (JobKey, Vec<DispatcherEffect>) {
    let (key, effects) = dispatcher.submit(job, now_ms);
    (key, grant(dispatcher, effects, now_ms))
}

/// Submits a job that is held, and grants its claim. Returns the effects without the claim.
pub fn submit_held(
    dispatcher: &mut Dispatcher,
    job: DirectJob,
    now_ms: u64,
) -> (JobKey, Vec<DispatcherEffect>) {
    let (key, effects) = dispatcher.submit_held(job, now_ms);
    (key, grant(dispatcher, effects, now_ms))
}

/// Grants the claims among the effects. Returns the other effects and those of the grants.
pub fn grant(
    dispatcher: &mut Dispatcher,
    effects: Vec<DispatcherEffect>,
    now_ms: u64,
) -> Vec<DispatcherEffect> {
    let is_claim =
        |effect: &DispatcherEffect| matches!(effect, DispatcherEffect::Send(_, ToAgent::Claim(_)));
    let (claims, mut others): (Vec<_>, Vec<_>) = effects.into_iter().partition(is_claim);
    for (agent, claim) in claims_in(&claims) {
        others.extend(dispatcher.on_claims(agent, &[ClaimNews::Granted(claim.id)], now_ms));
    }
    others
}

/// Returns the claims that are sent.
pub fn claims_in(effects: &[DispatcherEffect]) -> Vec<(AgentKey, Claim)> {
    let claim = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Send(agent, ToAgent::Claim(claim)) => Some((*agent, claim.clone())),
        _ => None,
    };
    effects.iter().filter_map(claim).collect()
}

/// Delivers a message of an entry that has just read a report.
pub fn hear(supervisor: &mut Supervisor, entry: SessionKey, now_ms: u64) {
    let number = supervisor.record_report_sent(entry, now_ms);
    supervisor.on_entry_message(entry, number, now_ms);
}

/// Returns the agents whose links become active.
pub fn activated(effects: &[DispatcherEffect]) -> Vec<AgentKey> {
    changed_links(effects, true)
}

/// Returns the agents whose links go on standby.
pub fn on_standby(effects: &[DispatcherEffect]) -> Vec<AgentKey> {
    changed_links(effects, false)
}

fn changed_links(effects: &[DispatcherEffect], to_active: bool) -> Vec<AgentKey> {
    let changed = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Send(agent, ToAgent::SetActive(is_active)) if *is_active == to_active => {
            Some(*agent)
        }
        _ => None,
    };
    effects.iter().filter_map(changed).collect()
}

/// Returns the batches that are sent.
pub fn batches(effects: &[DispatcherEffect]) -> Vec<(AgentKey, AttemptBatch)> {
    let batch = |effect: &DispatcherEffect| match effect {
        DispatcherEffect::Send(agent, ToAgent::Start(batch)) => Some((*agent, batch.clone())),
        _ => None,
    };
    effects.iter().filter_map(batch).collect()
}

/// Returns the attempts that are sent.
pub fn attempts(effects: &[DispatcherEffect]) -> Vec<(AgentKey, AttemptId)> {
    batches(effects)
        .into_iter()
        .flat_map(|(agent, batch)| batch.attempts.into_iter().map(move |a| (agent, a.id)))
        .collect()
}
