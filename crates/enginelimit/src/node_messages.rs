//! What nodes tell each other of limits.

use crate::group::{GroupTag, Holder};
use ploverlift_balancing::names::{EngineTag, PeerId};

/// Limits of one group in one message: with them it stays within one datagram.
pub const MAX_LIMITS_PER_UPDATE: usize = 32;

/// The limit of one engine, as its holder has found it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpdatedLimit {
    /// The engine.
    pub engine: EngineTag,
    /// The rate, in requests a second; nothing once the engine names none any more.
    pub limit: Option<f64>,
    /// Rises with each change within a term.
    pub sequence: u64,
    /// Time since the answer that it rests on, in milliseconds.
    pub age_ms: u64,
}

/// What is told of one group: limits that have changed, or some of all in turn.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupUpdate {
    /// The group.
    pub group: GroupTag,
    /// Who holds it.
    pub holder: Holder,
    /// Limits of its engines.
    pub limits: Vec<UpdatedLimit>,
}

/// What a token is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// This engine.
    Engine(EngineTag),
    /// Any engine of the group but these.
    AnyBut(Vec<EngineTag>),
}

/// A question for a token. It may come twice: it is answered alike then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Who asks.
    pub sender: PeerId,
    /// Number of the question, within the sender's life.
    pub number: u64,
    /// The group.
    pub group: GroupTag,
    /// What is wanted.
    pub wanted: Wanted,
    /// Whether the request goes before others.
    pub is_urgent: bool,
}

/// When to ask again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// Time until a token comes, in milliseconds.
    pub wait_ms: u64,
    /// Time beyond it within which to ask, at a random moment, in milliseconds.
    pub spread_ms: u64,
    /// Time in which one token comes for each node that asks, in milliseconds.
    pub turn_ms: u64,
}

/// The answer to a question for a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenAnswer {
    /// One request may be sent to this engine.
    Granted {
        /// The engine.
        engine: EngineTag,
        /// Tokens that are left there.
        left: f64,
    },
    /// There is none.
    Denied(Denial),
    /// The engine has no limit, as far as the holder knows.
    Unlimited,
    /// The node does not hold the group.
    NotHolder,
}
