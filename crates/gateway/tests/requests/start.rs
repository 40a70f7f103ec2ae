//! Requests that arrive before the configuration is known.

use crate::app_engine::app;
use crate::support::caller::{self, request};
use crate::support::engine::Behaviour;
use crate::support::store::StandInStore;
use crate::support::{configuration, site, start_node};

#[test]
fn without_a_configuration_callers_are_told_when_to_retry() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let node = start_node(&store, "node", "");
        let answer = caller::send(node.callers, &request("safe.test", "r")).await;
        assert_eq!(answer.status(), 503);
        assert!(answer.head.headers.get("retry-after-ms").is_some());
        assert_eq!(caller::get_status(node.readiness).await, 503);
        store.put("Configuration", "main", configuration(1));
        while caller::get_status(node.readiness).await != 200 {}
        let answer = caller::send(node.callers, &request("nowhere.test", "r")).await;
        assert_eq!(answer.status(), 404);
    });
}

#[test]
fn a_request_received_at_startup_waits_for_the_configuration() {
    smol::block_on(async {
        let app = app(Behaviour::Answer).await;
        let store = StandInStore::start().await;
        store.put("Engines", "app-1", app.record());
        let node = start_node(&store, "node", "[callers]\nstart_hold_ms = 600000\n");
        let mut held = caller::open(node.callers, &request("safe.test", "r1")).await;
        let left = caller::open(node.callers, &request("safe.test", "r2")).await;
        // Wait until both requests have been read.
        while node.gateway.requests_in_flight() < 2 {
            assert_eq!(caller::get_status(node.readiness).await, 503);
        }
        drop(left);
        while node.gateway.requests_in_flight() > 1 {
            caller::get_status(node.readiness).await;
        }
        store.put("Configuration", "main", configuration(1));
        let answer = caller::read(&mut held).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(app.heads().len(), 1);
    });
}

#[test]
fn a_request_at_startup_waits_at_most_a_quarter_of_its_deadline() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let node = start_node(&store, "node", "[callers]\nstart_hold_ms = 600000\n");
        let mut brief = request("safe.test", "r1");
        brief.head.headers.push(site::DEADLINE, "200");
        let answer = caller::send(node.callers, &brief).await;
        assert_eq!(answer.status(), 503);
        assert!(answer.head.headers.get("retry-after-ms").is_some());
    });
}
