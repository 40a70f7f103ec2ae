//! Settings for the admission of requests to models.

use super::checks::{over_zero, share, InvalidValue};
use serde::{Deserialize, Serialize};

/// `[admission]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Queueing time at engines that is tolerated before requests are refused, as a share of
    /// the route's objective.
    pub bearable_objectives: f64,
    /// Largest share of the requests to a service that is refused for overload, 0.0 to 1.0;
    /// 0.0 refuses none.
    pub most_refused: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            bearable_objectives: 0.4,
            most_refused: 0.85,
        }
    }
}

impl AdmissionSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        share("admission.most_refused", self.most_refused)?;
        over_zero("admission.bearable_objectives", self.bearable_objectives)
    }
}
