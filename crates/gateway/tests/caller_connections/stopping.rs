//! Requests that reach a node while it stops.

use crate::node::{hold_executor, LoggedNode};
use crate::run_exclusively;
use crate::support::caller::{self, request};
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine};
use ploverlift_gateway::planned_stop::StopPhase;
use ploverlift_gateway::time::{sleep, within};
use ploverlift_http1::BufferedStream;
use smol::net::TcpStream;
use std::sync::Arc;

/// Time from the start of a stop at which new requests are refused and an idle node is about to
/// end, in milliseconds.
const ABOUT_TO_END_MS: u64 = 3_000;
/// Time for which the node's thread is busy as the stop ends, in milliseconds.
const BUSY_MS: u64 = 700;

async fn start() -> (StandInEngine, LoggedNode) {
    let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
    let node = LoggedNode::start(&[&app], Some(configuration(1)), "").await;
    (app, node)
}

/// The status of an answer that has been received already; 0 without one.
async fn received_status(connection: &mut BufferedStream) -> u16 {
    let answer = within(10, caller::read(connection)).await.flatten();
    answer.map_or(0, |answer| answer.status())
}

// Guards against kept connections losing requests that arrive while their node stops.
#[test]
fn a_request_on_a_kept_connection_is_answered_while_the_node_stops() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let (_app, node) = start().await;
        for (id, status) in [("served", 200), ("refused", 503)] {
            let mut connection = caller::open(node.callers, &request("safe.test", "r1")).await;
            let first = caller::read(&mut connection).await.expect("an answer");
            node.gateway.begin_stop();
            if status == 503 {
                node.gateway.begin_refusing();
            }
            if first.head.headers.get("connection") == Some("close") {
                connection = caller::open(node.callers, &request("safe.test", id)).await;
            } else {
                let next = caller::encode(&request("safe.test", id));
                connection.write_all(&next).await.expect("write");
            }
            let answer = caller::read(&mut connection).await.expect("an answer");
            assert_eq!(answer.status(), status);
            assert_eq!(answer.head.headers.get("connection"), Some("close"));
        }
        assert!(node.ends().is_empty());
    });
}

/// Stops a node whose thread is busy as the stop ends. A request arrives meanwhile, on a
/// connection that is opened before or during that time. Returns the status of the answer that
/// was sent when the stop ended.
async fn status_at_the_end(opens_before: bool) -> u16 {
    let (_app, mut node) = start().await;
    let callers = node.callers;
    // Like the program, the stop runs on another thread than the connections.
    let stopping = node.running.take().expect("running").stop();
    let arriving = async {
        sleep(ABOUT_TO_END_MS).await;
        let mut connection = None;
        if opens_before {
            connection = Some(TcpStream::connect(callers).await.expect("connect"));
            sleep(20).await;
        }
        let hold = hold_executor(BUSY_MS).await;
        let stream = match connection {
            Some(stream) => stream,
            None => TcpStream::connect(callers).await.expect("connect"),
        };
        let mut connection = BufferedStream::new(stream);
        let bytes = caller::encode(&request("safe.test", "r1"));
        connection.write_all(&bytes).await.expect("write");
        (connection, hold)
    };
    let ((), (mut connection, hold)) = futures_lite::future::zip(stopping, arriving).await;
    let status = received_status(&mut connection).await;
    hold.await;
    status
}

// Guards against a process that ends with a whole request unread on an open connection.
#[test]
fn a_request_unread_on_an_open_connection_is_answered_before_the_stop_ends() {
    let _exclusive = run_exclusively();
    assert_eq!(smol::block_on(status_at_the_end(true)), 503);
}

// Guards against a process that ends with a whole request in its accept queue.
#[test]
fn a_request_in_the_accept_queue_is_answered_before_the_stop_ends() {
    let _exclusive = run_exclusively();
    assert_eq!(smol::block_on(status_at_the_end(false)), 503);
}

// Guards against a process that closes its listener and ends while a request is on its way on a
// connection that it has accepted.
#[test]
fn a_request_on_its_way_is_answered_before_the_stop_ends() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let (_app, mut node) = start().await;
        let (callers, gateway) = (node.callers, Arc::clone(&node.gateway));
        let stopping = node.running.take().expect("running").stop();
        let arriving = async {
            sleep(ABOUT_TO_END_MS).await;
            let stream = TcpStream::connect(callers).await.expect("connect");
            let mut connection = BufferedStream::new(stream);
            gateway.planned_stop.wait_for(StopPhase::Closing).await;
            sleep(20).await;
            let bytes = caller::encode(&request("safe.test", "r1"));
            connection.write_all(&bytes).await.expect("write");
            connection
        };
        let ((), mut connection) = futures_lite::future::zip(stopping, arriving).await;
        assert_eq!(received_status(&mut connection).await, 503);
        assert!(TcpStream::connect(callers).await.is_err());
    });
}

// Guards against a stop that ends while the body of a request arrives.
#[test]
fn a_request_whose_body_arrives_late_is_answered_before_the_stop_ends() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let (_app, mut node) = start().await;
        let callers = node.callers;
        let stopping = node.running.take().expect("running").stop();
        let arriving = async {
            sleep(ABOUT_TO_END_MS).await;
            let bytes = caller::encode(&request("safe.test", "r1"));
            let (first, rest) = bytes.split_at(bytes.len() - 3);
            let stream = TcpStream::connect(callers).await.expect("connect");
            let mut connection = BufferedStream::new(stream);
            connection.write_all(first).await.expect("write");
            sleep(800).await;
            connection.write_all(rest).await.expect("write");
            connection
        };
        let ((), mut connection) = futures_lite::future::zip(stopping, arriving).await;
        assert_eq!(received_status(&mut connection).await, 503);
    });
}
