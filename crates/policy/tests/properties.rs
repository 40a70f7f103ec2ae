//! Property tests of the pure decisions.

mod support;

use ploverlift_policy::admission::{admit_by_deadline, TenantShares, TokenBucket};
use ploverlift_policy::attempt::{AttemptState, RunState};
use ploverlift_policy::chain::{ChainSeed, PromptChain};
use ploverlift_policy::cost::{expected_retention, CostModel};
use ploverlift_policy::decide::{DecisionInput, RouteCandidates};
use ploverlift_policy::directory::Directory;
use ploverlift_policy::fleet::{EngineIndex, EngineKey};
use ploverlift_policy::ids::{
    BlockHash, CacheScope, Incarnation, Millis, TenantName, WeightsVersion, ZoneName,
};
use ploverlift_policy::labels::{Expression, Labels, Operator, Selector};
use ploverlift_policy::objects::{Kind, Object};
use ploverlift_policy::request::{Event, RequestMachine, Step, MAX_ATTEMPTS};
use ploverlift_policy::retry::{RetryBudget, RETRY_RESERVE};
use ploverlift_policy::snapshot::{hash_key, Snapshot};
use proptest::prelude::*;
use serde_json::json;
use support::{fleet, runner};

fn chain(scope: &str, weights: u64, identities: &[u64]) -> PromptChain {
    let scope = CacheScope::from(scope);
    let seed = ChainSeed {
        scope: &scope,
        model: "model",
        weights: WeightsVersion(weights),
    };
    PromptChain::of_identities(&seed, identities, 1_000)
}

#[test]
fn blocks_of_different_scopes_or_weights_never_match() {
    let strategy = (
        prop::collection::vec(any::<u64>(), 1..40),
        1u64..9,
        1u64..9,
        any::<bool>(),
    );
    let outcome = runner().run(&strategy, |(identities, a, b, same_scope)| {
        let scope = if same_scope { "a" } else { "b" };
        let (one, other) = (chain("a", a, &identities), chain(scope, b, &identities));
        let shares = one.blocks.iter().any(|block| other.blocks.contains(block));
        prop_assert_eq!(shares, same_scope && a == b);
        Ok(())
    });
    outcome.expect("holds");
}

#[test]
fn chains_share_exactly_their_common_prefix() {
    let blocks = prop::collection::vec(0u64..3, 1..20);
    let outcome = runner().run(&(blocks.clone(), blocks), |(a, b)| {
        let common = a.iter().zip(&b).take_while(|(x, y)| x == y).count();
        let (one, other) = (chain("s", 1, &a), chain("s", 1, &b));
        let shared = one
            .blocks
            .iter()
            .zip(&other.blocks)
            .take_while(|(x, y)| x == y);
        prop_assert_eq!(shared.count(), common);
        Ok(())
    });
    outcome.expect("holds");
}

#[test]
fn the_directory_never_matches_an_earlier_incarnation_and_stays_within_its_capacity() {
    let records = prop::collection::vec((0u64..200, 0u64..6, 1u64..4), 1..300);
    let outcome = runner().run(&records, |records| {
        let mut directory = Directory::new(50);
        for (at, (first, engine, life)) in records.iter().enumerate() {
            let blocks: Vec<BlockHash> = (*first..first + 5).map(BlockHash).collect();
            directory.record(
                &blocks,
                EngineKey(*engine),
                Incarnation(*life),
                Millis(at as u64),
            );
            prop_assert!(directory.len() <= 50);
        }
        let wanted = PromptChain {
            blocks: (0..200).map(BlockHash).collect(),
            tokens: 200_000,
            block_tokens: 1_000,
        };
        for found in directory.lookup(&wanted, |_| Some(Incarnation(3))) {
            prop_assert_eq!(found.incarnation, Incarnation(3));
        }
        Ok(())
    });
    outcome.expect("holds");
}

#[test]
fn expected_retention_never_rises_with_age() {
    let outcome = runner().run(
        &(0u64..100_000, 0u64..100_000, 1u64..60_000),
        |(a, b, age)| {
            let (younger, older) = (a.min(b), a.max(b));
            prop_assert!(expected_retention(younger, age) >= expected_retention(older, age));
            prop_assert!(expected_retention(age, age) <= f64::EPSILON);
            Ok(())
        },
    );
    outcome.expect("holds");
}

