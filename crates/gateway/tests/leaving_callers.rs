//! Callers that disconnect, callers that stop reading, and bursts of callers.

mod support;

use ploverlift_gateway::callers::{bind, serve_connection, ConnectionLimits, OpenConnections};
use ploverlift_http1::BufferedStream;
use ploverlift_policy::ids::Millis;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use support::caller::{self, prompt, request};
use support::engine::{Behaviour, StandInEngine};
use support::{configuration, site, Fixture};

const MANY: ConnectionLimits = ConnectionLimits {
    max_open: 100,
    min_idle_ms: 0,
};

fn ids(engine: &StandInEngine) -> Vec<String> {
    let heads = engine.heads();
    let ids = heads.iter().filter_map(|head| head.headers.get(site::ID));
    ids.map(str::to_owned).collect()
}

async fn wait_until_dropped(engine: &StandInEngine) {
    while engine.dropped() == 0 {
        engine.happened.recv().await.expect("the engine");
    }
}

/// Serves one connection whose caller wrote these bytes and disconnected before it was
/// accepted.
async fn serve_abandoned(fixture: &Fixture, bytes: &[u8]) {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("write");
    drop(stream);
    let (accepted, _) = listener.accept().await.expect("accept");
    let connections = OpenConnections::new(MANY);
    serve_connection(Arc::clone(&fixture.gateway), accepted, connections.open()).await;
    assert_eq!(connections.count(), 0);
}

#[test]
fn a_request_whose_caller_left_the_accept_queue_is_not_sent() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::KeepConnection).await;
        let fixture = Fixture::new(&[&app]).await;
        // The kept connection of this request would carry the next one at once.
        fixture.send(&request("safe.test", "r1")).await;
        serve_abandoned(&fixture, &caller::encode(&request("safe.test", "r2"))).await;
        fixture.send(&request("safe.test", "r3")).await;
        assert_eq!(ids(&app), ["r1", "r3"]);
    });
}

#[test]
fn a_request_cut_off_inside_its_body_or_head_is_not_served() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let bytes = caller::encode(&request("safe.test", "r1"));
        serve_abandoned(&fixture, &bytes[..bytes.len() - 2]).await;
        serve_abandoned(&fixture, &bytes[..20]).await;
        assert!(app.heads().is_empty());
        assert_eq!(fixture.gateway.requests_in_flight(), 0);
    });
}

#[test]
fn a_disconnect_inside_a_stream_stops_the_engine() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::FallSilentAfter(2)).await;
        let fixture = Fixture::new(&[&llm]).await;
        let asked = prompt("stream.test", "r1");
        let mut connection = caller::open(fixture.running().callers, &asked).await;
        assert!(connection.fill().await.is_ok_and(|count| count > 0));
        drop(connection);
        wait_until_dropped(&llm).await;
    });
}

#[test]
fn a_disconnect_during_a_second_attempt_cancels_that_attempt() {
    smol::block_on(async {
        let bad = StandInEngine::start("app-1", "app", Behaviour::Reset).await;
        let silent = StandInEngine::start("app-2", "app", Behaviour::Silent).await;
        // With this time-out, only the disconnect ends an attempt, not the engine's silence.
        let patient = "[attempts]\ntimeout_objectives = 1000.0\n";
        let fixture = Fixture::with(&[&bad, &silent], configuration(1), patient).await;
        for number in 0.. {
            let id = format!("r{number}");
            let asked = request("safe.test", &id);
            let connection = caller::open(fixture.running().callers, &asked).await;
            // Events of the previous round may still be queued.
            while !ids(&silent).contains(&id) {
                silent.happened.recv().await.expect("the engine");
            }
            let dropped_before = silent.dropped();
            drop(connection);
            while silent.dropped() == dropped_before {
                silent.happened.recv().await.expect("the engine");
            }
            if ids(&bad).contains(&id) {
                break;
            }
        }
    });
}

#[test]
fn a_disconnect_is_noticed_behind_pipelined_bytes() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let fixture = Fixture::new(&[&app]).await;
        let asked = request("patient.test", "r1");
        let mut connection = caller::open(fixture.running().callers, &asked).await;
        app.happened.recv().await.expect("the request arrived");
        let ahead = vec![b'x'; 400 * 1024];
        connection.write_all(&ahead).await.expect("write");
        drop(connection);
        wait_until_dropped(&app).await;
    });
}

#[test]
fn a_caller_that_sends_without_end_does_not_starve_its_own_request() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let address = fixture.running().callers;
        let first = caller::encode(&request("patient.test", "r1"));
        let sending = std::thread::spawn(move || {
            let mut stream = std::net::TcpStream::connect(address).expect("connect");
            stream.write_all(&first).expect("write");
            let ahead = vec![b'x'; 1024 * 1024];
            // The gateway closes the connection after the answer.
            while stream.write_all(&ahead).is_ok() {}
        });
        app.happened.recv().await.expect("the request arrived");
        smol::unblock(|| sending.join()).await.expect("the caller");
    });
}

