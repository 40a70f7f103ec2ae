//! A large fleet in which followers get the orders and sums of rollouts from relays.

use crate::beliefs::service;
use crate::support::caller::{self, request};
use crate::support::engine::StandInEngine;
use crate::support::fleet::{list_silent_nodes, role_of, start_peer_with, wait_until};
use crate::support::site::StandInSite;
use crate::support::store::StandInStore;
use crate::support::{configuration, settings};
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::metrics::StoreCallLabel;
use ploverlift_gateway::peers::roles::Role;
use ploverlift_gateway::peers::snapshot::snapshot;
use ploverlift_wire::decode_snapshot;
use ploverlift_wire::peers::SnapshotRequest;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;

#[test]
fn a_late_follower_gets_orders_from_a_relay_and_serves_at_once() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let engine = StandInEngine::of_software("old", "app", "v1").await;
        store.put("Engines", "old", engine.record());
        list_silent_nodes(&store);
        let relays = [
            start_peer_with_long_watch(&store, "large-1", 2.0),
            start_peer_with_long_watch(&store, "large-2", 1.0),
        ];
        for relay in &relays {
            wait_until(relay, |node| role_of(node) == Role::Relay).await;
            while caller::get_status(relay.readiness).await != 200 {}
        }
        // Recorded again, after the revision up to which the relays know the orders.
        let revision = store.put("Engines", "old", engine.record());
        for relay in &relays {
            let is_known = |node: &RunningGateway| {
                let beliefs = node.gateway.beliefs();
                let known = beliefs.engines.iter().map(|engine| engine.record.revision);
                known.max() >= Some(revision)
            };
            wait_until(relay, is_known).await;
            let wanted = SnapshotRequest {
                configuration: 0,
                wants_engines: true,
            };
            let sent_snapshot = snapshot(&relay.gateway, &wanted);
            let message: Vec<u8> = sent_snapshot.parts().flatten().copied().collect();
            let sent_snapshot = decode_snapshot(&message).expect("a snapshot");
            assert!(sent_snapshot.rollouts.expect("orders").known_through < revision);
            assert_eq!(sent_snapshot.placed_versions.len(), 1);
        }
        let follower = start_peer_with_long_watch(&store, "small", 0.1);
        while caller::get_status(follower.readiness).await != 200 {}
        assert_eq!(role_of(&follower), Role::Follower);
        let answer = caller::send(follower.callers, &request("safe.test", "r")).await;
        assert_eq!(answer.status(), 200);
        let beliefs = follower.gateway.beliefs();
        assert!(beliefs.rollouts.orders.known_through() < Some(revision));
        let placed = beliefs.rollouts.placed_versions();
        assert_eq!(placed.count(), 1, "placed as reported by the relay");
    });
}

/// A node of a large fleet whose watch of orders lasts longer than a test.
fn start_peer_with_long_watch(store: &StandInStore, name: &str, cpu_cores: f64) -> RunningGateway {
    let mut settings = settings(store, name, "");
    settings.listen.peers = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    settings.node.cpu_cores = cpu_cores;
    settings.store.other_watch_ms = 20_000;
    settings.bounds.roll_back_ms = 40_000;
    start(settings, Arc::new(StandInSite), silent_logger()).expect("start")
}

const SHORT_ROLLOUT_BOUNDS: &str =
    "[bounds]\ncanary_share = 0.6\ncanary_slack = 400\nkey_revocation_ms = 1500\n\
    leaving_engine_ms = 3000\n";

async fn send_until(node: &RunningGateway, is_reached: impl Fn() -> bool) {
    let mut sent = 0;
    while !is_reached() {
        let answer = caller::send(node.callers, &request("safe.test", &format!("r{sent}"))).await;
        assert_eq!(answer.status(), 200);
        sent += 1;
    }
}

#[test]
fn a_rollout_completes_with_followers_and_without_silent_nodes() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let old = StandInEngine::of_software("old", "app", "v1").await;
        let new = StandInEngine::of_software("new", "app", "v2").await;
        store.put("Engines", "old", old.record());
        list_silent_nodes(&store);
        let relays = [
            start_peer_with(&store, "large-1", 2.0, SHORT_ROLLOUT_BOUNDS),
            start_peer_with(&store, "large-2", 1.0, SHORT_ROLLOUT_BOUNDS),
        ];
        for relay in &relays {
            wait_until(relay, |node| role_of(node) == Role::Relay).await;
            while caller::get_status(relay.readiness).await != 200 {}
        }
        let follower = start_peer_with(&store, "small", 0.1, SHORT_ROLLOUT_BOUNDS);
        while caller::get_status(follower.readiness).await != 200 {}
        assert_eq!(role_of(&follower), Role::Follower);
        store.put(
            "Rollouts",
            "app",
            json!({"service": "app", "to": "v2", "ms": 3_000}),
        );
        store.put("Engines", "new", new.record());
        let knows_stage = |node: &RunningGateway| {
            let beliefs = node.gateway.beliefs();
            let rollout = beliefs.rollouts.of_service(&service());
            rollout.is_some_and(|rollout| rollout.stage().is_some())
        };
        wait_until(&follower, knows_stage).await;
        send_until(&follower, || new.arrivals() > 0).await;
        // The relay counts the requests that the follower sent.
        let counted = |node: &RunningGateway| {
            let beliefs = node.gateway.beliefs();
            let rollout = beliefs.rollouts.of_service(&service());
            rollout.map_or(0, |rollout| rollout.fleet().sums().target_arrivals())
        };
        wait_until(&relays[0], |node| counted(node) > 0).await;
        let is_completed = || {
            let status = store.status("Rollouts", "app").unwrap_or_default();
            status["state"] == json!("completed")
        };
        send_until(&follower, is_completed).await;
        wait_until(&follower, |node| {
            let beliefs = node.gateway.beliefs();
            let rollout = beliefs.rollouts.of_service(&service());
            rollout.is_some_and(|rollout| rollout.is_complete())
        })
        .await;
        let arrivals_at_end = old.arrivals();
        let mut sent = 0;
        while sent < 30 {
            let answer = caller::send(follower.callers, &request("safe.test", "z")).await;
            assert_eq!(answer.status(), 200);
            sent += 1;
        }
        assert_eq!(old.arrivals(), arrivals_at_end);
        let lists_of = |node: &RunningGateway| {
            let label = StoreCallLabel {
                call: "list",
                kind: "rollouts",
            };
            let calls = &node.gateway.metrics.store_calls;
            calls.get_or_create(&label).get()
        };
        let by_relays: Vec<u64> = relays.iter().map(lists_of).collect();
        assert_eq!(lists_of(&follower), 0, "{by_relays:?}");
        // One list at the start and one for each new version.
        assert!(by_relays.iter().all(|lists| *lists <= 3), "{by_relays:?}");
        drop(relays);
        wait_until(&follower, |node| lists_of(node) > 0).await;
    });
}
