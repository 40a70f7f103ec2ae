//! Bringing engines to new weights.
//!
//! One node at a time gives orders: the holder of a lease in the object store.
//! Its orders carry the lease's fencing token, the life of the engine that is
//! meant and the number of orders that this life must have taken, so an order
//! that is carried out late cannot undo a newer one.

mod engine_load;
mod plan;

pub use plan::{outdated_engines, OutdatedEngine};

use crate::leases::succession::{succession_ms, LAST_SUCCESSOR_MS};
use crate::leases::{LeaseHolder, LeaseName};
use crate::peers::roles::are_engines_told;
use crate::state::Gateway;
use crate::time::{sleep, within};
use engine_load::bring_up_to_date;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::load_schedule::{loads_now, LoadPace};
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Time between two looks while there is nothing to do, in milliseconds.
const IDLE_PERIOD_MS: u64 = 500;
/// Time between two looks while weights are being loaded, in milliseconds.
const BUSY_PERIOD_MS: u64 = 50;

/// Age of what a report shows, in milliseconds. A load is over by so much
/// earlier than its report tells.
const REPORT_AGE_MS: u64 = 200;
/// Time between the decision on a load and its order, in milliseconds: the next
/// report to the other nodes goes out before.
const ANNOUNCED_BEFORE_MS: u64 = 60;
/// Weight of the newest load in the expected time of a load.
const NEWEST_LOAD_WEIGHT: f64 = 0.2;

/// Engines that are being brought up to date by this node.
#[derive(Clone, Default)]
struct Loading {
    state: Arc<Mutex<LoadingState>>,
}

#[derive(Default)]
struct LoadingState {
    loads: HashMap<InstanceId, PresentLoad>,
    load_ms: Option<f64>,
}

/// One engine that is being brought up to date.
struct PresentLoad {
    begun: Millis,
    /// Whether no more engines than usual were loading when it began. More of them
    /// slow each other down.
    is_usual: bool,
    /// Whether it was seen to load for longer than expected.
    is_late: bool,
}

impl Loading {
    fn count(&self) -> usize {
        self.with(|state| state.loads.len())
    }

    /// Engines whose load is not expected to be over yet, or was seen not to be.
    fn count_busy(&self, usual_ms: u64, now: Millis) -> usize {
        let load_ms = self.load_ms(usual_ms);
        let is_busy = |load: &&PresentLoad| load.is_late || now.since(load.begun) < load_ms;
        self.with(|state| state.loads.values().filter(is_busy).count())
    }

    /// A report shows that the engine is still loading.
    fn note_busy(&self, instance: &InstanceId, usual_ms: u64, now: Millis) {
        let load_ms = self.load_ms(usual_ms);
        self.with(|state| {
            if let Some(load) = state.loads.get_mut(instance) {
                load.is_late = now.since(load.begun) >= load_ms;
            }
        });
    }

    /// Time that a load is expected to take, in milliseconds.
    fn load_ms(&self, usual_ms: u64) -> u64 {
        self.with(|state| state.load_ms.map_or(usual_ms, |known| known as u64))
    }

    fn instances(&self) -> Vec<InstanceId> {
        let mut instances: Vec<InstanceId> =
            self.with(|state| state.loads.keys().cloned().collect());
        instances.sort();
        instances
    }

    fn has(&self, instance: &InstanceId) -> bool {
        self.with(|state| state.loads.contains_key(instance))
    }

    fn begin(&self, instance: &InstanceId, usual_at_once: usize, now: Millis) {
        self.with(|state| {
            let load = PresentLoad {
                begun: now,
                is_usual: state.loads.len() < usual_at_once,
                is_late: false,
            };
            state.loads.insert(instance.clone(), load);
        });
    }

    /// The engine is done with; `reported_ms` is the time from its order to the
    /// report that showed the load.
    fn end(&self, instance: &InstanceId, reported_ms: Option<u64>) {
        self.with(|state| {
            let load = state.loads.remove(instance);
            let is_usual = load.is_some_and(|load| load.is_usual);
            if let Some(reported_ms) = reported_ms.filter(|_| is_usual) {
                let load_ms = reported_ms.saturating_sub(REPORT_AGE_MS) as f64;
                let known = state.load_ms.unwrap_or(load_ms);
                state.load_ms = Some(known + NEWEST_LOAD_WEIGHT * (load_ms - known));
            }
        });
    }

