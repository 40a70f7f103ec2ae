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
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// Time between two looks while there is nothing to do, in milliseconds.
const IDLE_PERIOD_MS: u64 = 500;
/// Time between two looks while weights are being loaded, in milliseconds.
const BUSY_PERIOD_MS: u64 = 50;
/// Longest random wait before a node asks for the lease, in milliseconds, so
/// that not all ask at once.
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

    fn begin(&self, instance: &InstanceId) -> bool {
        self.with(|engines| engines.insert(instance.clone()))
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
        let outdated = outdated_engines(&gateway, gateway.clock.now());
        if outdated.is_empty() && loading.count() == 0 {
            within(IDLE_PERIOD_MS, named).await;
            continue;
        }
        holder.observe_once().await;
        let due_in_ms = due_in_ms(&gateway, &outdated, holder.is_own(), stagger_ms);
        if due_in_ms > 0 && loading.count() == 0 {
            within(due_in_ms.min(IDLE_PERIOD_MS), named).await;
            continue;
        }
        if gateway.is_stopping() && loading.count() == 0 {
            // Another node goes on; this one would lose the lease in between.
            sleep(IDLE_PERIOD_MS).await;
            continue;
        }
        if !holder.keep().await {
            sleep(BUSY_PERIOD_MS).await;
            continue;
        }
        begin_loads(&gateway, &holder, &loading, outdated);
        sleep(BUSY_PERIOD_MS).await;
    }
}

/// Time until the first order may be given, in milliseconds.
fn due_in_ms(
    gateway: &Gateway,
    outdated: &[OutdatedEngine],
    is_own: bool,
    stagger_ms: u64,
) -> u64 {
    let now = gateway.clock.now();
    let start_after_ms = gateway.settings().weights.start_after_ms;
    let waits = if is_own { 0 } else { stagger_ms };
    let oldest = outdated.iter().map(|engine| now.since(engine.named_at)).max();
    oldest.map_or(0, |age| (start_after_ms + waits).saturating_sub(age))
}

fn begin_loads(
    gateway: &Arc<Gateway>,
    holder: &Arc<LeaseHolder>,
    loading: &Loading,
    outdated: Vec<OutdatedEngine>,
) {
    let at_once = gateway.settings().weights.loads_at_once;
    for engine in outdated {
        if loading.count() >= at_once {
            return;
        }
        if !loading.begin(&engine.instance) {
            continue;
        }
        let (gateway, holder) = (Arc::clone(gateway), Arc::clone(holder));
        let loading = loading.clone();
        smol::spawn(async move {
            let instance = engine.instance.clone();
            bring_up_to_date(&gateway, &holder, engine).await;
            loading.end(&instance);
        })
        .detach();
    }
}
