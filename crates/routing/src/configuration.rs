//! The operator's configuration of forwarded traffic, as one versioned document.

use crate::rate_limit::RateLimit;
use ploverlift_policy::ids::{TenantName, ZoneName};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// The name of a service: a set of engines that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceName(pub String);

impl From<&str> for ServiceName {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Rises with every change.
    pub version: u64,
    /// Routes in the order in which the operator wrote them.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Tenants; nothing when requests need no key.
    pub tenants: Option<Vec<Tenant>>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
}

/// What may be done again with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The request may run more than once.
    Repeatable,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another engine may continue a stream at a position.
        resumable: bool,
    },
}

impl Delivery {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            Delivery::Repeatable | Delivery::Stream { resumable: true }
        )
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Delivery::Stream { .. })
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that the request must name.
    pub host: String,
    /// Start of the path, from a slash to a slash.
    pub path_prefix: String,
    /// Services and their weights; at least one.
    pub targets: Vec<WeightedTarget>,
    /// What may be done again.
    pub delivery: Delivery,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is of full use, in milliseconds.
    pub objective_ms: u64,
    /// Engines that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// One service of a split route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other targets.
    pub weight: f64,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one engine accepts from all callers together.
    pub max_connections: Option<u32>,
    /// Models that its engines serve; empty for a plain application.
    pub models: Vec<String>,
    /// Tokens that one engine keeps.
    pub cache_capacity_tokens: Option<u64>,
    /// Bytes of KV cache for each token.
    pub cache_token_bytes: Option<f64>,
    /// Rate at which one engine moves KV cache, in megabits a second.
    pub cache_link_mbps: Option<f64>,
    /// Waiting calls for cache events that one engine holds at once; nothing
    /// where engines tell no events.
    pub max_event_calls: Option<u32>,
    /// Address and zone, when the service is a KV cache store and no engine.
    pub cache_store: Option<CacheStore>,
}

/// A KV cache store.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Where engines reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Tokens that it keeps.
    pub capacity_tokens: u64,
    /// Rate at which it moves KV cache, in megabits a second.
    pub link_mbps: Option<f64>,
    /// Waiting calls for its events that it holds at once; not limited where the
    /// configuration does not tell.
    pub max_event_calls: Option<u32>,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name.
    pub name: TenantName,
    /// Keys that its callers send.
    pub keys: Vec<String>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Whether its cache is shared with nobody.
    pub is_isolated: bool,
    /// What it may use; nothing where that is not limited.
    pub rate_limit: Option<RateLimit>,
}

/// Bounds on what a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a head to its last, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest rest of a connection between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
