//! What a node needs before it accepts callers, and for how long it has lacked it.
//!
//! A node that is never ready looks the same from outside whatever it waits for. So each
//! requirement has a gauge with the age of its lack, and a log line when it is met, when it is
//! lacking again, and from time to time while it is lacking.

use crate::metrics::RequirementLabel;
use crate::peers::engine_signals::knows_signals;
use crate::state::Gateway;
use crate::time::within;
use ploverlift_policy::ids::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum time between two checks, in milliseconds.
const CHECK_PERIOD_MS: u64 = 250;
/// Time after which a requirement that is still lacking is logged again, in milliseconds.
const LOG_PERIOD_MS: u64 = 2_000;

/// Something that a node needs before it accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requirement {
    /// The configuration, from the store or a relay.
    Configuration,
    /// A list of the engines, from the store or a relay; if the store's can't be read to its end
    /// for some time, the part that can.
    Engines,
    /// A proof of which weights are the newest.
    NewestWeights,
    /// The rollout orders, and the current stage of a rollout that was running.
    RolloutOrders,
    /// The list of refused requests.
    RefusedRequests,
    /// The signals of engines that other nodes know.
    EngineSignals,
    /// A configuration that is recent enough to accept callers' keys by it.
    RecentKeys,
}

impl Requirement {
    /// All requirements.
    pub const ALL: [Self; 7] = [
        Self::Configuration,
        Self::Engines,
        Self::NewestWeights,
        Self::RolloutOrders,
        Self::RefusedRequests,
        Self::EngineSignals,
        Self::RecentKeys,
    ];

    /// Whether this node has it.
    pub fn is_met(self, gateway: &Gateway) -> bool {
        match self {
            Self::Configuration => gateway.beliefs().configuration.is_some(),
            Self::Engines => {
                let has_list = gateway.beliefs().has_listed_engines;
                has_list || incomplete_engines(gateway).is_some()
            }
            Self::NewestWeights => gateway.beliefs().weights.is_proven(),
            Self::RolloutOrders => gateway.beliefs().rollouts.has_begun(),
            Self::RefusedRequests => gateway.beliefs().quarantine.is_stored_list_known(),
            Self::EngineSignals => knows_signals(gateway),
            Self::RecentKeys => gateway.accepts_keys(),
        }
    }

    /// Its name in logs, metrics and answers to probes.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Engines => "engines",
            Self::NewestWeights => "newest_weights",
            Self::RolloutOrders => "rollout_orders",
            Self::RefusedRequests => "refused_requests",
            Self::EngineSignals => "engine_signals",
            Self::RecentKeys => "recent_keys",
        }
    }
}

/// Number of engines that this node knows, if it uses them without a complete list because lists
/// have ended early for long.
pub(crate) fn incomplete_engines(gateway: &Gateway) -> Option<usize> {
    let now = gateway.clock.now();
    let beliefs = gateway.beliefs();
    let known = beliefs.engines.len();
    (known > 0 && beliefs.uses_incomplete_engines(now)).then_some(known)
}

/// The requirements that this node lacks.
pub fn lacking(gateway: &Gateway) -> Vec<Requirement> {
    let all = Requirement::ALL.into_iter();
    all.filter(|requirement| !requirement.is_met(gateway))
        .collect()
}

/// A change of what is lacking, for one log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LackChange {
    /// The requirement is lacking from now on.
    Began(Requirement),
    /// It is still lacking, after this many milliseconds.
    Lasts(Requirement, u64),
    /// It was lacking for this many milliseconds, and is met.
    Ended(Requirement, u64),
}

/// Since when requirements have been lacking.
#[derive(Clone, Debug, Default)]
pub struct Lacks {
    by_requirement: BTreeMap<Requirement, Lack>,
}

#[derive(Clone, Copy, Debug)]
struct Lack {
    since: Millis,
    logged_at: Millis,
}

impl Lacks {
    /// Updates what is lacking; returns the changes to log.
    pub fn update(&mut self, lacking: &[Requirement], now: Millis) -> Vec<LackChange> {
        let mut changes = Vec::new();
        for requirement in Requirement::ALL {
            let known = self.by_requirement.get_mut(&requirement);
            match (known, lacking.contains(&requirement)) {
                (None, false) => {}
                (None, true) => {
                    let lack = Lack {
                        since: now,
                        logged_at: now,
                    };
                    self.by_requirement.insert(requirement, lack);
                    changes.push(LackChange::Began(requirement));
                }
                (Some(lack), true) => {
                    if now.since(lack.logged_at) >= LOG_PERIOD_MS {
                        lack.logged_at = now;
                        changes.push(LackChange::Lasts(requirement, now.since(lack.since)));
                    }
                }
                (Some(lack), false) => {
                    changes.push(LackChange::Ended(requirement, now.since(lack.since)));
                    self.by_requirement.remove(&requirement);
                }
            }
        }
        changes
    }

    /// For how long a requirement has been lacking, in milliseconds; 0 if it is met.
    pub fn age_ms(&self, requirement: Requirement, now: Millis) -> u64 {
        let lack = self.by_requirement.get(&requirement);
        lack.map_or(0, |lack| now.since(lack.since))
    }
}

/// Logs what this node lacks whenever that changes, until the task is dropped.
pub async fn watch_requirements(gateway: Arc<Gateway>) {
    loop {
        let updated = gateway.site_updated.listen();
        update_lacks(&gateway);
        within(CHECK_PERIOD_MS, updated).await;
    }
}

fn update_lacks(gateway: &Gateway) {
    let now = gateway.clock.now();
    let lacking = lacking(gateway);
    let changes = gateway.lacks().update(&lacking, now);
    let left = lacking.len();
    for change in changes {
        match change {
            LackChange::Began(requirement) => {
                slog::info!(gateway.log, "requirement lacking";
                    "requirement" => requirement.name(), "lacking" => left);
            }
            LackChange::Lasts(requirement, age_ms) => {
                slog::warn!(gateway.log, "requirement still lacking";
                    "requirement" => requirement.name(), "age_ms" => age_ms, "lacking" => left);
            }
            LackChange::Ended(requirement, age_ms) => {
                slog::info!(gateway.log, "requirement met";
                    "requirement" => requirement.name(), "age_ms" => age_ms, "lacking" => left,
                    "since_start_ms" => now.since(gateway.started_at));
            }
        }
    }
}

/// Sets the gauges of lacking requirements, before the metrics are read.
pub(crate) fn publish_requirements(gateway: &Gateway) {
    let now = gateway.clock.now();
    update_lacks(gateway);
    let lacks = gateway.lacks();
    for requirement in Requirement::ALL {
        let label = RequirementLabel {
            requirement: requirement.name(),
        };
        let seconds = lacks.age_ms(requirement, now) as f64 / 1_000.0;
        let gauge = gateway.metrics.lacking_seconds.get_or_create(&label);
        gauge.set(seconds);
    }
}
