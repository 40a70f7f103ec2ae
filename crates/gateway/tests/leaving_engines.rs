//! Requests that reached an engine later than the bound after its leaving was acknowledged.
//!
//! The failure was observed in a fleet of 69 nodes: a healthy follower of relays sent two
//! requests too late to an engine of its own zone, because of outdated data from others. The
//! causes:
//! - A relay that failed a call for a local reason took that for an outage of the store,
//!   retained a record that was removed meanwhile for two more seconds, and reported its
//!   list to its followers as fresh.
//! - A restarted relay vouched for the engines of its former incarnation.
//! - A late heartbeat of an engine put the engine back. With late heartbeats, real processes
//!   sent 29 requests to engines that had left, and none since each engine numbers its
//!   heartbeats.
//!
//! Each test reproduces one cause on running nodes. Without the grace period in which an
//! engine whose record is gone may return, simulated days with nodes that the store refuses
//! had no late request from the first cause.

mod support;

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::peers::roles::Role;
use ploverlift_gateway::ports::{StoreError, StoreObject, WatchEvent};
use ploverlift_gateway::reliance::{reliance, Reliance};
use ploverlift_gateway::store::apply_engine_change;
use ploverlift_gateway::time::sleep;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::engine::{Behaviour, StandInEngine};
use support::fleet::empty_relay_report;
use support::fleet::{list_silent_nodes, role_of, start_peer_with, wait_until};
use support::site::StandInSite;
use support::store::{StandInStore, StoreFault};
use support::{caller, configuration, settings, start_node};

/// Settings of the site: the heartbeat interval of engines, and the bound on leaving engines.
const SITE: &str = "engine_heartbeat_ms = 1200\n[bounds]\nleaving_engine_ms = 3000\n";
/// Maximum time until a follower knows that an engine is gone: half of the bound. A relay reads
/// the removal within 0.8 s after another change, and reports it to its followers within 0.1 s.
const REPORTED_WITHIN: Duration = Duration::from_millis(1_500);

fn instance(name: &str) -> InstanceId {
    InstanceId(name.to_owned())
}

fn knows(node: &RunningGateway, name: &str) -> bool {
    node.gateway
        .beliefs()
        .engines
        .get(&instance(name))
        .is_some()
}

/// Records a failed call of this node, as if it had failed for a local reason.
fn record_failed_call(node: &RunningGateway) {
    let failed: Result<(), StoreError> = Err(StoreError::Unreachable {
        reason: "timed out".to_owned(),
    });
    let now = node.gateway.clock.now();
    node.gateway
        .beliefs()
        .store_outage
        .note_call_ended(&failed, now);
}

#[test]
fn relay_with_a_failed_call_does_not_retain_a_removed_engine() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        for name in ["llm-1", "llm-2", "llm-3", "llm-4"] {
            store.put("Engines", name, llm.record());
        }
        list_silent_nodes(&store);
        let relays = [
            start_peer_with(&store, "large-1", 2.0, SITE),
            start_peer_with(&store, "large-2", 1.0, SITE),
        ];
        for relay in &relays {
            wait_until(relay, |node| role_of(node) == Role::Relay).await;
            wait_until(relay, |node| knows(node, "llm-4")).await;
        }
        let follower = start_peer_with(&store, "small", 0.1, SITE);
        wait_until(&follower, |node| knows(node, "llm-4")).await;
        assert_eq!(role_of(&follower), Role::Follower);
        relays.iter().for_each(record_failed_call);
        store.remove("Engines", "llm-1");
        let removed = Instant::now();
        wait_until(&follower, |node| !knows(node, "llm-1")).await;
        let passed = removed.elapsed();
        assert!(
            passed < REPORTED_WITHIN,
            "the engine was known for {passed:?} after its removal"
        );
    });
}

/// Heartbeats may arrive late and out of order.
#[test]
fn late_heartbeat_does_not_revive_a_leaving_engine() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let heartbeat = |sequence: u64, is_leaving: bool| {
            let mut record = app.record();
            record["born"] = json!(1_700_000_000_000_u64);
            record["sequence"] = json!(sequence);
            record["leaving"] = json!(is_leaving);
            record
        };
        store.put("Engines", "app-1", heartbeat(7, false));
        let node = start_node(&store, "node", "");
        wait_until(&node, |node| knows(node, "app-1")).await;
        store.put("Engines", "app-1", heartbeat(9, true));
        let is_leaving = |node: &RunningGateway| {
            let beliefs = node.gateway.beliefs();
            let engine = beliefs.engines.get(&instance("app-1"));
            engine.is_some_and(|engine| engine.record.is_leaving)
        };
        wait_until(&node, is_leaving).await;
        let late = store.put("Engines", "app-1", heartbeat(8, false));
        wait_until(&node, |node| {
            node.gateway.beliefs().engines_revision >= late
        })
        .await;
        assert!(is_leaving(&node));
        let answer = caller::send(node.callers, &caller::request("safe.test", "r")).await;
        assert_eq!((answer.status(), app.arrivals()), (503, 0));
    });
}

