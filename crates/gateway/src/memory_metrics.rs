//! Metrics of the bytes that this node holds for others.

use crate::state::Gateway;
use ploverlift_bytebudget::share::Share;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of a share of the budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ShareLabel {
    /// `request_bodies`, `engine_answers`, `store_answers` or `engine_calls`.
    pub share: &'static str,
}

/// Metrics of the budget of bytes.
#[derive(Debug, Default)]
pub struct MemoryMetrics {
    held: Family<ShareLabel, Gauge>,
    limits: Family<ShareLabel, Gauge>,
}

impl MemoryMetrics {
    fn set(&self, name: &'static str, share: &Share) {
        let label = ShareLabel { share: name };
        self.held.get_or_create(&label).set(share.held() as i64);
        let limit = share.limits().bytes as i64;
        self.limits.get_or_create(&label).set(limit);
    }

    /// Adds the metrics to a page.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Bytes held for others, by share of the budget";
        registry.register("held_bytes", help, self.held.clone());
        let help = "Bytes that a share of the budget may hold";
        registry.register("held_bytes_limit", help, self.limits.clone());
    }
}

/// Sets the metrics to what is held now.
pub(crate) fn publish_memory(gateway: &Gateway) {
    let (metrics, budget) = (&gateway.metrics.memory, &gateway.byte_budget);
    metrics.set("request_bodies", &budget.request_bodies);
    metrics.set("engine_answers", &budget.engine_answers);
    metrics.set("store_answers", &budget.store_answers);
    metrics.set("engine_calls", &budget.engine_calls);
}
