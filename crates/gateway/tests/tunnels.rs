//! Tunnels that nodes open for each other, and peers that fail.

mod support;

use ploverlift_balancing::names::{EngineTag, InstanceId, PeerId};
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::callers::bind;
use ploverlift_gateway::readiness::metrics_page;
use ploverlift_gateway::time::{sleep, within};
use ploverlift_http1::BufferedStream;
use ploverlift_tunnel::framing::{header, FrameDecoder};
use ploverlift_tunnel::messages::{
    decode_answer, encode_answer, TunnelAnswer, TunnelRefusal, TunnelRequest, MAX_MESSAGE_BYTES,
};
use serde_json::json;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::caller::{self, prompt, request, Request};
use support::configuration;
use support::engine::early_answers::{EarlyAnswer, EarlyEnd};
use support::engine::{all_events, event, AnswerFormat, Behaviour, StandInEngine};
use support::fleet::{start_behind_peer, start_known_nodes};
use support::links::Cut;
use support::partition::PartitionableSite;
use support::site;
use support::store::StandInStore;

/// Polling interval, in milliseconds.
const POLL_MS: u64 = 10;
/// Size of an upload that the buffers between node and engine do not hold, in bytes.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
/// What an engine has read of an upload when it answers, in bytes.
const UPLOAD_BYTES_READ: [usize; 2] = [0, 512 * 1024];
/// Uploads of each case: when the end of a connection arrives is up to the kernel.
const REPEATS: usize = 10;
/// Time within which a request that its caller left is cancelled at its engine.
const CANCELLED_WITHIN: Duration = Duration::from_millis(500);
/// Time within which a connection that asks for no tunnel is closed, in milliseconds.
const CLOSED_WITHIN_MS: u64 = 1_000;
/// Time within which a request is answered although peers hang or there are none.
const ANSWERED_WITHIN: Duration = Duration::from_secs(1);

fn tunnels_of(node: &RunningGateway) -> SocketAddr {
    let settings = node.gateway.settings();
    let name = &settings.node.name;
    let own = PeerId::of(name);
    let book = node.gateway.address_book();
    let listed = book.listed().find(|listed| listed.id == own);
    listed
        .and_then(|listed| listed.tunnels)
        .expect("an address")
}

/// Sends a length prefix and a message.
async fn send_message(stream: &mut TcpStream, message: &[u8]) {
    let prefix = (message.len() as u32).to_be_bytes();
    let prefixed = [prefix.as_slice(), message].concat();
    stream.write_all(&prefixed).await.expect("write");
}

async fn read_message(stream: &mut TcpStream) -> Vec<u8> {
    let mut prefix = [0; 4];
    stream.read_exact(&mut prefix).await.expect("a prefix");
    let mut message = vec![0; u32::from_be_bytes(prefix) as usize];
    stream.read_exact(&mut message).await.expect("a message");
    message
}

async fn ask_for_tunnel(node: &RunningGateway, engine: &InstanceId) -> TunnelAnswer {
    open_tunnel(node, engine).await.1
}

/// Asks for a tunnel; returns its connection as well.
async fn open_tunnel(node: &RunningGateway, engine: &InstanceId) -> (TcpStream, TunnelAnswer) {
    let mut stream = TcpStream::connect(tunnels_of(node)).await.expect("connect");
    let request = TunnelRequest {
        sender: PeerId(1),
        engine: engine.clone(),
    };
    send_message(&mut stream, &request.encode()).await;
    let answer = decode_answer(&read_message(&mut stream).await).expect("an answer");
    (stream, answer)
}

/// Cuts a node off from all engines, and sends requests until it knows that.
async fn cut_off(site: &PartitionableSite, node: usize, cut: Cut) {
    let engines = site.all_engines();
    site.cut(&[node], &engines, cut).await;
    let is_cut = |engine: &usize| {
        let tag = EngineTag::of(&site.instance(*engine));
        let beliefs = site.nodes[node].gateway.beliefs();
        beliefs.engine_paths.is_cut(tag)
    };
    while !engines.iter().all(is_cut) {
        let warm_up = prompt("resume.test", "warm-up");
        caller::send(site.nodes[node].callers, &warm_up).await;
    }
}

