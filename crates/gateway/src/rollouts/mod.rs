//! Rollouts of engine software: this node's view of them, and its part in them.
//!
//! An order in the object store moves a service to engines of another version. The
//! crate `ploverlift-rollout` makes the decisions; this module stores, reports, enforces
//! and logs them ([design](../../../../docs/design/rollouts.md)).
//!
//! | module | concern |
//! | --- | --- |
//! | [`orders`] | the known orders, and the store revision up to which they are complete |
//! | [`service`] | gate, counts and confirmations of one service |
//! | [`choice`] | which versions may serve a request |
//! | [`feed`] | reads and watches the stored orders |
//! | [`held_back_versions`] | engines and versions that receive no requests, whatever the gate decides |
//! | [`gates`] | advances the gates periodically |
//! | [`seat`] | identity of this node and its seat in the fleet |
//! | [`running`] | running requests by engine version |
//! | [`exchange`] | rollout contents of reports between nodes |
//! | [`decider`] | decides on rollouts while this node holds the rollout lease |
//! | [`stage_log`] | log lines about orders and stages |

pub mod choice;
pub mod decider;
pub mod exchange;
pub mod feed;
pub mod gates;
pub mod held_back_versions;
pub mod orders;
pub mod running;
pub mod seat;
pub mod service;
pub mod stage_log;

use crate::outcomes::ObservedAttempt;
use crate::settings::GatewaySettings;
use orders::KnownOrders;
use ploverlift_balancing::catalogue::{Engine, EngineCatalogue, EngineRecord, InstanceId};
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::counts::{Answer, RouteTag, Side};
use ploverlift_rollout::evidence::Finding;
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_rollout::placement::VersionLedger;
use ploverlift_rollout::settings::{RolloutSettings, Strategy};
use ploverlift_rollout::stage::{Epoch, ProgressError, Stage};
use ploverlift_routing::configuration::{Route, ServiceName};
use ploverlift_routing::software::SoftwareVersion;
use running::RunningRequests;
use seat::OwnSeat;
use service::{ServiceRollout, StageChange};
use std::collections::BTreeMap;

/// This node's view of all rollouts.
#[derive(Debug, Default)]
pub struct RolloutBeliefs {
    /// The known orders.
    pub orders: KnownOrders,
    /// Running requests by engine version.
    pub running: RunningRequests,
    ledgers: BTreeMap<ServiceName, VersionLedger>,
    services: BTreeMap<ServiceName, ServiceRollout>,
    own_reports: exchange::OwnReports,
    has_begun: bool,
}

/// An attempt at an engine of a service with an open rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Whether the engine has the target version or an established one.
    pub side: Side,
    /// Stage of the rollout at the attempt.
    pub stage: Stage,
    /// Epoch of that stage.
    pub epoch: Epoch,
}

/// This node stopped sending requests to a target on the evidence of its own counts alone.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnEvidenceStop {
    /// The service.
    pub service: ServiceName,
    /// The target version.
    pub target: SoftwareVersion,
    /// The evidence against the target.
    pub finding: Finding,
}

/// Result of applying an order.
#[derive(Debug)]
pub struct OrderUpdate {
    /// The order.
    pub order: RolloutOrder,
    /// The stage if it is new to this node, or why the recorded one can't be read.
    pub stage: Result<Option<StageChange>, ProgressError>,
}

impl RolloutBeliefs {
    /// Applies an order with its status. Returns `None` unless its revision is newer than
    /// the known one.
    pub fn apply_order(
        &mut self,
        order: RolloutOrder,
        settings: RolloutSettings,
        now: Millis,
    ) -> Option<OrderUpdate> {
        if !self.orders.insert_newer(order.clone(), now) {
            return None;
        }
        let first_known = self.orders.first_known();
        let new = || ServiceRollout::new(order.clone(), now);
        let rollout = self.services.entry(order.service.clone());
        let rollout = rollout.or_insert_with(new);
        let stage = rollout.apply_order(order.clone(), settings, first_known, now);
        Some(OrderUpdate { order, stage })
    }

    /// Removes an order that was deleted at `revision`; returns whether it was known.
    /// Unless its rollout had ended, the target receives no requests until another order
    /// comes.
    pub fn remove_order(&mut self, service: &ServiceName, revision: u64, now: Millis) -> bool {
        let has_changed = self.orders.remove(service, revision, now);
        if let Some(rollout) = self.services.get_mut(service).filter(|_| has_changed) {
            rollout.withdraw();
        }
        has_changed
    }

