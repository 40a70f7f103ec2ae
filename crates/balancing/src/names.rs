//! IDs of engines and nodes, and the short hashes of engines, models and zones that are used
//! in messages between nodes.

use ploverlift_policy::ids::ZoneName;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// ID of one life of an engine. A restarted engine has a different one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub String);

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A hash of an engine's instance ID, the same on all nodes. If the tags of two engines
/// collide, their loads are mixed up, which only leads to worse choices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineTag(pub u32);

impl EngineTag {
    /// The tag of an instance.
    pub fn of(instance: &InstanceId) -> Self {
        Self(xxh3_64(instance.0.as_bytes()) as u32)
    }
}

/// ID of a node: the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

impl PeerId {
    /// The ID of the node with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// A hash of a model's name, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ModelTag(pub u32);

impl ModelTag {
    /// The tag of a model.
    pub fn of(model: &str) -> Self {
        Self(xxh3_64(model.as_bytes()) as u32)
    }
}

/// A hash of a zone's name, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneTag(pub u32);

impl ZoneTag {
    /// The tag of a zone.
    pub fn of(zone: &ZoneName) -> Self {
        Self(xxh3_64(zone.0.as_bytes()) as u32)
    }
}
