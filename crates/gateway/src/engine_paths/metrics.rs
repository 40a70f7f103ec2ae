//! Metrics of connections to engines.

use crate::http_call::ConnectFailure;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// How a connection attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectFailureLabel {
    /// `no_answer`, `refused` or `local`.
    pub failure: &'static str,
}

/// Metrics of connections to engines.
#[derive(Debug, Default)]
pub struct PathMetrics {
    /// Failed connection attempts of requests.
    pub connect_failures: Family<ConnectFailureLabel, Counter>,
}

impl PathMetrics {
    /// Counts a failed connection attempt.
    pub fn count_connect_failure(&self, failure: ConnectFailure) {
        let failure = match failure {
            ConnectFailure::NoAnswer => "no_answer",
            ConnectFailure::Refused => "refused",
            ConnectFailure::Local => "local",
        };
        let label = ConnectFailureLabel { failure };
        self.connect_failures.get_or_create(&label).inc();
    }

    /// Adds the metrics to a page.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "connect_failures",
            "Failed connections of requests to engines, by how they failed",
            self.connect_failures.clone(),
        );
    }
}
