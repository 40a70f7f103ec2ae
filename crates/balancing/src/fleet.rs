//! What a node knows of the fleet, and what the choice of an engine depends on.

use crate::cache_contents::CacheContents;
use crate::catalogue::EngineCatalogue;
use crate::engine_caches::EngineCaches;
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

/// What a node knows of the fleet.
#[derive(Clone, Debug)]
pub struct FleetView<'a> {
    /// The zones and their regions.
    pub topology: &'a Topology,
    /// How long round trips from this node to other zones take.
    pub round_trips: &'a RoundTrips,
    /// Engines, with this node's own requests.
    pub catalogue: &'a EngineCatalogue,
    /// Requests of other nodes.
    pub peer_loads: &'a PeerLoads,
    /// Where shared parts of prompts were sent.
    pub holders: &'a PrefixHolders,
    /// What the engines whose events are followed keep.
    pub caches: &'a EngineCaches,
    /// What this node gave engines to read lately.
    pub recent_prefill: &'a RecentPrefill,
    /// Moves of KV cache that this node's requests have begun.
    pub moves: &'a MovesUnderWay,
    /// The KV cache stores that are in use.
    pub cache_stores: Vec<StoreView<'a>>,
}

/// What a node knows of one KV cache store.
#[derive(Clone, Copy, Debug)]
pub struct StoreView<'a> {
    /// Where engines reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'a ZoneName,
    /// What it keeps.
    pub contents: &'a CacheContents,
    /// Rate at which it moves KV cache within its zone, in tokens a millisecond.
    pub tokens_per_ms: f64,
}

/// What the choice depends on.
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
    /// Versions of the engines' software that may serve the request.
    pub software: SoftwareRule,
    /// A random number, by which engines are drawn where there are too many to look at
    /// all.
    pub sample_seed: u64,
    /// Engines that were tried already.
    pub excluded: &'a [InstanceId],
    /// Time for which engines that say that they leave may serve the request where no
    /// other ones are left, in milliseconds.
    pub leaving_grace_ms: u64,
    /// Whether engines that have a rate limit are left out.
    pub avoids_limited: bool,
}

/// What the choice of a model engine depends on.
#[derive(Clone, Debug)]
pub struct PromptCriteria<'a> {
    /// The model.
    pub model: &'a str,
    /// Within which cache is shared.
    pub scope: &'a str,
    /// Key of the shared parts.
    pub key: ChainKey,
    /// The parts that other requests may have too.
    pub shared: &'a [PromptPart],
    /// Rate at which KV cache moves from engine to engine within a zone, in tokens a
    /// millisecond.
    pub move_tokens_per_ms: f64,
    /// Lowest version of weights that is allowed.
    pub required_weights: u64,
    /// The request's place among those that other nodes send unseen, in 0 to 1; drawn
    /// at random.
    pub arrival_fraction: f64,
}

impl PromptCriteria<'_> {
    /// Tokens of the parts that other requests may have too.
    pub fn shared_tokens(&self) -> u64 {
        self.shared.iter().map(|part| part.tokens).sum()
    }
}
