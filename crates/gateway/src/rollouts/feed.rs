//! Follows the rollout orders in the object store: a list, then each change.

use super::stage_log::log_order_updates;
use super::{rollout_settings, OrderUpdate};
use crate::ports::{StoreKind, StoreObject, WatchEvent};
use crate::state::Gateway;
use crate::store::backoff::Backoff;
use crate::store::feed::{Feed, EVERY_REVISION};
use crate::store::rejected_entries::note_rejected;
use crate::time::{sleep, within};
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::order::RolloutOrder;
use std::sync::Arc;

/// Longest wait of a watch of orders while a rollout is open, in milliseconds. Its answer
/// proves the stage, and the proof must reach all nodes before the lease on a stage
/// ([`ploverlift_rollout::share::STAGE_LEASE_MS`]) expires.
const OPEN_WATCH_MS: u64 = 400;
/// Longest wait of a watch of orders while a known stage is not proven, in milliseconds.
const PROVING_WATCH_MS: u64 = 1;
/// Maximum age of the known orders while no rollout is open, as a share of the bound on bad
/// versions (`bounds.roll_back_ms`). An order may name a version that already serves and is
/// bad; the rest of the bound is for the verdict to reach this node.
const ORDERS_AGE_SHARE: f64 = 0.5;
/// Shortest time between two lists, in milliseconds, as engines are recorded in groups.
const MIN_LIST_INTERVAL_MS: u64 = 100;

/// Longest wait of the next watch of orders, in milliseconds.
pub fn order_watch_ms(gateway: &Gateway) -> u64 {
    let closed_watch_ms = closed_watch_ms(gateway);
    let rollouts = &gateway.beliefs().rollouts;
    match (rollouts.is_any_open(), rollouts.are_stages_proven()) {
        (true, true) => OPEN_WATCH_MS,
        (true, false) => PROVING_WATCH_MS,
        (false, _) => closed_watch_ms,
    }
}

/// Longest wait of a watch of orders while no rollout is open, in milliseconds. The answer
/// at its end shows an order that the watch missed.
fn closed_watch_ms(gateway: &Gateway) -> u64 {
    let settings = gateway.settings();
    let limit_ms = settings.bounds.roll_back_ms as f64 * ORDERS_AGE_SHARE;
    settings.store.other_watch_ms.min(limit_ms as u64)
}

/// Waits until the version of an engine can't be placed with the known orders.
pub async fn wait_until_order_is_lacking(gateway: &Gateway) {
    loop {
        let due = gateway.orders_due.listen();
        let is_lacking = {
            let beliefs = gateway.beliefs();
            beliefs.rollouts.lacks_orders(&beliefs.engines)
        };
        if is_lacking {
            return;
        }
        due.await;
    }
}

/// Follows the orders until the task is dropped.
pub async fn follow_rollouts(gateway: Arc<Gateway>) {
    let mut feed = Feed::new(Arc::clone(&gateway), StoreKind::Rollouts);
    let mut backoff = Backoff::new();
    loop {
        let engines_revision = gateway.beliefs().engines_revision;
        let (objects, mut revision, sent) = feed.list(&mut backoff).await;
        if revision == EVERY_REVISION {
            // The store does not have this kind of object, so no order is older than the
            // engines known when the list was sent. An order, and the kind with it, may
            // be created at any time.
            take_list(&gateway, &objects, engines_revision, sent);
            let poll_ms = closed_watch_ms(&gateway);
            within(poll_ms, wait_until_order_is_lacking(&gateway)).await;
            sleep(MIN_LIST_INTERVAL_MS).await;
            continue;
        }
        take_list(&gateway, &objects, revision, sent);
        while let Some((events, next, sent)) = feed.changes(revision, &mut backoff).await {
            for event in &events {
                take_event(&gateway, event);
            }
            note_known_through(&gateway, next, sent);
            revision = next;
        }
        let passed_ms = gateway.clock.now().since(sent);
        sleep(MIN_LIST_INTERVAL_MS.saturating_sub(passed_ms)).await;
    }
}

fn take_list(gateway: &Gateway, objects: &[StoreObject], revision: u64, sent: Millis) {
    let orders = objects
        .iter()
        .filter_map(|object| read_order(gateway, object));
    let orders: Vec<RolloutOrder> = orders.collect();
    let listed = objects.iter().map(|object| object.name.as_str());
    gateway.beliefs().rollouts.orders.forget_unlisted(listed);
    let missing = gateway.beliefs().rollouts.orders.missing_in(&orders);
    for service in missing {
        let now = gateway.clock.now();
        let mut beliefs = gateway.beliefs();
        beliefs.rollouts.remove_order(&service, revision, now);
    }
    for order in orders {
        update_known_order(gateway, order);
    }
    note_known_through(gateway, revision, sent);
}

fn take_event(gateway: &Gateway, event: &WatchEvent) {
    if event.is_gone {
        let mut beliefs = gateway.beliefs();
        beliefs.rollouts.orders.note_readable(&event.object.name);
    }
    if !event.is_gone {
        if let Some(order) = read_order(gateway, &event.object) {
            update_known_order(gateway, order);
        }
        return;
    }
    let Ok(order) = gateway.site.rollout_order(&event.object) else {
        return;
    };
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let is_removed = beliefs
        .rollouts
        .remove_order(&order.service, order.revision, now);
    drop(beliefs);
    if is_removed {
        slog::warn!(gateway.log, "rollout withdrawn";
            "service" => &order.service.0, "target" => &order.target.0,
            "revision" => order.revision);
    }
}

/// Decodes an order. An invalid one is logged; versions recorded after it can't be placed
/// until it is corrected or removed.
pub fn read_order(gateway: &Gateway, object: &StoreObject) -> Option<RolloutOrder> {
    match gateway.site.rollout_order(object) {
        Ok(order) => {
            let mut beliefs = gateway.beliefs();
            beliefs.rollouts.orders.note_readable(&object.name);
            Some(order)
        }
        Err(invalid) => {
            note_rejected(gateway, StoreKind::Rollouts, &invalid);
            let mut beliefs = gateway.beliefs();
            let orders = &mut beliefs.rollouts.orders;
            orders.note_unreadable(&object.name, object.revision);
            None
        }
    }
}

/// Applies an order that was read from the store or whose status this node has just written.
pub fn update_known_order(gateway: &Gateway, order: RolloutOrder) {
    let settings = rollout_settings(&gateway.settings());
    let now = gateway.clock.now();
    let update = gateway.beliefs().apply_rollout_order(order, settings, now);
    publish_order_updates(gateway, update.as_slice());
}

/// Logs changed orders and wakes the tasks that wait for changes of orders.
pub fn publish_order_updates(gateway: &Gateway, updates: &[OrderUpdate]) {
    if updates.is_empty() {
        return;
    }
    log_order_updates(gateway, updates);
    gateway.order_changed.notify(usize::MAX);
    gateway.report_due.notify(usize::MAX);
}

/// Records that a call sent at `sent` has returned all orders up to a revision.
fn note_known_through(gateway: &Gateway, revision: u64, sent: Millis) {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let beliefs = &mut *beliefs;
    let known_before = beliefs.rollouts.orders.known_through();
    let lacked = beliefs.rollouts.lacks_orders(&beliefs.engines);
    beliefs
        .rollouts
        .note_orders_known(revision, Some(sent), &beliefs.engines, now);
    if lacked || known_before.is_none() {
        // Followers of this node wait for the orders.
        gateway.report_due.notify(usize::MAX);
    }
}
