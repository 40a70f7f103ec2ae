//! Engines that this node is bringing up to date, and what their loads have shown.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::load_width::{FinishedLoad, LoadWidth};
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Age of what a report shows, in milliseconds. A load is over by so much
/// earlier than its report tells.
const REPORT_AGE_MS: u64 = 200;
/// Weight of the newest load in the expected time of a load.
const NEWEST_LOAD_WEIGHT: f64 = 0.2;

/// Engines that are being brought up to date by this node.
#[derive(Clone, Default)]
pub(super) struct Loading {
    state: Arc<Mutex<LoadingState>>,
}

#[derive(Default)]
struct LoadingState {
    loads: HashMap<InstanceId, ActiveLoad>,
    load_ms: Option<f64>,
    width: LoadWidth,
}

/// One engine that is being brought up to date.
struct ActiveLoad {
    began_at: Millis,
    /// Engines that were allowed to load at the same time when it began.
    allowed: usize,
    /// Most engines that loaded at the same time since.
    peak: usize,
    /// Whether it was seen to load for longer than expected.
    is_late: bool,
}

impl Loading {
    pub(super) fn count(&self) -> usize {
        self.with_state(|state| state.loads.len())
    }

    /// Engines whose load is not expected to be over yet, or was seen not to be.
    pub(super) fn count_busy(&self, configured_ms: u64, now: Millis) -> usize {
        let load_ms = self.load_ms(configured_ms);
        let is_busy = |load: &&ActiveLoad| load.is_late || now.since(load.began_at) < load_ms;
        self.with_state(|state| state.loads.values().filter(is_busy).count())
    }

    /// A report shows that the engine is still loading.
    pub(super) fn note_busy(&self, instance: &InstanceId, configured_ms: u64, now: Millis) {
        let load_ms = self.load_ms(configured_ms);
        self.with_state(|state| {
            if let Some(load) = state.loads.get_mut(instance) {
                load.is_late = now.since(load.began_at) >= load_ms;
            }
        });
    }

    /// Time that a load is expected to take, in milliseconds.
    pub(super) fn load_ms(&self, configured_ms: u64) -> u64 {
        self.with_state(|state| state.load_ms.map_or(configured_ms, |known| known as u64))
    }

    /// Engines that may load at once, as loads have shown, between what is needed and
    /// what can be spared.
    pub(super) fn width(&self, least: usize, most: usize) -> usize {
        self.with_state(|state| state.width.width(least, most))
    }

    /// Engines that must load at once so that so many have loaded within `finish_ms`.
    pub(super) fn needed_width(&self, engines: usize, assumed_ms: u64, finish_ms: u64) -> usize {
        self.with_state(|state| state.width.required_width(engines, assumed_ms, finish_ms))
    }

    pub(super) fn instances(&self) -> Vec<InstanceId> {
        let mut instances: Vec<InstanceId> =
            self.with_state(|state| state.loads.keys().cloned().collect());
        instances.sort();
        instances
    }

    pub(super) fn contains(&self, instance: &InstanceId) -> bool {
        self.with_state(|state| state.loads.contains_key(instance))
    }

    pub(super) fn begin(&self, instance: &InstanceId, allowed: usize, now: Millis) {
        self.with_state(|state| {
            let load = ActiveLoad {
                began_at: now,
                allowed,
                peak: 0,
                is_late: false,
            };
            state.loads.insert(instance.clone(), load);
            let active = state.loads.len();
            for load in state.loads.values_mut() {
                load.peak = load.peak.max(active);
            }
        });
    }

    /// The engine is done with; `reported_ms` is the time from its order to the
    /// report that showed the load.
    pub(super) fn end(&self, instance: &InstanceId, reported_ms: Option<u64>) {
        self.with_state(|state| {
            let load = state.loads.remove(instance);
            let (Some(load), Some(reported_ms)) = (load, reported_ms) else {
                return;
            };
            let took_ms = reported_ms.saturating_sub(REPORT_AGE_MS) as f64;
            let known = state.load_ms.unwrap_or(took_ms);
            state.load_ms = Some(known + NEWEST_LOAD_WEIGHT * (took_ms - known));
            let finished = FinishedLoad {
                took_ms,
                peak: load.peak,
            };
            state.width.observe(finished, load.allowed);
        });
    }

    fn with_state<T>(&self, work: impl FnOnce(&mut LoadingState) -> T) -> T {
        let state = self.state.lock();
        work(&mut state.unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}
