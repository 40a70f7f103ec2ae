//! Heads that are no answer, and heads in the middle of which an engine stops, on every path by
//! which a node reads the answer to a request.

mod support;

use event_listener::Event;
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::time::sleep;
use ploverlift_http1::{read_request_head, BufferedStream};
use serde_json::json;
use smol::net::TcpListener;
use socket2::SockRef;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::caller::{prompt, request, Answer, Request};
use support::fleet::start_behind_peer;
use support::store::{StandInStore, StoreView};
use support::{configuration, site, start_node, Fixture};

/// Settings of nodes that may send each case a second time.
const RETRIES: &str = "[attempts]\nretry_reserve = 1000000.0\n";
/// Time for the end of a connection to arrive, in milliseconds.
const END_ARRIVES_MS: u64 = 50;

/// Requests whose ids begin like this get a complete answer, after which the connection stays open.
const SOUND: &str = "sound";

/// What an engine does after the last byte that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    Silence,
    /// Closes the connection once another engine has the request, which sends a complete answer
    /// afterwards.
    SilenceThenClose,
}

/// What an engine sends to requests other than [`SOUND`] ones.
#[derive(Clone, Debug)]
struct Script {
    bytes: Vec<u8>,
    end: End,
}

/// What engines know.
struct Engines {
    script: Mutex<Script>,
    /// Ids of the requests that arrived.
    arrived: Mutex<HashSet<String>>,
    /// Notified when a request arrives again.
    arrived_again: Event,
}

/// Engines that answer by a script.
struct ScriptedSite {
    fixture: Fixture,
    engines: Arc<Engines>,
    /// The node through which the first one reaches the engines, if it does not itself.
    _peer: Option<(RunningGateway, StoreView)>,
}

impl ScriptedSite {
    async fn start() -> Self {
        let (store, engines, _) = start_engines().await;
        let node = start_node(&store, "node", RETRIES);
        Self::of(store, engines, node, None).await
    }

    /// Like [`Self::start`], with a node that reaches the engines only through another one.
    async fn start_behind_tunnel() -> Self {
        let (store, engines, addresses) = start_engines().await;
        let ([node, peer], view) = start_behind_peer(&store, &addresses, RETRIES).await;
        Self::of(store, engines, node, Some((peer, view))).await
    }

    async fn of(
        store: StandInStore,
        engines: Arc<Engines>,
        node: RunningGateway,
        peer: Option<(RunningGateway, StoreView)>,
    ) -> Self {
        let fixture = Fixture {
            store,
            gateway: Arc::clone(&node.gateway),
            running: Some(node),
        };
        fixture.wait_until_ready().await;
        Self {
            fixture,
            engines,
            _peer: peer,
        }
    }

    fn set(&self, bytes: &[u8], end: End) {
        *self.engines.script.lock().expect("script") = Script {
            bytes: bytes.to_vec(),
            end,
        };
    }

    async fn send(&self, request: &Request) -> Answer {
        self.fixture.send(request).await
    }
}

/// A store with two engines of each service, and their addresses.
async fn start_engines() -> (StandInStore, Arc<Engines>, Vec<SocketAddr>) {
    let engines = Arc::new(Engines {
        script: Mutex::new(Script {
            bytes: Vec::new(),
            end: End::Close,
        }),
        arrived: Mutex::default(),
        arrived_again: Event::new(),
    });
    let store = StandInStore::start().await;
    store.put("Configuration", "main", configuration(1));
    let mut addresses = Vec::new();
    for (service, count) in [("app", 2), ("llm", 2)] {
        for number in 0..count {
            let address = start_engine(&engines).await;
            let weights = (service == "llm").then_some(1);
            let record = json!({"service": service, "address": address.to_string(),
                                "weights": weights});
            store.put("Engines", &format!("{service}-{number}"), record);
            addresses.push(address);
        }
    }
    (store, engines, addresses)
}

async fn start_engine(engines: &Arc<Engines>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let engines = Arc::clone(engines);
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let engines = Arc::clone(&engines);
            smol::spawn(serve(BufferedStream::new(stream), engines)).detach();
        }
    })
    .detach();
    address
}

