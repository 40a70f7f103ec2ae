//! Looks from outside, for tests and measurements.

use super::*;

impl World {
    /// A node's core, when its process runs.
    pub fn core(&self, node: usize) -> Option<&NodeCore> {
        self.nodes[node].core.as_ref()
    }

    /// Number of nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Nodes on which the route has at least this version in force.
    pub fn nodes_with_route(&self, version: u64) -> usize {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|node| self.known_route_version(*node) >= version)
            .count()
    }

    /// Nodes that read the object API now.
    pub fn readers(&self) -> usize {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|node| {
                let core = self.nodes[*node].core.as_ref();
                core.is_some_and(|core| core.is_reader(self.node_now(*node)))
            })
            .count()
    }

    /// Nodes that vote on claims now.
    pub fn voters(&self) -> usize {
        let cores = self.nodes.iter().filter_map(|node| node.core.as_ref());
        cores.filter(|core| core.claims.votes()).count()
    }

    /// Removes an object from the object API.
    pub fn delete_object(&mut self, kind: Kind, name: &str) {
        self.platform.delete(ObjectKey {
            kind,
            name: name.to_owned(),
        });
    }
}
