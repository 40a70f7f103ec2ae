//! Sources of streams: announced to the nodes that keep them, asked for
//! when a stream is taken up, and sent to a keeper that has started again.

use super::messages::PeerMessage;
use super::stream_origin_messages::{NumberedOriginAnswer, OriginQuery, ReportedOrigin};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::names::PeerId;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_streamorigin::keepers::{first_nodes, is_among_first, ASKED_NODES, KEEPERS};
use ploverlift_streamorigin::origins::StreamOrigin;
use ploverlift_streamorigin::placement::{place, OriginAnswer, Placement};
use ploverlift_streamorigin::source::{ServiceHash, StreamSource};
use ploverlift_streamorigin::stream_key::StreamKey;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time-out of each round of questions, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 22;
/// Number of rounds of questions for one stream.
const MAX_ROUNDS: u32 = 2;
/// Maximum number of origins in one datagram, which then stays unfragmented.
const MAX_ORIGINS_IN_MESSAGE: usize = 24;
/// Pause between the requests of a node that has started, in milliseconds: a datagram may be
/// lost, and other nodes may not be listed yet.
const WANTED_PAUSE_MS: u64 = 200;
/// Number of these requests after the first list of nodes.
const WANTED_REQUESTS: u32 = 3;

/// An answer and its sender.
#[derive(Debug)]
pub struct ReceivedOriginAnswer {
    from: SocketAddr,
    answer: OriginAnswer,
}

/// A stream that is taken up.
#[derive(Clone, Debug)]
pub struct ResumedStream {
    /// The stream; `None` if its caller does not name it.
    pub stream: Option<StreamKey>,
    /// Its service.
    pub service: ServiceName,
    /// Longest time since the stream began, in milliseconds.
    pub lifetime_ms: u64,
}

/// The version that may continue a stream, and who knew it.
#[derive(Clone, Debug)]
pub struct PlacedStream {
    /// The version.
    pub placement: Placement,
    /// Number of other nodes that were asked.
    pub asked: usize,
    /// Number of these that answered.
    pub answered: usize,
}

/// Announces the origin of a stream to the nodes that keep it.
pub fn announce(gateway: &Gateway, origin: &StreamOrigin) {
    let reported = ReportedOrigin::new(origin, gateway.clock.now());
    let message = PeerMessage::StreamOrigins(vec![reported]);
    for address in other_nodes(gateway, Some(origin.stream), KEEPERS) {
        gateway.outbox.put(address, &message);
        gateway.metrics.streams.announced.inc();
    }
}

/// Announces, whenever a service gets another version, the streams of this node that began
/// before, until the task is dropped.
pub async fn announce_earlier_streams(gateway: Arc<Gateway>) {
    loop {
        let changed = gateway.software_version_added.listen();
        let services = gateway.beliefs().take_services_with_new_version();
        for service in services {
            let now = gateway.clock.now();
            let of_service = ServiceHash::of(&service);
            let origins = gateway.beliefs().origins.take_unannounced(of_service, now);
            for origin in &origins {
                announce(&gateway, origin);
            }
            slog::info!(gateway.log, "another software version serves";
                "service" => &service.0, "streams_announced" => origins.len());
        }
        changed.await;
    }
}

/// Keeps origins that another node sent.
pub fn keep_origins(gateway: &Gateway, reported: Vec<ReportedOrigin>) {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let origins = reported.into_iter();
    let kept = origins.map(|reported| beliefs.origins.keep(reported.into_origin(now), now));
    let dropped = kept.filter(|is_kept| !is_kept).count();
    let known = beliefs.origins.len();
    drop(beliefs);
    gateway.metrics.streams.note_kept(known, dropped);
}

/// Sends a node that has started the origins that it keeps.
pub fn send_kept_origins(gateway: &Gateway, keeper: PeerId, to: SocketAddr) {
    let nodes = listed_nodes(gateway);
    let now = gateway.clock.now();
    let reported: Vec<ReportedOrigin> = {
        let beliefs = gateway.beliefs();
        let kept = beliefs.origins.iter(now).filter(|origin| {
            let nodes = nodes.keys().copied();
            is_among_first(origin.stream, keeper, nodes, KEEPERS)
        });
        kept.map(|origin| ReportedOrigin::new(origin, now))
            .collect()
    };
    for origins in reported.chunks(MAX_ORIGINS_IN_MESSAGE) {
        let message = PeerMessage::StreamOrigins(origins.to_vec());
        gateway.outbox.put(to, &message);
    }
}

/// Requests the origins that this node keeps, after it has started.
pub async fn request_kept_origins(gateway: Arc<Gateway>) {
    let own = PeerId::of(&gateway.settings().node.name);
    for _ in 0..WANTED_REQUESTS {
        while gateway.address_book().list_count() == 0 {
            within(WANTED_PAUSE_MS, gateway.site_updated.listen()).await;
        }
        for address in other_nodes(&gateway, None, usize::MAX) {
            let message = PeerMessage::StreamOriginsWanted(own);
            gateway.outbox.put(address, &message);
        }
        sleep(WANTED_PAUSE_MS).await;
    }
}

