//! Transfer of the configuration, or of all engines, from a relay to a follower over TCP.
//!
//! The messages are too large for a datagram. Each connection carries one request and one
//! answer, both with a length prefix.

use super::followed_relays::{CatalogueCursor, SnapshotNeed, MAX_FETCH_MS};
use super::follower::apply_rollout_news;
use super::message_fields::{era_plus_one, read_era, read_revision, revision_fields};
use super::relay_messages::read_change;
use super::roles::{role, Role};
use super::rollout_messages::{news_message, read_news};
use crate::beliefs::Beliefs;
use crate::engine_log::{log_engine_updates, UpdateSource};
use crate::engines_proof::engines_age_limit_ms;
use crate::peer_stream::{read_length, write_message, ConnectionSnafu, StreamError};
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
    length_prefix, peers, WireError,
};
use smol::lock::Semaphore;
use smol::net::{TcpListener, TcpStream};
use snafu::{ResultExt, Snafu};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum time for one chunk of an answer, in milliseconds: 64 KB take 26 ms on an
/// otherwise idle link of 20 Mbit/s.
const PROGRESS_TIMEOUT_MS: u64 = 1_200;
/// Size of a chunk that has to be transferred within that time, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// Maximum random delay before a request, in milliseconds, so that nodes that miss the same
/// data do not all send requests at once.
const MAX_REQUEST_DELAY_MS: u64 = 120;
/// Pause after a failed request, in milliseconds.
const RETRY_MS: u64 = 100;
/// Number of consecutive failed requests after which this node reads the store itself.
const MAX_FAILURES: u32 = 2;
/// Interval at which a node checks whether it needs a snapshot when no report triggers the
/// check, in milliseconds.
const POLL_PERIOD_MS: u64 = 300;
/// Maximum number of requests for engines that are answered concurrently; the others are
/// queued. This many readers with links of 20 Mbit/s saturate a link of 200 Mbit/s, and
/// each gets its answer soon.
const MAX_CONCURRENT_ANSWERS: usize = 8;
/// Maximum number of open connections, queued ones included: all nodes of a large zone.
const MAX_WAITING: usize = 1_024;

/// Reasons why a snapshot could not be transferred.
#[derive(Debug, Snafu)]
enum SnapshotError {
    #[snafu(transparent)]
    Stream { source: StreamError },
    #[snafu(display("snapshot message is invalid: {source}"))]
    Message { source: WireError },
    #[snafu(display("transfer of the snapshot timed out"))]
    TimedOut,
    #[snafu(display("the relay stopped sending reports"))]
    RelaySilent,
}

/// Requests missing data from relays until the task is dropped.
pub async fn fetch_snapshots(gateway: Arc<Gateway>) {
    let mut failures = 0;
    loop {
        let due = gateway.snapshot_due.listen();
        let Some(snapshot_need) = snapshot_need(&gateway) else {
            within(POLL_PERIOD_MS, due).await;
            continue;
        };
        sleep(fastrand::u64(0..MAX_REQUEST_DELAY_MS)).await;
        match fetch(&gateway, snapshot_need).await {
            Ok(snapshot) => {
                failures = 0;
                apply_snapshot(&gateway, snapshot_need, snapshot);
            }
            Err(error) => {
                failures += 1;
                slog::warn!(gateway.log, "relay gave no snapshot";
                    "relay" => snapshot_need.address.to_string(), "error" => error.to_string());
                if failures >= MAX_FAILURES {
                    let now = gateway.clock.now();
                    gateway.beliefs().followed.distrust(now);
                }
                sleep(RETRY_MS).await;
            }
        }
    }
}

fn snapshot_need(gateway: &Gateway) -> Option<SnapshotNeed> {
    let now = gateway.clock.now();
    if role(gateway, now) != Role::Follower {
        return None;
    }
    let limit_ms = engines_age_limit_ms(&gateway.settings());
    let mut beliefs = gateway.beliefs();
    let configuration = beliefs.configuration_version();
    beliefs.followed.snapshot_need(configuration, limit_ms, now)
}

