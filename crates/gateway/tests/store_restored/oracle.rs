//! What must hold of all orders, as engines got them.

use crate::support::engine::StandInEngine;
use std::time::{Duration, Instant};

/// Two nodes never give orders within this time.
pub const LEASE: Duration = Duration::from_millis(3_000);

/// An order as its engine got it.
#[derive(Clone, Debug)]
pub struct GivenOrder {
    pub at: Instant,
    pub holder: String,
    pub token: u64,
}

/// All orders that engines have got, the first one first.
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

/// What orders broke.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Pairs of orders in a row under one token of two nodes.
    pub shared_tokens: usize,
    /// Orders under a lower token than the one before.
    pub decreased_tokens: usize,
    /// Turns of two nodes within the lease.
    pub early_handovers: usize,
}

/// Judges orders in the order in which engines got them.
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
