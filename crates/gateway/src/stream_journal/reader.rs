//! Reads the journals of all nodes: once after the start, and whenever a stream is taken up that
//! no node knows. Followers of relays ask these instead.

use super::document::{DocumentTime, JournalDocument};
use super::writer::writer_count;
use crate::peers::roles::{role, Role};
use crate::ports::{InvalidDocument, StoreError, StoreKind, StoreObject};
use crate::state::Gateway;
use crate::store::backoff::Backoff;
use crate::store::rejected_entries::note_rejected;
use crate::store::shared_reads::ReadOutcome;
use crate::store::StoreClient;
use crate::time::{sleep, within};
use ploverlift_clock::unix_ms;
use ploverlift_streamorigin::placement::OriginAnswer;
use ploverlift_streamorigin::stream_key::StreamKey;
use std::sync::Arc;

/// Interval of the checks whether this node calls the store itself, in milliseconds, until it has
/// read the journals once.
const ROLE_CHECK_PERIOD_MS: u64 = 50;
/// Time between the starts of two reads of one node, for each node that reads, in milliseconds:
/// all nodes together read at most 200 times a second.
const SPACING_MS_PER_READER: u64 = 5;
/// Time for which the nodes that keep a stream's origin are asked before the journals are read,
/// in milliseconds: they mostly answer sooner, which saves a call.
const KEEPERS_FIRST_MS: u64 = 8;
/// Time after its last write after which an object is deleted, in milliseconds: its node is gone,
/// or its streams can't be confused any more.
const UNUSED_AFTER_MS: u64 = 3_600_000;
/// Maximum number of objects that a node deletes after its start.
const MAX_DELETIONS: usize = 8;

/// Whether this node reads the journals; followers of relays ask these.
pub fn reads_journals(gateway: &Gateway) -> bool {
    role(gateway, gateway.clock.now()) != Role::Follower
}

/// Whether this node knows what was stored when it started, if it reads the store itself.
pub fn has_read_journals(gateway: &Gateway) -> bool {
    gateway.beliefs().has_read_journals || !reads_journals(gateway)
}

/// Reads the journals whenever a read is requested, until the task is dropped.
pub async fn read_journals(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    let mut backoff = Backoff::new();
    let mut is_failing = false;
    loop {
        wait_until_due(&gateway).await;
        let began = gateway.clock.now();
        gateway.journal_reads.begin();
        match read_all(&gateway, &mut client).await {
            Ok(unused) => {
                gateway.journal_reads.end(ReadOutcome::Answered);
                backoff.reset();
                is_failing = false;
                for object in unused {
                    delete_unused(&gateway, &mut client, &object).await;
                }
                let spacing_ms = writer_count(&gateway) as u64 * SPACING_MS_PER_READER;
                let elapsed_ms = gateway.clock.now().since(began);
                sleep(spacing_ms.saturating_sub(elapsed_ms)).await;
            }
            Err(error) => {
                gateway.journal_reads.end(ReadOutcome::Failed);
                client.reset();
                if !std::mem::replace(&mut is_failing, true) {
                    slog::warn!(gateway.log, "stream journals not read";
                        "error" => error.to_string());
                }
                backoff.wait().await;
            }
        }
    }
}

/// Waits until a read is requested, or this node calls the store itself and has read nothing.
async fn wait_until_due(gateway: &Gateway) {
    loop {
        let requested = gateway.journal_reads.due.listen();
        if gateway.journal_reads.is_wanted() {
            return;
        }
        if gateway.beliefs().has_read_journals {
            requested.await;
            continue;
        }
        let role = role(gateway, gateway.clock.now());
        if matches!(role, Role::Direct | Role::Relay) {
            return;
        }
        within(ROLE_CHECK_PERIOD_MS, requested).await;
    }
}

/// The present time of day and era.
pub(super) fn document_time(gateway: &Gateway) -> DocumentTime {
    DocumentTime {
        unix_ms: unix_ms(),
        era: gateway.store_era.get(),
    }
}

/// Reads all journals; returns objects that have not been written for long, if it is the first
/// read.
async fn read_all(
    gateway: &Gateway,
    client: &mut StoreClient,
) -> Result<Vec<StoreObject>, StoreError> {
    let sent_at = gateway.clock.now();
    let objects = match client.list(StoreKind::StreamOrigins).await {
        Ok((objects, _)) => objects,
        // A store that does not support the kind has no objects of it.
        Err(StoreError::NotFound) => Vec::new(),
        Err(error) => return Err(error),
    };
    let now = gateway.clock.now();
    let time = document_time(gateway);
    let mut unused = Vec::new();
    let (mut read, mut dropped, mut newest_age_ms) = (0, 0, None);
    gateway.beliefs().stored_origins.expire(now);
    for object in objects {
        let document = match JournalDocument::read(&object.content) {
            Ok(document) => document,
            Err(error) => {
                let invalid = InvalidDocument {
                    document: object.name,
                    reason: error.to_string(),
                };
                note_rejected(gateway, StoreKind::StreamOrigins, &invalid);
                continue;
            }
        };
        let age_ms = document.age_ms(time);
        newest_age_ms = Some(newest_age_ms.map_or(age_ms, |newest: u64| newest.min(age_ms)));
        let streams = document.streams(time);
        read += streams.len();
        let mut beliefs = gateway.beliefs();
        for stored in &streams {
            dropped += usize::from(!beliefs.stored_origins.add(stored, now));
        }
        let is_start = !beliefs.has_read_journals;
        drop(beliefs);
        if is_start && age_ms > UNUSED_AFTER_MS && unused.len() < MAX_DELETIONS {
            unused.push(object);
        }
    }
    let (known, is_first) = {
        let mut beliefs = gateway.beliefs();
        let is_first = !std::mem::replace(&mut beliefs.has_read_journals, true);
        (beliefs.stored_origins.len(), is_first)
    };
    let took_ms = now.since(sent_at);
    gateway.metrics.streams.note_journals_read(known, dropped);
    if is_first || dropped > 0 {
        slog::info!(gateway.log, "stream journals read";
            "streams" => read, "known" => known, "dropped" => dropped,
            "newest_age_ms" => newest_age_ms, "took_ms" => took_ms);
    } else {
        slog::debug!(gateway.log, "stream journals read again";
            "streams" => read, "known" => known,
            "newest_age_ms" => newest_age_ms, "took_ms" => took_ms);
    }
    Ok(unused)
}

/// Deletes an object unless it was written meanwhile.
async fn delete_unused(gateway: &Gateway, client: &mut StoreClient, object: &StoreObject) {
    let kind = StoreKind::StreamOrigins;
    let deleted = client.delete_if(kind, &object.name, object.revision).await;
    match deleted {
        Ok(()) => slog::info!(gateway.log, "unused stream journal deleted"; "name" => &object.name),
        Err(error) => slog::info!(gateway.log, "unused stream journal not deleted";
            "name" => &object.name, "error" => error.to_string()),
    }
}

/// What the journals tell of a stream, by a read that begins after this call; `None` if the store
/// did not answer in time.
pub async fn read_origin(gateway: &Gateway, stream: StreamKey) -> Option<OriginAnswer> {
    sleep(KEEPERS_FIRST_MS).await;
    if !gateway.journal_reads.is_answered().await {
        return None;
    }
    let now = gateway.clock.now();
    let beliefs = gateway.beliefs();
    let source = beliefs.stored_origins.source(stream, now);
    Some(OriginAnswer {
        source: source.cloned(),
    })
}