#[test]
fn a_caller_that_stops_reading_does_not_occupy_its_engine() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Flood).await;
        let fixture =
            Fixture::with(&[&llm], configuration(1), "[callers]\nstalled_ms = 200\n").await;
        let asked = prompt("stream.test", "r1");
        let connection = caller::open(fixture.running().callers, &asked).await;
        wait_until_dropped(&llm).await;
        drop(connection);
    });
}

#[test]
fn an_expired_request_is_refused_without_suspecting_an_engine() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        for number in 0..6 {
            let mut late = request("unsafe.test", &format!("r{number}"));
            late.head.headers.push(site::DEADLINE, "0");
            let status = fixture.send(&late).await.status();
            assert!([408, 503].contains(&status), "{status}");
        }
        assert!(app.heads().is_empty());
        let beliefs = fixture.gateway.beliefs();
        assert!(beliefs
            .engines
            .iter()
            .all(|engine| !engine.health.is_suspected()));
    });
}

#[test]
fn reading_a_body_stops_at_the_callers_deadline() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let mut slow = request("safe.test", "r1");
        slow.head.headers.push(site::DEADLINE, "60");
        let bytes = caller::encode(&slow);
        let mut stream = TcpStream::connect(fixture.running().callers)
            .await
            .expect("connect");
        let began = Instant::now();
        stream
            .write_all(&bytes[..bytes.len() - 1])
            .await
            .expect("write");
        let mut connection = BufferedStream::new(stream);
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 408);
        let idle_timeout_ms = fixture
            .gateway
            .configuration()
            .expect("a configuration")
            .document
            .limits
            .idle_timeout_ms;
        assert!((began.elapsed().as_millis() as u64) < idle_timeout_ms);
        assert!(app.heads().is_empty());
    });
}

#[test]
fn silent_connections_are_closed_for_others_at_the_limit() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let few = "[callers]\nmax_connections = 4\n";
        let fixture = Fixture::with(&[&app], configuration(1), few).await;
        let address = fixture.running().callers;
        let mut silent = Vec::new();
        for _ in 0..12 {
            silent.push(TcpStream::connect(address).await.expect("connect"));
        }
        for number in 0..3 {
            let answer = fixture
                .send(&request("safe.test", &format!("r{number}")))
                .await;
            assert_eq!(answer.status(), 200);
        }
        assert!(fixture.gateway.metrics.connections_closed_for_room.get() > 0);
    });
}

#[test]
fn a_connection_with_a_running_request_stays_open_at_the_limit() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let few = "[callers]\nmax_connections = 1\n";
        let fixture = Fixture::with(&[&app], configuration(1), few).await;
        let address = fixture.running().callers;
        let mut first = caller::open(address, &request("unsafe.test", "r1")).await;
        app.happened.recv().await.expect("the request arrived");
        app.set(Behaviour::Answer);
        let waiting = caller::open(address, &request("unsafe.test", "r2")).await;
        let answer = caller::read(&mut first).await.expect("an answer");
        assert_eq!(answer.status(), 504);
        drop(first);
        let mut waiting = waiting;
        let answer = caller::read(&mut waiting).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    });
}

#[test]
fn every_caller_of_a_burst_is_answered() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        // The engine of the test accepts its connections one by one on the same processor.
        // The test does not check how fast it does.
        let patient = "[attempts]\nconnect_timeout_ms = 10000\n";
        let fixture = Fixture::with(&[&app], configuration(1), patient).await;
        let address = fixture.running().callers;
        let callers = (0..300).map(|number| {
            smol::spawn(async move {
                let asked = request("safe.test", &format!("r{number}"));
                caller::send(address, &asked).await.status()
            })
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            assert_eq!(caller.await, 200);
        }
    });
}

#[test]
fn the_longest_idle_connection_is_closed_first() {
    let connections = OpenConnections::new(ConnectionLimits {
        max_open: 2,
        min_idle_ms: 500,
    });
    let (first, second) = (connections.open(), connections.open());
    assert!(!connections.has_capacity());
    assert!(!connections.close_longest_idle(Millis(9_000)));
    let mut second_idle = second.mark_idle(Millis(2_000));
    let mut first_idle = first.mark_idle(Millis(1_000));
    // Neither has been idle long enough: its caller is about to send a request.
    assert!(!connections.close_longest_idle(Millis(1_400)));
    let moved_idle = second_idle;
    assert!(connections.close_longest_idle(Millis(2_600)));
    second_idle = moved_idle;
    // The order is that of the calls to `mark_idle`, so the second connection is first.
    smol::block_on(second_idle.wait_for_close_request());
    assert!(connections.close_longest_idle(Millis(2_600)));
    smol::block_on(first_idle.wait_for_close_request());
    drop((second_idle, first_idle));
    drop(first);
    assert!(connections.has_capacity());
}
