//! The engines of all services, as their records and this node's own traffic
//! show them.

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

/// How long an engine's address is taken to lead to another engine after that one
/// answered, in milliseconds. The entry of an engine that was replaced lapses sooner
/// (three heartbeats of 1.2 s). Where the entry stays, the engine may be well and its
/// requests were led astray for a time: it is asked again.
const MISDIRECTED_MS: u64 = 5_000;

/// An engine that is passed over for what it said in answers.
#[derive(Clone, Copy, Debug)]
pub struct PassedOver<'a> {
    /// The engine.
    pub instance: &'a InstanceId,
    /// What it said.
    pub reason: PassedOverReason,
}

/// What an engine said for which it is passed over.
#[derive(Clone, Copy, Debug)]
pub enum PassedOverReason {
    /// It leaves.
    Leaving(LeavingNotice),
    /// It asked this node to back off.
    Backoff(Backoff),
}

/// All engines by instance.
#[derive(Clone, Debug, Default)]
pub struct EngineCatalogue {
    engines: HashMap<InstanceId, Engine>,
    by_service: BTreeMap<ServiceName, ServiceIndex>,
    by_tag: HashMap<EngineTag, InstanceId>,
    gone: HashMap<InstanceId, GoneRecord>,
    /// Room at the engines that advertise a rate limit.
    pub rate_limits: EngineRateLimits,
    /// What engines said of themselves in answers.
    pub notices: EngineNotices,
}

/// What is remembered of a record that is gone.
#[derive(Clone, Copy, Debug)]
struct GoneRecord {
    /// Revision of the store at which it was gone.
    revision: u64,
    /// The last heartbeat that was known.
    heartbeat: Heartbeat,
}

impl GoneRecord {
    /// Whether a record that is later only because the store came back from a copy tells
    /// no more than was known when it went.
    fn is_in_copy(&self, record: &EngineRecord) -> bool {
        let era = |revision| StoreRevision::of_packed(revision).era;
        let is_told = self.heartbeat != Heartbeat::default();
        let is_of_later_era = era(record.revision) > era(self.revision);
        is_of_later_era && is_told && record.heartbeat == self.heartbeat
    }
}

/// Engines that are remembered as gone; older news of them is ignored.
const MAX_GONE: usize = 4_096;

impl EngineCatalogue {
    /// Takes in a new or changed record; tells whether it was news. Records come
    /// from the store and from other nodes, so an older one may come after a newer
    /// one, and an older heartbeat after a newer one. Within a life weights
    /// never go back by a record: records lag behind what answers have shown.
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

    /// Lists an engine under its service and zone, and under no other ones.
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

