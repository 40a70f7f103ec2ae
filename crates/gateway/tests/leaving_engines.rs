//! Requests that reached an engine after its leaving was acknowledged.
//!
//! Seen: two requests, one follower of relays of 69 nodes, one engine of its own zone,
//! later than the bound. The follower was well; what it knew came from others.
//! How it came about: a bound that others set was lengthened by what a node happened to
//! meet. A relay that failed a call for a reason of its own took that for an outage of
//! the store, kept a record that was taken away meanwhile for two more seconds, and told
//! its followers that what it knew was fresh. A relay's next life vouched for engines
//! that were those of its former life. A late word of an engine put it back.
//! Proof: each test below brings one of these about on nodes that run; with the times
//! to come back taken away, days with such troubles had no late request from this cause.

mod support;

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::peers::roles::Role;
use ploverlift_gateway::ports::StoreError;
use serde_json::json;
use std::time::{Duration, Instant};
use support::engine::{Behaviour, StandInEngine};
use support::fleet::{list_silent_nodes, role_of, start_peer_with, wait_until};
use support::store::StandInStore;
use support::{caller, configuration, start_node};

/// The site: how often engines write their records, and the bound on leaving engines.
const SITE: &str = "engine_heartbeat_ms = 1200\n[bounds]\nleaving_engine_ms = 3000\n";
/// Time in which a follower learns that an engine is gone: half of the bound. Reading it
/// takes a relay 0.8 s after another change; its followers are told within 0.1 s.
const TOLD_WITHIN: Duration = Duration::from_millis(1_500);

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

/// A call of this node's own failed, for a reason that is not the store's.
fn fail_a_call(node: &RunningGateway) {
    let failed: Result<(), StoreError> = Err(StoreError::Unreachable {
        reason: "timed out".to_owned(),
    });
    let now = node.gateway.clock.now();
    node.gateway.beliefs().store_outage.note(&failed, now);
}

#[test]
fn a_relays_own_failed_call_keeps_no_engine_that_is_gone() {
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
        relays.iter().for_each(fail_a_call);
        store.remove("Engines", "llm-1");
        let removed = Instant::now();
        wait_until(&follower, |node| !knows(node, "llm-1")).await;
        let passed = removed.elapsed();
        assert!(
            passed < TOLD_WITHIN,
            "known for {passed:?} after it was gone"
        );
    });
}

/// Heartbeats may arrive late, and in another order than they were sent.
#[test]
fn a_late_word_of_an_engine_does_not_put_it_back_after_it_said_that_it_leaves() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let word = |sequence: u64, is_leaving: bool| {
            let mut record = app.record();
            record["born"] = json!(1_700_000_000_000_u64);
            record["sequence"] = json!(sequence);
            record["leaving"] = json!(is_leaving);
            record
        };
        store.put("Engines", "app-1", word(7, false));
        let node = start_node(&store, "node", "");
        wait_until(&node, |node| knows(node, "app-1")).await;
        store.put("Engines", "app-1", word(9, true));
        let is_leaving = |node: &RunningGateway| {
            let beliefs = node.gateway.beliefs();
            let engine = beliefs.engines.get(&instance("app-1"));
            engine.is_some_and(|engine| engine.record.is_leaving)
        };
        wait_until(&node, is_leaving).await;
        let late = store.put("Engines", "app-1", word(8, false));
        wait_until(&node, |node| {
            node.gateway.beliefs().engines_revision >= late
        })
        .await;
        assert!(is_leaving(&node));
        let answer = caller::send(node.callers, &caller::request("safe.test", "r")).await;
        assert_eq!((answer.status(), app.arrivals()), (503, 0));
    });
}
