//! The reported run state and the number of sends, for any outcomes of attempts.

use ploverlift_balancing::attempts::{AttemptLedger, AttemptLimits, AttemptOutcome};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::attempt::RunState;
use proptest::prelude::*;
use std::collections::HashSet;

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(AttemptOutcome::Unreachable),
        Just(AttemptOutcome::Refused),
        Just(AttemptOutcome::OtherWeights),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::Broken),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// For any outcomes: at most one run of a request that may not be repeated, no more
    /// engines than allowed, and "not run" only when it is true.
    #[test]
    fn run_state_and_limits_hold_for_any_attempts(
        is_repeatable: bool,
        max_engines in 0u32..4,
        outcomes in prop::collection::vec(outcome(), 1..12),
    ) {
        let mut ledger = AttemptLedger::new(AttemptLimits { is_repeatable, max_engines });
        let mut may_have_run = 0;
        let mut sent_to = HashSet::new();
        let mut arrivals = 0;
        for (number, outcome) in outcomes.into_iter().enumerate() {
            // An engine with other weights is tried once more, otherwise a new one.
            let name = format!("e{}", ledger.tried().len());
            let instance = InstanceId(name);
            prop_assert!(!ledger.tried().contains(&instance), "attempt {}", number);
            prop_assert_eq!(ledger.next_is_repeat(), arrivals > 0);
            if outcome != AttemptOutcome::Unreachable {
                sent_to.insert(instance.clone());
                arrivals += 1;
            }
            if matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Broken) {
                may_have_run += 1;
            }
            if outcome != AttemptOutcome::Unreachable {
                ledger.record_send();
                prop_assert!(ledger.run_state_if_abandoned() != RunState::NotRun);
            }
            let goes_on = ledger.record_outcome(instance, outcome);
            prop_assert_eq!(ledger.run_state_if_abandoned(), ledger.run_state());
            prop_assert!(sent_to.len() as u32 <= max_engines.max(1));
            prop_assert!(is_repeatable || may_have_run <= 1);
            prop_assert_eq!(ledger.run_state() == RunState::NotRun, may_have_run == 0);
            if !goes_on {
                break;
            }
        }
    }
}

fn ledger(is_repeatable: bool, max_engines: u32) -> AttemptLedger {
    AttemptLedger::new(AttemptLimits {
        is_repeatable,
        max_engines,
    })
}

#[test]
fn an_engine_with_other_weights_is_tried_once_more_and_only_once() {
    let mut ledger = ledger(false, 1);
    let engine = InstanceId("e".to_owned());
    assert!(ledger.record_outcome(engine.clone(), AttemptOutcome::OtherWeights));
    assert!(ledger.tried().is_empty());
    assert!(ledger.next_is_repeat());
    assert!(!ledger.record_outcome(engine, AttemptOutcome::OtherWeights));
    assert_eq!(ledger.run_state(), RunState::NotRun);
}

#[test]
fn a_lost_send_leaves_the_run_state_unknown_whatever_the_next_outcome() {
    for outcome in [AttemptOutcome::Unreachable, AttemptOutcome::Refused] {
        let mut ledger = ledger(true, 2);
        let engine = InstanceId("e".to_owned());
        ledger.record_lost_send(&engine);
        assert!(ledger.next_is_repeat());
        assert!(ledger.record_outcome(engine, outcome));
        assert_eq!(ledger.run_state(), RunState::Unknown, "{outcome:?}");
    }
}

#[test]
fn unreachable_engines_do_not_count_as_sent_to_but_are_limited() {
    let mut ledger = ledger(false, 1);
    let fail = |ledger: &mut AttemptLedger, number: u32| {
        let engine = InstanceId(format!("e{number}"));
        ledger.record_outcome(engine, AttemptOutcome::Unreachable)
    };
    assert!(fail(&mut ledger, 0) && fail(&mut ledger, 1) && fail(&mut ledger, 2));
    assert!(!ledger.next_is_repeat());
    assert!(!fail(&mut ledger, 3));
}

// Guards against a takeover that goes back to the silent engine, or that needs no retry.
#[test]
fn a_takeover_repeats_the_request_at_another_engine() {
    let mut attempts = ledger(true, 2);
    let running = InstanceId("e1".to_owned());
    assert!(!attempts.next_is_repeat());
    attempts.begin_takeover(&running);
    attempts.begin_takeover(&running);
    assert!(attempts.next_is_repeat());
    assert_eq!(attempts.tried(), std::slice::from_ref(&running));
    assert_eq!(attempts.run_state(), RunState::NotRun);
    let rejecting = InstanceId("e2".to_owned());
    attempts.record_outcome(rejecting, AttemptOutcome::Refused);
    assert!(attempts.is_last_attempt());
    assert!(!attempts.record_outcome(running, AttemptOutcome::Broken));
    assert_eq!(attempts.run_state(), RunState::Unknown);
}
