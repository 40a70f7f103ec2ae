//! A node's view of each engine: identity, health, load and cache age.

use crate::ids::{EngineName, Incarnation, Millis, WeightsVersion, ZoneName};
use crate::labels::Labels;
use crate::objects::{MachineRole, MachineState};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A hash of an engine's name: the compact form used in tables and messages.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EngineKey(pub u64);

impl EngineKey {
    /// The key of an engine's name.
    pub fn of(name: &EngineName) -> Self {
        Self(xxh3_64(name.0.as_bytes()))
    }
}

/// A position in [`Fleet`]; valid until the fleet's machine list changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineIndex(pub u32);

/// Whether an engine may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Listed and not yet observed.
    #[default]
    Unknown,
    /// Answers its observers.
    Ready,
    /// Loads weights and serves no requests until that is done.
    Loading,
    /// Reported as leaving by itself or by the machine list.
    Leaving,
    /// Did not answer its observers.
    Dead,
}

/// The load that an engine last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting for a slot in the batch.
    pub waiting: u32,
    /// Slots in the batch; zero when unknown.
    pub slots: u32,
    /// Prompt tokens not yet prefilled.
    pub queued_tokens: u32,
    /// Time since the last use of the block that was evicted last, in milliseconds; zero
    /// before the first eviction.
    pub eviction_age_ms: u32,
}

/// One engine as a node sees it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name in the machine list.
    pub name: EngineName,
    /// Hash of the name.
    pub key: EngineKey,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Failure domain.
    pub zone: ZoneName,
    /// Labels for selectors.
    pub labels: Labels,
    /// Model engine or plain service.
    pub role: MachineRole,
    /// State in the machine list.
    pub listed: MachineState,
    /// The engine's incarnation; zero until it is first observed.
    pub incarnation: Incarnation,
    /// Weights version that the engine serves.
    pub weights: WeightsVersion,
    /// Health as reported by its observers.
    pub health: Health,
    /// No report from any of its observers arrived lately. Its state may be stale, and the
    /// engine is used only when no other is eligible.
    pub unobserved: bool,
    /// Last load report.
    pub load: LoadReport,
    /// When the last load report arrived.
    pub reported_at: Millis,
    /// Requests of this node that no load report can include yet.
    pub unreported: UnreportedSends,
    /// In-flight requests of this node.
    pub in_flight: u32,
    /// Age at which blocks were recently evicted from the cache, in milliseconds.
    pub eviction_age_ms: u64,
}

/// Requests that were sent too recently to be included in a load report.
#[derive(Clone, Debug, Default)]
pub struct UnreportedSends {
    sends: VecDeque<(Millis, u32)>,
    tokens: u32,
}

/// Most sends that are recorded for one engine; further ones are added to the last entry.
const MAX_UNREPORTED_SENDS: usize = 64;
/// Age of the engine state that a load report shows on arrival, in milliseconds.
pub const REPORT_AGE_MS: u64 = 60;

impl UnreportedSends {
    /// Adds a request with `uncached_tokens` tokens to prefill.
    pub fn add(&mut self, uncached_tokens: u32, now: Millis) {
        self.tokens = self.tokens.saturating_add(uncached_tokens);
        let full = self.sends.len() >= MAX_UNREPORTED_SENDS;
        match self.sends.back_mut() {
            Some((_, last)) if full => {
                *last = last.saturating_add(uncached_tokens);
            }
            _ => self.sends.push_back((now, uncached_tokens)),
        }
    }

    /// Removes the requests that a load report received at `now` includes: those sent at
    /// least [`REPORT_AGE_MS`] earlier.
    pub fn on_load_report(&mut self, now: Millis) {
        while let Some((sent_at, tokens)) = self.sends.front().copied() {
            if now.since(sent_at) < REPORT_AGE_MS {
                return;
            }
            self.sends.pop_front();
            self.tokens = self.tokens.saturating_sub(tokens);
        }
    }

    /// Uncached tokens of all recorded requests.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Number of recorded sends.
    pub fn requests(&self) -> u32 {
        self.sends.len() as u32
    }
}

/// Assumed eviction age of a cached block until an eviction is observed, in milliseconds.
pub const DEFAULT_EVICTION_AGE_MS: u64 = 30_000;

/// An engine's entry in the machine list.
#[derive(Clone, Debug)]
pub struct ListedEngine {
    /// Name.
    pub name: EngineName,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Failure domain.
    pub zone: ZoneName,
    /// Labels for selectors.
    pub labels: Labels,
    /// Model engine or plain service.
    pub role: MachineRole,
    /// Whether it may get new work.
    pub state: MachineState,
}

impl From<ListedEngine> for Engine {
    /// Creates a listed engine that has not been observed yet.
    fn from(listed: ListedEngine) -> Self {
        Self {
            key: EngineKey::of(&listed.name),
            name: listed.name,
            address: listed.address,
            zone: listed.zone,
            labels: listed.labels,
            role: listed.role,
            listed: listed.state,
            incarnation: Incarnation(0),
            weights: WeightsVersion(0),
            health: Health::Unknown,
            unobserved: false,
            load: LoadReport::default(),
            reported_at: Millis(0),
            unreported: UnreportedSends::default(),
            in_flight: 0,
            eviction_age_ms: DEFAULT_EVICTION_AGE_MS,
        }
    }
}