/// Bound on leaving engines in tests that wait until the list of engines is too old, in
/// milliseconds.
const SHORT_BOUND_MS: u64 = 1_300;

/// Starts a node that knows one engine and whose calls of the store are no longer answered;
/// waits until its list of engines is too old. The calls time out long after that.
async fn node_with_unanswered_calls(app: &StandInEngine) -> (StandInStore, RunningGateway) {
    let store = StandInStore::start().await;
    store.put("Configuration", "main", configuration(1));
    store.put("Engines", "app-1", app.record());
    let bounds = format!("[bounds]\nleaving_engine_ms = {SHORT_BOUND_MS}\n");
    let mut settings = settings(&store, "node", &bounds);
    settings.store.timeout_ms = 60_000;
    let node = start(settings, Arc::new(StandInSite), silent_logger()).expect("start");
    while caller::get_status(node.readiness).await != 200 {}
    store.set_fault(StoreFault::Silent);
    let is_recent = |node: &RunningGateway| {
        let now = node.gateway.clock.now();
        reliance(&node.gateway, now) == Reliance::Recent
    };
    wait_until(&node, |node| !is_recent(node)).await;
    (store, node)
}

/// Makes the node receive a store event that its engine leaves.
fn report_leaving(node: &RunningGateway, app: &StandInEngine) {
    let mut record = app.record();
    record["leaving"] = json!(true);
    let event = WatchEvent {
        object: StoreObject {
            name: "app-1".to_owned(),
            revision: 1_000,
            is_deleting: false,
            content: record,
            status: None,
        },
        is_gone: false,
    };
    apply_engine_change(&node.gateway, &event);
    let now = node.gateway.clock.now();
    node.gateway
        .beliefs()
        .engines_proof
        .note_store_read(now, now, 1_000);
    node.gateway.site_updated.notify(usize::MAX);
}

#[test]
fn request_is_held_until_leaving_engines_are_known() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let (_store, node) = node_with_unanswered_calls(&app).await;
        let sent = caller::request("safe.test", "r");
        let sending = caller::send(node.callers, &sent);
        let learning = async {
            sleep(40).await;
            assert_eq!(app.arrivals(), 0);
            report_leaving(&node, &app);
        };
        let (answer, ()) = futures_lite::future::zip(sending, learning).await;
        assert_eq!((answer.status(), app.arrivals()), (503, 0));
        assert_eq!(node.gateway.metrics.held_requests.get(), 1);
    });
}

#[test]
fn request_is_sent_after_a_short_hold_when_no_node_knows_more() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let (_store, node) = node_with_unanswered_calls(&app).await;
        let answer = caller::send(node.callers, &caller::request("safe.test", "r1")).await;
        assert_eq!((answer.status(), app.arrivals()), (200, 1));
        assert_eq!(node.gateway.metrics.held_requests.get(), 1);
        // After a failed call, the store counts as unreachable, and requests are not held.
        record_failed_call(&node);
        let answer = caller::send(node.callers, &caller::request("safe.test", "r2")).await;
        assert_eq!((answer.status(), app.arrivals()), (200, 2));
        assert_eq!(node.gateway.metrics.held_requests.get(), 1);
    });
}

#[test]
fn node_that_lags_behind_a_relay_sends_no_request() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let (_store, node) = node_with_unanswered_calls(&app).await;
        // The node's own calls fail, but the store answers a relay.
        record_failed_call(&node);
        let now = node.gateway.clock.now();
        let mut report = empty_relay_report();
        report.engines_age_ms = Some(0);
        let relay = "127.0.0.1:9".parse().expect("an address");
        node.gateway
            .beliefs()
            .followed
            .note_report(&report, relay, Some(now), now);
        let answer = caller::send(node.callers, &caller::request("safe.test", "r")).await;
        assert_eq!((answer.status(), app.arrivals()), (503, 0));
    });
}

#[test]
fn no_request_is_sent_to_an_engine_that_left_during_connection_setup() {
    smol::block_on(async {
        let mut app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        store.put("Engines", "app-1", app.record());
        let connect_timeout = "[attempts]\nconnect_timeout_ms = 60000\n";
        let node = start_node(&store, "node", connect_timeout);
        while caller::get_status(node.readiness).await != 200 {}
        app.lose_power().await;
        let sent = caller::request("safe.test", "r");
        let sending = caller::send(node.callers, &sent);
        let leaving = async {
            sleep(100).await;
            report_leaving(&node, &app);
            app.regain_power();
        };
        let (answer, ()) = futures_lite::future::zip(sending, leaving).await;
        assert_eq!((answer.status(), app.arrivals()), (503, 0));
    });
}
