//! How recent this node's knowledge of the engines is, and who proved it.
//!
//! The bound on leaving engines runs from what the store acknowledged, whoever tells this
//! node of it and however late. So each belief carries the moment as of which it was
//! complete, also on its way from node to node.

use crate::settings::GatewaySettings;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::ids::Millis;
use std::collections::BTreeMap;

/// Part of the bound on leaving engines that knowledge of the engines may be old, a
/// relay's or a node's own. The rest is for a change on its way and for reading the
/// store.
const ENGINES_AGE_SHARE: f64 = 0.65;
/// Age from which knowledge of the engines is too old and read anew, in milliseconds.
pub fn engines_age_limit_ms(settings: &GatewaySettings) -> u64 {
    (settings.bounds.leaving_engine_ms as f64 * ENGINES_AGE_SHARE) as u64
}

/// Where this node's knowledge of the engines comes from.
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
    /// As of when: the moment of an answer of the store, or the moment as of which a
    /// relay vouches.
    pub at: Millis,
    /// Where from.
    pub source: EnginesSource,
}

/// What proves that this node knows the engines.
#[derive(Clone, Debug, Default)]
pub struct EnginesProof {
    known_at: Option<Millis>,
    last_update: Option<LastUpdate>,
    /// Engines whose records are gone and that are kept, and since when.
    retained: BTreeMap<InstanceId, Millis>,
}

impl EnginesProof {
    /// The store answered a call that was sent at `sent`: it told all that had changed
    /// before. An answer that took longer than any call waits, in milliseconds, lay unread
    /// while this node stood still, and tells what held when it was asked for.
    pub fn note_store_read(&mut self, sent: Millis, now: Millis, longest_ms: u64) {
        self.known_at = self.known_at.max(Some(sent));
        let at = match now.since(sent) > longest_ms {
            true => sent,
            false => now,
        };
        self.note_update(at, EnginesSource::Store);
    }

    /// A relay, all of whose changes were taken in, vouches for what held at `proven_at`.
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

    /// The record of an engine is gone, and the engine is kept for a time.
    pub fn retain_removed(&mut self, instance: InstanceId, now: Millis) {
        self.retained.entry(instance).or_insert(now);
    }

    /// The engine's record is back, or it is kept no longer.
    pub fn stop_retaining(&mut self, instance: &InstanceId) {
        self.retained.remove(instance);
    }

    /// Whether the engine is kept though its record is gone.
    pub fn is_retained(&self, instance: &InstanceId) -> bool {
        self.retained.contains_key(instance)
    }

    /// Age of what this node reports of the engines to others, in milliseconds: an engine
    /// that it keeps though its record is gone is as old as that removal.
    pub fn reported_age_ms(&self, now: Millis) -> Option<u64> {
        let oldest_removal = self.retained.values().min().copied();
        let known_at = self.known_at?;
        let complete_at = oldest_removal.map_or(known_at, |removed_at| removed_at.min(known_at));
        Some(now.since(complete_at))
    }
}
