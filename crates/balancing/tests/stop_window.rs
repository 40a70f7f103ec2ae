//! Requests that arrive at a stopping node, in virtual time.

use ploverlift_balancing::route_durations::RouteDurations;
use ploverlift_balancing::stop_window::{ExpectedDuration, StopWindow};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::{Delivery, Route, ServiceName, WeightedTarget};
use proptest::prelude::*;

const STOP_BEGAN: Millis = Millis(1_000_000);
/// Time from the start of the stop until requests are concluded, in milliseconds.
const WINDOW_MS: u64 = 7_600;
/// Time from the start of the stop after which no more requests arrive, in milliseconds.
const ARRIVALS_MS: u64 = 2_900;
/// Time between two arrivals, in milliseconds.
const PERIOD_MS: u64 = 60;
/// By how much a predicted duration may exceed the recorded one.
const PREDICTION_ERROR: f64 = 0.07;

fn route(service: &str) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        targets: vec![WeightedTarget {
            service: ServiceName::from(service),
            weight: 1.0,
        }],
        delivery: Delivery::AtMostOnce,
        timeout_ms: 1_000,
        objective_ms: 100,
        max_attempts: 1,
        priority: 0,
        is_public: false,
    }
}

fn service() -> ServiceName {
    ServiceName::from("app")
}

/// Requests of a route, and the time that their bodies take to arrive.
struct SteadyRoute {
    timeout_ms: u64,
    body_ms: u64,
}

/// Requests that were accepted and rejected, by the time of their admission in milliseconds after
/// the start of the stop.
#[derive(Debug, Default)]
struct Admitted {
    accepted: Vec<u64>,
    rejected: Vec<u64>,
}

/// Sends requests to a node from the start of its stop on.
fn stop_under_load(load: &SteadyRoute, durations: &RouteDurations) -> Admitted {
    let window = StopWindow {
        concludes: STOP_BEGAN.plus(WINDOW_MS),
    };
    let mut admitted = Admitted::default();
    for sent_ms in (0..ARRIVALS_MS).step_by(PERIOD_MS as usize) {
        let read_ms = sent_ms + load.body_ms;
        let expected = ExpectedDuration {
            limit_ms: load.timeout_ms.saturating_sub(load.body_ms),
            predicted_ms: durations.predicted_ms(&route("app"), &service()),
            is_resumable: false,
        };
        match window.accepts(&expected, STOP_BEGAN.plus(read_ms)) {
            true => admitted.accepted.push(read_ms),
            false => admitted.rejected.push(read_ms),
        }
    }
    admitted
}

fn durations_of(run_ms: u64) -> RouteDurations {
    let mut durations = RouteDurations::default();
    (0..100).for_each(|_| durations.record(&route("app"), &service(), run_ms));
    durations
}

// Guards against requests that a stopping node passes on and then breaks off, although it knows
// how long those of their route take; and against rejecting those that can end.
#[test]
fn a_stopping_node_accepts_the_requests_that_can_end() {
    for (run_ms, timeout_ms) in [(1_500, 6_000), (4_500, 6_000), (6_500, 8_000)] {
        for body_ms in [0, 1_000, 2_900] {
            let load = SteadyRoute {
                timeout_ms,
                body_ms,
            };
            let admitted = stop_under_load(&load, &durations_of(run_ms));
            let ends_ms = |read_ms: &u64| read_ms + run_ms.min(timeout_ms - body_ms);
            for read_ms in &admitted.accepted {
                assert!(
                    ends_ms(read_ms) <= WINDOW_MS,
                    "{run_ms} {body_ms} {read_ms}"
                );
            }
            for read_ms in &admitted.rejected {
                let longest_ms = read_ms + (run_ms as f64 * (1.0 + PREDICTION_ERROR)) as u64;
                assert!(longest_ms > WINDOW_MS, "{run_ms} {body_ms} {read_ms}");
            }
        }
    }
}

// Guards against a node that rejects the first requests of a route only because it stops.
#[test]
fn a_request_of_unknown_duration_is_accepted_while_a_node_stops() {
    let load = SteadyRoute {
        timeout_ms: 60_000,
        body_ms: 0,
    };
    assert!(stop_under_load(&load, &RouteDurations::default())
        .rejected
        .is_empty());
}

#[test]
fn a_request_that_another_node_can_go_on_with_is_accepted() {
    let window = StopWindow {
        concludes: STOP_BEGAN.plus(WINDOW_MS),
    };
    let mut expected = ExpectedDuration {
        limit_ms: 60_000,
        predicted_ms: Some(30_000),
        is_resumable: true,
    };
    assert!(window.accepts(&expected, STOP_BEGAN));
    expected.is_resumable = false;
    assert!(!window.accepts(&expected, STOP_BEGAN));
}

// Guards against durations of a route that another service has taken over.
#[test]
fn durations_count_for_the_service_and_route_in_the_configuration() {
    let mut durations = durations_of(6_500);
    let moved = route("other");
    assert_eq!(
        durations.predicted_ms(&moved, &ServiceName::from("other")),
        None
    );
    durations.retain(&[moved]);
    assert_eq!(durations.predicted_ms(&route("app"), &service()), None);
    let mut durations = durations_of(6_500);
    durations.retain(&[route("app")]);
    assert!(durations.predicted_ms(&route("app"), &service()).is_some());
}

proptest! {
    // Guards against a prediction that most of the latest requests exceed, also after the
    // durations have changed.
    #[test]
    fn few_of_the_latest_requests_take_longer_than_predicted(
        earlier in prop::collection::vec(1u64..20_000, 0..600),
        latest in prop::collection::vec(1u64..20_000, 100..600),
    ) {
        let mut durations = RouteDurations::default();
        for duration_ms in earlier.iter().chain(&latest) {
            durations.record(&route("app"), &service(), *duration_ms);
        }
        let predicted_ms = durations.predicted_ms(&route("app"), &service()).expect("known");
        let longer = latest.iter().rev().take(512).filter(|duration_ms| **duration_ms > predicted_ms);
        prop_assert!(longer.count() <= 6, "{predicted_ms}");
    }
}
