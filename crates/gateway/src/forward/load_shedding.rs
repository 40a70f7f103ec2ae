//! Load shedding: refuses requests that engines can't answer in time.
//!
//! A request that no engine can answer within its time is refused at once. While the engines
//! are overloaded, a share of the other requests is refused as well (see
//! `balancing::overload`), so that the rest is answered in time. No request is refused while
//! engines have spare slots, and a resumed stream never is.

use super::choice::ChosenEngine;
use super::Forwarding;
use crate::beliefs::Beliefs;
use crate::state::Gateway;
use ploverlift_balancing::catalogue::Engine;
use ploverlift_balancing::overload::{OverloadLimits, SlotOccupancy, Urgency};
use ploverlift_routing::configuration::{Route, ServiceName};
use std::fmt::Write;
use std::sync::Arc;

/// A request is refused when its remaining time is shorter than this part of the expected
/// time to the first byte. The margin is needed because the load reports of other nodes are
/// some tenths of a second old.
const CERTAINTY_FACTOR: f64 = 0.7;
/// Shortest retry time during overload, in milliseconds.
const MIN_RETRY_MS: u64 = 100;

/// Why a request is refused before it is sent.
pub(super) struct Unservable {
    pub(super) reason: String,
    /// Time after which the caller may retry, in milliseconds.
    pub(super) retry_after_ms: u64,
}

impl Forwarding {
    /// Checks whether the request should be refused instead of being sent to the best engine
    /// for it; `None` when it may be sent.
    pub(super) fn check_servable(&self, chosen: &ChosenEngine) -> Option<Unservable> {
        let is_resumed = self.received.request.resume_after.is_some();
        if self.received.request.prompt.is_none() || is_resumed {
            return None;
        }
        self.record_request_demand(chosen);
        let mut unservable = self
            .check_deadline(chosen)
            .or_else(|| self.check_overload())?;
        let occupancy = self.slot_occupancy();
        if occupancy.has_spare_slots() {
            return None;
        }
        let SlotOccupancy { requests, slots } = occupancy;
        let _ = write!(unservable.reason, "; {requests} requests at {slots} places");
        Some(unservable)
    }

    fn record_request_demand(&self, chosen: &ChosenEngine) {
        let service = self.received.admission.service.clone();
        let urgency = self.urgency();
        let objective_ms = self.received.admission.route.objective_ms;
        let now = self.gateway.clock.now();
        let mut beliefs = self.gateway.beliefs();
        let overload = beliefs.overloads.entry(service).or_default();
        overload.record_demand(urgency, chosen.cost.prefill_ms, objective_ms, now);
    }

    fn check_deadline(&self, chosen: &ChosenEngine) -> Option<Unservable> {
        let cost = &chosen.cost;
        let expected_ms = cost.queue_ms + cost.unreported_ms + cost.transfer_ms + cost.prefill_ms;
        let left_ms = self.received.limits.left_ms(self.gateway.clock.now());
        let is_hopeless = expected_ms * CERTAINTY_FACTOR > left_ms as f64;
        is_hopeless.then(|| Unservable {
            reason: format!(
                "no engine can begin to answer before {expected_ms:.0} ms, and {left_ms} are left"
            ),
            retry_after_ms: cost.queue_ms as u64,
        })
    }

    fn check_overload(&self) -> Option<Unservable> {
        let now = self.gateway.clock.now();
        let settings = &self.gateway.settings().admission;
        let limits = OverloadLimits {
            bearable_objectives: settings.bearable_objectives,
            most_refused: settings.most_refused,
        };
        let route = &self.received.admission.route;
        let beliefs = self.gateway.beliefs();
        let overload = beliefs.overloads.get(&self.received.admission.service)?;
        let max_share = overload.refused_share(Urgency::Least, &limits, now);
        let draw = fastrand::f64();
        if draw >= max_share {
            return None;
        }
        let share = overload.refused_share(self.urgency(), &limits, now);
        if draw >= share {
            return None;
        }
        let drained_ms = overload.drained_after_ms(route.objective_ms, &limits, now);
        Some(Unservable {
            reason: format!(
                "the engines are overloaded: requests wait {:.2} objectives, {share:.2} are refused",
                overload.waiting_objectives(now)
            ),
            retry_after_ms: drained_ms.max(MIN_RETRY_MS),
        })
    }

