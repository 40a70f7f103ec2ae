//! The target's share of the requests over the whole fleet.

use crate::counts::answer;
use crate::gate_case::{
    gate, gate_at, offer, read_request, reason_of, send_once_request, view, NOW, SHARE,
};
use crate::stages::{progress, version};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::canary_choice::MIN_REPEATABLE_ANSWERS;
use ploverlift_rollout::counts::{Counts, RouteTag, Side};
use ploverlift_rollout::credits::Seat;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_rollout::share::{CanaryRequest, FleetView, Gate, GateReason, Joined, SETTLE_MS};
use proptest::prelude::*;

#[test]
fn the_share_is_kept_by_counts_not_at_random() {
    let mut gate = gate(SHARE);
    let nothing = Counts::default();
    let sent = (0..10_000).filter(|_| offer(&mut gate, &read_request(), &view(&nothing)));
    let sent = sent.count();
    assert!(
        (290..=320).contains(&sent),
        "{sent} of 10,000 at 0.03 and 20 to begin with"
    );
}

#[test]
fn eighty_one_nodes_with_one_request_each_keep_the_share() {
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
        sent += u64::from(offer(&mut gate, &read_request(), &view));
        let own = gate.report(PeerId(u64::from(rank)), 1).counts;
        sums.add(&own);
    }
    assert!(
        (1..=5).contains(&sent),
        "{sent}: 3 to begin with and 0.03 of 81"
    );
}

proptest! {
    /// Nodes that know nothing of each other, or any part of the counts, together never
    /// send more to the target than the bound.
    #[test]
    fn no_partition_of_the_fleet_exceeds_the_bound(
        nodes in 1u32..40,
        requests in proptest::collection::vec((any::<u32>(), any::<bool>()), 1..600),
    ) {
        let settings = RolloutSettings::default();
        let mut gates: Vec<Gate> = (0..nodes)
            .map(|_| gate(SHARE))
            .collect();
        let mut known = vec![(Counts::default(), Counts::default()); nodes as usize];
        let mut sent = 0u64;
        for (number, (node, has_synced)) in requests.iter().enumerate() {
            let node = (node % nodes) as usize;
            if *has_synced {
                let mut sums = Counts::default();
                gates.iter().for_each(|gate| sums.add(gate.own_counts()));
                known[node] = (sums, gates[node].own_counts().clone());
            }
            let (sums, own_in_sums) = &known[node];
            let view = FleetView {
                sums,
                own_in_sums: Some(own_in_sums),
                stage_verified_at: NOW,
                seat: Seat { rank: node as u32, nodes },
            };
            sent += u64::from(offer(&mut gates[node], &read_request(), &view));
            let bound = settings.canary_share * (number + 1) as f64 + settings.canary_slack as f64;
            prop_assert!(sent as f64 <= bound, "{sent} sent of {}", number + 1);
        }
    }
}

#[test]
fn unused_credits_of_other_nodes_are_used() {
    let sums = {
        let mut sums = Counts::default();
        (0..2_000).for_each(|_| sums.note_request(read_request().route, true));
        sums
    };
    let mut gate = gate(SHARE);
    let seat = Seat { rank: 5, nodes: 81 };
    let mut sent = 0;
    for _ in 0..200 {
        // The node's own counts are in the sums at once; no other node has traffic.
        let own = gate.own_counts().clone();
        let mut known = sums.clone();
        known.add(&own);
        let view = FleetView {
            own_in_sums: Some(&own),
            seat,
            ..view(&known)
        };
        sent += u64::from(offer(&mut gate, &read_request(), &view));
    }
    assert!(sent >= 2, "{sent}: its own credits are 1 at most");
    assert!(
        sent <= 3,
        "{sent}: 0.07 of 2,200 and 20 to begin with, by 81"
    );
}

#[test]
fn the_exposure_bound_of_the_fleet_stops_a_node_with_credits() {
    let mut sums = Counts::default();
    for _ in 0..100 {
        sums.note_request(read_request().route, true);
    }
    for _ in 0..48 {
        sums.note_target_arrival(RouteTag::of("other"));
    }
    let reason = reason_of(&gate(SHARE), &read_request(), &view(&sums));
    assert_eq!(reason, GateReason::ExposureBound);
}

#[test]
fn each_route_gets_its_share_of_the_canary() {
    let mut gate = gate(SHARE);
    let nothing = Counts::default();
    let rare = CanaryRequest {
        route: RouteTag::of("rare"),
        ..read_request()
    };
    let mut of_rare = 0;
    for number in 0..5_000 {
        let request = if number % 20 == 0 {
            rare
        } else {
            read_request()
        };
        let is_canary = offer(&mut gate, &request, &view(&nothing));
        of_rare += u64::from(is_canary && request.route == rare.route);
    }
    assert!(of_rare >= 5, "{of_rare} of 250 rare requests");
    assert!(of_rare <= 20, "{of_rare} of 250 rare requests");
}

#[test]
fn requests_that_may_run_once_reach_the_target_last_and_least() {
    let mut gate = gate(SHARE);
    let nothing = Counts::default();
    let before = (0..500).filter(|_| offer(&mut gate, &send_once_request(), &view(&nothing)));
    let before = before.count();
    // No request of the service is repeatable: half the share, after some requests.
    assert!(before <= 11, "{before} of 500");
    let mut gate = self::gate(SHARE);
    gate.note_request(read_request().route, true);
    let waits = (0..500).filter(|_| offer(&mut gate, &send_once_request(), &view(&nothing)));
    assert_eq!(waits.count(), 0, "too few answers to repeatable requests");
    for _ in 0..MIN_REPEATABLE_ANSWERS {
        gate.note_answer(read_request().route, Side::Target, &answer(false, 20));
    }
    let shown = (0..500).filter(|_| offer(&mut gate, &send_once_request(), &view(&nothing)));
    let shown = shown.count();
    assert!(
        (1..=18).contains(&shown),
        "{shown} of 500 at half of 0.03 and 3 to begin"
    );
}

#[test]
fn a_restarted_node_does_not_use_credits_of_its_former_life() {
    let mut gate = gate_at(SHARE, Joined::AfterOrder);
    let mut sums = Counts::default();
    (0..100).for_each(|_| sums.note_request(read_request().route, true));
    (0..23).for_each(|_| sums.note_target_arrival(RouteTag::of("other")));
    assert_eq!(
        reason_of(&gate, &read_request(), &view(&sums)),
        GateReason::NoCredit
    );
    let later = Millis(NOW.0 + SETTLE_MS);
    gate.advance(&view(&sums), later);
    assert_eq!(
        reason_of(&gate, &read_request(), &view(&sums)),
        GateReason::NoCredit
    );
    (0..100).for_each(|_| sums.note_request(read_request().route, true));
    assert_eq!(
        reason_of(&gate, &read_request(), &view(&sums)),
        GateReason::Canary
    );
}
