//! Available engines and known versions of a service.

use crate::decision::DeciderInput;
use crate::order::RolloutOrder;
use crate::stage::{Progress, Recorded, Stage};
use ploverlift_routing::software::SoftwareVersion;

/// Engines of the service that can serve now, by side of the rollout.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Supply {
    pub(crate) target: u32,
    pub(crate) established: u32,
}

impl Supply {
    pub(crate) fn of(input: &DeciderInput<'_>, progress: &Progress) -> Self {
        let mut supply = Self {
            target: 0,
            established: 0,
        };
        for version in input.engines {
            if version.version == input.order.target {
                supply.target += version.engines;
            } else if !progress.avoided.contains(&version.version) {
                supply.established += version.engines;
            }
        }
        supply
    }
}

/// Versions other than the target that are known now or were known before.
pub(crate) fn established_versions(
    before: &[SoftwareVersion],
    input: &DeciderInput<'_>,
) -> Vec<SoftwareVersion> {
    let known = input.engines.iter().map(|supply| &supply.version);
    let beside_target = known.filter(|version| **version != input.order.target);
    let mut established: Vec<_> = before.iter().chain(beside_target).cloned().collect();
    established.sort();
    established.dedup();
    established
}

/// Versions that earlier orders rolled out without completing them; they may not serve
/// in place of the target.
pub(crate) fn avoided_versions(recorded: &Recorded, order: &RolloutOrder) -> Vec<SoftwareVersion> {
    let Recorded::OfOlderOrder(older) = recorded else {
        return Vec::new();
    };
    let older_target = order.status.as_ref().map(|status| status.target.clone());
    let mut avoided = older.avoided.clone();
    if older.stage != Stage::Completed {
        avoided.extend(older_target);
    }
    avoided.retain(|version| *version != order.target);
    avoided.sort();
    avoided.dedup();
    avoided
}
