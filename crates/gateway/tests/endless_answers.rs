//! Engines that send without end. On the one thread of the executor other requests are answered
//! meanwhile, the connection is closed in time, and the caller gets a clear result.

mod support;

use ploverlift_balancing::names::InstanceId;
use ploverlift_bytebudget::limits::ShareLimits;
use ploverlift_bytebudget::share::Share;
use ploverlift_gateway::answer_limits::ANSWER_LIMITS;
use ploverlift_gateway::http_call::CallConnection;
use ploverlift_http1::{BufferedStream, RequestHead, Target};
use serde_json::json;
use std::cell::Cell;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::caller::{self, prompt, request, Answer};
use support::engine::{all_events, event, Behaviour, StandInEngine};
use support::exclusive::run_exclusively;
use support::{configuration, route, site, Fixture};

/// Time-out of the routes to the endless engine, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;
/// Longest time until the connection to the engine is closed.
const CLOSED_WITHIN: Duration = Duration::from_millis(TIMEOUT_MS + 1_500);
/// Time by which the answers to other requests may be later than before.
const LATER_AT_MOST: Duration = Duration::from_millis(50);
/// Share of the other requests of a case that a busy machine may delay by more.
const LATE_SHARE: f64 = 0.1;
/// Longest time until any answer to another request.
const LATEST: Duration = Duration::from_millis(500);
/// Number of requests whose answers show the usual time.
const USUAL_REQUESTS: usize = 20;

/// What an engine sends in answer to a request.
#[derive(Clone, Debug)]
struct Flood {
    /// Status line and headers, up to where `piece` goes on.
    start: String,
    /// Sent until the connection is closed, or until `bytes` were sent.
    piece: &'static str,
    bytes: usize,
    /// Pause before the first piece.
    pause: Duration,
}

/// A signed head that ends with these lines.
fn head(status: &str, lines: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{}: 1\r\n{}: ID\r\n{lines}",
        site::SIGNED,
        site::ID
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn endless(start: String, piece: &'static str) -> Flood {
    let bytes = usize::MAX;
    Flood {
        start,
        piece,
        bytes,
        pause: Duration::ZERO,
    }
}

/// An engine on a thread of its own.
struct FloodingEngine {
    address: SocketAddr,
    /// Time from the start of each answer to its end.
    closed: async_channel::Receiver<Duration>,
}

impl FloodingEngine {
    fn start(flood: Flood) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (closing, closed) = async_channel::unbounded();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (flood, closing) = (flood.clone(), closing.clone());
                std::thread::spawn(move || answer(stream, &flood, &closing));
            }
        });
        Self { address, closed }
    }

    fn record(&self, service: &str) -> serde_json::Value {
        json!({"service": service, "address": self.address.to_string(),
               "weights": 1, "software": ""})
    }
}

/// Reads the head of a request; `None` when the connection ends.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while !received.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => received.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&received).into_owned())
}

/// Serves a connection up to its first request, which gets the endless answer. Calls for the
/// contents of the cache are held, and find none.
fn answer(mut stream: TcpStream, flood: &Flood, closing: &async_channel::Sender<Duration>) {
    let text = loop {
        let Some(text) = read_head(&mut stream) else {
            return;
        };
        if !text.contains(" /cache/") {
            break text;
        }
        std::thread::sleep(Duration::from_millis(100));
        let none = "{\"epoch\": 1, \"next\": 1, \"events\": []}";
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{none}",
            none.len()
        );
        let _ = stream.write_all(answer.as_bytes());
    };
    let ids = text.lines().filter_map(|line| line.split_once(": "));
    let mut ids = ids.filter(|(name, _)| name.eq_ignore_ascii_case(site::ID));
    let id = ids.next().map_or("", |(_, id)| id);
    let began = Instant::now();
    let start = flood.start.replace("ID", id);
    let pieces = flood.piece.repeat(32 * 1024 / flood.piece.len() + 1);
    let (mut written, mut sent) = (stream.write_all(start.as_bytes()), 0);
    std::thread::sleep(flood.pause);
    while written.is_ok() && sent < flood.bytes {
        written = stream.write_all(pieces.as_bytes());
        sent += pieces.len();
    }
    let _ = closing.try_send(began.elapsed());
}

