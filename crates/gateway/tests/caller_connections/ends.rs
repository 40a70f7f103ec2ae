//! Each connection that ends while a request is open leaves one line and is counted.

use crate::node::LoggedNode;
use crate::run_exclusively;
use crate::support::caller::{self, prompt, request, Request};
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::site::PANIC_ID;
use ploverlift_gateway::callers::ConnectionEnd;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use socket2::SockRef;
use std::time::Duration;

async fn node_with(engine: &StandInEngine, more: &str) -> LoggedNode {
    LoggedNode::start(&[engine], Some(configuration(1)), more).await
}

/// Writes bytes on a new connection and leaves it open.
async fn write(node: &LoggedNode, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(node.callers).await.expect("connect");
    stream.write_all(bytes).await.expect("write");
    stream
}

// Guards against a head that never became complete leaving no trace.
#[test]
fn a_head_that_is_cut_is_logged() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let node = node_with(&app, "").await;
        let bytes = caller::encode(&request("safe.test", "r1"));
        drop(write(&node, &bytes[..20]).await);
        let line = node.only_end(ConnectionEnd::HeadCut).await;
        assert!(line["id"].is_null());
        assert_eq!(line["configuration"], 1);
        assert_eq!(line["stopping"], false);
    });
}

// Guards against a request whose body was cut leaving no trace.
#[test]
fn a_body_that_is_cut_is_logged_with_its_id_and_bytes() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let node = node_with(&app, "").await;
        let bytes = caller::encode(&request("safe.test", "r1"));
        drop(write(&node, &bytes[..bytes.len() - 1]).await);
        let line = node.only_end(ConnectionEnd::BodyCut).await;
        assert_eq!(line["id"], "r1");
        assert_eq!(line["body_bytes"], 3);
    });
}

// Guards against a request that was refused before its admission having no line by its id.
#[test]
fn a_body_that_does_not_come_in_time_is_logged_as_refused() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let node = node_with(&app, "").await;
        let mut slow = request("safe.test", "r1");
        slow.head.headers.push(crate::support::site::DEADLINE, "60");
        let bytes = caller::encode(&slow);
        let stream = write(&node, &bytes[..bytes.len() - 1]).await;
        let mut connection = ploverlift_http1::BufferedStream::new(stream);
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 408);
        let lines = node.lines("request");
        assert_eq!(lines.len(), 1);
        assert_eq!(lines[0]["id"], "r1");
        assert_eq!(lines[0]["status"], 408);
        assert!(node.ends().is_empty());
    });
}

// Guards against a caller that left a starting node leaving no trace.
#[test]
fn a_caller_that_leaves_while_held_is_logged() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let more = "[callers]\nstart_hold_ms = 60000\n";
        let node = LoggedNode::start(&[], None, more).await;
        let connection = caller::open(node.callers, &request("safe.test", "r1")).await;
        while node.gateway.requests_in_flight() == 0 {
            ploverlift_gateway::time::sleep(2).await;
        }
        drop(connection);
        let line = node.only_end(ConnectionEnd::LeftWhileHeld).await;
        assert_eq!(line["id"], "r1");
        assert!(line["configuration"].is_null());
    });
}

// Guards against the end of a connection being taken for a request that was answered.
#[test]
fn a_caller_that_leaves_while_served_is_logged_with_the_error_of_a_reset() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let node = node_with(&app, "").await;
        let bytes = caller::encode(&request("patient.test", "r1"));
        let stream = write(&node, &bytes).await;
        app.happened.recv().await.expect("the request arrived");
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("linger");
        drop(stream);
        let line = node.only_end(ConnectionEnd::LeftWhileServed).await;
        assert_eq!(line["id"], "r1");
        assert_eq!(line["body_bytes"], 4);
        assert!(line["error"].is_string());
        let requests = node.lines("request");
        assert_eq!(requests[0]["outcome"], "caller_left");
    });
}

// Guards against a caller that takes no byte being taken for one that left.
#[test]
fn a_caller_that_stops_reading_is_logged_as_stalled() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Flood).await;
        let node = node_with(&llm, "[callers]\nstalled_ms = 200\n").await;
        let asked = prompt("stream.test", "r1");
        let connection = caller::open(node.callers, &asked).await;
        let line = node.only_end(ConnectionEnd::WriteStalled).await;
        assert_eq!(line["id"], "r1");
        drop(connection);
    });
}

// Guards against an answer that this node broke off being counted as whole.
#[test]
fn an_answer_that_is_broken_off_is_logged() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::BreakInside(3)).await;
        let node = node_with(&llm, "").await;
        let answer = caller::send(node.callers, &prompt("stream.test", "r1")).await;
        assert!(!answer.is_whole);
        let line = node.only_end(ConnectionEnd::BrokenOff).await;
        assert_eq!(line["id"], "r1");
    });
}

/// Stops a node while an engine runs a request; returns the node once it has stopped.
async fn stop_during(engine: &StandInEngine, asked: &Request) -> LoggedNode {
    let mut node = node_with(engine, "[bounds]\nstop_seconds = 0.2\n").await;
    let connection = caller::open(node.callers, asked).await;
    engine.happened.recv().await.expect("the request arrived");
    node.running.take().expect("running").stop().await;
    drop(connection);
    node
}

// Guards against requests that end with the process leaving no trace.
#[test]
fn a_request_that_outlasts_the_stop_of_its_node_is_logged() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let node = stop_during(&app, &request("patient.test", "r1")).await;
        let requests = node.lines("request");
        assert_eq!(requests[0]["id"], "r1");
        assert_eq!(requests[0]["outcome"], "timed_out");
        assert_eq!(requests[0]["reason"], "this node stops");
        assert!(node.ends().is_empty());
    });
}

// Guards against streams that end with the process leaving no trace.
#[test]
fn a_stream_that_outlasts_the_stop_of_its_node_is_logged() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::StreamSlowly(100)).await;
        let node = stop_during(&llm, &prompt("stream.test", "r1")).await;
        let line = node.only_end(ConnectionEnd::BrokenOff).await;
        assert_eq!(line["id"], "r1");
        assert_eq!(line["stopping"], true);
        let requests = node.lines("request");
        assert_eq!(requests[0]["outcome"], "broken_off");
    });
}

// Guards against a panic ending a connection without a line, or as a caller that left.
#[test]
fn a_panic_in_the_task_of_a_connection_is_logged() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let node = node_with(&app, "").await;
        let mut connection = caller::open(node.callers, &request("safe.test", PANIC_ID)).await;
        assert!(caller::read(&mut connection).await.is_none());
        node.only_end(ConnectionEnd::Panicked).await;
        let next = caller::send(node.callers, &request("safe.test", "r2")).await;
        assert_eq!(next.status(), 200);
    });
}

// Guards against lines for connections on which no request was open.
#[test]
fn a_connection_that_ends_between_requests_is_not_logged() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let node = node_with(&app, "").await;
        let mut connection = caller::open(node.callers, &request("safe.test", "r1")).await;
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        drop(connection);
        drop(TcpStream::connect(node.callers).await.expect("connect"));
        let answer = caller::send(node.callers, &request("safe.test", "r2")).await;
        assert_eq!(answer.status(), 200);
        assert!(node.ends().is_empty());
    });
}
