//! Sources of streams: announced to the nodes that keep them, asked for
//! when a stream is taken up, and sent to a keeper that has started again.

use super::messages::PeerMessage;
use super::roles::{role, Role};
use super::stream_origin_messages::{NumberedOriginAnswer, OriginQuery, ReportedOrigin};
use crate::state::Gateway;
use crate::stream_journal::reader::{has_read_journals, read_origin, reads_journals};
use crate::stream_journal::writer::journal;
use crate::stream_sources::{read_sources, SourcesRead};
use crate::time::{sleep, within};
use ploverlift_balancing::names::{PeerId, ZoneTag};
use ploverlift_streamorigin::keepers::{first_nodes, is_among_first, ASKED_NODES, KEEPERS};
use ploverlift_streamorigin::known_sources::Sources;
use ploverlift_streamorigin::origins::StreamOrigin;
use ploverlift_streamorigin::placement::{named_source, place, OriginAnswer, Placement};
use ploverlift_streamorigin::source::{ServiceHash, StreamSource};
use ploverlift_streamorigin::sources::SourceRegister;
use ploverlift_streamorigin::stream_key::StreamKey;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
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
    /// Whether the source was found in the store alone.
    pub is_by_journal: bool,
    /// Number of other nodes that were asked, and one more if the journals were read.
    pub asked: usize,
    /// Number of these that answered.
    pub answered: usize,
}

/// Announces the origin of a stream to the nodes that keep it, and to the relays of a follower,
/// which store it; other nodes store it themselves.
pub fn announce(gateway: &Gateway, origin: &StreamOrigin) {
    let now = gateway.clock.now();
    let reported = ReportedOrigin::new(origin, now);
    let message = PeerMessage::StreamOrigins(vec![reported]);
    let mut receivers = other_nodes(gateway, Some(origin.stream), KEEPERS);
    match role(gateway, now) {
        Role::Follower => add_own_relays(gateway, &mut receivers),
        Role::Undecided | Role::Direct | Role::Relay => {
            journal(gateway, std::slice::from_ref(origin));
        }
    }
    for address in receivers {
        gateway.outbox.put(address, &message);
        gateway.metrics.streams.announced.inc();
    }
}

