//! Splits the requests of a route between its services by weight.

use crate::configuration::{Route, ServiceName, WeightedTarget};
use std::collections::HashMap;

/// Number of positions in the round robin from which a route's start is chosen. It is a
/// whole number of rounds for weights in percent or thousandths. With other weights, a
/// target with a small weight comes first slightly too often or too rarely, and one with a
/// share under a thousandth never comes first.
const START_TURNS: f64 = 1_000.0;

/// Chooses targets by smooth weighted round robin: the target that is furthest behind its
/// share is next, so that each has received its share at any time.
#[derive(Debug, Default)]
pub struct WeightedSplitter {
    credits: HashMap<String, Vec<f64>>,
}

impl WeightedSplitter {
    /// The service for the next request of a route; `None` if the route has no targets.
    /// `start`, from 0 to 1, sets the position at which the route starts and should differ
    /// between nodes. If all nodes started at the same position, they would send their first
    /// requests to the same targets, and in a large fleet with few requests per node the
    /// targets with a small weight would receive none.
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

    /// Removes the state of routes that no longer exist.
    pub fn retain(&mut self, routes: &[Route]) {
        self.credits
            .retain(|name, _| routes.iter().any(|route| route.name == *name));
    }
}

/// Returns the index of the target that is furthest behind its share and charges it for the
/// request.
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
