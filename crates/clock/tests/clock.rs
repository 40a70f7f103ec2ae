//! The clock counts what the machine slept.

use ploverlift_clock::Clock;
use std::time::{Duration, Instant};

/// Difference between two readings that follow each other, in milliseconds.
const SLACK_MS: u64 = 50;

#[test]
fn it_runs_as_the_steady_clock_does_while_the_machine_is_awake() {
    let clock = Clock::default();
    let (began, steady) = (clock.now(), Instant::now());
    std::thread::sleep(Duration::from_millis(60));
    let steady_ms = steady.elapsed().as_millis() as u64;
    let passed_ms = clock.now().since(began);
    assert!(
        passed_ms.abs_diff(steady_ms) <= SLACK_MS,
        "{passed_ms} and {steady_ms}"
    );
}

#[test]
fn a_suspension_moves_it_on_in_all_its_copies() {
    let (clock, suspension) = Clock::suspendable();
    let copy = clock.clone();
    let began = clock.now();
    suspension.sleep(10_000);
    assert!(clock.now().since(began) >= 10_000);
    assert!(copy.now().since(began) >= 10_000);
}
