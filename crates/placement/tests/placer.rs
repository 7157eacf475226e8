//! Unit tests of `Placer`.

mod common;

use common::{location, size, spec};
use placement::{
    AgentLoad, Choice, HealthWeight, JobSpread, NeverFits, Placer, PoolIndex, TaskRequirements,
    UpstreamIndex, UpstreamSpec, longest_first,
};
use rand::{SeedableRng, rngs::StdRng};
use types::{Incarnation, Resources};

const POOLS: [PoolIndex; 1] = [PoolIndex(0)];

fn task(spread: &JobSpread) -> TaskRequirements<'_> {
    TaskRequirements {
        pools: &POOLS,
        charge: size(1_000, 1_000),
        expected_us: 200_000,
        job_remaining_us: 0,
        avoid: &[],
        spread,
    }
}

/// Returns a placer with one offer of each upstream; the upstreams are given by zone and speed.
fn placer(upstreams: &[(&str, f64)]) -> Placer {
    let mut placer = Placer::new(location("mid-a", "rack-0"));
    upstreams.iter().enumerate().for_each(|(i, (zone, speed))| {
        let upstream = placer.register_upstream(spec(i, zone, 8));
        placer.set_speed(upstream, *speed);
        placer.set_offers(0, upstream, 1, AgentLoad::default());
    });
    placer
}

fn choose(placer: &Placer, task: &TaskRequirements<'_>, queue_len: u32) -> Choice {
    placer.choose(0, &mut StdRng::seed_from_u64(1), task, queue_len)
}

fn offer(n: u32) -> Choice {
    Choice::Offer(UpstreamIndex(n))
}

types::cases! {
    fn chooses(upstreams: &[(&str, f64)], expected: u32) {
        assert_eq!(choose(&placer(upstreams), &task(&JobSpread::new()), 1), offer(expected));
    }
    fastest: (&[("mid-a", 1.0), ("mid-a", 2.0), ("mid-a", 0.5)], 1),
    own_zone_when_equally_fast: (&[("mid-b", 1.0), ("mid-a", 1.0), ("mid-b", 1.0)], 1),
    other_zone_when_faster: (&[("mid-a", 1.0), ("mid-b", 1.5)], 1),
}

#[test]
fn observed_round_trips_override_the_initial_ones() {
    let mut placer = placer(&[("mid-a", 1.0), ("mid-b", 1.0)]);
    (0..64).for_each(|_| placer.observe_round_trip(UpstreamIndex(0), 9_000));
    assert_eq!(choose(&placer, &task(&JobSpread::new()), 1), offer(1));
}

#[test]
fn equal_upstreams_are_chosen_on_a_rack_that_the_job_does_not_use() {
    let placer = placer(&[("mid-a", 1.0); 4]);
    let mut spread = JobSpread::new();
    spread.add(placer.rack(UpstreamIndex(0)));
    assert_eq!(choose(&placer, &task(&spread), 1), offer(3));
}

types::cases! {
    fn chooses_with_a_slow_offer_and_busy_fast_slots(
        queue_len: u32,
        job_remaining_us: u64,
        expected: Choice,
    ) {
        let spread = JobSpread::new();
        let mut placer = placer(&[("mid-a", 2.0), ("mid-a", 0.5)]);
        placer.set_offers(0, UpstreamIndex(0), 8, AgentLoad::default());
        (0..8).for_each(|_| {
            let choice = choose(&placer, &task(&spread), 1);
            assert_eq!(choice, offer(0));
            assert!(placer.record_dispatch(0, choice, &task(&spread)).is_some());
        });
        let task = TaskRequirements { job_remaining_us, ..task(&spread) };
        assert_eq!(choose(&placer, &task, queue_len), expected);
    }
    wait_with_few_queued_tasks: (1, 0, Choice::Wait),
    slow_offer_with_many_queued_tasks: (40, 0, offer(1)),
    slow_offer_if_the_job_takes_longer_anyway: (1, 500_000, offer(1)),
}

