//! Splitting the requests of one route between services by weight.

use crate::configuration::{Route, ServiceName};
use std::collections::HashMap;

/// Chooses targets so that at every moment each has had its share, by the
/// smooth weighted round robin: the target that is furthest behind is next.
#[derive(Debug, Default)]
pub struct WeightedSplitter {
    credits: HashMap<String, Vec<f64>>,
}

impl WeightedSplitter {
    /// The service for the next request of a route. `start` in 0 to 1 tells
    /// where a route begins; nodes that begin alike would serve their first
    /// requests alike.
    pub fn next<'a>(&mut self, route: &'a Route, start: f64) -> Option<&'a ServiceName> {
        if route.targets.len() < 2 {
            return route.targets.first().map(|target| &target.service);
        }
        let total: f64 = route.targets.iter().map(|target| target.weight).sum();
        let fresh = || {
            let targets = route.targets.iter();
            targets.map(|target| target.weight * start).collect()
        };
        let credits = self.credits.entry(route.name.clone()).or_insert_with(fresh);
        if credits.len() != route.targets.len() {
            *credits = fresh();
        }
        for (credit, target) in credits.iter_mut().zip(&route.targets) {
            *credit += target.weight;
        }
        let largest = credits.iter().enumerate().max_by(|a, b| a.1.total_cmp(b.1));
        let index = largest.map_or(0, |(index, _)| index);
        credits[index] -= total;
        Some(&route.targets[index].service)
    }

    /// Forgets routes that are no more.
    pub fn retain(&mut self, routes: &[Route]) {
        self.credits
            .retain(|name, _| routes.iter().any(|route| route.name == *name));
    }
}
