//! What a node lacks, from a relay over TCP: the configuration, or all engines.
//!
//! The messages are too large for a datagram. One question and one answer pass on
//! each connection, both with their length in front.

use super::followed_relays::{CatalogueCursor, Lacking};
use super::follower::take_rollout_news;
use super::relay_messages::{change_message, read_change, EngineChange};
use super::roles::{role, Role};
use super::rollout_messages::{news_message, read_news};
use crate::beliefs::Beliefs;
use crate::engine_log::{log_engine_updates, UpdateSource};
use crate::engines_proof::engines_age_limit_ms;
use crate::ports::StoreObject;
use crate::rollouts::exchange::Reporter;
use crate::rollouts::feed::tell_news;
use crate::rollouts::{rollout_settings, OrderNews};
use crate::state::Gateway;
use crate::store::take_configuration;
use crate::time::{sleep, within};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ploverlift_balancing::catalogue::EngineRecord;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_wire::{
    decode_snapshot, decode_snapshot_request, encode_snapshot, encode_snapshot_request,
    length_prefix, parse_length_prefix, peers, WireError, LENGTH_PREFIX_BYTES,
};
use smol::net::{TcpListener, TcpStream};
use snafu::{ResultExt, Snafu};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Time for one question and its answer, in milliseconds: a configuration of
/// hundreds of kilobytes passes a link of 20 Mbit/s that others use as well.
const EXCHANGE_MS: u64 = 1_200;
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
/// Questions that are answered at the same time.
const MAX_ANSWERS: usize = 64;

/// Why there was no snapshot.
#[derive(Debug, Snafu)]
enum SnapshotError {
    #[snafu(display("the connection failed: {source}"))]
    Connection { source: std::io::Error },
    #[snafu(display("the message is invalid: {source}"))]
    Message { source: WireError },
    #[snafu(display("no answer within {EXCHANGE_MS} ms"))]
    TimedOut,
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
                take_snapshot(&gateway, lacking, &snapshot);
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
    let exchange = async {
        let connected = TcpStream::connect(lacking.address).await;
        let mut stream = connected.context(ConnectionSnafu)?;
        write_message(&mut stream, &encode_snapshot_request(&request)).await?;
        let answer = read_message(&mut stream).await?;
        decode_snapshot(&answer).context(MessageSnafu)
    };
    let answered = within(EXCHANGE_MS, exchange).await;
    answered.unwrap_or(Err(SnapshotError::TimedOut))
}

async fn write_message(stream: &mut TcpStream, message: &[u8]) -> Result<(), SnapshotError> {
    let prefix = length_prefix(message);
    let prefixed = [prefix.as_slice(), message].concat();
    stream.write_all(&prefixed).await.context(ConnectionSnafu)
}

async fn read_message(stream: &mut TcpStream) -> Result<Vec<u8>, SnapshotError> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    stream
        .read_exact(&mut prefix)
        .await
        .context(ConnectionSnafu)?;
    let length = parse_length_prefix(prefix).context(MessageSnafu)?;
    let mut message = Vec::new();
    let mut limited = stream.take(length as u64);
    let read = limited.read_to_end(&mut message).await;
    read.context(ConnectionSnafu)?;
    Ok(message)
}

fn take_snapshot(gateway: &Arc<Gateway>, lacking: Lacking, snapshot: &peers::Snapshot) {
    if let Some(stored) = &snapshot.configuration {
        match serde_json::from_str(&stored.content) {
            Ok(content) => {
                let object = StoreObject {
                    name: stored.name.clone(),
                    revision: stored.revision,
                    is_deleting: false,
                    content,
                    status: None,
                };
                take_configuration(gateway, &object);
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
    let news = beliefs.replace_engines(records, snapshot.engines_revision, now);
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
    tell_news(gateway, &order_news);
    if was_listed {
        log_engine_updates(gateway, &news, UpdateSource::Snapshot);
    }
    gateway.engine_check_due.notify(usize::MAX);
    gateway.site_learned.notify(usize::MAX);
    gateway.metrics.engines.set(count as i64);
    slog::info!(gateway.log, "engines taken over from a relay";
        "relay" => lacking.address.to_string(), "count" => count,
        "revision" => snapshot.engines_revision, "change" => snapshot.changes_through);
}

/// The orders that the relay knew, so that a node that starts need not wait for a report
/// that tells them. How old they are is not known, so they prove no stage.
fn take_orders(
    beliefs: &mut Beliefs,
    snapshot: &peers::Snapshot,
    settings: RolloutSettings,
    now: Millis,
) -> Vec<OrderNews> {
    let Some(news) = snapshot.rollouts.as_ref().map(read_news) else {
        return Vec::new();
    };
    take_rollout_news(beliefs, &news, None, settings, now)
}

/// Answers questions of other nodes until the task is dropped.
pub async fn answer_snapshots(gateway: Arc<Gateway>, listener: TcpListener) {
    let under_way = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // Out of descriptors: those in use are given back soon.
            sleep(RETRY_MS).await;
            continue;
        };
        if under_way.load(Ordering::Acquire) >= MAX_ANSWERS {
            // The asker tries again, elsewhere.
            continue;
        }
        under_way.fetch_add(1, Ordering::AcqRel);
        let (gateway, under_way) = (Arc::clone(&gateway), Arc::clone(&under_way));
        smol::spawn(async move {
            let answered = within(EXCHANGE_MS, answer(&gateway, &mut stream)).await;
            if let Some(Err(error)) = answered {
                slog::debug!(gateway.log, "snapshot not given"; "error" => error.to_string());
            }
            under_way.fetch_sub(1, Ordering::AcqRel);
        })
        .detach();
    }
}

async fn answer(gateway: &Gateway, stream: &mut TcpStream) -> Result<(), SnapshotError> {
    let request = read_message(stream).await?;
    let request = decode_snapshot_request(&request).context(MessageSnafu)?;
    let snapshot = snapshot(gateway, &request);
    write_message(stream, &encode_snapshot(&snapshot)).await
}

/// What a node asks for, as this one knows it.
pub fn snapshot(gateway: &Gateway, request: &peers::SnapshotRequest) -> peers::Snapshot {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let own = Reporter {
        node: PeerId::of(&gateway.settings().node.name),
        life: gateway.life,
    };
    let news = beliefs.rollouts.news(own, true, now);
    let is_newer = beliefs.configuration_version() > Some(request.configuration);
    let stored = beliefs.stored_configuration.as_deref();
    let configuration = stored.filter(|_| is_newer).cloned();
    let mut snapshot = peers::Snapshot {
        configuration,
        life: gateway.life,
        changes_through: beliefs.catalogue_log.through(),
        engines_revision: beliefs.engines_revision,
        engines: Vec::new(),
        rollouts: news.as_ref().map(news_message),
        placed_versions: Vec::new(),
    };
    if request.wants_engines {
        let engines = beliefs.engines.iter();
        let engines = engines.map(|engine| {
            let cold_until = engine.cold_until.unwrap_or(now);
            let record = EngineRecord {
                cold_ms: cold_until.since(now),
                ..engine.record.clone()
            };
            change_message(&EngineChange {
                instance: record.instance.clone(),
                revision: record.revision,
                record: Some(record),
            })
        });
        snapshot.engines = engines.collect();
        let placed = beliefs.rollouts.placed_versions();
        let placed = placed.map(|(service, version)| peers::PlacedVersion {
            service: service.0.clone(),
            version: version.0.clone(),
        });
        snapshot.placed_versions = placed.collect();
    }
    snapshot
}
