//! Requests that reach a node while it stops.

use crate::node::{hold_executor, LoggedNode};
use crate::run_exclusively;
use crate::support::caller::{self, prompt, request, Answer, Request};
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine};
use ploverlift_gateway::planned_stop::StopPhase;
use ploverlift_gateway::time::{sleep, within};
use ploverlift_http1::BufferedStream;
use smol::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

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

/// Settings of a node whose planned stop ends soon.
const BRIEF_STOP: &str = "[bounds]\nstop_seconds = 1.0\n";

/// Sends a request to an engine, stops the node while it runs there, and returns what the caller
/// got and after how many milliseconds of the stop.
async fn answer_of_stopped(engine: &StandInEngine, asked: &Request) -> (Option<Answer>, u128) {
    let mut node = LoggedNode::start(&[engine], Some(configuration(1)), BRIEF_STOP).await;
    let mut connection = caller::open(node.callers, asked).await;
    engine.happened.recv().await.expect("the request arrived");
    let stopping = smol::spawn(node.running.take().expect("running").stop());
    let began = Instant::now();
    let answer = caller::read(&mut connection).await;
    let after_ms = began.elapsed().as_millis();
    stopping.await;
    assert_eq!(engine.heads().len(), 1);
    (answer, after_ms)
}

// Guards against a stop that ends with a request running and gives its caller no answer.
#[test]
fn a_request_that_outlasts_the_stop_is_answered_as_unfinished() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let (answer, after_ms) = answer_of_stopped(&app, &request("patient.test", "r1")).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 504, "{}", answer.text());
        assert!(answer.is_whole);
        assert!(after_ms < 1_000, "answered after {after_ms} ms");
    });
}

// Guards against a stream that looks complete because its node has stopped.
#[test]
fn a_stream_that_outlasts_the_stop_is_broken_off() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::FallSilentAfter(2)).await;
        let (answer, after_ms) = answer_of_stopped(&llm, &prompt("stream.test", "r1")).await;
        let answer = answer.expect("a head");
        assert_eq!(answer.status(), 200);
        assert!(!answer.is_whole);
        assert!(after_ms < 1_000, "broken off after {after_ms} ms");
    });
}

// Guards against a stop that ends with a part of a request read and gives its caller no answer.
#[test]
fn a_request_that_arrives_too_slowly_for_the_stop_is_refused() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let mut node = LoggedNode::start(&[&app], Some(configuration(1)), BRIEF_STOP).await;
        let bytes = caller::encode(&request("patient.test", "r1"));
        let stream = TcpStream::connect(node.callers).await.expect("connect");
        let mut connection = BufferedStream::new(stream);
        let part = &bytes[..bytes.len() - 3];
        connection.write_all(part).await.expect("write");
        let stopping = smol::spawn(node.running.take().expect("running").stop());
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 503);
        stopping.await;
        assert!(app.heads().is_empty());
    });
}

// Guards against passing on what is known to take longer than the rest of the stop.
#[test]
fn a_request_that_cannot_end_within_the_stop_is_refused_at_once() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::AnswerAfter(1_200)).await;
        let mut node = LoggedNode::start(&[&app], Some(configuration(1)), BRIEF_STOP).await;
        let callers = node.callers;
        let earlier: Vec<_> = (0..20)
            .map(|number| {
                smol::spawn(async move {
                    let asked = request("patient.test", &format!("r{number}"));
                    caller::send(callers, &asked).await.status()
                })
            })
            .collect();
        for answered in earlier {
            assert_eq!(answered.await, 200);
        }
        let stopping = smol::spawn(node.running.take().expect("running").stop());
        while caller::get_status(callers).await == 0 || !node.gateway.is_stopping() {
            sleep(1).await;
        }
        let began = Instant::now();
        let late = caller::send(callers, &request("patient.test", "late")).await;
        assert_eq!(late.status(), 503, "{}", late.text());
        assert!(began.elapsed().as_millis() < 200);
        assert_eq!(app.heads().len(), 20);
        // One whose time-out ends within the stop is still served.
        app.set(Behaviour::Answer);
        let brief = caller::send(callers, &request("brief.test", "brief")).await;
        assert_eq!(brief.status(), 200);
        stopping.await;
    });
}

// Guards against a second signal to stop, or a reload, that moves the end of a stop.
#[test]
fn a_stop_that_has_begun_keeps_its_bound() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let (_app, node) = start().await;
        let window = node.gateway.begin_stop();
        let mut longer = (*node.gateway.settings()).clone();
        longer.bounds.stop_seconds = 60.0;
        node.gateway.replace_settings(longer);
        sleep(2).await;
        assert_eq!(node.gateway.begin_stop(), window);
    });
}
