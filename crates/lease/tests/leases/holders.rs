//! Single scenarios of taking, renewing and losing a lease.

use crate::world::{Action, Violations, World, Write, TIMING};
use ploverlift_lease::{FencingToken, LeaseReason, LeaseStep};
use ploverlift_policy::ids::StoreEra;

const RENEW_OR_TAKE: Action = Action::RenewOrTake(Write::Answered);

/// A world in which node 0 has taken the lease, after waiting for a full lease duration
/// because an unknown holder may still act.
fn world_with_holder(nodes: usize, reports_era: bool) -> World {
    let mut world = World::new(nodes, reports_era);
    for node in 0..nodes {
        world.act(node, Action::Read);
    }
    world.now = world.now.plus(TIMING.duration_ms);
    world.act(0, RENEW_OR_TAKE);
    assert!(world.views[0].token(world.now).is_some());
    world
}

fn token(world: &World, node: usize) -> Option<FencingToken> {
    world.views[node].token(world.now)
}

#[test]
fn a_missing_lease_is_taken_only_after_a_full_duration() {
    let mut world = World::new(1, true);
    world.act(0, RENEW_OR_TAKE);
    world.now = world.now.plus(TIMING.duration_ms - 1);
    world.act(0, RENEW_OR_TAKE);
    assert_eq!(token(&world, 0), None);
    world.now = world.now.plus(1);
    world.act(0, RENEW_OR_TAKE);
    assert!(token(&world, 0).is_some());
}

#[test]
fn a_write_with_a_lost_answer_counts_from_its_start() {
    let mut world = World::new(1, true);
    world.act(0, Action::Read);
    world.now = world.now.plus(TIMING.duration_ms);
    let began = world.now;
    world.act(0, Action::RenewOrTake(Write::AnswerLost));
    world.act(0, Action::Order);
    assert_eq!(world.orders.len(), 1);
    world.now = began.plus(TIMING.stop_acting_after_ms);
    world.act(0, Action::Order);
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn a_holder_keeps_the_lease_until_it_stops_renewing() {
    let mut world = world_with_holder(2, true);
    for _ in 0..10 {
        world.act(0, RENEW_OR_TAKE);
        world.act(0, Action::Order);
        world.act(1, Action::Read);
        world.now = world.now.plus(400);
    }
    assert_eq!(world.orders.len(), 10);
    for _ in 0..12 {
        world.now = world.now.plus(400);
        world.act(1, RENEW_OR_TAKE);
        world.act(1, Action::Order);
    }
    assert_eq!(world.orders.last().map(|order| order.node), Some(1));
    assert_eq!(world.violations(), Violations::default());
}

#[test]
fn a_renewal_in_flight_does_not_revive_a_refused_token() {
    let mut world = world_with_holder(1, true);
    world.now = world.now.plus(TIMING.renew_after_ms);
    let refused = token(&world, 0).expect("a token");
    let LeaseStep::Write(renewal) = world.views[0].step(true, 99, world.now) else {
        panic!("a renewal was due");
    };
    assert_eq!(renewal.reason, LeaseReason::Renewal);
    world.views[0].on_token_refused(refused, world.now);
    let era = renewal.lease.era;
    world.views[0].on_written(renewal.lease, renewal.began, era, world.now);
    assert_eq!(token(&world, 0), None);
    world.act(0, Action::Read);
    world.now = world.now.plus(TIMING.renew_after_ms);
    world.act(0, RENEW_OR_TAKE);
    assert!(token(&world, 0) > Some(refused));
}

#[test]
fn a_superseded_holder_gets_a_write_conflict_and_waits() {
    let mut world = world_with_holder(2, true);
    world.act(1, Action::Read);
    world.now = world.now.plus(TIMING.duration_ms);
    world.act(1, RENEW_OR_TAKE);
    let successor = token(&world, 1).expect("a token");
    world.now = world.now.plus(TIMING.renew_after_ms);
    world.act(0, RENEW_OR_TAKE);
    assert_eq!(token(&world, 0), None);
    assert_eq!(token(&world, 1), Some(successor));
}

#[test]
fn a_holder_gives_no_more_orders_once_a_higher_token_is_announced() {
    let mut world = world_with_holder(2, false);
    let own = token(&world, 0).expect("a token");
    world.views[0].on_holder_announced(FencingToken(own.0 + 1), world.now);
    assert_eq!(token(&world, 0), None);
}

#[test]
fn a_holder_continues_at_once_in_a_later_era_with_a_higher_token() {
    let mut world = world_with_holder(2, true);
    let before = token(&world, 0);
    world.act(0, Action::LoseLease);
    world.views[0].on_era(StoreEra(2), world.now);
    assert_eq!(token(&world, 0), None);
    world.act(0, RENEW_OR_TAKE);
    assert!(token(&world, 0) > before);
}

#[test]
fn a_lapsed_holder_waits_in_a_later_era() {
    let mut world = world_with_holder(2, true);
    world.act(0, Action::LoseLease);
    world.now = world.now.plus(TIMING.stop_acting_after_ms);
    world.act(0, RENEW_OR_TAKE);
    world.act(0, RENEW_OR_TAKE);
    assert_eq!(token(&world, 0), None);
    world.now = world.now.plus(TIMING.duration_ms);
    world.act(0, RENEW_OR_TAKE);
    assert!(token(&world, 0).is_some());
}

/// Guards against a renewal that was sent before the store was restored being taken for a
/// renewal in the current era.
#[test]
fn a_write_of_an_earlier_era_is_no_renewal_in_a_later_one() {
    let mut world = world_with_holder(2, true);
    world.act(0, Action::CopyStore);
    world.now = world.now.plus(TIMING.renew_after_ms);
    world.act(0, Action::RenewOrTake(Write::AppliedAfter(600)));
    world.act(1, Action::RestoreStore);
    world.now = world.now.plus(600);
    // The write is applied to the restored copy, whose lease has the expected number.
    world.act(1, Action::Read);
    world.act(0, Action::Read);
    assert_eq!(token(&world, 0), None);
    assert!(!world.views[0].is_own_lease());
}
