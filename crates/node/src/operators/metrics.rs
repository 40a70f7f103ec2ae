//! The page of Prometheus metrics.

use crate::state::Node;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::{AtomicU64, Ordering};

/// Start of every metric's name.
const PREFIX: &str = "ploverlift";

/// The page as it is now, in the OpenMetrics text format.
pub fn page(node: &Node) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    add_counters(&mut registry, node);
    add_gauges(&mut registry, node);
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = encode(&mut text, &registry);
    text
}

fn add_counters(registry: &mut Registry, node: &Node) {
    let counters = &node.counters;
    let rows: [(&str, &str, &AtomicU64); 7] = [
        (
            "requests",
            "Requests taken from callers",
            &counters.requests,
        ),
        (
            "completed",
            "Requests answered in full",
            &counters.completed,
        ),
        ("refused", "Requests refused", &counters.refused),
        (
            "aborted",
            "Streams ended by an error event",
            &counters.aborted,
        ),
        ("attempts", "Attempts at back ends", &counters.attempts),
        (
            "replayed",
            "Answers given from a claim's record",
            &counters.replayed,
        ),
        (
            "cluster_messages",
            "Messages sent to nodes",
            &counters.cluster_messages,
        ),
    ];
    for (name, help, counter) in rows {
        let value = counter.load(Ordering::Relaxed);
        registry.register(name, help, ConstCounter::new(value));
    }
    let bytes = counters.cluster_bytes.load(Ordering::Relaxed);
    let help = "Bytes sent to nodes";
    registry.register_with_unit("cluster", help, Unit::Bytes, ConstCounter::new(bytes));
}

fn add_gauges(registry: &mut Registry, node: &Node) {
    let under_way = node.counters.in_flight.load(Ordering::Relaxed);
    let core = node.core();
    let rows: [(&str, &str, u64); 5] = [
        ("requests_under_way", "Requests under way", under_way),
        (
            "members_live",
            "Other nodes that are alive",
            core.members.live_count() as u64,
        ),
        (
            "configuration_version",
            "Highest version of any object in force",
            core.router.snapshot.version.0,
        ),
        (
            "objects_rejected",
            "Objects that do not fit and are left out",
            core.router.snapshot.rejected.len() as u64,
        ),
        (
            "claims_held",
            "Claims held as a replica",
            core.claims.len() as u64,
        ),
    ];
    for (name, help, value) in rows {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        registry.register(name, help, ConstGauge::new(value));
    }
}
