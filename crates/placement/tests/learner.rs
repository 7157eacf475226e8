//! Tests of the run times, speeds and resource usage that `Learner` estimates.

mod common;

use common::size;
use placement::{DeclaredSize, KindIndex, Learner, UpstreamIndex};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TRUE_RUN_US: f64 = 200_000.0;
const SPEEDS: [f64; 5] = [0.5, 0.75, 1.0, 1.5, 2.0];

fn learner(declared_us: u64, memory_mb: u32) -> (Learner, KindIndex) {
    let mut learner = Learner::new();
    let declared = DeclaredSize { run_us: declared_us, resources: size(1_000, memory_mb) };
    let kind = learner.kind_index(&"recipes".parse().unwrap(), &"scale".parse().unwrap(), declared);
    (learner, kind)
}

types::cases! {
    fn learns_run_time_and_speeds(declared_us: u64) {
        let (mut learner, kind) = learner(declared_us, 100);
        let mut rng = StdRng::seed_from_u64(5);
        (0..20_000_u32).for_each(|n| {
            let upstream = n % 5;
            let work_us = TRUE_RUN_US * rng.random_range(0.25..1.75);
            let run_us = (work_us / SPEEDS[upstream as usize]) as u64;
            learner.record_run(u64::from(n) * 1_000, kind, UpstreamIndex(upstream), run_us);
        });
        let expected_us = learner.expected_us(kind) as f64;
        let geometric_mean = SPEEDS.iter().product::<f64>().powf(0.2);
        assert!((expected_us * geometric_mean / TRUE_RUN_US - 1.0).abs() < 0.15, "{expected_us}");
        SPEEDS.iter().enumerate().for_each(|(i, speed)| {
            let learned = learner.speed(20_000_000, UpstreamIndex(i as u32));
            assert!((learned * geometric_mean / speed - 1.0).abs() < 0.25, "{i}: {learned}");
        });
    }
    declared_correctly: (200_000),
    declared_5_times_too_long: (1_000_000),
    declared_5_times_too_short: (40_000),
}

#[test]
fn speed_decays_without_tasks() {
    let (mut learner, kind) = learner(200_000, 100);
    (0..400_u32).for_each(|n| {
        let run_us = if n % 2 == 0 { 100_000 } else { 400_000 };
        learner.record_run(0, kind, UpstreamIndex(n % 2), run_us);
    });
    let slow = |now_us| learner.speed(now_us, UpstreamIndex(1));
    assert!(slow(0) < 0.6);
    assert!(slow(6_000_000_000) > 0.99);
}

types::cases! {
    fn charges_memory(declared_mb: u32, used_mb: &[u32], at_least: u32, at_most: u32) {
        let (mut learner, kind) = learner(200_000, declared_mb);
        used_mb.iter().for_each(|used| learner.record_usage(kind, size(500, *used)));
        let charged = learner.charge(kind).memory_mb;
        assert!((at_least..=at_most).contains(&charged), "{charged}");
    }
    as_declared_without_observations: (300, &[], 300, 300),
    highest_observed_with_few_observations: (300, &[100, 900], 900, 1_100),
    learned_when_declared_too_large: (500, &[100; 30], 100, 120),
    learned_when_declared_too_small: (100, &[500; 30], 500, 600),
    quantile_above_the_mean: (
        100,
        &std::array::from_fn::<u32, 100, _>(|n| if n % 10 == 0 { 800 } else { 100 }),
        800,
        1_000,
    ),
}
