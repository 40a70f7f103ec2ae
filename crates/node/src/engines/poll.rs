//! Observes engines: health, incarnation, weights and load.

use crate::state::Node;
use futures_lite::{future, AsyncReadExt};
use ploverlift_cluster::engine_watch::{POLL_PERIOD_MS, POLL_TIMEOUT_MS};
use ploverlift_policy::fleet::{EngineKey, EngineObservation, Health, LoadReport};
use ploverlift_policy::ids::{Incarnation, Millis, WeightsVersion};
use smol::Timer;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use trillium_client::Client;
use trillium_http::transport::BoxedTransport;
use trillium_http::ReceivedBody;
use trillium_smol::ClientConfig;

/// Largest page of metrics that is read, in bytes.
const MAX_METRICS_BYTES: u64 = 256 * 1024;

/// Prometheus names of the gauges that engines report.
mod gauge {
    pub const RUNNING: &str = "vllm:num_requests_running";
    pub const WAITING: &str = "vllm:num_requests_waiting";
    pub const SLOTS: &str = "engine_batch_slots";
    pub const QUEUED_TOKENS: &str = "engine_queued_prompt_tokens";
    pub const EVICTION_AGE_MS: &str = "engine_cache_eviction_age_ms";
    pub const INCARNATION: &str = "engine_incarnation";
    pub const WEIGHTS: &str = "engine_weights_version";
    pub const LEAVING: &str = "engine_leaving";
    pub const LOADING: &str = "engine_loading";
}

#[derive(Clone, Debug)]
struct Target {
    key: EngineKey,
    address: SocketAddr,
}

/// Looks at the engines that this node observes again and again until the task is dropped.
pub async fn poll_engines(node: Arc<Node>) {
    let client = Client::new(ClientConfig::new().with_nodelay(true));
    loop {
        let targets = targets(&node);
        let looks = targets.into_iter().map(|target| {
            let client = client.clone();
            let looked_at = node.clock.now();
            smol::spawn(async move { (look(&client, &target).await, looked_at, target) })
        });
        for task in looks.collect::<Vec<_>>() {
            let (seen, looked_at, target) = task.await;
            record(&node, &target, seen, looked_at);
        }
        Timer::after(Duration::from_millis(POLL_PERIOD_MS)).await;
    }
}

fn targets(node: &Node) -> Vec<Target> {
    let engines = node.with_core(|core, _| core.engines_to_observe());
    engines
        .into_iter()
        .map(|engine| Target {
            key: engine.key,
            address: engine.address,
        })
        .collect()
}

fn record(node: &Node, target: &Target, seen: Option<EngineObservation>, looked_at: Millis) {
    node.with_core(|core, now| match seen {
        Some(observation) => core.record_observation(observation, looked_at, now),
        None => core.record_failed_poll(target.key, now),
    });
}

async fn look(client: &Client, target: &Target) -> Option<EngineObservation> {
    let url = format!("http://{}/metrics", target.address);
    let read = async {
        let conn = client.get(url).await.ok()?;
        let body: ReceivedBody<'static, BoxedTransport> = conn.into();
        let mut text = String::new();
        let mut limited = body.take(MAX_METRICS_BYTES);
        limited.read_to_string(&mut text).await.ok()?;
        Some(observation_of(target.key, &text))
    };
    let timeout = async {
        Timer::after(Duration::from_millis(POLL_TIMEOUT_MS)).await;
        None
    };
    future::or(read, timeout).await
}

/// Reads an observation from a page of Prometheus metrics. Gauges that are
/// missing count as zero.
pub fn observation_of(key: EngineKey, page: &str) -> EngineObservation {
    let gauges = read_gauges(page);
    let value = |name: &str| gauges.get(name).copied().unwrap_or(0.0);
    let health = if value(gauge::LEAVING) > 0.0 {
        Health::Leaving
    } else if value(gauge::LOADING) > 0.0 {
        Health::Loading
    } else {
        Health::Ready
    };
    EngineObservation {
        key,
        incarnation: Incarnation((value(gauge::INCARNATION) as u64).max(1)),
        weights: WeightsVersion(value(gauge::WEIGHTS) as u64),
        health,
        load: LoadReport {
            running: value(gauge::RUNNING) as u32,
            waiting: value(gauge::WAITING) as u32,
            slots: value(gauge::SLOTS) as u32,
            queued_tokens: value(gauge::QUEUED_TOKENS) as u32,
            eviction_age_ms: value(gauge::EVICTION_AGE_MS) as u32,
        },
    }
}

fn read_gauges(page: &str) -> HashMap<&str, f64> {
    let lines = page.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| {
            let (series, value) = line.rsplit_once(' ')?;
            let name = series.split('{').next()?;
            Some((name, value.parse().ok()?))
        })
        .collect()
}
