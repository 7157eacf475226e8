//! Load plans: parsing, validation and schedules.

use load::{LoadPlan, PlannedJob, Schedule};
use rstest::rstest;
use settings::{SettingsError, parse};

const PLAN: &str = r#"
seed: 7
duration_s: 100
targets: ["http://127.0.0.1:8080"]
services: { notebook: { slots: 88 } }
streams:
  - name: lookups
    team: players
    token: player
    service: notebook
    kind: npc
    deadline_ms: 5000
    rate: { jobs_per_s: 50 }
    tasks: { min: 1, max: 5 }
    run_time: { min_ms: 50, max_ms: 1000, tail_percent: 2, tail_max_ms: 5000 }
    payload: { name: Mira }
"#;

fn plan(text: &str) -> LoadPlan {
    parse(text).unwrap()
}

fn jobs_between(jobs: &[PlannedJob], from_s: f64, to_s: f64) -> usize {
    jobs.iter().filter(|job| (from_s..to_s).contains(&job.at.as_secs_f64())).count()
}

#[rstest]
#[case::target_that_is_not_loopback("http://127.0.0.1:8080", "http://192.0.2.1:8080", "targets[0]")]
#[case::host_name("http://127.0.0.1:8080", "http://localhost:8080", "targets[0]")]
#[case::duration("duration_s: 100", "duration_s: 0", "duration_s")]
#[case::duration_too_long("duration_s: 100", "duration_s: 3601", "duration_s")]
#[case::service("service: notebook", "service: recipe", "streams[0].service")]
#[case::tasks("max: 5", "max: 1001", "streams[0].tasks")]
#[case::no_tasks("min: 1", "min: 0", "streams[0].tasks")]
#[case::rate("jobs_per_s: 50", "jobs_per_s: 0", "streams[0].rate")]
#[case::run_time("min_ms: 50", "min_ms: 2000", "streams[0].run_time")]
#[case::unknown_field("seed: 7", "seed: 7\nspeed: 1", "")]
fn error_names_the_path_of_the_invalid_field(
    #[case] from: &str,
    #[case] to: &str,
    #[case] path: &str,
) {
    match parse::<LoadPlan>(&PLAN.replace(from, to)) {
        Err(SettingsError::Invalid(invalid)) => {
            assert!(invalid[0].path.starts_with(path), "{}", invalid[0]);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn schedule_depends_on_the_plan_alone() {
    let plan = plan(PLAN);
    assert_eq!(Schedule::new(&plan).unwrap(), Schedule::new(&plan).unwrap());
    let other = LoadPlan { seed: 8, ..plan.clone() };
    assert_ne!(Schedule::new(&plan).unwrap(), Schedule::new(&other).unwrap());
}

#[rstest]
#[case::poisson("{ jobs_per_s: 50 }", 5_000)]
#[case::of_capacity("{ of_capacity: 0.8 }", 6_510)]
#[case::bursts("{ jobs_per_s: 50 }\n    arrivals: { bursts: 10 }", 5_000)]
#[case::even("{ jobs_per_s: 50 }\n    arrivals: even", 4_999)]
fn schedule_has_the_planned_rate(#[case] rate: &str, #[case] expected: usize) {
    const PERCENT_OFF: usize = 8;
    let plan = plan(&PLAN.replace("{ jobs_per_s: 50 }", rate));
    let count = Schedule::new(&plan).unwrap().jobs.len();
    assert!(count.abs_diff(expected) * 100 <= expected * PERCENT_OFF, "{count}");
}

#[test]
fn flood_multiplies_the_rate_of_its_team() {
    let flood = "floods: [{ team: players, from_s: 40, to_s: 60, factor: 10 }]\n";
    let calm = Schedule::new(&plan(PLAN)).unwrap().jobs;
    let flooded = Schedule::new(&plan(&format!("{PLAN}{flood}"))).unwrap().jobs;
    assert_eq!(jobs_between(&calm, 0.0, 40.0), jobs_between(&flooded, 0.0, 40.0));
    let count = jobs_between(&flooded, 40.0, 60.0);
    assert!((9_000..11_000).contains(&count), "{count}");
}

#[test]
fn run_times_have_the_planned_bounds_and_mean() {
    let jobs = Schedule::new(&plan(PLAN)).unwrap().jobs;
    let run_ms: Vec<f64> = jobs.iter().flat_map(|j| &j.run_ms).map(|ms| f64::from(*ms)).collect();
    assert!(run_ms.iter().all(|ms| (50.0..=5_000.0).contains(ms)));
    let long = run_ms.iter().filter(|ms| **ms > 1_000.0).count() as f64 / run_ms.len() as f64;
    assert!((0.015..0.025).contains(&long), "{long}");
    let mean = run_ms.iter().sum::<f64>() / run_ms.len() as f64;
    assert!((340.0..385.0).contains(&mean), "{mean}");
}

#[test]
fn schedule_beyond_max_jobs_is_an_error() {
    let plan = plan(&PLAN.replace("seed: 7", "seed: 7\nmax_jobs: 100"));
    assert!(Schedule::new(&plan).is_err());
}

#[test]
fn example_plan_is_valid() {
    let plan = plan(include_str!("../../../config/load/both.yaml"));
    assert!(!Schedule::new(&plan).unwrap().jobs.is_empty());
}
