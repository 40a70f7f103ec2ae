//! Reads of the object API by nodes and writes to it by operators.

use super::*;

impl World {
    pub(super) fn poll_object_api(&mut self, node: usize, life: u64) {
        if !self.is_current_life(node, life) {
            return;
        }
        self.at(READ_PERIOD_MS, SimEvent::PollObjectApi { node, life });
        let now = self.node_now(node);
        let reader = self.nodes[node]
            .core
            .as_ref()
            .is_some_and(|core| core.is_reader(now));
        if !reader {
            self.nodes[node].read_version = None;
            return;
        }
        match self.nodes[node].read_version {
            None => self.read_lists(node),
            Some(version) => self.read_changes(node, version),
        }
        self.step_lease(node);
    }

    pub(super) fn read_lists(&mut self, node: usize) {
        let mut lowest = u64::MAX;
        for kind in Kind::ALL {
            let Some((objects, version)) = self.platform.list(kind) else {
                return;
            };
            lowest = lowest.min(version.0);
            self.record_leases(node, &objects);
            let now = self.node_now(node);
            let lease = &mut self.nodes[node].lease;
            if kind == Kind::Lease && lease.is_unread() {
                lease.on_read(None, OBJECT_API_ERA, now);
            }
            self.with_core(node, |core, now| {
                core.apply_list(kind, objects, version, now)
            });
        }
        self.nodes[node].read_version = Some(lowest);
    }

    pub(super) fn read_changes(&mut self, node: usize, version: u64) {
        let Some(records) = self.platform.changes_after(version) else {
            self.nodes[node].read_version = None;
            return;
        };
        if let Some(last) = records.last() {
            self.nodes[node].read_version = Some(last.version.0);
        }
        let stored: Vec<Object> = records
            .iter()
            .filter_map(|record| record.content.as_deref().cloned())
            .collect();
        self.record_leases(node, &stored);
        self.with_core(node, |core, now| core.apply_records(records, now));
    }

    pub(super) fn record_leases(&mut self, node: usize, objects: &[Object]) {
        let now = self.node_now(node);
        for object in objects.iter().filter(|object| object.kind == Kind::Lease) {
            let version = object.metadata.resource_version;
            let lease = &mut self.nodes[node].lease;
            if lease
                .observed_lease()
                .is_some_and(|known| known.version >= version)
            {
                continue;
            }
            if let Ok(spec) = object.typed::<LeaseSpec>() {
                let era = OBJECT_API_ERA;
                let stored = StoredLease { version, spec, era };
                lease.on_read(Some(stored), era, now);
            }
        }
    }

    pub(super) fn learn(&mut self, node: usize, object: Object) {
        let record = ploverlift_cluster::config_store::Record::stored(object);
        self.with_core(node, |core, now| core.apply_records(vec![record], now));
    }

    /// Changes the route through a node, as an operator does, based on the version
    /// that the node knows.
    pub fn apply(&mut self, number: usize) -> ApplyOutcome {
        let base = self.known_route_version(number);
        self.apply_from(number, base)
    }

    pub(super) fn known_route_version(&self, number: usize) -> u64 {
        let core = self.nodes[number].core.as_ref();
        let route = core.and_then(|core| core.config.store.get(Kind::Route, site::ROUTE));
        route.map_or(0, |route| route.metadata.resource_version.0)
    }

    pub(super) fn apply_from(&mut self, number: usize, base: u64) -> ApplyOutcome {
        self.next_change += 1;
        let mut object = site::route(site::ROUTE, "fixit", true, self.next_change);
        object.metadata.resource_version.0 = base;
        let wanted = object.spec.clone();
        let applied = match self.platform.put(object) {
            WriteAnswer::Stored(stored) => {
                ApplyOutcome::Accepted(stored.metadata.resource_version.0)
            }
            WriteAnswer::Conflict => ApplyOutcome::Conflict,
            WriteAnswer::Unreachable => ApplyOutcome::Refused,
            WriteAnswer::Lost => match self.platform.read(Kind::Route, site::ROUTE) {
                Some(stored) if stored.spec == wanted => {
                    ApplyOutcome::Accepted(stored.metadata.resource_version.0)
                }
                _ => ApplyOutcome::Unknown,
            },
        };
        if let ApplyOutcome::Accepted(_) = applied {
            if let Some(stored) = self.platform.read(Kind::Route, site::ROUTE) {
                self.learn(number, stored);
            }
        }
        self.applied.push(applied.clone());
        applied
    }
}
