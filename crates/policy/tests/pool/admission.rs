//! Admission compared with a naive fluid model that is stepped through time, and admission
//! to a queue that is flooded by a team.

use crate::support::{Report, SLOTS, Source, TASK_US, simulate, team_name};
use policy::{AdmissionBuilder, AdmissionError, DrainRate, JobDemand, TeamBacklog};
use proptest::{prelude::*, test_runner::RngSeed};
use types::{TeamName, Urgency};

const NOW_US: u64 = 100_000_000;

fn job(team: &str, total_cost_us: u64, longest_task_us: u64, deadline_us: u64) -> JobDemand {
    JobDemand {
        team: team_name(team),
        weight: 1,
        quota_slots: None,
        urgency: Urgency::Normal,
        total_cost_us,
        longest_task_us,
        deadline_us,
    }
}

#[derive(Clone, Copy, Debug)]
struct Competitor {
    weight: u32,
    backlog_us: u64,
    arrival_rate: f64,
}

/// Returns the time until a team of weight 1 has received `service_us` of slot time, by
/// stepping through time.  In each step teams are served by weight, and the slot time that
/// a team does not need goes to the others.
fn naive_time_us(service_us: f64, others: &[Competitor]) -> f64 {
    const STEP_US: f64 = 2_000.0;
    let mut remaining: Vec<f64> = others.iter().map(|other| other.backlog_us as f64).collect();
    let (mut own_remaining, mut time_us) = (service_us, 0.0);
    while own_remaining > 0.0 {
        remaining
            .iter_mut()
            .zip(others)
            .for_each(|(remaining, other)| *remaining += other.arrival_rate * STEP_US);
        let mut capacity = SLOTS as f64 * STEP_US;
        let mut unserved: Vec<usize> = (0..others.len()).collect();
        loop {
            let weights = 1.0 + unserved.iter().map(|&n| f64::from(others[n].weight)).sum::<f64>();
            let unit = capacity / weights;
            let is_small = |&n: &usize| remaining[n] <= unit * f64::from(others[n].weight);
            let Some(at) = unserved.iter().position(is_small) else {
                unserved.iter().for_each(|&n| remaining[n] -= unit * f64::from(others[n].weight));
                own_remaining -= unit;
                break;
            };
            capacity -= std::mem::take(&mut remaining[unserved.swap_remove(at)]);
        }
        time_us += STEP_US;
    }
    time_us
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn waits_agree_with_the_naive_model(
        own in 1_000_000..40_000_000u64,
        others in prop::collection::vec((1..5u32, 0..40_000_000u64, 0..5u64), 0..4),
    ) {
        const TICK_US: u64 = 10_000;
        let names: Vec<TeamName> = (0..4).map(|n| team_name(&format!("other-{n}"))).collect();
        let others: Vec<Competitor> = others
            .into_iter()
            .map(|(weight, backlog_us, arrival_rate)| Competitor { weight, backlog_us, arrival_rate: arrival_rate as f64 })
            .collect();
        let mut admission = AdmissionBuilder::default().margin_percent(0).max_wait_us(u64::MAX).build();
        for (name, other) in names.iter().zip(&others) {
            let weight = other.weight;
            let demand = JobDemand { weight, ..job(name.as_str(), 1, 1, u64::MAX) };
            admission.check(&demand, std::iter::empty(), SLOTS as f64, 0, 0).expect("an idle pool");
            let ticks = (0..NOW_US).step_by(TICK_US as usize);
            ticks.for_each(|at| admission.on_finished(name, (other.arrival_rate * TICK_US as f64) as u64, at));
        }
        let backlogs = names.iter().zip(&others).map(|(team, other)| TeamBacklog {
            team, weight: other.weight, by_class_us: [0, other.backlog_us, 0],
        });
        let estimate = admission.check(&job("own", own, 0, u64::MAX), backlogs, SLOTS as f64, NOW_US, 0);
        let wait_us = estimate.expect("no deadline").wait_us as f64;
        let naive_us = naive_time_us(own as f64, &others);
        prop_assert!((wait_us - naive_us).abs() <= 0.02 * naive_us + 5_000.0, "{wait_us}, naive {naive_us}");
    }
}

types::cases! {
    fn floods_are_refused_on_admission(demands: Vec<f64>, speed: f64, slack_us: u64) {
        const TASKS: u64 = 10;
        let teams = ["a", "b", "c", "d"].iter().zip(&demands);
        let sources: Vec<Source> = teams
            .map(|(team, &slots)| {
                let single = Source::of_slots(team, Urgency::Normal, slots);
                let actual_us = (TASK_US as f64 / speed) as u64;
                Source { tasks: TASKS, every_us: TASKS * single.every_us, actual_us, slack_us, ..single }
            })
            .collect();
        let reports = simulate(&sources, Some(AdmissionBuilder::default().build()));
        reports.iter().for_each(|Report { offered, refused, in_time, .. }| {
            println!("offered {offered}, refused {refused}, in time {in_time}");
        });
        let (flood, others) = reports.split_last().expect("a flooding team");
        for other in others {
            assert!(other.refused * 50 <= other.offered, "{other:?}");
            assert!(other.in_time * 50 >= other.offered * 48, "{other:?}");
        }
        let accepted = flood.offered - flood.refused;
        assert!(flood.in_time * 10 >= accepted * 9, "{flood:?}");
        let in_time = reports.iter().map(|report| report.in_time).sum::<usize>() as u64;
        let goodput = (in_time * TASKS * TASK_US) as f64 / 110e6;
        println!("goodput of {goodput:.2} slots");
        assert!(goodput >= 0.95 * SLOTS as f64 * speed, "goodput of {goodput} slots");
    }
    flood_alone: (vec![80.0], 1.0, 2_000_000),
    flood_beside_small_teams: (vec![1.0, 1.5, 2.0, 80.0], 1.0, 2_000_000),
    flood_on_a_pool_of_half_speed: (vec![0.5, 0.7, 1.0, 80.0], 0.5, 4_000_000),
}