/// Waits until a request has arrived at an engine. Other tunnels may be open meanwhile.
async fn wait_until_arrived(site: &PartitionableSite, id: &str) {
    let arrived = || {
        let mut ids = site.engines.iter().flat_map(StandInEngine::arrived_ids);
        ids.any(|arrived| arrived == id)
    };
    while !arrived() {
        sleep(POLL_MS).await;
    }
}

#[test]
fn a_tunnel_is_opened_to_an_engine_that_the_peer_reaches() {
    smol::block_on(async {
        let site = PartitionableSite::start(2, 1, Behaviour::Answer).await;
        let answer = ask_for_tunnel(&site.nodes[1], &site.instance(0)).await;
        assert_eq!(answer, Ok(()));
    });
}

// Guards against a stream that broke off behind a tunnel being framed as complete for its caller.
#[test]
fn an_unframed_stream_through_a_tunnel_that_ends_inside_an_event_is_not_complete() {
    smol::block_on(async {
        let site = PartitionableSite::start(2, 1, Behaviour::Answer).await;
        cut_off(&site, 0, Cut::Reset).await;
        let engine = &site.engines[0];
        engine.set_format(AnswerFormat::UNFRAMED);
        let node = site.nodes[0].callers;
        let whole = caller::send(node, &prompt("stream.test", "whole")).await;
        assert_eq!((whole.text(), whole.is_whole), (all_events(), true));
        for behaviour in [Behaviour::BreakInside(3), Behaviour::ResetInside(3)] {
            engine.set(behaviour.clone());
            let broken = caller::send(node, &prompt("stream.test", "broken")).await;
            let expected: String = (1..3).map(event).collect();
            let received = (broken.text(), broken.is_whole);
            assert_eq!(received, (expected, false), "{behaviour:?}");
        }
        let sent = site.nodes[0].gateway.metrics.page();
        assert!(sent.contains("sends_total{path=\"tunnel\"}"), "{sent}");
    });
}

// Guards against a process in the internal network using a node to connect to anything.
#[test]
fn no_tunnel_is_opened_to_an_address_or_an_unknown_engine() {
    smol::block_on(async {
        let site = PartitionableSite::start(2, 1, Behaviour::Answer).await;
        let other = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = other.local_addr().expect("address").to_string();
        for name in [address.as_str(), "no-such-engine", ""] {
            let engine = InstanceId(name.to_owned());
            let answer = ask_for_tunnel(&site.nodes[1], &engine).await;
            assert_eq!(answer, Err(TunnelRefusal::UnknownEngine), "{name}");
        }
    });
}

// Guards against requests that reach an engine through a peer after that peer knew that it leaves.
#[test]
fn no_tunnel_is_opened_to_an_engine_that_leaves() {
    smol::block_on(async {
        let site = PartitionableSite::start(2, 1, Behaviour::Answer).await;
        let mut record = site.engines[0].record();
        record["leaving"] = json!(true);
        site.store.put("Engines", &site.engines[0].instance, record);
        let engine = site.instance(0);
        let is_known = || {
            let beliefs = site.nodes[1].gateway.beliefs();
            let known = beliefs.engines.get(&engine);
            known.is_some_and(|known| known.record.is_leaving)
        };
        while !is_known() {
            sleep(POLL_MS).await;
        }
        let answer = ask_for_tunnel(&site.nodes[1], &engine).await;
        assert_eq!(answer, Err(TunnelRefusal::EngineUnavailable));
    });
}

// Guards against tunnels through tunnels, and so against loops of nodes.
#[test]
fn a_node_that_is_cut_off_itself_opens_no_tunnel() {
    smol::block_on(async {
        let site = PartitionableSite::start(3, 2, Behaviour::Answer).await;
        cut_off(&site, 1, Cut::Reset).await;
        let answer = ask_for_tunnel(&site.nodes[1], &site.instance(0)).await;
        let is_refused = matches!(
            answer,
            Err(TunnelRefusal::Unreachable {
                is_link_suspected: true,
                ..
            })
        );
        assert!(is_refused, "{answer:?}");
    });
}

