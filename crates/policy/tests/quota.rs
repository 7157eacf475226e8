//! Quotas that each entry enforces on its own, compared with a naive count.

use policy::Quota;
use proptest::{prelude::*, test_runner::RngSeed};

const TOTAL: u32 = 64;

/// Simulates entries that always have more tasks to run; returns the largest and the mean
/// number of occupied slots, and the number of tasks that each entry ran.
fn contend(slots: u32, owned: &[u32], task_us: u64) -> (u32, f64, Vec<u32>) {
    const STEP_US: u64 = 100;
    const STEPS: u64 = 50_000;
    let mut quotas: Vec<_> = owned.iter().map(|_| Quota::new(slots)).collect();
    quotas.iter_mut().zip(owned).for_each(|(quota, &owned)| quota.set_share(owned, TOTAL));
    let mut ends: Vec<Vec<u64>> = vec![Vec::new(); owned.len()];
    let mut tasks_run = vec![0; owned.len()];
    let (mut max_in_use, mut sum) = (0, 0);
    for now_us in (0..STEPS).map(|step| step * STEP_US) {
        for (entry, quota) in quotas.iter_mut().enumerate() {
            let ended = ends[entry].extract_if(.., |ends_us| *ends_us <= now_us).count();
            (0..ended).for_each(|_| quota.release(now_us));
            while quota.try_acquire(now_us) {
                ends[entry].push(now_us + task_us);
                tasks_run[entry] += 1;
            }
            assert_eq!(quota.in_use() as usize, ends[entry].len());
        }
        let occupied = quotas.iter().map(Quota::in_use).sum::<u32>();
        max_in_use = max_in_use.max(occupied);
        sum += u64::from(occupied);
    }
    (max_in_use, sum as f64 / STEPS as f64, tasks_run)
}

types::cases! {
    fn quota_holds_across_entries(slots: u32, owned: Vec<u32>, max_in_use: u32, mean: f64) {
        let (actual_max, actual_mean, tasks_run) = contend(slots, &owned, 10_000);
        assert!(actual_max <= max_in_use, "{actual_max} slots at once");
        assert!((actual_mean - mean).abs() < 0.1, "{actual_mean} slots on average");
        assert!(tasks_run.iter().zip(&owned).all(|(&run, &owned)| (run > 0) == (owned > 0)));
    }
    integer_shares: (40, vec![16, 16, 16, 16], 40, 40.0),
    shares_rounded_down: (41, vec![16, 16, 16, 16], 41, 40.0),
    one_entry_owns_all: (3, vec![64], 3, 3.0),
    shares_below_one_slot_take_turns: (2, vec![16, 16, 16, 16], 4, 2.0),
    a_tiny_share_still_runs: (10, vec![63, 1], 10, 9.16),
    an_entry_without_partitions_runs_nothing: (8, vec![64, 0], 8, 8.0),
}

#[test]
fn a_reduced_share_starts_no_task_until_enough_have_ended() {
    let mut quota = Quota::new(8);
    quota.set_share(64, TOTAL);
    assert_eq!((0..20).filter(|_| quota.try_acquire(0)).count(), 8);
    quota.set_share(32, TOTAL);
    (0..4).for_each(|_| quota.release(1));
    assert!(!quota.try_acquire(1));
    quota.release(1);
    assert!(quota.try_acquire(1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn integer_shares_never_exceed_the_quota(slots in 0..200u32, cuts in prop::collection::vec(0..=TOTAL, 1..8)) {
        let mut cuts = cuts;
        cuts.extend([0, TOTAL]);
        cuts.sort_unstable();
        let shares: Vec<u32> = cuts.windows(2).map(|pair| pair[1] - pair[0]).collect();
        let limit = |owned| {
            let mut quota = Quota::new(slots);
            quota.set_share(owned, TOTAL);
            quota.limit()
        };
        let naive = |owned: u32| (1..=slots).filter(|n| n * TOTAL <= slots * owned).count() as u32;
        let is_small = |owned: u32| (1..TOTAL).contains(&(slots * owned));
        for &owned in &shares {
            prop_assert_eq!(limit(owned), if is_small(owned) { 1 } else { naive(owned) });
        }
        let small = shares.iter().filter(|&&owned| is_small(owned)).count() as u32;
        prop_assert!(shares.iter().map(|&owned| limit(owned)).sum::<u32>() <= slots + small);
        prop_assert!(shares.iter().map(|&owned| naive(owned)).sum::<u32>() <= slots);
    }
}
