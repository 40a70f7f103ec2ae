//! The event calls of all nodes stay within the concurrent calls that a cache store accepts.

use ploverlift_gateway::cache_feeds::call_pacing::{CallPacing, Callers, HOLD_TIME};
use std::time::Duration;

/// Concurrent calls that a store accepts.
const CALLS: u32 = 12;

/// Number of concurrent calls if each is held for the whole time.
fn under_way(callers: usize, call_pacing: &CallPacing) -> f64 {
    let held = HOLD_TIME.as_secs_f64();
    callers as f64 * held / (held + call_pacing.pause.as_secs_f64())
}

fn call_pacing(near: usize, far_relays: usize, relays: usize) -> CallPacing {
    let callers = Callers {
        near,
        far_relays,
        relays,
    };
    CallPacing::of(callers, Some(CALLS))
}

#[test]
fn concurrent_calls_stay_within_the_limit_for_any_fleet_size() {
    // Numbers of nodes, zones and regions of fleets from the smallest to the largest.
    for (nodes, zones, regions) in [(8, 2, 1), (61, 6, 3), (81, 4, 1), (295, 6, 1), (780, 13, 6)] {
        let relays = if nodes > 20 { 2 * zones } else { 0 };
        let near = nodes / regions;
        let far_relays = relays - relays / regions;
        let call_pacing = call_pacing(near, far_relays, relays);
        let callers = match call_pacing.are_relays_alone {
            true => relays,
            false => near + far_relays,
        };
        assert!(
            under_way(callers, &call_pacing) <= f64::from(CALLS),
            "{nodes}"
        );
        assert!(call_pacing.pause <= Duration::from_secs(2), "{nodes}");
    }
}

#[test]
fn only_relays_call_if_a_region_has_too_many_nodes() {
    assert!(!call_pacing(61, 0, 12).are_relays_alone);
    assert!(call_pacing(295, 0, 12).are_relays_alone);
    // Without relays, no node could report the contents to the others.
    assert!(!call_pacing(295, 0, 0).are_relays_alone);
}

#[test]
fn refused_calls_back_off_exponentially_with_jitter() {
    let call_pacing = call_pacing(61, 0, 12);
    let pause = |refused| call_pacing.pause_after(refused, 0.5);
    assert_eq!(pause(0), call_pacing.pause);
    assert_eq!(pause(1), call_pacing.pause * 2);
    assert_eq!(pause(9), call_pacing.pause * 16);
    assert!(call_pacing.pause_after(0, 0.0) < call_pacing.pause_after(0, 1.0));
}

#[test]
fn a_store_without_a_configured_limit_is_not_called_continuously() {
    let callers = Callers {
        near: 60,
        far_relays: 0,
        relays: 0,
    };
    let unlimited = CallPacing::of(callers, None);
    assert!(unlimited.pause > Duration::from_millis(500));
    // A limit of zero calls is invalid and treated as a limit of one.
    let none = CallPacing::of(callers, Some(0));
    assert_eq!(none.pause, CallPacing::of(callers, Some(1)).pause);
}
