//! One engine, as its record and this node's own traffic show it.

use crate::engine_notices::EngineLife;
use crate::health::EngineHealth;
use crate::heartbeat::Heartbeat;
use crate::names::{EngineTag, InstanceId, ModelTag};
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What an engine says of itself in the catalogue.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRecord {
    /// The engine.
    pub instance: InstanceId,
    /// Revision of the record's last change.
    pub revision: u64,
    /// The heartbeat that wrote it.
    pub heartbeat: Heartbeat,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// The version of its software; versions that are not told are all alike.
    pub software: SoftwareVersion,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Time for which it stays slow after its start, as the record told, in
    /// milliseconds.
    pub cold_ms: u64,
    /// Whether it is about to end and wants no new work.
    pub is_leaving: bool,
    /// The version of each model's weights.
    pub weights: BTreeMap<String, u64>,
}

/// The weights that an engine has loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadedWeights {
    /// The engine.
    pub engine: EngineTag,
    /// The model.
    pub model: ModelTag,
    /// The version.
    pub version: u64,
}

/// An engine with what this node knows of it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its record.
    pub record: EngineRecord,
    /// Its short name between nodes.
    pub tag: EngineTag,
    /// Requests of this node at the engine.
    pub in_flight: u32,
    /// Prompt tokens of those requests that have not answered yet.
    pub waiting_tokens: u64,
    /// How its answers have been.
    pub health: EngineHealth,
    /// Until when it is taken to be loading weights.
    pub loading_until: Option<Millis>,
    /// Until when it is slow after its start.
    pub cold_until: Option<Millis>,
    /// Until when its address is taken to lead to another engine.
    pub misdirected_until: Option<Millis>,
}

impl Engine {
    /// An engine of which no traffic has shown anything.
    pub(crate) fn new(record: EngineRecord) -> Self {
        Self {
            tag: EngineTag::of(&record.instance),
            record,
            in_flight: 0,
            waiting_tokens: 0,
            health: EngineHealth::default(),
            loading_until: None,
            cold_until: None,
            misdirected_until: None,
        }
    }

    /// Takes in a newer record.
    pub(crate) fn update(&mut self, record: EngineRecord) {
        let known = std::mem::replace(&mut self.record, record);
        self.misdirected_until = None;
        if self.record.heartbeat.is_of_later_start(known.heartbeat) {
            self.begin_life();
            return;
        }
        if known.heartbeat.born_ms == self.record.heartbeat.born_ms {
            // An older heartbeat that it leaves makes those between no newer.
            let sequence = &mut self.record.heartbeat.sequence;
            *sequence = known.heartbeat.sequence.max(*sequence);
        }
        for (model, version) in known.weights {
            let entry = self.record.weights.entry(model).or_insert(version);
            *entry = version.max(*entry);
        }
    }

    /// The engine has started again: nothing that was seen of its former life holds but
    /// that requests of this node are on their way to it.
    pub(crate) fn begin_life(&mut self) {
        self.health = EngineHealth::default();
        self.loading_until = None;
        self.cold_until = None;
        self.misdirected_until = None;
    }

    /// Its present life, as notices name it.
    pub fn life(&self) -> EngineLife {
        EngineLife {
            engine: self.tag,
            born_ms: self.record.heartbeat.born_ms,
        }
    }

    /// The version of a model's weights, 0 when it does not serve the model.
    pub fn weights_of(&self, model: &str) -> u64 {
        self.record.weights.get(model).copied().unwrap_or(0)
    }

    /// Whether it is slow because it has just started.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Whether its address is taken to lead to another engine.
    pub fn is_misdirected(&self, now: Millis) -> bool {
        self.misdirected_until.is_some_and(|until| now < until)
    }

    /// Whether it is taken to be loading weights.
    pub fn is_loading(&self, now: Millis) -> bool {
        self.loading_until.is_some_and(|until| now < until)
    }
}
