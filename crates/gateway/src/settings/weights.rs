//! Settings for the loading of new weights.

use super::checks::{one_or_more, share, InvalidValue};
use serde::{Deserialize, Serialize};

/// `[weights]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightSettings {
    /// Number of engines that load at the same time. It is raised when otherwise not all
    /// engines could load within `finish_ms`.
    pub loads_at_once: usize,
    /// Assumed duration of a load until one is measured, in milliseconds.
    pub load_ms: u64,
    /// Longest time from the naming of a version until all engines have loaded it, in
    /// milliseconds. They finish sooner if measured loads show that more engines can load at
    /// once without slowing each other down.
    pub finish_ms: u64,
    /// Largest share of the engines that load at the same time, unless `finish_ms` requires
    /// more; 0.0 to 1.0.
    pub loads_share: f64,
    /// Time before the bound at which engines with older weights are no longer chosen, in
    /// milliseconds, as a request may wait in an engine's queue.
    pub margin_ms: u64,
    /// Longest wait for an engine's answer to an order, in milliseconds.
    pub order_timeout_ms: u64,
    /// Time between an order and the first report after it, in milliseconds.
    pub report_after_ms: u64,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            loads_at_once: 2,
            load_ms: 650,
            finish_ms: 4_000,
            loads_share: 0.3,
            margin_ms: 2_000,
            order_timeout_ms: 500,
            report_after_ms: 350,
        }
    }
}

impl WeightSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        one_or_more("weights.loads_at_once", self.loads_at_once as u64)?;
        share("weights.loads_share", self.loads_share)
    }
}
