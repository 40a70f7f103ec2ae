//! When all requests move to the target, and when the rollout is completed.

use crate::decision_case::{answered, long_case, member, Case, CANARY};
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::decider::{Decider, Reason};
use ploverlift_rollout::schedule::{can_end_in_time, first_share_ppm, Exposure, RequestRate};
use ploverlift_rollout::settings::{RolloutSettings, Strategy};
use ploverlift_rollout::share::Confirmation;
use ploverlift_rollout::stage::{Epoch, RolloutNumber, Stage};

#[test]
fn the_default_strategy_does_not_cut_over_before_the_deadline() {
    let mut case = Case::at(CANARY, 11_990);
    assert_eq!(case.decide().reason, Reason::AwaitingExposure);
    case.since_order_ms = 12_000;
    assert_eq!(case.next(), Some(Stage::CuttingOver));
}

#[test]
fn a_cut_over_waits_for_answers() {
    let mut case = Case::at(CANARY, 12_000);
    case.counts = answered(20, 0);
    assert_eq!(case.decide().reason, Reason::GatheringEvidence);
}

/// The time from the order at which the cut-over begins, in milliseconds.
fn cut_over_at(mut case: Case) -> u64 {
    let mut decider = Decider::new(case.settings);
    while case.decide_with(&mut decider).next.is_none() {
        case.since_order_ms += 100;
        assert!(case.since_order_ms < 300_000, "never");
    }
    case.since_order_ms
}

#[test]
fn hold_cuts_over_only_when_the_bound_holds_in_any_case() {
    // At 1.3 times 0.1 requests per millisecond, 13.6 s are within the bound.
    let at = cut_over_at(long_case(Strategy::Hold));
    assert!((226_000..=226_800).contains(&at), "{at} ms");
}

#[test]
fn hold_past_deadline_never_cuts_over_early() {
    let at = cut_over_at(long_case(Strategy::HoldPastDeadline));
    assert_eq!(at, 240_000);
}

#[test]
fn the_share_follows_from_whether_the_order_can_end_in_time() {
    let settings = RolloutSettings::default();
    assert!(!can_end_in_time(&settings, 12_000, 3_500));
    assert!(can_end_in_time(&settings, 60_000, 3_500));
    assert!(!can_end_in_time(&settings, 60_000, 6_000));
    assert_eq!(first_share_ppm(&settings, 12_000, 3_500), 50_000);
    assert_eq!(first_share_ppm(&settings, 60_000, 3_500), 20_000);
}

#[test]
fn a_cut_over_that_can_not_end_in_time_waits_for_the_deadline() {
    let mut case = long_case(Strategy::Hold);
    case.barrier_ms = 14_000;
    assert_eq!(cut_over_at(case), 240_000);
}

#[test]
fn a_cut_over_that_would_exceed_the_bound_is_reverted() {
    let mut case = Case::at(Stage::CuttingOver, 10_000);
    case.settings.strategy = Strategy::Hold;
    let decision = case.decide();
    assert_eq!(decision.reason, Reason::ExposureAhead);
    let next = decision.next.map(|it| it.stage);
    assert!(matches!(next, Some(Stage::Canary { .. })), "{next:?}");
}

#[test]
fn completion_needs_a_confirmation_of_every_node() {
    let mut case = Case::at(Stage::CuttingOver, 16_000);
    let completed = |case: &Case| {
        // The target must have answered since this decider first read the cut-over.
        let mut decider = Decider::new(case.settings);
        assert_ne!(
            case.decide_with(&mut decider).next.map(|it| it.stage),
            Some(Stage::Completed)
        );
        let later = Case {
            counts: answered(600, 0),
            members: case.members.clone(),
            order: case.order.clone(),
            since_order_ms: case.since_order_ms + 100,
            ..*case
        };
        later.decide_with(&mut decider).next.map(|it| it.stage) == Some(Stage::Completed)
    };
    assert!(completed(&case));
    let confirmation = member(2).confirmation.expect("one");
    let waits = [
        Confirmation {
            has_left_established: false,
            ..confirmation
        },
        Confirmation {
            running_on_established: 1,
            ..confirmation
        },
        Confirmation {
            epoch: Epoch(11),
            ..confirmation
        },
        Confirmation {
            rollout: RolloutNumber(9),
            ..confirmation
        },
    ];
    for confirmation in waits {
        case.members[1].confirmation = Some(confirmation);
        assert!(!completed(&case), "{confirmation:?}");
    }
    case.members[1].confirmation = None;
    assert!(!completed(&case), "no confirmation");
    case.members[1].last_heard_at = Some(Millis(6_000));
    assert!(
        !completed(&case),
        "silent for long, but not since the cut-over"
    );
    case.status_age_ms = 5_001;
    assert!(
        completed(&case),
        "silent since the cut-over for the bound on revoked keys"
    );
}

#[test]
fn a_version_serves_at_full_load_for_a_minimum_time_before_completion() {
    let mut case = Case::at(Stage::CuttingOver, 16_000);
    case.status_age_ms = 2_000;
    let mut decider = Decider::new(case.settings);
    case.decide_with(&mut decider);
    case.counts = answered(600, 0);
    case.since_order_ms += 100;
    assert_eq!(
        case.decide_with(&mut decider).reason,
        Reason::GatheringEvidence
    );
}

#[test]
fn the_bound_includes_expected_arrivals() {
    let settings = RolloutSettings::default();
    let exposure = |remaining_ms| Exposure {
        target_arrivals: 100,
        requests: 4_000,
        rate_per_ms: 0.5,
        remaining_ms,
    };
    assert!(exposure(0).may_move_all(&settings));
    assert!(exposure(200).may_move_all(&settings));
    assert!(!exposure(2_000).may_move_all(&settings));
    assert!(exposure(2_000).must_stop(&settings));
    assert!(!exposure(0).must_stop(&settings));
}

#[test]
fn a_rate_needs_a_minimum_time() {
    let mut rate = RequestRate::default();
    rate.note(0, Millis(1_000));
    rate.note(100, Millis(1_200));
    assert_eq!(rate.per_ms(), None);
    rate.note(500, Millis(2_000));
    assert_eq!(rate.per_ms(), Some(0.5));
}
