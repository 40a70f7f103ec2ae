//! The clock includes the time that the machine was suspended.

use ploverlift_clock::Clock;
use std::time::{Duration, Instant};

/// Allowed difference between two consecutive readings, in milliseconds.
const SLACK_MS: u64 = 50;

#[test]
fn the_clock_advances_with_the_monotonic_clock() {
    let clock = Clock::default();
    let (start, monotonic) = (clock.now(), Instant::now());
    std::thread::sleep(Duration::from_millis(60));
    let monotonic_ms = monotonic.elapsed().as_millis() as u64;
    let passed_ms = clock.now().since(start);
    assert!(
        passed_ms.abs_diff(monotonic_ms) <= SLACK_MS,
        "{passed_ms} and {monotonic_ms}"
    );
}

#[test]
fn a_suspension_advances_all_copies_of_the_clock() {
    let (clock, suspension) = Clock::suspendable();
    let copy = clock.clone();
    let start = clock.now();
    suspension.sleep(10_000);
    assert!(clock.now().since(start) >= 10_000);
    assert!(copy.now().since(start) >= 10_000);
}
