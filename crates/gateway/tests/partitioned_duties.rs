//! Duties of one node at a time whose holder is partitioned from engines.

mod support;

use ploverlift_balancing::names::EngineTag;
use ploverlift_gateway::leases::LeaseName;
use ploverlift_gateway::time::sleep;
use serde_json::json;
use std::time::{Duration, Instant};
use support::engine::{Behaviour, StandInEngine};
use support::links::Cut;
use support::partition::PartitionableSite;
use support::traffic::Traffic;

/// Interval between two requests to one node, in milliseconds.
const PERIOD_MS: u64 = 25;
/// Polling interval, in milliseconds.
const POLL_MS: u64 = 20;
/// Time within which all engines have new weights that were named during a partition of the
/// holder: the site's usual bound.
const WEIGHTS_BOUND: Duration = Duration::from_secs(8);

/// Index of the node that holds the lease on load orders.
fn holder(site: &PartitionableSite) -> Option<usize> {
    site.nodes.iter().position(|node| {
        let beliefs = node.gateway.beliefs();
        beliefs.leases.of(LeaseName::Weights).held.is_some()
    })
}

fn all_have(engines: &[StandInEngine], version: u64) -> bool {
    engines.iter().all(|engine| engine.weights() >= version)
}

async fn name_weights(site: &PartitionableSite, version: u64) {
    site.store.put("Weights", "m", json!({"version": version}));
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(POLL_MS).await;
    }
}

// Guards against a holder of the lease on load orders that keeps it while it reaches no engine, so
// that new weights get late.
#[test]
fn a_holder_that_is_cut_off_from_engines_does_not_delay_new_weights() {
    smol::block_on(async {
        let site = PartitionableSite::start(3, 3, Behaviour::Answer).await;
        let traffic = Traffic::start(site.nodes.iter().map(|node| node.callers), PERIOD_MS);
        for engine in &site.engines {
            engine.set_load_time(Duration::from_millis(400));
        }
        name_weights(&site, 2).await;
        wait_until(|| holder(&site).is_some()).await;
        let first = holder(&site).expect("a holder");
        site.cut(&[first], &site.all_engines(), Cut::Hang).await;
        name_weights(&site, 3).await;
        let named_at = Instant::now();
        wait_until(|| all_have(&site.engines, 3)).await;
        let took = named_at.elapsed();
        assert!(took <= WEIGHTS_BOUND, "loaded after {took:?}");
        drop(traffic);
    });
}

// Guards against a node that ejects the engines that it alone does not reach because its calls
// for cache events fail.
#[test]
fn a_follower_that_is_cut_off_follows_the_caches_through_peers() {
    smol::block_on(async {
        let site = PartitionableSite::start_with(2, 2, Behaviour::Answer, |configuration| {
            configuration["event_calls"] = json!(8);
        })
        .await;
        let traffic = Traffic::start(site.nodes.iter().map(|node| node.callers), PERIOD_MS);
        let follows = |node: usize, engine: usize| {
            let tag = EngineTag::of(&site.instance(engine));
            let beliefs = site.nodes[node].gateway.beliefs();
            beliefs.engine_caches.of(tag).is_some()
        };
        let all = || (0..2).all(|node| (0..2).all(|engine| follows(node, engine)));
        wait_until(all).await;
        site.cut(&[0], &[0, 1], Cut::Reset).await;
        wait_until(|| !follows(0, 0) || !follows(0, 1)).await;
        wait_until(all).await;
        drop(traffic);
    });
}