#[test]
fn the_chosen_engine_is_eligible_not_failed_and_within_a_tie_of_the_lowest_cost() {
    let loads = prop::collection::vec(0u32..50_000, 1..12);
    let outcome = runner().run(
        &(loads, any::<u64>(), 0usize..12),
        |(loads, seed, failed)| {
            let mut fleet = fleet(loads.len());
            for (number, queued) in loads.iter().enumerate() {
                fleet.get_mut(EngineIndex(number as u32)).load.queued_tokens = *queued;
            }
            let failed: Vec<EngineKey> = fleet
                .iter()
                .filter(|(index, _)| index.0 as usize == failed)
                .map(|(_, engine)| engine.key)
                .collect();
            let candidates = RouteCandidates {
                eligible: fleet.iter().map(|(index, _)| index).collect(),
                ..RouteCandidates::default()
            };
            let model = CostModel {
                prefill_ms_per_token: 0.03,
                recompute_weight: 3.0,
                zone_distance_ms: 1.0,
                slot_wait_ms: 50.0,
            };
            let prompt = chain("s", 1, &[1, 2, 3]);
            let input = DecisionInput {
                candidates: &candidates,
                fleet: &fleet,
                chain: &prompt,
                matches: &[],
                directory_answered: true,
                failed: &failed,
                model: &model,
                own_zone: &ZoneName::from("hall-north"),
                now: Millis(0),
            };
            let decision = input.decide(&mut fastrand::Rng::with_seed(seed));
            match decision {
                None => prop_assert_eq!(loads.len(), failed.len()),
                Some(decision) => {
                    prop_assert!(!failed.contains(&decision.key));
                    let costs = decision.scored.iter().map(|scored| scored.cost.total_ms());
                    let lowest = costs.fold(f64::INFINITY, f64::min);
                    prop_assert!(decision.cost.total_ms() <= lowest + 0.5 + f64::EPSILON);
                }
            }
            Ok(())
        },
    );
    outcome.expect("holds");
}

#[test]
fn a_bucket_never_gives_more_than_its_rate_and_burst() {
    let takes = prop::collection::vec(0u64..500, 1..200);
    let outcome = runner().run(&(takes, 1u32..50, 1u32..20), |(pauses, rate, burst)| {
        let mut bucket = TokenBucket::new(f64::from(rate), f64::from(burst), Millis(0));
        let (mut now, mut given) = (0u64, 0u32);
        for pause in pauses {
            now += pause;
            given += u32::from(bucket.take(Millis(now)).is_ok());
            let allowed = f64::from(burst) + f64::from(rate) * now as f64 / 1_000.0;
            prop_assert!(f64::from(given) <= allowed + 1e-6);
        }
        Ok(())
    });
    outcome.expect("holds");
}

#[test]
fn no_tenant_gets_less_than_its_share_because_of_another() {
    let outcome = runner().run(&(1u32..8, 1u32..8, 1u32..200), |(own, other, capacity)| {
        let (a, b) = (TenantName::from("a"), TenantName::from("b"));
        let weight_of = |name: &TenantName| if *name == a { own } else { other };
        let mut shares = TenantShares::default();
        // The other tenant first takes as much as it can get.
        while shares.is_within_share(&b, weight_of, capacity) && shares.total() < capacity {
            shares.start(&b);
        }
        let mut got = 0;
        while shares.is_within_share(&a, weight_of, capacity) {
            shares.start(&a);
            got += 1;
        }
        let share = (capacity * own / (own + other)).max(1);
        prop_assert!(got >= share, "{} of {}", got, share);
        Ok(())
    });
    outcome.expect("holds");
}

#[test]
fn admission_by_deadline_refuses_at_once_with_a_time_in_bounds() {
    let outcome = runner().run(&(0.0f64..1e6, 0u64..100_000), |(expected, remaining)| {
        match admit_by_deadline(expected, remaining) {
            Ok(()) => prop_assert!(expected <= remaining as f64),
            Err(retry_after) => {
                prop_assert!(expected > remaining as f64);
                prop_assert!((1..=60).contains(&retry_after.seconds_rounded_up()));
            }
        }
        Ok(())
    });
    outcome.expect("holds");
}

#[test]
fn retries_stay_within_their_share_of_first_attempts() {
    let outcome = runner().run(&prop::collection::vec(any::<bool>(), 1..400), |steps| {
        let mut budget = RetryBudget::default();
        let (mut firsts, mut retries) = (0.0, 0.0);
        for first in steps {
            if first {
                budget.record_first_attempt();
                firsts += 1.0;
            } else if budget.try_take() {
                retries += 1.0;
            }
            prop_assert!(retries <= RETRY_RESERVE + 0.1 * firsts + 1e-6);
        }
        Ok(())
    });
    outcome.expect("holds");
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let state = prop_oneof![
        Just(AttemptState::Unsent),
        Just(AttemptState::Refused),
        Just(AttemptState::MaybeSent),
        Just(AttemptState::Answered),
    ];
    let event = prop_oneof![
        3 => state.clone().prop_map(|state| Event::AttemptFailed(state, None)),
        2 => Just(Event::Head),
        6 => (0u64..6).prop_map(Event::Piece),
        1 => (0u64..6).prop_map(|end| Event::Completed(Some(end))),
        2 => Just(Event::StreamBroken),
        1 => Just(Event::NoEngine),
        1 => state.prop_map(Event::DeadlinePassed),
    ];
    prop::collection::vec(event, 1..60)
}

