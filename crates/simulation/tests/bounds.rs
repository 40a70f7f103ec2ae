//! Time bounds: until a change is in force everywhere, until a restarted node
//! serves, and until a leaving engine gets no new requests.

use ploverlift_cluster::core::CLAIM_GROUP;
use ploverlift_policy::attempt::RunState;
use ploverlift_policy::objects::Kind;
use ploverlift_simulation::oracle::{Promise, TryOutcome};
use ploverlift_simulation::platform::PlatformMode;
use ploverlift_simulation::schedule::Operation;
use ploverlift_simulation::site::{zone_of, SiteSize};
use ploverlift_simulation::world::{ApplyOutcome, Mutations, World, CLAIM_RETENTION_MS};

/// A change must be in force everywhere within this time, in milliseconds.
const IN_FORCE_MS: u64 = 3_000;
/// A restarted node must have answered within this time, in milliseconds.
const FIRST_ANSWER_MS: u64 = 1_000;
/// Time in which any request is answered when nothing fails, in milliseconds.
const ANSWER_MS: u64 = 200;

fn settled(seed: u64) -> World {
    World::settled(seed, Mutations::default())
}

fn accept(world: &mut World, node: usize) -> u64 {
    match world.apply(node) {
        ApplyOutcome::Accepted(version) => version,
        other => panic!("{other:?}"),
    }
}

fn assert_in_force(world: &World, version: u64) {
    assert_eq!(world.nodes_with_route(version), world.node_count());
}

#[test]
fn a_change_is_in_force_everywhere_in_time() {
    for seed in 0..20 {
        let mut world = settled(seed);
        let version = accept(&mut world, seed as usize % 6);
        world.advance(IN_FORCE_MS);
        assert_in_force(&world, version);
    }
}

#[test]
fn a_change_is_in_force_in_time_when_the_platform_fails_after_accepting_it() {
    for seed in 0..20 {
        let mut world = settled(seed);
        let version = accept(&mut world, 1);
        world.platform.set_mode(PlatformMode::Down);
        world.network.loss = 0.05;
        world.advance(IN_FORCE_MS);
        assert_in_force(&world, version);
    }
}

#[test]
fn a_change_is_in_force_in_time_after_a_cut_has_healed() {
    for seed in 0..20 {
        let mut world = settled(seed);
        world.platform.set_mode(PlatformMode::Down);
        world.network.cut(&zone_of(0), &zone_of(1));
        world.network.cut(&zone_of(0), &zone_of(2));
        world.advance(20_000);
        world.platform.set_mode(PlatformMode::Up);
        let version = accept(&mut world, 1);
        world.platform.set_mode(PlatformMode::Down);
        world.advance(5_000);
        assert!(world.nodes_with_route(version) < world.node_count());
        world.network.heal();
        world.advance(IN_FORCE_MS);
        assert_in_force(&world, version);
    }
}

/// Sends requests to each node until it answers; returns the time of the slowest
/// node, or `None` when a node does not answer.
fn slowest_first_answer(world: &mut World, nodes: &[usize]) -> Option<u64> {
    let began = world.now;
    let mut waiting: Vec<usize> = nodes.to_vec();
    let mut slowest = None;
    while !waiting.is_empty() && world.now - began < 2 * FIRST_ANSWER_MS {
        let tries: Vec<_> = waiting
            .iter()
            .map(|node| (*node, world.request(*node, 0, 0)))
            .collect();
        world.advance(ANSWER_MS);
        for (node, try_id) in tries {
            let known = &world.oracle.tries[&try_id];
            if let (TryOutcome::Whole(_), Some(at)) = (&known.try_outcome, known.ended_at) {
                waiting.retain(|other| *other != node);
                slowest = slowest.max(Some(at - began));
            }
        }
    }
    if waiting.is_empty() {
        slowest
    } else {
        None
    }
}

#[test]
fn restarted_nodes_serve_in_time_without_the_platform() {
    for seed in 0..20 {
        let mut world = settled(seed);
        world.platform.set_mode(PlatformMode::Down);
        world.perform(&Operation::RestartHerd(seed as usize % 6));
        let restarted: Vec<usize> = (0..6).filter(|node| *node != seed as usize % 6).collect();
        let slowest = slowest_first_answer(&mut world, &restarted);
        assert!(
            slowest.is_some_and(|slowest| slowest <= FIRST_ANSWER_MS),
            "{slowest:?}"
        );
    }
}

#[test]
fn restarted_nodes_do_not_serve_without_configuration_from_peers() {
    let mutations = Mutations {
        no_config_from_peers: true,
        ..Mutations::default()
    };
    let mut world = World::settled(3, mutations);
    world.platform.set_mode(PlatformMode::Down);
    world.perform(&Operation::RestartHerd(0));
    assert_eq!(slowest_first_answer(&mut world, &[1, 2, 3, 4, 5]), None);
}

#[test]
fn every_node_restarted_at_once_serves_from_the_platform() {
    for seed in 0..20 {
        let mut world = settled(seed);
        for node in 0..6 {
            world.restart_node(node);
        }
        let slowest = slowest_first_answer(&mut world, &[0, 1, 2, 3, 4, 5]);
        assert!(
            slowest.is_some_and(|slowest| slowest <= FIRST_ANSWER_MS),
            "{slowest:?}"
        );
    }
}

