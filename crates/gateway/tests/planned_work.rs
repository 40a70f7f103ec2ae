//! Planned stops, reloads of settings, leaving engines, and the loading of weights.

mod support;

use ploverlift_balancing::catalogue::{EngineRecord, Heartbeat, InstanceId};
use ploverlift_gateway::assembly::{reload, start};
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::state::Gateway;
use ploverlift_gateway::weights::outdated_engines;
use ploverlift_lease::token::NodeNumber;
use ploverlift_lease::FencingToken;
use ploverlift_policy::ids::ZoneName;
use ploverlift_policy::ids::{NodeName, StoreEra};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use serde_json::json;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use support::caller::{self, prompt, request};
use support::engine::{Behaviour, StandInEngine};
use support::store::{StandInStore, StoreFault};
use support::{configuration, settings, site, Fixture};

/// Settings with which weights are loaded at once and outdated ones are soon avoided.
const FAST_LOADS: &str = "[weights]\nfinish_ms = 1\nload_ms = 20\nreport_after_ms = 1\n\
    order_timeout_ms = 50\nmargin_ms = 200\n[bounds]\nweights_ms = 600\nlease_ms = 300\n";

#[test]
fn a_stop_withdraws_readiness_and_finishes_running_requests() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let mut fixture =
            Fixture::with(&[&app], configuration(1), "[bounds]\nstop_seconds = 30.0\n").await;
        let running = fixture.running.take().expect("running");
        let (callers, readiness) = (running.callers, running.readiness);
        let mut connection = caller::open(callers, &request("unsafe.test", "r1")).await;
        app.happened.recv().await.expect("the request arrived");
        let stopping = smol::spawn(running.stop());
        while caller::get_status(readiness).await != 503 {}
        // A request that arrives while callers are still routed to this node is served.
        app.set(Behaviour::Answer);
        let late = caller::send(callers, &request("unsafe.test", "r2")).await;
        assert_eq!(late.status(), 200);
        assert_eq!(late.head.headers.get("connection"), Some("close"));
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 504);
        stopping.await;
    });
}

#[test]
fn a_kept_connection_carries_several_requests() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let first = request("unsafe.test", "r1");
        let mut connection = caller::open(fixture.running().callers, &first).await;
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.text(), "answer to r1");
        let mut second = request("unsafe.test", "r2").head;
        second.headers.set("content-length", "0");
        connection.write_all(&second.encode()).await.expect("write");
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.text(), "answer to r2");
    });
}

#[test]
fn changed_settings_are_applied_and_invalid_ones_are_not() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let node = start(
            settings(&store, "node", ""),
            Arc::new(site::StandInSite),
            silent_logger(),
        )
        .expect("start");
        let directory = std::env::temp_dir();
        let file = directory.join(format!("ploverlift-reload-{}.toml", std::process::id()));
        let text = |retry: &str| {
            format!(
                "[node]\nname = \"node\"\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:0\"\n\
                 readiness = \"127.0.0.1:0\"\n[store]\naddress = \"{}\"\n\
                 [attempts]\nretry_after_ms = {retry}\n",
                store.address
            )
        };
        std::fs::write(&file, text("77")).expect("write");
        reload(&node.gateway, &file);
        assert_eq!(node.gateway.settings().attempts.retry_after_ms, 77);
        std::fs::write(&file, text("\"soon\"")).expect("write");
        reload(&node.gateway, &file);
        assert_eq!(node.gateway.settings().attempts.retry_after_ms, 77);
        std::fs::remove_file(&file).expect("remove");
    });
}

#[test]
fn a_leaving_engine_gets_no_new_requests() {
    smol::block_on(async {
        let first = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let second = StandInEngine::start("app-2", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&first, &second]).await;
        let mut leaving = first.record();
        leaving["leaving"] = json!(true);
        fixture.store.put("Engines", "app-1", leaving);
        let has_left = || {
            let beliefs = fixture.gateway.beliefs();
            let mut engines = beliefs.engines.iter();
            engines.any(|engine| engine.record.is_leaving)
        };
        while !has_left() {
            fixture.send(&request("unsafe.test", "r")).await;
        }
        let before = first.heads().len();
        for _ in 0..10 {
            assert_eq!(
                fixture.send(&request("unsafe.test", "r")).await.status(),
                200
            );
        }
        assert_eq!(first.heads().len(), before);
    });
}