/// Under any sequence of events, positions are delivered in order and once each, attempts are
/// bounded, a request that may not run twice is retried only when it cannot have run, and only
/// such a request is reported as not run.
#[test]
fn the_request_machine_keeps_its_invariants_under_any_events() {
    let outcome = runner().run(&(events(), any::<bool>()), |(events, repeatable)| {
        let mut budget = RetryBudget::default();
        let mut machine = RequestMachine::new(repeatable, false, Millis(1_000));
        let mut step = machine.on(Event::Admitted, &mut budget, Millis(0));
        let (mut attempts, mut next, mut may_have_run) = (0, 0, false);
        for event in events {
            if let Step::Attempt { from } = step {
                attempts += 1;
                prop_assert_eq!(from, next);
                prop_assert!(attempts <= MAX_ATTEMPTS);
                prop_assert!(
                    repeatable || !may_have_run,
                    "repeated after it may have run"
                );
            }
            may_have_run |= match &event {
                Event::Head | Event::Piece(_) => true,
                Event::AttemptFailed(state, _) | Event::DeadlinePassed(state) => {
                    state.run_state() != RunState::NotRun
                }
                _ => false,
            };
            let was_piece = match &event {
                Event::Piece(position) => Some(*position),
                _ => None,
            };
            let completed = matches!(event, Event::Completed(Some(end)) if end == next);
            step = machine.on(event, &mut budget, Millis(10));
            match &step {
                Step::Deliver => {
                    prop_assert_eq!(was_piece, Some(next));
                    next += 1;
                }
                Step::Finish => prop_assert!(completed),
                Step::Refuse(refusal) | Step::Abort(refusal) => {
                    let reports_not_run = refusal.run_state == RunState::NotRun;
                    let is_known_not_run = matches!(machine.run_state(), RunState::NotRun);
                    prop_assert_eq!(reports_not_run, is_known_not_run);
                    prop_assert!(!(reports_not_run && may_have_run));
                    return Ok(());
                }
                _ => {}
            }
        }
        Ok(())
    });
    outcome.expect("holds");
}

#[test]
fn selectors_follow_their_definition() {
    let outcome = runner().run(&(prop::option::of(0u8..3), 0u8..3), |(label, value)| {
        let labels = label.map_or_else(Labels::default, |label| {
            Labels::from_pairs([("tier", label.to_string().as_str())])
        });
        let holds = |operator, values: Vec<String>| {
            let expression = Expression {
                key: "tier".to_owned(),
                operator,
                values,
            };
            let selector = Selector {
                match_expressions: vec![expression],
                ..Selector::default()
            };
            assert_eq!(
                selector.matches(&labels),
                selector.mismatch(&labels).is_none()
            );
            selector.matches(&labels)
        };
        let values = vec![value.to_string()];
        prop_assert_eq!(holds(Operator::In, values.clone()), label == Some(value));
        prop_assert_eq!(holds(Operator::NotIn, values), label != Some(value));
        prop_assert_eq!(holds(Operator::Exists, Vec::new()), label.is_some());
        prop_assert_eq!(holds(Operator::DoesNotExist, Vec::new()), label.is_none());
        Ok(())
    });
    outcome.expect("holds");
}

#[test]
fn an_invalid_object_is_left_out_and_listed() {
    let none = Labels::default();
    let good = Object::new(
        Kind::Tenant,
        "good",
        none.clone(),
        json!({"keyHashes": [hash_key("k")]}),
    );
    let bad = Object::new(
        Kind::Tenant,
        "bad",
        none.clone(),
        json!({"keyHashes": ["short"]}),
    );
    let unknown = Object::new(Kind::Route, "odd", none, json!({"pool": "p", "typo": 1}));
    let snapshot = Snapshot::of([&good, &bad, &unknown].into_iter());
    assert!(snapshot.authenticate("k").is_some());
    assert!(snapshot.authenticate("other").is_none());
    let names: Vec<&str> = snapshot
        .rejected
        .iter()
        .map(|known| known.name.as_str())
        .collect();
    assert_eq!(names, ["bad", "odd"]);
    assert!(
        snapshot.rejected[1].reason.contains("typo"),
        "{:?}",
        snapshot.rejected
    );
}
