//! Tests of the value that holds the evacuation orders: it never reverts to an earlier state, whatever
//! the order in which it is learned from the store and from others.

use std::sync::Arc;

use direct::{Evacuations, ZoneRecord};
use proptest::prelude::*;

const ZONES: [&str; 3] = ["a", "b", "c"];

type LogRecord = (Arc<str>, ZoneRecord);

fn order(zone: &str, offset: u64) -> LogRecord {
    (zone.into(), ZoneRecord { offset, is_evacuated: true })
}

fn removal(zone: &str, offset: u64) -> LogRecord {
    (zone.into(), ZoneRecord { offset, is_evacuated: false })
}

fn merged(values: &[&Evacuations]) -> Evacuations {
    let mut all = Evacuations::default();
    values.iter().for_each(|value| {
        all.merge(value);
    });
    all
}

fn evacuated(value: &Evacuations) -> Vec<&str> {
    let mut zones: Vec<&str> = value.evacuated().map(|zone| &**zone).collect();
    zones.sort_unstable();
    zones
}

fn arbitrary_record() -> impl Strategy<Value = LogRecord> {
    (0..ZONES.len(), 0..12u64, any::<bool>()).prop_map(|(zone, offset, is_evacuated)| {
        (ZONES[zone].into(), ZoneRecord { offset, is_evacuated })
    })
}

/// Any value that can be decoded from a message, also one that no log explains.
fn arbitrary_value() -> impl Strategy<Value = Evacuations> {
    (0..12u64, prop::collection::vec(arbitrary_record(), 0..5))
        .prop_map(|(end, records)| Evacuations::from_listing(Some(end), records))
}

/// A log: of each record, the zone and whether it is evacuated; `None` is a record of another key.
fn arbitrary_log() -> impl Strategy<Value = Vec<Option<(usize, bool)>>> {
    prop::collection::vec(prop::option::of((0..ZONES.len(), any::<bool>())), 1..14)
}

fn records(log: &[Option<(usize, bool)>], from: usize) -> Vec<LogRecord> {
    let numbered = log.iter().enumerate().skip(from);
    let record = |(offset, record): (usize, &Option<(usize, bool)>)| {
        let (zone, is_evacuated) = (*record)?;
        Some((ZONES[zone].into(), ZoneRecord { offset: offset as u64, is_evacuated }))
    };
    numbered.filter_map(record).collect()
}

/// The listing of a log, as the store sends it: without the keys that were removed.
fn listing(log: &[Option<(usize, bool)>]) -> Evacuations {
    let all = records(log, 0);
    let newest = |zone: &&str| all.iter().rev().find(|(known, _)| **known == **zone).cloned();
    let in_force = ZONES.iter().filter_map(newest).filter(|(_, record)| record.is_evacuated);
    Evacuations::from_listing(Some(log.len() as u64), in_force)
}

proptest! {
    // Guards against entries that disagree for ever because messages reach them in another order.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        a in arbitrary_value(),
        b in arbitrary_value(),
        c in arbitrary_value(),
    ) {
        prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
        prop_assert_eq!(merged(&[&merged(&[&a, &b]), &c]), merged(&[&a, &merged(&[&b, &c])]));
        prop_assert_eq!(&merged(&[&a, &a]), &a);
    }

    // Guards against an order that is removed and issued again, and of which an earlier state comes
    // back with a message that was under way for long.
    #[test]
    fn the_latest_state_counts_in_whatever_order_it_is_learned(
        log in arbitrary_log(),
        mut ends in prop::collection::vec((0..15usize, any::<bool>()), 1..6),
        seed in any::<prop::sample::Index>(),
    ) {
        let truth = listing(&log);
        ends.push((log.len(), true));
        let position = seed.index(ends.len());
        let last = ends.len() - 1;
        ends.swap(position, last);
        let mut value = Evacuations::default();
        for (end, is_listed) in ends {
            let end = end.min(log.len());
            if is_listed {
                value.merge(&listing(&log[..end]));
            } else {
                // A page from the beginning of the log, read by another entry.
                let mut other = Evacuations::default();
                other.apply_page(0, end as u64, records(&log[..end], 0));
                value.merge(&other);
            }
        }
        prop_assert_eq!(evacuated(&value), evacuated(&truth));
        prop_assert_eq!(value, truth);
    }

    // Guards against a difference between what a reader of pages and one of listings knows.
    #[test]
    fn pages_lead_to_the_same_value_as_a_listing(log in arbitrary_log(), split in any::<prop::sample::Index>()) {
        let split = split.index(log.len());
        let mut value = listing(&log[..split]);
        value.apply_page(split as u64, log.len() as u64, records(&log, split));
        prop_assert_eq!(value, listing(&log));
    }
}

// Guards against an order that stays in force at an entry that has missed the removal in a part of the
// log that the store has discarded.
#[test]
fn a_complete_listing_without_a_zone_removes_an_older_order() {
    let mut value = Evacuations::from_listing(Some(8), [order("a", 5)]);
    value.merge(&Evacuations::from_listing(None, []));
    assert_eq!(evacuated(&value), ["a"], "an incomplete listing removes nothing");
    value.merge(&Evacuations::from_listing(Some(20), [order("b", 12)]));
    assert_eq!(evacuated(&value), ["b"]);
}

// Guards against an order that gets lost because a page of the listing was read before it was issued.
#[test]
fn an_order_that_is_newer_than_a_listing_stays_in_force() {
    let mut value = Evacuations::from_listing(Some(8), []);
    value.apply_page(8, 9, [order("a", 8)]);
    value.merge(&Evacuations::from_listing(Some(8), []));
    assert_eq!(evacuated(&value), ["a"]);
    assert_eq!(value.order("a"), Some(8));
}

// Guards against a position that moves past records that were never read.
#[test]
fn records_after_a_gap_do_not_hide_those_in_it() {
    let mut value = Evacuations::from_listing(Some(4), [order("a", 2)]);
    value.apply_page(10, 12, [order("b", 11)]);
    assert_eq!(evacuated(&value), ["a", "b"]);
    value.apply_page(4, 10, [removal("a", 6), order("c", 7)]);
    assert_eq!(evacuated(&value), ["b", "c"]);
}

// Guards against bytes between zones that every pair of entries pays for periodically.
#[test]
fn a_value_costs_few_bytes_when_no_zone_is_evacuated() {
    let mut value = Evacuations::from_listing(Some(100), [order("mid-a", 9)]);
    value.apply_page(100, 101, [removal("mid-a", 100)]);
    let bytes = postcard::to_stdvec(&value).expect("it can be encoded");
    assert!(bytes.len() <= 2, "{bytes:?}");
}