types::cases! {
    fn refusals_advise_when_to_retry(backlog_us: u64, deadline_us: u64, random: u64, expected: AdmissionError) {
        let mut admission = AdmissionBuilder::default().margin_percent(0).build();
        let team = team_name("own");
        let backlog = TeamBacklog { team: &team, weight: 1, by_class_us: [0, backlog_us, 0] };
        let demand = job("own", 800_000, 100_000, NOW_US + deadline_us);
        let refused = admission.check(&demand, [backlog].into_iter(), SLOTS as f64, NOW_US, random);
        assert_eq!(refused, Err(expected));
    }
    just_missed: (8_000_000, 1_000_000, 0, AdmissionError::Overloaded { retry_after_ms: 188 }),
    with_jitter: (8_000_000, 1_000_000, u64::MAX, AdmissionError::Overloaded { retry_after_ms: 282 }),
    advice_has_a_minimum: (8_000_000, 1_187_000, 0, AdmissionError::Overloaded { retry_after_ms: 50 }),
    advice_has_a_maximum: (8_000_000_000, 1_000_000, 0, AdmissionError::Overloaded { retry_after_ms: 30_000 }),
    never_in_time: (0, 99_000, 0, AdmissionError::DeadlineTooShort { needed_ms: 100 }),
}

#[test]
fn repeated_refusals_advise_ever_later_retries() {
    let mut admission = AdmissionBuilder::default().build();
    let team = team_name("own");
    let mut refuse = || {
        let backlog = TeamBacklog { team: &team, weight: 1, by_class_us: [0, 16_000_000, 0] };
        let demand = job("own", 800_000, 100_000, NOW_US + 1_000_000);
        match admission.check(&demand, [backlog].into_iter(), SLOTS as f64, NOW_US, 0) {
            Err(AdmissionError::Overloaded { retry_after_ms }) => retry_after_ms,
            other => panic!("{other:?}"),
        }
    };
    let advice: Vec<u64> = (0..50).map(|_| refuse()).collect();
    assert!(advice.is_sorted_by(|a, b| a < b), "{advice:?}");
}

types::cases! {
    fn drain_rate_is_measured_while_work_waits(actual: f64, is_backlogged: bool, expected: f64) {
        let mut drain = DrainRate::default();
        drain.set_backlogged(is_backlogged, 0);
        let ends = (0..20_000_000).step_by(10_000);
        ends.for_each(|at| drain.on_finished((actual * 10_000.0) as u64, at));
        let slots = drain.slots(SLOTS as f64, 20_000_000);
        assert!((slots - expected).abs() < 0.5, "{slots} slots");
    }
    slower_than_expected: (2.0, true, 2.6),
    as_expected: (8.0, true, 8.0),
    faster_than_expected: (12.0, true, 11.6),
    idle_time_is_ignored: (0.5, false, 8.0),
}

types::cases! {
    fn waits_depend_on_class_and_quota(urgency: Urgency, by_class_us: [u64; 3], quota_slots: Option<u32>, expected_us: u64) {
        let mut admission = AdmissionBuilder::default().margin_percent(0).build();
        let team = team_name("own");
        let backlog = TeamBacklog { team: &team, weight: 1, by_class_us };
        let demand = JobDemand { urgency, quota_slots, ..job("own", 800_000, 100_000, u64::MAX) };
        let estimate = admission.check(&demand, [backlog].into_iter(), SLOTS as f64, NOW_US, 0);
        let wait_us = estimate.expect("no deadline").wait_us;
        assert!(wait_us.abs_diff(expected_us) <= 1, "waits {wait_us} us");
    }
    an_empty_queue: (Urgency::Normal, [0, 0, 0], None, 87_500),
    urgent_work_waits_only_for_floors: (Urgency::Urgent, [0, 8_000_000, 8_000_000], None, 105_147),
    normal_work_waits_for_urgent_work: (Urgency::Normal, [1_600_000, 800_000, 0], None, 387_500),
    background_work_is_served_at_least_by_its_floor:
        (Urgency::Background, [80_000_000, 0, 0], None, 1_987_500),
    a_quota_bounds_the_rate: (Urgency::Normal, [0, 0, 0], Some(2), 350_000),
}