async fn engines(count: usize) -> Vec<StandInEngine> {
    let mut engines = Vec::new();
    for number in 0..count {
        let name = format!("llm-{number}");
        engines.push(StandInEngine::start(&name, "llm", Behaviour::Answer).await);
    }
    engines
}

async fn wait_for_weights(engines: &[StandInEngine], version: u64) {
    for engine in engines {
        while engine.weights() != version {
            engine.happened.recv().await.expect("the engine");
        }
    }
}

#[test]
fn all_engines_are_updated_to_named_weights_by_one_holder() {
    smol::block_on(async {
        let engines = engines(5).await;
        let all: Vec<&StandInEngine> = engines.iter().collect();
        let fixture = Fixture::with(&all, configuration(1), FAST_LOADS).await;
        let second = support::start_node(&fixture.store, "second", FAST_LOADS);
        fixture.store.put("Weights", "m", json!({"version": 2}));
        wait_for_weights(&engines, 2).await;
        let orders: Vec<_> = engines.iter().flat_map(StandInEngine::orders).collect();
        let tokens: HashSet<u64> = orders
            .iter()
            .filter_map(|order| order["token"].as_u64())
            .collect();
        let holders: HashSet<&str> = orders
            .iter()
            .filter_map(|order| order["holder"].as_str())
            .collect();
        assert_eq!(holders.len(), 1);
        assert_eq!(tokens.len(), 1);
        assert!(engines.iter().all(|engine| engine.orders().len() == 1));
        drop(second);
    });
}

/// The record of an engine with a version of the model's weights.
fn record(name: &str, version: u64, port: u16) -> EngineRecord {
    EngineRecord {
        instance: InstanceId(name.to_owned()),
        revision: 1,
        heartbeat: Heartbeat::default(),
        service: ServiceName::from("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: ZoneName::from("z"),
        software: SoftwareVersion::default(),
        slots: 4,
        cold_ms: 0,
        is_leaving: false,
        weights: [("m".to_owned(), version)].into(),
    }
}

#[test]
fn engines_load_in_the_order_in_which_their_missing_versions_were_named() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let gateway = Gateway::new(
            settings(&store, "node", ""),
            Arc::new(site::StandInSite),
            silent_logger(),
        );
        let now = gateway.clock.now();
        {
            let mut beliefs = gateway.beliefs();
            beliefs.engines.upsert(record("a", 2, 1));
            beliefs.engines.upsert(record("b", 3, 2));
            beliefs.engines.upsert(record("c", 1, 3));
            beliefs.weights.note_version("m", 2, now);
            beliefs.weights.note_version("m", 3, now.plus(3_000));
        }
        let outdated = outdated_engines(&gateway, now.plus(4_000));
        let order: Vec<&str> = outdated
            .iter()
            .map(|engine| engine.instance.0.as_str())
            .collect();
        assert_eq!(order, ["c", "a"]);
    });
}

#[test]
fn among_engines_that_lack_the_same_version_the_least_busy_is_next() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let gateway = Gateway::new(
            settings(&store, "node", ""),
            Arc::new(site::StandInSite),
            silent_logger(),
        );
        let now = gateway.clock.now();
        {
            let mut beliefs = gateway.beliefs();
            for (name, port) in [("a", 1), ("b", 2), ("c", 3)] {
                beliefs.engines.upsert(record(name, 1, port));
            }
            beliefs.weights.note_version("m", 2, now);
            let busy = InstanceId("a".to_owned());
            beliefs.engines.begin(&busy, 10, now);
            beliefs.engines.begin(&busy, 10, now);
            beliefs.engines.begin(&InstanceId("b".to_owned()), 10, now);
        }
        let outdated = outdated_engines(&gateway, now.plus(10));
        let order: Vec<&str> = outdated
            .iter()
            .map(|engine| engine.instance.0.as_str())
            .collect();
        assert_eq!(order, ["c", "b", "a"]);
    });
}

