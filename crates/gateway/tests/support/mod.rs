//! A simulated site over loopback: its protocols, a store, engines and callers.
#![allow(dead_code)]

pub mod accept_queue;
pub mod caller;
pub mod deployment;
pub mod engine;
pub mod exclusive;
pub mod fleet;
pub mod links;
pub mod partition;
pub mod site;
pub mod store;
pub mod traffic;

use engine::StandInEngine;
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::settings::GatewaySettings;
use ploverlift_gateway::state::Gateway;
use serde_json::{json, Value};
use site::StandInSite;
use std::path::Path;
use std::sync::Arc;
use store::StandInStore;

/// A store and one gateway node.
pub struct Fixture {
    pub store: StandInStore,
    pub gateway: Arc<Gateway>,
    pub running: Option<RunningGateway>,
}

/// Settings of a node that uses this store; `more` is appended to the settings file.
pub fn settings(store: &StandInStore, name: &str, more: &str) -> GatewaySettings {
    let text = format!(
        "[node]\nname = \"{name}\"\nzone = \"z\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\n\
         [store]\naddress = \"{}\"\ntimeout_ms = 400\nconfiguration_watch_ms = 50\n\
         other_watch_ms = 500\n{more}",
        store.address
    );
    GatewaySettings::parse(&text, Path::new("test.toml")).expect("settings")
}

/// Starts a node that uses this store; `more` is appended to the settings file.
pub fn start_node(store: &StandInStore, name: &str, more: &str) -> RunningGateway {
    start(
        settings(store, name, more),
        Arc::new(StandInSite),
        silent_logger(),
    )
    .expect("start")
}

/// A route of the stored configuration.
pub fn route(host: &str, delivery: &str, service: &str, timeout_ms: u64) -> Value {
    json!({"host": host, "delivery": delivery, "service": service,
           "timeout_ms": timeout_ms, "objective_ms": 400, "max_attempts": 2})
}

/// The stored configuration that most tests use.
pub fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "keys": {"key-a": "tenant-a"},
        "routes": [
            route("safe.test", "safe", "app", 3_000),
            route("unsafe.test", "unsafe", "app", 3_000),
            route("stream.test", "stream", "llm", 3_000),
            route("resume.test", "resumable", "llm", 3_000),
            route("brief.test", "safe", "app", 120),
            route("patient.test", "unsafe", "app", 600_000),
            route("long.test", "resumable", "llm", 600_000),
        ],
    })
}

impl Fixture {
    /// Starts a node whose store has the usual configuration and these engines.
    pub async fn new(engines: &[&StandInEngine]) -> Self {
        Self::with(engines, configuration(1), "").await
    }

    /// Like [`Self::new`], with the given configuration and additional settings.
    pub async fn with(engines: &[&StandInEngine], configuration: Value, more: &str) -> Self {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration);
        for engine in engines {
            store.put("Engines", &engine.instance, engine.record());
        }
        let running = start_node(&store, "node", more);
        let fixture = Self {
            store,
            gateway: Arc::clone(&running.gateway),
            running: Some(running),
        };
        fixture.wait_until_ready().await;
        fixture
    }

    pub fn running(&self) -> &RunningGateway {
        self.running.as_ref().expect("a running node")
    }

    /// Probes the node until it is ready.
    pub async fn wait_until_ready(&self) {
        let address = self.running().readiness;
        while caller::get_status(address).await != 200 {}
    }

    /// Sends a request to the node.
    pub async fn send(&self, request: &caller::Request) -> caller::Answer {
        caller::send(self.running().callers, request).await
    }
}
