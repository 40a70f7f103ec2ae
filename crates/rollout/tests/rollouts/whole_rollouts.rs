//! Complete rollouts over a simulated fleet.

use crate::fleet::outcome::Outcome;
use crate::fleet::scenario::{Defect, Disruption, Fault, MessageFaults, Scenario, SimService};
use crate::fleet::{services, Fleet};
use ploverlift_rollout::order::RolloutState;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_rollout::stage::{RollBackCause, Stage};

fn scenario(service: SimService, defect: Option<Defect>, seed: u64) -> Scenario {
    Scenario {
        until_ms: service.duration_ms + 15_000,
        service,
        settings: RolloutSettings::default(),
        defect,
        disruptions: Vec::new(),
        message_faults: MessageFaults::default(),
        seed,
    }
}

fn both() -> [SimService; 2] {
    [services::models(), services::payments()]
}

fn fails(fails: f64) -> Defect {
    Defect {
        fails,
        ..Defect::default()
    }
}

fn assert_rolled_back(outcome: &Outcome) {
    assert!(
        outcome.at(RolloutState::RolledBack).is_some(),
        "{:?}",
        outcome.stages
    );
    assert_eq!(outcome.at(RolloutState::Completed), None);
    assert!(outcome.beyond_bound <= 0.0, "{}", outcome.beyond_bound);
    assert!(outcome.stopped_after().unwrap_or(0) <= 5_000, "{outcome:?}");
}

#[test]
fn a_good_version_is_completed_without_interrupted_requests() {
    for service in both() {
        let outcome = Fleet::run(scenario(service, None, 1));
        assert!(
            outcome.at(RolloutState::Completed).is_some(),
            "{:?}",
            outcome.stages
        );
        assert_eq!(outcome.established_after_completed, 0);
        assert_eq!(outcome.running_at_completed, 0);
        assert_eq!(outcome.unserved, 0);
        assert!(outcome.beyond_bound <= 0.0);
    }
}

#[test]
fn the_share_is_exact_and_each_route_gets_requests() {
    for service in both() {
        let outcome = Fleet::run(scenario(service, None, 2));
        assert!(
            (0.045..0.065).contains(&outcome.share()),
            "{}",
            outcome.share()
        );
        let counts = outcome.arrivals_by_route.iter().map(|(_, count)| *count);
        assert!(counts.min() > Some(10), "{:?}", outcome.arrivals_by_route);
    }
}

#[test]
fn requests_that_fail_by_themselves_do_not_block_a_good_version() {
    let service = SimService {
        own_failures: 0.14,
        ..services::payments()
    };
    for seed in 0..20 {
        let outcome = Fleet::run(scenario(service.clone(), None, seed));
        let is_shown = outcome.first_once_after.is_some();
        assert!(is_shown, "seed {seed}: {:?}", outcome.stages);
        let stages = &outcome.stages;
        assert_eq!(
            outcome.at(RolloutState::RolledBack),
            None,
            "{seed}: {stages:?}"
        );
        assert!(outcome.at(RolloutState::Completed).is_some(), "seed {seed}");
    }
    let on_send = Defect {
        route: Some("send"),
        ..fails(0.4)
    };
    assert_rolled_back(&Fleet::run(scenario(service, Some(on_send), 10)));
}

#[test]
fn a_long_order_is_completed_in_time() {
    for service in both() {
        let service = SimService {
            duration_ms: 60_000,
            ..service
        };
        let outcome = Fleet::run(scenario(service, None, 11));
        let at = outcome.at(RolloutState::Completed);
        assert!(at.is_some_and(|at| at <= 60_000), "{:?}", outcome.stages);
        assert!(outcome.beyond_bound <= 0.0);
    }
}

#[test]
fn requests_that_may_run_once_wait_for_twenty_answers() {
    let outcome = Fleet::run(scenario(services::payments(), None, 3));
    assert!(
        outcome.first_once_after >= Some(20),
        "{:?}",
        outcome.first_once_after
    );
}

