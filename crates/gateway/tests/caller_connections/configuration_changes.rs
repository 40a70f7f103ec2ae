//! Configurations that come into force while a request is open.

use crate::node::LoggedNode;
use crate::run_exclusively;
use crate::support::caller::{self, prompt, request, Request};
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine, EVENTS};
use ploverlift_gateway::time::sleep;
use ploverlift_http1::BufferedStream;
use serde_json::{json, Value};

/// A configuration without routes, tenants and keys.
fn empty(version: u64) -> Value {
    json!({"version": version, "keys": {}, "routes": []})
}

/// Sends a request, removes its route and key once an engine has it, and returns the answer.
async fn answer_after_removal(engine: &StandInEngine, asked: &Request) -> caller::Answer {
    let node = LoggedNode::start(&[engine], Some(configuration(1)), "").await;
    let mut connection = caller::open(node.callers, asked).await;
    engine.happened.recv().await.expect("the request arrived");
    node.configure(empty(2)).await;
    let answer = caller::read(&mut connection).await.expect("an answer");
    assert!(answer.is_whole);
    assert!(node.ends().is_empty());
    answer
}

// Guards against a request that an engine has losing its answer with its route and key.
#[test]
fn a_request_outlives_its_route_and_key() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::AnswerAfter(600)).await;
        let answer = answer_after_removal(&app, &request("unsafe.test", "r1")).await;
        assert_eq!(answer.text(), "answer to r1");
    });
}

// Guards against a stream being broken off because its route and key are removed.
#[test]
fn a_stream_outlives_its_route_and_key() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let events = 2 * EVENTS;
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::StreamSlowly(events)).await;
        let answer = answer_after_removal(&llm, &prompt("stream.test", "r1")).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.text().matches("id: ").count() as u64, events);
    });
}

// Guards against a request that waits in a starting node getting no answer because the
// configuration that arrives lacks its route.
#[test]
fn a_held_request_whose_route_does_not_arrive_is_refused() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let more = "[callers]\nstart_hold_ms = 60000\n";
        let node = LoggedNode::start(&[], None, more).await;
        let mut connection = caller::open(node.callers, &request("safe.test", "r1")).await;
        while node.gateway.requests_in_flight() == 0 {
            sleep(2).await;
        }
        node.configure(empty(1)).await;
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 404);
    });
}

// Guards against a request getting no answer whose route is removed while its body arrives.
#[test]
fn a_request_whose_route_is_removed_inside_its_body_is_refused() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let node = LoggedNode::start(&[&app], Some(configuration(1)), "").await;
        let bytes = caller::encode(&request("safe.test", "r1"));
        let stream = smol::net::TcpStream::connect(node.callers).await;
        let mut connection = BufferedStream::new(stream.expect("connect"));
        let (first, rest) = bytes.split_at(bytes.len() - 3);
        connection.write_all(first).await.expect("write");
        while node.gateway.requests_in_flight() == 0 {
            sleep(2).await;
        }
        node.configure(empty(2)).await;
        connection.write_all(rest).await.expect("write");
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 404);
        assert!(app.heads().is_empty());
    });
}
