//! Writes this node's journal: when there is a new stream, one write at a time, and at most one in
//! each period.

use super::document::JournalDocument;
use super::reader::document_time;
use crate::peers::address_book::RELAYS_PER_ZONE;
use crate::peers::roles::{role, Role};
use crate::ports::{StoreError, StoreKind};
use crate::state::Gateway;
use crate::store::backoff::Backoff;
use crate::store::StoreClient;
use crate::time::{sleep, within};
use ploverlift_policy::ids::StoreEra;
use ploverlift_streamorigin::journal::{write_period_ms, JournalledStream};
use ploverlift_streamorigin::origins::StreamOrigin;
use std::sync::Arc;

/// Interval of the checks whether this node calls the store itself, in milliseconds, while it has
/// something to write.
const ROLE_CHECK_PERIOD_MS: u64 = 100;

/// Adds streams to this node's journal.
pub fn journal(gateway: &Gateway, origins: &[StreamOrigin]) {
    let now = gateway.clock.now();
    let dropped: usize = {
        let journal = &mut gateway.beliefs().journal;
        let named = origins.iter().filter(|origin| origin.source.is_named());
        let dropped = named.map(|origin| {
            let journalled = JournalledStream {
                stream: origin.stream,
                source: Arc::new(origin.source.clone()),
                expires_at: origin.expires_at,
            };
            journal.note_began(journalled, now)
        });
        dropped.sum()
    };
    gateway
        .metrics
        .streams
        .journal_dropped
        .inc_by(dropped as u64);
    gateway.stream_journal_changed.notify(usize::MAX);
}

/// Writes this node's journal until the task is dropped.
pub async fn write_journal(gateway: Arc<Gateway>) {
    let mut writer = JournalWriter {
        client: StoreClient::new(&gateway),
        revision: None,
        is_failing: false,
        gateway,
    };
    let mut backoff = Backoff::new();
    loop {
        let gateway = Arc::clone(&writer.gateway);
        let changed = gateway.stream_journal_changed.listen();
        let restored = gateway.store_restored.listen();
        if writer.has_lost() {
            gateway.beliefs().journal.note_lost();
        }
        if !gateway.beliefs().journal.has_unwritten() {
            futures_lite::future::or(changed, restored).await;
            continue;
        }
        let now = gateway.clock.now();
        if !matches!(role(&gateway, now), Role::Direct | Role::Relay) {
            within(ROLE_CHECK_PERIOD_MS, changed).await;
            continue;
        }
        match writer.write().await {
            Ok(()) => {
                backoff.reset();
                let passed_ms = gateway.clock.now().since(now);
                sleep(period_ms(&gateway).saturating_sub(passed_ms)).await;
            }
            Err(error) => {
                writer.note_failed(&error);
                backoff.wait().await;
            }
        }
    }
}

/// The period of this node's writes, in milliseconds.
fn period_ms(gateway: &Gateway) -> u64 {
    let writes_per_second = gateway.settings().store.writes_per_second;
    write_period_ms(writer_count(gateway), writes_per_second)
}

/// Number of nodes that write journals, and read those of others.
pub(super) fn writer_count(gateway: &Gateway) -> usize {
    let book = gateway.address_book();
    match book.has_relays() {
        true => book.zones().len() * RELAYS_PER_ZONE,
        false => book.listed_nodes(),
    }
}

struct JournalWriter {
    gateway: Arc<Gateway>,
    client: StoreClient,
    /// The stored object's revision and the era of the store; `None` if they have to be read.
    revision: Option<(u64, Option<StoreEra>)>,
    is_failing: bool,
}

impl JournalWriter {
    /// Whether the store was restored from a copy since the last write.
    fn has_lost(&mut self) -> bool {
        let era = self.gateway.store_era.get();
        let has_lost = self.revision.is_some_and(|(_, written)| written != era);
        if has_lost {
            self.revision = None;
        }
        has_lost
    }

    async fn write(&mut self) -> Result<(), StoreError> {
        let gateway = Arc::clone(&self.gateway);
        let name = gateway.settings().node.name.clone();
        let revision = match self.revision.take() {
            Some((revision, _)) => revision,
            None => self.read_stored(&name).await?,
        };
        let began = gateway.clock.now();
        let time = document_time(&gateway);
        let contents = gateway.beliefs().journal.contents(began);
        let (document, left_out) = JournalDocument::of(&contents, time, began);
        let content = serde_json::to_value(&document).unwrap_or_default();
        let kind = StoreKind::StreamOrigins;
        let written = self.client.compare_and_set(kind, &name, revision, content);
        let object = written.await?;
        let now = gateway.clock.now();
        // Readers ignore a document that was written in a later era than it names.
        self.revision = Some((object.revision, time.era));
        let delays = gateway.beliefs().journal.note_written(&contents, now);
        if std::mem::take(&mut self.is_failing) {
            slog::info!(gateway.log, "stream journal written again"; "streams" => contents.streams.len());
        }
        let metrics = &gateway.metrics.streams;
        metrics.journal_dropped.inc_by(left_out as u64);
        metrics.note_journal_written(contents.streams.len(), document.bytes(), &delays);
        slog::debug!(gateway.log, "stream journal written";
            "streams" => contents.streams.len(), "new" => delays.len(),
            "bytes" => document.bytes(), "took_ms" => now.since(began),
            "longest_delay_ms" => delays.iter().max());
        Ok(())
    }

    /// Reads the stored object, and keeps what it holds of this node's former incarnation. Returns
    /// its revision; 0 if there is none.
    async fn read_stored(&mut self, name: &str) -> Result<u64, StoreError> {
        let stored = self.client.get(StoreKind::StreamOrigins, name).await?;
        let Some(object) = stored else {
            return Ok(0);
        };
        let document = JournalDocument::read(&object.content);
        let streams = document.map(|document| document.streams(document_time(&self.gateway)));
        let now = self.gateway.clock.now();
        let streams = streams.unwrap_or_default().into_iter();
        let streams = streams.map(|stored| JournalledStream {
            stream: stored.stream,
            source: stored.source,
            expires_at: now.plus(stored.left_ms),
        });
        let streams: Vec<JournalledStream> = streams.collect();
        let kept = self.gateway.beliefs().journal.restore(streams, now);
        if kept > 0 {
            slog::info!(self.gateway.log, "streams of the former incarnation kept"; "streams" => kept);
        }
        Ok(object.revision)
    }

    fn note_failed(&mut self, error: &StoreError) {
        if matches!(error, StoreError::Conflict { .. }) {
            return;
        }
        self.client.reset();
        if !std::mem::replace(&mut self.is_failing, true) {
            slog::warn!(self.gateway.log, "stream journal not written"; "error" => error.to_string());
        }
    }
}