    /// Whether a record is newer than what is known, by the store and by its engine.
    fn is_newer(&self, record: &EngineRecord) -> bool {
        if let Some(engine) = self.engines.get(&record.instance) {
            let known = engine.record.heartbeat;
            let is_late = record.heartbeat.is_of_earlier_start(known)
                // That an engine leaves is believed from any heartbeat of its life.
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

    /// The engine itself told when its present life began; tells whether that is a later
    /// one than was known. What a late record of the former life says is ignored then.
    pub fn note_life(&mut self, instance: &InstanceId, born_ms: u64) -> bool {
        let Some(engine) = self.engines.get_mut(instance) else {
            return false;
        };
        let told = Heartbeat {
            born_ms,
            sequence: 0,
        };
        let is_later = told.is_of_later_start(engine.record.heartbeat);
        if is_later {
            engine.record.heartbeat = told;
            engine.begin_life();
        }
        is_later
    }

    /// Forgets an engine whose record is gone since that revision; tells whether
    /// it was news.
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

    /// Known engines that a list of records lacks.
    pub fn missing_in(&self, records: &[EngineRecord]) -> Vec<InstanceId> {
        let listed: HashSet<&InstanceId> = records.iter().map(|record| &record.instance).collect();
        let known = self.engines.keys();
        let missing = known.filter(|known| !listed.contains(known));
        missing.cloned().collect()
    }

    /// One engine.
    pub fn get(&self, instance: &InstanceId) -> Option<&Engine> {
        self.engines.get(instance)
    }

    /// Whether an engine is about to end and wants no new work, by its record or by its
    /// own answers.
    pub fn is_leaving(&self, engine: &Engine) -> bool {
        engine.record.is_leaving || self.leaving_notice(engine).is_some()
    }

    /// An engine's notice, in an answer, that it leaves.
    pub fn leaving_notice(&self, engine: &Engine) -> Option<LeavingNotice> {
        self.notices.leaving(engine.tag, engine.record.heartbeat)
    }

    /// The backoff that an engine asked for, while it lasts.
    pub fn backoff(&self, engine: &Engine, now: Millis) -> Option<Backoff> {
        self.notices
            .backoff(engine.tag, engine.record.heartbeat, now)
    }

    /// Engines of a service that are passed over for what they said in answers.
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

    /// Forgets notices that do not hold any more.
    pub fn expire_notices(&mut self, now: Millis) {
        let (by_tag, engines) = (&self.by_tag, &self.engines);
        let heartbeat_of = |tag| {
            let engine = engines.get(by_tag.get(&tag)?)?;
            Some(engine.record.heartbeat)
        };
        self.notices.expire(heartbeat_of, now);
    }

    /// The engines of a service in the order of their instances.
    pub fn of_service<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a Engine> {
        let index = self.by_service.get(service).into_iter();
        let instances = index.flat_map(ServiceIndex::instances);
        instances.filter_map(|instance| self.engines.get(instance))
    }

    /// The engines of a service, in the orders of a choice; nothing when it has none.
    pub fn service_index(&self, service: &ServiceName) -> Option<&ServiceIndex> {
        self.by_service.get(service)
    }

    /// Engines of a service.
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

    /// A request with so many prompt tokens is about to be sent.
    pub fn begin(&mut self, instance: &InstanceId, prompt_tokens: u64, now: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.in_flight += 1;
            engine.waiting_tokens += prompt_tokens;
            engine.health.on_begin(now);
        }
    }

    /// The engine has begun to answer: the prompt was read.
    pub fn first_answer(&mut self, instance: &InstanceId, prompt_tokens: u64) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.waiting_tokens = engine.waiting_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// The request is over. `unanswered_tokens` are those that
    /// [`EngineCatalogue::first_answer`] has not taken off.
    pub fn end(&mut self, instance: &InstanceId, unanswered_tokens: u64) {
        self.first_answer(instance, unanswered_tokens);
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.in_flight = engine.in_flight.saturating_sub(1);
        }
    }

    /// Takes in how a request went.
    pub fn note_outcome(&mut self, instance: &InstanceId, outcome: Outcome, now: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.health.on_outcome(outcome, now);
        }
    }

    /// The engine takes no connection; requests go elsewhere until then.
    pub fn put_aside(&mut self, instance: &InstanceId, until: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.health.put_aside(until);
        }
    }

    /// The engine takes connections again.
    pub fn allow_trial(&mut self, instance: &InstanceId, now: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.health.allow_trial(now);
        }
    }

    /// The engine with this short name.
    pub fn by_tag(&self, tag: EngineTag) -> Option<&Engine> {
        self.engines.get(self.by_tag.get(&tag)?)
    }

    /// The engine said which weights it has.
    pub fn note_weights(&mut self, instance: &InstanceId, model: &str, version: u64) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.record.weights.insert(model.to_owned(), version);
        }
    }

    /// Another node had the engine load these weights; tells whether that was news.
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

    /// The engine is taken to be loading weights until then.
    pub fn note_loading(&mut self, instance: &InstanceId, until: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.loading_until = Some(until);
        }
    }

    /// The engine is slow until then, having just started. The first word stands.
    pub fn note_cold(&mut self, instance: &InstanceId, until: Millis) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.cold_until.get_or_insert(until);
        }
    }

    /// The engine has loaded.
    pub fn note_loaded(&mut self, instance: &InstanceId) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.loading_until = None;
        }
    }

    /// Another engine answered at this one's address.
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
