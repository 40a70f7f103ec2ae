//! Which versions of the software may serve a request: what the gate of its service's
//! rollout says, less the versions that are held back whatever it says.

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

/// A request, as far as versions of the software matter to it.
#[derive(Clone, Copy, Debug)]
pub struct VersionedRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its route.
    pub route: &'a Route,
    /// Key of the shared parts of its prompt.
    pub prompt: Option<ChainKey>,
    /// Engines that were tried.
    pub tried: &'a [InstanceId],
    /// Whether an engine has got it already.
    pub is_sent_before: bool,
}

/// Which engines may serve a request, by their software.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoftwareChoice {
    /// Versions that may serve it.
    pub rule: SoftwareRule,
    /// Versions that may serve it where no engine fits the rule.
    pub fallback: Option<SoftwareRule>,
    /// Engines of the target that take no part in the canary.
    pub outside_canary: Vec<InstanceId>,
    /// What the gate said; nothing where there is no gate.
    pub reason: Option<GateReason>,
}

impl RolloutBeliefs {
    /// Which versions may serve a request; nothing when none may now. Without `own` the
    /// service had no rollout a moment ago.
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
            // The versions that served before are held back by their records; a later
            // one may come without an order.
            Some(Stage::Completed) => SoftwareRule::Any,
            _ => decision.rule?,
        };
        let established = || SoftwareRule::Except(target.clone()).excluding(&held_back);
        // An order that was given again supersedes the stage of the former one: while its
        // target is held back, what served before serves.
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
        // A withdrawn rollout has no stage: its target is held back.
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
            was_failed_by_target: tried_target(request, target, engines),
            is_retry: request.is_sent_before || !request.tried.is_empty(),
        };
        Some(rollout.gate()?.decide(&canary_request, &view, now))
    }

    /// Versions of a service's engines that can't be placed yet. At a node that has placed
    /// none since it started, the one that was recorded first is none of them: what is not
    /// known is then no reason to refuse all requests of a service.
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
        // Each choice asks; mostly there is nothing to sort out.
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

fn tried_target(
    request: &VersionedRequest<'_>,
    target: &SoftwareVersion,
    engines: &EngineCatalogue,
) -> bool {
    let tried = request.tried.iter();
    let mut tried = tried.filter_map(|instance| engines.get(instance));
    tried.any(|engine| engine.record.software == *target)
}

/// Engines of the target beyond those that are enough for the canary's share: few
/// engines carry as much as an established one does.
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
