//! Bringing engines to new weights.
//!
//! One node at a time gives orders: the holder of a lease in the object store.
//! Its orders carry the lease's fencing token, the life of the engine that is
//! meant and the number of orders that this life must have taken, so an order
//! that is carried out late cannot undo a newer one.

mod engine_load;
mod holder;
mod plan;

pub use holder::LeaseHolder;
pub use plan::{outdated_engines, OutdatedEngine};

use crate::state::Gateway;
use crate::time::{sleep, within};
use engine_load::bring_up_to_date;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::load_schedule::{loads_now, LoadPace};
use ploverlift_policy::ids::Millis;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// Time between two looks while there is nothing to do, in milliseconds.
const IDLE_PERIOD_MS: u64 = 500;
/// Time between two looks while weights are being loaded, in milliseconds.
const BUSY_PERIOD_MS: u64 = 50;
/// Longest random wait before a node that did not hold the lease last asks for
/// it, in milliseconds, so that not all ask at once.
const MAX_STAGGER_MS: u64 = 300;

/// Engines that are being brought up to date by this node.
#[derive(Clone, Default)]
struct Loading {
    engines: Arc<Mutex<HashSet<InstanceId>>>,
}

impl Loading {
    fn count(&self) -> usize {
        self.with(|engines| engines.len())
    }

    fn has(&self, instance: &InstanceId) -> bool {
        self.with(|engines| engines.contains(instance))
    }

    fn begin(&self, instance: &InstanceId) {
        self.with(|engines| engines.insert(instance.clone()));
    }

    fn end(&self, instance: &InstanceId) {
        self.with(|engines| engines.remove(instance));
    }

    fn with<T>(&self, work: impl FnOnce(&mut HashSet<InstanceId>) -> T) -> T {
        let engines = self.engines.lock();
        work(&mut engines.unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}

/// Takes part in the lease and gives orders, until the task is dropped.
pub async fn roll_weights(gateway: Arc<Gateway>) {
    let holder = Arc::new(LeaseHolder::new(&gateway));
    let loading = Loading::default();
    let stagger_ms = fastrand::u64(0..=MAX_STAGGER_MS);
    loop {
        let named = gateway.weights_named.listen();
        let outdated = waiting_engines(&gateway, &loading);
        if outdated.is_empty() && loading.count() == 0 {
            holder.rest();
            within(IDLE_PERIOD_MS, named).await;
            continue;
        }
        holder.observe_once().await;
        let waits_ms = if holder.is_own() { 0 } else { stagger_ms };
        let at_once = loads_at_once(&gateway, &outdated, waits_ms);
        let is_idle = loading.count() == 0;
        // A node that stops gives no first order: it would lose the lease in between.
        if is_idle && (at_once == 0 || gateway.is_stopping()) {
            within(BUSY_PERIOD_MS, named).await;
            continue;
        }
        if holder.keep().await {
            begin_loads(&gateway, &holder, &loading, &outdated, at_once);
        }
        sleep(BUSY_PERIOD_MS).await;
    }
}

/// Engines with outdated weights that are not being loaded.
fn waiting_engines(gateway: &Gateway, loading: &Loading) -> Vec<OutdatedEngine> {
    let outdated = outdated_engines(gateway, gateway.clock.now());
    let waiting = outdated.into_iter();
    waiting.filter(|engine| !loading.has(&engine.instance)).collect()
}

/// Engines that should load at the same time now; 0 while there is time. Nodes
/// that did not hold the lease last wait a little longer.
fn loads_at_once(gateway: &Gateway, outdated: &[OutdatedEngine], waits_ms: u64) -> usize {
    let settings = &gateway.settings().weights;
    let bounds = gateway.weights_bounds();
    let deadlines: Vec<Millis> = outdated
        .iter()
        .map(|engine| engine.named_at.plus(bounds.avoid_after_ms + waits_ms))
        .collect();
    let pace = LoadPace {
        load_ms: settings.load_ms,
        at_once: settings.loads_at_once,
        at_once_limit: settings.loads_at_once_limit,
        reserve_ms: settings.reserve_ms,
    };
    loads_now(&deadlines, &pace, gateway.clock.now())
}

fn begin_loads(
    gateway: &Arc<Gateway>,
    holder: &Arc<LeaseHolder>,
    loading: &Loading,
    outdated: &[OutdatedEngine],
    at_once: usize,
) {
    let free = at_once.saturating_sub(loading.count());
    for engine in outdated.iter().take(free) {
        loading.begin(&engine.instance);
        let (gateway, holder) = (Arc::clone(gateway), Arc::clone(holder));
        let (loading, engine) = (loading.clone(), engine.clone());
        smol::spawn(async move {
            let instance = engine.instance.clone();
            bring_up_to_date(&gateway, &holder, engine).await;
            loading.end(&instance);
        })
        .detach();
    }
}