async fn fetch(
    gateway: &Gateway,
    snapshot_need: SnapshotNeed,
) -> Result<peers::Snapshot, SnapshotError> {
    let request = peers::SnapshotRequest {
        configuration: gateway.beliefs().configuration_version().unwrap_or(0),
        wants_engines: snapshot_need.wants_engines,
    };
    if snapshot_need.wants_engines {
        let now = gateway.clock.now();
        gateway.beliefs().followed.begin_fetch(now);
    }
    let exchange = async {
        let connected = within(
            PROGRESS_TIMEOUT_MS,
            TcpStream::connect(snapshot_need.address),
        )
        .await;
        let connected = connected.ok_or(SnapshotError::TimedOut)?;
        let mut stream = connected.context(ConnectionSnafu)?;
        write_message(&mut stream, &encode_snapshot_request(&request)).await?;
        let answer = read_in_chunks(&mut stream).await?;
        decode_snapshot(&answer).context(MessageSnafu)
    };
    let relay_lost = async {
        wait_until_relay_silent(gateway, snapshot_need.relay).await;
        Err(SnapshotError::RelaySilent)
    };
    let exchange = futures_lite::future::or(exchange, relay_lost);
    let answered = within(MAX_FETCH_MS, exchange).await;
    gateway.beliefs().followed.end_fetch();
    answered.unwrap_or(Err(SnapshotError::TimedOut))
}

/// Waits until reports of a relay stop arriving. While they arrive, the relay is still
/// answering its queue of requests.
async fn wait_until_relay_silent(gateway: &Gateway, relay: PeerId) {
    loop {
        sleep(POLL_PERIOD_MS).await;
        let now = gateway.clock.now();
        if !gateway.beliefs().followed.is_live(relay, now) {
            return;
        }
    }
}

/// Reads a message for as long as its bytes keep arriving.
async fn read_in_chunks(stream: &mut TcpStream) -> Result<Vec<u8>, SnapshotError> {
    let length = read_length(stream).await?;
    let mut message = vec![0; length];
    for chunk in message.chunks_mut(CHUNK_BYTES) {
        let read = within(PROGRESS_TIMEOUT_MS, stream.read_exact(chunk)).await;
        let read = read.ok_or(SnapshotError::TimedOut)?;
        read.context(ConnectionSnafu)?;
    }
    Ok(message)
}

/// Sets the era of the revisions in a snapshot from a relay of an earlier release to the
/// era that this node knows.
fn assume_era(gateway: &Gateway, snapshot: &mut peers::Snapshot) {
    let Some(era) = gateway.store_era.get() else {
        return;
    };
    snapshot.engines_revision_era = era.0;
    for change in &mut snapshot.engines {
        change.revision_era = era.0;
    }
    if let Some(broadcast) = &mut snapshot.rollouts {
        broadcast.known_through_era = era.0;
        for order in &mut broadcast.orders {
            order.revision_era = era.0;
        }
    }
}

fn apply_snapshot(
    gateway: &Arc<Gateway>,
    snapshot_need: SnapshotNeed,
    mut snapshot: peers::Snapshot,
) {
    let reported_era = read_era(snapshot.store_era_plus_one);
    gateway.note_peer_era(reported_era);
    if reported_era.is_none() {
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
                    "relay" => snapshot_need.address.to_string(), "error" => error.to_string());
            }
        }
    }
    if !snapshot_need.wants_engines {
        return;
    }
    let changes = snapshot.engines.iter().filter_map(read_change);
    let records = changes.filter_map(|change| change.record).collect();
    let now = gateway.clock.now();
    let settings = rollout_settings(&gateway.settings());
    let mut beliefs = gateway.beliefs();
    let order_news = apply_orders(&mut beliefs, snapshot, settings, now);
    let was_listed = beliefs.has_listed_engines;
    let revision = read_revision(snapshot.engines_revision, snapshot.engines_revision_era);
    let updates = beliefs.replace_engines(records, revision, now);
    for placed in &snapshot.placed_versions {
        let service = ServiceName(placed.service.clone());
        let version = SoftwareVersion(placed.version.clone());
        beliefs.rollouts.note_placed(&service, &version);
    }
    beliefs.followed.set_cursor(CatalogueCursor {
        relay: snapshot_need.relay,
        life: snapshot.life,
        through: snapshot.changes_through,
    });
    let count = beliefs.engines.len();
    drop(beliefs);
    publish_order_updates(gateway, &order_news);
    if was_listed {
        log_engine_updates(gateway, &updates, UpdateSource::Snapshot);
    }
    gateway.engine_check_due.notify(usize::MAX);
    gateway.site_updated.notify(usize::MAX);
    gateway.metrics.engines.set(count as i64);
    slog::info!(gateway.log, "engines taken over from a relay";
        "relay" => snapshot_need.address.to_string(), "count" => count,
        "revision" => revision, "change" => snapshot.changes_through);
}

