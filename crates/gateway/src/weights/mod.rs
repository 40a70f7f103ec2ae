//! Updating engines to new weights, and tracking the newest versions ([`knowledge`]).
//!
//! Only the holder of a lease in the object store sends load orders. Each order contains the
//! lease's fencing token, the incarnation of the target engine and the number of orders that
//! this incarnation must have accepted before, so an order that is executed late cannot undo
//! a newer one.

mod engine_load;
pub mod knowledge;
mod loading;
mod pace;
mod plan;

pub use plan::{outdated_engines, OutdatedEngine};

use crate::leases::succession::{is_lease_candidate, succession_delay_ms, LAST_SUCCESSOR_DELAY_MS};
use crate::leases::{LeaseHolder, LeaseName};
use crate::peers::roles::are_engines_relayed;
use crate::state::Gateway;
use crate::time::{sleep, within};
use engine_load::bring_up_to_date;
use loading::Loading;
use pace::loads_at_once;
use std::sync::Arc;

/// Period of checks while there is nothing to do, in milliseconds.
const IDLE_PERIOD_MS: u64 = 500;
/// Period of checks while weights are being loaded, in milliseconds.
const BUSY_PERIOD_MS: u64 = 50;

/// Time between the decision on a load and its order, in milliseconds: the next report to
/// the other nodes is sent in between.
const ANNOUNCEMENT_LEAD_MS: u64 = 60;

/// Competes for the lease and sends load orders, until the task is dropped.
pub async fn update_engine_weights(gateway: Arc<Gateway>) {
    let holder = Arc::new(LeaseHolder::new(&gateway, LeaseName::Weights));
    let loading = Loading::default();
    loop {
        let named = gateway.weights_named.listen();
        if loading.count() == 0 && are_engines_relayed(&gateway) {
            // Only the relays compete for the lease.
            holder.note_idle();
            within(IDLE_PERIOD_MS, named).await;
            continue;
        }
        let outdated = pending_engines(&gateway, &loading);
        gateway.beliefs().loading = loading.instances();
        if outdated.is_empty() && loading.count() == 0 {
            holder.note_idle();
            if is_lease_candidate(&gateway) {
                holder.observe_if_unread().await;
            }
            within(IDLE_PERIOD_MS, named).await;
            continue;
        }
        let succession_wait_ms = match holder.is_own() {
            true => 0,
            false => succession_delay_ms(&gateway),
        };
        if succession_wait_ms <= LAST_SUCCESSOR_DELAY_MS {
            holder.observe_once().await;
        }
        let at_once = loads_at_once(&gateway, &loading, &outdated, succession_wait_ms);
        let is_idle = loading.count() == 0;
        // A stopping node does not begin a first load: it would lose the lease in between.
        if is_idle && (at_once == 0 || gateway.is_stopping()) {
            within(BUSY_PERIOD_MS, named).await;
            continue;
        }
        let next = next_loads(&gateway, &loading, &outdated, at_once);
        if holder.renew_or_acquire().await {
            begin_loads(&gateway, &holder, &loading, next, at_once);
        }
        sleep(BUSY_PERIOD_MS).await;
    }
}

/// Engines with outdated weights that are not yet loading.
fn pending_engines(gateway: &Gateway, loading: &Loading) -> Vec<OutdatedEngine> {
    let outdated = outdated_engines(gateway, gateway.clock.now());
    let waiting = outdated.into_iter();
    waiting
        .filter(|engine| !loading.contains(&engine.instance))
        .collect()
}

/// The engines to load next, limited by the number of spare load slots.
fn next_loads(
    gateway: &Gateway,
    loading: &Loading,
    outdated: &[OutdatedEngine],
    at_once: usize,
) -> Vec<OutdatedEngine> {
    let configured_ms = gateway.settings().weights.load_ms;
    let busy = loading.count_busy(configured_ms, gateway.clock.now());
    let free = at_once.saturating_sub(busy);
    outdated.iter().take(free).cloned().collect()
}

fn begin_loads(
    gateway: &Arc<Gateway>,
    holder: &Arc<LeaseHolder>,
    loading: &Loading,
    engines: Vec<OutdatedEngine>,
    at_once: usize,
) {
    for engine in engines {
        loading.begin(&engine.instance, at_once, gateway.clock.now());
        gateway.beliefs().loading = loading.instances();
        gateway.report_due.notify(usize::MAX);
        let (gateway, holder) = (Arc::clone(gateway), Arc::clone(holder));
        let loading = loading.clone();
        smol::spawn(async move {
            // Other nodes receive the announcement first.
            sleep(ANNOUNCEMENT_LEAD_MS).await;
            let instance = engine.instance.clone();
            let reported_ms = bring_up_to_date(&gateway, &holder, &loading, engine).await;
            loading.end(&instance, reported_ms);
        })
        .detach();
    }
}
