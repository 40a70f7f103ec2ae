//! Invariants of all load orders, as received by engines.

use crate::support::engine::StandInEngine;
use std::time::{Duration, Instant};

/// Minimum time between orders of two different nodes.
pub const LEASE: Duration = Duration::from_millis(3_000);

/// An order as received by an engine.
#[derive(Clone, Debug)]
pub struct GivenOrder {
    pub at: Instant,
    pub holder: String,
    pub token: u64,
}

/// All orders received by engines, in the order of their arrival.
pub fn given_orders(engines: &[StandInEngine]) -> Vec<GivenOrder> {
    let mut given: Vec<GivenOrder> = engines.iter().flat_map(orders_of).collect();
    given.sort_by_key(|order| order.at);
    given
}

fn orders_of(engine: &StandInEngine) -> Vec<GivenOrder> {
    let orders = engine.orders().into_iter().zip(engine.order_times());
    let given = orders.map(|(order, at)| GivenOrder {
        at,
        holder: order["holder"].as_str().unwrap_or_default().to_owned(),
        token: order["token"].as_u64().unwrap_or(0),
    });
    given.collect()
}

/// Numbers of violations of the invariants.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Orders with the token of an earlier order of another node.
    pub shared_tokens: usize,
    /// Orders with a lower token than the preceding order.
    pub decreased_tokens: usize,
    /// Changes of the holder within the lease time.
    pub early_handovers: usize,
}

/// Counts the violations in orders that are sorted by their arrival.
pub fn violations(orders: &[GivenOrder]) -> Violations {
    let mut violations = Violations::default();
    for (index, order) in orders.iter().enumerate() {
        let shares =
            |earlier: &&GivenOrder| earlier.token == order.token && earlier.holder != order.holder;
        violations.shared_tokens +=
            usize::from(orders[..index].iter().any(|earlier| shares(&earlier)));
        let Some(before) = index.checked_sub(1).map(|before| &orders[before]) else {
            continue;
        };
        violations.decreased_tokens += usize::from(order.token < before.token);
        let is_handover = order.holder != before.holder;
        let is_early = is_handover && order.at.duration_since(before.at) < LEASE;
        violations.early_handovers += usize::from(is_early);
    }
    violations
}
