//! Engines that this node is updating, and estimates from their finished loads.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::load_width::{FinishedLoad, LoadWidth};
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Age of the state in a report, in milliseconds. A load ends earlier than its report shows
/// by this time.
const REPORT_AGE_MS: u64 = 200;
/// Weight of the newest load in the expected duration of a load.
const NEWEST_LOAD_WEIGHT: f64 = 0.2;

/// Engines that this node is updating.
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

/// The load of one engine.
struct ActiveLoad {
    began_at: Millis,
    /// Maximum number of concurrent loads when this one began.
    allowed: usize,
    /// Highest number of concurrent loads since.
    peak: usize,
    /// Whether a report showed that it takes longer than expected.
    is_late: bool,
}

impl Loading {
    pub(super) fn count(&self) -> usize {
        self.with_state(|state| state.loads.len())
    }

    /// Number of engines whose load is expected, or was observed, to be still running.
    pub(super) fn count_busy(&self, configured_ms: u64, now: Millis) -> usize {
        let load_ms = self.load_ms(configured_ms);
        let is_busy = |load: &&ActiveLoad| load.is_late || now.since(load.began_at) < load_ms;
        self.with_state(|state| state.loads.values().filter(is_busy).count())
    }

    /// Records a report that the engine is still loading.
    pub(super) fn note_busy(&self, instance: &InstanceId, configured_ms: u64, now: Millis) {
        let load_ms = self.load_ms(configured_ms);
        self.with_state(|state| {
            if let Some(load) = state.loads.get_mut(instance) {
                load.is_late = now.since(load.began_at) >= load_ms;
            }
        });
    }

    /// Expected duration of a load, in milliseconds.
    pub(super) fn load_ms(&self, configured_ms: u64) -> u64 {
        self.with_state(|state| state.load_ms.map_or(configured_ms, |known| known as u64))
    }

    /// Number of engines that may load at once, estimated from finished loads, between
    /// `least` (needed) and `most` (spare).
    pub(super) fn width(&self, least: usize, most: usize) -> usize {
        self.with_state(|state| state.width.width(least, most))
    }

    /// Number of engines that must load at once so that `engines` have loaded within
    /// `finish_ms`.
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

    /// Records the end of an engine's load; `reported_ms` is the time from its order to the
    /// report that showed the finished load.
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