    /// Records that all orders up to a store revision are known, so engines recorded before
    /// it can be placed.
    pub fn note_orders_known(
        &mut self,
        revision: u64,
        proven_at: Option<Millis>,
        engines: &EngineCatalogue,
        now: Millis,
    ) {
        let has_changed = self.orders.known_through() < Some(revision);
        self.orders.advance(revision, proven_at, now);
        self.has_begun |= self.are_stages_proven();
        if !has_changed {
            return;
        }
        let revision = self.orders.known_through().unwrap_or(0);
        for ledger in self.ledgers.values_mut() {
            ledger.note_orders_known_up_to(revision);
        }
        for engine in engines.iter() {
            self.note_engine(&engine.record);
        }
    }

    /// Adds the record of an engine. If it can be placed, its version counts as serving from
    /// then on.
    pub fn note_engine(&mut self, record: &EngineRecord) {
        let service = &record.service;
        if !self.ledgers.contains_key(service) {
            let mut ledger = VersionLedger::default();
            let known_through = self.orders.known_through();
            ledger.note_orders_known_up_to(known_through.unwrap_or(0));
            self.ledgers.insert(service.clone(), ledger);
        }
        if let Some(ledger) = self.ledgers.get_mut(service) {
            ledger.note_engine(&record.software, record.revision);
        }
    }

    /// The versions that this node has placed, with their services.
    pub fn placed_versions(&self) -> impl Iterator<Item = (&ServiceName, &SoftwareVersion)> {
        let ledgers = self.ledgers.iter();
        ledgers.flat_map(|(service, ledger)| {
            let serving = ledger.serving();
            serving.map(move |version| (service, version))
        })
    }

    /// Adds a version that was placed by a relay, which may know more orders.
    pub fn note_placed(&mut self, service: &ServiceName, version: &SoftwareVersion) {
        if let Some(ledger) = self.ledgers.get_mut(service) {
            ledger.note_serving(version);
        }
    }

    /// Whether an engine was stopped because a rollout of its service is complete.
    pub fn is_retired(&self, record: &EngineRecord) -> bool {
        let rollout = self.services.get(&record.service);
        rollout.is_some_and(|rollout| rollout.is_retired(record))
    }

    /// Retires the engines of other versions after the rollout of a service is complete;
    /// they receive no requests from then on. Returns them, each with the revision of the
    /// completion.
    pub fn retire(
        &mut self,
        service: &ServiceName,
        records: &[EngineRecord],
    ) -> Vec<(InstanceId, u64)> {
        let rollout = self.services.get_mut(service);
        rollout.map_or_else(Vec::new, |rollout| rollout.retire(records))
    }

    /// Removes an engine. A version without engines is no longer placed, so it can return
    /// as the target of an order.
    pub fn note_engine_gone(&mut self, record: &EngineRecord, engines: &EngineCatalogue) {
        let mut others = engines.of_service(&record.service);
        if others.any(|engine| engine.record.software == record.software) {
            return;
        }
        if let Some(ledger) = self.ledgers.get_mut(&record.service) {
            ledger.forget(&record.software);
        }
    }

    /// Whether the version of an engine can't be placed until more orders are read. False
    /// while an order is unreadable, as reading again would not help.
    pub fn lacks_orders(&self, engines: &EngineCatalogue) -> bool {
        if self.orders.is_any_unreadable() {
            return false;
        }
        let mut engines = engines.iter();
        engines.any(|engine| {
            let record = &engine.record;
            let ledger = self.ledgers.get(&record.service);
            !ledger.is_some_and(|ledger| ledger.is_placed(&record.software, record.revision))
                && self.orders.known_through() < Some(record.revision)
        })
    }

    /// Advances the gates of open rollouts to the present time; returns those that have
    /// newly stopped on this node's own evidence.
    pub fn advance(&mut self, own: &OwnSeat, now: Millis) -> Vec<OwnEvidenceStop> {
        let stage_proven_at = self.orders.proven_at().unwrap_or(Millis(0));
        let open = self.services.values_mut();
        let open = open.filter(|rollout| rollout.is_open());
        let stopped = open.filter_map(|rollout| {
            let finding = rollout.advance(own, stage_proven_at, now)?;
            Some(OwnEvidenceStop {
                service: rollout.order().service.clone(),
                target: rollout.gate_target().clone(),
                finding,
            })
        });
        stopped.collect()
    }

    /// Whether this node has, at any time since it started, known all orders and a proven stage
    /// of each.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Whether the stage of each open rollout has been proven since this node learned its
    /// status.
    pub fn are_stages_proven(&self) -> bool {
        let proven_at = self.orders.proven_at();
        let mut services = self.services.values();
        services.all(|rollout| rollout.is_stage_proven(proven_at))
    }

