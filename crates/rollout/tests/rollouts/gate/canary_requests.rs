//! Which requests and engines are chosen for the canary.

use crate::gate_case::{gate, offer, read_request, reason_of, view, NOW, SHARE};
use crate::stages::version;
use ploverlift_rollout::canary_choice::{canary_engines, canary_subset};
use ploverlift_rollout::counts::{Counts, RouteTag};
use ploverlift_rollout::share::{CanaryRequest, GateReason};
use ploverlift_rollout::stage::RolloutNumber;
use ploverlift_routing::prompt::ChainKey;
use ploverlift_routing::software::SoftwareRule;

#[test]
fn the_canary_prefers_some_prompts_and_each_node_prefers_the_same() {
    let mut chosen = Vec::new();
    for _ in 0..2 {
        let mut gate = gate(SHARE);
        let mut sums = Counts::default();
        (0..200).for_each(|_| sums.note_request(read_request().route, true));
        (0..22).for_each(|_| sums.note_target_arrival(read_request().route));
        let prompts = (0..1_000).filter(|number| {
            let request = CanaryRequest {
                prompt: Some(ChainKey(*number)),
                ..read_request()
            };
            offer(&mut gate, &request, &view(&sums))
        });
        chosen.push(prompts.collect::<Vec<_>>());
    }
    assert!(chosen[0].len() >= 10, "{}", chosen[0].len());
    assert_eq!(chosen[0], chosen[1]);
    let decided = |number: &u64| {
        let request = CanaryRequest {
            prompt: Some(ChainKey(*number)),
            ..read_request()
        };
        let nothing = Counts::default();
        let first = gate(SHARE);
        reason_of(&first, &request, &view(&nothing))
    };
    let preferred = (0..1_000).filter(|number| decided(number) == GateReason::Canary);
    assert!(preferred.count() <= 1_000, "some");
}

#[test]
fn a_prompt_that_is_not_preferred_stays_on_established_engines() {
    let mut sums = Counts::default();
    (0..200).for_each(|_| sums.note_request(read_request().route, true));
    (0..23).for_each(|_| sums.note_target_arrival(RouteTag::of("other")));
    let gate = gate(SHARE);
    let went = |number: u64| {
        let request = CanaryRequest {
            prompt: Some(ChainKey(number)),
            ..read_request()
        };
        reason_of(&gate, &request, &view(&sums)) == GateReason::Canary
    };
    let preferred = (0..1_000).filter(|number| went(*number)).count();
    assert!(
        (60..=180).contains(&preferred),
        "{preferred} of 1,000 at 4 x 0.03"
    );
}

#[test]
fn a_request_that_the_canary_failed_is_retried_on_an_established_engine() {
    let nothing = Counts::default();
    let failed = CanaryRequest {
        was_failed_by_target: true,
        is_retry: true,
        ..read_request()
    };
    let decision = gate(SHARE).decide(&failed, &view(&nothing), NOW);
    assert_eq!(decision.rule, Some(SoftwareRule::Except(version("v2"))));
    assert_eq!(decision.reason, GateReason::SentBefore);
}

#[test]
fn the_canary_uses_few_engines_and_each_node_selects_the_same() {
    assert_eq!(
        canary_engines(60, 60, 50_000),
        3,
        "each as loaded as an established one"
    );
    assert_eq!(
        canary_engines(4, 4, 30_000),
        2,
        "one alone could not be told from its version"
    );
    assert_eq!(canary_engines(1, 4, 30_000), 1);
    let engines: Vec<u64> = (0..60).collect();
    let reversed: Vec<u64> = (0..60).rev().collect();
    let rollout = RolloutNumber(9);
    let subset = canary_subset(&engines, 3, rollout);
    assert_eq!(subset.len(), 3);
    assert_eq!(subset, canary_subset(&reversed, 3, rollout));
}
