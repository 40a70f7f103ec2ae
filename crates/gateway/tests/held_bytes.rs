//! The budget of bytes that a node holds for others: bodies of requests, answers, and calls.

mod support;

use ploverlift_bytebudget::limits::ShareLimits;
use ploverlift_bytebudget::share::Share;
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::http_call::CallConnection;
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::readiness::metrics_page;
use ploverlift_gateway::time::sleep;
use ploverlift_http1::BufferedStream;
use smol::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;
use support::caller::{self, prompt, request, Request};
use support::engine::{Behaviour, StandInEngine};
use support::store::StandInStore;
use support::{configuration, settings, site};

/// Memory of the nodes, in megabytes: room for three bodies of [`BODY_BYTES`].
const MEMORY_MB: f64 = 0.04;
/// Largest body that the configuration permits, in bytes.
const BODY_BYTES: usize = 4_096;
/// Number of such bodies for which there is room.
const BODIES: usize = 3;

/// A store and a node with little memory.
struct SmallNode {
    _store: StandInStore,
    running: RunningGateway,
}

impl SmallNode {
    async fn start(engine: &StandInEngine) -> Self {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        store.put("Engines", &engine.instance, engine.record());
        let mut settings = settings(&store, "node", "");
        settings.node.memory_mb = MEMORY_MB;
        let running = start(settings, Arc::new(site::StandInSite), silent_logger());
        let running = running.expect("start");
        while caller::get_status(running.readiness).await != 200 {}
        Self {
            _store: store,
            running,
        }
    }

    fn held_bodies(&self) -> u64 {
        self.running.gateway.byte_budget.request_bodies.held()
    }

    /// Waits until no body and no answer is held.
    async fn wait_until_nothing_is_held(&self) {
        let budget = &self.running.gateway.byte_budget;
        while budget.request_bodies.held() + budget.engine_answers.held() > 0 {
            sleep(2).await;
        }
    }
}

/// Sends as many large requests as there is memory for, and leaves their connections open.
async fn fill_memory(node: &SmallNode, engine: &StandInEngine) -> Vec<BufferedStream> {
    let mut held = Vec::new();
    for number in 0..BODIES {
        let asked = large("patient.test", &format!("r{number}"));
        held.push(caller::open(node.running.callers, &asked).await);
        engine.happened.recv().await.expect("the request arrived");
    }
    held
}

fn large(host: &str, id: &str) -> Request {
    let mut large = request(host, id);
    large.body = vec![b'x'; BODY_BYTES];
    large
}

// Guards against bodies that are each within their limit and together use up the memory.
#[test]
fn a_request_for_whose_body_there_is_no_memory_is_refused_as_not_run() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let node = SmallNode::start(&app).await;
        let callers = node.running.callers;
        let held = fill_memory(&node, &app).await;
        let began = Instant::now();
        let refused = caller::send(callers, &large("patient.test", "late")).await;
        assert_eq!(refused.status(), 503, "{}", refused.text());
        assert!(refused.head.headers.get("retry-after-ms").is_some());
        assert!(began.elapsed().as_millis() < 100);
        let page = metrics_page(&node.running.gateway);
        let bytes = node.held_bodies();
        assert!(page.contains(&format!("held_bytes{{share=\"request_bodies\"}} {bytes}\n")));
        assert_eq!(app.heads().len(), BODIES);
        drop(held);
        node.wait_until_nothing_is_held().await;
        app.set(Behaviour::Answer);
        let served = caller::send(callers, &large("patient.test", "after")).await;
        assert_eq!(served.status(), 200);
    });
}

// Guards against bodies without a declared length that are not counted.
#[test]
fn a_chunked_body_is_refused_once_there_is_no_memory_for_the_rest_of_it() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let node = SmallNode::start(&app).await;
        let callers = node.running.callers;
        let _held = fill_memory(&node, &app).await;
        let mut head = request("patient.test", "late").head;
        head.headers.set("transfer-encoding", "chunked");
        let mut message = head.encode();
        message.extend_from_slice(b"800\r\n");
        message.extend_from_slice(&[b'x'; 0x800]);
        let stream = TcpStream::connect(callers).await.expect("connect");
        let mut connection = BufferedStream::new(stream);
        connection.write_all(&message).await.expect("write");
        let refused = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(refused.status(), 503, "{}", refused.text());
        assert_eq!(app.heads().len(), BODIES);
    });
}

// Guards against a body that is held for as long as its answer lasts, although no engine may get it
// any more.
#[test]
fn the_body_of_a_request_that_cannot_be_sent_again_is_freed_once_it_is_accepted() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::FallSilentAfter(2)).await;
        let node = SmallNode::start(&llm).await;
        let mut asked = prompt("stream.test", "r1");
        asked.body = vec![b'x'; BODY_BYTES];
        let mut connection = caller::open(node.running.callers, &asked).await;
        while connection.pending().is_empty() {
            connection.fill().await.expect("a first byte");
        }
        assert_eq!(node.held_bodies(), 0);
        assert_eq!(node.running.gateway.requests_in_flight(), 1);
    });
}

// Guards against answers that are lost because there is no memory to collect them whole.
#[test]
fn an_answer_that_there_is_no_memory_to_collect_is_forwarded_piece_by_piece() {
    const ANSWER_BYTES: usize = 100_000;
    smol::block_on(async {
        let behaviour = Behaviour::AnswerLarge(200, ANSWER_BYTES);
        let app = StandInEngine::start("app-1", "app", behaviour).await;
        let node = SmallNode::start(&app).await;
        let answer = caller::send(node.running.callers, &request("safe.test", "r1")).await;
        assert_eq!(answer.status(), 200);
        assert!(answer.is_whole);
        assert_eq!(answer.body.len(), ANSWER_BYTES);
        assert!(answer
            .head
            .headers
            .has_token("transfer-encoding", "chunked"));
        node.wait_until_nothing_is_held().await;
    });
}

// Guards against answers to calls that are not counted.
#[test]
fn a_call_whose_answer_there_is_no_memory_for_is_given_up() {
    smol::block_on(async {
        let behaviour = Behaviour::AnswerLarge(200, 60_000);
        let app = StandInEngine::start("app-1", "app", behaviour).await;
        let memory = Share::new(ShareLimits::of_bytes(10_000));
        let mut connection = CallConnection::new(app.address, 1_048_576, Arc::clone(&memory));
        let head = request("safe.test", "r1").head;
        let call = connection.call(head, b"body", 2_000).await;
        let error = call.expect_err("no memory").to_string();
        assert!(error.contains("no memory is left"), "{error}");
        assert_eq!(memory.held(), 0);
    });
}