// Guards against requests for tunnels that are invalid, too large or never end.
#[test]
fn connections_that_ask_for_no_tunnel_are_closed() {
    smol::block_on(async {
        let site = PartitionableSite::start(2, 1, Behaviour::Answer).await;
        let too_large = (MAX_MESSAGE_BYTES as u32 + 1).to_be_bytes();
        let opening: [&[u8]; 4] = [b"", &[0, 0], &too_large, b"GET / HTTP/1.1\r\n\r\n"];
        for bytes in opening {
            let address = tunnels_of(&site.nodes[1]);
            let mut stream = TcpStream::connect(address).await.expect("connect");
            stream.write_all(bytes).await.expect("write");
            let mut received = Vec::new();
            let reading = stream.read_to_end(&mut received);
            let closed = within(CLOSED_WITHIN_MS, reading).await;
            assert!(closed.is_some(), "open after {bytes:?}");
            assert!(received.is_empty());
        }
    });
}

// Guards against engines that go on working for callers that left, because the peer keeps the
// engine's connection open.
#[test]
fn a_caller_that_leaves_cancels_its_request_through_a_tunnel() {
    smol::block_on(async {
        let site = PartitionableSite::start(2, 2, Behaviour::Answer).await;
        cut_off(&site, 0, Cut::Reset).await;
        for engine in &site.engines {
            engine.set(Behaviour::Silent);
        }
        let asked = prompt("stream.test", "leaves");
        let connection = caller::open(site.nodes[0].callers, &asked).await;
        wait_until_arrived(&site, "leaves").await;
        drop(connection);
        let left_at = Instant::now();
        while site.engines.iter().all(|engine| engine.dropped() == 0) {
            sleep(POLL_MS).await;
        }
        assert!(
            left_at.elapsed() <= CANCELLED_WITHIN,
            "{:?}",
            left_at.elapsed()
        );
    });
}

// Guards against answers that are lost because the peer that carries them shuts down as planned.
#[test]
fn a_peer_that_stops_carries_open_tunnels_to_their_end() {
    smol::block_on(async {
        let mut site = PartitionableSite::start(2, 2, Behaviour::Answer).await;
        cut_off(&site, 0, Cut::Reset).await;
        for engine in &site.engines {
            engine.set(Behaviour::StreamSlowly(20));
        }
        let asked = prompt("stream.test", "slow");
        let mut connection = caller::open(site.nodes[0].callers, &asked).await;
        wait_until_arrived(&site, "slow").await;
        let peer = site.nodes.remove(1);
        let stopping = smol::spawn(peer.stop());
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert!(answer.is_whole);
        let events: String = (1..=20).map(event).collect();
        assert_eq!(answer.text(), events);
        stopping.await;
    });
}

/// Lists a peer in the store that opens tunnels at this address.
fn list_peer(site: &PartitionableSite, name: &str, tunnels: SocketAddr) {
    // Nodes are told apart by where they receive reports; nothing reads them there.
    let record = json!({"address": tunnels, "zone": "z", "tunnels": tunnels});
    site.store.put("Nodes", name, record);
}

async fn wait_until_listed(site: &PartitionableSite, nodes: usize) {
    while site.nodes[0].gateway.address_book().listed_nodes() < nodes {
        sleep(POLL_MS).await;
    }
}

// Guards against a peer that is killed being taken for an engine that has ended its answer: an
// answer without a length ends with its connection.
#[test]
fn an_answer_is_not_complete_when_its_peer_ends() {
    smol::block_on(async {
        let site = PartitionableSite::start(1, 1, Behaviour::Answer).await;
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        list_peer(&site, "peer", listener.local_addr().expect("address"));
        wait_until_listed(&site, 2).await;
        site.cut(&[0], &[0], Cut::Reset).await;
        let _peer = smol::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                read_message(&mut stream).await;
                send_message(&mut stream, &encode_answer(&Ok(()))).await;
                let mut request = [0; 1_024];
                let _ = stream.read(&mut request).await;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{}: r1\r\n{}: 1\r\n\r\npart of the body",
                    site::ID,
                    site::SIGNED
                );
                let frame = [header(answer.len()).as_slice(), answer.as_bytes()].concat();
                let _ = stream.write_all(&frame).await;
            }
        });
        let asked = prompt("stream.test", "r1");
        let mut connection = caller::open(site.nodes[0].callers, &asked).await;
        let answer = caller::read(&mut connection).await;
        let is_success = answer.is_some_and(|answer| answer.status() == 200 && answer.is_whole);
        assert!(!is_success);
    });
}

