//! What a node lacks, from a relay over TCP: the configuration, or all engines.
//!
//! The messages are too large for a datagram. One question and one answer pass on
//! each connection, both with their length in front.

use super::followed_relays::{CatalogueCursor, Lacking, LONGEST_FETCH_MS};
use super::follower::take_rollout_news;
use super::message_fields::{era_plus_one, read_era, read_revision, revision_fields};
use super::relay_messages::read_change;
use super::roles::{role, Role};
use super::rollout_messages::{news_message, read_news};
use crate::beliefs::Beliefs;
use crate::engine_log::{log_engine_updates, UpdateSource};
use crate::engines_proof::engines_age_limit_ms;
use crate::ports::StoreObject;
use crate::rollouts::exchange::Reporter;
use crate::rollouts::feed::publish_order_updates;
use crate::rollouts::{rollout_settings, OrderUpdate};
use crate::state::Gateway;
use crate::store::apply_configuration;
use crate::time::{sleep, within};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_wire::{
    decode_snapshot, decode_snapshot_request, encode_snapshot, encode_snapshot_request,
    length_prefix, parse_length_prefix, peers, WireError, LENGTH_PREFIX_BYTES,
};
use smol::lock::Semaphore;
use smol::net::{TcpListener, TcpStream};
use snafu::{ResultExt, Snafu};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Time in which a part of an answer passes, in milliseconds: 64 KB take 26 ms on a
/// link of 20 Mbit/s that nobody else uses.
const PROGRESS_MS: u64 = 1_200;
/// Bytes that are to pass within that time.
const CHUNK_BYTES: usize = 64 * 1024;
/// Longest wait before a question, in milliseconds: nodes that lack the same do
/// not all ask at once.
const SPREAD_MS: u64 = 120;
/// Pause after a question that failed, in milliseconds.
const RETRY_MS: u64 = 100;
/// Questions in a row without an answer after which this node reads by itself.
const MAX_FAILURES: u32 = 2;
/// Time between two looks at what is lacking, in milliseconds, where no report
/// told of it.
const LOOK_PERIOD_MS: u64 = 300;
/// Questions for the engines that are answered at the same time; the others wait their turn. So many
/// readers with links of 20 Mbit/s fill one of 200 Mbit/s, and each has its answer soon.
const MAX_ANSWERS: usize = 8;
/// Questions that wait for their turn: all nodes of a large zone.
const MAX_WAITING: usize = 1_024;

/// Why there was no snapshot.
#[derive(Debug, Snafu)]
enum SnapshotError {
    #[snafu(display("the connection failed: {source}"))]
    Connection { source: std::io::Error },
    #[snafu(display("the message is invalid: {source}"))]
    Message { source: WireError },
    #[snafu(display("no part of an answer came in time"))]
    TimedOut,
    #[snafu(display("the relay is not heard any more"))]
    RelaySilent,
}

/// Asks relays for what this node lacks, until the task is dropped.
pub async fn fetch_snapshots(gateway: Arc<Gateway>) {
    let mut failures = 0;
    loop {
        let due = gateway.snapshot_due.listen();
        let Some(lacking) = lacking(&gateway) else {
            within(LOOK_PERIOD_MS, due).await;
            continue;
        };
        sleep(fastrand::u64(0..SPREAD_MS)).await;
        match fetch(&gateway, lacking).await {
            Ok(snapshot) => {
                failures = 0;
                take_snapshot(&gateway, lacking, snapshot);
            }
            Err(error) => {
                failures += 1;
                slog::warn!(gateway.log, "relay gave no snapshot";
                    "relay" => lacking.address.to_string(), "error" => error.to_string());
                if failures >= MAX_FAILURES {
                    let now = gateway.clock.now();
                    gateway.beliefs().followed.distrust(now);
                }
                sleep(RETRY_MS).await;
            }
        }
    }
}

fn lacking(gateway: &Gateway) -> Option<Lacking> {
    let now = gateway.clock.now();
    if role(gateway, now) != Role::Follower {
        return None;
    }
    let limit_ms = engines_age_limit_ms(&gateway.settings());
    let mut beliefs = gateway.beliefs();
    let configuration = beliefs.configuration_version();
    beliefs.followed.lacking(configuration, limit_ms, now)
}

async fn fetch(gateway: &Gateway, lacking: Lacking) -> Result<peers::Snapshot, SnapshotError> {
    let request = peers::SnapshotRequest {
        configuration: gateway.beliefs().configuration_version().unwrap_or(0),
        wants_engines: lacking.wants_engines,
    };
    if lacking.wants_engines {
        let now = gateway.clock.now();
        gateway.beliefs().followed.begin_fetch(now);
    }
    let exchange = async {
        let connected = within(PROGRESS_MS, TcpStream::connect(lacking.address)).await;
        let connected = connected.ok_or(SnapshotError::TimedOut)?;
        let mut stream = connected.context(ConnectionSnafu)?;
        write_message(&mut stream, &encode_snapshot_request(&request)).await?;
        let answer = read_message(&mut stream).await?;
        decode_snapshot(&answer).context(MessageSnafu)
    };
    let abandoned = async {
        wait_until_silent(gateway, lacking.relay).await;
        Err(SnapshotError::RelaySilent)
    };
    let exchange = futures_lite::future::or(exchange, abandoned);
    let answered = within(LONGEST_FETCH_MS, exchange).await;
    gateway.beliefs().followed.end_fetch();
    answered.unwrap_or(Err(SnapshotError::TimedOut))
}

