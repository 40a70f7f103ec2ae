//! A harmful part of prompts in fleets of 7, 69 and 985 nodes, in virtual time: how many engines
//! it ends, what the other requests notice, and what the nodes report.
//!
//! Engines ended without limit while evidence was recorded against whole requests, as no two of
//! these were alike.

mod fleet;
mod simulation;

use fleet::Fleet;
use simulation::{Load, Results, Simulation};

/// Time after the fifth end within which all nodes know of it, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Sends of the part that may follow later.
const MAX_LATE_SENDS: usize = 3;
/// Least share of the other requests that is sent, compared with before.
const MIN_SENT: f64 = 0.9;

const SMALL: Load = Load {
    engines: 18,
    requests_per_second: 150,
    runtime_ms: 1_000,
    harmful_per_thousand: 20,
    duration_ms: 40_000,
};
const MEDIUM: Load = Load {
    engines: 200,
    requests_per_second: 1_500,
    runtime_ms: 1_000,
    harmful_per_thousand: 10,
    duration_ms: 30_000,
};
const LARGE: Load = Load {
    engines: 2_400,
    requests_per_second: 5_000,
    runtime_ms: 1_000,
    harmful_per_thousand: 5,
    duration_ms: 25_000,
};

fn assert_bounded(name: &str, results: &Results) {
    eprintln!("{name}: {}", results.summary());
    let late = results.harmful_sent_after(CONTACT_MS);
    assert!(late <= MAX_LATE_SENDS, "{late} late sends");
    let share = results.sound_sent_after(2 * CONTACT_MS) / results.sound_sent_before();
    assert!(share >= MIN_SENT, "{share} of the other requests were sent");
    assert_eq!(results.refused_sound_parts, 0);
}

#[test]
fn seven_nodes_stop_sending_a_harmful_part() {
    for seed in 0..10 {
        let results = Simulation::new(Fleet::mesh(7), SMALL, seed).run();
        assert_bounded("7 nodes", &results);
    }
}

#[test]
fn sixty_nine_nodes_stop_sending_a_harmful_part() {
    for seed in 0..3 {
        let results = Simulation::new(Fleet::relayed(69), MEDIUM, seed).run();
        assert_bounded("69 nodes", &results);
    }
}

#[test]
fn a_thousand_nodes_stop_sending_a_harmful_part() {
    let results = Simulation::new(Fleet::relayed(985), LARGE, 1).run();
    assert_bounded("985 nodes", &results);
}

/// All nodes start without knowledge of answers while engines end by themselves.
#[test]
fn engines_that_end_by_themselves_have_no_part_refused_for_long() {
    for seed in 0..10 {
        let load = Load {
            harmful_per_thousand: 0,
            ..SMALL
        };
        let mut simulation = Simulation::new(Fleet::mesh(7), load, seed);
        simulation.end_engines_every(300);
        let results = simulation.run();
        eprintln!("engines that end: {}", results.summary());
        assert!(
            results.longest_refusal_ms <= 10_000,
            "{}",
            results.longest_refusal_ms
        );
        assert!(results.sound_refused_share() <= 0.01);
    }
}

/// A rack or a zone goes dark while the nodes know of no answers.
#[test]
fn engines_that_end_at_once_have_no_part_refused() {
    let load = Load {
        harmful_per_thousand: 0,
        duration_ms: 10_000,
        ..SMALL
    };
    let mut simulation = Simulation::new(Fleet::mesh(7), load, 1);
    simulation.end_all_engines_at(500);
    let results = simulation.run();
    assert_eq!(results.sound_refused_share(), 0.0);
}
