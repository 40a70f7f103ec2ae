//! Sums over nodes: nothing is counted twice.

use crate::beliefs::{node_with_requests, reporter, route, service, NOW};
use ploverlift_balancing::catalogue::EngineCatalogue;
use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_gateway::peers::rollout_messages::RolloutReport;
use ploverlift_gateway::rollouts::exchange::Reporter;
use ploverlift_gateway::rollouts::RolloutBeliefs;
use ploverlift_rollout::counts::Counts;

#[test]
fn each_request_is_counted_once_however_often_it_is_reported() {
    let mut member = node_with_requests(5);
    let mut relays = [node_with_requests(1), node_with_requests(2)];
    let mut remote_relay = node_with_requests(3);
    let report = member.own_report(reporter(10), 1);
    for (index, relay) in relays.iter_mut().enumerate() {
        relay.merge_node_report(reporter(10), &report, NOW);
        relay.merge_node_report(reporter(10), &report, NOW);
        let own = reporter(20 + index as u64);
        relay.merge_own_counts(own);
    }
    // The relays of a zone receive each other's reports as nodes.
    let first = relays[0].own_report(reporter(20), 1);
    let second = relays[1].own_report(reporter(21), 1);
    relays[0].merge_node_report(reporter(21), &second, NOW);
    relays[1].merge_node_report(reporter(20), &first, NOW);
    for (index, relay) in relays.iter_mut().enumerate() {
        let zone = relay.zone_report(reporter(20 + index as u64), NOW);
        assert_eq!(zone.counts[0].counts.requests(), 8);
        remote_relay.merge_zone_report(ZoneTag(1), &zone, NOW);
    }
    remote_relay.merge_own_counts(reporter(30));
    let rollout = remote_relay.of_service(&service()).expect("a rollout");
    assert_eq!(rollout.fleet().sums().requests(), 11);
    // A delayed earlier report changes nothing; the counts of a later incarnation are added.
    remote_relay.merge_zone_report(ZoneTag(1), &report, NOW);
    let rollout = remote_relay.of_service(&service()).expect("a rollout");
    assert_eq!(rollout.fleet().sums().requests(), 11);
    let restarted = Reporter {
        node: PeerId(10),
        life: 2,
    };
    relays[0].merge_node_report(restarted, &report, NOW);
    let zone = relays[0].zone_report(reporter(20), NOW);
    assert_eq!(zone.counts[0].counts.requests(), 13);
}

#[test]
fn a_follower_knows_its_own_counts_within_the_reported_sums() {
    let mut relay = node_with_requests(0);
    let mut follower = node_with_requests(4);
    let report = follower.own_report(reporter(10), 77);
    relay.merge_node_report(reporter(10), &report, NOW);
    follower.note_request(&service(), &route("a"));
    let broadcast = relay
        .relay_broadcast(reporter(20), false, NOW)
        .expect("a broadcast");
    let catalogue = EngineCatalogue::default();
    follower.apply_sums(&broadcast, Some((77, NOW)), &catalogue, NOW);
    let rollout = follower.of_service(&service()).expect("a rollout");
    let known = rollout.known_sums(PeerId(10), 1, NOW);
    assert_eq!(known.sums.requests(), 4);
    assert_eq!(known.own.map(Counts::requests), Some(4));
    // The proof counts from the report that it answers, less the age that it gives itself.
    assert_eq!(follower.orders.proven_at(), Some(NOW));
    // The sums of a silent relay are no longer used.
    let known = rollout.known_sums(PeerId(10), 1, NOW.plus(900));
    assert_eq!(known.sums.requests(), 0);
}

#[test]
fn without_an_open_rollout_only_the_known_revision_is_broadcast() {
    let mut node = RolloutBeliefs::default();
    assert_eq!(node.relay_broadcast(reporter(1), true, NOW), None);
    node.note_orders_known(3, Some(NOW), &EngineCatalogue::default(), NOW);
    assert_eq!(node.own_report(reporter(1), 1), RolloutReport::default());
    assert_eq!(node.zone_report(reporter(1), NOW), RolloutReport::default());
    let later = NOW.plus(1_500);
    assert_eq!(node.relay_broadcast(reporter(1), false, later), None);
    let broadcast = node
        .relay_broadcast(reporter(1), true, later)
        .expect("a broadcast");
    assert_eq!((broadcast.known_through, broadcast.orders.len()), (3, 0));
}