/// Waits until a relay is no longer heard. As long as it is, it answers one after
/// another.
async fn wait_until_silent(gateway: &Gateway, relay: PeerId) {
    loop {
        sleep(LOOK_PERIOD_MS).await;
        let now = gateway.clock.now();
        if !gateway.beliefs().followed.is_heard(relay, now) {
            return;
        }
    }
}

async fn write_message(stream: &mut TcpStream, message: &[u8]) -> Result<(), SnapshotError> {
    let prefix = length_prefix(message.len());
    let prefixed = [prefix.as_slice(), message].concat();
    stream.write_all(&prefixed).await.context(ConnectionSnafu)
}

async fn read_message(stream: &mut TcpStream) -> Result<Vec<u8>, SnapshotError> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    let read = stream.read_exact(&mut prefix).await;
    read.context(ConnectionSnafu)?;
    let length = parse_length_prefix(prefix).context(MessageSnafu)?;
    let mut message = vec![0; length];
    for chunk in message.chunks_mut(CHUNK_BYTES) {
        let read = within(PROGRESS_MS, stream.read_exact(chunk)).await;
        let read = read.ok_or(SnapshotError::TimedOut)?;
        read.context(ConnectionSnafu)?;
    }
    Ok(message)
}

/// Revisions that a relay of an earlier release tells are of the era that this node knows.
fn assume_era(gateway: &Gateway, snapshot: &mut peers::Snapshot) {
    let Some(era) = gateway.store_era.get() else {
        return;
    };
    snapshot.engines_revision_era = era.0;
    for change in &mut snapshot.engines {
        change.revision_era = era.0;
    }
    if let Some(news) = &mut snapshot.rollouts {
        news.known_through_era = era.0;
        for order in &mut news.orders {
            order.revision_era = era.0;
        }
    }
}

fn take_snapshot(gateway: &Arc<Gateway>, lacking: Lacking, mut snapshot: peers::Snapshot) {
    let told = read_era(snapshot.store_era_plus_one);
    gateway.note_peer_era(told);
    if told.is_none() {
        assume_era(gateway, &mut snapshot);
    }
    let snapshot = &snapshot;
    if let Some(stored) = &snapshot.configuration {
        match serde_json::from_str(&stored.content) {
            Ok(content) => {
                let object = StoreObject {
                    name: stored.name.clone(),
                    revision: read_revision(stored.revision, stored.revision_era),
                    is_deleting: false,
                    content,
                    status: None,
                };
                apply_configuration(gateway, &object);
            }
            Err(error) => {
                slog::warn!(gateway.log, "configuration from a relay is invalid";
                    "relay" => lacking.address.to_string(), "error" => error.to_string());
            }
        }
    }
    if !lacking.wants_engines {
        return;
    }
    let changes = snapshot.engines.iter().filter_map(read_change);
    let records = changes.filter_map(|change| change.record).collect();
    let now = gateway.clock.now();
    let settings = rollout_settings(&gateway.settings());
    let mut beliefs = gateway.beliefs();
    let order_news = take_orders(&mut beliefs, snapshot, settings, now);
    let was_listed = beliefs.engines_listed;
    let revision = read_revision(snapshot.engines_revision, snapshot.engines_revision_era);
    let news = beliefs.replace_engines(records, revision, now);
    for placed in &snapshot.placed_versions {
        let service = ServiceName(placed.service.clone());
        let version = SoftwareVersion(placed.version.clone());
        beliefs.rollouts.note_placed(&service, &version);
    }
    beliefs.followed.set_cursor(CatalogueCursor {
        relay: lacking.relay,
        life: snapshot.life,
        through: snapshot.changes_through,
    });
    let count = beliefs.engines.len();
    drop(beliefs);
    publish_order_updates(gateway, &order_news);
    if was_listed {
        log_engine_updates(gateway, &news, UpdateSource::Snapshot);
    }
    gateway.engine_check_due.notify(usize::MAX);
    gateway.site_learned.notify(usize::MAX);
    gateway.metrics.engines.set(count as i64);
    slog::info!(gateway.log, "engines taken over from a relay";
        "relay" => lacking.address.to_string(), "count" => count,
        "revision" => revision, "change" => snapshot.changes_through);
}

