//! A node's gate, sentence by sentence.

use crate::counts::answer;
use crate::stages::progress;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::canary_choice::{canary_engines, canary_subset, SHOWN_ANSWERS};
use ploverlift_rollout::counts::{Counts, RouteTag, Side};
use ploverlift_rollout::credits::Seat;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_rollout::share::{
    CanaryRequest, FleetView, Gate, GateReason, Joined, LOST_TOUCH_MARGIN_MS, SETTLE_MS,
    STAGE_LEASE_MS,
};
use ploverlift_rollout::stage::{Epoch, Progress, RollBackCause, RolloutNumber, Stage};
use ploverlift_routing::prompt::ChainKey;
use ploverlift_routing::software::{SoftwareRule, SoftwareVersion};
use proptest::prelude::*;

const NOW: Millis = Millis(100_000);
const SHARE: Stage = Stage::Canary { share_ppm: 30_000 };
const ALONE: Seat = Seat { rank: 0, nodes: 1 };

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion(name.to_owned())
}

fn gate_at(stage: Stage, joined: Joined) -> Gate {
    let settings = RolloutSettings::default();
    Gate::new(
        settings,
        version("v2"),
        progress(stage, 12_000),
        joined,
        NOW,
    )
}

fn gate(stage: Stage) -> Gate {
    gate_at(stage, Joined::BeforeOrder)
}

fn view(sums: &Counts) -> FleetView<'_> {
    FleetView {
        sums,
        own_in_sums: None,
        stage_heard_at: NOW,
        seat: ALONE,
    }
}

fn read() -> CanaryRequest {
    CanaryRequest {
        route: RouteTag::of("read"),
        is_repeatable: true,
        prompt: None,
        was_failed_by_target: false,
        is_retry: false,
    }
}

fn send() -> CanaryRequest {
    CanaryRequest {
        route: RouteTag::of("send"),
        is_repeatable: false,
        ..read()
    }
}

/// Offers a request; true if it went to the target.
fn offer(gate: &mut Gate, request: &CanaryRequest, view: &FleetView<'_>) -> bool {
    let decision = gate.decide(request, view, NOW);
    gate.note_request(request.route, request.is_repeatable);
    let is_canary = decision.reason == GateReason::Canary;
    if is_canary {
        assert_eq!(decision.rule, Some(SoftwareRule::Only(version("v2"))));
        gate.note_target_arrival(request.route);
    }
    is_canary
}

fn reason_of(gate: &Gate, request: &CanaryRequest, view: &FleetView<'_>) -> GateReason {
    gate.decide(request, view, NOW).reason
}

#[test]
fn the_share_is_kept_by_counts_not_by_dice() {
    let mut gate = gate(SHARE);
    let nothing = Counts::default();
    let sent = (0..10_000).filter(|_| offer(&mut gate, &read(), &view(&nothing)));
    let sent = sent.count();
    assert!(
        (290..=320).contains(&sent),
        "{sent} of 10,000 at 0.03 and 20 to begin with"
    );
}

#[test]
fn eighty_one_nodes_with_a_request_each_count_exactly() {
    let settings = RolloutSettings::default();
    let mut present = progress(SHARE, 12_000);
    present.credits = 3;
    let mut sums = Counts::default();
    let mut sent = 0;
    for rank in 0..81 {
        let mut gate = Gate::new(
            settings,
            version("v2"),
            present.clone(),
            Joined::BeforeOrder,
            NOW,
        );
        let seat = Seat { rank, nodes: 81 };
        let view = FleetView {
            seat,
            ..view(&sums)
        };
        sent += u64::from(offer(&mut gate, &read(), &view));
        let own = gate.report(PeerId(u64::from(rank)), 1).counts;
        sums.add(&own);
    }
    assert!(
        (1..=5).contains(&sent),
        "{sent}: 3 to begin with and 0.03 of 81"
    );
}

