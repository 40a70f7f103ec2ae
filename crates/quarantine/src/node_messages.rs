//! What nodes tell each other of requests under which engines ended.

use crate::fingerprint::RequestFingerprint;
use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;

/// Requests of which one message tells: with them it stays within one datagram.
pub const MAX_REPORTED: usize = 12;

/// An engine that ended, and how long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedEnd {
    /// The engine.
    pub engine: EngineTag,
    /// Time since the request was sent there, in milliseconds.
    pub begun_age_ms: u64,
    /// Time since it ended, in milliseconds.
    pub age_ms: u64,
}

/// The node that alone may send the request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedClaim {
    /// The node.
    pub node: PeerId,
    /// Whether it has begun to send; otherwise it waits for the claims of others.
    pub is_sent: bool,
    /// Time since the node itself said so, in milliseconds.
    pub age_ms: u64,
}

/// What speaks for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedClearing {
    /// Whether an engine answered it whole; otherwise an operator released it.
    pub is_answer: bool,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

/// A request that is refused everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedRefusal {
    /// Time since then, in milliseconds.
    pub age_ms: u64,
    /// Trials that it was given since.
    pub trials: u32,
    /// Whether the store has it.
    pub is_stored: bool,
}

/// What is told of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRequest {
    /// The request.
    pub request: RequestFingerprint,
    /// Its tenant.
    pub tenant: TenantTag,
    /// Engines that ended under it.
    pub ends: Vec<ReportedEnd>,
    /// Versions of their software.
    pub software: Vec<SoftwareVersion>,
    /// Who may send it now.
    pub claim: Option<ReportedClaim>,
    /// Since when it is refused.
    pub refusal: Option<ReportedRefusal>,
    /// What speaks for it.
    pub clearing: Option<ReportedClearing>,
}
