//! Splitting the requests of one route between services by weight.

use crate::configuration::{Route, ServiceName, WeightedTarget};
use std::collections::HashMap;

/// Turns among which a route's first one is drawn. It is a whole number of rounds for
/// weights in percent or in thousandths; for others a target with a small weight is
/// first a little too often or too rarely, and one under a thousandth never is.
const START_TURNS: f64 = 1_000.0;

/// Chooses targets so that at every moment each has had its share, by the
/// smooth weighted round robin: the target that is furthest behind is next.
#[derive(Debug, Default)]
pub struct WeightedSplitter {
    credits: HashMap<String, Vec<f64>>,
}

impl WeightedSplitter {
    /// The service for the next request of a route. `start` in 0 to 1 tells
    /// where a route begins; nodes that begin alike would serve their first
    /// requests alike, and in a large fleet with few requests a node the
    /// targets with a small weight would get nothing.
    pub fn next<'a>(&mut self, route: &'a Route, start: f64) -> Option<&'a ServiceName> {
        if route.targets.len() < 2 {
            return route.targets.first().map(|target| &target.service);
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        if credits.len() != route.targets.len() {
            *credits = vec![0.0; route.targets.len()];
            for _ in 0..(start * START_TURNS) as usize {
                next_target(credits, &route.targets);
            }
        }
        let index = next_target(credits, &route.targets);
        Some(&route.targets[index].service)
    }

    /// Forgets routes that are no more.
    pub fn retain(&mut self, routes: &[Route]) {
        self.credits
            .retain(|name, _| routes.iter().any(|route| route.name == *name));
    }
}

/// The target that is furthest behind; it is charged with the request.
fn next_target(credits: &mut [f64], targets: &[WeightedTarget]) -> usize {
    let total: f64 = targets.iter().map(|target| target.weight).sum();
    for (credit, target) in credits.iter_mut().zip(targets) {
        *credit += target.weight;
    }
    let largest = credits.iter().enumerate().max_by(|a, b| a.1.total_cmp(b.1));
    let index = largest.map_or(0, |(index, _)| index);
    credits[index] -= total;
    index
}