proptest! {
    /// Nodes that hear nothing of each other, or whatever part of the counts: together
    /// they never send more than the bound.
    #[test]
    fn no_division_of_the_fleet_breaks_the_bound(
        nodes in 1u32..40,
        requests in proptest::collection::vec((any::<u32>(), any::<bool>()), 1..600),
    ) {
        let settings = RolloutSettings::default();
        let mut gates: Vec<Gate> = (0..nodes)
            .map(|_| gate(SHARE))
            .collect();
        let mut known = vec![(Counts::default(), Counts::default()); nodes as usize];
        let mut sent = 0u64;
        for (number, (node, is_told)) in requests.iter().enumerate() {
            let node = (node % nodes) as usize;
            if *is_told {
                let mut sums = Counts::default();
                gates.iter().for_each(|gate| sums.add(gate.own()));
                known[node] = (sums, gates[node].own().clone());
            }
            let (sums, own_in_sums) = &known[node];
            let view = FleetView {
                sums,
                own_in_sums: Some(own_in_sums),
                stage_heard_at: NOW,
                seat: Seat { rank: node as u32, nodes },
            };
            sent += u64::from(offer(&mut gates[node], &read(), &view));
            let bound = settings.canary_share * (number + 1) as f64 + settings.canary_slack as f64;
            prop_assert!(sent as f64 <= bound, "{sent} sent of {}", number + 1);
        }
    }
}

#[test]
fn others_unused_credits_are_used() {
    let sums = {
        let mut sums = Counts::default();
        (0..2_000).for_each(|_| sums.note_request(read().route, true));
        sums
    };
    let mut gate = gate(SHARE);
    let seat = Seat { rank: 5, nodes: 81 };
    let mut sent = 0;
    for _ in 0..200 {
        // Its own part is in the sums at once; it alone has traffic.
        let own = gate.own().clone();
        let mut known = sums.clone();
        known.add(&own);
        let view = FleetView {
            own_in_sums: Some(&own),
            seat,
            ..view(&known)
        };
        sent += u64::from(offer(&mut gate, &read(), &view));
    }
    assert!(sent >= 2, "{sent}: its own credits are 1 at most");
    assert!(
        sent <= 3,
        "{sent}: 0.07 of 2,200 and 20 to begin with, by 81"
    );
}

#[test]
fn the_fleets_bound_stops_a_node_with_credits() {
    let mut sums = Counts::default();
    for _ in 0..100 {
        sums.note_request(read().route, true);
    }
    for _ in 0..48 {
        sums.note_target_arrival(RouteTag::of("other"));
    }
    let reason = reason_of(&gate(SHARE), &read(), &view(&sums));
    assert_eq!(reason, GateReason::ExposureBound);
}