async fn serve(mut connection: BufferedStream, engines: Arc<Engines>) {
    while let Ok((head, mut decoder)) = read_request_head(&mut connection, 65_536).await {
        let mut body = Vec::new();
        while let Ok(true) = decoder.read(&mut connection, &mut body).await {}
        let id = head.headers.get(site::ID).unwrap_or_default().to_owned();
        if id.starts_with(SOUND) {
            let answer = answer_to(&id);
            if connection.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let Script { bytes, end } = engines.script.lock().expect("script").clone();
        let arrived_again = engines.arrived_again.listen();
        let is_first = engines.arrived.lock().expect("ids").insert(id.clone());
        if end == End::SilenceThenClose && !is_first {
            engines.arrived_again.notify(usize::MAX);
            sleep(END_ARRIVES_MS).await;
            let _ = connection.write_all(answer_to(&id).as_bytes()).await;
            return;
        }
        let bytes = String::from_utf8_lossy(&bytes).replace("ID", &id);
        let _ = connection.write_all(bytes.as_bytes()).await;
        match end {
            End::Close => return,
            End::Reset => {
                // Bytes that the node has not received are lost with a reset.
                sleep(2).await;
                let _ = SockRef::from(&connection.writer()).set_linger(Some(Duration::ZERO));
                return;
            }
            End::SilenceThenClose => return arrived_again.await,
            End::Silence => {
                while connection.fill().await.is_ok_and(|count| count > 0) {}
                return;
            }
        }
    }
}

fn answer_to(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: 1\r\nContent-Length: 2\r\n\r\nok",
        site::ID,
        site::SIGNED
    )
}

/// A path by which a node reads an answer.
#[derive(Clone, Copy, Debug)]
enum AnswerPath {
    /// The first answer on a connection, to a request that may run only once.
    New,
    /// An answer on a connection whose former answer was whole.
    Kept,
    /// A second attempt at another engine.
    Repeated,
    /// A stream.
    Stream,
    /// A stream that its caller takes up.
    Resumed,
}

const PATHS: [AnswerPath; 5] = [
    AnswerPath::New,
    AnswerPath::Kept,
    AnswerPath::Repeated,
    AnswerPath::Stream,
    AnswerPath::Resumed,
];

impl AnswerPath {
    async fn answer(self, site: &ScriptedSite, id: &str) -> Answer {
        match self {
            Self::New => site.send(&request("unsafe.test", id)).await,
            Self::Repeated => site.send(&request("safe.test", id)).await,
            Self::Kept => {
                let sound = request("safe.test", &format!("{SOUND}-{id}"));
                assert_eq!(site.send(&sound).await.text(), "ok");
                site.send(&request("safe.test", id)).await
            }
            Self::Stream => site.send(&prompt("stream.test", id)).await,
            Self::Resumed => {
                let mut taken_up = prompt("resume.test", id);
                taken_up.head.headers.set(site::AFTER, "1");
                site.send(&taken_up).await
            }
        }
    }
}

async fn assert_no_such_head_reaches_a_caller(site: &ScriptedSite) {
    let statuses = [
        "000", "001", "099", "600", "700", "999", "101", "2000", "20", "-20",
    ];
    for (number, status) in statuses.into_iter().enumerate() {
        let head = format!(
            "HTTP/1.1 {status} Fine\r\n{}: ID\r\n{}: 1\r\nContent-Length: 2\r\n\r\nok",
            site::ID,
            site::SIGNED
        );
        site.set(head.as_bytes(), End::Close);
        for path in PATHS {
            let answer = path.answer(site, &format!("r{number}-{path:?}")).await;
            assert_eq!(answer.status(), 502, "{path:?}: {status}");
            assert!(!answer.text().contains("ok"), "{path:?}: {status}");
        }
    }
}

// Guards against an answer whose status is no status code (000) reaching a caller as an answer.
#[test]
fn heads_that_are_no_answer_reach_no_caller_on_any_path() {
    smol::block_on(async {
        assert_no_such_head_reaches_a_caller(&ScriptedSite::start().await).await;
    });
}

