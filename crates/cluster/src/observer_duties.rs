//! Which nodes observe which engine: the two live nodes of the engine's zone
//! with the highest rendezvous weight, or of all zones when it has none.

use crate::membership::Membership;
use crate::node_key::{rendezvous_top, NodeKey};
use ploverlift_policy::fleet::{EngineKey, Fleet};
use ploverlift_policy::ids::ZoneName;
use ploverlift_policy::objects::MachineRole;
use std::collections::{BTreeMap, HashMap};

/// Number of nodes that observe one engine.
pub const OBSERVERS_PER_ENGINE: usize = 2;

/// The duties of all nodes as seen by one node.
#[derive(Clone, Debug, Default)]
pub struct ObserverDuties {
    observers: HashMap<EngineKey, Vec<NodeKey>>,
    own: Vec<EngineKey>,
}

impl ObserverDuties {
    /// Computes the duties for all engines.
    pub fn assign(fleet: &Fleet, members: &Membership) -> Self {
        let own_key = members.own_key();
        let own_zone = &members.own().zone;
        let mut by_zone: BTreeMap<&ZoneName, Vec<NodeKey>> = BTreeMap::new();
        by_zone.entry(own_zone).or_default().push(own_key);
        for (key, member) in members.live() {
            let zone = &member.identity.zone;
            by_zone.entry(zone).or_default().push(key);
        }
        let all: Vec<NodeKey> = by_zone.values().flatten().copied().collect();
        let mut duties = Self::default();
        for (_, engine) in fleet.iter() {
            if engine.role != MachineRole::Engine {
                continue;
            }
            let near = by_zone.get(&engine.zone).unwrap_or(&all);
            let nodes = near.iter().copied();
            let observers = rendezvous_top(engine.key.0, nodes, OBSERVERS_PER_ENGINE);
            if observers.contains(&own_key) {
                duties.own.push(engine.key);
            }
            duties.observers.insert(engine.key, observers);
        }
        duties
    }

    /// The nodes that observe an engine.
    pub fn observers_of(&self, engine: EngineKey) -> &[NodeKey] {
        self.observers.get(&engine).map_or(&[], Vec::as_slice)
    }

    /// Whether `node` is the observer that publishes an engine's load; the
    /// other observers publish only changes of its eligibility.
    pub fn publishes_load(&self, engine: EngineKey, node: NodeKey) -> bool {
        self.observers_of(engine).first() == Some(&node)
    }

    /// Engines that this node observes.
    pub fn own(&self) -> &[EngineKey] {
        &self.own
    }

    /// Whether this node observes an engine.
    pub fn is_own(&self, engine: EngineKey) -> bool {
        self.own.contains(&engine)
    }
}
