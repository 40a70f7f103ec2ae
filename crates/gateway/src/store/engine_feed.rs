//! The local copy of the engine records: a list, then a watch for changes.

use super::backoff::Backoff;
use super::feed::{Feed, ENGINES_OVERDUE_MS};
use super::lapsed::{add_engines, remove_engine, replace_engines, EngineList};
use super::rejected_entries::note_rejected;
use crate::engine_log::{log_engine_updates, UpdateSource};
use crate::engines_proof::engines_age_limit_ms;
use crate::ports::{StoreError, StoreKind, StoreObject, WatchEvent};
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_balancing::catalogue::{EngineRecord, InstanceId};
use ploverlift_policy::ids::Millis;
use std::sync::Arc;

/// Minimum time between sending a watch that reported changes and sending the next one, in
/// milliseconds: engines change in groups, and each answer of a watch costs a call. Like the
/// age of the proof, it counts from the time of sending, so the pause does not make the proof
/// older.
const BATCH_PERIOD_MS: u64 = 800;
/// Follows the engines until the task is dropped.
pub async fn follow_engines(gateway: Arc<Gateway>) {
    let mut feed = Feed::new(Arc::clone(&gateway), StoreKind::Engines);
    let mut backoff = Backoff::new();
    loop {
        let (objects, mut revision, sent_at) = feed.list(&mut backoff).await;
        apply_engine_list(&gateway, &objects, revision);
        note_engines_proven(&gateway, revision, sent_at);
        gateway.orders_due.notify(usize::MAX);
        while let Some((events, next, sent_at)) = feed.changes(revision, &mut backoff).await {
            let has_events = !events.is_empty();
            for event in events {
                apply_engine_change(&gateway, &event);
            }
            note_engines_proven(&gateway, next, sent_at);
            if has_events {
                gateway.orders_due.notify(usize::MAX);
            }
            let count = gateway.beliefs().engines.len();
            gateway.metrics.engines.set(count as i64);
            revision = next;
            if has_events {
                let elapsed_ms = gateway.clock.now().since(sent_at);
                sleep(BATCH_PERIOD_MS.saturating_sub(elapsed_ms)).await;
            }
        }
    }
}

/// Records that a call sent at `sent_at` reported all engine changes up to a revision.
fn note_engines_proven(gateway: &Gateway, revision: u64, sent_at: Millis) {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let longest_ms = engines_age_limit_ms(&gateway.settings()) + ENGINES_OVERDUE_MS;
    beliefs
        .engines_proof
        .note_store_read(sent_at, now, longest_ms);
    beliefs.engines_revision = beliefs.engines_revision.max(revision);
    drop(beliefs);
    gateway.site_updated.notify(usize::MAX);
}

fn apply_engine_list(gateway: &Arc<Gateway>, objects: &[StoreObject], revision: u64) {
    let (records, unreadable) = read_engines(gateway, objects);
    let (count, unreadable_count) = (records.len(), unreadable.len());
    replace_engines(
        gateway,
        EngineList {
            records,
            unreadable,
            revision,
        },
    );
    gateway.metrics.engines.set(count as i64);
    slog::info!(gateway.log, "engines listed";
        "count" => count, "unreadable" => unreadable_count);
}

/// Applies the part of a list that could be read before it failed, if any: these engines are used,
/// and no known one is removed.
pub(super) fn apply_listed_part(gateway: &Gateway, objects: &[StoreObject], error: &StoreError) {
    if objects.is_empty() {
        gateway.beliefs().engines_incomplete_since = None;
        return;
    }
    let (records, _) = read_engines(gateway, objects);
    let count = records.len();
    add_engines(gateway, records);
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let is_first = beliefs.engines_incomplete_since.is_none();
    beliefs.engines_incomplete_since.get_or_insert(now);
    let known = beliefs.engines.len();
    drop(beliefs);
    gateway.metrics.engines.set(known as i64);
    if is_first {
        slog::warn!(gateway.log, "engines listed in part";
            "count" => count, "known" => known, "error" => error.to_string());
    }
    gateway.site_updated.notify(usize::MAX);
}

/// The records of listed engines, and the instances whose records can't be read.
fn read_engines(
    gateway: &Gateway,
    objects: &[StoreObject],
) -> (Vec<EngineRecord>, Vec<InstanceId>) {
    let (mut records, mut unreadable) = (Vec::new(), Vec::new());
    for object in objects {
        match gateway.site.engine(object) {
            Ok(record) => records.push(record),
            Err(invalid) => {
                note_rejected(gateway, StoreKind::Engines, &invalid);
                unreadable.push(InstanceId(object.name.clone()));
            }
        }
    }
    (records, unreadable)
}

/// Applies an engine change from the store.
pub fn apply_engine_change(gateway: &Arc<Gateway>, event: &WatchEvent) {
    let object = &event.object;
    if event.is_gone {
        let instance = InstanceId(object.name.clone());
        return remove_engine(gateway, instance, object.revision);
    }
    match gateway.site.engine(object) {
        Ok(record) => apply_record(gateway, record),
        Err(invalid) => note_rejected(gateway, StoreKind::Engines, &invalid),
    }
}

/// Applies an engine record and logs the resulting changes.
pub(super) fn apply_record(gateway: &Gateway, record: EngineRecord) {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let before = beliefs.catalogue_log.through();
    beliefs.upsert_engine(record, now);
    let changes = beliefs.catalogue_log.after(before);
    drop(beliefs);
    log_engine_updates(gateway, &changes, UpdateSource::Store);
}
