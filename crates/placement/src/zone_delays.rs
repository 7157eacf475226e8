use types::Location;

use crate::indices::ZoneIndex;

// Initial round trip times in microseconds.
const SAME_ZONE_US: f64 = 500.0;
const SAME_REGION_US: f64 = 2_500.0;
const OTHER_REGION_US: f64 = 20_000.0;

/// Weight of a new round trip in the moving average.
const GAIN: f64 = 1.0 / 16.0;

/// Round trip times in microseconds from this process to availability zones, as moving averages.
/// The initial value of a zone depends on whether it is this process's own zone, another zone of
/// the same region, or in another region.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneDelays {
    round_trip_us: Vec<f64>,
}

impl ZoneDelays {
    /// Adds the zone with the next index.
    pub(crate) fn add_zone(&mut self, own: &Location, other: &Location) {
        let is_same_region = own.region == other.region;
        let prior_us = match is_same_region {
            true if own.zone == other.zone => SAME_ZONE_US,
            true => SAME_REGION_US,
            false => OTHER_REGION_US,
        };
        self.round_trip_us.push(prior_us);
    }

    /// Returns the number of zones.
    pub(crate) fn len(&self) -> usize {
        self.round_trip_us.len()
    }

    pub(crate) fn observe(&mut self, zone: ZoneIndex, round_trip_us: u64) {
        let mean = &mut self.round_trip_us[zone.as_usize()];
        *mean += GAIN * (round_trip_us as f64 - *mean);
    }

    pub(crate) fn round_trip_us(&self, zone: ZoneIndex) -> f64 {
        self.round_trip_us[zone.as_usize()]
    }
}
