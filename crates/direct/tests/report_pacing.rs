//! Load: the pool is nearly full, all links of an entry are active, and its host has a small share of a
//! processor. Guards against reports of load that use up the processor time of the entry.

mod common;

use common::{cores, hear, job, open, report, submit, upstream};
use direct::{
    AgentHello, AgentKey, Dispatcher, DispatcherEffect, Supervisor, SupervisorEffect, Timing,
    ToAgent, UnsettledAttempts,
};
use std::sync::Arc;

const AGENTS: u32 = 61;
/// Reports of changes a second that an eighth of 0.12 cores allows at 20 us each.
const MAX_REPORTS_PER_S: u32 = 750;

/// Returns an entry with a share of a processor, whose agents have no free capacity, after its links
/// have become active, and the last report period that each agent was told.
fn loaded_entry(share: f64) -> Vec<u16> {
    let mut entry = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
    entry.set_processor_share(share);
    let mut periods = vec![0; AGENTS as usize];
    let mut effects = Vec::new();
    for n in 0..AGENTS {
        let hello =
            AgentHello { agent: format!("a{n}").into(), incarnation: 1, entries: Vec::new() };
        let (key, _, connected) = entry.on_agent_hello(&hello, 0);
        effects.extend(connected);
        let first = report(Some(upstream(&format!("u{n}"), 1)), cores(0), 0);
        effects.extend(entry.on_report(key, first, 0));
    }
    let (_, submitted) = submit(&mut entry, job("j", 8), 1);
    effects.extend(submitted);
    for now_ms in (10..400).step_by(10) {
        effects.extend(entry.tick(now_ms));
        for n in 0..AGENTS {
            effects.extend(entry.on_report(AgentKey(n), report(None, cores(0), 0), now_ms));
        }
    }
    for effect in effects {
        if let DispatcherEffect::Send(agent, ToAgent::SetReportPeriod(period_ms)) = effect {
            periods[agent.0 as usize] = period_ms;
        }
    }
    periods
}

#[test]
fn agents_report_to_a_weak_entry_within_its_processor_share() {
    let periods = loaded_entry(0.12);
    assert!(periods.iter().all(|period_ms| *period_ms > 0), "all links are active: {periods:?}");
    let reports_per_s: f64 = periods.iter().map(|ms| 1_000.0 / f64::from(*ms)).sum();
    // A change of the period of less than a quarter is not sent.
    assert!(reports_per_s <= f64::from(MAX_REPORTS_PER_S) * 1.25, "{reports_per_s}");
}

#[test]
fn a_strong_entry_sets_no_limit() {
    assert_eq!(loaded_entry(1.0), vec![0; AGENTS as usize]);
}

#[test]
fn a_limited_agent_reports_changes_once_a_period_and_outcomes_at_once() {
    let mut agent = Supervisor::new(Timing::default(), 0);
    agent.on_heartbeat(upstream("u", 1), 1, 1);
    open(&mut agent);
    let none = UnsettledAttempts::default();
    let (weak, _) = agent.on_entry_hello(&Arc::from("weak"), 1, &none, 200, 200);
    let (strong, _) = agent.on_entry_hello(&Arc::from("strong"), 1, &none, 200, 200);
    for entry in [weak, strong] {
        agent.set_active(entry, true);
        agent.report(entry, true);
        hear(&mut agent, entry, 200);
    }
    agent.set_report_period(weak, 80);
    let mut reports = [0, 0];
    for n in 1..=20_u64 {
        // The load changes before each check.
        let now_ms = 200 + n * 20;
        hear(&mut agent, strong, now_ms);
        agent.on_attempts(strong, &common::batch(&format!("j{n}"), &[n], cores(0)), now_ms);
        let mut smaller = upstream("u", 1);
        smaller.capacity = cores(if n % 2 == 0 { 8 } else { 7 });
        agent.on_heartbeat(smaller, i64::try_from(n).unwrap_or(0) + 1, now_ms);
        for effect in agent.tick(now_ms) {
            match effect {
                SupervisorEffect::Report(key) if key == weak => reports[0] += 1,
                SupervisorEffect::Report(key) if key == strong => reports[1] += 1,
                _ => {}
            }
        }
    }
    assert!(reports[0] <= 400 / 80, "{reports:?}");
    assert!(reports[1] >= 4 * reports[0], "{reports:?}");
    let refused = agent.on_attempts(weak, &common::batch("late", &[99], cores(9)), 605);
    assert!(refused.contains(&SupervisorEffect::Report(weak)), "outcomes are not delayed");
}
