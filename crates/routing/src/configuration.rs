//! The operator's configuration of forwarded traffic, one versioned document.

use crate::rate_limit::RateLimit;
use ploverlift_policy::ids::{TenantName, ZoneName};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// The name of a service, which is a set of interchangeable engines.
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

/// A complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number, raised on every change.
    pub version: u64,
    /// Routes, in the operator's order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Tenants; `None` when requests need no API key.
    pub tenants: Option<Vec<Tenant>>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
}

/// Which retries the requests of a route allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The request may run more than once.
    Repeatable,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another engine may resume a stream at a position.
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
    /// Host that the request must be addressed to.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// Services and their weights; at least one.
    pub targets: Vec<WeightedTarget>,
    /// Which retries are allowed.
    pub delivery: Delivery,
    /// Request time-out, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of an answer, in milliseconds.
    pub objective_ms: u64,
    /// Most engines that one request may be sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no API key.
    pub is_public: bool,
}

impl Route {
    /// The targets that get requests: those with a positive, finite weight, and an only target
    /// whatever its weight.
    pub fn targets_in_use(&self) -> impl Iterator<Item = &WeightedTarget> {
        let is_only = self.targets.len() == 1;
        let targets = self.targets.iter();
        targets.filter(move |target| is_only || (target.weight > 0.0 && target.weight.is_finite()))
    }
}

/// A target service of a route that splits its traffic.
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
    /// Connections that one engine accepts in total.
    pub max_connections: Option<u32>,
    /// Path of its engines' health check.
    pub health_path: Option<String>,
    /// Models that its engines serve; empty for a plain application.
    pub models: Vec<String>,
    /// Capacity of one engine's KV cache, in tokens.
    pub cache_capacity_tokens: Option<u64>,
    /// KV cache size per token, in bytes.
    pub cache_token_bytes: Option<f64>,
    /// Bandwidth at which one engine transfers KV cache, in megabits per second.
    pub cache_link_mbps: Option<f64>,
    /// Most pending long-poll calls for cache events that one engine accepts; `None` if its
    /// engines report no cache events.
    pub max_event_calls: Option<u32>,
    /// Properties of the KV cache store, if the service is one and has no engines.
    pub cache_store: Option<CacheStore>,
}

/// A KV cache store.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Address at which engines reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Capacity, in tokens.
    pub capacity_tokens: u64,
    /// Bandwidth at which it transfers KV cache, in megabits per second.
    pub link_mbps: Option<f64>,
    /// Most pending long-poll calls for its events; unlimited if the configuration sets no
    /// limit.
    pub max_event_calls: Option<u32>,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name.
    pub name: TenantName,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Whether its cached prompts are not shared with other tenants.
    pub is_isolated: bool,
    /// Rate limit; `None` if its use is not limited.
    pub rate_limit: Option<RateLimit>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first to the last byte of a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest idle time of a connection between two requests, in milliseconds.
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
