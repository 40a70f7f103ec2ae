//! Engines whose records expired while the store was unavailable.
//!
//! Engines renew their records in the store, so a store that is available again may lack the
//! records of running engines. The engines write them again within a short time. Until then
//! they are kept, because otherwise a node would have no engine to send requests to.

use super::engine_feed::apply_record;
use crate::engine_log::{log_engine_updates, UpdateSource};
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_balancing::catalogue::{EngineRecord, InstanceId};
use std::sync::Arc;

/// All engines, as listed by the store.
pub struct EngineList {
    /// Records that could be parsed.
    pub records: Vec<EngineRecord>,
    /// Engines whose records are invalid, for example because another writer damaged them.
    /// They neither add nor remove an engine.
    pub unreadable: Vec<InstanceId>,
    /// Store revision of the list.
    pub revision: u64,
}

/// Replaces the known engines with the listed ones. Shortly after an outage of the store,
/// missing engines have a grace period to write their records again.
pub fn replace_engines(gateway: &Arc<Gateway>, list: EngineList) {
    let mut missing = gateway.beliefs().engines.missing_in(&list.records);
    missing.retain(|instance| !list.unreadable.contains(instance));
    add_engines(gateway, list.records);
    for instance in missing {
        remove_engine(gateway, instance, list.revision);
    }
    let mut beliefs = gateway.beliefs();
    beliefs.has_listed_engines = true;
    beliefs.engines_incomplete_since = None;
    beliefs.listed_revision = beliefs.listed_revision.max(list.revision);
    drop(beliefs);
    gateway.site_updated.notify(usize::MAX);
}

/// Adds or updates listed engines. Those of the first list are not logged one by one.
pub(super) fn add_engines(gateway: &Gateway, records: Vec<EngineRecord>) {
    let now = gateway.clock.now();
    let is_first_list = !gateway.beliefs().has_listed_engines;
    for record in records {
        if is_first_list {
            gateway.beliefs().upsert_engine(record, now);
        } else {
            apply_record(gateway, record);
        }
    }
}

/// Removes an engine whose record is missing since a revision. The removal is immediate, or,
/// shortly after an outage in which records may have expired, after a grace period in which
/// the engine did not write its record again. An engine that announced that it leaves, or
/// whose address is used by another engine, is always removed at once.
pub fn remove_engine(gateway: &Arc<Gateway>, instance: InstanceId, revision: u64) {
    let now = gateway.clock.now();
    let wait_ms = match has_ended(gateway, &instance) {
        true => 0,
        false => gateway.beliefs().store_outage.remaining_grace_ms(now),
    };
    if wait_ms == 0 {
        return remove_now(gateway, instance, revision);
    }
    slog::info!(gateway.log, "engine lapsed";
        "engine" => &instance.0, "revision" => revision, "wait_ms" => wait_ms);
    // The age that this node reports for its engines then counts from this removal.
    gateway
        .beliefs()
        .engines_proof
        .retain_removed(instance.clone(), now);
    let gateway = Arc::clone(gateway);
    smol::spawn(async move {
        sleep(wait_ms).await;
        // A record written since has a later revision and is not removed.
        remove_now(&gateway, instance, revision);
    })
    .detach();
}

fn remove_now(gateway: &Gateway, instance: InstanceId, revision: u64) {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let before = beliefs.catalogue_log.through();
    beliefs.remove_engine(&instance, revision, now);
    let changes = beliefs.catalogue_log.after(before);
    drop(beliefs);
    gateway.engine_check_due.notify(usize::MAX);
    log_engine_updates(gateway, &changes, UpdateSource::Store);
}

fn has_ended(gateway: &Gateway, instance: &InstanceId) -> bool {
    let now = gateway.clock.now();
    let beliefs = gateway.beliefs();
    let known = beliefs.engines.get(instance);
    known.is_some_and(|engine| beliefs.engines.is_leaving(engine) || engine.is_misdirected(now))
}
