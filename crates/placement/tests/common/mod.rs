//! Builders shared by the tests of this crate.
#![allow(dead_code)]

use placement::UpstreamSpec;
use proptest::test_runner::{Config, RngSeed};
use types::{
    AttemptKey, AttemptNumber, EntryName, Incarnation, JobId, Location, Resources, TaskIndex,
    TaskKey,
};

pub fn seeded(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() }
}

pub fn key(n: u32) -> AttemptKey {
    let job = JobId::from_parts(1, [0; 10]);
    AttemptKey { task: TaskKey { job, index: TaskIndex(n) }, attempt: AttemptNumber::FIRST }
}

pub fn entry(n: usize) -> EntryName {
    format!("entry-{n}").parse().unwrap()
}

pub fn size(milli_cores: u32, memory_mb: u32) -> Resources {
    Resources { milli_cores, memory_mb, accelerators: 0 }
}

pub fn location(zone: &str, rack: &str) -> Location {
    Location {
        region: "midlands".parse().unwrap(),
        zone: zone.parse().unwrap(),
        rack: rack.parse().unwrap(),
    }
}

pub fn spec(n: usize, zone: &str, slots: u32) -> UpstreamSpec {
    UpstreamSpec {
        name: format!("upstream-{n}").parse().unwrap(),
        incarnation: Incarnation::from_u128(1),
        pool: "recipes".parse().unwrap(),
        location: location(zone, &format!("rack-{}", n / 3)),
        slots,
        connections: 64,
        capacity: size(32_000, 64_000),
    }
}