#[test]
fn a_node_with_only_a_stale_peer_serves_and_then_catches_up() {
    for seed in 0..20 {
        let mut world = settled(seed);
        // Node 0 misses a change, and is then the only peer with a configuration.
        world.perform(&Operation::FreezeNode(0));
        let version = accept(&mut world, 1);
        world.advance(500);
        world.platform.set_mode(PlatformMode::Down);
        for node in 1..6 {
            world.perform(&Operation::KillNode(node));
        }
        world.perform(&Operation::ThawNode(0));
        world.perform(&Operation::RestartNode(1));
        let slowest = slowest_first_answer(&mut world, &[1]);
        assert!(
            slowest.is_some_and(|slowest| slowest <= FIRST_ANSWER_MS),
            "{slowest:?}"
        );
        world.platform.set_mode(PlatformMode::Up);
        world.advance(IN_FORCE_MS);
        assert_eq!(world.nodes_with_route(version), 2);
        assert_eq!(world.oracle.violations, Vec::new());
    }
}

#[test]
fn a_leaving_engine_gets_nothing_in_time_without_the_platform() {
    for seed in 0..20 {
        let mut world = settled(seed);
        world.platform.set_mode(PlatformMode::Down);
        world.perform(&Operation::LeaveEngine(seed as usize));
        for _ in 0..60 {
            for node in 0..6 {
                world.request(node, 0, 0);
            }
            world.advance(100);
        }
        let late = world.oracle.violations.iter();
        let late = late.filter(|found| found.promise == Promise::LeavingGetsNothing);
        assert_eq!(late.count(), 0);
    }
}

#[test]
fn claims_survive_the_restart_of_any_one_replica() {
    for seed in 0..20 {
        let mut world = settled(seed);
        let first = world.request_once(0, 1);
        world.advance(500);
        assert!(matches!(
            world.oracle.tries[&first].try_outcome,
            TryOutcome::Whole(_)
        ));
        let voters = world.voters();
        world.restart_node(seed as usize % 6);
        world.advance(3_000);
        assert_eq!(world.voters(), voters);
        let again = world.request_once(5, 1);
        world.advance(500);
        assert_eq!(
            world.oracle.tries[&again].try_outcome,
            TryOutcome::Replayed(1)
        );
    }
}

#[test]
fn requests_are_refused_until_retention_ends_after_all_replicas_lost_claims() {
    let mut world = settled(1);
    let first = world.request_once(0, 1);
    world.advance(500);
    assert!(matches!(
        world.oracle.tries[&first].try_outcome,
        TryOutcome::Whole(_)
    ));
    for node in 0..6 {
        world.restart_node(node);
    }
    world.advance(5_000);
    let again = world.request_once(2, 1);
    world.advance(300);
    let try_outcome = &world.oracle.tries[&again].try_outcome;
    assert_eq!(*try_outcome, TryOutcome::Refused(RunState::NotRun));
    // After the retention period of claims, new requests run again.
    world.advance(CLAIM_RETENTION_MS);
    let fresh = world.request_once(2, 2);
    world.advance(500);
    assert!(matches!(
        world.oracle.tries[&fresh].try_outcome,
        TryOutcome::Whole(_)
    ));
}

#[test]
fn an_operator_can_have_a_new_claim_group_made_when_all_replicas_are_gone() {
    let mut world = settled(2);
    let replicas: Vec<usize> = (0..6)
        .filter(|node| world.core(*node).is_some_and(|core| core.claims.votes()))
        .collect();
    assert_eq!(replicas.len(), 3);
    for node in &replicas {
        world.perform(&Operation::KillNode(*node));
    }
    let left = (0..6)
        .find(|node| !replicas.contains(node))
        .expect("three are left");
    world.advance(CLAIM_RETENTION_MS);
    let refused = world.request_once(left, 1);
    world.advance(2_000);
    let try_outcome = &world.oracle.tries[&refused].try_outcome;
    assert_eq!(*try_outcome, TryOutcome::Refused(RunState::NotRun));
    world.delete_object(Kind::ClaimGroup, CLAIM_GROUP);
    world.advance(6_000);
    let again = world.request_once(left, 1);
    world.advance(500);
    assert!(matches!(
        world.oracle.tries[&again].try_outcome,
        TryOutcome::Whole(_)
    ));
}

#[test]
fn few_nodes_read_the_object_api_in_every_state() {
    for seed in 0..10 {
        let mut world = settled(seed);
        assert!(world.readers() <= 2);
        for node in 1..6 {
            world.restart_node(node);
        }
        world.advance(400);
        let readers_after_restart = world.readers();
        assert!(
            readers_after_restart <= 3,
            "{readers_after_restart} readers just after the restart"
        );
        world.advance(10_000);
        assert!(world.readers() <= 2);
        world.network.cut(&zone_of(0), &zone_of(1));
        world.network.cut(&zone_of(0), &zone_of(2));
        world.advance(20_000);
        // Each side of the cut has up to two readers.
        assert!(world.readers() <= 4);
    }
}

#[test]
fn a_site_of_one_node_works_alone() {
    let size = SiteSize {
        nodes: 1,
        engines: 1,
    };
    let mut world = World::new(5, size, Mutations::default());
    world.advance(4_000);
    let repeatable = world.request(0, 0, 0);
    let once = world.request_once(0, 9);
    world.advance(500);
    assert!(matches!(
        world.oracle.tries[&repeatable].try_outcome,
        TryOutcome::Whole(_)
    ));
    assert!(matches!(
        world.oracle.tries[&once].try_outcome,
        TryOutcome::Whole(_)
    ));
}
