//! The engines of all services, as known from their records and from this node's own
//! traffic.

use crate::connection_window::ConnectionWindow;
use crate::engine_notices::{Backoff, EngineNotices, LeavingNotice};
use crate::engine_rate_limits::EngineRateLimits;
use crate::health::Outcome;
pub use crate::heartbeat::Heartbeat;
use crate::names::{EngineTag, ModelTag};
use crate::service_index::ServiceIndex;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::store_revision::StoreRevision;
use ploverlift_routing::configuration::ServiceName;
use std::collections::{BTreeMap, HashMap, HashSet};

pub use crate::engine::{Engine, EngineRecord, LoadedWeights};
pub use crate::names::InstanceId;

/// Time for which an engine is excluded after a different engine answered at its address,
/// in milliseconds. The record of an engine that was replaced expires sooner (after three
/// heartbeats of 1.2 s). If the record remains, the misrouting may have been temporary, so
/// the engine is tried again.
const MISDIRECTED_MS: u64 = 5_000;

/// An engine that is not chosen because of a notice in one of its answers.
#[derive(Clone, Copy, Debug)]
pub struct PassedOver<'a> {
    /// The engine.
    pub instance: &'a InstanceId,
    /// The notice that excludes it.
    pub reason: PassedOverReason,
}

/// The notice because of which an engine is not chosen.
#[derive(Clone, Copy, Debug)]
pub enum PassedOverReason {
    /// The engine is shutting down.
    Leaving(LeavingNotice),
    /// The engine asked this node to back off.
    Backoff(Backoff),
}

/// All engines by instance.
#[derive(Clone, Debug, Default)]
pub struct EngineCatalogue {
    engines: HashMap<InstanceId, Engine>,
    by_service: BTreeMap<ServiceName, ServiceIndex>,
    by_tag: HashMap<EngineTag, InstanceId>,
    gone: HashMap<InstanceId, GoneRecord>,
    /// Tokens of the engines that advertise a rate limit.
    pub rate_limits: EngineRateLimits,
    /// Notices that engines sent in their answers.
    pub notices: EngineNotices,
}

/// What is kept of a removed record.
#[derive(Clone, Copy, Debug)]
struct GoneRecord {
    /// Store revision at which the record was removed.
    revision: u64,
    /// The last known heartbeat of the engine.
    heartbeat: Heartbeat,
}

impl GoneRecord {
    /// Whether a record has a higher revision only because the store was restored from a
    /// copy, and carries the heartbeat that was already known at the removal.
    fn is_in_copy(&self, record: &EngineRecord) -> bool {
        let era = |revision| StoreRevision::of_packed(revision).era;
        let has_heartbeat = self.heartbeat != Heartbeat::default();
        let is_of_later_era = era(record.revision) > era(self.revision);
        is_of_later_era && has_heartbeat && record.heartbeat == self.heartbeat
    }
}

/// Maximum number of removed engines that are remembered, in order to ignore their older
/// records.
const MAX_GONE: usize = 4_096;

impl EngineCatalogue {
    /// Applies a new or changed record; returns whether it was newer than the known one.
    /// Records come from the store and from other nodes, so records and heartbeats can arrive
    /// out of order. Within one life of an engine a record never lowers the version of its
    /// weights, because records lag behind what its answers have shown.
    pub fn upsert(&mut self, record: EngineRecord) -> bool {
        if !self.is_newer(&record) {
            return false;
        }
        self.gone.remove(&record.instance);
        self.list_by_service(&record);
        match self.engines.get_mut(&record.instance) {
            Some(engine) => engine.update(record),
            None => {
                let instance = record.instance.clone();
                let engine = Engine::new(record);
                self.by_tag.insert(engine.tag, instance.clone());
                self.engines.insert(instance, engine);
            }
        }
        true
    }

    /// Indexes an engine under its current service and zone only.
    fn list_by_service(&mut self, record: &EngineRecord) {
        let known = self.engines.get(&record.instance);
        if let Some(known) = known.map(|engine| &engine.record) {
            if known.service == record.service && known.zone == record.zone {
                return;
            }
            unlist(&mut self.by_service, known);
        }
        let service = self.by_service.entry(record.service.clone()).or_default();
        service.insert(record);
    }

