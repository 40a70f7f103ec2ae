//! A node's view of the fleet, and the criteria for the choice of an engine.

use crate::cache_contents::CacheContents;
use crate::catalogue::EngineCatalogue;
use crate::engine_caches::EngineCaches;
use crate::engine_paths::EnginePaths;
use crate::moves::MovesUnderWay;
use crate::names::InstanceId;
use crate::peer_loads::PeerLoads;
use crate::prefix_holders::PrefixHolders;
use crate::round_trips::RoundTrips;
use crate::unreported_load::RecentPrefill;
use ploverlift_policy::ids::ZoneName;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::{ChainKey, PromptPart};
use ploverlift_routing::software::SoftwareRule;
use ploverlift_routing::topology::Topology;
use std::net::SocketAddr;

/// A node's view of the fleet.
#[derive(Clone, Debug)]
pub struct FleetView<'a> {
    /// The zones and their regions.
    pub topology: &'a Topology,
    /// Measured round trips from this node to other zones.
    pub round_trips: &'a RoundTrips,
    /// Engines, with the load of this node's own requests.
    pub catalogue: &'a EngineCatalogue,
    /// Engines that are cut off from this node.
    pub paths: &'a EnginePaths,
    /// Loads that other nodes report.
    pub peer_loads: &'a PeerLoads,
    /// Engines to which shared parts of prompts were sent.
    pub holders: &'a PrefixHolders,
    /// Cache contents of the engines whose events are followed.
    pub caches: &'a EngineCaches,
    /// Prompt tokens that this node recently sent to engines.
    pub recent_prefill: &'a RecentPrefill,
    /// Moves of KV cache that this node's requests have begun.
    pub moves: &'a MovesUnderWay,
    /// The KV cache stores that are in use.
    pub cache_stores: Vec<StoreView<'a>>,
}

/// A node's view of one KV cache store.
#[derive(Clone, Copy, Debug)]
pub struct StoreView<'a> {
    /// Address at which engines reach the store.
    pub address: SocketAddr,
    /// Zone of the store.
    pub zone: &'a ZoneName,
    /// Known contents of the store.
    pub contents: &'a CacheContents,
    /// Rate at which the store moves KV cache within its zone, in tokens per millisecond.
    pub tokens_per_ms: f64,
}

/// Criteria for the choice of an engine.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Zone of this node.
    pub zone: &'a ZoneName,
    /// Length of the request's body, in bytes.
    pub request_bytes: u64,
    /// The prompt, for requests to a model.
    pub prompt: Option<PromptCriteria<'a>>,
    /// Software versions of engines that may serve the request.
    pub software: SoftwareRule,
    /// Random number that selects random engines where there are too many to examine all.
    pub sample_seed: u64,
    /// Engines that were tried already.
    pub excluded: &'a [InstanceId],
    /// Time for which engines that have announced that they are leaving may still serve
    /// the request when no other engines are left, in milliseconds.
    pub leaving_grace_ms: u64,
    /// Whether engines with a rate limit are left out.
    pub avoids_limited: bool,
}

/// Criteria for the choice of an engine of a model.
#[derive(Clone, Debug)]
pub struct PromptCriteria<'a> {
    /// The model.
    pub model: &'a str,
    /// Scope within which KV cache is shared.
    pub scope: &'a str,
    /// Key of the shared parts.
    pub key: ChainKey,
    /// The parts that the prompt may share with other requests.
    pub shared: &'a [PromptPart],
    /// Rate at which KV cache moves between engines within a zone, in tokens per
    /// millisecond.
    pub move_tokens_per_ms: f64,
    /// Lowest weights version that may serve the request.
    pub required_weights: u64,
    /// Random position of the request among the unreported requests of other nodes, from
    /// 0 to 1.
    pub arrival_fraction: f64,
}

impl PromptCriteria<'_> {
    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared.iter().map(|part| part.tokens).sum()
    }
}