#[test]
fn sends_one_fallback_and_waits_for_its_reply() {
    let spread = JobSpread::new();
    let mut placer = placer(&[("mid-a", 1.0)]);
    placer.set_offers(0, UpstreamIndex(0), 0, AgentLoad { running: 6, ..AgentLoad::default() });
    let choice = choose(&placer, &task(&spread), 1);
    assert_eq!(choice, Choice::Fallback(UpstreamIndex(0)));
    let dispatch = placer.record_dispatch(0, choice, &task(&spread)).unwrap();
    assert_eq!(choose(&placer, &task(&spread), 1), Choice::Wait);
    placer.record_reply(0, dispatch, 1, AgentLoad::default());
    assert_eq!(choose(&placer, &task(&spread), 1), offer(0));
}

#[test]
fn entry_with_its_fair_share_sends_no_fallback_to_full_upstreams() {
    let spread = JobSpread::new();
    let mut placer = placer(&[("mid-a", 1.0)]);
    placer.set_entry_count(4);
    placer.set_offers(0, UpstreamIndex(0), 2, AgentLoad { running: 6, ..AgentLoad::default() });
    (0..2).for_each(|_| {
        assert!(placer.record_dispatch(0, offer(0), &task(&spread)).is_some());
    });
    assert_eq!(choose(&placer, &task(&spread), 1), Choice::Wait);
}

#[test]
fn offers_spent_while_a_hello_is_in_transit_are_subtracted_from_its_reply() {
    let spread = JobSpread::new();
    let mut placer = placer(&[("mid-a", 1.0)]);
    placer.set_offers(0, UpstreamIndex(0), 3, AgentLoad::default());
    assert!(placer.record_dispatch(0, offer(0), &task(&spread)).is_some());
    placer.record_hello_sent(UpstreamIndex(0));
    assert!(placer.record_dispatch(0, offer(0), &task(&spread)).is_some());
    placer.set_offers(0, UpstreamIndex(0), 2, AgentLoad::default());
    assert_eq!(placer.offers(UpstreamIndex(0)), 1);
    placer.set_offers(0, UpstreamIndex(0), 2, AgentLoad::default());
    assert_eq!(placer.offers(UpstreamIndex(0)), 2);
}

#[test]
fn restart_discards_offers_and_ignores_earlier_replies() {
    let spread = JobSpread::new();
    let mut placer = placer(&[("mid-a", 1.0)]);
    let dispatch = placer.record_dispatch(0, offer(0), &task(&spread)).unwrap();
    let incarnation = Incarnation::from_u128(2);
    placer.register_upstream(UpstreamSpec { incarnation, ..spec(0, "mid-a", 8) });
    placer.record_reply(0, dispatch, 5, AgentLoad::default());
    assert_eq!((placer.offers(UpstreamIndex(0)), placer.outstanding(UpstreamIndex(0))), (0, 0));
}

types::cases! {
    fn is_not_chosen_when(change: fn(&mut Placer)) {
        let mut placer = placer(&[("mid-a", 1.0)]);
        change(&mut placer);
        assert_eq!(choose(&placer, &task(&JobSpread::new()), 9), Choice::Wait);
    }
    draining: (|placer| placer.mark_draining(UpstreamIndex(0))),
    down: (|placer| placer.mark_down(UpstreamIndex(0))),
    ejected: (|placer| placer.set_health(UpstreamIndex(0), HealthWeight::Ejected)),
}

types::cases! {
    fn never_fits(charge: Resources, expected: Option<NeverFits>) {
        assert_eq!(placer(&[("mid-a", 1.0)]).never_fits(&POOLS, charge), expected);
    }
    fitting: (size(32_000, 64_000), None),
    cores: (size(32_001, 1), Some(NeverFits::Cores { needed: 32_001, largest: 32_000 })),
    memory: (size(1, 64_001), Some(NeverFits::Memory { needed: 64_001, largest: 64_000 })),
    accelerators: (
        Resources { accelerators: 1, ..size(1, 1) },
        Some(NeverFits::Accelerators { needed: 1, largest: 0 }),
    ),
}

#[test]
fn never_fits_returns_none_without_upstreams() {
    assert_eq!(Placer::new(location("mid-a", "rack-0")).never_fits(&POOLS, size(1, 1)), None);
}

#[test]
fn longest_tasks_are_dispatched_first() {
    assert_eq!(longest_first(&[5, 9, 5, 7]), vec![1, 3, 0, 2]);
}