/// Answers the question for the source of a stream.
pub fn answer_query(gateway: &Gateway, query: &OriginQuery, from: SocketAddr) {
    let now = gateway.clock.now();
    let beliefs = gateway.beliefs();
    let source = query
        .stream
        .and_then(|stream| beliefs.origins.source(stream, now));
    let answer = OriginAnswer {
        source: source.cloned(),
        versions: beliefs
            .software_history
            .recent(&query.service, query.lifetime_ms, now),
    };
    drop(beliefs);
    let number = query.number;
    let message = PeerMessage::StreamOriginAnswer(NumberedOriginAnswer { number, answer });
    gateway.outbox.put(from, &message);
}

/// Passes an answer to the task that asked.
pub fn resolve_answer(gateway: &Gateway, numbered: NumberedOriginAnswer, from: SocketAddr) {
    let answer = numbered.answer;
    let received = ReceivedOriginAnswer { from, answer };
    gateway.origin_queries.resolve(numbered.number, received);
}

/// Finds the version that may continue a stream. Returns as soon as a node knows it, and at
/// the latest after all rounds of questions.
pub async fn place_stream(gateway: &Gateway, resumed: &ResumedStream) -> PlacedStream {
    let now = gateway.clock.now();
    let known = resumed
        .stream
        .and_then(|stream| gateway.beliefs().origins.source(stream, now).cloned());
    if let Some(source) = known.filter(StreamSource::is_named) {
        return PlacedStream {
            placement: Placement::Began(source),
            asked: 0,
            answered: 0,
        };
    }
    let asked = nodes_to_ask(gateway, resumed.stream);
    let answers = ask(gateway, resumed, &asked).await;
    let now = gateway.clock.now();
    let own = {
        let beliefs = gateway.beliefs();
        let history = &beliefs.software_history;
        history.recent(&resumed.service, resumed.lifetime_ms, now)
    };
    PlacedStream {
        placement: place(&own, &answers, asked.len()),
        asked: asked.len(),
        answered: answers.len(),
    }
}

async fn ask(
    gateway: &Gateway,
    resumed: &ResumedStream,
    nodes: &[SocketAddr],
) -> Vec<OriginAnswer> {
    let query = OriginQuery {
        number: gateway.origin_queries.next_number(),
        stream: resumed.stream,
        service: resumed.service.clone(),
        lifetime_ms: resumed.lifetime_ms,
    };
    let pending = gateway
        .origin_queries
        .begin(query.number, nodes.len() * MAX_ROUNDS as usize);
    let mut answers: HashMap<SocketAddr, OriginAnswer> = HashMap::new();
    for _ in 0..MAX_ROUNDS {
        for address in nodes
            .iter()
            .filter(|address| !answers.contains_key(address))
        {
            let message = PeerMessage::StreamOriginQuery(query.clone());
            gateway.outbox.put(*address, &message);
            gateway.metrics.streams.queries.inc();
        }
        let collecting = async {
            while answers.len() < nodes.len() {
                let Ok(received) = pending.answers.recv().await else {
                    return;
                };
                let source = received.answer.source.as_ref();
                let is_found = source.is_some_and(StreamSource::is_named);
                answers.insert(received.from, received.answer);
                if is_found {
                    return;
                }
            }
        };
        let is_done = within(ANSWER_TIMEOUT_MS, collecting).await.is_some();
        if is_done {
            break;
        }
    }
    answers.into_values().collect()
}

/// The nodes that may know a stream's origin. Where nobody names the stream, any node may know
/// which versions have served.
fn nodes_to_ask(gateway: &Gateway, stream: Option<StreamKey>) -> Vec<SocketAddr> {
    let any = || StreamKey(fastrand::u64(..));
    other_nodes(gateway, Some(stream.unwrap_or_else(any)), ASKED_NODES)
}

/// Addresses of the first `count` nodes of a stream's order, without this node; of all other
/// nodes if there is no stream.
fn other_nodes(gateway: &Gateway, stream: Option<StreamKey>, count: usize) -> Vec<SocketAddr> {
    let own = PeerId::of(&gateway.settings().node.name);
    let nodes = listed_nodes(gateway);
    let first = match stream {
        Some(stream) => first_nodes(stream, nodes.keys().copied(), count),
        None => nodes.keys().copied().collect(),
    };
    let others = first.into_iter().filter(|node| *node != own);
    others
        .filter_map(|node| nodes.get(&node).copied())
        .collect()
}

fn listed_nodes(gateway: &Gateway) -> HashMap<PeerId, SocketAddr> {
    let book = gateway.address_book();
    book.listed().map(|node| (node.id, node.address)).collect()
}