    fn with<T>(&self, work: impl FnOnce(&mut LoadingState) -> T) -> T {
        let state = self.state.lock();
        work(&mut state.unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}

/// Takes part in the lease and gives orders, until the task is dropped.
pub async fn roll_weights(gateway: Arc<Gateway>) {
    let holder = Arc::new(LeaseHolder::new(&gateway, LeaseName::Weights));
    let loading = Loading::default();
    loop {
        let named = gateway.weights_named.listen();
        if loading.count() == 0 && are_engines_told(&gateway) {
            // The relays stand for the lease.
            holder.rest();
            within(IDLE_PERIOD_MS, named).await;
            continue;
        }
        let outdated = waiting_engines(&gateway, &loading);
        gateway.beliefs().loading = loading.instances();
        if outdated.is_empty() && loading.count() == 0 {
            holder.rest();
            within(IDLE_PERIOD_MS, named).await;
            continue;
        }
        let waits_ms = match holder.is_own() {
            true => 0,
            false => succession_ms(&gateway),
        };
        if waits_ms <= LAST_SUCCESSOR_MS {
            holder.observe_once().await;
        }
        let at_once = loads_at_once(&gateway, &loading, &outdated, waits_ms);
        let is_idle = loading.count() == 0;
        // A node that stops gives no first order: it would lose the lease in between.
        if is_idle && (at_once == 0 || gateway.is_stopping()) {
            within(BUSY_PERIOD_MS, named).await;
            continue;
        }
        let next = next_loads(&gateway, &loading, &outdated, at_once);
        if holder.keep().await {
            begin_loads(&gateway, &holder, &loading, next);
        }
        sleep(BUSY_PERIOD_MS).await;
    }
}

/// Engines with outdated weights that are not being loaded.
fn waiting_engines(gateway: &Gateway, loading: &Loading) -> Vec<OutdatedEngine> {
    let outdated = outdated_engines(gateway, gateway.clock.now());
    let waiting = outdated.into_iter();
    waiting
        .filter(|engine| !loading.has(&engine.instance))
        .collect()
}

/// Engines that should load at the same time now; 0 while there is time. Nodes
/// that did not hold the lease last wait a little longer.
fn loads_at_once(
    gateway: &Gateway,
    loading: &Loading,
    outdated: &[OutdatedEngine],
    waits_ms: u64,
) -> usize {
    let settings = &gateway.settings().weights;
    let finish_ms = settings.finish_ms + waits_ms;
    let deadlines: Vec<Millis> = outdated
        .iter()
        .map(|engine| engine.named_at.plus(finish_ms))
        .collect();
    let load_ms = loading.load_ms(settings.load_ms);
    let all = (outdated.len() + loading.count()) as u64;
    let enough_for_all = (all * load_ms).div_ceil(settings.finish_ms.max(1));
    let pace = LoadPace {
        load_ms,
        at_once: settings.loads_at_once,
        at_once_limit: settings.loads_at_once.max(enough_for_all as usize),
    };
    loads_now(&deadlines, &pace, gateway.clock.now())
}

/// The engines that load next, as far as there is room.
fn next_loads(
    gateway: &Gateway,
    loading: &Loading,
    outdated: &[OutdatedEngine],
    at_once: usize,
) -> Vec<OutdatedEngine> {
    let usual_ms = gateway.settings().weights.load_ms;
    let busy = loading.count_busy(usual_ms, gateway.clock.now());
    let free = at_once.saturating_sub(busy);
    outdated.iter().take(free).cloned().collect()
}

fn begin_loads(
    gateway: &Arc<Gateway>,
    holder: &Arc<LeaseHolder>,
    loading: &Loading,
    engines: Vec<OutdatedEngine>,
) {
    let usual_at_once = gateway.settings().weights.loads_at_once;
    for engine in engines {
        loading.begin(&engine.instance, usual_at_once, gateway.clock.now());
        gateway.beliefs().loading = loading.instances();
        gateway.report_due.notify(usize::MAX);
        let (gateway, holder) = (Arc::clone(gateway), Arc::clone(holder));
        let loading = loading.clone();
        smol::spawn(async move {
            // Other nodes hear of it first.
            sleep(ANNOUNCED_BEFORE_MS).await;
            let instance = engine.instance.clone();
            let reported_ms = bring_up_to_date(&gateway, &holder, &loading, engine).await;
            loading.end(&instance, reported_ms);
        })
        .detach();
    }
}