    /// Urgency of the request compared with the routes of its service.
    pub(super) fn urgency(&self) -> Urgency {
        let admission = &self.received.admission;
        let targets_service = |route: &&Route| {
            let mut targets = route.targets.iter();
            targets.any(|target| target.service == admission.service)
        };
        let routes = admission.configuration.document.routes.iter();
        let lowest = routes
            .filter(targets_service)
            .map(|route| route.priority)
            .max();
        match lowest.is_some_and(|lowest| admission.priority() < lowest) {
            true => Urgency::Higher,
            false => Urgency::Least,
        }
    }

    /// Requests and slots of the available engines of the service.
    fn slot_occupancy(&self) -> SlotOccupancy {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        let engines = beliefs.engines.of_service(&self.received.admission.service);
        let available = engines.filter(|engine| {
            let wants_requests = !beliefs.engines.is_leaving(engine)
                && beliefs.engines.backoff(engine, now).is_none();
            wants_requests && engine.health.may_be_chosen(now)
        });
        let rate_limits = &beliefs.engines.rate_limits;
        let available = available.filter(|engine| rate_limits.has_token(engine.tag, now));
        let mut occupancy = SlotOccupancy::default();
        for engine in available {
            occupancy.requests += requests_at(&beliefs, engine);
            occupancy.slots += u64::from(engine.record.slots);
        }
        occupancy
    }

    /// Counts a request as waiting for its first byte; `None` for requests without a prompt.
    pub(super) fn begin_wait(&self, chosen: &ChosenEngine) -> Option<EngineWait> {
        self.received.request.prompt.as_ref()?;
        let service = self.received.admission.service.clone();
        let objective_ms = self.received.admission.route.objective_ms;
        let prefill_and_transfer_ms = chosen.cost.prefill_ms + chosen.cost.transfer_ms;
        let now = self.gateway.clock.now();
        let mut beliefs = self.gateway.beliefs();
        let overload = beliefs.overloads.entry(service.clone()).or_default();
        Some(EngineWait {
            number: overload.begin(prefill_and_transfer_ms, objective_ms, now),
            gateway: Arc::clone(&self.gateway),
            service,
            prefill_and_transfer_ms,
            objective_ms,
        })
    }
}

/// A request that waits for its first byte. Dropping it ends the wait.
pub(super) struct EngineWait {
    gateway: Arc<Gateway>,
    service: ServiceName,
    number: u64,
    prefill_and_transfer_ms: f64,
    objective_ms: u64,
}

impl EngineWait {
    /// Records that the first byte arrived after `first_byte_ms` milliseconds.
    pub(super) fn record_wait(self, first_byte_ms: u64) {
        let now = self.gateway.clock.now();
        let waited_ms = first_byte_ms as f64 - self.prefill_and_transfer_ms;
        let mut beliefs = self.gateway.beliefs();
        if let Some(overload) = beliefs.overloads.get_mut(&self.service) {
            overload.observe(waited_ms, self.objective_ms, now);
        }
        drop(beliefs);
    }
}

impl Drop for EngineWait {
    fn drop(&mut self) {
        let mut beliefs = self.gateway.beliefs();
        if let Some(overload) = beliefs.overloads.get_mut(&self.service) {
            overload.end(self.number);
        }
    }
}

fn requests_at(beliefs: &Beliefs, engine: &Engine) -> u64 {
    let others = beliefs.peer_loads.at(engine.tag).requests;
    u64::from(engine.in_flight) + u64::from(others)
}
