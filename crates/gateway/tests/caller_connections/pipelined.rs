//! Bytes that callers send before the answer, and callers that end their sending direction.

use crate::node::LoggedNode;
use crate::run_exclusively;
use crate::support::caller::{self, request};
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine};
use ploverlift_gateway::callers::ConnectionEnd;
use ploverlift_gateway::time::sleep;
use ploverlift_http1::BufferedStream;
use std::net::Shutdown;

/// Number of requests whose bytes exceed the limit on pipelined bytes.
const REQUESTS_OVER_THE_LIMIT: usize = 20;

// Guards against a whole request being lost that was sent before the answer to the one before it.
#[test]
fn a_pipelined_request_is_answered() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::AnswerAfter(50)).await;
        let node = LoggedNode::start(&[&app], Some(configuration(1)), "").await;
        let mut connection = caller::open(node.callers, &request("unsafe.test", "r1")).await;
        let second = caller::encode(&request("unsafe.test", "r2"));
        connection.write_all(&second).await.expect("write");
        for id in ["r1", "r2"] {
            let answer = caller::read(&mut connection).await.expect("an answer");
            assert_eq!(answer.text(), format!("answer to {id}"));
        }
    });
}

// Guards against the answer to a request being lost because its caller sent too much after it.
// None of the requests beyond the limit reaches an engine.
#[test]
fn pipelining_beyond_the_limit_ends_the_connection_after_the_present_answer() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::AnswerAfter(200)).await;
        let node = LoggedNode::start(&[&app], Some(configuration(1)), "").await;
        let mut connection = caller::open(node.callers, &request("unsafe.test", "r1")).await;
        for number in 0..REQUESTS_OVER_THE_LIMIT {
            let mut next = request("unsafe.test", &format!("next-{number}"));
            next.body = vec![b'x'; 4_000];
            let bytes = caller::encode(&next);
            connection.write_all(&bytes).await.expect("write");
        }
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.text(), "answer to r1");
        assert!(answer.is_whole);
        assert!(caller::read(&mut connection).await.is_none());
        assert_eq!(app.heads().len(), 1);
    });
}

// Guards against engines that work on for callers that closed their connection: the end of the
// sending direction is all that a node can see of a close before it writes.
#[test]
fn a_caller_that_ends_its_sending_direction_is_taken_for_one_that_left() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let node = LoggedNode::start(&[&app], Some(configuration(1)), "").await;
        let mut connection = caller::open(node.callers, &request("patient.test", "r1")).await;
        app.happened.recv().await.expect("the request arrived");
        connection
            .writer()
            .shutdown(Shutdown::Write)
            .expect("shutdown");
        let line = node.only_end(ConnectionEnd::LeftWhileServed).await;
        assert!(line["error"].is_null());
        assert!(caller::read(&mut connection).await.is_none());
        while app.dropped() == 0 {
            app.happened.recv().await.expect("the engine");
        }
    });
}

// Guards against a body that pauses within the limits being cut or refused.
#[test]
fn a_body_that_pauses_is_read_to_its_end() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let node = LoggedNode::start(&[&app], Some(configuration(1)), "").await;
        let bytes = caller::encode(&request("safe.test", "r1"));
        let stream = smol::net::TcpStream::connect(node.callers).await;
        let mut connection = BufferedStream::new(stream.expect("connect"));
        let (first, rest) = bytes.split_at(bytes.len() - 3);
        connection.write_all(first).await.expect("write");
        sleep(1_000).await;
        connection.write_all(rest).await.expect("write");
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    });
}
