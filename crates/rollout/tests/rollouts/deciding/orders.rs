//! The first stage of an order, its end without engines, and the continuation by a
//! successor.

use crate::decision_case::{answered, expected_roll_back, Case, CANARY, DURATION_MS};
use crate::stages::{order, progress, version};
use ploverlift_rollout::decider::Reason;
use ploverlift_rollout::order::{RolloutState, RolloutStatus};
use ploverlift_rollout::stage::{Epoch, Progress, RollBackCause, RolloutNumber, Stage};

#[test]
fn a_new_order_begins_with_a_canary_of_a_later_rollout_and_epoch() {
    let mut case = Case::at(CANARY, 0);
    case.order.status = None;
    let first = case.decide().next.expect("a canary");
    assert_eq!(first.stage, Stage::Canary { share_ppm: 50_000 });
    assert_eq!(first.rollout, RolloutNumber(30), "the order's revision");
    assert_eq!(first.established, [version("v1")]);
    let older = Progress {
        rollout: RolloutNumber(50),
        epoch: Epoch(60),
        ..first
    };
    case.order = order("v3", DURATION_MS, 40);
    case.order.status = Some(RolloutStatus {
        target: version("v2"),
        ..older.status(&case.order)
    });
    let second = case.decide().next.expect("a canary");
    assert_eq!(second.rollout, RolloutNumber(51));
    assert_eq!(second.epoch, Epoch(61));
    assert_eq!(second.avoided, [version("v2")], "left without proof");
}

#[test]
fn an_order_for_the_old_version_cuts_over_at_once() {
    let mut case = Case::at(CANARY, 100);
    case.order.target = version("v1");
    let decision = case.decide();
    assert_eq!(decision.reason, Reason::OrderedBack);
    let next = decision.next.expect("a cut-over");
    assert_eq!(next.stage, Stage::CuttingOver);
    assert_eq!(next.avoided, [version("v2")]);
}

#[test]
fn an_order_for_the_version_that_serves_alone_cuts_over_at_once() {
    let mut case = Case::at(CANARY, 0);
    case.order.status = None;
    case.established_engines = 0;
    let next = case.decide().next.expect("a cut-over");
    assert_eq!(next.stage, Stage::CuttingOver);
    // The same version ordered again after its completion, with another duration.
    let mut again = Case::at(Stage::Completed, 13_000);
    again.order.duration_ms = 2 * DURATION_MS;
    again.established_engines = 0;
    let next = again.decide().next.expect("a cut-over");
    assert_eq!(next.stage, Stage::CuttingOver);
}

#[test]
fn terminal_stages_are_final() {
    for stage in [
        Stage::Completed,
        Stage::RolledBack {
            cause: RollBackCause::NoEngines,
        },
    ] {
        let mut case = Case::at(stage, 13_000);
        case.counts = answered(0, 100);
        let decision = case.decide();
        assert_eq!((decision.next, decision.reason), (None, Reason::Ended));
    }
}

#[test]
fn an_order_that_does_not_fit_is_rolled_back() {
    let mut case = Case::at(CANARY, 0);
    case.order = order("v2", 0, 30);
    assert_eq!(
        case.next(),
        expected_roll_back(RollBackCause::OrderDoesNotFit)
    );
    case.order = order("", DURATION_MS, 30);
    assert_eq!(
        case.next(),
        expected_roll_back(RollBackCause::OrderDoesNotFit)
    );
}

#[test]
fn a_target_without_engines_is_rolled_back_at_the_deadline() {
    let mut case = Case::at(CANARY, 11_900);
    case.target_engines = 0;
    assert!(matches!(
        case.decide().reason,
        Reason::AwaitingEngines { .. }
    ));
    case.since_order_ms = 12_000;
    assert_eq!(case.next(), expected_roll_back(RollBackCause::NoEngines));
}

#[test]
fn too_few_engines_hold_the_canary_until_the_maximum_wait_is_over() {
    let mut case = Case::at(CANARY, 12_000);
    case.target_engines = 2;
    assert_eq!(case.next(), None);
    case.since_order_ms = 36_000;
    assert_eq!(case.next(), expected_roll_back(RollBackCause::NoEngines));
}

#[test]
fn a_successor_continues_from_the_stored_progress() {
    let mut case = Case::at(CANARY, 6_000);
    let stored = Progress {
        elapsed_ms: 11_000,
        requests: 4_000,
        target_arrivals: 150,
        ..progress(CANARY, DURATION_MS)
    };
    case.order.status = Some(stored.status(&case.order));
    case.status_age_ms = 1_000;
    let next = case
        .decide()
        .next
        .expect("the deadline has passed by the stored time");
    assert_eq!(next.stage, Stage::CuttingOver);
    assert_eq!(next.elapsed_ms, 12_000);
    assert!(next.requests >= 4_000 && next.target_arrivals >= 150);
}

#[test]
fn huge_numbers_do_not_overflow() {
    let mut case = Case::at(CANARY, 3_000);
    case.order = order("v2", u64::MAX, u64::MAX);
    let stored = Progress {
        rollout: RolloutNumber(u64::MAX),
        epoch: Epoch(u64::MAX),
        elapsed_ms: u64::MAX,
        requests: u64::MAX,
        target_arrivals: u64::MAX,
        credits: u64::MAX,
        ..progress(CANARY, u64::MAX)
    };
    case.order.status = Some(stored.status(&case.order));
    case.decide();
    case.order.target = version("v3");
    assert!(case.decide().next.is_some());
}

#[test]
fn states_match_what_the_operator_reads() {
    let cause = RollBackCause::BadAnswers;
    assert_eq!(CANARY.state(), RolloutState::Running);
    assert_eq!(Stage::CuttingOver.state(), RolloutState::Running);
    assert_eq!(Stage::Completed.state(), RolloutState::Completed);
    assert_eq!(
        Stage::RolledBack { cause }.state(),
        RolloutState::RolledBack
    );
}
