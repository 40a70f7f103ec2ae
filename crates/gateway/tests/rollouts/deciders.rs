//! Orders, statuses and deciders that replace each other.

use crate::support::caller;
use crate::support::engine::Behaviour;
use crate::support::site::StandInSite;
use crate::support::store::StandInStore;
use crate::support::{configuration, settings};
use crate::traffic::{with_callers, RunningCanary, Traffic};
use crate::versions::{
    ended_status, order, record_engines, send_requests, state, wait_for_arrivals, wait_for_state,
    wait_until_ready, Versions, SHORT_ROLLOUT_BOUNDS,
};
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::logging::silent_logger;
use ploverlift_lease::token::NodeNumber;
use ploverlift_lease::FencingToken;
use ploverlift_policy::ids::{NodeName, StoreEra};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;

/// Starts a node of a small fleet whose lease expires quickly.
fn start_peer(store: &StandInStore, name: &str) -> RunningGateway {
    let mut settings = settings(store, name, SHORT_ROLLOUT_BOUNDS);
    settings.bounds.lease_ms = 100;
    settings.listen.peers = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    start(settings, Arc::new(StandInSite), silent_logger()).expect("start")
}

#[test]
fn another_node_takes_over_when_the_decider_stops() {
    with_callers(|executor| async move {
        let versions = Versions::of_service("app").await;
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        record_engines(&store, &versions.old);
        let mut nodes = vec![start_peer(&store, "one"), start_peer(&store, "two")];
        for node in &nodes {
            wait_until_ready(node).await;
        }
        store.put("Rollouts", "app", order("v2", 20_000));
        wait_for_state(&store, &nodes[0], "running").await;
        let lease = store.content("Leases", "rollouts").expect("a lease");
        let holder = lease["lease"]["holder"].as_str().unwrap_or_default();
        let holder_index = usize::from(holder == "two");
        let token = FencingToken(lease["lease"]["fencingToken"].as_u64().expect("a token"));
        drop(nodes.remove(holder_index));
        let node = nodes.pop().expect("the other node");
        versions.set_new(Behaviour::Fail);
        record_engines(&store, &versions.new);
        let traffic = Traffic::start(&executor, &node);
        wait_for_state(&store, &node, "rolled-back").await;
        let lease = store.content("Leases", "rollouts").expect("a lease");
        let successor = NodeName(node.gateway.settings().node.name.clone());
        let era = StoreEra(lease["store_era"].as_u64().expect("an era"));
        let next = FencingToken::next(token, era, NodeNumber::of(&successor));
        let successor_token = lease["lease"]["fencingToken"].as_u64().map(FencingToken);
        assert_eq!(successor_token, next);
        traffic.stop().await;
    });
}

#[test]
fn a_new_order_supersedes_the_previous_one() {
    with_callers(|executor| async move {
        let canary = RunningCanary::start(&executor).await;
        let RunningCanary {
            versions,
            fixture,
            traffic,
        } = canary;
        let node = fixture.running();
        // Orders the established version again.
        fixture.store.put("Rollouts", "app", order("v1", 2_000));
        wait_for_state(&fixture.store, node, "completed").await;
        let status = fixture.store.status("Rollouts", "app").expect("a status");
        assert_eq!(status["to"], json!("v1"));
        let arrivals_at_end = Versions::arrivals(&versions.new);
        wait_for_arrivals(node, &versions.old, 300).await;
        assert_eq!(Versions::arrivals(&versions.new), arrivals_at_end);
        let (_, bad) = traffic.stop().await;
        assert_eq!(bad, 0);
    });
}

#[test]
fn an_invalid_order_holds_back_later_versions_until_it_is_removed() {
    smol::block_on(async {
        let (versions, fixture) = Versions::with_node().await;
        let invalid = json!({"service": "app", "to": "v2", "ms": "soon"});
        fixture.store.put("Rollouts", "app", invalid);
        record_engines(&fixture.store, &versions.new);
        while fixture.gateway.beliefs().engines.len() < 4 {
            caller::get_status(fixture.running().readiness).await;
        }
        send_requests(&fixture, 40).await;
        assert_eq!(Versions::arrivals(&versions.new), 0);
        assert_eq!(state(&fixture.store), None);
        let lists = fixture.store.calls("list Rollouts");
        assert!(lists <= 3, "{lists}");
        fixture.store.remove("Rollouts", "app");
        while Versions::arrivals(&versions.new) == 0 {
            send_requests(&fixture, 1).await;
        }
    });
}

#[test]
fn a_status_written_first_by_another_decider_is_not_overwritten() {
    with_callers(|executor| async move {
        let canary = RunningCanary::start(&executor).await;
        let RunningCanary {
            versions,
            fixture,
            traffic,
        } = canary;
        let node = fixture.running();
        // Another node that still believes it holds the lease ends the rollout, at the moment
        // at which this node finds the version bad.
        versions.set_new(Behaviour::Fail);
        let status = ended_status("rolled-back", "rolled_back cause=no_engines");
        let number = {
            let beliefs = fixture.gateway.beliefs();
            let rollout = beliefs.rollouts.services().next();
            let gate = rollout.and_then(|rollout| rollout.gate());
            gate.map(|gate| gate.progress().rollout.0)
        };
        let text = status["progress"].as_str().unwrap_or_default();
        let text = text.replace(
            "rollout=3 epoch=9",
            &format!("rollout={} epoch=9000", number.unwrap_or_default()),
        );
        let text = text.replace("duration_ms=6000", "duration_ms=60000");
        let status = json!({"state": "rolled-back", "to": "v2", "progress": text});
        fixture.store.set_status("Rollouts", "app", status.clone());
        wait_for_arrivals(node, &versions.old, 500).await;
        assert_eq!(fixture.store.status("Rollouts", "app"), Some(status));
        let arrivals_at_end = Versions::arrivals(&versions.new);
        wait_for_arrivals(node, &versions.old, 300).await;
        assert_eq!(Versions::arrivals(&versions.new), arrivals_at_end);
        traffic.stop().await;
    });
}
