use crate::{RackName, RegionName, ZoneName};

crate::wire! {
    /// Where a process runs.
    #[derive(Eq, Hash)]
    pub struct Location {
        /// Region of the availability zone.
        pub region: RegionName,
        /// Availability zone.
        pub zone: ZoneName,
        /// Rack within the availability zone.
        pub rack: RackName,
    }
}
