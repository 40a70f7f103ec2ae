//! The calls for events of all nodes fit those that a store holds at once.

use ploverlift_gateway::cache_feeds::turns::{Callers, Turns, HELD};
use std::time::Duration;

/// Calls that a store holds at once.
const CALLS: u32 = 12;

/// Calls under way at once, if each is held to its end.
fn under_way(callers: usize, turns: &Turns) -> f64 {
    let held = HELD.as_secs_f64();
    callers as f64 * held / (held + turns.pause.as_secs_f64())
}

fn turns(near: usize, far_relays: usize, relays: usize) -> Turns {
    let callers = Callers {
        near,
        far_relays,
        relays,
    };
    Turns::of(callers, Some(CALLS))
}

#[test]
fn calls_of_all_nodes_fit_however_many_there_are() {
    // Nodes, zones and regions of fleets from the smallest to the largest.
    for (nodes, zones, regions) in [(8, 2, 1), (61, 6, 3), (81, 4, 1), (295, 6, 1), (780, 13, 6)] {
        let relays = if nodes > 20 { 2 * zones } else { 0 };
        let near = nodes / regions;
        let far_relays = relays - relays / regions;
        let turns = turns(near, far_relays, relays);
        let callers = match turns.are_relays_alone {
            true => relays,
            false => near + far_relays,
        };
        assert!(under_way(callers, &turns) <= f64::from(CALLS), "{nodes}");
        assert!(turns.pause <= Duration::from_secs(2), "{nodes}");
    }
}

#[test]
fn relays_alone_call_where_a_region_has_too_many_nodes() {
    assert!(!turns(61, 0, 12).are_relays_alone);
    assert!(turns(295, 0, 12).are_relays_alone);
    // Without relays there is nobody who tells.
    assert!(!turns(295, 0, 0).are_relays_alone);
}

#[test]
fn refused_calls_come_back_later_and_later_and_not_together() {
    let turns = turns(61, 0, 12);
    let pause = |refused| turns.pause_after(refused, 0.5);
    assert_eq!(pause(0), turns.pause);
    assert_eq!(pause(1), turns.pause * 2);
    assert_eq!(pause(9), turns.pause * 16);
    assert!(turns.pause_after(0, 0.0) < turns.pause_after(0, 1.0));
}

#[test]
fn a_store_that_does_not_tell_its_limit_is_not_asked_all_the_time() {
    let callers = Callers {
        near: 60,
        far_relays: 0,
        relays: 0,
    };
    let unlimited = Turns::of(callers, None);
    assert!(unlimited.pause > Duration::from_millis(500));
    // No call at all is a wrong figure, and costs no more than one.
    let none = Turns::of(callers, Some(0));
    assert_eq!(none.pause, Turns::of(callers, Some(1)).pause);
}
