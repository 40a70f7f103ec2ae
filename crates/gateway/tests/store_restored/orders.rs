//! Orders to engines while the store comes back from copies.

use super::oracle::{given_orders, violations, Violations};
use super::support::deployment::Deployment;
use super::support::fleet::start_known_nodes_with;
use ploverlift_gateway::time::sleep;
use serde_json::json;
use std::time::{Duration, Instant};

/// Time between two looks at what is waited for, in milliseconds.
const POLL_PERIOD_MS: u64 = 10;
/// Time within which all engines must have new weights.
const LOADED_WITHIN: Duration = Duration::from_millis(8_000);
/// Time that one load takes.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Model engines of a deployment.
const ENGINES: usize = 12;
/// Engines that have new weights when the store is lost.
const LOADED_BEFORE: usize = 3;

/// Engines load two by two.
const TWO_LOADS_AT_ONCE: &str = "[weights]\nloads_at_once = 2\nloads_share = 0.0\nload_ms = 300\n\
                                 finish_ms = 60000\nreport_after_ms = 100\n";

/// Nodes before engines that have version 1 of the weights.
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

/// Waits until all engines have this version; tells how long that took.
async fn wait_until_loaded(deployment: &Deployment, version: u64) -> Duration {
    let began = Instant::now();
    let have_all_loaded = || {
        let mut engines = deployment.engines.iter();
        engines.all(|engine| engine.weights() >= version)
    };
    while !have_all_loaded() {
        assert!(began.elapsed() < LOADED_WITHIN, "version {version} is late");
        sleep(POLL_PERIOD_MS).await;
    }
    began.elapsed()
}

/// Names new weights; the store comes back from a copy from before while engines load them.
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

/// Two nodes gave engines orders under one fencing token after the store had lost the lease.
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

/// The same where nothing tells that the store has come back from a copy.
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