/// Applies the orders that the relay knew, so that a starting node need not wait for a
/// report with them. Their age is unknown, so they prove no stage.
fn apply_orders(
    beliefs: &mut Beliefs,
    snapshot: &peers::Snapshot,
    settings: RolloutSettings,
    now: Millis,
) -> Vec<OrderUpdate> {
    let Some(broadcast) = snapshot.rollouts.as_ref().map(read_news) else {
        return Vec::new();
    };
    apply_rollout_news(beliefs, &broadcast, None, settings, now)
}

/// Answers requests of other nodes until the task is dropped.
pub async fn serve_snapshots(gateway: Arc<Gateway>, listener: TcpListener) {
    let waiting = Arc::new(AtomicUsize::new(0));
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_ANSWERS));
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // The process is out of descriptors: those in use are freed soon.
            sleep(RETRY_MS).await;
            continue;
        };
        if waiting.load(Ordering::Acquire) >= MAX_WAITING {
            // The requesting node retries, possibly with another relay.
            continue;
        }
        waiting.fetch_add(1, Ordering::AcqRel);
        let (gateway, waiting) = (Arc::clone(&gateway), Arc::clone(&waiting));
        let permits = Arc::clone(&permits);
        smol::spawn(async move {
            if let Err(error) = answer(&gateway, &mut stream, &permits).await {
                slog::debug!(gateway.log, "snapshot request not answered"; "error" => error.to_string());
            }
            waiting.fetch_sub(1, Ordering::AcqRel);
        })
        .detach();
    }
}

/// Answers one request. The number of concurrent answers with engines is limited; a
/// configuration is small and has to be in force soon, so it is sent at once.
async fn answer(
    gateway: &Gateway,
    stream: &mut TcpStream,
    permits: &Semaphore,
) -> Result<(), SnapshotError> {
    let request = within(PROGRESS_TIMEOUT_MS, read_in_chunks(stream)).await;
    let request = request.ok_or(SnapshotError::TimedOut)??;
    let request = decode_snapshot_request(&request).context(MessageSnafu)?;
    let _permit = match request.wants_engines {
        true => Some(permits.acquire().await),
        false => None,
    };
    let snapshot = snapshot(gateway, &request);
    let length = snapshot.parts().map(<[u8]>::len).sum();
    let written = stream.write_all(&length_prefix(length)).await;
    written.context(ConnectionSnafu)?;
    for part in snapshot.parts() {
        write_in_chunks(stream, part).await?;
    }
    Ok(())
}

/// Writes for as long as the peer keeps reading.
async fn write_in_chunks(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), SnapshotError> {
    for chunk in bytes.chunks(CHUNK_BYTES) {
        let written = within(PROGRESS_TIMEOUT_MS, stream.write_all(chunk)).await;
        let written = written.ok_or(SnapshotError::TimedOut)?;
        written.context(ConnectionSnafu)?;
    }
    Ok(())
}

/// An encoded snapshot, as the answer to a request.
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

/// The snapshot with the requested data that this node knows.
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
    let broadcast = beliefs.rollouts.relay_broadcast(own, true, now);
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
        rollouts: broadcast.as_ref().map(news_message),
        placed_versions: placed.filter(|_| request.wants_engines).collect(),
    };
    EncodedSnapshot {
        head: encode_snapshot(&head),
        engines: engines.map(|known| known.message),
    }
}