// Guards against requests that wait for a peer that is frozen.
#[test]
fn a_peer_that_hangs_is_passed_over() {
    smol::block_on(async {
        let site = PartitionableSite::start(2, 1, Behaviour::Answer).await;
        let mut hanging = Vec::new();
        for number in 0..2 {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
            let address = listener.local_addr().expect("address");
            list_peer(&site, &format!("hanging-{number}"), address);
            // Connections stay in the accept queue.
            hanging.push(listener);
        }
        wait_until_listed(&site, 4).await;
        site.cut(&[0], &[0], Cut::Reset).await;
        for number in 0..8 {
            let began = Instant::now();
            let asked = prompt("stream.test", &format!("r{number}"));
            let answer = caller::send(site.nodes[0].callers, &asked).await;
            assert_eq!(answer.status(), 200);
            assert_eq!(answer.text(), all_events());
            assert!(began.elapsed() <= ANSWERED_WITHIN, "{:?}", began.elapsed());
        }
    });
}

/// The value of a gauge on the node's page of metrics.
fn gauge(node: &RunningGateway, name: &str) -> f64 {
    let page = metrics_page(&node.gateway);
    let sample = format!("ploverlift_gateway_{name} ");
    let value = page.lines().find_map(|line| line.strip_prefix(&sample));
    value.expect("a gauge").parse().expect("a number")
}

// Guards against an alert on engines that are cut off that goes on when all are reached again.
#[test]
fn the_metrics_show_engines_as_cut_off_until_they_are_reached_again() {
    smol::block_on(async {
        let site = PartitionableSite::start(2, 2, Behaviour::Answer).await;
        cut_off(&site, 0, Cut::Reset).await;
        assert_eq!(gauge(&site.nodes[0], "engines_cut_off"), 2.0);
        site.heal(&[0], &[0, 1]);
        while site.nodes[0].gateway.beliefs().engine_paths.cut_count() > 0 {
            sleep(POLL_MS).await;
        }
        assert_eq!(gauge(&site.nodes[0], "engines_cut_off"), 0.0);
    });
}

// Guards against requests that are held where no peer opens tunnels: peers of an earlier release.
#[test]
fn a_cut_off_node_without_peers_that_open_tunnels_rejects_at_once() {
    smol::block_on(async {
        let site = PartitionableSite::start(1, 1, Behaviour::Answer).await;
        let record = json!({"address": "127.0.0.1:9", "zone": "z"});
        site.store.put("Nodes", "earlier", record);
        wait_until_listed(&site, 2).await;
        site.cut(&[0], &[0], Cut::Reset).await;
        let asked = request("unsafe.test", "r1");
        let began = Instant::now();
        let answer = caller::send(site.nodes[0].callers, &asked).await;
        assert_eq!(answer.status(), 503);
        assert!(began.elapsed() <= ANSWERED_WITHIN);
    });
}

/// A request with a body that the buffers between node and engine do not hold.
fn upload(id: &str) -> Request {
    let mut upload = prompt("stream.test", id);
    upload.body = vec![b'x'; UPLOAD_BYTES];
    upload
}