/// Adds the relays of this node's zone that are missing.
fn add_own_relays(gateway: &Gateway, nodes: &mut Vec<SocketAddr>) {
    let now = gateway.clock.now();
    let relays = gateway
        .address_book()
        .relays_of(ZoneTag::of(&gateway.zone), now);
    for relay in relays {
        if !nodes.contains(&relay.address) {
            nodes.push(relay.address);
        }
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

/// Keeps origins that another node sent. A relay also stores those of the nodes of its zone, which
/// may not have reported to it yet.
pub fn keep_origins(gateway: &Gateway, reported: Vec<ReportedOrigin>, from: SocketAddr) {
    let now = gateway.clock.now();
    let origins = reported.into_iter();
    let origins: Vec<StreamOrigin> = origins.map(|it| it.into_origin(now)).collect();
    let mut beliefs = gateway.beliefs();
    let kept = origins.iter();
    let kept = kept.map(|origin| beliefs.origins.keep(origin.clone(), now));
    let dropped = kept.filter(|is_kept| !is_kept).count();
    let known = beliefs.origins.len();
    drop(beliefs);
    gateway.metrics.streams.note_kept(known, dropped);
    let is_in_own_zone = gateway.address_book().lists_in_own_zone(from);
    if is_in_own_zone && role(gateway, now) == Role::Relay {
        journal(gateway, &origins);
    }
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

/// Answers the question for the source of a stream. While this node has not read what is stored,
/// it can't tell that it does not know the stream, and does not answer then. A relay reads the
/// journals again for the next question.
pub fn answer_query(gateway: &Gateway, query: &OriginQuery, from: SocketAddr) {
    let known = query.stream;
    let known = known.and_then(|stream| known_source(gateway, stream));
    if known.is_none() {
        if !has_read_journals(gateway) {
            return;
        }
        if role(gateway, gateway.clock.now()) == Role::Relay {
            gateway.journal_reads.request();
        }
    }
    let source = known.map(|known| known.source);
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
    Answers(OriginAnswers),
    Read(SourcesRead),
}

/// Finds the engines that may continue a stream. Returns as soon as a node knows its source or
/// the register names only one, and at the latest after all rounds of questions and the
/// longest wait for the register.
pub async fn place_stream(gateway: &Gateway, resumed: &ResumedStream) -> PlacedStream {
    let stream = resumed.stream;
    let known = stream.and_then(|stream| known_source(gateway, stream));
    if let Some(known) = known.filter(|known| known.source.is_named()) {
        return PlacedStream {
            placement: Placement::Began(known.source),
            is_by_journal: known.is_by_journal,
            read: None,
            asked: 0,
            answered: 0,
        };
    }
    let nodes = nodes_to_ask(gateway, resumed.stream);
    let asked = nodes.len() + usize::from(asks_journals(gateway, resumed.stream));
    let mut asking = Box::pin(find_origin(gateway, resumed.stream, &nodes));
    let mut reading = Box::pin(read_sources(gateway, &resumed.host, &resumed.path));
    let first = futures_lite::future::or(async { First::Answers((&mut asking).await) }, async {
        First::Read((&mut reading).await)
    });
    let (found, read) = match first.await {
        First::Answers(found) if named_source(&found.answers).is_some() => (found, None),
        First::Answers(found) => (found, Some(reading.await)),
        First::Read(read) if matches!(read.sources, Some(Sources::Only(_))) => {
            (OriginAnswers::default(), Some(read))
        }
        First::Read(read) => (asking.await, Some(read)),
    };
    let sources = read.as_ref().and_then(|read| read.sources.as_ref());
    PlacedStream {
        placement: place(sources, &found.answers, asked),
        is_by_journal: found.is_by_journal,
        asked,
        answered: found.answers.len(),
        read,
    }
}

/// A stream's source, and how this node knows it.
struct KnownSource {
    source: StreamSource,
    is_by_journal: bool,
}

/// The source of a stream, if this node knows it.
fn known_source(gateway: &Gateway, stream: StreamKey) -> Option<KnownSource> {
    let now = gateway.clock.now();
    let beliefs = gateway.beliefs();
    let kept = beliefs.origins.source(stream, now);
    let stored = beliefs.stored_origins.source(stream, now);
    let named = kept.filter(|source| source.is_named());
    let source = named.or(stored).or(kept)?.clone();
    Some(KnownSource {
        source,
        is_by_journal: named.is_none() && stored.is_some(),
    })
}

/// Whether the journals are read for a stream. Their answer counts as that of one more node.
fn asks_journals(gateway: &Gateway, stream: Option<StreamKey>) -> bool {
    stream.is_some() && reads_journals(gateway)
}

/// What other nodes and the journals tell of a stream.
#[derive(Default)]
struct OriginAnswers {
    answers: Vec<OriginAnswer>,
    is_by_journal: bool,
}

/// Asks nodes and reads the journals for the source of a stream. Returns as soon as one knows it.
async fn find_origin(
    gateway: &Gateway,
    stream: Option<StreamKey>,
    nodes: &[SocketAddr],
) -> OriginAnswers {
    let (mut answers, mut stored) = (Vec::new(), None);
    {
        let asking = async {
            answers = ask(gateway, stream, nodes).await;
            named_source(&answers).is_some()
        };
        let reading = async {
            if let (Some(stream), true) = (stream, asks_journals(gateway, stream)) {
                stored = read_origin(gateway, stream).await;
            }
            named_source(stored.as_slice()).is_some()
        };
        until_either(asking, reading).await;
    }
    let is_by_journal = named_source(stored.as_slice()).is_some();
    answers.extend(stored);
    OriginAnswers {
        answers,
        is_by_journal,
    }
}

/// Runs both until one of them yields `true`, or both have ended.
async fn until_either(one: impl Future<Output = bool>, other: impl Future<Output = bool>) {
    let (mut one, mut other) = (pin!(one), pin!(other));
    let first = async { (one.as_mut().await, true) };
    let second = async { (other.as_mut().await, false) };
    let (is_found, is_first) = futures_lite::future::or(first, second).await;
    match (is_found, is_first) {
        (true, _) => {}
        (false, true) => drop(other.await),
        (false, false) => drop(one.await),
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

/// The nodes that may know a stream's origin, including the relays of a follower, which have read
/// the journals; none if the caller does not name the stream.
fn nodes_to_ask(gateway: &Gateway, stream: Option<StreamKey>) -> Vec<SocketAddr> {
    match stream {
        Some(_) => {
            let mut nodes = other_nodes(gateway, stream, ASKED_NODES);
            if !reads_journals(gateway) {
                add_own_relays(gateway, &mut nodes);
            }
            nodes
        }
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
