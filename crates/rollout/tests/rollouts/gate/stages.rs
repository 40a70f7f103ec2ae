//! A gate's decisions in each stage, and when the stage has not been confirmed recently.

use crate::counts::answer;
use crate::gate_case::{gate, gate_at, read_request, reason_of, view, NOW, SHARE};
use crate::stages::{progress, version};
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::counts::{Counts, RouteTag, Side};
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_rollout::share::{
    CanaryRequest, FleetView, Gate, GateReason, Joined, LOST_TOUCH_MARGIN_MS, STAGE_LEASE_MS,
};
use ploverlift_rollout::stage::{Epoch, Progress, RollBackCause, Stage};
use ploverlift_routing::software::SoftwareRule;

#[test]
fn an_outdated_stage_stops_the_canary_and_later_all_requests() {
    let nothing = Counts::default();
    let heard = |ms: u64| FleetView {
        stage_verified_at: Millis(NOW.0 - ms),
        ..view(&nothing)
    };
    let gate = gate(SHARE);
    assert_eq!(
        reason_of(&gate, &read_request(), &heard(STAGE_LEASE_MS)),
        GateReason::Canary
    );
    let expired = gate.decide(&read_request(), &heard(STAGE_LEASE_MS + 1), NOW);
    assert_eq!(expired.reason, GateReason::StageLeaseExpired);
    assert_eq!(expired.rule, Some(SoftwareRule::Except(version("v2"))));
    let silent = gate.decide(&read_request(), &heard(5_001), NOW);
    assert_eq!(silent.reason, GateReason::SilentTooLong);
    assert_eq!(silent.rule, None);
}

#[test]
fn in_a_cut_over_established_engines_get_no_requests() {
    let nothing = Counts::default();
    let gate = gate(Stage::CuttingOver);
    let decision = gate.decide(&read_request(), &view(&nothing), NOW);
    assert_eq!(decision.rule, Some(SoftwareRule::Only(version("v2"))));
    // A node that is cut off from a roll back stops before the bound of the roll back is
    // over.
    let roll_back_ms = RolloutSettings::default().roll_back_ms;
    let lost_touch = FleetView {
        stage_verified_at: Millis(NOW.0 - (roll_back_ms - LOST_TOUCH_MARGIN_MS) - 1),
        ..view(&nothing)
    };
    let decision = gate.decide(&read_request(), &lost_touch, NOW);
    assert_eq!(decision.reason, GateReason::LostTouchInCutOver);
    assert_eq!(decision.rule, None);
}

#[test]
fn a_store_outage_in_a_cut_over_stops_nothing_without_evidence_against_the_target() {
    let away = |sums| FleetView {
        stage_verified_at: Millis(NOW.0 - STAGE_LEASE_MS - 500),
        ..view(sums)
    };
    let nothing = Counts::default();
    let mut gate = gate(Stage::CuttingOver);
    let decision = gate.decide(&read_request(), &away(&nothing), NOW);
    assert_eq!(decision.rule, Some(SoftwareRule::Only(version("v2"))));
    assert_eq!(decision.reason, GateReason::CuttingOver);
    gate.confirm(0);
    let mut bad = Counts::default();
    for engine in 0..400 {
        let route = RouteTag::of("read");
        bad.note_request(route, true);
        bad.note_target_arrival(route);
        bad.note_answer(route, Side::Target, &answer(true, engine));
    }
    let stopped = gate.decide(&read_request(), &away(&bad), NOW);
    assert_eq!(stopped.reason, GateReason::StoppedByEvidence);
    assert_eq!(stopped.rule, None);
}

#[test]
fn a_restarted_node_allows_no_version_before_it_reads_the_stage() {
    let nothing = Counts::default();
    for stage in [SHARE, Stage::CuttingOver] {
        let gate = gate_at(stage, Joined::AfterOrder);
        let old_news = FleetView {
            stage_verified_at: Millis(NOW.0 - 1),
            ..view(&nothing)
        };
        let decision = gate.decide(&read_request(), &old_news, NOW);
        assert_eq!(
            (decision.rule, decision.reason),
            (None, GateReason::StageNotConfirmed)
        );
    }
}

#[test]
fn a_confirmation_holds_until_a_later_epoch() {
    let nothing = Counts::default();
    let mut gate = gate(SHARE);
    assert!(!gate.confirm(3).has_left_established);
    let at = |epoch, stage| Progress {
        epoch: Epoch(epoch),
        ..progress(stage, 12_000)
    };
    gate.update_progress(at(13, Stage::CuttingOver));
    let confirmation = gate.confirm(2);
    assert!(confirmation.has_left_established);
    assert_eq!(confirmation.running_on_established, 2);
    gate.update_progress(at(12, SHARE));
    assert_eq!(
        reason_of(&gate, &read_request(), &view(&nothing)),
        GateReason::CuttingOver
    );
    gate.update_progress(at(14, SHARE));
    assert_ne!(
        reason_of(&gate, &read_request(), &view(&nothing)),
        GateReason::CuttingOver
    );
}

#[test]
fn terminal_stages_need_no_confirmation() {
    let nothing = Counts::default();
    let unheard = FleetView {
        stage_verified_at: Millis(0),
        ..view(&nothing)
    };
    let completed = gate(Stage::Completed)
        .decide(&read_request(), &unheard, NOW)
        .rule;
    let completed = completed.expect("a rule");
    assert!(!completed.allows(&version("v1")));
    assert!(completed.allows(&version("v2")));
    assert!(
        completed.allows(&version("v3")),
        "a release without an order, later"
    );
    let cause = RollBackCause::BadAnswers;
    let back = gate(Stage::RolledBack { cause })
        .decide(&read_request(), &unheard, NOW)
        .rule;
    assert_eq!(back, Some(SoftwareRule::Except(version("v2"))));
}

#[test]
fn versions_that_earlier_orders_did_not_complete_get_no_requests() {
    let nothing = Counts::default();
    let present = Progress {
        avoided: vec![version("v0")],
        ..progress(SHARE, 12_000)
    };
    let settings = RolloutSettings::default();
    let gate = Gate::new(settings, version("v2"), present, Joined::BeforeOrder, NOW);
    let retry = CanaryRequest {
        is_retry: true,
        ..read_request()
    };
    let rule = gate
        .decide(&retry, &view(&nothing), NOW)
        .rule
        .expect("a rule");
    assert!(!rule.allows(&version("v0")));
    assert!(!rule.allows(&version("v2")));
    assert!(rule.allows(&version("v1")));
}
