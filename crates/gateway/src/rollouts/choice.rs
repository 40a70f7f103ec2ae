//! Chooses the software versions that may serve a request: those that the gate of the
//! rollout allows, without the versions that are held back whatever the gate decides.

use super::service::ServiceRollout;
use super::RolloutBeliefs;
use ploverlift_balancing::catalogue::{Engine, EngineCatalogue, InstanceId};
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::canary_choice::{canary_engines, canary_subset};
use ploverlift_rollout::counts::RouteTag;
use ploverlift_rollout::placement::VersionLedger;
use ploverlift_rollout::share::{CanaryRequest, FleetView, Gate, GateDecision, GateReason};
use ploverlift_rollout::stage::Stage;
use ploverlift_routing::configuration::{Route, ServiceName};
use ploverlift_routing::prompt::ChainKey;
use ploverlift_routing::software::{SoftwareRule, SoftwareVersion};

pub use super::seat::OwnSeat;

/// The properties of a request that the choice of a software version depends on.
#[derive(Clone, Copy, Debug)]
pub struct VersionedRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The route.
    pub route: &'a Route,
    /// Key of the shared prefix of its prompt.
    pub prompt: Option<ChainKey>,
    /// Engines that have already been tried.
    pub tried: &'a [InstanceId],
    /// Whether it was already sent to an engine.
    pub is_sent_before: bool,
}

/// The engines that may serve a request, selected by software version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoftwareChoice {
    /// Versions that may serve the request.
    pub rule: SoftwareRule,
    /// Versions that may serve the request if no engine can be chosen by `rule`.
    pub fallback: Option<SoftwareRule>,
    /// Engines of the target version that are not used for the canary.
    pub outside_canary: Vec<InstanceId>,
    /// Reason of the gate's decision; `None` without a gate.
    pub reason: Option<GateReason>,
}

impl SoftwareChoice {
    /// The same choice for a request that only engines of this version may serve; `None` if
    /// they may not.
    pub fn restricted_to(self, version: &SoftwareVersion) -> Option<Self> {
        let only = || SoftwareRule::Only(version.clone());
        if self.rule.allows(version) {
            return Some(Self {
                rule: only(),
                fallback: None,
                ..self
            });
        }
        let fallback = self.fallback?;
        fallback.allows(version).then(|| Self {
            rule: only(),
            fallback: None,
            outside_canary: Vec::new(),
            reason: self.reason,
        })
    }
}

impl SoftwareChoice {
    /// The same choice without these versions; `None` if no version is left.
    pub fn excluding(self, versions: &[SoftwareVersion]) -> Option<Self> {
        let fallback = self.fallback.and_then(|rule| rule.excluding(versions));
        match (self.rule.excluding(versions), fallback) {
            (Some(rule), fallback) => Some(Self {
                rule,
                fallback,
                outside_canary: self.outside_canary,
                reason: self.reason,
            }),
            (None, Some(rule)) => Some(Self {
                rule,
                fallback: None,
                outside_canary: Vec::new(),
                reason: self.reason,
            }),
            (None, None) => None,
        }
    }
}

impl RolloutBeliefs {
    /// The versions that may serve a request; `None` if no version may at present. `own` is
    /// `None` if the service had no rollout when the caller looked it up just before.
    pub fn software_choice(
        &self,
        request: &VersionedRequest<'_>,
        engines: &EngineCatalogue,
        own: Option<&OwnSeat>,
        now: Millis,
    ) -> Option<SoftwareChoice> {
        let unplaced = self.unplaced(request.service, engines);
        let Some(rollout) = self.services.get(request.service) else {
            return Some(SoftwareChoice {
                rule: SoftwareRule::Any.excluding(&unplaced)?,
                ..SoftwareChoice::default()
            });
        };
        let records = engines.of_service(request.service);
        let records = records.map(|engine| (&engine.record.software, engine.record.revision));
        let records: Vec<(&SoftwareVersion, u64)> = records.collect();
        let mut held_back = rollout.held_back(&records);
        held_back.extend(unplaced);
        let decided = own.and_then(|own| self.decision(rollout, request, engines, own, now));
        let Some(decision) = decided else {
            let rule = match rollout.stage().is_some_and(|stage| !stage.is_terminal()) {
                true => SoftwareRule::Except(rollout.gate_target().clone()),
                false => SoftwareRule::Any,
            };
            return Some(SoftwareChoice {
                rule: rule.excluding(&held_back)?,
                ..SoftwareChoice::default()
            });
        };
        let target = rollout.gate_target();
        let is_canary = decision.reason == GateReason::Canary;
        let rule = match rollout.stage() {
            // Established versions are held back by the revisions of their records, so
            // that a version recorded later can serve without an order.
            Some(Stage::Completed) => SoftwareRule::Any,
            _ => decision.rule?,
        };
        let established = || SoftwareRule::Except(target.clone()).excluding(&held_back);
        // A repeated order supersedes the stage of the former one. While its target is held
        // back, the established versions serve.
        Some(SoftwareChoice {
            rule: rule.excluding(&held_back).or_else(established)?,
            fallback: is_canary.then(established).flatten(),
            outside_canary: match is_canary {
                true => engines_outside_canary(rollout, request.service, engines),
                false => Vec::new(),
            },
            reason: Some(decision.reason),
        })
    }

