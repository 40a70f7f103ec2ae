//! A gate with its fleet view, and requests for its decisions.

use crate::stages::{progress, version};
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::counts::{Counts, RouteTag};
use ploverlift_rollout::credits::Seat;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_rollout::share::{CanaryRequest, FleetView, Gate, GateReason, Joined};
use ploverlift_rollout::stage::Stage;
use ploverlift_routing::software::SoftwareRule;

pub const NOW: Millis = Millis(100_000);
pub const SHARE: Stage = Stage::Canary { share_ppm: 30_000 };
pub const ALONE: Seat = Seat { rank: 0, nodes: 1 };

pub fn gate_at(stage: Stage, joined: Joined) -> Gate {
    let settings = RolloutSettings::default();
    Gate::new(
        settings,
        version("v2"),
        progress(stage, 12_000),
        joined,
        NOW,
    )
}

pub fn gate(stage: Stage) -> Gate {
    gate_at(stage, Joined::BeforeOrder)
}

pub fn view(sums: &Counts) -> FleetView<'_> {
    FleetView {
        sums,
        own_in_sums: None,
        stage_verified_at: NOW,
        seat: ALONE,
    }
}

pub fn read_request() -> CanaryRequest {
    CanaryRequest {
        route: RouteTag::of("read"),
        is_repeatable: true,
        prompt: None,
        was_failed_by_target: false,
        is_retry: false,
    }
}

pub fn send_once_request() -> CanaryRequest {
    CanaryRequest {
        route: RouteTag::of("send"),
        is_repeatable: false,
        ..read_request()
    }
}

/// Lets the gate decide on a request and counts it; true if it went to the target.
pub fn offer(gate: &mut Gate, request: &CanaryRequest, view: &FleetView<'_>) -> bool {
    let decision = gate.decide(request, view, NOW);
    gate.note_request(request.route, request.is_repeatable);
    let is_canary = decision.reason == GateReason::Canary;
    if is_canary {
        assert_eq!(decision.rule, Some(SoftwareRule::Only(version("v2"))));
        gate.note_target_arrival(request.route);
    }
    is_canary
}

pub fn reason_of(gate: &Gate, request: &CanaryRequest, view: &FleetView<'_>) -> GateReason {
    gate.decide(request, view, NOW).reason
}
