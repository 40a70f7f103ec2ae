//! Single courses of a lease.

use crate::world::{Action, Breaches, World, Write, TIMING};
use ploverlift_lease::{FencingToken, LeaseReason, LeaseStep};
use ploverlift_policy::ids::StoreEra;

const KEEP: Action = Action::Keep(Write::Answered);

/// A world whose node 0 has taken the lease, after the wait for a holder that may be alive.
fn held(nodes: usize, tells_era: bool) -> World {
    let mut world = World::new(nodes, tells_era);
    for node in 0..nodes {
        world.act(node, Action::Look);
    }
    world.now = world.now.plus(TIMING.duration_ms);
    world.act(0, KEEP);
    assert!(world.views[0].token(world.now).is_some());
    world
}

fn token(world: &World, node: usize) -> Option<FencingToken> {
    world.views[node].token(world.now)
}

#[test]
fn a_lease_that_is_not_there_is_waited_for_as_if_it_had_just_been_renewed() {
    let mut world = World::new(1, true);
    world.act(0, KEEP);
    world.now = world.now.plus(TIMING.duration_ms - 1);
    world.act(0, KEEP);
    assert_eq!(token(&world, 0), None);
    world.now = world.now.plus(1);
    world.act(0, KEEP);
    assert!(token(&world, 0).is_some());
}

#[test]
fn a_write_that_is_found_done_counts_from_its_beginning() {
    let mut world = World::new(1, true);
    world.act(0, Action::Look);
    world.now = world.now.plus(TIMING.duration_ms);
    let began = world.now;
    world.act(0, Action::Keep(Write::AnswerLost));
    world.act(0, Action::Order);
    assert_eq!(world.orders.len(), 1);
    world.now = began.plus(TIMING.stop_acting_after_ms);
    world.act(0, Action::Order);
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn a_holder_that_renews_goes_on_and_a_successor_follows_it() {
    let mut world = held(2, true);
    for _ in 0..10 {
        world.act(0, KEEP);
        world.act(0, Action::Order);
        world.act(1, Action::Look);
        world.now = world.now.plus(400);
    }
    assert_eq!(world.orders.len(), 10);
    for _ in 0..12 {
        world.now = world.now.plus(400);
        world.act(1, KEEP);
        world.act(1, Action::Order);
    }
    assert_eq!(world.orders.last().map(|order| order.node), Some(1));
    assert_eq!(world.breaches(), Breaches::default());
}

#[test]
fn a_renewal_on_its_way_does_not_revive_a_refused_token() {
    let mut world = held(1, true);
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
    world.act(0, Action::Look);
    world.now = world.now.plus(TIMING.renew_after_ms);
    world.act(0, KEEP);
    assert!(token(&world, 0) > Some(refused));
}

#[test]
fn a_holder_that_was_overtaken_conflicts_and_waits() {
    let mut world = held(2, true);
    world.act(1, Action::Look);
    world.now = world.now.plus(TIMING.duration_ms);
    world.act(1, KEEP);
    let successor = token(&world, 1).expect("a token");
    world.now = world.now.plus(TIMING.renew_after_ms);
    world.act(0, KEEP);
    assert_eq!(token(&world, 0), None);
    assert_eq!(token(&world, 1), Some(successor));
}

#[test]
fn a_holder_that_hears_a_higher_token_gives_no_more_orders() {
    let mut world = held(2, false);
    let own = token(&world, 0).expect("a token");
    world.views[0].on_holder_announced(FencingToken(own.0 + 1), world.now);
    assert_eq!(token(&world, 0), None);
}

#[test]
fn a_holder_goes_on_at_once_in_a_later_era_and_under_a_higher_token() {
    let mut world = held(2, true);
    let before = token(&world, 0);
    world.act(0, Action::LoseLease);
    world.views[0].on_era(StoreEra(2), world.now);
    assert_eq!(token(&world, 0), None);
    world.act(0, KEEP);
    assert!(token(&world, 0) > before);
}

#[test]
fn a_holder_whose_right_is_over_when_it_learns_of_a_later_era_waits() {
    let mut world = held(2, true);
    world.act(0, Action::LoseLease);
    world.now = world.now.plus(TIMING.stop_acting_after_ms);
    world.act(0, KEEP);
    world.act(0, KEEP);
    assert_eq!(token(&world, 0), None);
    world.now = world.now.plus(TIMING.duration_ms);
    world.act(0, KEEP);
    assert!(token(&world, 0).is_some());
}

/// A node took a renewal that had been written before the store came back for one of the
/// present era.
#[test]
fn a_write_of_an_earlier_era_is_no_renewal_in_a_later_one() {
    let mut world = held(2, true);
    world.act(0, Action::Copy);
    world.now = world.now.plus(TIMING.renew_after_ms);
    world.act(0, Action::Keep(Write::DoneAfter(600)));
    world.act(1, Action::Restore);
    world.now = world.now.plus(600);
    // The write lands on the copy, whose lease has the number that it expects.
    world.act(1, Action::Look);
    world.act(0, Action::Look);
    assert_eq!(token(&world, 0), None);
    assert!(!world.views[0].is_own_lease());
}
