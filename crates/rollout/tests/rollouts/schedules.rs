//! Properties over random schedules of partitions, kills, pauses and restarts, with
//! messages that are late, lost or duplicated.

use crate::fleet::scenario::{Defect, Disruption, Fault, MessageFaults, Scenario, SimService};
use crate::fleet::{services, Fleet};
use ploverlift_rollout::order::RolloutState;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_rollout::stage::Stage;
use proptest::prelude::*;

/// Simulated time after the deadline, in which the rollout can end, in milliseconds.
const AFTER_DEADLINE_MS: u64 = 12_000;

fn defect() -> impl Strategy<Value = Option<Defect>> {
    let bad = (0u64..12_000, 0.05f64..0.9, 1.0f64..9.0, any::<[bool; 3]>());
    proptest::option::of(
        bad.prop_map(
            |(from_ms, fails, slower, [is_slow, is_late, is_loaded])| Defect {
                from_ms: if is_late { from_ms } else { 0 },
                fails: if is_slow { 0.0 } else { fails },
                slower: if is_slow { slower } else { 1.0 },
                under_load: is_loaded,
                ..Defect::default()
            },
        ),
    )
}

fn disruption(nodes: u32) -> impl Strategy<Value = Disruption> {
    let fault = prop_oneof![Just(Fault::Cut), Just(Fault::Pause), Just(Fault::Kill)];
    let node = proptest::option::of(0..nodes);
    (node, fault, 0u64..14_000, 100u64..9_000).prop_map(|(node, fault, from_ms, for_ms)| {
        Disruption {
            node,
            fault,
            from_ms,
            for_ms,
        }
    })
}

fn message_faults() -> impl Strategy<Value = MessageFaults> {
    let away = proptest::option::of((0u64..12_000, 100u64..4_000));
    (0.0f64..0.5, 0.0f64..0.5, 0.0f64..0.5, away).prop_map(|(lost, doubled, answers_lost, away)| {
        MessageFaults {
            lost,
            doubled,
            answers_lost,
            store_unavailable: away.map(|(from, length)| (from, from + length)),
        }
    })
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let faults = proptest::collection::vec(disruption(12), 0..8);
    let service = (any::<bool>(), 20.0f64..400.0, 4_000u64..12_000);
    (service, defect(), faults, message_faults(), any::<u64>()).prop_map(
        |((is_model, rate, duration_ms), defect, disruptions, message_faults, seed)| {
            let service = match is_model {
                true => services::models(),
                false => services::payments(),
            };
            Scenario {
                service: SimService {
                    nodes: 12,
                    nodes_with_traffic: 12,
                    rate,
                    duration_ms,
                    ..service
                },
                settings: RolloutSettings::default(),
                defect,
                disruptions,
                message_faults,
                until_ms: duration_ms + AFTER_DEADLINE_MS,
                seed,
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn no_schedule_of_faults_exceeds_a_bound(scenario in scenario()) {
        let roll_back_ms = scenario.settings.roll_back_ms;
        let outcome = Fleet::run(scenario);
        prop_assert!(outcome.beyond_bound <= 0.0, "{}", outcome.beyond_bound);
        prop_assert_eq!(outcome.established_after_completed, 0);
        prop_assert_eq!(outcome.running_at_completed, 0);
        let ends = outcome.stages.iter().filter(|(_, stage, _)| stage.is_terminal());
        prop_assert!(ends.count() <= 1, "{:?}", outcome.stages);
        let is_first_canary = |stage: Option<Stage>| matches!(stage, Some(Stage::Canary { .. }) | None);
        prop_assert!(is_first_canary(outcome.stages.first().map(|(_, stage, _)| *stage)));
        if let (Some(at), Some(last)) =
            (outcome.at(RolloutState::RolledBack), outcome.last_target_arrival)
        {
            prop_assert!(last <= at + roll_back_ms, "{last} ms, rolled back at {at}");
        }
    }
}
