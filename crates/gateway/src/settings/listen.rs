//! Settings for the addresses on which the gateway listens.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// `[listen]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// For metrics; not served if absent.
    pub metrics: Option<SocketAddr>,
    /// For reports of other nodes (UDP); none are exchanged if absent.
    pub peers: Option<SocketAddr>,
    /// For tunnels to engines that other nodes do not reach (TCP); none are opened if absent.
    pub tunnels: Option<SocketAddr>,
}
