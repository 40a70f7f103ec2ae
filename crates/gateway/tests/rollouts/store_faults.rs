//! Rollouts while the store lacks the kind of object, is silent, or loses answers to writes.

use crate::support::caller;
use crate::support::engine::Behaviour;
use crate::support::site::StandInSite;
use crate::support::store::{StandInStore, StoreFault};
use crate::support::{configuration, settings};
use crate::traffic::{with_callers, RunningCanary, Traffic};
use crate::versions::{
    order, record_engines, wait_for_arrivals, wait_for_state, wait_until_ready, Versions,
    SHORT_ROLLOUT_BOUNDS,
};
use ploverlift_gateway::assembly::start;
use ploverlift_gateway::logging::silent_logger;
use ploverlift_rollout::share::STAGE_LEASE_MS;
use std::sync::Arc;

#[test]
fn an_order_is_found_in_a_store_that_lacked_the_object_kind() {
    with_callers(|executor| async move {
        let versions = Versions::of_service("app").await;
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        record_engines(&store, &versions.old);
        store.set_fault(StoreFault::LacksOrders);
        let mut settings = settings(&store, "node", SHORT_ROLLOUT_BOUNDS);
        // Orders are polled rarely, but read at once when an engine can't be placed.
        settings.store.other_watch_ms = 60_000;
        settings.bounds.roll_back_ms = 120_000;
        let node = start(settings, Arc::new(StandInSite), silent_logger()).expect("start");
        wait_until_ready(&node).await;
        let known_through = node.gateway.beliefs().rollouts.orders.known_through();
        assert!(known_through < Some(u64::MAX), "later orders are not known");
        let traffic = Traffic::start(&executor, &node);
        wait_for_arrivals(&node, &versions.old, 20).await;
        store.set_fault(StoreFault::None);
        let ordered_at = std::time::Instant::now();
        versions.set_new(Behaviour::Fail);
        store.put("Rollouts", "app", order("v2", 30_000));
        record_engines(&store, &versions.new);
        wait_for_state(&store, &node, "rolled-back").await;
        // Found before the next poll, which is due after a minute.
        assert!(ordered_at.elapsed() < std::time::Duration::from_secs(30));
        let (good, bad) = traffic.stop().await;
        assert!(bad * 2 < good, "{bad} of {good}");
    });
}

#[test]
fn a_node_without_a_proven_stage_stops_the_target_and_keeps_serving() {
    with_callers(|executor| async move {
        let canary = RunningCanary::start(&executor).await;
        let RunningCanary {
            versions,
            fixture,
            traffic,
        } = canary;
        let node = fixture.running();
        fixture.store.set_fault(StoreFault::Silent);
        let silent_at = std::time::Instant::now();
        while silent_at.elapsed() < std::time::Duration::from_millis(STAGE_LEASE_MS + 200) {
            caller::get_status(node.readiness).await;
        }
        let arrivals_at_end = Versions::arrivals(&versions.new);
        wait_for_arrivals(node, &versions.old, 300).await;
        assert_eq!(Versions::arrivals(&versions.new), arrivals_at_end);
        let (_, bad) = traffic.stop().await;
        assert_eq!(bad, 0);
    });
}

#[test]
fn after_lost_write_answers_the_stored_status_stands() {
    with_callers(|executor| async move {
        let (versions, fixture) = Versions::with_node().await;
        let node = fixture.running();
        let traffic = Traffic::start(&executor, node);
        versions.set_new(Behaviour::Fail);
        fixture.store.set_fault(StoreFault::LosesWriteAnswers);
        fixture.store.put("Rollouts", "app", order("v2", 20_000));
        record_engines(&fixture.store, &versions.new);
        wait_for_state(&fixture.store, node, "rolled-back").await;
        let status = fixture.store.status("Rollouts", "app");
        wait_for_arrivals(node, &versions.old, 300).await;
        assert_eq!(fixture.store.status("Rollouts", "app"), status);
        traffic.stop().await;
    });
}
