//! State of the site for tests and measurements.

use super::*;

impl World {
    /// A node's core; `None` when its process does not run.
    pub fn core(&self, node: usize) -> Option<&NodeCore> {
        self.nodes[node].core.as_ref()
    }

    /// Number of nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Number of nodes that use at least this version of the route.
    pub fn nodes_with_route(&self, version: u64) -> usize {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|node| self.known_route_version(*node) >= version)
            .count()
    }

    /// Number of nodes that currently read the object API.
    pub fn readers(&self) -> usize {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|node| {
                let core = self.nodes[*node].core.as_ref();
                core.is_some_and(|core| core.is_reader(self.node_now(*node)))
            })
            .count()
    }

    /// Number of nodes that currently vote on claims.
    pub fn voters(&self) -> usize {
        let cores = self.nodes.iter().filter_map(|node| node.core.as_ref());
        cores.filter(|core| core.claims.votes()).count()
    }

    /// Deletes an object from the object API, whatever its version.
    pub fn delete_object(&mut self, kind: Kind, name: &str) {
        self.platform.delete(ObjectKey {
            kind,
            name: name.to_owned(),
        });
    }
}