    fn decision(
        &self,
        rollout: &ServiceRollout,
        request: &VersionedRequest<'_>,
        engines: &EngineCatalogue,
        own: &OwnSeat,
        now: Millis,
    ) -> Option<GateDecision> {
        // A withdrawn rollout has no stage; its target is held back.
        rollout.stage()?;
        let known = rollout.known_sums(own.node, own.life, now);
        let view = FleetView {
            sums: known.sums,
            own_in_sums: known.own,
            stage_verified_at: self.orders.proven_at().unwrap_or(Millis(0)),
            seat: own.seat,
        };
        let target = rollout.gate_target();
        let canary_request = CanaryRequest {
            route: RouteTag::of(&request.route.name),
            is_repeatable: request.route.delivery.is_repeatable(),
            prompt: request.prompt,
            was_failed_by_target: has_tried_target(request, target, engines),
            is_retry: request.is_sent_before || !request.tried.is_empty(),
        };
        Some(rollout.gate()?.decide(&canary_request, &view, now))
    }

    /// Versions of a service's engines that can't be placed yet. If the node knows the orders
    /// but has placed no version of the service since it started, the version recorded first
    /// is left out, as otherwise all requests of the service would be refused.
    pub fn unplaced(
        &self,
        service: &ServiceName,
        engines: &EngineCatalogue,
    ) -> Vec<SoftwareVersion> {
        let ledger = self.ledgers.get(service);
        let is_placed = |engine: &&Engine| {
            let (version, revision) = (&engine.record.software, engine.record.revision);
            ledger.is_some_and(|ledger| ledger.is_placed(version, revision))
        };
        // Called for each choice; usually all engines are placed.
        if engines.of_service(service).all(|engine| is_placed(&engine)) {
            return Vec::new();
        }
        let (placed, unplaced): (Vec<&Engine>, Vec<&Engine>) =
            engines.of_service(service).partition(is_placed);
        let are_orders_known = self.orders.known_through().is_some();
        let has_placed_none = !ledger.is_some_and(VersionLedger::has_placed_any);
        let first = unplaced.iter().min_by_key(|engine| engine.record.revision);
        let first = first.filter(|_| placed.is_empty() && has_placed_none && are_orders_known);
        let first = first.map(|engine| &engine.record.software);
        let unplaced = unplaced.iter().map(|engine| &engine.record.software);
        let unplaced = unplaced.filter(|version| Some(*version) != first);
        let mut unplaced: Vec<SoftwareVersion> = unplaced.cloned().collect();
        unplaced.sort();
        unplaced.dedup();
        unplaced
    }
}

fn has_tried_target(
    request: &VersionedRequest<'_>,
    target: &SoftwareVersion,
    engines: &EngineCatalogue,
) -> bool {
    let tried = request.tried.iter();
    let mut tried = tried.filter_map(|instance| engines.get(instance));
    tried.any(|engine| engine.record.software == *target)
}

/// Engines of the target beyond the number needed for the canary's share. The engines that
/// are used carry about as much load each as an established engine.
fn engines_outside_canary(
    rollout: &ServiceRollout,
    service: &ServiceName,
    engines: &EngineCatalogue,
) -> Vec<InstanceId> {
    let Some(progress) = rollout.gate().map(Gate::progress) else {
        return Vec::new();
    };
    let Stage::Canary { share_ppm } = progress.stage else {
        return Vec::new();
    };
    let target = rollout.gate_target();
    let staying = engines
        .of_service(service)
        .filter(|engine| !engines.is_leaving(engine));
    let (of_target, others): (Vec<&Engine>, Vec<&Engine>) =
        staying.partition(|engine| engine.record.software == *target);
    let used = canary_engines(of_target.len(), others.len(), share_ppm);
    let tags: Vec<u64> = of_target
        .iter()
        .map(|engine| u64::from(engine.tag.0))
        .collect();
    let used = canary_subset(&tags, used, progress.rollout);
    let outside_canary = of_target
        .iter()
        .filter(|engine| !used.contains(&u64::from(engine.tag.0)));
    outside_canary
        .map(|engine| engine.record.instance.clone())
        .collect()
}
