//! Sources of streams: announced to the nodes that keep them, asked for
//! when a stream is taken up, and sent to a keeper that has started again.

use super::messages::PeerMessage;
use super::stream_origin_messages::{NumberedOriginAnswer, OriginQuery, ReportedOrigin};
use crate::state::Gateway;
use crate::stream_sources::{read_sources, SourcesRead};
use crate::time::{sleep, within};
use ploverlift_balancing::names::PeerId;
use ploverlift_streamorigin::keepers::{first_nodes, is_among_first, ASKED_NODES, KEEPERS};
use ploverlift_streamorigin::known_sources::Sources;
use ploverlift_streamorigin::origins::StreamOrigin;
use ploverlift_streamorigin::placement::{named_source, place, OriginAnswer, Placement};
use ploverlift_streamorigin::source::{ServiceHash, StreamSource};
use ploverlift_streamorigin::sources::SourceRegister;
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
    /// The host of the request that takes it up.
    pub host: String,
    /// Its path.
    pub path: String,
}

/// The engines that may continue a stream, and what tells so.
#[derive(Clone, Debug)]
pub struct PlacedStream {
    /// The engines.
    pub placement: Placement,
    /// The read of the register of stream sources; `None` if its end was not waited for.
    pub read: Option<SourcesRead>,
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

/// Announces, whenever streams can be confused with those of another source, the streams of
/// this node that began before, until the task is dropped.
pub async fn announce_earlier_streams(gateway: Arc<Gateway>) {
    let mut handled = None;
    loop {
        let changed = gateway.stream_sources_changed.listen();
        let now = gateway.clock.now();
        let (register, origins) = {
            let mut beliefs = gateway.beliefs();
            let register = beliefs.stream_sources.register();
            let version = register.map(|register| (register.era, register.generation));
            let is_handled = version == handled;
            let confusable = register.filter(|_| !is_handled);
            let confusable = confusable.map(SourceRegister::confusable_services);
            let services = confusable.unwrap_or_default();
            let services = services.iter().map(ServiceHash::of);
            let origins = services.map(|service| beliefs.origins.take_unannounced(service, now));
            let origins: Vec<StreamOrigin> = origins.flatten().collect();
            (version, origins)
        };
        handled = register;
        for origin in &origins {
            announce(&gateway, origin);
        }
        if !origins.is_empty() {
            slog::info!(gateway.log, "streams may be confused with those of another source";
                "streams_announced" => origins.len());
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
    let source = source.cloned();
    drop(beliefs);
    let answer = OriginAnswer { source };
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

/// The first of two results that are waited for.
enum First {
    Answers(Vec<OriginAnswer>),
    Read(SourcesRead),
}

/// Finds the engines that may continue a stream. Returns as soon as a node knows its source or
/// the register names only one, and at the latest after all rounds of questions and the
/// longest wait for the register.
pub async fn place_stream(gateway: &Gateway, resumed: &ResumedStream) -> PlacedStream {
    let now = gateway.clock.now();
    let known = resumed
        .stream
        .and_then(|stream| gateway.beliefs().origins.source(stream, now).cloned());
    if let Some(source) = known.filter(StreamSource::is_named) {
        return PlacedStream {
            placement: Placement::Began(source),
            read: None,
            asked: 0,
            answered: 0,
        };
    }
    let nodes = nodes_to_ask(gateway, resumed.stream);
    let mut asking = Box::pin(ask(gateway, resumed.stream, &nodes));
    let mut reading = Box::pin(read_sources(gateway, &resumed.host, &resumed.path));
    let first = futures_lite::future::or(async { First::Answers((&mut asking).await) }, async {
        First::Read((&mut reading).await)
    });
    let (answers, read) = match first.await {
        First::Answers(answers) if named_source(&answers).is_some() => (answers, None),
        First::Answers(answers) => (answers, Some(reading.await)),
        First::Read(read) if matches!(read.sources, Some(Sources::Only(_))) => {
            (Vec::new(), Some(read))
        }
        First::Read(read) => (asking.await, Some(read)),
    };
    let sources = read.as_ref().and_then(|read| read.sources.as_ref());
    PlacedStream {
        placement: place(sources, &answers, nodes.len()),
        asked: nodes.len(),
        answered: answers.len(),
        read,
    }
}

async fn ask(
    gateway: &Gateway,
    stream: Option<StreamKey>,
    nodes: &[SocketAddr],
) -> Vec<OriginAnswer> {
    let query = OriginQuery {
        number: gateway.origin_queries.next_number(),
        stream,
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

/// The nodes that may know a stream's origin; none if nobody names the stream.
fn nodes_to_ask(gateway: &Gateway, stream: Option<StreamKey>) -> Vec<SocketAddr> {
    match stream {
        Some(_) => other_nodes(gateway, stream, ASKED_NODES),
        None => Vec::new(),
    }
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
