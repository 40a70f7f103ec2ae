//! Metrics of connections to engines.

use super::connect::EnginePath;
use crate::http_call::ConnectFailure;
use crate::state::Gateway;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// How a connection attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectFailureLabel {
    /// `no_answer`, `refused`, `rejected` or `local`.
    pub failure: &'static str,
}

/// Answer to a request for a tunnel.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TunnelAnswerLabel {
    /// `opened`, or the reason why there is none.
    pub answer: &'static str,
}

/// How a tunnel ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TunnelEndLabel {
    /// `closed_by_node`, `closed_by_engine` or `broken`.
    pub end: &'static str,
}

/// The path of a connection on which a request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PathLabel {
    /// `direct` or `tunnel`.
    pub path: &'static str,
}

/// Metrics of connections to engines.
#[derive(Debug, Default)]
pub struct PathMetrics {
    /// Failed connection attempts of requests.
    pub connect_failures: Family<ConnectFailureLabel, Counter>,
    /// Requests sent to engines, by path.
    pub sends: Family<PathLabel, Counter>,
    /// Engines that are cut off from this node.
    pub engines_cut_off: Gauge,
    /// This node's requests to peers for a tunnel, by the answer.
    pub tunnel_requests: Family<TunnelAnswerLabel, Counter>,
    /// Requests of peers for a tunnel, by this node's answer.
    pub tunnel_answers: Family<TunnelAnswerLabel, Counter>,
    /// Tunnels that this node carries for others.
    pub tunnels_carried: Gauge,
    /// Tunnels that this node has carried, by how they ended.
    pub tunnel_ends: Family<TunnelEndLabel, Counter>,
    /// Bytes of tunnels that this node has carried.
    pub tunnel_bytes: Counter,
}

/// Updates the gauges of paths and tunnels, before the metrics are read.
pub(crate) fn publish_paths(gateway: &Gateway) {
    let engines_cut_off = gateway.beliefs().engine_paths.cut_count();
    let tunnels_carried = gateway.tunnel_use().open();
    let metrics = &gateway.metrics.paths;
    metrics.engines_cut_off.set(engines_cut_off as i64);
    metrics.tunnels_carried.set(tunnels_carried as i64);
}

impl PathMetrics {
    /// Counts a failed connection attempt.
    pub fn count_connect_failure(&self, failure: ConnectFailure) {
        let label = ConnectFailureLabel {
            failure: failure.name(),
        };
        self.connect_failures.get_or_create(&label).inc();
    }

    /// Counts a request sent to an engine.
    pub fn count_send(&self, path: EnginePath) {
        let label = PathLabel { path: path.name() };
        self.sends.get_or_create(&label).inc();
    }

    /// Counts a request of this node to a peer.
    pub fn count_tunnel_request(&self, answer: &'static str) {
        let label = TunnelAnswerLabel { answer };
        self.tunnel_requests.get_or_create(&label).inc();
    }

    /// Counts a request of a peer to this node.
    pub fn count_tunnel_answer(&self, answer: &'static str) {
        let label = TunnelAnswerLabel { answer };
        self.tunnel_answers.get_or_create(&label).inc();
    }

    /// Counts the end of a tunnel that this node carried.
    pub fn count_tunnel_end(&self, end: &'static str) {
        let label = TunnelEndLabel { end };
        self.tunnel_ends.get_or_create(&label).inc();
    }

    /// Adds the metrics to a page.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "connect_failures",
            "Failed connections of requests to engines, by how they failed",
            self.connect_failures.clone(),
        );
        registry.register(
            "sends",
            "Requests sent to engines, by path",
            self.sends.clone(),
        );
        registry.register(
            "engines_cut_off",
            "Engines that peers reach and this node does not",
            self.engines_cut_off.clone(),
        );
        registry.register(
            "tunnel_requests",
            "Requests to peers for a tunnel, by their answer",
            self.tunnel_requests.clone(),
        );
        registry.register(
            "tunnel_answers",
            "Requests of peers for a tunnel, by the answer",
            self.tunnel_answers.clone(),
        );
        registry.register(
            "tunnels_carried",
            "Tunnels that this node carries for others",
            self.tunnels_carried.clone(),
        );
        registry.register(
            "tunnel_ends",
            "Tunnels carried for others, by how they ended",
            self.tunnel_ends.clone(),
        );
        registry.register(
            "tunnel_bytes",
            "Bytes of tunnels carried for others",
            self.tunnel_bytes.clone(),
        );
    }
}