    /// Whether a record is newer than the known one, by both the store's revision and the
    /// engine's heartbeat.
    fn is_newer(&self, record: &EngineRecord) -> bool {
        if let Some(engine) = self.engines.get(&record.instance) {
            let known = engine.record.heartbeat;
            let is_late = record.heartbeat.is_of_earlier_start(known)
                // A notice of leaving is accepted from any heartbeat of the same life.
                || (record.heartbeat.precedes(known) && !record.is_leaving);
            return record.revision > engine.record.revision && !is_late;
        }
        let Some(gone) = self.gone.get(&record.instance) else {
            return true;
        };
        let is_late = record.heartbeat.is_of_earlier_start(gone.heartbeat)
            || record.heartbeat.precedes(gone.heartbeat)
            || gone.is_in_copy(record);
        record.revision > gone.revision && !is_late
    }

    /// Records the start time of an engine's current life, as reported by the engine itself.
    /// Returns whether this life is later than the known one; late records of the former
    /// life are ignored from then on.
    pub fn note_life(&mut self, instance: &InstanceId, born_ms: u64) -> bool {
        let Some(engine) = self.engines.get_mut(instance) else {
            return false;
        };
        let reported = Heartbeat {
            born_ms,
            sequence: 0,
        };
        let is_later = reported.is_of_later_start(engine.record.heartbeat);
        if is_later {
            engine.record.heartbeat = reported;
            engine.begin_life();
        }
        is_later
    }

    /// Removes an engine whose record was deleted at this revision; returns whether the
    /// engine was known and its record was not newer.
    pub fn remove(&mut self, instance: &InstanceId, revision: u64) -> bool {
        let known = self.engines.get(instance);
        if known.is_none_or(|engine| engine.record.revision > revision) {
            return false;
        }
        if self.gone.len() >= MAX_GONE {
            self.gone.clear();
        }
        let heartbeat = known.map_or_else(Heartbeat::default, |engine| engine.record.heartbeat);
        self.gone.insert(
            instance.clone(),
            GoneRecord {
                revision,
                heartbeat,
            },
        );
        if let Some(engine) = self.engines.remove(instance) {
            unlist(&mut self.by_service, &engine.record);
            if self.by_tag.get(&engine.tag) == Some(instance) {
                self.by_tag.remove(&engine.tag);
            }
        }
        true
    }

    /// Known engines that are missing in a list of records.
    pub fn missing_in(&self, records: &[EngineRecord]) -> Vec<InstanceId> {
        let listed: HashSet<&InstanceId> = records.iter().map(|record| &record.instance).collect();
        let known = self.engines.keys();
        let missing = known.filter(|known| !listed.contains(known));
        missing.cloned().collect()
    }

    /// The engine with this instance ID.
    pub fn get(&self, instance: &InstanceId) -> Option<&Engine> {
        self.engines.get(instance)
    }

    /// Whether an engine is shutting down and accepts no new work, according to its record or
    /// to its answers.
    pub fn is_leaving(&self, engine: &Engine) -> bool {
        engine.record.is_leaving || self.leaving_notice(engine).is_some()
    }

    /// The notice in an engine's answers that it is shutting down, if any.
    pub fn leaving_notice(&self, engine: &Engine) -> Option<LeavingNotice> {
        self.notices.leaving(engine.tag, engine.record.heartbeat)
    }

    /// The backoff that an engine asked for, if it is still in effect.
    pub fn backoff(&self, engine: &Engine, now: Millis) -> Option<Backoff> {
        self.notices
            .backoff(engine.tag, engine.record.heartbeat, now)
    }

