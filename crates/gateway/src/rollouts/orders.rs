//! The orders that a node knows, and up to which revision of the store it knows all.

use ploverlift_policy::ids::Millis;
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_routing::configuration::ServiceName;
use std::collections::{BTreeMap, BTreeSet};

/// The orders of all services.
#[derive(Clone, Debug, Default)]
pub struct KnownOrders {
    orders: BTreeMap<ServiceName, RolloutOrder>,
    /// Orders that can't be read, by name, with the revision of each: what they are
    /// about is not known, so nothing that came later can be placed.
    unreadable: BTreeMap<String, u64>,
    first_known: Option<u64>,
    known_through: Option<u64>,
    proven_at: Option<Millis>,
    relay_reported_at: Option<Millis>,
    changed_at: Option<Millis>,
}

impl KnownOrders {
    /// Takes in an order; tells whether it was news.
    pub fn insert_newer(&mut self, order: RolloutOrder, now: Millis) -> bool {
        let known = self.orders.get(&order.service);
        if known.is_some_and(|known| known.revision >= order.revision) {
            return false;
        }
        self.orders.insert(order.service.clone(), order);
        self.changed_at = Some(now);
        true
    }

    /// An order is gone since a revision; tells whether it was news.
    pub fn remove(&mut self, service: &ServiceName, revision: u64, now: Millis) -> bool {
        let known = self.orders.get(service);
        if known.is_none_or(|known| known.revision > revision) {
            return false;
        }
        self.orders.remove(service);
        self.changed_at = Some(now);
        true
    }

    /// Services whose orders a list of all lacks.
    pub fn missing_in(&self, listed: &[RolloutOrder]) -> Vec<ServiceName> {
        let is_missing = |service: &&ServiceName| {
            let mut listed = listed.iter();
            listed.all(|order| order.service != **service)
        };
        self.orders.keys().filter(is_missing).cloned().collect()
    }

    /// An order can't be read.
    pub fn note_unreadable(&mut self, name: &str, revision: u64) {
        let first = self.unreadable.entry(name.to_owned()).or_insert(revision);
        *first = revision.min(*first);
    }

    /// An order can be read, or is gone.
    pub fn note_readable(&mut self, name: &str) {
        self.unreadable.remove(name);
    }

    /// Orders that can't be read and are not listed are gone.
    pub fn forget_unlisted<'a>(&mut self, listed: impl Iterator<Item = &'a str>) {
        let listed: BTreeSet<&str> = listed.collect();
        self.unreadable
            .retain(|name, _| listed.contains(name.as_str()));
    }

    /// Whether an order can't be read: asking again would not help.
    pub fn is_any_unreadable(&self) -> bool {
        !self.unreadable.is_empty()
    }

    /// All orders up to a revision of the store are known, as of a time.
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

    /// A relay told of orders.
    pub fn note_relay_report(&mut self, now: Millis) {
        self.relay_reported_at = Some(now);
    }

    /// When a relay last told of orders.
    pub fn relay_reported_at(&self) -> Option<Millis> {
        self.relay_reported_at
    }

    /// Revision of the store up to which all orders are known.
    pub fn known_through(&self) -> Option<u64> {
        self.known_through
    }

    /// The same when any was first known in this life of the process.
    pub fn first_known(&self) -> Option<u64> {
        self.first_known
    }

    /// When, at the latest, these were the present orders.
    pub fn proven_at(&self) -> Option<Millis> {
        self.proven_at
    }

    /// When they last changed here.
    pub fn changed_at(&self) -> Option<Millis> {
        self.changed_at
    }

    /// One service's order.
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutOrder> {
        self.orders.get(service)
    }

    /// All orders.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutOrder> {
        self.orders.values()
    }
}
