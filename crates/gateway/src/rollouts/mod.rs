//! Rollouts of engines' software: what this node believes of them, and its part in
//! them.
//!
//! An order in the object store moves a service to engines of another version. The
//! crate `ploverlift-rollout` decides; here its decisions are stored, reported,
//! enforced and logged ([design](../../../../docs/design/rollouts.md)).
//!
//! | module | concern |
//! | --- | --- |
//! | [`orders`] | the orders that are known, and up to which revision of the store |
//! | [`service`] | one service's gate, counts and confirmations |
//! | [`choice`] | which versions may serve a request |
//! | [`feed`] | orders as they are stored |
//! | [`held_back_versions`] | what must get nothing, whatever the gate says |
//! | [`gates`] | the passing time of gates |
//! | [`seat`] | this node, as the fleet counts it |
//! | [`running`] | requests at engines by version |
//! | [`exchange`] | what reports between nodes tell of rollouts |
//! | [`decider`] | the holder of the lease on rollouts |
//! | [`log_lines`] | log lines |

pub mod choice;
pub mod decider;
pub mod exchange;
pub mod feed;
pub mod gates;
pub mod held_back_versions;
pub mod log_lines;
pub mod orders;
pub mod running;
pub mod seat;
pub mod service;

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

/// What this node believes of the rollouts.
#[derive(Debug, Default)]
pub struct RolloutBeliefs {
    /// Orders.
    pub orders: KnownOrders,
    /// Requests at engines by version.
    pub running: RunningRequests,
    ledgers: BTreeMap<ServiceName, VersionLedger>,
    services: BTreeMap<ServiceName, ServiceRollout>,
    own_reports: exchange::OwnReports,
    has_begun: bool,
}

/// An attempt at an engine of a service with an open rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Whose engine.
    pub side: Side,
    /// The rollout's stage.
    pub stage: Stage,
    /// The stage by its epoch.
    pub epoch: Epoch,
}

/// This node sends a target nothing by what it saw alone.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnEvidenceStop {
    /// The service.
    pub service: ServiceName,
    /// The target.
    pub target: SoftwareVersion,
    /// What it saw.
    pub finding: Finding,
}

/// What came of an order that was taken in.
#[derive(Debug)]
pub struct OrderUpdate {
    /// The order.
    pub order: RolloutOrder,
    /// A stage that is new here, or why the recorded one can't be read.
    pub stage: Result<Option<StageChange>, ProgressError>,
}

impl RolloutBeliefs {
    /// Takes in an order with its status; nothing when it is no news.
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

    /// An order is gone; tells whether that was news. Until another comes its target
    /// gets nothing, unless it had ended.
    pub fn remove_order(&mut self, service: &ServiceName, revision: u64, now: Millis) -> bool {
        let has_changed = self.orders.remove(service, revision, now);
        if let Some(rollout) = self.services.get_mut(service).filter(|_| has_changed) {
            rollout.withdraw();
        }
        has_changed
    }

    /// All orders up to a revision of the store are known: engines that were recorded
    /// before it can be placed.
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

    /// An engine is known by a record: where it can be placed, its version counts as
    /// serving from then on.
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

    /// The versions of all services that this node has placed.
    pub fn placed_versions(&self) -> impl Iterator<Item = (&ServiceName, &SoftwareVersion)> {
        let ledgers = self.ledgers.iter();
        ledgers.flat_map(|(service, ledger)| {
            let serving = ledger.serving();
            serving.map(move |version| (service, version))
        })
    }

    /// A relay, which knows more orders, has placed a version.
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

    /// A service's rollout is complete: its other engines stop at once. Tells which,
    /// and since which revision.
    pub fn retire(
        &mut self,
        service: &ServiceName,
        records: &[EngineRecord],
    ) -> Vec<(InstanceId, u64)> {
        let rollout = self.services.get_mut(service);
        rollout.map_or_else(Vec::new, |rollout| rollout.retire(records))
    }

    /// An engine is gone. A version of which none is left may come back by an order.
    pub fn note_engine_gone(&mut self, record: &EngineRecord, engines: &EngineCatalogue) {
        let mut others = engines.of_service(&record.service);
        if others.any(|engine| engine.record.software == record.software) {
            return;
        }
        if let Some(ledger) = self.ledgers.get_mut(&record.service) {
            ledger.forget(&record.software);
        }
    }

    /// Whether some engine can't be placed: orders must be read.
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

    /// Tells the gates of open rollouts of the passing time; tells of those that have
    /// stopped since.
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

    /// Whether this node knew all orders, and the stage of each, once in this life.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Whether the stages of all open rollouts have been proven since this node knew
    /// them.
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

    /// All rollouts.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRollout> {
        self.services.values()
    }

    /// One service's rollout.
    pub fn of_service(&self, service: &ServiceName) -> Option<&ServiceRollout> {
        self.services.get(service)
    }

    /// Counts a request that was first given an engine.
    pub fn note_request(&mut self, service: &ServiceName, route: &Route) {
        let rollout = self.services.get_mut(service);
        if let Some(gate) = rollout.and_then(ServiceRollout::gate_mut) {
            gate.note_request(RouteTag::of(&route.name), route.delivery.is_repeatable());
        }
    }

    /// Counts an attempt that was given to an engine; tells what it is in an open
    /// rollout.
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

    /// Takes in how an attempt went.
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

/// What an engine is in that says nothing of its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineCondition {
    /// Nothing.
    Steady,
    /// It is slow because it has just started.
    Cold,
    /// It loads weights, or is gone.
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

/// What an attempt says of its engine's version. Repeats say nothing: they go to
/// established engines, and a request that fails by itself fails again. Refusals and engines without a
/// connection say nothing; the times of a cold engine don't, and that one was given up
/// may have been for them.
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

/// Bounds of rollouts as the settings give them.
pub fn rollout_settings(settings: &GatewaySettings) -> RolloutSettings {
    RolloutSettings {
        canary_share: settings.bounds.canary_share,
        canary_slack: settings.bounds.canary_slack,
        roll_back_ms: settings.bounds.roll_back_ms,
        silence_bound_ms: settings.bounds.key_revocation_ms,
        strategy: Strategy::default(),
    }
}
