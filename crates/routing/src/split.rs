//! Splits the requests of a route between its services by weight.

use crate::configuration::{Route, ServiceName, WeightedTarget};
use std::collections::HashMap;

/// Number of positions in the round robin from which a route's start is chosen. It is a
/// whole number of rounds for weights in percent or thousandths. With other weights, a
/// target with a small weight comes first slightly too often or too rarely, and one with a
/// share under a thousandth never comes first.
const START_TURNS: f64 = 1_000.0;

/// Chooses targets by smooth weighted round robin: the target that is furthest behind its
/// share is next, so that each has received its share at any time. A target without a positive,
/// finite weight is never chosen.
#[derive(Debug, Default)]
pub struct WeightedSplitter {
    rounds: HashMap<String, Round>,
}

/// Position of a route in its round robin.
#[derive(Debug, Default)]
struct Round {
    /// Targets in use.
    targets: Vec<WeightedTarget>,
    /// How far each target is behind its share, in units of these weights.
    credits: Vec<f64>,
}

impl WeightedSplitter {
    /// The service for the next request of a route; `None` if no target of the route is in use.
    /// `start`, from 0 to 1, sets the position at which the route starts, also when its targets
    /// have changed, and should differ between nodes. If all nodes started at the same position,
    /// they would send their first requests to the same targets, and in a large fleet with few
    /// requests per node the targets with a small weight would receive none.
    pub fn next<'a>(&mut self, route: &'a Route, start: f64) -> Option<&'a ServiceName> {
        let mut several = route.targets_in_use();
        let first = several.next()?;
        if several.next().is_none() {
            return Some(&first.service);
        }
        let round = self.rounds.entry(route.name.clone()).or_default();
        // Credits are in units of the weights: those of other weights must not be kept.
        if !route.targets_in_use().eq(&round.targets) {
            *round = Round::new(route.targets_in_use().cloned().collect(), start);
        }
        let index = round.next();
        route
            .targets_in_use()
            .nth(index)
            .map(|target| &target.service)
    }

    /// Removes the state of routes that no longer exist.
    pub fn retain(&mut self, routes: &[Route]) {
        self.rounds
            .retain(|name, _| routes.iter().any(|route| route.name == *name));
    }
}

impl Round {
    fn new(targets: Vec<WeightedTarget>, start: f64) -> Self {
        let credits = vec![0.0; targets.len()];
        let mut round = Self { targets, credits };
        for _ in 0..(start * START_TURNS) as usize {
            round.next();
        }
        round
    }

    /// Returns the index of the target that is furthest behind its share and charges it for the
    /// request.
    fn next(&mut self) -> usize {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        for (credit, target) in self.credits.iter_mut().zip(&self.targets) {
            *credit += target.weight;
        }
        let largest = self.credits.iter().enumerate();
        let largest = largest.max_by(|a, b| a.1.total_cmp(b.1));
        let index = largest.map_or(0, |(index, _)| index);
        self.credits[index] -= total;
        index
    }
}
