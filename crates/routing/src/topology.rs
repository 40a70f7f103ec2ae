//! Where nodes, engines and KV cache stores are, and how far apart.

use ploverlift_policy::ids::ZoneName;
use std::collections::BTreeMap;
use std::fmt;

/// A region: zones that are near each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionName(pub String);

impl fmt::Display for RegionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// How far apart two places are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// Both are in one zone.
    SameZone,
    /// They are in two zones of one region, or of regions that are not known.
    SameRegion,
    /// They are in two regions.
    OtherRegion,
}

impl Distance {
    /// Its name in logs and metrics.
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
    /// The regions of all zones.
    pub fn new(regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self { regions }
    }

    /// The region of a zone, where it is known.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// The zones that are in other regions than a zone.
    pub fn zones_far_from<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = &'a ZoneName> {
        let zones = self.regions.keys();
        zones.filter(move |other| self.distance(zone, other) == Distance::OtherRegion)
    }

    /// How far apart two zones are. A zone without a known region is taken to be in
    /// the same one: a site that names no regions has one.
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
