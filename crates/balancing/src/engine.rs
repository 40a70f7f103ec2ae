//! One engine, as known from its record and from this node's own traffic.

use crate::connection_window::ConnectionWindow;
use crate::engine_notices::EngineLife;
use crate::health::EngineHealth;
use crate::heartbeat::Heartbeat;
use crate::names::{EngineTag, InstanceId, ModelTag};
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The record that an engine publishes of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRecord {
    /// The engine.
    pub instance: InstanceId,
    /// Store revision of the record's last change.
    pub revision: u64,
    /// The heartbeat that wrote the record.
    pub heartbeat: Heartbeat,
    /// The service that the engine belongs to.
    pub service: ServiceName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// The version of its software; all engines that do not report one count as equal.
    pub software: SoftwareVersion,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Time for which it stays slow after its start, according to the record, in
    /// milliseconds.
    pub cold_ms: u64,
    /// Whether it is shutting down and accepts no new work.
    pub is_leaving: bool,
    /// The version of its weights by model.
    pub weights: BTreeMap<String, u64>,
}

/// A version of a model's weights that an engine has loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadedWeights {
    /// The engine.
    pub engine: EngineTag,
    /// The model.
    pub model: ModelTag,
    /// The version.
    pub version: u64,
}

/// An engine's record and the state that this node keeps of it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its record.
    pub record: EngineRecord,
    /// Its tag in messages between nodes.
    pub tag: EngineTag,
    /// Number of this node's requests in flight at the engine.
    pub in_flight: u32,
    /// Prompt tokens of those requests for which no answer has begun yet.
    pub waiting_tokens: u64,
    /// Its health, judged by the outcomes of requests.
    pub health: EngineHealth,
    /// This node's connections to it.
    pub connections: ConnectionWindow,
    /// The time until which it is considered to be loading weights.
    pub loading_until: Option<Millis>,
    /// The time until which it is slow after its start.
    pub cold_until: Option<Millis>,
    /// The time until which its address is considered to lead to a different engine.
    pub misdirected_until: Option<Millis>,
}

impl Engine {
    /// An engine that this node has sent no traffic to yet.
    pub(crate) fn new(record: EngineRecord) -> Self {
        Self {
            tag: EngineTag::of(&record.instance),
            record,
            in_flight: 0,
            waiting_tokens: 0,
            health: EngineHealth::default(),
            connections: ConnectionWindow::default(),
            loading_until: None,
            cold_until: None,
            misdirected_until: None,
        }
    }

    /// Replaces the record by a newer one.
    pub(crate) fn update(&mut self, record: EngineRecord) {
        let known = std::mem::replace(&mut self.record, record);
        self.misdirected_until = None;
        if self.record.heartbeat.is_of_later_start(known.heartbeat) {
            self.begin_life();
            return;
        }
        if known.heartbeat.born_ms == self.record.heartbeat.born_ms {
            // An older heartbeat is accepted when it reports that the engine leaves. The
            // highest sequence is kept, so that heartbeats in between do not count as newer.
            let sequence = &mut self.record.heartbeat.sequence;
            *sequence = known.heartbeat.sequence.max(*sequence);
        }
        for (model, version) in known.weights {
            let entry = self.record.weights.entry(model).or_insert(version);
            *entry = version.max(*entry);
        }
    }

    /// The engine has restarted: resets all state of its former life, except for the counts
    /// of this node's requests in flight.
    pub(crate) fn begin_life(&mut self) {
        self.health = EngineHealth::default();
        self.connections.begin_life();
        self.loading_until = None;
        self.cold_until = None;
        self.misdirected_until = None;
    }

    /// Its current life, as identified in notices.
    pub fn life(&self) -> EngineLife {
        EngineLife {
            engine: self.tag,
            born_ms: self.record.heartbeat.born_ms,
        }
    }

    /// The version of a model's weights; 0 when the engine does not serve the model.
    pub fn weights_of(&self, model: &str) -> u64 {
        self.record.weights.get(model).copied().unwrap_or(0)
    }

    /// Whether it is slow because it has just started.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Whether its address is considered to lead to a different engine.
    pub fn is_misdirected(&self, now: Millis) -> bool {
        self.misdirected_until.is_some_and(|until| now < until)
    }

    /// Whether it is considered to be loading weights.
    pub fn is_loading(&self, now: Millis) -> bool {
        self.loading_until.is_some_and(|until| now < until)
    }
}
