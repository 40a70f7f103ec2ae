//! Limits that are lowered, raised, lifted, zero, or change each second.

use crate::bounds::most_in_window;
use crate::world::{World, KNOWN_AFTER_MS, WINDOW_MS};

/// Nodes, engines and requests a second of these fleets.
const NODES: usize = 7;
const ENGINES: usize = 18;
const DEMAND: f64 = 180.0;

/// A fleet in which one engine advertises this limit, after all nodes have learned of it.
fn limited(limit: f64, seed: u64) -> World {
    let mut world = World::new(NODES, ENGINES, DEMAND, seed);
    world.run(1_000);
    world.limits[0] = Some(limit);
    world.run(KNOWN_AFTER_MS);
    world
}

/// Requests a second that the engine gets in the next `for_ms` milliseconds.
fn rate_after(world: &mut World, for_ms: u64) -> f64 {
    let from = world.now;
    world.run(for_ms);
    world.arrivals_in(0, from, world.now) as f64 / for_ms as f64 * 1_000.0
}

#[test]
fn any_rate_is_enforced_and_used() {
    for (seed, limit) in [(1, 1.0), (2, 1.7), (3, 4.0), (4, 8.0)] {
        let mut world = limited(limit, seed);
        // Every engine would be offered more than the limit allows.
        world.demand = 3.0 * limit * ENGINES as f64;
        let from = world.now;
        world.run(20_000);
        let worst = world.worst_window(0, from, world.now, None);
        assert!(worst <= most_in_window(limit), "{worst} under {limit}");
        let used = world.arrivals_in(0, from, world.now) as f64 / 20.0 / limit;
        assert!((0.8..=1.1).contains(&used), "used {used:.2} of {limit}");
    }
}

#[test]
fn a_zero_or_fractional_limit_is_probed_within_the_bound() {
    for (seed, limit) in [(1, 0.0), (2, 0.2), (3, 0.7)] {
        let mut world = limited(limit, seed);
        let from = world.now;
        world.run(20_000);
        let worst = world.worst_window(0, from, world.now, None);
        assert!(worst <= most_in_window(limit), "{worst} under {limit}");
        // The next answer no longer names a limit, and all nodes learn of it shortly after.
        world.limits[0] = None;
        let ended_at = world.now;
        while world.nodes_that_know(0, None) < NODES {
            world.run(10);
        }
        let known_after = world.now - ended_at;
        println!("limit of {limit}: all nodes know its end after {known_after} ms");
        assert!(known_after <= 2_000, "{known_after} ms");
    }
}

#[test]
fn the_end_of_a_limit_is_known_everywhere_within_a_second() {
    for seed in 0..10 {
        let mut world = limited(1.7, seed);
        world.run(3_000);
        world.limits[0] = None;
        world.run(1_000);
        assert_eq!(world.nodes_that_know(0, None), NODES, "seed {seed}");
    }
}

#[test]
fn requests_do_not_surge_after_a_limit_ends() {
    let mut world = limited(1.7, 5);
    world.run(3_000);
    world.limits[0] = None;
    let from = world.now;
    world.run(4_000);
    let usual = DEMAND / ENGINES as f64;
    let most = (0..30).map(|step| {
        let begins = from + step * 100;
        world.arrivals_in(0, begins, begins + 500)
    });
    assert!(most.max() <= Some((usual * 0.5 * 3.0) as usize));
}

#[test]
fn a_lower_limit_applies_at_once_and_a_higher_one_once_it_is_newer() {
    let mut world = limited(8.0, 6);
    world.run(5_000);
    world.limits[0] = Some(1.7);
    world.run(KNOWN_AFTER_MS);
    let from = world.now;
    world.run(10_000);
    let worst = world.worst_window(0, from, world.now, None);
    assert!(worst <= most_in_window(1.7), "{worst}");
    world.limits[0] = Some(8.0);
    world.run(1_000);
    assert_eq!(world.nodes_that_know(0, Some(8.0)), NODES);
    assert!(rate_after(&mut world, 5_000) >= 0.8 * 8.0);
}

#[test]
fn a_limit_that_alternates_each_second_is_enforced_at_its_higher_value() {
    let mut world = limited(1.7, 8);
    let from = world.now;
    for second in 0..20 {
        world.limits[0] = Some([1.7, 3.4][second % 2]);
        world.run(1_000);
    }
    let worst = world.worst_window(0, from, world.now, None);
    assert!(worst <= most_in_window(3.4), "{worst}");
}

#[test]
fn an_intermittently_advertised_limit_is_enforced_while_it_lasts() {
    let mut world = limited(1.7, 9);
    for second in 0..20 {
        world.limits[0] = [Some(1.7), None][second % 2];
        world.run(1_000);
    }
    world.limits[0] = Some(1.7);
    world.run(KNOWN_AFTER_MS);
    let from = world.now;
    world.run(2 * WINDOW_MS);
    let worst = world.worst_window(0, from, world.now, None);
    assert!(worst <= most_in_window(1.7), "{worst}");
}
