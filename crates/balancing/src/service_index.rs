//! Index of one service's engines, in the orders in which candidates are selected.
//!
//! It is updated with each change, so that neither a choice nor a new record iterates
//! over all engines.

use crate::catalogue::EngineRecord;
use crate::names::InstanceId;
use ploverlift_policy::ids::ZoneName;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Index of one service's engines.
#[derive(Clone, Debug, Default)]
pub struct ServiceIndex {
    instances: BTreeSet<InstanceId>,
    rings: BTreeMap<ZoneName, Ring>,
}

/// Engines by the hash of their instance. The ring wraps around after the last one.
type Ring = BTreeSet<(u64, InstanceId)>;

impl ServiceIndex {
    /// Adds an engine.
    pub fn insert(&mut self, record: &EngineRecord) {
        self.instances.insert(record.instance.clone());
        let ring = self.rings.entry(record.zone.clone()).or_default();
        ring.insert(ring_entry(&record.instance));
    }

    /// Removes an engine.
    pub fn remove(&mut self, record: &EngineRecord) {
        self.instances.remove(&record.instance);
        if let Some(ring) = self.rings.get_mut(&record.zone) {
            ring.remove(&ring_entry(&record.instance));
        }
        self.rings.retain(|_, ring| !ring.is_empty());
    }

    /// All engines, sorted by instance.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.instances.iter()
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Zones that have at least one engine.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.rings.keys()
    }

    /// The engines of a zone, starting at a point of its ring, each once.
    pub fn from_point<'a>(
        &'a self,
        zone: &ZoneName,
        point: u64,
    ) -> impl Iterator<Item = &'a InstanceId> {
        let ring = self.rings.get(zone);
        let start = (point, InstanceId(String::new()));
        let after = ring
            .into_iter()
            .flat_map(move |ring| ring.range(start.clone()..));
        let end = (point, InstanceId(String::new()));
        let before = ring
            .into_iter()
            .flat_map(move |ring| ring.range(..end.clone()));
        after.chain(before).map(|(_, instance)| instance)
    }
}

fn ring_entry(instance: &InstanceId) -> (u64, InstanceId) {
    (xxh3_64(instance.0.as_bytes()), instance.clone())
}