/// A node, a sound engine of one service and an endless one of another.
struct Site {
    fixture: Fixture,
    _app: StandInEngine,
    flooding: FloodingEngine,
}

impl Site {
    async fn new(flood: Flood, more: &str) -> Self {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let flooding = FloodingEngine::start(flood);
        let mut configuration = configuration(1);
        configuration["routes"] = json!([
            route("safe.test", "safe", "app", 3_000),
            route("plain.test", "unsafe", "other", TIMEOUT_MS),
            route("stream.test", "stream", "llm", TIMEOUT_MS),
            route("resume.test", "resumable", "llm", 5_000),
        ]);
        let fixture = Fixture::with(&[&app], configuration, more).await;
        for service in ["llm", "other"] {
            let name = format!("{service}-endless");
            fixture
                .store
                .put("Engines", &name, flooding.record(service));
        }
        let is_known = || fixture.gateway.beliefs().engines.len() >= 3;
        while !is_known() {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        Self {
            fixture,
            _app: app,
            flooding,
        }
    }

    /// Time until the answer to a request at the sound engine.
    async fn ask_sound(&self, number: usize) -> Duration {
        let began = Instant::now();
        let answer = self
            .fixture
            .send(&request("safe.test", &format!("s{number}")))
            .await;
        assert_eq!(answer.status(), 200);
        began.elapsed()
    }

    /// Sends a request to the endless engine, and others to the sound one meanwhile. Their
    /// answers must not be late, and the connection must be closed in time.
    async fn ask_beside_others(&self, asked: &caller::Request, case: &str) -> Answer {
        let mut usual = Duration::ZERO;
        for number in 0..USUAL_REQUESTS {
            usual = usual.max(self.ask_sound(number).await);
        }
        let (late, asked_others) = (Cell::new(0), Cell::new(0));
        let answer = async {
            let answer = self.fixture.send(asked).await;
            let closed = self.flooding.closed.recv().await.expect("an answer");
            assert!(closed < CLOSED_WITHIN, "{case}: closed after {closed:?}");
            answer
        };
        let others = async {
            for number in USUAL_REQUESTS.. {
                let took = self.ask_sound(number).await;
                assert!(took < LATEST, "{case}: {took:?}");
                late.set(late.get() + usize::from(took > usual + LATER_AT_MOST));
                asked_others.set(asked_others.get() + 1);
                smol::Timer::after(Duration::from_millis(5)).await;
            }
            unreachable!("ends with the answer")
        };
        let answer = futures_lite::future::or(answer, others).await;
        let most = 1 + (asked_others.get() as f64 * LATE_SHARE) as usize;
        let late = late.get();
        assert!(late <= most, "{case}: {late} of {asked_others:?} late");
        answer
    }

    /// Failure rate of an endless engine, as the node has observed it.
    fn failure_rate(&self, instance: &str) -> f64 {
        let now = self.fixture.gateway.clock.now();
        let beliefs = self.fixture.gateway.beliefs();
        let engine = beliefs.engines.get(&InstanceId(instance.to_owned()));
        engine.expect("a known engine").health.failure_rate(now)
    }
}

/// Runs a test alone: tests of one process share the thread of the executor.
fn run(test: impl Future<Output = ()>) {
    let _exclusive = run_exclusively();
    smol::block_on(test);
}

// Guards against a stream that goes on without a line end stopping its node.
#[test]
fn a_stream_without_line_ends_is_broken_off_beside_other_requests() {
    run(async {
        let chunked = head("200 OK", "transfer-encoding: chunked\r\n\r\n");
        let unframed = head("200 OK", "\r\n");
        let events = format!("{}{}", event(1), event(2));
        let long_chunk = format!("{chunked}{}7fffffffffffffff\r\n", chunk(&events));
        let long = head("200 OK", "content-length: 9223372036854775807\r\n\r\n");
        for (start, piece) in [
            (format!("{unframed}{events}"), "x"),
            (format!("{chunked}{}", chunk(&events)), "8\r\nxxxxxxxx\r\n"),
            (format!("{chunked}{}", chunk(&events)), "1\r\nx\r\n"),
            (long_chunk, "x"),
        ] {
            let case = format!("{start} {piece}");
            let site = Site::new(endless(start, piece), "").await;
            let answer = site
                .ask_beside_others(&prompt("stream.test", "r"), &case)
                .await;
            assert_eq!(answer.text(), events, "{case}");
            assert!(!answer.is_whole, "{case}");
            assert!(site.failure_rate("llm-endless") > 0.0, "{case}");
        }
        let site = Site::new(endless(format!("{long}{events}"), "x"), "").await;
        let answer = site
            .ask_beside_others(&prompt("stream.test", "r"), "length")
            .await;
        assert!(answer.status() >= 500);
        assert!(site.failure_rate("llm-endless") > 0.0);
    });
}

// Guards against sound events without end outlasting the time of their request.
#[test]
fn events_without_end_are_broken_off_when_their_time_is_up() {
    run(async {
        for piece in [
            "\n",
            ": x\n\n",
            "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n",
        ] {
            let site = Site::new(endless(head("200 OK", "\r\n"), piece), "").await;
            let answer = site
                .ask_beside_others(&prompt("stream.test", "r"), piece)
                .await;
            assert!(!answer.is_whole, "{piece:?}");
        }
    });
}

// Guards against what frames a message having no limit.
#[test]
fn framing_without_end_is_given_up_beside_other_requests() {
    run(async {
        let chunked = head("200 OK", "transfer-encoding: chunked\r\n\r\n");
        for (start, piece) in [
            (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            (String::new(), "\r\n"),
            (head("200 OK", "x: "), "x"),
            (
                format!("{chunked}{}0\r\n", chunk(&all_events())),
                "x: y\r\n",
            ),
            (format!("{chunked}1;"), "x"),
            (chunked.clone(), "0000000000000000000000000000000000000000"),
        ] {
            let case = format!("{start} {piece}");
            let site = Site::new(endless(start, piece), "").await;
            for (host, engine) in [
                ("stream.test", "llm-endless"),
                ("plain.test", "other-endless"),
            ] {
                let asked = match host {
                    "stream.test" => prompt(host, "r"),
                    host => request(host, "r"),
                };
                let answer = site.ask_beside_others(&asked, &case).await;
                assert!(!answer.is_whole || answer.status() >= 500, "{case} {host}");
                assert!(site.failure_rate(engine) > 0.0, "{case} {host}");
            }
        }
    });
}

// Guards against answers and failures without end occupying a node; a sound large answer is
// passed on.
#[test]
fn plain_answers_without_end_are_given_up_beside_other_requests() {
    run(async {
        for status in ["200 OK", "404 Not Found", "500 Error"] {
            let long = "content-length: 9223372036854775807\r\n\r\n";
            for (lines, piece) in [
                ("\r\n", "x"),
                (long, "x"),
                ("transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
            ] {
                let case = format!("{status} {lines}");
                let site = Site::new(endless(head(status, lines), piece), "").await;
                let answer = site
                    .ask_beside_others(&request("plain.test", "r"), &case)
                    .await;
                assert!(
                    !answer.is_whole || answer.status() == 502,
                    "{case} {}",
                    answer.status()
                );
                assert!(site.failure_rate("other-endless") > 0.0, "{case}");
            }
        }
        let bytes = 16 * 1024 * 1024;
        assert!(bytes > ANSWER_LIMITS.buffered_bytes && bytes as u64 <= ANSWER_LIMITS.body_bytes);
        let start = head("200 OK", &format!("content-length: {bytes}\r\n\r\n"));
        let piece = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";
        let sound = Flood {
            bytes,
            ..endless(start, piece)
        };
        let site = Site::new(sound, "").await;
        let answer = site
            .ask_beside_others(&request("plain.test", "r"), "sound")
            .await;
        assert_eq!((answer.status(), answer.is_whole), (200, true));
        assert_eq!(answer.body.len(), bytes);
    });
}

// Guards against a stream that may be resumed ending with its endless engine.
#[test]
fn a_resumable_stream_goes_on_elsewhere() {
    run(async {
        let events = format!("{}{}", event(1), event(2));
        let start = format!("{}{events}", head("200 OK", "\r\n"));
        let flood = Flood {
            pause: Duration::from_millis(1_200),
            ..endless(start, "x")
        };
        let site = Site::new(flood, "[attempts]\nstream_silence_ms = 5000\n").await;
        let sound = StandInEngine::start("llm-sound", "llm", Behaviour::Answer).await;
        let asked = prompt("resume.test", "r");
        let asking = site.fixture.send(&asked);
        let joining = async {
            // By then the endless engine, the only one, has the request.
            smol::Timer::after(Duration::from_millis(200)).await;
            let store = &site.fixture.store;
            store.put("Engines", &sound.instance, sound.record());
            std::future::pending().await
        };
        let answer = futures_lite::future::or(asking, joining).await;
        let heads = sound.heads();
        assert_eq!(answer.text(), all_events(), "{} {heads:?}", answer.status());
        assert!(answer.is_whole);
        assert_eq!(heads.len(), 1);
        assert_eq!(heads[0].headers.get(site::AFTER), Some("2"));
    });
}

// Guards against a call's answer without end being read up to the limit of another kind of call.
#[test]
fn a_call_is_given_up_at_its_limit() {
    run(async {
        let long = "content-length: 9223372036854775807\r\n\r\n";
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        for (lines, piece, exceeded) in [
            ("\r\n", "x", "the answer is over 65536 bytes"),
            (long, "x", "the answer is over 65536 bytes"),
            (chunked, "1\r\nx\r\n", "the answer is over 65536 bytes"),
            ("x: ", "x", "the head is over 32768 bytes"),
        ] {
            let engine = FloodingEngine::start(endless(head("200 OK", lines), piece));
            let limit = ANSWER_LIMITS.report_bytes;
            let memory = Share::new(ShareLimits::of_bytes(1_048_576));
            let mut connection = CallConnection::new(engine.address, limit, memory);
            let call = connection.call(RequestHead::new("GET", Target::default()), &[], 2_000);
            let error = call.await.expect_err("no end").to_string();
            assert!(error.contains(exceeded), "{error}");
            let closed = engine.closed.recv().await.expect("closed");
            assert!(closed < CLOSED_WITHIN, "{closed:?}");
        }
    });
}

// Guards against a caller that sends without end keeping others waiting.
#[test]
fn callers_that_send_without_end_are_refused_beside_others() {
    run(async {
        let site = Site::new(endless(String::new(), "x"), "").await;
        let chunked =
            "POST /work HTTP/1.1\r\nhost: safe.test\r\ntransfer-encoding: chunked\r\n\r\n";
        for (start, piece, status) in [
            (chunked.to_owned(), "1\r\nx\r\n", 413),
            (format!("{chunked}0\r\n"), "x: y\r\n", 400),
            (format!("{chunked}1;"), "x", 400),
            ("GET / HTTP/1.1\r\nx: ".to_owned(), "x", 431),
            ("\n".to_owned(), "\r\n", 431),
        ] {
            let mut usual = Duration::ZERO;
            for number in 0..USUAL_REQUESTS {
                usual = usual.max(site.ask_sound(number).await);
            }
            let address = site.fixture.running().callers;
            let stream = TcpStream::connect(address).expect("connect");
            let mut sending = stream.try_clone().expect("clone");
            let sender = std::thread::spawn(move || {
                let pieces = piece.repeat(32 * 1024 / piece.len() + 1);
                let mut written = sending.write_all(start.as_bytes());
                while written.is_ok() {
                    written = sending.write_all(pieces.as_bytes());
                }
            });
            let stream = smol::net::TcpStream::try_from(stream).expect("a stream");
            let mut connection = BufferedStream::new(stream);
            let answer = caller::read(&mut connection).await.expect("an answer");
            assert_eq!(answer.status(), status, "{piece:?}");
            let mut late = 0;
            for number in 0..100 {
                let took = site.ask_sound(number).await;
                assert!(took < LATEST, "{piece:?}: {took:?}");
                late += usize::from(took > usual + LATER_AT_MOST);
            }
            assert!(late <= 10, "{piece:?}: {late} of 100 late");
            smol::unblock(|| sender.join()).await.expect("the caller");
        }
    });
}
