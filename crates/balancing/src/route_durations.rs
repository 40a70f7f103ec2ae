//! How long the requests of each route have taken at this node.

use hdrhistogram::Histogram;
use ploverlift_routing::configuration::{Route, ServiceName};
use std::collections::HashMap;

/// Longest recorded duration, in milliseconds; longer ones count as this long.
const LONGEST_MS: u64 = 3_600_000;
/// Significant decimal digits of a recorded duration.
const DIGITS: u8 = 1;
/// Number of requests in one window. The durations of one to two windows are kept.
const WINDOW_REQUESTS: u64 = 512;
/// Smallest number of requests from which a duration is predicted.
const MIN_REQUESTS: u64 = 16;
/// Share of the requests that took no longer than the predicted duration.
const PREDICTED_QUANTILE: f64 = 0.99;

/// A route and the service that its requests run at. The same route takes another time at
/// another service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RouteTarget {
    host: String,
    path_prefix: String,
    service: ServiceName,
}

impl RouteTarget {
    fn of(route: &Route, service: &ServiceName) -> Self {
        Self {
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
            service: service.clone(),
        }
    }

    fn is_in(&self, routes: &[Route]) -> bool {
        routes.iter().any(|route| {
            let mut targets = route.targets.iter();
            route.host == self.host
                && route.path_prefix == self.path_prefix
                && targets.any(|target| target.service == self.service)
        })
    }
}

/// Durations of the latest requests, by route and service.
#[derive(Clone, Debug, Default)]
pub struct RouteDurations {
    targets: HashMap<RouteTarget, RecentDurations>,
}

impl RouteDurations {
    /// Records that a request of a route ended at a service after `duration_ms` milliseconds.
    pub fn record(&mut self, route: &Route, service: &ServiceName, duration_ms: u64) {
        let target = RouteTarget::of(route, service);
        let recent = self.targets.entry(target).or_default();
        recent.record(duration_ms);
    }

    /// The time in which a request of a route ends at a service, going by the latest ones, in
    /// milliseconds; `None` when there were too few.
    pub fn predicted_ms(&self, route: &Route, service: &ServiceName) -> Option<u64> {
        let recent = self.targets.get(&RouteTarget::of(route, service))?;
        recent.predicted_ms()
    }

    /// Removes the durations of routes and targets that no longer exist.
    pub fn retain(&mut self, routes: &[Route]) {
        self.targets.retain(|target, _| target.is_in(routes));
    }
}

/// The latest durations of one route, in two windows.
#[derive(Clone, Debug)]
struct RecentDurations {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Default for RecentDurations {
    fn default() -> Self {
        Self {
            current: empty_window(),
            previous: empty_window(),
        }
    }
}

impl RecentDurations {
    fn record(&mut self, duration_ms: u64) {
        if self.current.len() >= WINDOW_REQUESTS {
            self.previous = std::mem::replace(&mut self.current, empty_window());
        }
        self.current.saturating_record(duration_ms.max(1));
    }

    /// The longer of the two windows' predictions: durations that have just become shorter are
    /// relied on once they fill a window.
    fn predicted_ms(&self) -> Option<u64> {
        if self.current.len() + self.previous.len() < MIN_REQUESTS {
            return None;
        }
        let current_ms = self.current.value_at_quantile(PREDICTED_QUANTILE);
        let previous_ms = self.previous.value_at_quantile(PREDICTED_QUANTILE);
        Some(current_ms.max(previous_ms))
    }
}

fn empty_window() -> Histogram<u32> {
    let window = Histogram::new_with_bounds(1, LONGEST_MS, DIGITS);
    window.expect("the bounds and the precision are valid")
}
