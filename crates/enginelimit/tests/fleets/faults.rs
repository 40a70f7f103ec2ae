//! Holders that stop, stall or are partitioned; nodes that start; lost datagrams.

use crate::bounds::most_in_window;
use crate::world::{World, KNOWN_AFTER_MS};

/// The rate that engines advertise, in requests a second.
const LIMIT: f64 = 1.7;
/// Nodes, engines and requests a second of these fleets.
const NODES: usize = 7;
const ENGINES: usize = 18;
const DEMAND: f64 = 180.0;
/// Runs of each fault, each with its own random seed.
const SEEDS: u64 = 20;

/// A fleet in which one third of the engines advertises the limit.
fn limited(nodes: usize, seed: u64) -> World {
    let mut world = World::new(nodes, ENGINES, DEMAND, seed);
    world.run(1_000);
    for engine in 0..ENGINES / 3 {
        world.limits[engine] = Some(LIMIT);
    }
    world.run(KNOWN_AFTER_MS);
    world
}

/// Checks the bound on all limited engines from now until `play` returns.
fn check_bound_during(
    world: &mut World,
    seed: u64,
    side: Option<u8>,
    play: impl FnOnce(&mut World),
) {
    let from = world.now;
    play(world);
    for engine in 0..ENGINES / 3 {
        let worst = world.worst_window(engine, from, world.now, side);
        let allowed = most_in_window(LIMIT);
        assert!(worst <= allowed, "seed {seed}: {worst} at engine {engine}");
    }
}

fn holder(world: &World, seen_by: usize) -> usize {
    world.holder_seen_by(seen_by, 0).expect("a holder")
}

/// Share of the first engine's limit that is used in the next seconds.
fn used(world: &mut World, seconds: u64) -> f64 {
    let from = world.now;
    world.run(seconds * 1_000);
    world.arrivals_in(0, from, world.now) as f64 / seconds as f64 / LIMIT
}

#[test]
fn a_stopped_holder_is_replaced() {
    for seed in 0..SEEDS {
        let mut world = limited(NODES, seed);
        let first = holder(&world, 0);
        check_bound_during(&mut world, seed, None, |world| {
            world.stop(first);
            world.run(2_000);
            assert!(used(world, 10) >= 0.8, "seed {seed}");
        });
        let other = (first + 1) % NODES;
        assert_ne!(holder(&world, other), first, "seed {seed}");
    }
}

#[test]
fn a_holder_that_resumes_after_a_pause_does_not_grant_beside_its_successor() {
    for seed in 0..SEEDS {
        let mut world = limited(NODES, seed);
        let first = holder(&world, 0);
        check_bound_during(&mut world, seed, None, |world| {
            for _ in 0..3 {
                world.stop(first);
                world.run(2_500);
                world.resume(first);
                world.run(2_500);
            }
        });
        let holders: Vec<usize> = (0..NODES).map(|node| holder(&world, node)).collect();
        assert!(
            holders.iter().all(|known| *known == holders[0]),
            "{holders:?}"
        );
    }
}

#[test]
fn nodes_that_are_restarted_in_turn_keep_the_bound() {
    for seed in 0..SEEDS {
        let mut world = limited(NODES, seed);
        check_bound_during(&mut world, seed, None, |world| {
            for node in 0..NODES {
                world.stop(node);
                world.run(500);
                world.restart(node);
                world.run(500);
            }
        });
        assert!(used(&mut world, 10) >= 0.8, "seed {seed}");
    }
}

#[test]
fn the_bound_holds_when_one_third_of_the_datagrams_is_lost() {
    for seed in 0..SEEDS {
        let mut world = limited(NODES, seed);
        world.loss = 1.0 / 3.0;
        check_bound_during(&mut world, seed, None, |world| {
            let used = used(world, 20);
            println!("one third lost, seed {seed}: used {used:.2}");
            assert!(used >= 0.6, "seed {seed}: used {used:.2}");
        });
    }
}

#[test]
fn limits_reach_all_nodes_when_one_third_of_the_datagrams_is_lost() {
    for seed in 0..SEEDS {
        let mut world = World::new(NODES, ENGINES, DEMAND, seed);
        world.loss = 1.0 / 3.0;
        world.run(1_000);
        world.limits[0] = Some(LIMIT);
        world.run(KNOWN_AFTER_MS);
        assert_eq!(world.nodes_that_know(0, Some(LIMIT)), NODES, "seed {seed}");
    }
}

#[test]
fn each_side_of_a_partition_keeps_the_bound() {
    let mut most = 0;
    for seed in 0..SEEDS {
        for first_on_other_side in [1, 4, 6] {
            let mut world = limited(NODES, seed);
            world.run(2_000);
            world.cut_from(first_on_other_side);
            let from = world.now;
            for side in [0, 1] {
                check_bound_during(&mut world, seed, Some(side), |world| world.run(10_000));
            }
            most = most.max(world.worst_window(0, from, world.now, None));
            world.heal();
            world.run(3_000);
            check_bound_during(&mut world, seed, None, |world| world.run(8_000));
        }
    }
    println!("both sides of a partitioned fleet together: {most} in a window");
}

#[test]
fn nodes_agree_on_one_holder_after_a_partition() {
    for seed in 0..SEEDS {
        let mut world = limited(NODES, seed);
        world.cut_from(3);
        world.run(5_000);
        world.heal();
        world.run(3_000);
        let holders: Vec<usize> = (0..NODES).map(|node| holder(&world, node)).collect();
        assert!(
            holders.iter().all(|known| *known == holders[0]),
            "{holders:?}"
        );
    }
}