// Guards against the same where another node carries the connection.
#[test]
fn heads_that_are_no_answer_reach_no_caller_through_a_tunnel() {
    smol::block_on(async {
        let site = ScriptedSite::start_behind_tunnel().await;
        assert_no_such_head_reaches_a_caller(&site).await;
        let page = site.fixture.gateway.metrics.page();
        assert!(page.contains("sends_total{path=\"tunnel\"}"), "{page}");
    });
}

fn cut_heads() -> Vec<String> {
    let fields = format!("{}: ID\r\n{}: 1\r\n", site::ID, site::SIGNED);
    vec![
        format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 2\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\n{fields}\r\n"),
        format!(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n"
        ),
    ]
}

// Guards against a head in the middle of which its engine closed the connection reaching a caller
// as a success with an empty or a short body.
#[test]
fn a_head_that_is_cut_at_any_byte_is_no_answer_on_any_path() {
    smol::block_on(async {
        let site = ScriptedSite::start().await;
        let mut number = 0;
        for head in cut_heads() {
            for length in 0..head.len() {
                // Resets take longer: each path gets its share of the bytes.
                let resets = [(End::Reset, PATHS[length % PATHS.len()])];
                let closes = PATHS.map(|path| (End::Close, path));
                for (end, path) in closes.into_iter().chain(resets) {
                    number += 1;
                    site.set(&head.as_bytes()[..length], end);
                    let answer = path.answer(&site, &format!("c{number}")).await;
                    let case = format!("{path:?}, {end:?} after {length} bytes of {head:?}");
                    assert!(answer.status() >= 500, "{case}: {}", answer.status());
                }
            }
        }
    });
}

// Guards against a cut head that arrives through another node, which ends its connection regularly.
#[test]
fn a_head_that_is_cut_at_any_byte_is_no_answer_through_a_tunnel() {
    smol::block_on(async {
        let site = ScriptedSite::start_behind_tunnel().await;
        for (number, head) in cut_heads().into_iter().enumerate() {
            for length in 0..head.len() {
                // Each path gets its share of the bytes.
                let path = PATHS[length % PATHS.len()];
                for end in [End::Close, End::Reset] {
                    site.set(&head.as_bytes()[..length], end);
                    let id = format!("t{number}-{length}-{end:?}");
                    let answer = path.answer(&site, &id).await;
                    let case = format!("{path:?}, {end:?} after {length} bytes of {head:?}");
                    assert!(answer.status() >= 500, "{case}: {}", answer.status());
                }
            }
        }
    });
}

// Guards against a head that is cut while another engine has been asked taking that engine's place.
#[test]
fn a_head_that_is_cut_beside_a_takeover_leaves_the_request_to_the_other_engine() {
    smol::block_on(async {
        let site = ScriptedSite::start().await;
        for (number, head) in cut_heads().into_iter().enumerate() {
            for length in [1, 17, head.len() - 1] {
                site.set(&head.as_bytes()[..length], End::SilenceThenClose);
                let id = format!("o{number}-{length}");
                let answer = site.send(&request("safe.test", &id)).await;
                let case = format!("silence after {length} bytes of {head:?}");
                assert_eq!(answer.status(), 200, "{case}: {}", answer.text());
                assert_eq!((answer.text().as_str(), answer.is_whole), ("ok", true));
            }
        }
    });
}

#[test]
fn a_head_that_never_ends_is_no_answer() {
    smol::block_on(async {
        let site = ScriptedSite::start().await;
        for (number, head) in cut_heads().into_iter().enumerate() {
            for length in [0, 1, 9, 17, head.len() - 3, head.len() - 1] {
                site.set(&head.as_bytes()[..length], End::Silence);
                let id = format!("s{number}-{length}");
                let answer = site.send(&request("brief.test", &id)).await;
                let case = format!("silence after {length} bytes of {head:?}");
                assert!(answer.status() >= 500, "{case}: {}", answer.status());
            }
        }
    });
}
