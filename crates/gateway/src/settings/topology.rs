//! Settings for the regions of the site's zones.

use ploverlift_policy::ids::ZoneName;
use ploverlift_routing::topology::{RegionName, Topology};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// `[topology]`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TopologySettings {
    /// Region of each zone. A zone that is left out counts as being in one region with all
    /// others.
    pub zones: BTreeMap<String, String>,
}

impl TopologySettings {
    /// The zones with their regions.
    pub fn topology(&self) -> Topology {
        let zones = self.zones.iter();
        let zones =
            zones.map(|(zone, region)| (ZoneName(zone.clone()), RegionName(region.clone())));
        Topology::new(zones.collect())
    }
}
