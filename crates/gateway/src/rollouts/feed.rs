//! Orders of rollouts as they are stored: a list, then each change.

use super::log_lines::log_order_updates;
use super::{rollout_settings, OrderUpdate};
use crate::ports::{StoreKind, StoreObject, WatchEvent};
use crate::state::Gateway;
use crate::store::backoff::Backoff;
use crate::store::feed::{Feed, EVERY_REVISION};
use crate::time::{sleep, within};
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::order::RolloutOrder;
use std::sync::Arc;

/// How long a watch of orders waits while a rollout is open, in milliseconds: its
/// answer proves the stage, and the proof may be no older than the lease on a stage
/// ([`ploverlift_rollout::share::STAGE_LEASE_MS`]) when it has come to all nodes.
const OPEN_WATCH_MS: u64 = 400;
/// The same while a stage is known that was not proven yet, in milliseconds.
const PROVING_WATCH_MS: u64 = 1;
/// Part of the bound on bad versions that knowledge of the orders may be old while no
/// rollout is open. A version that serves may be ordered, and be bad: the rest is for
/// hearing the verdict.
const ORDERS_AGE_SHARE: f64 = 0.5;
/// Shortest time between two lists, in milliseconds: engines come in groups.
const MIN_LIST_INTERVAL_MS: u64 = 100;

/// How long a watch of orders waits now, in milliseconds.
pub fn order_watch_ms(gateway: &Gateway) -> u64 {
    let closed_watch_ms = closed_watch_ms(gateway);
    let rollouts = &gateway.beliefs().rollouts;
    match (rollouts.is_any_open(), rollouts.are_stages_proven()) {
        (true, true) => OPEN_WATCH_MS,
        (true, false) => PROVING_WATCH_MS,
        (false, _) => closed_watch_ms,
    }
}

/// How long a watch of orders waits while no rollout is open, in milliseconds: its end
/// shows an order that it did not hear.
fn closed_watch_ms(gateway: &Gateway) -> u64 {
    let settings = gateway.settings();
    let limit_ms = settings.bounds.roll_back_ms as f64 * ORDERS_AGE_SHARE;
    settings.store.other_watch_ms.min(limit_ms as u64)
}

/// Waits until an engine is known whose version no known order can place.
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
            // There was no order when it was asked, so none is older than the engines
            // that were known then. One may come at any time, and the kind with it.
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
        apply_order(gateway, order);
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
            apply_order(gateway, order);
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

/// Reads an order. One that does not fit is logged; versions that came after it can't be
/// placed until it is corrected or gone.
pub fn read_order(gateway: &Gateway, object: &StoreObject) -> Option<RolloutOrder> {
    match gateway.site.rollout_order(object) {
        Ok(order) => {
            let mut beliefs = gateway.beliefs();
            beliefs.rollouts.orders.note_readable(&object.name);
            Some(order)
        }
        Err(error) => {
            slog::warn!(gateway.log, "rollout order does not fit";
                "name" => &object.name, "revision" => object.revision,
                "error" => error.to_string());
            let mut beliefs = gateway.beliefs();
            let orders = &mut beliefs.rollouts.orders;
            orders.note_unreadable(&object.name, object.revision);
            None
        }
    }
}

/// Takes in an order, from the store or as this node has just written its status.
pub fn apply_order(gateway: &Gateway, order: RolloutOrder) {
    let settings = rollout_settings(&gateway.settings());
    let now = gateway.clock.now();
    let update = gateway.beliefs().take_rollout_order(order, settings, now);
    publish_order_updates(gateway, update.as_slice());
}

/// Logs what orders have brought, and tells those who wait for it.
pub fn publish_order_updates(gateway: &Gateway, updates: &[OrderUpdate]) {
    if updates.is_empty() {
        return;
    }
    log_order_updates(gateway, updates);
    gateway.order_changed.notify(usize::MAX);
    gateway.report_due.notify(usize::MAX);
}

/// A call that was sent at `sent` told all orders up to a revision.
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
        // Nodes that follow this one wait for it.
        gateway.report_due.notify(usize::MAX);
    }
}