#[test]
fn bad_versions_of_each_kind_are_rolled_back() {
    let slower = |slower| Defect {
        slower,
        ..Defect::default()
    };
    let kinds = [
        fails(0.05),
        fails(0.2),
        fails(0.6),
        slower(4.0),
        slower(8.0),
        Defect {
            from_ms: 9_000,
            ..fails(0.3)
        },
        Defect {
            under_load: true,
            ..fails(0.2)
        },
        Defect {
            after_cut_over_ms: Some(500),
            ..fails(0.3)
        },
    ];
    for service in both() {
        for defect in kinds {
            assert_rolled_back(&Fleet::run(scenario(service.clone(), Some(defect), 4)));
        }
        let route = Some(service.routes[1].name);
        let on_one_route = Defect {
            route,
            ..fails(0.4)
        };
        assert_rolled_back(&Fleet::run(scenario(service, Some(on_one_route), 4)));
    }
}

#[test]
fn nodes_use_more_than_their_own_credits_when_few_have_traffic() {
    let service = SimService {
        nodes_with_traffic: 12,
        ..services::models()
    };
    let outcome = Fleet::run(scenario(service, None, 5));
    let own_credits = 0.05 * 12.0 / 81.0;
    assert!(outcome.share() > 1.3 * own_credits, "{}", outcome.share());
    assert!(outcome.at(RolloutState::Completed).is_some());
}

#[test]
fn a_rollout_without_target_engines_is_rolled_back() {
    let service = SimService {
        engines_after_ms: None,
        ..services::payments()
    };
    let outcome = Fleet::run(scenario(service, None, 6));
    let cause = RollBackCause::NoEngines;
    let last = outcome.stages.last().map(|(at, stage, _)| (*at, *stage));
    let (at, stage) = last.expect("a terminal stage");
    assert_eq!(stage, Stage::RolledBack { cause });
    assert!((12_000..12_500).contains(&at), "{at} ms");
    assert_eq!(outcome.unserved, 0);
}

#[test]
fn a_killed_cut_off_or_paused_decider_leads_to_one_correct_state() {
    for fault in [Fault::Kill, Fault::Cut, Fault::Pause] {
        for from_ms in [1_000, 6_000, 11_800, 12_300] {
            let disruption = Disruption {
                node: None,
                fault,
                from_ms,
                for_ms: 4_500,
            };
            let mut good = scenario(services::payments(), None, 7);
            good.disruptions.push(disruption);
            let outcome = Fleet::run(good);
            assert!(
                outcome.at(RolloutState::Completed).is_some(),
                "{fault:?} at {from_ms}"
            );
            assert_eq!(
                outcome.established_after_completed, 0,
                "{fault:?} at {from_ms}"
            );
            let mut bad = scenario(services::payments(), Some(fails(0.5)), 7);
            bad.disruptions.push(disruption);
            let outcome = Fleet::run(bad);
            assert!(
                outcome.at(RolloutState::RolledBack).is_some(),
                "{fault:?} at {from_ms}"
            );
            assert!(outcome.beyond_bound <= 0.0, "{fault:?} at {from_ms}");
        }
    }
}

#[test]
fn a_store_outage_at_the_deadline_breaks_no_bound() {
    for defect in [None, Some(fails(0.5))] {
        let mut away = scenario(services::payments(), defect, 8);
        away.message_faults.store_unavailable = Some((11_000, 14_000));
        let outcome = Fleet::run(away);
        assert!(outcome.beyond_bound <= 0.0);
        assert_eq!(outcome.established_after_completed, 0);
        let is_ended = outcome
            .stages
            .last()
            .is_some_and(|(_, stage, _)| stage.is_terminal());
        assert!(is_ended, "{:?}", outcome.stages);
    }
}

#[test]
fn a_hot_prompt_and_a_burst_do_not_exceed_the_bound() {
    let service = SimService {
        hot_prompt: Some(0.8),
        burst: Some((11_500, 3.0)),
        ..services::models()
    };
    let outcome = Fleet::run(scenario(service, Some(fails(0.05)), 9));
    assert!(outcome.beyond_bound <= 0.0, "{}", outcome.beyond_bound);
}
