//! Load orders to engines while the store is restored from a copy.

use super::oracle::{given_orders, violations, Violations};
use super::support::deployment::Deployment;
use super::support::fleet::start_known_nodes_with;
use ploverlift_gateway::time::sleep;
use serde_json::json;
use std::time::{Duration, Instant};

/// Polling period of conditions, in milliseconds.
const POLL_PERIOD_MS: u64 = 10;
/// Time within which all engines must have new weights.
const LOADED_WITHIN: Duration = Duration::from_millis(8_000);
/// Duration of one load.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Number of model engines of a deployment.
const ENGINES: usize = 12;
/// Number of engines that have new weights when the store is restored.
const LOADED_BEFORE: usize = 3;

/// Settings with which two engines load at a time.
const TWO_LOADS_AT_ONCE: &str = "[weights]\nloads_at_once = 2\nloads_share = 0.0\nload_ms = 300\n\
                                 finish_ms = 60000\nreport_after_ms = 100\n";

/// A deployment whose engines have version 1 of the weights.
async fn deployment(nodes: usize, tells_era: bool) -> Deployment {
    let mut deployment = Deployment::new(ENGINES).await;
    if tells_era {
        deployment.store.tell_era();
    }
    name_weights(&deployment, 1);
    for engine in &deployment.engines {
        engine.set_load_time(LOAD_TIME);
    }
    deployment.nodes = start_known_nodes_with(&deployment.store, nodes, TWO_LOADS_AT_ONCE).await;
    deployment
}

fn name_weights(deployment: &Deployment, version: u64) {
    deployment
        .store
        .put("Weights", "m", json!({"version": version}));
}

/// Waits until all engines have this version and returns the elapsed time.
async fn wait_until_loaded(deployment: &Deployment, version: u64) -> Duration {
    let began = Instant::now();
    let have_all_loaded = || {
        let mut engines = deployment.engines.iter();
        engines.all(|engine| engine.weights() >= version)
    };
    while !have_all_loaded() {
        assert!(
            began.elapsed() < LOADED_WITHIN,
            "version {version} was not loaded in time"
        );
        sleep(POLL_PERIOD_MS).await;
    }
    began.elapsed()
}

/// Names new weights, and restores the store from an earlier copy while engines load them.
async fn restore_during_loads(deployment: &Deployment) {
    let copy = deployment.store.copy();
    name_weights(deployment, 2);
    let loaded = || {
        let engines = deployment.engines.iter();
        engines.filter(|engine| engine.weights() == 2).count()
    };
    while loaded() < LOADED_BEFORE {
        sleep(POLL_PERIOD_MS).await;
    }
    deployment.store.restore(&copy);
    name_weights(deployment, 2);
}

/// Guards against two nodes that send orders with the same fencing token after the store has
/// lost the lease.
#[test]
fn no_two_nodes_share_a_fencing_token_if_the_store_loses_the_lease() {
    smol::block_on(async {
        let deployment = deployment(3, true).await;
        restore_during_loads(&deployment).await;
        wait_until_loaded(&deployment, 2).await;
        let orders = given_orders(&deployment.engines);
        assert_eq!(violations(&orders), Violations::default(), "{orders:#?}");
    });
}

/// The same if the store does not report an era, so that no node can detect the restoration.
#[test]
fn no_two_nodes_share_a_fencing_token_if_the_store_loses_the_lease_without_an_era() {
    smol::block_on(async {
        let deployment = deployment(3, false).await;
        restore_during_loads(&deployment).await;
        wait_until_loaded(&deployment, 2).await;
        let orders = given_orders(&deployment.engines);
        assert_eq!(violations(&orders), Violations::default(), "{orders:#?}");
    });
}