/// Settings with which one engine loads at a time, and the first report after an order is
/// late enough for a new version to arrive before it.
const ONE_LOAD_AT_A_TIME: &str = "[weights]\nfinish_ms = 1000\nload_ms = 400\n\
    loads_at_once = 1\nreport_after_ms = 300\n";

#[test]
fn a_version_named_during_a_load_is_scheduled_after_other_engines() {
    smol::block_on(async {
        let engines = engines(2).await;
        let all: Vec<&StandInEngine> = engines.iter().collect();
        let fixture = Fixture::with(&all, configuration(1), ONE_LOAD_AT_A_TIME).await;
        fixture.store.put("Weights", "m", json!({"version": 2}));
        let first_ordered = || {
            engines
                .iter()
                .position(|engine| !engine.orders().is_empty())
        };
        let first = loop {
            if let Some(first) = first_ordered() {
                break first;
            }
            fixture.send(&request("nowhere.test", "r")).await;
        };
        fixture.store.put("Weights", "m", json!({"version": 3}));
        let second = 1 - first;
        while engines[second].orders().is_empty() {
            fixture.send(&request("nowhere.test", "r")).await;
        }
        // The engine that lacks the older version loads before the one that has it.
        assert_eq!(engines[first].orders().len(), 1);
        wait_for_weights(&engines, 3).await;
        assert_eq!(engines[second].orders().len(), 1);
    });
}

#[test]
fn an_accepted_order_without_an_answer_is_not_repeated() {
    smol::block_on(async {
        let engines = engines(1).await;
        engines[0].answer_orders(false);
        let fixture = Fixture::with(&[&engines[0]], configuration(1), FAST_LOADS).await;
        fixture.store.put("Weights", "m", json!({"version": 2}));
        wait_for_weights(&engines, 2).await;
        let known = || fixture.gateway.beliefs().engines.newest_weights("m");
        while known() != 2 {
            fixture.send(&request("nowhere.test", "r")).await;
        }
        assert_eq!(engines[0].orders().len(), 1);
    });
}

/// The first fencing tokens of a node if the store reports no era.
fn first_tokens(name: &str) -> [u64; 3] {
    let number = NodeNumber::of(&NodeName::from(name));
    let mut last = FencingToken::default();
    [(); 3].map(|()| {
        last = FencingToken::next(last, StoreEra(0), number).expect("a token");
        last.0
    })
}

#[test]
fn a_holder_with_a_refused_token_sends_no_more_orders_with_it() {
    smol::block_on(async {
        let engines = engines(1).await;
        let [first, second, third] = first_tokens("node");
        // The engine has received two orders of later holders.
        engines[0].see_token(third);
        let fixture = Fixture::with(&[&engines[0]], configuration(1), FAST_LOADS).await;
        fixture.store.put("Weights", "m", json!({"version": 2}));
        while engines[0].weights() < 2 && engines[0].refused_tokens().len() < 3 {
            ploverlift_gateway::time::sleep(2).await;
        }
        assert_eq!(engines[0].refused_tokens(), [first, second]);
    });
}

#[test]
fn a_lost_store_answer_does_not_end_the_lease() {
    smol::block_on(async {
        let engines = engines(2).await;
        let all: Vec<&StandInEngine> = engines.iter().collect();
        let fixture = Fixture::with(&all, configuration(1), FAST_LOADS).await;
        fixture.store.set_fault(StoreFault::LosesWriteAnswers);
        fixture.store.put("Weights", "m", json!({"version": 2}));
        wait_for_weights(&engines, 2).await;
        let stored = fixture.store.content("Leases", "weights").expect("a lease");
        assert_eq!(stored["lease"]["holder"], json!("node"));
    });
}

