//! Engines of two versions, an order for the newer one, and its status in the store.

use crate::support::caller::{self, request};
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::store::StandInStore;
use crate::support::{configuration, Fixture};
use ploverlift_gateway::assembly::RunningGateway;
use serde_json::{json, Value};

/// Bounds under which a rollout ends within seconds.
pub const SHORT_ROLLOUT_BOUNDS: &str = "[bounds]\ncanary_share = 0.6\ncanary_slack = 400\n";

/// Engines of the established version and of the ordered one.
pub struct Versions {
    pub old: Vec<StandInEngine>,
    pub new: Vec<StandInEngine>,
}

impl Versions {
    pub async fn of_service(service: &str) -> Self {
        let mut versions = Self {
            old: Vec::new(),
            new: Vec::new(),
        };
        for index in 0..2 {
            let (old, new) = (format!("old-{index}"), format!("new-{index}"));
            let old = StandInEngine::of_software(&old, service, "v1").await;
            versions.old.push(old);
            let new = StandInEngine::of_software(&new, service, "v2").await;
            versions.new.push(new);
        }
        versions
    }

    /// Engines of both versions, and a node that knows the old ones.
    pub async fn with_node() -> (Self, Fixture) {
        let versions = Self::of_service("app").await;
        let old: Vec<&StandInEngine> = versions.old.iter().collect();
        let fixture = Fixture::with(&old, configuration(1), SHORT_ROLLOUT_BOUNDS).await;
        (versions, fixture)
    }

    pub fn arrivals(engines: &[StandInEngine]) -> usize {
        engines.iter().map(|engine| engine.arrivals()).sum()
    }

    pub fn set_new(&self, behaviour: Behaviour) {
        for engine in &self.new {
            engine.set(behaviour.clone());
        }
    }
}

pub fn order(target: &str, duration_ms: u64) -> Value {
    json!({"service": "app", "to": target, "ms": duration_ms})
}

pub fn record_engines(store: &StandInStore, engines: &[StandInEngine]) {
    for engine in engines {
        store.put("Engines", &engine.instance, engine.record());
    }
}

pub fn state(store: &StandInStore) -> Option<String> {
    let status = store.status("Rollouts", "app")?;
    Some(status["state"].as_str().unwrap_or_default().to_owned())
}

pub async fn wait_for_state(store: &StandInStore, node: &RunningGateway, wanted: &str) {
    while state(store).as_deref() != Some(wanted) {
        // A request to the node lets its tasks run.
        caller::get_status(node.readiness).await;
    }
}

/// Waits until `more` further requests have arrived at the engines.
pub async fn wait_for_arrivals(node: &RunningGateway, engines: &[StandInEngine], more: usize) {
    let before = Versions::arrivals(engines);
    while Versions::arrivals(engines) < before + more {
        caller::get_status(node.readiness).await;
    }
}

pub async fn wait_until_ready(node: &RunningGateway) {
    while caller::get_status(node.readiness).await != 200 {}
}

/// The stored status of an ended rollout to `v2`.
pub fn ended_status(state: &str, stage: &str) -> Value {
    let progress = format!(
        "rollout/1 rollout=3 epoch=9 duration_ms=6000 elapsed_ms=5000 requests=900 \
         target_arrivals=80 credits=60 avoided= established=v1 stage={stage}"
    );
    json!({"state": state, "to": "v2", "progress": progress})
}

pub async fn send_requests(fixture: &Fixture, count: usize) {
    for index in 0..count {
        let answer = fixture
            .send(&request("safe.test", &format!("r-{index}")))
            .await;
        assert_eq!(answer.status(), 200);
    }
}