    /// Engines of a service that are not chosen because of notices in their answers.
    pub fn passed_over<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Millis,
    ) -> impl Iterator<Item = PassedOver<'a>> {
        let noticed = self.notices.engines();
        let engines = noticed.filter_map(|tag| self.by_tag(tag));
        let engines = engines.filter(move |engine| engine.record.service == *service);
        engines.filter_map(move |engine| {
            let leaving = self.leaving_notice(engine);
            let reason = leaving.map(PassedOverReason::Leaving);
            let backoff = || self.backoff(engine, now).map(PassedOverReason::Backoff);
            let reason = reason.or_else(backoff)?;
            let instance = &engine.record.instance;
            Some(PassedOver { instance, reason })
        })
    }

    /// Removes notices that no longer apply.
    pub fn expire_notices(&mut self, now: Millis) {
        let (by_tag, engines) = (&self.by_tag, &self.engines);
        let heartbeat_of = |tag| {
            let engine = engines.get(by_tag.get(&tag)?)?;
            Some(engine.record.heartbeat)
        };
        self.notices.expire(heartbeat_of, now);
    }

    /// The engines of a service, ordered by instance ID.
    pub fn of_service<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a Engine> {
        let index = self.by_service.get(service).into_iter();
        let instances = index.flat_map(ServiceIndex::instances);
        instances.filter_map(|instance| self.engines.get(instance))
    }

    /// The index of a service's engines; `None` when the service has none.
    pub fn service_index(&self, service: &ServiceName) -> Option<&ServiceIndex> {
        self.by_service.get(service)
    }

    /// Number of engines of a service.
    pub fn count_of(&self, service: &ServiceName) -> usize {
        self.service_index(service).map_or(0, ServiceIndex::len)
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// The newest version of a model's weights that any engine has.
    pub fn newest_weights(&self, model: &str) -> u64 {
        let versions = self.iter().map(|engine| engine.weights_of(model));
        versions.max().unwrap_or(0)
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Counts a request with `prompt_tokens` tokens that is about to be sent.
    pub fn begin(&mut self, instance: &InstanceId, prompt_tokens: u64, now: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.in_flight += 1;
            engine.waiting_tokens += prompt_tokens;
            engine.health.on_begin(now);
        }
    }

    /// The engine has begun to answer, so it has processed the prompt.
    pub fn first_answer(&mut self, instance: &InstanceId, prompt_tokens: u64) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.waiting_tokens = engine.waiting_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// The request has ended. `unanswered_tokens` are the prompt tokens that
    /// [`EngineCatalogue::first_answer`] has not subtracted yet.
    pub fn end(&mut self, instance: &InstanceId, unanswered_tokens: u64) {
        self.first_answer(instance, unanswered_tokens);
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.in_flight = engine.in_flight.saturating_sub(1);
        }
    }

    /// Records the outcome of a request.
    pub fn note_outcome(&mut self, instance: &InstanceId, outcome: Outcome, now: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.health.on_outcome(outcome, now);
        }
    }

    /// This node's connections to an engine.
    pub fn connections_mut(&mut self, instance: &InstanceId) -> Option<&mut ConnectionWindow> {
        let engine = self.engines.get_mut(instance)?;
        Some(&mut engine.connections)
    }

    /// Drops the failures of an engine, because this node's link to it caused them.
    pub fn forget_failures(&mut self, instance: &InstanceId) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.health.forget_failures();
        }
    }

    /// The engine accepts no connections: it is not chosen before `until`.
    pub fn put_aside(&mut self, instance: &InstanceId, until: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.health.eject_until(until);
        }
    }

    /// The engine accepts connections again.
    pub fn allow_trial(&mut self, instance: &InstanceId, now: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.health.allow_trial(now);
        }
    }

    /// The engine with this tag.
    pub fn by_tag(&self, tag: EngineTag) -> Option<&Engine> {
        self.engines.get(self.by_tag.get(&tag)?)
    }

    /// Records the version of a model's weights that the engine reported.
    pub fn note_weights(&mut self, instance: &InstanceId, model: &str, version: u64) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.record.weights.insert(model.to_owned(), version);
        }
    }

    /// Another node had the engine load these weights; returns whether the version is higher
    /// than the known one.
    pub fn note_loaded_weights(&mut self, loaded: &LoadedWeights) -> bool {
        let instance = self.by_tag.get(&loaded.engine);
        let engine = instance.and_then(|instance| self.engines.get_mut(instance));
        let Some(engine) = engine else {
            return false;
        };
        let mut weights = engine.record.weights.iter_mut();
        let held = weights.find(|(model, _)| ModelTag::of(model) == loaded.model);
        let Some((_, version)) = held else {
            return false;
        };
        let is_news = *version < loaded.version;
        *version = loaded.version.max(*version);
        is_news
    }

    /// The engine is considered to be loading weights until `until`.
    pub fn note_loading(&mut self, instance: &InstanceId, until: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.loading_until = Some(until);
        }
    }

    /// The engine has just started and is slow until `until`. Only the first call in a life
    /// has an effect.
    pub fn note_cold(&mut self, instance: &InstanceId, until: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.cold_until.get_or_insert(until);
        }
    }

    /// The engine has finished loading weights.
    pub fn note_loaded(&mut self, instance: &InstanceId) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.loading_until = None;
        }
    }

    /// A different engine answered at this engine's address.
    pub fn note_misdirected(&mut self, instance: &InstanceId, now: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.misdirected_until = Some(now.plus(MISDIRECTED_MS));
        }
    }
}

fn unlist(by_service: &mut BTreeMap<ServiceName, ServiceIndex>, record: &EngineRecord) {
    if let Some(index) = by_service.get_mut(&record.service) {
        index.remove(record);
        if index.is_empty() {
            by_service.remove(&record.service);
        }
    }
}