#[test]
fn another_node_takes_over_when_the_holder_fails() {
    smol::block_on(async {
        let engines = engines(2).await;
        let all: Vec<&StandInEngine> = engines.iter().collect();
        let mut fixture = Fixture::with(&all, configuration(1), FAST_LOADS).await;
        fixture.store.put("Weights", "m", json!({"version": 2}));
        wait_for_weights(&engines, 2).await;
        let second = support::start_node(&fixture.store, "second", FAST_LOADS);
        while caller::get_status(second.readiness).await != 200 {}
        // The holder crashes: its tasks are dropped.
        drop(fixture.running.take());
        fixture.store.put("Weights", "m", json!({"version": 3}));
        wait_for_weights(&engines, 3).await;
        for engine in &engines {
            let orders = engine.orders();
            assert!(orders[1]["token"].as_u64() > orders[0]["token"].as_u64());
            assert_eq!(orders[1]["holder"], json!("second"));
        }
    });
}

#[test]
fn no_request_begins_on_weights_older_than_the_bound() {
    smol::block_on(async {
        let engines = engines(1).await;
        // The engine stays on version 1, because it never gets an order.
        engines[0].set_weights(1);
        let settings = format!("{FAST_LOADS}weights_total_ms = 600\n");
        let fixture = Fixture::with(&[&engines[0]], configuration(1), &settings).await;
        engines[0].answer_orders(false);
        assert_eq!(
            fixture.send(&prompt("stream.test", "r")).await.status(),
            200
        );
        // The stopping node sends no orders.
        fixture.gateway.begin_stop();
        fixture.store.put("Weights", "m", json!({"version": 2}));
        let refused = loop {
            let answer = fixture.send(&prompt("stream.test", "r")).await;
            if answer.status() != 200 {
                break answer;
            }
        };
        assert_eq!(refused.status(), 503);
        assert_eq!(engines[0].orders().len(), 0);
    });
}

/// A node that sends no orders, with an engine that holds requests in its queue; the
/// deadline of the callers of `queue.test` is ten minutes.
async fn fixture_with_queue(engine: &StandInEngine) -> Fixture {
    engine.set_weights(1);
    engine.set(Behaviour::Silent);
    let mut configuration = configuration(1);
    let patient = support::route("queue.test", "stream", "llm", 600_000);
    let routes = configuration["routes"].as_array_mut().expect("routes");
    routes.push(patient);
    let fixture = Fixture::with(&[engine], configuration, FAST_LOADS).await;
    fixture.gateway.begin_stop();
    fixture
}

#[test]
fn a_queued_request_is_withdrawn_if_a_version_is_named_after_it_was_sent() {
    smol::block_on(async {
        let engines = engines(1).await;
        let fixture = fixture_with_queue(&engines[0]).await;
        let request = prompt("queue.test", "r");
        let waiting = fixture.send(&request);
        let naming = async {
            while engines[0].arrivals() == 0 {
                engines[0].happened.recv().await.expect("the engine");
            }
            fixture.store.put("Weights", "m", json!({"version": 2}));
            std::future::pending().await
        };
        let answer = futures_lite::future::or(waiting, naming).await;
        assert!(answer.status() >= 500);
        while engines[0].dropped() == 0 {
            engines[0].happened.recv().await.expect("the engine");
        }
    });
}

#[test]
fn a_request_queued_on_outdated_weights_is_withdrawn_before_the_bound() {
    smol::block_on(async {
        let engines = engines(1).await;
        let fixture = fixture_with_queue(&engines[0]).await;
        fixture.store.put("Weights", "m", json!({"version": 2}));
        while fixture.gateway.beliefs().weights.newest("m").is_none() {
            caller::get_status(fixture.running().readiness).await;
        }
        // The engine holds the request in its queue; the caller would wait for
        // ten minutes.
        let answer = fixture.send(&prompt("queue.test", "r")).await;
        assert!(answer.status() >= 500);
        while engines[0].dropped() == 0 {
            engines[0].happened.recv().await.expect("the engine");
        }
    });
}
