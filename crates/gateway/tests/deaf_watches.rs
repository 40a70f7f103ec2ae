//! Watches to which the store delivers no events: changes are known within their bounds,
//! however long the watch would have waited.

mod support;

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::logging::silent_logger;
use ploverlift_routing::configuration::ServiceName;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::caller::{self, request};
use support::engine::{Behaviour, StandInEngine};
use support::site::StandInSite;
use support::store::{StandInStore, StoreFault};
use support::{configuration, settings};

/// Wait of watches, in milliseconds, longer than any bound.
const LONG_WATCH_MS: u64 = 20_000;
/// Bound on leaving engines, in milliseconds, with a margin for a busy machine.
const LEAVING_MS: u64 = 3_000;
/// Bound on the roll-back of a bad version, in milliseconds.
const ROLL_BACK_MS: u64 = 5_000;
/// Bounds so long that no watch ends on its own during a test.
const LONG_BOUNDS: &str = "[bounds]\nleaving_engine_ms = 60000\nroll_back_ms = 60000\n";
/// Number of watches of a node: configuration, engines, weights, orders.
const WATCHES: u64 = 4;
/// Number of leases that a node reads when it starts.
const LEASES: u64 = 2;

/// A ready node whose watches receive no events.
async fn start_deaf(store: &StandInStore, fault_at_start: StoreFault) -> RunningGateway {
    store.set_fault(fault_at_start);
    let bounds =
        format!("[bounds]\nleaving_engine_ms = {LEAVING_MS}\nroll_back_ms = {ROLL_BACK_MS}\n");
    let mut settings = settings(store, "node", &bounds);
    settings.store.other_watch_ms = LONG_WATCH_MS;
    let node = start(settings, Arc::new(StandInSite), silent_logger()).expect("start");
    while caller::get_status(node.readiness).await != 200 {}
    node
}

/// Waits until a condition holds for a node; fails after a bound.
async fn assert_within(
    node: &RunningGateway,
    bound_ms: u64,
    what: &str,
    is_reached: impl Fn(&RunningGateway) -> bool,
) {
    let began = Instant::now();
    while !is_reached(node) {
        assert!(
            began.elapsed() < Duration::from_millis(bound_ms),
            "{what}: not after {bound_ms} ms"
        );
        // Calling the node lets its tasks run.
        caller::get_status(node.readiness).await;
    }
}

fn knows_leaving(node: &RunningGateway, engine: &str) -> bool {
    let beliefs = node.gateway.beliefs();
    let known = beliefs.engines.get(&InstanceId(engine.to_owned()));
    known.is_some_and(|engine| engine.record.is_leaving)
}

fn knows_order(node: &RunningGateway) -> bool {
    let beliefs = node.gateway.beliefs();
    let order = beliefs.rollouts.orders.get(&ServiceName::from("app"));
    order.is_some()
}

fn order(target: &str) -> serde_json::Value {
    json!({"service": "app", "to": target, "ms": 30_000})
}

/// A store with engines of two software versions that serve without a rollout order.
async fn two_versions() -> (StandInStore, StandInEngine, StandInEngine) {
    let store = StandInStore::start().await;
    store.put("Configuration", "main", configuration(1));
    let old = StandInEngine::of_software("old", "app", "v1").await;
    let new = StandInEngine::of_software("new", "app", "v2").await;
    for engine in [&old, &new] {
        store.put("Engines", &engine.instance, engine.record());
    }
    (store, old, new)
}

#[test]
fn a_deaf_watch_delays_a_leaving_engine_at_most_by_its_bound() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let staying = StandInEngine::start("staying", "app", Behaviour::Answer).await;
        let leaving = StandInEngine::start("leaving", "app", Behaviour::Answer).await;
        for engine in [&staying, &leaving] {
            store.put("Engines", &engine.instance, engine.record());
        }
        let node = start_deaf(&store, StoreFault::DeafWatches).await;
        let mut record = leaving.record();
        record["leaving"] = json!(true);
        store.put("Engines", &leaving.instance, record);
        assert_within(&node, LEAVING_MS, "an engine leaves", |node| {
            knows_leaving(node, "leaving")
        })
        .await;
        let arrivals = leaving.arrivals();
        for index in 0..10 {
            let request = request("safe.test", &format!("r{index}"));
            assert_eq!(caller::send(node.callers, &request).await.status(), 200);
        }
        assert_eq!(leaving.arrivals(), arrivals);
    });
}

#[test]
fn a_deaf_watch_delays_an_order_at_most_by_the_roll_back_bound() {
    smol::block_on(async {
        let (store, _old, new) = two_versions().await;
        let node = start_deaf(&store, StoreFault::DeafWatches).await;
        let mut sent = 0;
        while new.arrivals() == 0 {
            // Without an order, the new version serves requests.
            caller::send(node.callers, &request("safe.test", &format!("a{sent}"))).await;
            sent += 1;
        }
        store.put("Rollouts", "app", order("v2"));
        assert_within(&node, ROLL_BACK_MS, "an order is named", knows_order).await;
    });
}

#[test]
fn a_newly_supported_kind_is_listed_within_the_roll_back_bound() {
    smol::block_on(async {
        let (store, _old, _new) = two_versions().await;
        let node = start_deaf(&store, StoreFault::LacksOrders).await;
        // Wait until no engine causes a list of the orders, so that only the period does.
        assert_within(&node, ROLL_BACK_MS, "engines are placed", |node| {
            let beliefs = node.gateway.beliefs();
            !beliefs.rollouts.lacks_orders(&beliefs.engines)
        })
        .await;
        store.set_fault(StoreFault::None);
        store.put("Rollouts", "app", order("v2"));
        assert_within(&node, ROLL_BACK_MS, "the first order is named", knows_order).await;
    });
}

#[test]
fn a_deaf_watch_delays_a_configuration_at_most_by_its_wait() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let node = start_deaf(&store, StoreFault::DeafWatches).await;
        store.put("Configuration", "main", configuration(2));
        assert_within(&node, 1_000, "a configuration is stored", |node| {
            let beliefs = node.gateway.beliefs();
            beliefs.configuration_version() == Some(2)
        })
        .await;
    });
}

#[test]
fn changes_during_an_outage_are_read_after_it_though_watches_are_deaf() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let app = StandInEngine::start("app", "app", Behaviour::Answer).await;
        store.put("Engines", &app.instance, app.record());
        let mut settings = settings(&store, "node", LONG_BOUNDS);
        settings.store.other_watch_ms = LONG_WATCH_MS;
        let node = start(settings, Arc::new(StandInSite), silent_logger()).expect("start");
        while caller::get_status(node.readiness).await != 200 {}
        // The store has neither lease; each read of a missing lease counts as a failed call.
        assert_within(&node, LEAVING_MS, "both leases are looked for", |node| {
            node.gateway.metrics.store_failures.get() >= LEASES
        })
        .await;
        let before = node.gateway.metrics.store_failures.get();
        store.set_fault(StoreFault::Status(503));
        assert_within(&node, LEAVING_MS, "the outage is noticed", |node| {
            node.gateway.metrics.store_failures.get() >= before + WATCHES
        })
        .await;
        let mut record = app.record();
        record["leaving"] = json!(true);
        store.put("Engines", &app.instance, record);
        store.put("Rollouts", "app", order("v2"));
        store.set_fault(StoreFault::DeafWatches);
        let is_read = |node: &RunningGateway| knows_leaving(node, "app") && knows_order(node);
        assert_within(&node, LEAVING_MS, "engines and orders are read", is_read).await;
    });
}
