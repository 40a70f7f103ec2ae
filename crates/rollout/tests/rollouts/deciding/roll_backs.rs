//! Conditions that roll a version back, and those that only hold the canary.

use crate::decision_case::{answered, expected_roll_back, member, Case, CANARY};
use ploverlift_rollout::decider::{Decider, Member, Reason};
use ploverlift_rollout::share::Confirmation;
use ploverlift_rollout::stage::{Epoch, RollBackCause, Stage};

#[test]
fn bad_answers_roll_back_at_any_stage() {
    for stage in [CANARY, Stage::CuttingOver] {
        let mut case = Case::at(stage, 2_000);
        case.counts = answered(60, 20);
        let decision = case.decide();
        assert!(
            matches!(decision.reason, Reason::Bad(_)),
            "{:?}",
            decision.reason
        );
        let next = decision.next.expect("a terminal stage");
        assert_eq!(
            Some(next.stage),
            expected_roll_back(RollBackCause::BadAnswers)
        );
        assert_eq!(next.epoch, Epoch(13));
    }
}

#[test]
fn a_version_without_proof_is_never_completed() {
    let mut case = Case::at(CANARY, 35_000);
    case.counts = answered(10, 0);
    assert_eq!(case.next(), None);
    case.since_order_ms = 36_000;
    assert_eq!(case.next(), expected_roll_back(RollBackCause::NoProof));
    let mut case = Case::at(Stage::CuttingOver, 36_000);
    case.counts = answered(10, 0);
    assert_eq!(case.next(), expected_roll_back(RollBackCause::NoProof));
    case.established_engines = 0;
    assert_eq!(
        case.next(),
        Some(Stage::Completed),
        "no established engines to return to"
    );
}

#[test]
fn a_suspicion_holds_the_canary_and_rolls_back_at_the_deadline() {
    let mut case = Case::at(CANARY, 6_000);
    let mut is_suspicious = |bad| {
        case.counts = answered(200, bad);
        matches!(case.decide().reason, Reason::Suspicious(_))
    };
    let bad = (1..20).find(|bad| is_suspicious(*bad)).expect("some");
    case.counts = answered(200, bad);
    assert_eq!(case.next(), None);
    case.since_order_ms = 12_000;
    assert_eq!(case.next(), expected_roll_back(RollBackCause::BadAnswers));
    case.counts = answered(200, 0);
    assert_eq!(case.next(), Some(Stage::CuttingOver));
}

#[test]
fn enough_nodes_that_stopped_on_their_own_roll_back() {
    let mut case = Case::at(CANARY, 3_000);
    let stopped = |node| {
        let confirmation = member(node).confirmation.map(|it| Confirmation {
            has_stopped: true,
            ..it
        });
        Member {
            confirmation,
            ..member(node)
        }
    };
    case.members = vec![
        stopped(1),
        stopped(2),
        member(3),
        member(4),
        member(5),
        member(6),
    ];
    assert_eq!(case.next(), None, "two nodes may have bad links");
    case.members[2] = stopped(3);
    assert_eq!(case.next(), expected_roll_back(RollBackCause::BadAnswers));
}

#[test]
fn a_target_that_loses_its_engines_in_a_cut_over_is_rolled_back() {
    let mut case = Case::at(Stage::CuttingOver, 12_500);
    case.target_engines = 0;
    let mut decider = Decider::new(case.settings);
    assert_eq!(case.decide_with(&mut decider).next, None);
    case.since_order_ms += 1_000;
    let next = case.decide_with(&mut decider).next.map(|it| it.stage);
    assert_eq!(next, expected_roll_back(RollBackCause::NoEngines));
}
