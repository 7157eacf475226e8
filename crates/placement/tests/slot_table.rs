//! Unit tests of `SlotTable`.

mod common;

use common::{entry, key, size};
use placement::{FinishOutcome, SlotDecision, SlotLimits, SlotRefusal, SlotTable, StartRequest};
use types::Resources;

fn table() -> SlotTable {
    SlotTable::new(SlotLimits::new(4, size(4_000, 4_000)).connections(64).queue_len(2))
}

fn start(table: &mut SlotTable, e: usize, n: u32, uses_offer: bool) -> SlotDecision {
    start_sized(table, e, n, uses_offer, size(100, 100))
}

fn start_sized(
    table: &mut SlotTable,
    e: usize,
    n: u32,
    uses_offer: bool,
    charge: Resources,
) -> SlotDecision {
    table.request_start(StartRequest { key: key(n), entry: entry(e), charge, uses_offer, rank: 0 })
}

#[test]
fn first_entry_is_offered_all_slots_and_the_second_its_fair_share() {
    let mut table = table();
    assert_eq!(table.connect_entry(&entry(0)), 4);
    assert_eq!(table.connect_entry(&entry(1)), 2);
    assert_eq!(table.take_offers_delta(&entry(0)), -2);
}

#[test]
fn freed_slot_returns_to_the_same_entry() {
    let mut table = table();
    table.connect_entry(&entry(0));
    assert_eq!(start(&mut table, 0, 1, true), SlotDecision::Start);
    assert_eq!(table.finish(&key(1)), Some(FinishOutcome { start_next: vec![], offers_delta: 1 }));
}

#[test]
fn revoked_offer_is_reported_to_its_entry() {
    let mut table = table();
    table.connect_entry(&entry(0));
    start(&mut table, 0, 1, true);
    assert_eq!(start(&mut table, 1, 2, false), SlotDecision::Start);
    assert_eq!(table.reserved(&entry(0)), 2);
    assert_eq!(table.take_offers_delta(&entry(0)), -1);
}

#[test]
fn offer_spent_after_its_revocation_is_queued_and_not_reported_twice() {
    let mut table = table();
    assert_eq!(table.connect_entry(&entry(0)), 4);
    (0..4).for_each(|n| assert_eq!(start(&mut table, 1, n, false), SlotDecision::Start));
    assert_eq!(start(&mut table, 0, 9, true), SlotDecision::Queue);
    assert_eq!(table.take_offers_delta(&entry(0)), -3);
}

#[test]
fn queued_attempt_starts_before_the_slot_is_offered() {
    let mut table = table();
    table.connect_entry(&entry(0));
    (0..4).for_each(|n| assert_eq!(start(&mut table, 0, n, true), SlotDecision::Start));
    assert_eq!(start(&mut table, 0, 9, false), SlotDecision::Queue);
    let finished = table.finish(&key(0)).unwrap();
    assert_eq!(finished, FinishOutcome { start_next: vec![key(9)], offers_delta: 0 });
}

#[test]
fn entry_above_its_fair_share_is_not_offered_its_freed_slot() {
    let mut table = table();
    table.connect_entry(&entry(0));
    (0..4).for_each(|n| assert_eq!(start(&mut table, 0, n, true), SlotDecision::Start));
    assert_eq!(table.connect_entry(&entry(1)), 0);
    assert_eq!(table.finish(&key(0)).unwrap().offers_delta, 0);
    assert_eq!(table.load().free, 1);
    assert_eq!(start(&mut table, 1, 9, false), SlotDecision::Start);
    assert_eq!(table.finish(&key(1)).unwrap().offers_delta, 1);
    assert_eq!(table.finish(&key(9)).unwrap().offers_delta, 1);
}

#[test]
fn disconnected_entry_frees_its_reserved_slots() {
    let mut table = table();
    table.connect_entry(&entry(0));
    start(&mut table, 0, 1, true);
    table.disconnect_entry(&entry(0));
    assert_eq!(table.load().free, 3);
    assert_eq!(table.finish(&key(1)).unwrap().offers_delta, 0);
    assert_eq!(table.connect_entry(&entry(1)), 4);
}

#[test]
fn drain_returns_queued_attempts_and_refuses_new_ones() {
    let mut table = table();
    table.connect_entry(&entry(0));
    (0..4).for_each(|n| assert_eq!(start(&mut table, 0, n, true), SlotDecision::Start));
    start(&mut table, 0, 5, false);
    assert_eq!(table.drain(), vec![key(5)]);
    assert_eq!(start(&mut table, 0, 6, false), SlotDecision::Refuse(SlotRefusal::Leaving));
    assert_eq!(table.finish(&key(0)).unwrap().offers_delta, 0);
}