    /// Whether any rollout is open.
    pub fn is_any_open(&self) -> bool {
        self.services.values().any(ServiceRollout::is_open)
    }

    /// Whether a service has a rollout, open or ended.
    pub fn knows_rollout_of(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// The rollouts of all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRollout> {
        self.services.values()
    }

    /// The rollout of a service.
    pub fn of_service(&self, service: &ServiceName) -> Option<&ServiceRollout> {
        self.services.get(service)
    }

    /// Counts a request at its first attempt.
    pub fn note_request(&mut self, service: &ServiceName, route: &Route) {
        let rollout = self.services.get_mut(service);
        if let Some(gate) = rollout.and_then(ServiceRollout::gate_mut) {
            gate.note_request(RouteTag::of(&route.name), route.delivery.is_repeatable());
        }
    }

    /// Counts an attempt at an engine. Returns its side and stage if the rollout of the
    /// service is open.
    pub fn note_attempt(
        &mut self,
        service: &ServiceName,
        route: &Route,
        software: &SoftwareVersion,
    ) -> Option<Arrival> {
        let rollout = self.services.get_mut(service)?;
        let is_target = rollout.gate_target() == software;
        let is_open = rollout.is_open();
        let gate = rollout.gate_mut()?;
        if is_target {
            gate.note_target_arrival(RouteTag::of(&route.name));
        }
        let progress = gate.progress();
        is_open.then_some(Arrival {
            side: match is_target {
                true => Side::Target,
                false => Side::Established,
            },
            stage: progress.stage,
            epoch: progress.epoch,
        })
    }

    /// Records the outcome of an attempt.
    pub fn observe(&mut self, attempt: &ObservedAttempt, condition: EngineCondition) {
        let Some(rollout) = self.services.get_mut(&attempt.service) else {
            return;
        };
        let side = match attempt.software == *rollout.gate_target() {
            true => Side::Target,
            false => Side::Established,
        };
        if side == Side::Established {
            rollout.note_established_ms(attempt.duration_ms);
        }
        let answer = answer_of(attempt, condition);
        if let (Some(gate), Some(answer)) = (rollout.gate_mut(), answer) {
            gate.note_answer(RouteTag::of(&attempt.route), side, &answer);
        }
    }
}

/// Condition of an engine that affects its answers independently of its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineCondition {
    /// Normal operation.
    Steady,
    /// Slow because the engine has just started.
    Cold,
    /// Loading weights, or no longer in the catalogue.
    Disturbed,
}

impl EngineCondition {
    /// The condition of an engine of the catalogue.
    pub fn of(engine: Option<&Engine>, now: Millis) -> Self {
        match engine {
            None => Self::Disturbed,
            Some(engine) if engine.is_loading(now) => Self::Disturbed,
            Some(engine) if engine.is_cold(now) => Self::Cold,
            Some(_) => Self::Steady,
        }
    }
}

/// The evidence of an attempt on the version of its engine; `None` if it has none. Repeats
/// are excluded: they go to established engines, and a request that is itself the cause of
/// its failure fails again there. Refusals and unreachable engines are no evidence either.
/// Times at a cold engine are not counted, nor is an attempt that broke there, as the
/// cause may have been its slowness.
fn answer_of(attempt: &ObservedAttempt, condition: EngineCondition) -> Option<Answer> {
    if attempt.is_repeat {
        return None;
    }
    let has_failed = match (attempt.outcome, condition) {
        (_, EngineCondition::Disturbed) => return None,
        (Outcome::Refused | Outcome::Unreachable, _) => return None,
        (Outcome::Broken, EngineCondition::Cold) => return None,
        (Outcome::Answered, _) => false,
        (Outcome::Failed | Outcome::Broken, _) => true,
    };
    let whole_ms = (!has_failed).then_some(attempt.duration_ms);
    let first_byte_ms = attempt.first_byte_ms.or(whole_ms);
    Some(Answer {
        engine: u64::from(EngineTag::of(&attempt.instance).0),
        has_failed,
        first_byte_ms: first_byte_ms.filter(|_| condition == EngineCondition::Steady),
    })
}

/// Rollout settings from the gateway's settings.
pub fn rollout_settings(settings: &GatewaySettings) -> RolloutSettings {
    RolloutSettings {
        canary_share: settings.bounds.canary_share,
        canary_slack: settings.bounds.canary_slack,
        roll_back_ms: settings.bounds.roll_back_ms,
        silence_bound_ms: settings.bounds.key_revocation_ms,
        strategy: Strategy::default(),
    }
}
