//! Nodes that start during or after a rollout, and versions without an order.

use crate::support::caller::{self, request};
use crate::support::engine::StandInEngine;
use crate::support::store::{StandInStore, StoreFault};
use crate::support::{configuration, start_node, Fixture};
use crate::versions::{
    ended_status, order, record_engines, send_requests, wait_until_ready, Versions,
    SHORT_ROLLOUT_BOUNDS,
};
use std::sync::Arc;

/// Starts a node after a rollout has ended, with engines of both versions recorded.
async fn start_after_rollout(state: &str, stage: &str) -> (Versions, Fixture) {
    let versions = Versions::of_service("app").await;
    let store = StandInStore::start().await;
    store.put("Configuration", "main", configuration(1));
    record_engines(&store, &versions.old);
    record_engines(&store, &versions.new);
    store.put("Rollouts", "app", order("v2", 6_000));
    store.set_status("Rollouts", "app", ended_status(state, stage));
    let running = start_node(&store, "node", SHORT_ROLLOUT_BOUNDS);
    let fixture = Fixture {
        gateway: Arc::clone(&running.gateway),
        store,
        running: Some(running),
    };
    fixture.wait_until_ready().await;
    (versions, fixture)
}

#[test]
fn a_node_started_after_a_completed_rollout_uses_only_the_target() {
    smol::block_on(async {
        let (versions, fixture) = start_after_rollout("completed", "completed").await;
        send_requests(&fixture, 40).await;
        assert_eq!(Versions::arrivals(&versions.old), 0);
        // Engines recorded later need no order, even if they have the former version.
        let late = StandInEngine::of_software("late", "app", "v1").await;
        fixture.store.put("Engines", "late", late.record());
        versions
            .new
            .iter()
            .for_each(|engine| fixture.store.remove("Engines", &engine.instance));
        while late.arrivals() == 0 {
            fixture.send(&request("safe.test", "late")).await;
        }
        assert_eq!(Versions::arrivals(&versions.old), 0);
    });
}

#[test]
fn a_node_started_after_a_rollback_never_uses_the_target() {
    smol::block_on(async {
        let stage = "rolled_back cause=bad_answers";
        let (versions, fixture) = start_after_rollout("rolled-back", stage).await;
        send_requests(&fixture, 40).await;
        assert_eq!(Versions::arrivals(&versions.new), 0);
        assert_eq!(Versions::arrivals(&versions.old), 40);
    });
}

#[test]
fn a_version_without_an_order_serves_only_once_orders_are_known() {
    smol::block_on(async {
        let (versions, fixture) = Versions::with_node().await;
        fixture.store.set_fault(StoreFault::HidesOrders);
        record_engines(&fixture.store, &versions.new);
        let known = |fixture: &Fixture| fixture.gateway.beliefs().engines.len();
        while known(&fixture) < 4 {
            caller::get_status(fixture.running().readiness).await;
        }
        send_requests(&fixture, 40).await;
        assert_eq!(Versions::arrivals(&versions.new), 0);
        // Without established engines, requests are refused rather than sent to an engine
        // that can't be placed.
        versions
            .old
            .iter()
            .for_each(|engine| fixture.store.remove("Engines", &engine.instance));
        while known(&fixture) > 2 {
            caller::get_status(fixture.running().readiness).await;
        }
        assert_eq!(fixture.send(&request("safe.test", "x")).await.status(), 503);
        fixture.store.set_fault(StoreFault::None);
        while fixture.send(&request("safe.test", "y")).await.status() != 200 {}
        assert!(Versions::arrivals(&versions.new) > 0);
    });
}

#[test]
fn a_node_is_not_ready_before_it_knows_the_orders() {
    smol::block_on(async {
        let versions = Versions::of_service("app").await;
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        record_engines(&store, &versions.old);
        store.set_fault(StoreFault::HidesOrders);
        let node = start_node(&store, "node", SHORT_ROLLOUT_BOUNDS);
        while node.gateway.configuration().is_none() || !node.gateway.beliefs().has_listed_engines {
            caller::get_status(node.readiness).await;
        }
        assert_eq!(caller::get_status(node.readiness).await, 503);
        store.set_fault(StoreFault::None);
        wait_until_ready(&node).await;
    });
}