#[test]
fn recall_of_the_queue_head_starts_smaller_attempts() {
    let mut table = table();
    start_sized(&mut table, 0, 1, false, size(3_000, 100));
    assert_eq!(start_sized(&mut table, 0, 2, false, size(3_000, 100)), SlotDecision::Queue);
    let all_started = (10..18).all(|n| {
        let decision = start_sized(&mut table, 0, n, false, size(500, 100));
        table.finish(&key(n));
        decision == SlotDecision::Start
    });
    assert!(all_started);
    assert_eq!(start_sized(&mut table, 0, 20, false, size(500, 100)), SlotDecision::Queue);
    let recalled = table.recall(&key(2));
    assert!(recalled.removed);
    assert_eq!(recalled.start_next, vec![key(20)]);
    assert!(!table.recall(&key(20)).removed);
}

#[test]
fn increased_charge_prevents_further_starts() {
    let mut table = table();
    start(&mut table, 0, 1, false);
    table.update_charge(&key(1), size(100, 3_950));
    assert_eq!(start(&mut table, 0, 2, false), SlotDecision::Queue);
}

types::cases! {
    fn refuses_beyond_capacity(charge: Resources, expected: SlotDecision) {
        assert_eq!(start_sized(&mut table(), 0, 1, false, charge), expected);
    }
    fitting: (size(4_000, 4_000), SlotDecision::Start),
    cores: (size(4_001, 1), SlotDecision::Refuse(SlotRefusal::NoResources)),
    memory: (size(1, 4_001), SlotDecision::Refuse(SlotRefusal::NoResources)),
    accelerators: (
        Resources { accelerators: 1, ..size(1, 1) },
        SlotDecision::Refuse(SlotRefusal::NoResources),
    ),
}

types::cases! {
    fn starts_at_most(connections: u32, started: usize) {
        let limits = SlotLimits::new(4, size(4_000, 4_000)).connections(connections);
        let mut table = SlotTable::new(limits);
        let is_start = |n| start(&mut table, 0, n, false) == SlotDecision::Start;
        assert_eq!((0..8).map(is_start).filter(|is_start| *is_start).count(), started);
    }
    slots_limit: (64, 4),
    connections_limit: (3, 3),
}

#[test]
fn refused_start_returns_its_offer() {
    let mut table = table();
    table.connect_entry(&entry(0));
    let decision = start_sized(&mut table, 0, 1, true, size(5_000, 1));
    assert_eq!(decision, SlotDecision::Refuse(SlotRefusal::NoResources));
    assert_eq!((table.reserved(&entry(0)), table.take_offers_delta(&entry(0))), (4, 1));
}

#[test]
fn free_slot_is_used_before_a_reserved_one() {
    let mut table = table();
    (0..2).for_each(|e| assert!(table.connect_entry(&entry(e)) > 0));
    table.disconnect_entry(&entry(1));
    assert_eq!((table.load().free, start(&mut table, 2, 1, false)), (2, SlotDecision::Start));
    assert_eq!((table.load().free, table.reserved(&entry(0))), (1, 2));
}

#[test]
fn unreported_reservation_of_the_same_entry_is_used_first() {
    let mut table = SlotTable::new(SlotLimits::new(6, size(6_000, 6_000)));
    (0..2).for_each(|e| assert!(table.connect_entry(&entry(1 - e)) > 0));
    (0..5).for_each(|n| assert_eq!(start(&mut table, 0, n, false), SlotDecision::Start));
    assert_eq!(start(&mut table, 1, 9, false), SlotDecision::Start);
    assert_eq!(table.take_offers_delta(&entry(1)), -6);
    (0..2).for_each(|n| assert!(table.finish(&key(n)).is_some()));
    assert_eq!((table.reserved(&entry(0)), table.reserved(&entry(1))), (1, 1));
    assert_eq!(start(&mut table, 1, 10, false), SlotDecision::Start);
    assert_eq!((table.reserved(&entry(0)), table.reserved(&entry(1))), (1, 0));
}

#[test]
fn no_slot_is_offered_while_a_queued_attempt_lacks_resources() {
    let mut table = table();
    table.connect_entry(&entry(0));
    start_sized(&mut table, 0, 1, true, size(3_000, 1));
    start_sized(&mut table, 0, 2, true, size(1_000, 1));
    assert_eq!(start_sized(&mut table, 0, 3, true, size(3_000, 1)), SlotDecision::Queue);
    assert_eq!(table.finish(&key(2)).unwrap(), FinishOutcome::default());
}
