//! Bounds with one limited engine, one third of the engines and all of them, in fleets of
//! several sizes.

use crate::world::{World, KNOWN_AFTER_MS, WINDOW_MS};

/// The rate that engines advertise, in requests a second.
const LIMIT: f64 = 1.7;
/// Time for which the fleet is observed, in milliseconds.
const WATCHED_MS: u64 = 20_000;

/// Most requests that an engine may get in one window.
pub fn most_in_window(limit: f64) -> usize {
    (1.5 * WINDOW_MS as f64 / 1_000.0 * limit + 5.0) as usize
}

/// Checks the upper and lower bounds on the limited engines, at `demand` requests a second.
fn check_bounds(nodes: usize, engines: usize, limited: usize, demand: f64) -> World {
    let mut world = World::new(nodes, engines, demand, 7);
    world.run(2_000);
    for engine in 0..limited {
        world.limits[engine] = Some(LIMIT);
    }
    world.run(KNOWN_AFTER_MS);
    let from = world.now;
    let before = world.counts.clone();
    world.run(WATCHED_MS);
    let seconds = WATCHED_MS as f64 / 1_000.0;
    let mut lowest = f64::MAX;
    let mut most = 0;
    for engine in 0..limited {
        most = most.max(world.worst_window(engine, from, world.now, None));
        let used = world.arrivals_in(engine, from, world.now) as f64;
        lowest = lowest.min(used / LIMIT / seconds);
    }
    let messages = (world.counts.messages - before.messages) as f64 / seconds;
    let token_requests = (world.counts.token_requests - before.token_requests) as f64 / seconds;
    let rejected = world.counts.rejected - before.rejected;
    let served = world.counts.served - before.served;
    println!(
        "{nodes} nodes, {engines} engines, {limited} limited: at most {most} in a window, \
         used {lowest:.2} at least, {messages:.0} messages and {token_requests:.0} token requests a second, {served} served, {rejected} rejected"
    );
    assert!(most <= most_in_window(LIMIT), "{most} in a window");
    assert!(lowest >= 0.8, "used {lowest:.2}");
    world
}

#[test]
fn one_limited_engine() {
    check_bounds(7, 18, 1, 100.0);
    check_bounds(69, 60, 1, 400.0);
    check_bounds(985, 200, 1, 1_000.0);
}

#[test]
fn a_third_of_the_engines() {
    check_bounds(7, 18, 6, 100.0);
    check_bounds(69, 60, 20, 400.0);
}

#[test]
fn all_engines() {
    for (nodes, engines, demand) in [(7, 18, 100.0), (69, 60, 400.0), (985, 120, 800.0)] {
        let world = check_bounds(nodes, engines, engines, demand);
        assert!(world.counts.rejected > 0);
    }
}

#[test]
fn every_node_knows_a_limit_before_the_bound_applies() {
    for (nodes, demand) in [(7, 100.0), (69, 400.0), (985, 1_000.0)] {
        for seed in 0..5 {
            let mut world = World::new(nodes, 60, demand, seed);
            // Updates are relayed and some are lost.
            world.loss = 0.05;
            world.run(1_000);
            world.limits[0] = Some(LIMIT);
            let observed_at = world.now;
            while world.nodes_that_know(0, Some(LIMIT)) < nodes {
                world.run(5);
                let passed = world.now - observed_at;
                assert!(passed < KNOWN_AFTER_MS, "{nodes} nodes, seed {seed}");
            }
            let known_after = world.now - observed_at;
            println!("{nodes} nodes, seed {seed}: all know after {known_after} ms");
        }
    }
}
