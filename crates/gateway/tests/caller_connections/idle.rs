//! Requests that arrive in the moment in which their idle connection would be closed.

use crate::node::{hold_executor, LoggedNode};
use crate::run_exclusively;
use crate::support::caller::{self, request};
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine};
use ploverlift_gateway::time::sleep;
use ploverlift_http1::BufferedStream;
use serde_json::{json, Value};

/// Idle time-out in the configuration of these tests, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 300;

/// A configuration with this idle time-out of callers' connections.
fn with_idle_timeout(version: u64, idle_timeout_ms: u64) -> Value {
    let mut configuration = configuration(version);
    configuration["idle_timeout_ms"] = json!(idle_timeout_ms);
    configuration
}

/// Sends a request on an open connection and returns the status of its answer; 0 without one.
async fn send_next(connection: &mut BufferedStream, id: &str) -> u16 {
    let bytes = caller::encode(&request("safe.test", id));
    let _ = connection.write_all(&bytes).await;
    let answer = caller::read(connection).await;
    answer.map_or(0, |answer| answer.status())
}

/// A connection whose first request has been answered.
async fn kept_connection(node: &LoggedNode) -> BufferedStream {
    let mut connection = caller::open(node.callers, &request("safe.test", "r1")).await;
    let answer = caller::read(&mut connection).await.expect("an answer");
    assert_eq!(answer.status(), 200);
    connection
}

/// Blocks the node's thread for `hold_ms` milliseconds, sends a request meanwhile, and returns
/// the status of its answer.
async fn send_during_hold(connection: &mut BufferedStream, hold_ms: u64) -> u16 {
    let hold = hold_executor(hold_ms).await;
    let status = send_next(connection, "r2").await;
    hold.await;
    status
}

// Guards against a time-out that expired while the thread was busy closing a connection on which
// a whole request lies unread.
#[test]
fn a_request_that_arrived_before_the_idle_timeout_is_answered() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let idle_briefly = with_idle_timeout(1, IDLE_TIMEOUT_MS);
        let node = LoggedNode::start(&[&app], Some(idle_briefly), "").await;
        let mut connection = kept_connection(&node).await;
        let status = send_during_hold(&mut connection, 2 * IDLE_TIMEOUT_MS).await;
        assert_eq!(status, 200);
        assert!(node.ends().is_empty());
    });
}

// Guards against a head that arrived in time being refused because the thread was busy.
#[test]
fn a_head_that_arrived_before_its_timeout_is_answered() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let node = LoggedNode::start(&[&app], Some(configuration(1)), "").await;
        let bytes = caller::encode(&request("safe.test", "r1"));
        let stream = smol::net::TcpStream::connect(node.callers).await;
        let mut connection = BufferedStream::new(stream.expect("connect"));
        connection.write_all(&bytes[..10]).await.expect("write");
        sleep(50).await;
        let hold = hold_executor(400).await;
        connection.write_all(&bytes[10..]).await.expect("write");
        hold.await;
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    });
}

// Guards against a connection that is closed for room with a whole request unread on it.
#[test]
fn a_request_that_arrived_before_its_connection_is_closed_for_room_is_answered() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let single = "[callers]\nmax_connections = 1\n";
        let node = LoggedNode::start(&[&app], Some(configuration(1)), single).await;
        let mut connection = kept_connection(&node).await;
        sleep(350).await;
        let status = send_during_hold(&mut connection, 400).await;
        assert_eq!(status, 200);
        assert!(node.ends().is_empty());
    });
}

// Guards against a stopping node that closes an idle connection with a whole request unread.
#[test]
fn a_request_that_arrived_before_a_stopping_node_closes_idle_connections_is_answered() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let node = LoggedNode::start(&[&app], Some(configuration(1)), "").await;
        let mut connection = kept_connection(&node).await;
        node.gateway.begin_stop();
        sleep(1_300).await;
        let status = send_during_hold(&mut connection, 500).await;
        assert_eq!(status, 200);
        assert!(node.ends().is_empty());
    });
}

// Guards against a new configuration that shortens the idle time-out closing connections that
// callers may still use by the former one.
#[test]
fn a_shorter_idle_timeout_does_not_end_a_wait_that_has_begun() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let node = LoggedNode::start(&[&app], Some(configuration(1)), "").await;
        let mut connection = kept_connection(&node).await;
        node.configure(with_idle_timeout(2, IDLE_TIMEOUT_MS)).await;
        sleep(2 * IDLE_TIMEOUT_MS).await;
        assert_eq!(send_next(&mut connection, "r2").await, 200);
    });
}

// Guards against connections that are closed after the idle time-out of an earlier
// configuration, while callers use them by that in force.
#[test]
fn a_longer_idle_timeout_prolongs_a_wait_that_has_begun() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let idle_briefly = with_idle_timeout(1, IDLE_TIMEOUT_MS);
        let node = LoggedNode::start(&[&app], Some(idle_briefly), "").await;
        let mut connection = kept_connection(&node).await;
        node.configure(configuration(2)).await;
        sleep(3 * IDLE_TIMEOUT_MS).await;
        assert_eq!(send_next(&mut connection, "r2").await, 200);
    });
}
