//! Messages that nodes exchange about limits.

use crate::group::{GroupTag, Holder};
use ploverlift_balancing::names::{EngineTag, PeerId};

/// Most limits of a group in one message, so that it fits into one datagram.
pub const MAX_LIMITS_PER_UPDATE: usize = 32;

/// The limit of one engine, as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpdatedLimit {
    /// The engine.
    pub engine: EngineTag,
    /// The rate, in requests a second; `None` once the engine no longer advertises one.
    pub limit: Option<f64>,
    /// Increases with each change within a term.
    pub sequence: u64,
    /// Time since the answer that carried the limit, in milliseconds.
    pub age_ms: u64,
}

/// An update about one group: changed limits, or a rotating subset of all limits.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupUpdate {
    /// The group.
    pub group: GroupTag,
    /// Its holder.
    pub holder: Holder,
    /// Limits of its engines.
    pub limits: Vec<UpdatedLimit>,
}

/// The engines for which a token is requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// This engine.
    Engine(EngineTag),
    /// Any engine of the group except these.
    AnyBut(Vec<EngineTag>),
}

/// A token request. A retransmission gets the same answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// The requesting node.
    pub sender: PeerId,
    /// Number of the request since the start of the sender.
    pub number: u64,
    /// The group.
    pub group: GroupTag,
    /// The requested engines.
    pub wanted: Wanted,
    /// Whether the request has priority over others.
    pub is_urgent: bool,
}

/// When to request a token again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// Time until a token is available, in milliseconds.
    pub wait_ms: u64,
    /// Range of the random delay that is added to `wait_ms`, in milliseconds.
    pub spread_ms: u64,
    /// Time in which each requesting node gets one token, in milliseconds.
    pub turn_ms: u64,
}

/// The answer to a token request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenAnswer {
    /// One request may be sent to this engine.
    Granted {
        /// The engine.
        engine: EngineTag,
        /// Tokens that the engine has left.
        left: f64,
    },
    /// No token is available.
    Denied(Denial),
    /// The engine has no limit, as far as the holder knows.
    Unlimited,
    /// The node does not hold the group.
    NotHolder,
}
