//! Engines whose entries lapsed while the store was away.
//!
//! An engine renews its entry in the store, so a store that comes back may lack the
//! entries of engines that live. They write them again within a short time; until
//! then the engines are kept, or a node would have none to send requests to.

use super::engine_feed::apply_record;
use crate::engine_log::{log_engine_updates, UpdateSource};
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_balancing::catalogue::{EngineRecord, InstanceId};
use std::sync::Arc;

/// All engines as the store lists them.
pub struct EngineList {
    /// Those whose records can be read.
    pub records: Vec<EngineRecord>,
    /// Those whose records another writer spoilt: they name no engine to use, and take
    /// none away.
    pub unreadable: Vec<InstanceId>,
    /// Revision of the store.
    pub revision: u64,
}

/// Replaces the engines by those listed. Shortly after the store's return, engines that
/// are missing are given time to come back.
pub fn replace_engines(gateway: &Arc<Gateway>, list: EngineList) {
    let now = gateway.clock.now();
    let mut missing = gateway.beliefs().engines.missing_in(&list.records);
    missing.retain(|instance| !list.unreadable.contains(instance));
    let is_first_list = !gateway.beliefs().engines_listed;
    for record in list.records {
        if is_first_list {
            gateway.beliefs().upsert_engine(record, now);
        } else {
            apply_record(gateway, record);
        }
    }
    for instance in missing {
        remove_engine(gateway, instance, list.revision);
    }
    let mut beliefs = gateway.beliefs();
    beliefs.engines_listed = true;
    beliefs.listed_revision = beliefs.listed_revision.max(list.revision);
    drop(beliefs);
    gateway.site_learned.notify(usize::MAX);
}

/// Forgets an engine whose entry is gone since a revision: at once, or, shortly
/// after the store's return from an outage in which entries may have lapsed, when it has
/// not come back in time. An engine that said that it leaves, or at whose address another
/// one answered, goes at once.
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
    // Others are told how old that makes what this node knows.
    gateway.beliefs().engines_proof.keep(instance.clone(), now);
    let gateway = Arc::clone(gateway);
    smol::spawn(async move {
        sleep(wait_ms).await;
        // An entry that was written since has a later revision, and stays.
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
