//! Measured round trips to other zones, and when they expire.

use crate::fleet::NOW;

use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_policy::ids::ZoneName;

#[test]
fn a_longer_round_trip_is_noticed_after_two_windows() {
    let zone = ZoneName::from("e1");
    let mut round_trips = RoundTrips::default();
    assert_eq!(round_trips.shortest_ms(&zone, NOW), None);
    round_trips.observe(&zone, 40.0, NOW);
    for step in 1..=5 {
        round_trips.observe(&zone, 90.0, NOW.plus(step * 5_000));
    }
    assert_eq!(round_trips.shortest_ms(&zone, NOW.plus(25_000)), Some(90.0));
    for index in 0..200 {
        round_trips.observe(&ZoneName(format!("z{index}")), 1.0, NOW);
    }
    assert!(round_trips.len() <= 64);
}

/// A zone that once seemed far gets no requests that could show otherwise.
#[test]
fn a_slow_connection_does_not_keep_a_zone_far_for_good() {
    let zone = ZoneName::from("e1");
    let mut round_trips = RoundTrips::default();
    round_trips.observe(&zone, 240.0, NOW);
    assert_eq!(round_trips.shortest_ms(&zone, NOW.plus(5_000)), Some(240.0));
    let later = NOW.plus(25_000);
    assert_eq!(round_trips.shortest_ms(&zone, later), None);
    round_trips.observe(&zone, 41.0, later);
    assert_eq!(round_trips.shortest_ms(&zone, later), Some(41.0));
}