/// The orders that the relay knew, so that a node that starts need not wait for a report
/// that tells them. How old they are is not known, so they prove no stage.
fn take_orders(
    beliefs: &mut Beliefs,
    snapshot: &peers::Snapshot,
    settings: RolloutSettings,
    now: Millis,
) -> Vec<OrderUpdate> {
    let Some(news) = snapshot.rollouts.as_ref().map(read_news) else {
        return Vec::new();
    };
    take_rollout_news(beliefs, &news, None, settings, now)
}

/// Answers questions of other nodes until the task is dropped.
pub async fn answer_snapshots(gateway: Arc<Gateway>, listener: TcpListener) {
    let waiting = Arc::new(AtomicUsize::new(0));
    let turns = Arc::new(Semaphore::new(MAX_ANSWERS));
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // Out of descriptors: those in use are given back soon.
            sleep(RETRY_MS).await;
            continue;
        };
        if waiting.load(Ordering::Acquire) >= MAX_WAITING {
            // The asker tries again, elsewhere.
            continue;
        }
        waiting.fetch_add(1, Ordering::AcqRel);
        let (gateway, waiting) = (Arc::clone(&gateway), Arc::clone(&waiting));
        let turns = Arc::clone(&turns);
        smol::spawn(async move {
            if let Err(error) = answer(&gateway, &mut stream, &turns).await {
                slog::debug!(gateway.log, "snapshot not given"; "error" => error.to_string());
            }
            waiting.fetch_sub(1, Ordering::AcqRel);
        })
        .detach();
    }
}

/// Answers one question. Those for the engines take turns; a configuration is small and
/// has to be in force soon.
async fn answer(
    gateway: &Gateway,
    stream: &mut TcpStream,
    turns: &Semaphore,
) -> Result<(), SnapshotError> {
    let request = within(PROGRESS_MS, read_message(stream)).await;
    let request = request.ok_or(SnapshotError::TimedOut)??;
    let request = decode_snapshot_request(&request).context(MessageSnafu)?;
    let _turn = match request.wants_engines {
        true => Some(turns.acquire().await),
        false => None,
    };
    let snapshot = snapshot(gateway, &request);
    let length = snapshot.parts().map(<[u8]>::len).sum();
    let written = stream.write_all(&length_prefix(length)).await;
    written.context(ConnectionSnafu)?;
    for part in snapshot.parts() {
        write_steadily(stream, part).await?;
    }
    Ok(())
}

/// Writes for as long as the peer goes on reading.
async fn write_steadily(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), SnapshotError> {
    for chunk in bytes.chunks(CHUNK_BYTES) {
        let written = within(PROGRESS_MS, stream.write_all(chunk)).await;
        let written = written.ok_or(SnapshotError::TimedOut)?;
        written.context(ConnectionSnafu)?;
    }
    Ok(())
}

/// What a node asks for, as this one knows it.
pub struct EncodedSnapshot {
    head: Vec<u8>,
    engines: Option<Arc<[u8]>>,
}

impl EncodedSnapshot {
    /// The message, in the parts in which it is sent.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        let engines = self.engines.as_deref();
        std::iter::once(self.head.as_slice()).chain(engines)
    }
}

/// What a node asks for, as this one knows it.
pub fn snapshot(gateway: &Gateway, request: &peers::SnapshotRequest) -> EncodedSnapshot {
    let now = gateway.clock.now();
    let own = Reporter {
        node: PeerId::of(&gateway.settings().node.name),
        life: gateway.life,
    };
    let mut encoding = gateway.engine_encoding();
    let mut beliefs = gateway.beliefs();
    let engines = request
        .wants_engines
        .then(|| encoding.present(&beliefs, now));
    let news = beliefs.rollouts.relay_broadcast(own, true, now);
    let is_newer = beliefs.configuration_version() > Some(request.configuration);
    let stored = beliefs.stored_configuration.as_deref();
    let configuration = stored.filter(|_| is_newer).cloned();
    let through = beliefs.catalogue_log.through();
    let placed = beliefs.rollouts.placed_versions();
    let placed = placed.map(|(service, version)| peers::PlacedVersion {
        service: service.0.clone(),
        version: version.0.clone(),
    });
    let engines_revision = engines
        .as_ref()
        .map_or(beliefs.engines_revision, |known| known.revision);
    let (engines_revision, engines_revision_era) = revision_fields(engines_revision);
    let head = peers::Snapshot {
        configuration,
        life: gateway.life,
        changes_through: engines
            .as_ref()
            .map_or(through, |known| known.changes_through),
        engines_revision,
        engines_revision_era,
        store_era_plus_one: era_plus_one(gateway.store_era.get()),
        engines: Vec::new(),
        rollouts: news.as_ref().map(news_message),
        placed_versions: placed.filter(|_| request.wants_engines).collect(),
    };
    EncodedSnapshot {
        head: encode_snapshot(&head),
        engines: engines.map(|known| known.message),
    }
}
