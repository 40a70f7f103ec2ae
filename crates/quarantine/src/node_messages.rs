//! Messages that nodes exchange about subjects under which engines ended.

use crate::fingerprint::RequestTag;
use crate::subject::Subject;
use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;

/// Most subjects in one message, so that it fits into one datagram.
pub const MAX_REPORTED: usize = 12;

/// An engine that ended, and how long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedEnd {
    /// The engine.
    pub engine: EngineTag,
    /// Time since the request was sent to it, in milliseconds.
    pub begun_age_ms: u64,
    /// Time since it ended, in milliseconds.
    pub age_ms: u64,
    /// The request that ran there.
    pub request: RequestTag,
}

/// The claim of the only node that may currently send the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedClaim {
    /// The node.
    pub node: PeerId,
    /// Whether it has begun to send. Otherwise it still waits for competing claims.
    pub is_sent: bool,
    /// Time since the node itself reported the claim, in milliseconds.
    pub age_ms: u64,
}

/// Why a request was cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedClearing {
    /// Whether an engine fully answered it; otherwise an operator released it.
    pub is_answer: bool,
    /// Time since the clearing, in milliseconds.
    pub age_ms: u64,
}

/// A request that is refused everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedRefusal {
    /// Time since the refusal, in milliseconds.
    pub age_ms: u64,
    /// Number of trials since then.
    pub trials: u32,
    /// Whether it is stored.
    pub is_stored: bool,
}

/// The report about one subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedSubject {
    /// The request, or the part of prompts.
    pub subject: Subject,
    /// Its tenant.
    pub tenant: TenantTag,
    /// Engines that ended while running it.
    pub ends: Vec<ReportedEnd>,
    /// Versions of their software.
    pub software: Vec<SoftwareVersion>,
    /// The claim of the node that may currently send it.
    pub claim: Option<ReportedClaim>,
    /// Its refusal, if it is refused.
    pub refusal: Option<ReportedRefusal>,
    /// Why it was cleared, if it was.
    pub clearing: Option<ReportedClearing>,
}
