//! All paths by which a request or an order could still reach an engine that leaves.

use crate::support::caller::{self, prompt, request};
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::fleet::{start_known_nodes_with, start_peer_with, wait_until};
use crate::support::store::{StandInStore, StoreFault};
use crate::support::{configuration, site, start_node, Fixture};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::time::sleep;
use serde_json::json;
use std::time::{Duration, Instant};

/// Polling interval of the tests, in milliseconds.
const POLL_MS: u64 = 5;
/// Maximum number of requests until a node has received an engine's announcement.
const MAX_ANNOUNCING_REQUESTS: u32 = 1_000;
/// Maximum time until one node has reported an announcement to another.
const REPORTED_WITHIN: Duration = Duration::from_secs(5);

fn is_leaving(node: &RunningGateway, name: &str) -> bool {
    let beliefs = node.gateway.beliefs();
    let engine = beliefs.engines.get(&InstanceId(name.to_owned()));
    engine.is_some_and(|engine| beliefs.engines.is_leaving(engine))
}

/// Makes the engine announce that it leaves, and sends requests to the node until it knows.
async fn announce_leaving(engine: &StandInEngine, node: &RunningGateway) {
    engine.name_leaving(Some("1"));
    for number in 0.. {
        if is_leaving(node, &engine.instance) {
            return;
        }
        assert!(
            number < MAX_ANNOUNCING_REQUESTS,
            "the node has not received the announcement that the engine leaves"
        );
        let id = format!("telling-{number}");
        let call = match engine.service.as_str() {
            "llm" => {
                // Prompts with different parts are assigned to different engines.
                let mut call = prompt("stream.test", &id);
                call.head.headers.set(site::PARTS, u64::from(number));
                call
            }
            _ => request("safe.test", &id),
        };
        caller::send(node.callers, &call).await;
    }
}

/// Guards against further requests to a leaving engine on an idle connection.
#[test]
fn idle_connection_to_a_leaving_engine_is_not_reused() {
    smol::block_on(async {
        let leaving = StandInEngine::start("app-1", "app", Behaviour::KeepConnection).await;
        let staying = StandInEngine::start("app-2", "app", Behaviour::KeepConnection).await;
        let fixture = Fixture::new(&[&leaving, &staying]).await;
        for number in 0..8 {
            let call = request("safe.test", &format!("before-{number}"));
            assert_eq!(fixture.send(&call).await.status(), 200);
        }
        assert!(leaving.arrivals() > 0);
        announce_leaving(&leaving, fixture.running()).await;
        let before = leaving.arrivals();
        for number in 0..16 {
            let call = request("safe.test", &format!("after-{number}"));
            assert_eq!(fixture.send(&call).await.status(), 200);
        }
        assert_eq!(leaving.arrivals(), before);
    });
}

/// Guards against resuming a broken stream at a leaving engine.
#[test]
fn broken_stream_is_not_resumed_at_a_leaving_engine() {
    smol::block_on(async {
        let leaving = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let breaking = StandInEngine::start("llm-2", "llm", Behaviour::Answer).await;
        let staying = StandInEngine::start("llm-3", "llm", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&leaving, &breaking, &staying]).await;
        announce_leaving(&leaving, fixture.running()).await;
        breaking.set(Behaviour::BreakInside(3));
        let before = leaving.arrivals();
        for number in 0..6 {
            let call = prompt("resume.test", &format!("resumed-{number}"));
            assert_eq!(fixture.send(&call).await.status(), 200);
        }
        assert_eq!(leaving.arrivals(), before);
    });
}

/// Guards against orders to load weights that are sent to a leaving engine.
#[test]
fn leaving_engine_gets_no_order_to_load_weights() {
    smol::block_on(async {
        let leaving = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let staying = StandInEngine::start("llm-2", "llm", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&leaving, &staying]).await;
        announce_leaving(&leaving, fixture.running()).await;
        fixture.store.put("Weights", "m", json!({"version": 2}));
        while staying.orders().is_empty() {
            sleep(POLL_MS).await;
        }
        sleep(300).await;
        assert!(leaving.orders().is_empty());
    });
}

