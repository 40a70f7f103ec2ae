//! Updates a node's beliefs when an engine's record appears, changes or is removed.

use crate::beliefs::Beliefs;
use crate::peers::relay_messages::EngineChange;
use ploverlift_balancing::catalogue::{EngineRecord, Heartbeat, InstanceId};
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_policy::ids::Millis;

/// Time after which a list of engines that can't be read to its end is used as far as it can be
/// read, in milliseconds. A failure of a moment is over by then.
const USE_INCOMPLETE_AFTER_MS: u64 = 2_000;

impl Beliefs {
    /// Adds or updates an engine; returns whether the record was new.
    pub fn upsert_engine(&mut self, record: EngineRecord, now: Millis) -> bool {
        if self.rollouts.is_retired(&record) {
            return false;
        }
        let known = self.engines.get(&record.instance);
        let before = known.map(|engine| engine.record.clone());
        let known_heartbeat = before
            .as_ref()
            .map_or_else(Heartbeat::default, |before| before.heartbeat);
        let change = EngineChange {
            instance: record.instance.clone(),
            revision: record.revision,
            record: Some(record.clone()),
        };
        let is_new = self.engines.upsert(record);
        if let (true, Some(record)) = (is_new, &change.record) {
            if record.heartbeat.is_of_later_start(known_heartbeat) {
                self.reset_after_restart(&record.instance);
            }
            self.rollouts.note_engine(record);
            self.note_engine_present(record);
            if let Some(before) = &before {
                self.note_engine_gone(before, now);
            }
            self.losses.note_record_back(&record.instance);
            self.engines_proof.stop_retaining(&record.instance);
            if record.cold_ms > 0 {
                let until = now.plus(record.cold_ms);
                self.engines.note_cold(&record.instance, until);
            }
            self.catalogue_log.append(change, now);
        }
        is_new
    }

    /// Applies a record from a relay. If this node does not know the engine and its own list
    /// is at the same or a later revision, the engine is gone and the relay lags behind.
    fn upsert_relayed(&mut self, record: EngineRecord, now: Millis) -> bool {
        let is_known = self.engines.get(&record.instance).is_some();
        let is_gone = !is_known && record.revision <= self.listed_revision;
        !is_gone && self.upsert_engine(record, now)
    }

    /// Records the start of an engine's current incarnation, as the engine reported it.
    pub fn note_engine_incarnation(&mut self, instance: &InstanceId, born_ms: u64) {
        if self.engines.note_life(instance, born_ms) {
            self.reset_after_restart(instance);
        }
    }

    /// Removes everything that was observed of an engine's former incarnation: an engine that
    /// restarts under its name has an empty cache and no state from before.
    fn reset_after_restart(&mut self, instance: &InstanceId) {
        let tag = EngineTag::of(instance);
        self.holders.forget_engine(tag);
        self.engine_caches.forget(tag);
        self.moves.forget(tag);
        self.losses.forget(instance);
        self.loading.retain(|loading| loading != instance);
        self.loaded.retain(|(_, loaded)| loaded.engine != tag);
    }

    /// Removes an engine that is gone since `revision`; returns whether that was new.
    pub fn remove_engine(&mut self, instance: &InstanceId, revision: u64, now: Millis) -> bool {
        let known = self.engines.get(instance);
        let record = known.map(|engine| engine.record.clone());
        let has_requests = known.is_some_and(|engine| engine.in_flight > 0);
        let is_new = self.engines.remove(instance, revision);
        if is_new {
            self.engines_proof.stop_retaining(instance);
            self.engine_paths.forget(EngineTag::of(instance));
        }
        if let (true, Some(record)) = (is_new, record) {
            self.rollouts.note_engine_gone(&record, &self.engines);
            self.note_engine_gone(&record, now);
            if has_requests {
                self.losses.note_record_gone(instance, record.address);
            }
            let change = EngineChange {
                instance: instance.clone(),
                revision,
                record: None,
            };
            self.catalogue_log.append(change, now);
        }
        is_new
    }

    /// Applies a change of an engine that a relay reported; returns whether it was new.
    pub fn apply_engine_change(&mut self, change: EngineChange, now: Millis) -> bool {
        match change.record {
            Some(record) => self.upsert_relayed(record, now),
            None => self.remove_engine(&change.instance, change.revision, now),
        }
    }

    /// Whether lists of the engines have ended early for so long that what could be read is used
    /// without a complete list.
    pub fn uses_incomplete_engines(&self, now: Millis) -> bool {
        let since = self.engines_incomplete_since;
        since.is_some_and(|since| now.since(since) >= USE_INCOMPLETE_AFTER_MS)
    }

    /// Replaces all engines by a relay's list at a revision of the store; returns the
    /// engines that were added, changed or removed.
    pub fn replace_engines(
        &mut self,
        records: Vec<EngineRecord>,
        revision: u64,
        now: Millis,
    ) -> Vec<EngineChange> {
        let before = self.catalogue_log.through();
        let missing = self.engines.missing_in(&records);
        for record in records {
            self.upsert_relayed(record, now);
        }
        for instance in missing {
            self.remove_engine(&instance, revision, now);
        }
        self.engines_revision = self.engines_revision.max(revision);
        self.has_listed_engines = true;
        self.engines_incomplete_since = None;
        self.catalogue_log.after(before)
    }
}
