//! The zones and regions of nodes, engines and KV cache stores, and their distances.

use ploverlift_policy::ids::ZoneName;
use std::collections::BTreeMap;
use std::fmt;

/// The name of a region, which is a group of zones that are near each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionName(pub String);

impl fmt::Display for RegionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The distance between two zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// Both are in one zone.
    SameZone,
    /// They are in two zones of one region, or the region of either is not known.
    SameRegion,
    /// They are in different regions.
    OtherRegion,
}

impl Distance {
    /// The name of the distance in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SameZone => "zone",
            Self::SameRegion => "region",
            Self::OtherRegion => "other_region",
        }
    }
}

/// The zones of a site and their regions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<ZoneName, RegionName>,
}

impl Topology {
    /// Creates a topology from the region of each zone.
    pub fn new(regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self { regions }
    }

    /// The region of a zone, if known.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// The zones that are in a different region from the given zone.
    pub fn zones_far_from<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = &'a ZoneName> {
        let zones = self.regions.keys();
        zones.filter(move |other| self.distance(zone, other) == Distance::OtherRegion)
    }

    /// The distance between two zones. A zone without a known region is assumed to be in the
    /// same region, because a site that configures no regions has only one.
    pub fn distance(&self, from: &ZoneName, to: &ZoneName) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        match (self.region_of(from), self.region_of(to)) {
            (Some(from), Some(to)) if from != to => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }
}