#[test]
fn the_canary_keeps_to_some_prompts_and_each_node_to_the_same() {
    let mut chosen = Vec::new();
    for _ in 0..2 {
        let mut gate = gate(SHARE);
        let mut sums = Counts::default();
        (0..200).for_each(|_| sums.note_request(read().route, true));
        (0..22).for_each(|_| sums.note_target_arrival(read().route));
        let prompts = (0..1_000).filter(|number| {
            let request = CanaryRequest {
                prompt: Some(ChainKey(*number)),
                ..read()
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
            ..read()
        };
        let nothing = Counts::default();
        let first = gate(SHARE);
        reason_of(&first, &request, &view(&nothing))
    };
    let preferred = (0..1_000).filter(|number| decided(number) == GateReason::Canary);
    assert!(preferred.count() <= 1_000, "some");
}

#[test]
fn a_prompt_that_is_not_preferred_stays_where_its_cache_is() {
    let mut sums = Counts::default();
    (0..200).for_each(|_| sums.note_request(read().route, true));
    (0..23).for_each(|_| sums.note_target_arrival(RouteTag::of("other")));
    let gate = gate(SHARE);
    let went = |number: u64| {
        let request = CanaryRequest {
            prompt: Some(ChainKey(number)),
            ..read()
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
fn each_route_gets_its_part() {
    let mut gate = gate(SHARE);
    let nothing = Counts::default();
    let rare = CanaryRequest {
        route: RouteTag::of("rare"),
        ..read()
    };
    let mut of_rare = 0;
    for number in 0..5_000 {
        let request = if number % 20 == 0 { rare } else { read() };
        let is_canary = offer(&mut gate, &request, &view(&nothing));
        of_rare += u64::from(is_canary && request.route == rare.route);
    }
    assert!(of_rare >= 5, "{of_rare} of 250 rare requests");
    assert!(of_rare <= 20, "{of_rare} of 250 rare requests");
}

#[test]
fn what_may_run_once_goes_last_and_least() {
    let mut gate = gate(SHARE);
    let nothing = Counts::default();
    let before = (0..500).filter(|_| offer(&mut gate, &send(), &view(&nothing)));
    let before = before.count();
    // Nothing of the service may be repeated: half the share, after some requests.
    assert!(before <= 11, "{before} of 500");
    let mut gate = self::gate(SHARE);
    gate.note_request(read().route, true);
    let waits = (0..500).filter(|_| offer(&mut gate, &send(), &view(&nothing)));
    assert_eq!(waits.count(), 0, "reads have not shown it yet");
    for _ in 0..SHOWN_ANSWERS {
        gate.note_answer(read().route, Side::Target, &answer(false, 20));
    }
    let shown = (0..500).filter(|_| offer(&mut gate, &send(), &view(&nothing)));
    let shown = shown.count();
    assert!(
        (1..=18).contains(&shown),
        "{shown} of 500 at half of 0.03 and 3 to begin"
    );
}

#[test]
fn what_the_canary_failed_goes_to_an_established_engine() {
    let nothing = Counts::default();
    let failed = CanaryRequest {
        was_failed_by_target: true,
        is_retry: true,
        ..read()
    };
    let decision = gate(SHARE).decide(&failed, &view(&nothing), NOW);
    assert_eq!(decision.rule, Some(SoftwareRule::Except(version("v2"))));
    assert_eq!(decision.reason, GateReason::SentBefore);
}

#[test]
fn old_news_of_the_stage_stop_the_canary_and_then_all() {
    let nothing = Counts::default();
    let heard = |ms: u64| FleetView {
        stage_heard_at: Millis(NOW.0 - ms),
        ..view(&nothing)
    };
    let gate = gate(SHARE);
    assert_eq!(
        reason_of(&gate, &read(), &heard(STAGE_LEASE_MS)),
        GateReason::Canary
    );
    let expired = gate.decide(&read(), &heard(STAGE_LEASE_MS + 1), NOW);
    assert_eq!(expired.reason, GateReason::StageLeaseExpired);
    assert_eq!(expired.rule, Some(SoftwareRule::Except(version("v2"))));
    let silent = gate.decide(&read(), &heard(5_001), NOW);
    assert_eq!(silent.reason, GateReason::SilentTooLong);
    assert_eq!(silent.rule, None);
}

#[test]
fn after_the_cut_over_began_established_engines_get_nothing() {
    let nothing = Counts::default();
    let gate = gate(Stage::CuttingOver);
    let decision = gate.decide(&read(), &view(&nothing), NOW);
    assert_eq!(decision.rule, Some(SoftwareRule::Only(version("v2"))));
    // Whoever is cut off from a roll back stops before its bound is over.
    let roll_back_ms = RolloutSettings::default().roll_back_ms;
    let lost_touch = FleetView {
        stage_heard_at: Millis(NOW.0 - (roll_back_ms - LOST_TOUCH_MARGIN_MS) - 1),
        ..view(&nothing)
    };
    let decision = gate.decide(&read(), &lost_touch, NOW);
    assert_eq!(decision.reason, GateReason::LostTouchInCutOver);
    assert_eq!(decision.rule, None);
}

#[test]
fn a_store_that_is_away_in_a_cut_over_ends_nothing_while_the_evidence_is_clean() {
    let away = |sums| FleetView {
        stage_heard_at: Millis(NOW.0 - STAGE_LEASE_MS - 500),
        ..view(sums)
    };
    let nothing = Counts::default();
    let mut gate = gate(Stage::CuttingOver);
    let decision = gate.decide(&read(), &away(&nothing), NOW);
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
    let stopped = gate.decide(&read(), &away(&bad), NOW);
    assert_eq!(stopped.reason, GateReason::StoppedByEvidence);
    assert_eq!(stopped.rule, None);
}

#[test]
fn a_later_life_uses_nothing_before_it_hears_of_the_stage_itself() {
    let nothing = Counts::default();
    for stage in [SHARE, Stage::CuttingOver] {
        let gate = gate_at(stage, Joined::AfterOrder);
        let old_news = FleetView {
            stage_heard_at: Millis(NOW.0 - 1),
            ..view(&nothing)
        };
        let decision = gate.decide(&read(), &old_news, NOW);
        assert_eq!(
            (decision.rule, decision.reason),
            (None, GateReason::StageNotConfirmed)
        );
    }
}

#[test]
fn a_later_life_does_not_use_its_former_lifes_credits() {
    let mut gate = gate_at(SHARE, Joined::AfterOrder);
    let mut sums = Counts::default();
    (0..100).for_each(|_| sums.note_request(read().route, true));
    (0..23).for_each(|_| sums.note_target_arrival(RouteTag::of("other")));
    assert_eq!(
        reason_of(&gate, &read(), &view(&sums)),
        GateReason::NoCredit
    );
    let later = Millis(NOW.0 + SETTLE_MS);
    gate.advance(&view(&sums), later);
    assert_eq!(
        reason_of(&gate, &read(), &view(&sums)),
        GateReason::NoCredit
    );
    (0..100).for_each(|_| sums.note_request(read().route, true));
    assert_eq!(reason_of(&gate, &read(), &view(&sums)), GateReason::Canary);
}

#[test]
fn a_node_that_sees_it_badly_alone_stops_at_once() {
    let nothing = Counts::default();
    let mut gate = gate(SHARE);
    for _ in 0..40 {
        gate.note_answer(read().route, Side::Established, &answer(false, 20));
    }
    for _ in 0..6 {
        assert!(gate.own_finding().is_none());
        gate.note_answer(read().route, Side::Target, &answer(true, 0));
    }
    assert!(gate.own_finding().is_some());
    assert_eq!(
        reason_of(&gate, &read(), &view(&nothing)),
        GateReason::StoppedByEvidence
    );
    assert!(gate.confirm(0).has_stopped);
}

#[test]
fn requests_that_both_versions_fail_stop_nobody() {
    let mut gate = gate(SHARE);
    for _ in 0..20 {
        gate.note_answer(read().route, Side::Established, &answer(true, 0));
        gate.note_answer(read().route, Side::Target, &answer(true, 0));
    }
    assert!(gate.own_finding().is_none());
}

#[test]
fn many_bad_answers_of_the_fleet_stop_each_node_without_a_decider() {
    let mut sums = Counts::default();
    for number in 0..2_000 {
        sums.note_request(read().route, true);
        sums.note_answer(read().route, Side::Established, &answer(false, number % 50));
    }
    (0..26).for_each(|_| sums.note_answer(read().route, Side::Target, &answer(true, 0)));
    assert_eq!(
        reason_of(&gate(SHARE), &read(), &view(&sums)),
        GateReason::StoppedByEvidence
    );
    let mut leaving = gate(Stage::CuttingOver);
    let before = leaving.decide(&read(), &view(&sums), NOW);
    assert_eq!(
        before.rule,
        Some(SoftwareRule::Except(version("v2"))),
        "not left yet"
    );
    assert!(leaving.confirm(0).has_left_established);
    assert_eq!(
        leaving.decide(&read(), &view(&sums), NOW).rule,
        None,
        "left for good"
    );
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
    gate.take_progress(at(13, Stage::CuttingOver));
    let confirmation = gate.confirm(2);
    assert!(confirmation.has_left_established);
    assert_eq!(confirmation.running_on_established, 2);
    gate.take_progress(at(12, SHARE));
    assert_eq!(
        reason_of(&gate, &read(), &view(&nothing)),
        GateReason::CuttingOver
    );
    gate.take_progress(at(14, SHARE));
    assert_ne!(
        reason_of(&gate, &read(), &view(&nothing)),
        GateReason::CuttingOver
    );
}

#[test]
fn ends_need_no_news() {
    let nothing = Counts::default();
    let unheard = FleetView {
        stage_heard_at: Millis(0),
        ..view(&nothing)
    };
    let completed = gate(Stage::Completed).decide(&read(), &unheard, NOW).rule;
    let completed = completed.expect("a rule");
    assert!(!completed.allows(&version("v1")));
    assert!(completed.allows(&version("v2")));
    assert!(
        completed.allows(&version("v3")),
        "a release without an order, later"
    );
    let cause = RollBackCause::BadAnswers;
    let back = gate(Stage::RolledBack { cause })
        .decide(&read(), &unheard, NOW)
        .rule;
    assert_eq!(back, Some(SoftwareRule::Except(version("v2"))));
}

#[test]
fn what_older_orders_left_without_proof_serves_nothing_either() {
    let nothing = Counts::default();
    let present = Progress {
        avoided: vec![version("v0")],
        ..progress(SHARE, 12_000)
    };
    let settings = RolloutSettings::default();
    let gate = Gate::new(settings, version("v2"), present, Joined::BeforeOrder, NOW);
    let retry = CanaryRequest {
        is_retry: true,
        ..read()
    };
    let rule = gate
        .decide(&retry, &view(&nothing), NOW)
        .rule
        .expect("a rule");
    assert!(!rule.allows(&version("v0")));
    assert!(!rule.allows(&version("v2")));
    assert!(rule.allows(&version("v1")));
}

#[test]
fn few_engines_carry_the_canary_and_each_node_takes_the_same() {
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