/// Sends an upload through a tunnel; returns what its engine has sent, and whether the peer
/// announced a regular end.
async fn upload_through_tunnel(peer: &RunningGateway, engine: &StandInEngine) -> (String, bool) {
    let instance = InstanceId(engine.instance.clone());
    let (stream, answer) = open_tunnel(peer, &instance).await;
    assert_eq!(answer, Ok(()));
    let mut tunnel = BufferedStream::with_decoder(stream, Box::new(FrameDecoder::default()));
    let mut writer = tunnel.writer();
    let message = caller::encode(&upload("r"));
    let writing = async {
        // An engine that does not read on ends the tunnel under the write.
        let _ = writer.write_all(&message).await;
        std::future::pending().await
    };
    let reading = async {
        loop {
            match tunnel.fill().await {
                Ok(0) => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    };
    let is_regular = futures_lite::future::or(reading, writing).await;
    let received = String::from_utf8_lossy(tunnel.pending()).into_owned();
    (received, is_regular)
}

/// An engine that runs on a thread of its own and answers before it reads the body of a request.
async fn early_engine(store: &StandInStore) -> StandInEngine {
    let engine = StandInEngine::start_on_thread("llm-0", "llm", Behaviour::Answer).await;
    engine.set_format(AnswerFormat::UNFRAMED);
    store.put("Engines", &engine.instance, engine.record());
    engine
}

fn store_with_large_bodies(store: &StandInStore) {
    let mut content = configuration(1);
    content["max_body_bytes"] = (2 * UPLOAD_BYTES).into();
    store.put("Configuration", "main", content);
}

/// Answers to uploads whose connections end in these ways.
fn early_answers(ends: [EarlyEnd; 2]) -> impl Iterator<Item = EarlyAnswer> {
    ends.into_iter().flat_map(|end| {
        UPLOAD_BYTES_READ.map(|reads_bytes| EarlyAnswer {
            status: 200,
            reads_bytes,
            end,
        })
    })
}

// Guards against a peer that announces the regular end of an engine's connection after it was reset,
// because the write of the request got the reset.
#[test]
fn a_tunnel_to_an_engine_that_resets_its_connection_under_the_upload_does_not_end_regularly() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store_with_large_bodies(&store);
        let engine = early_engine(&store).await;
        let nodes = start_known_nodes(&store, 2).await;
        let mut regular = Vec::new();
        for early in early_answers(EarlyEnd::RESETS) {
            engine.set(Behaviour::AnswerEarly(early));
            for _ in 0..REPEATS {
                let (received, is_regular) = upload_through_tunnel(&nodes[1], &engine).await;
                if is_regular {
                    regular.push(format!("{early:?}: {received}"));
                }
            }
        }
        assert!(regular.is_empty(), "{}: {regular:#?}", regular.len());
    });
}

#[test]
fn a_tunnel_to_an_engine_that_ends_its_side_under_the_upload_ends_regularly() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store_with_large_bodies(&store);
        let engine = early_engine(&store).await;
        let nodes = start_known_nodes(&store, 2).await;
        for early in early_answers(EarlyEnd::REGULAR) {
            engine.set(Behaviour::AnswerEarly(early));
            for _ in 0..REPEATS {
                let (received, is_regular) = upload_through_tunnel(&nodes[1], &engine).await;
                assert!(received.ends_with(&event(1)), "{early:?}: {received}");
                assert!(is_regular, "{early:?}");
            }
        }
    });
}

// Guards against a part of a stream reaching its caller as a whole one through a tunnel.
#[test]
fn an_answer_through_a_tunnel_whose_connection_is_reset_under_the_upload_is_not_whole() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store_with_large_bodies(&store);
        let engine = early_engine(&store).await;
        let more = "[attempts]\nretry_reserve = 1000000.0\n";
        let (nodes, _view) = start_behind_peer(&store, &[engine.address], more).await;
        for (ends, is_whole) in [(EarlyEnd::REGULAR, true), (EarlyEnd::RESETS, false)] {
            for early in early_answers(ends) {
                engine.set(Behaviour::AnswerEarly(early));
                for number in 0..REPEATS {
                    let asked = upload(&format!("{early:?}-{number}"));
                    let answer = caller::send(nodes[0].callers, &asked).await;
                    let received = (answer.status(), answer.is_whole);
                    assert_eq!(
                        received == (200, true),
                        is_whole,
                        "{early:?}: {received:?} {}",
                        answer.text()
                    );
                }
            }
        }
        let page = nodes[0].gateway.metrics.page();
        assert!(page.contains("sends_total{path=\"tunnel\"}"), "{page}");
    });
}
