//! Inputs, results and records of routing decisions.

use ploverlift_policy::chain::PromptChain;
use ploverlift_policy::decide::{Exclusion, ScoredCandidate};
use ploverlift_policy::fleet::EngineKey;
use ploverlift_policy::ids::{
    EngineName, Incarnation, Millis, NodeName, RequestId, ResourceVersion, TenantName,
    WeightsVersion,
};
use ploverlift_policy::labels::Selector;
use ploverlift_policy::snapshot::{Snapshot, Tenant};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The record of one decision, as `explain` prints it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The caller's request.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// The node that decided.
    pub node: NodeName,
    /// Milliseconds since the node's start.
    pub decided_at: Millis,
    /// Version of the configuration in force.
    pub configuration: ResourceVersion,
    /// The tenant.
    pub tenant: TenantName,
    /// The route that matched.
    pub route: String,
    /// The route's selector on engines, as configured.
    pub engine_selector: Selector,
    /// The route's pool.
    pub pool: String,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Excluded engines, each with the reason.
    pub excluded: Vec<Exclusion>,
    /// Scored engines, each with its cost by term.
    pub scored: Vec<ScoredCandidate>,
    /// The chosen engine, or `None` when no engine was eligible.
    pub chosen: Option<EngineName>,
}

/// The properties of a request that a decision needs.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The request.
    pub id: RequestId,
    /// The tenant, as configured when the request arrived.
    pub tenant: Arc<Tenant>,
    /// Position of the route in the snapshot.
    pub route: usize,
    /// The snapshot in force when the request arrived.
    pub snapshot: Arc<Snapshot>,
    /// Text of the prompt; empty for plain services.
    pub prompt: Arc<Vec<u8>>,
}

/// The prompt's blocks under each weights version that eligible engines serve.
pub type VersionedChains = Vec<(WeightsVersion, PromptChain)>;

/// An engine chosen for an attempt.
#[derive(Clone, Debug)]
pub struct ChosenEngine {
    /// Hash of the engine's name.
    pub key: EngineKey,
    /// Name.
    pub name: EngineName,
    /// Listener.
    pub address: SocketAddr,
    /// The incarnation on whose cache the decision relies; the engine refuses a
    /// request for another one.
    pub incarnation: Incarnation,
    /// The weights on which the decision relies; the engine refuses a request
    /// for others.
    pub weights: WeightsVersion,
    /// Expected time to first token, in milliseconds.
    pub expected_ms: f64,
    /// Estimated number of the prompt's tokens that are cached.
    pub cached_tokens: u32,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// The prompt's blocks under the engine's weights.
    pub chain: PromptChain,
}
