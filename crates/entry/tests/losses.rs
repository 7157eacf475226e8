//! Losses of upstreams at about the same time are grouped by rack and zone.

use entry::{Loss, Losses};
use tokio::time::{Duration, Instant};
use types::Location;

fn location(zone: usize, rack: usize) -> Location {
    Location {
        region: "midlands".parse().unwrap(),
        zone: format!("zone-{zone}").parse().unwrap(),
        rack: format!("rack-{rack}").parse().unwrap(),
    }
}

#[test]
fn loss_of_a_zone_is_one_event() {
    let mut losses = Losses::default();
    let started_at = Instant::now();
    (0..200).for_each(|i| losses.add(&location(0, i % 67), started_at));
    assert_eq!(losses.take_due(started_at + Duration::from_millis(999)), []);
    let zone = "zone-0".parse().unwrap();
    let expected = [Loss::Zone { zone, racks: 67, upstreams: 200 }];
    assert_eq!(losses.take_due(started_at + Duration::from_secs(1)), expected);
    assert_eq!(losses.take_due(started_at + Duration::from_secs(9)), []);
}

#[test]
fn loss_of_a_rack_names_the_rack() {
    let mut losses = Losses::default();
    let started_at = Instant::now();
    (0..3).for_each(|_| losses.add(&location(1, 7), started_at));
    losses.add(&location(2, 8), started_at + Duration::from_millis(900));
    let lost = losses.take_due(started_at + Duration::from_secs(1));
    let rack = |zone: &str, rack: &str, upstreams| Loss::Rack {
        zone: zone.parse().unwrap(),
        rack: rack.parse().unwrap(),
        upstreams,
    };
    assert_eq!(lost, [rack("zone-1", "rack-7", 3), rack("zone-2", "rack-8", 1)]);
}

#[test]
fn losses_after_an_event_form_a_new_event() {
    let mut losses = Losses::default();
    let started_at = Instant::now();
    losses.add(&location(0, 0), started_at);
    let first = started_at + Duration::from_secs(1);
    assert_eq!(losses.take_due(first).len(), 1);
    losses.add(&location(0, 0), first);
    assert_eq!(losses.take_due(first), []);
    assert_eq!(losses.take_due(first + Duration::from_secs(1)).len(), 1);
}
