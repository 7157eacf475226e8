//! Groups losses of upstreams by rack and zone.

use indexmap::IndexMap;
use tokio::time::{Duration, Instant};
use types::{Location, RackName, ZoneName};

/// Time within which losses of upstreams count as one event.
const COALESCE_WINDOW: Duration = Duration::from_secs(1);

types::plain! {
    /// Upstreams that became unreachable at about the same time.
    #[derive(Eq)]
    pub enum Loss {
        /// In one rack.
        Rack {
            /// Zone of the rack.
            zone: ZoneName,
            /// The rack.
            rack: RackName,
            /// How many.
            upstreams: usize,
        },
        /// In several racks of one zone.
        Zone {
            /// The zone.
            zone: ZoneName,
            /// How many racks.
            racks: usize,
            /// How many upstreams.
            upstreams: usize,
        },
    }
}

/// Groups losses of upstreams, so that the failure of a rack or of a zone is one event.
#[derive(Debug, Default)]
pub struct Losses {
    zones: IndexMap<ZoneName, IndexMap<RackName, usize>>,
    due: Option<Instant>,
}

impl Losses {
    /// Adds an upstream that has become unreachable.
    pub fn add(&mut self, location: &Location, now: Instant) {
        let racks = self.zones.entry(location.zone.clone()).or_default();
        *racks.entry(location.rack.clone()).or_default() += 1;
        self.due.get_or_insert(now + COALESCE_WINDOW);
    }

    /// Removes and returns the losses, one event for each zone, once a second has passed since the
    /// first loss.  Returns nothing before that.
    pub fn take_due(&mut self, now: Instant) -> Vec<Loss> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        self.zones.drain(..).filter_map(|(zone, racks)| zone_loss(zone, racks)).collect()
    }
}

fn zone_loss(zone: ZoneName, mut racks: IndexMap<RackName, usize>) -> Option<Loss> {
    let upstreams = racks.values().sum();
    match racks.len() {
        1 => racks.pop().map(|(rack, upstreams)| Loss::Rack { zone, rack, upstreams }),
        racks => Some(Loss::Zone { zone, racks, upstreams }),
    }
}
