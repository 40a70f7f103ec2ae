//! Answers after which the connection is closed, while the caller still sends.

use crate::node::LoggedNode;
use crate::run_exclusively;
use crate::support::caller::{self, request};
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine};
use ploverlift_gateway::time::{sleep, within};
use ploverlift_http1::BufferedStream;
use smol::net::TcpStream;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Length of a body that is over the limit, in bytes.
const LARGE_BODY_BYTES: usize = 20_000;
/// Pause between two pieces of that body, in milliseconds.
const PIECE_INTERVAL_MS: u64 = 50;
/// Pieces of that body; sending them all takes a second.
const PIECES: usize = 20;
/// Longest time for which a caller may hold a connection that is to be closed.
const LONGEST_LINGER: Duration = Duration::from_secs(6);

/// Longest time for which another request may wait beside a caller that floods, in
/// milliseconds.
const ANSWER_LIMIT_MS: u64 = 1_000;

/// The head of a request whose body is too large.
fn large_head() -> Vec<u8> {
    let mut large = request("safe.test", "r1");
    large.body = vec![b'x'; LARGE_BODY_BYTES];
    let mut bytes = caller::encode(&large);
    bytes.truncate(bytes.len() - LARGE_BODY_BYTES);
    bytes
}

/// Writes the head of a request whose body is too large.
async fn begin_large_request(node: &LoggedNode) -> BufferedStream {
    let stream = TcpStream::connect(node.callers).await.expect("connect");
    let mut connection = BufferedStream::new(stream);
    connection.write_all(&large_head()).await.expect("write");
    connection
}

async fn start() -> (StandInEngine, LoggedNode) {
    let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
    let node = LoggedNode::start(&[&app], Some(configuration(1)), "").await;
    (app, node)
}

// Guards against a reset that destroys a refusal while its caller still sends the body.
#[test]
fn a_caller_that_sends_on_after_a_refusal_gets_it() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let (_app, node) = start().await;
        let mut connection = begin_large_request(&node).await;
        let piece = vec![b'x'; LARGE_BODY_BYTES / PIECES];
        for _ in 0..PIECES {
            sleep(PIECE_INTERVAL_MS).await;
            connection.write_all(&piece).await.expect("write");
        }
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 413);
        assert!(answer.is_whole);
    });
}

// Guards against a caller that sends without end holding its connection for ever.
#[test]
fn a_caller_that_sends_without_end_after_a_refusal_is_disconnected() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let (_app, node) = start().await;
        let mut connection = begin_large_request(&node).await;
        let began = Instant::now();
        while connection.write_all(b"x").await.is_ok() {
            assert!(began.elapsed() < LONGEST_LINGER);
            sleep(PIECE_INTERVAL_MS).await;
        }
    });
}

// Guards against a caller that sends faster than its bytes are drained blocking the thread, and
// with it all other requests.
#[test]
fn a_caller_that_floods_after_a_refusal_does_not_block_others() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let (_app, node) = start().await;
        let callers = node.callers;
        let flooding = smol::unblock(move || flood(callers));
        sleep(PIECE_INTERVAL_MS).await;
        let next = request("safe.test", "r2");
        let answering = caller::send(node.callers, &next);
        let answer = within(ANSWER_LIMIT_MS, answering).await;
        assert_eq!(answer.expect("an answer in time").status(), 200);
        assert!(flooding.await < LONGEST_LINGER);
    });
}

/// Writes a body as fast as possible until the connection is closed; returns how long that took.
fn flood(callers: SocketAddr) -> Duration {
    let began = Instant::now();
    let mut stream = std::net::TcpStream::connect(callers).expect("connect");
    stream.write_all(&large_head()).expect("write");
    let piece = vec![b'x'; 1024 * 1024];
    while stream.write_all(&piece).is_ok() {}
    began.elapsed()
}