/// Guards against a service that has no engine at once because all its engines announced that
/// they leave, and against requests to them later than half of the bound.
#[test]
fn the_last_engines_of_a_service_serve_on_for_half_of_the_bound_after_they_said_that_they_leave() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        app.name_leaving(Some("1"));
        assert_eq!(
            fixture.send(&request("safe.test", "first")).await.status(),
            200
        );
        let began = Instant::now();
        // A request that may run only once is not sent to an engine that may terminate while
        // running it.
        let once = fixture.send(&request("unsafe.test", "once")).await;
        assert_eq!((once.status(), app.arrivals()), (503, 1));
        let mut last_served = Duration::ZERO;
        let mut rejected = 0;
        for number in 0.. {
            let at = began.elapsed();
            let call = request("safe.test", &format!("r{number}"));
            let sent = Instant::now();
            match fixture.send(&call).await.status() {
                200 => last_served = at,
                503 => {
                    rejected += 1;
                    let held = sent.elapsed();
                    assert!(
                        held < Duration::from_millis(50),
                        "a rejected request was held for {held:?}"
                    );
                }
                other => panic!("status {other}"),
            }
            if at > Duration::from_millis(2_500) {
                break;
            }
            sleep(20).await;
        }
        println!("served until {last_served:?}, then {rejected} rejected");
        let bounds = 900..=1_050;
        assert!(
            bounds.contains(&last_served.as_millis()),
            "last request served after {last_served:?}"
        );
    });
}

/// Guards against a starting node that reports itself ready before it knows that an engine
/// leaves: the store, unreachable or outdated, still lists as ready an engine that has announced
/// to another node that it leaves.
#[test]
fn starting_node_learns_leaving_engines_before_it_is_ready() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let other = StandInEngine::start("app-2", "app", Behaviour::Answer).await;
        for engine in [&app, &other] {
            store.put("Engines", &engine.instance, engine.record());
        }
        let nodes = start_known_nodes_with(&store, 2, "").await;
        announce_leaving(&app, &nodes[0]).await;
        let began = Instant::now();
        while !is_leaving(&nodes[1], "app-1") {
            assert!(
                began.elapsed() < REPORTED_WITHIN,
                "no node reported that the engine leaves"
            );
            sleep(POLL_MS).await;
        }
        for number in 0..3 {
            let name = format!("joining-{number}");
            let joining = start_peer_with(&store, &name, 1.0, "");
            while caller::get_status(joining.readiness).await != 200 {
                sleep(POLL_MS).await;
            }
            assert!(is_leaving(&joining, "app-1"), "{name}");
        }
    });
}

/// Guards against a list of the store, in which an engine is still ready, that overrides the
/// engine's own announcement that it leaves.
#[test]
fn store_list_with_an_outdated_record_does_not_undo_a_leaving_signal() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let other = StandInEngine::start("app-2", "app", Behaviour::Answer).await;
        for engine in [&app, &other] {
            store.put("Engines", &engine.instance, engine.record());
        }
        let node = start_node(&store, "node", "[bounds]\nrevoke_when_cut = false\n");
        while caller::get_status(node.readiness).await != 200 {}
        store.set_fault(StoreFault::Silent);
        announce_leaving(&app, &node).await;
        app.name_leaving(None);
        store.set_fault(StoreFault::None);
        let written = store.put("Engines", "app-1", app.record());
        wait_until(&node, |node| {
            node.gateway.beliefs().engines_revision >= written
        })
        .await;
        let before = app.arrivals();
        for number in 0..8 {
            let call = request("safe.test", &format!("r{number}"));
            assert_eq!(caller::send(node.callers, &call).await.status(), 200);
        }
        assert_eq!(app.arrivals(), before);
    });
}
