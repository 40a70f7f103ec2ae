//! Placement of engines: whether a software version may be used before all orders are
//! known.
//!
//! Records of engines and orders carry revisions of one counter. A record that is newer
//! than the revision up to which orders are known may belong to an order that is not
//! known yet, unless its version already serves.

use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeSet;

/// A node's knowledge of a service's versions and orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionLedger {
    orders_known_up_to: u64,
    serving: BTreeSet<SoftwareVersion>,
    has_placed_any: bool,
}

impl VersionLedger {
    /// Notes that all orders up to a revision of the store are known.
    pub fn note_orders_known_up_to(&mut self, revision: u64) {
        self.orders_known_up_to = self.orders_known_up_to.max(revision);
    }

    /// Notes an engine of a version, from a record with this revision. A version whose
    /// record can be placed counts as serving from then on.
    pub fn note_engine(&mut self, version: &SoftwareVersion, record_revision: u64) {
        if record_revision <= self.orders_known_up_to && !self.serving.contains(version) {
            self.note_serving(version);
        }
    }

    /// Notes that a node which knows more orders has placed a version.
    pub fn note_serving(&mut self, version: &SoftwareVersion) {
        self.serving.insert(version.clone());
        self.has_placed_any = true;
    }

    /// Whether any version was placed since the process started; a version that replaces
    /// it may come from an order.
    pub fn has_placed_any(&self) -> bool {
        self.has_placed_any
    }

    /// The versions that serve.
    pub fn serving(&self) -> impl Iterator<Item = &SoftwareVersion> {
        self.serving.iter()
    }

    /// Forgets a version without engines: if it appears again, that may be because of an
    /// order.
    pub fn forget(&mut self, version: &SoftwareVersion) {
        self.serving.remove(version);
    }

    /// Whether an engine can be placed; only such engines may get requests.
    pub fn is_placed(&self, version: &SoftwareVersion, record_revision: u64) -> bool {
        record_revision <= self.orders_known_up_to || self.serving.contains(version)
    }
}
