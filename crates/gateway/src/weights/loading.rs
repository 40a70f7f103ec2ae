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
    loads: HashMap<InstanceId, PresentLoad>,
    load_ms: Option<f64>,
    width: LoadWidth,
}

/// One engine that is being brought up to date.
struct PresentLoad {
    begun: Millis,
    /// Engines that were allowed to load at the same time when it began.
    at_once: usize,
    /// Most engines that loaded at the same time since.
    peak: usize,
    /// Whether it was seen to load for longer than expected.
    is_late: bool,
}

impl Loading {
    pub(super) fn count(&self) -> usize {
        self.with(|state| state.loads.len())
    }

    /// Engines whose load is not expected to be over yet, or was seen not to be.
    pub(super) fn count_busy(&self, usual_ms: u64, now: Millis) -> usize {
        let load_ms = self.load_ms(usual_ms);
        let is_busy = |load: &&PresentLoad| load.is_late || now.since(load.begun) < load_ms;
        self.with(|state| state.loads.values().filter(is_busy).count())
    }

    /// A report shows that the engine is still loading.
    pub(super) fn note_busy(&self, instance: &InstanceId, usual_ms: u64, now: Millis) {
        let load_ms = self.load_ms(usual_ms);
        self.with(|state| {
            if let Some(load) = state.loads.get_mut(instance) {
                load.is_late = now.since(load.begun) >= load_ms;
            }
        });
    }

    /// Time that a load is expected to take, in milliseconds.
    pub(super) fn load_ms(&self, usual_ms: u64) -> u64 {
        self.with(|state| state.load_ms.map_or(usual_ms, |known| known as u64))
    }

    /// Engines that may load at once, as loads have shown, between what is needed and
    /// what can be spared.
    pub(super) fn width(&self, least: usize, most: usize) -> usize {
        self.with(|state| state.width.width(least, most))
    }

    /// Engines that must load at once so that so many have loaded within `finish_ms`.
    pub(super) fn needed(&self, engines: usize, assumed_ms: u64, finish_ms: u64) -> usize {
        self.with(|state| state.width.required_width(engines, assumed_ms, finish_ms))
    }

    pub(super) fn instances(&self) -> Vec<InstanceId> {
        let mut instances: Vec<InstanceId> =
            self.with(|state| state.loads.keys().cloned().collect());
        instances.sort();
        instances
    }

    pub(super) fn has(&self, instance: &InstanceId) -> bool {
        self.with(|state| state.loads.contains_key(instance))
    }

    pub(super) fn begin(&self, instance: &InstanceId, at_once: usize, now: Millis) {
        self.with(|state| {
            let load = PresentLoad {
                begun: now,
                at_once,
                peak: 0,
                is_late: false,
            };
            state.loads.insert(instance.clone(), load);
            let present = state.loads.len();
            for load in state.loads.values_mut() {
                load.peak = load.peak.max(present);
            }
        });
    }

    /// The engine is done with; `reported_ms` is the time from its order to the
    /// report that showed the load.
    pub(super) fn end(&self, instance: &InstanceId, reported_ms: Option<u64>) {
        self.with(|state| {
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
            state.width.observe(finished, load.at_once);
        });
    }

    fn with<T>(&self, work: impl FnOnce(&mut LoadingState) -> T) -> T {
        let state = self.state.lock();
        work(&mut state.unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}
