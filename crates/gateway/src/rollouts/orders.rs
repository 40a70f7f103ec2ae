//! The rollout orders that a node knows, and the store revision up to which they are
//! complete.

use ploverlift_policy::ids::Millis;
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_routing::configuration::ServiceName;
use std::collections::{BTreeMap, BTreeSet};

/// The orders of all services.
#[derive(Clone, Debug, Default)]
pub struct KnownOrders {
    orders: BTreeMap<ServiceName, RolloutOrder>,
    /// Names of unreadable orders, with the first unreadable revision of each. Their services
    /// and targets are not known, so no version recorded later can be placed.
    unreadable: BTreeMap<String, u64>,
    first_known: Option<u64>,
    known_through: Option<u64>,
    proven_at: Option<Millis>,
    relay_reported_at: Option<Millis>,
    changed_at: Option<Millis>,
}

impl KnownOrders {
    /// Inserts an order if its revision is newer than the known one; returns whether it was.
    pub fn insert_newer(&mut self, order: RolloutOrder, now: Millis) -> bool {
        let known = self.orders.get(&order.service);
        if known.is_some_and(|known| known.revision >= order.revision) {
            return false;
        }
        self.orders.insert(order.service.clone(), order);
        self.changed_at = Some(now);
        true
    }

    /// Removes an order that was deleted at a revision; returns whether it was known and not
    /// newer.
    pub fn remove(&mut self, service: &ServiceName, revision: u64, now: Millis) -> bool {
        let known = self.orders.get(service);
        if known.is_none_or(|known| known.revision > revision) {
            return false;
        }
        self.orders.remove(service);
        self.changed_at = Some(now);
        true
    }

    /// Services with a known order that is missing in a complete list.
    pub fn missing_in(&self, listed: &[RolloutOrder]) -> Vec<ServiceName> {
        let is_missing = |service: &&ServiceName| {
            let mut listed = listed.iter();
            listed.all(|order| order.service != **service)
        };
        self.orders.keys().filter(is_missing).cloned().collect()
    }

    /// Records that an order can't be read.
    pub fn note_unreadable(&mut self, name: &str, revision: u64) {
        let first = self.unreadable.entry(name.to_owned()).or_insert(revision);
        *first = revision.min(*first);
    }

    /// Records that an order can be read or was removed.
    pub fn note_readable(&mut self, name: &str) {
        self.unreadable.remove(name);
    }

    /// Removes unreadable orders that are no longer listed.
    pub fn forget_unlisted<'a>(&mut self, listed: impl Iterator<Item = &'a str>) {
        let listed: BTreeSet<&str> = listed.collect();
        self.unreadable
            .retain(|name, _| listed.contains(name.as_str()));
    }

    /// Whether an order can't be read; reading the orders again would not help.
    pub fn is_any_unreadable(&self) -> bool {
        !self.unreadable.is_empty()
    }

    /// Records that all orders up to a store revision are known, as of `proven_at`. Stops
    /// below the first unreadable order.
    pub fn advance(&mut self, revision: u64, proven_at: Option<Millis>, now: Millis) {
        let first_unreadable = self.unreadable.values().min();
        let readable = first_unreadable.map_or(u64::MAX, |first| first.saturating_sub(1));
        let revision = revision.min(readable);
        self.first_known.get_or_insert(revision);
        if self.known_through < Some(revision) {
            self.known_through = Some(revision);
            self.changed_at = Some(now);
        }
        self.proven_at = self.proven_at.max(proven_at);
    }

    /// Records a relay's report of the orders.
    pub fn note_relay_report(&mut self, now: Millis) {
        self.relay_reported_at = Some(now);
    }

    /// Time of the last relay report of the orders.
    pub fn relay_reported_at(&self) -> Option<Millis> {
        self.relay_reported_at
    }

    /// Store revision up to which all orders are known.
    pub fn known_through(&self) -> Option<u64> {
        self.known_through
    }

    /// The first revision up to which all orders were known since the process started.
    pub fn first_known(&self) -> Option<u64> {
        self.first_known
    }

    /// Latest time as of which these were proven to be the current orders.
    pub fn proven_at(&self) -> Option<Millis> {
        self.proven_at
    }

    /// Time of the last change on this node.
    pub fn changed_at(&self) -> Option<Millis> {
        self.changed_at
    }

    /// The order of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutOrder> {
        self.orders.get(service)
    }

    /// All orders.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutOrder> {
        self.orders.values()
    }
}