impl Engine {
    /// Whether new requests may be sent to this engine.
    pub fn takes_work(&self) -> bool {
        let listed = self.listed == MachineState::Live;
        listed && matches!(self.health, Health::Ready | Health::Unknown)
    }
}

/// An observer's report on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineObservation {
    /// The engine.
    pub key: EngineKey,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Weights version that it serves.
    pub weights: WeightsVersion,
    /// Its health.
    pub health: Health,
    /// Its load.
    pub load: LoadReport,
}

/// The effect of an observation on the eligibility of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationEffect {
    /// At most the load changed.
    LoadOnly,
    /// Health or weights changed: candidate lists must be rebuilt.
    Eligibility,
    /// The engine restarted: its cache is empty and candidate lists must be rebuilt.
    Restarted,
    /// The observation was of an earlier incarnation or an unknown engine and was dropped.
    Stale,
}

/// All engines in the machine list.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    engines: Vec<Engine>,
    by_key: HashMap<EngineKey, EngineIndex>,
}

impl Fleet {
    /// Adds an engine, or updates the listed properties of a known one.
    pub fn upsert(&mut self, engine: Engine) -> EngineIndex {
        if let Some(index) = self.by_key.get(&engine.key).copied() {
            let known = &mut self.engines[index.0 as usize];
            known.address = engine.address;
            known.zone = engine.zone;
            known.labels = engine.labels;
            known.role = engine.role;
            known.listed = engine.listed;
            return index;
        }
        let index = EngineIndex(self.engines.len() as u32);
        self.by_key.insert(engine.key, index);
        self.engines.push(engine);
        index
    }

    /// Removes every engine for which `keep` returns false. Indices change.
    pub fn retain(&mut self, keep: impl Fn(&Engine) -> bool) {
        self.engines.retain(keep);
        self.by_key = self
            .engines
            .iter()
            .enumerate()
            .map(|(position, engine)| (engine.key, EngineIndex(position as u32)))
            .collect();
    }

    /// The engine at `index`.
    ///
    /// # Panics
    /// When `index` comes from another fleet or from before a removal.
    pub fn get(&self, index: EngineIndex) -> &Engine {
        &self.engines[index.0 as usize]
    }

    /// Mutable access to the engine at `index`.
    ///
    /// # Panics
    /// When `index` comes from another fleet or from before a removal.
    pub fn get_mut(&mut self, index: EngineIndex) -> &mut Engine {
        &mut self.engines[index.0 as usize]
    }

    /// Finds an engine by the hash of its name.
    pub fn find(&self, key: EngineKey) -> Option<EngineIndex> {
        self.by_key.get(&key).copied()
    }

    /// All engines with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (EngineIndex, &Engine)> {
        self.engines
            .iter()
            .enumerate()
            .map(|(position, engine)| (EngineIndex(position as u32), engine))
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Applies an observer's report.
    pub fn observe(&mut self, observation: &EngineObservation, now: Millis) -> ObservationEffect {
        let Some(index) = self.find(observation.key) else {
            return ObservationEffect::Stale;
        };
        let engine = self.get_mut(index);
        if observation.incarnation < engine.incarnation {
            return ObservationEffect::Stale;
        }
        let is_first_observation = engine.incarnation == Incarnation(0);
        let is_restart = observation.incarnation > engine.incarnation && !is_first_observation;
        let changes_eligibility =
            observation.health != engine.health || observation.weights != engine.weights;
        engine.incarnation = observation.incarnation;
        engine.weights = observation.weights;
        engine.health = observation.health;
        engine.load = observation.load;
        engine.reported_at = now;
        engine.unreported.on_load_report(now);
        if observation.load.eviction_age_ms > 0 {
            engine.eviction_age_ms = u64::from(observation.load.eviction_age_ms);
        }
        if is_restart {
            ObservationEffect::Restarted
        } else if changes_eligibility || is_first_observation {
            ObservationEffect::Eligibility
        } else {
            ObservationEffect::LoadOnly
        }
    }

    /// Sets whether an engine lacks recent reports from its observers. Returns whether that
    /// changed.
    pub fn set_unobserved(&mut self, index: EngineIndex, unobserved: bool) -> bool {
        let engine = self.get_mut(index);
        let is_changed = engine.unobserved != unobserved;
        engine.unobserved = unobserved;
        is_changed
    }

    /// Counts a request that this node sends to an engine.
    pub fn record_sent(&mut self, index: EngineIndex, uncached_tokens: u32, now: Millis) {
        let engine = self.get_mut(index);
        engine.unreported.add(uncached_tokens, now);
        engine.in_flight = engine.in_flight.saturating_add(1);
    }

    /// Counts the end of a request of this node.
    pub fn record_done(&mut self, key: EngineKey) {
        if let Some(index) = self.find(key) {
            let engine = self.get_mut(index);
            engine.in_flight = engine.in_flight.saturating_sub(1);
        }
    }
}
