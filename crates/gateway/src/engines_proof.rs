//! Age and source of this node's list of engines.
//!
//! The bound on leaving engines counts from the store's acknowledgement, regardless of the
//! path and delay by which this node receives the change. So a list of engines carries the
//! time as of which it was complete, also when it is passed from node to node.

use crate::settings::GatewaySettings;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::ids::Millis;
use std::collections::BTreeMap;

/// Maximum age of the list of engines (a relay's or a node's own), as a fraction of the
/// bound on leaving engines. The rest is for a change in transit and for reading the store.
const ENGINES_AGE_SHARE: f64 = 0.65;
/// Age from which the list of engines is too old and read again, in milliseconds.
pub fn engines_age_limit_ms(settings: &GatewaySettings) -> u64 {
    (settings.bounds.leaving_engine_ms as f64 * ENGINES_AGE_SHARE) as u64
}

/// Source of this node's list of engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnginesSource {
    /// The store, in answer to a call of this node.
    Store,
    /// A relay.
    Relay,
}

impl EnginesSource {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Relay => "relay",
        }
    }
}

/// The last update of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastUpdate {
    /// Time of the update: when the store answered, or the time as of which a relay's proof
    /// is valid.
    pub at: Millis,
    /// Source of the update.
    pub source: EnginesSource,
}

/// Proof that this node's list of engines is complete.
#[derive(Clone, Debug, Default)]
pub struct EnginesProof {
    known_at: Option<Millis>,
    last_update: Option<LastUpdate>,
    /// Engines that stay in the list though their records were removed, and since when.
    retained: BTreeMap<InstanceId, Millis>,
}

impl EnginesProof {
    /// Records that the store answered a call sent at `sent`: the answer covers all changes
    /// before that time. An answer that took longer than `longest_ms`, the longest wait of a
    /// call, lay unread while this node was suspended, so it counts as of `sent`.
    pub fn note_store_read(&mut self, sent: Millis, now: Millis, longest_ms: u64) {
        self.known_at = self.known_at.max(Some(sent));
        let at = match now.since(sent) > longest_ms {
            true => sent,
            false => now,
        };
        self.note_update(at, EnginesSource::Store);
    }

    /// Records that a relay, all of whose changes were applied, has proven its list as of
    /// `proven_at`.
    pub fn note_relay_proof(&mut self, proven_at: Millis) {
        self.known_at = self.known_at.max(Some(proven_at));
        self.note_update(proven_at, EnginesSource::Relay);
    }

    fn note_update(&mut self, at: Millis, source: EnginesSource) {
        if self.last_update.is_none_or(|last| last.at <= at) {
            self.last_update = Some(LastUpdate { at, source });
        }
    }

    /// The last update of the engines.
    pub fn last_update(&self) -> Option<LastUpdate> {
        self.last_update
    }

    /// Records that an engine's record was removed and that the engine stays in the list for
    /// a time.
    pub fn retain_removed(&mut self, instance: InstanceId, now: Millis) {
        self.retained.entry(instance).or_insert(now);
    }

    /// Records that the engine's record is back, or that the engine was removed from the list.
    pub fn stop_retaining(&mut self, instance: &InstanceId) {
        self.retained.remove(instance);
    }

    /// Whether the engine stays in the list though its record was removed.
    pub fn is_retained(&self, instance: &InstanceId) -> bool {
        self.retained.contains_key(instance)
    }

    /// Age of the list of engines that this node reports to others, in milliseconds. While
    /// an engine is retained after the removal of its record, the list is at least as old as
    /// that removal.
    pub fn reported_age_ms(&self, now: Millis) -> Option<u64> {
        let oldest_removal = self.retained.values().min().copied();
        let known_at = self.known_at?;
        let complete_at = oldest_removal.map_or(known_at, |removed_at| removed_at.min(known_at));
        Some(now.since(complete_at))
    }
}
