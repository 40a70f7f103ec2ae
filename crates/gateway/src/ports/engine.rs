//! What engines are sent, and what their answers prove.

use super::{CallerRequest, EngineSignals};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_http1::{RequestHead, ResponseHead};
use std::net::SocketAddr;

/// A request to an engine, without its body.
#[derive(Clone, Debug)]
pub struct EngineCall<'a> {
    /// The caller's request.
    pub request: &'a CallerRequest,
    /// Length of the body, in bytes.
    pub body_length: usize,
    /// The life of the engine that is meant; another one refuses.
    pub instance: &'a InstanceId,
    /// How long the engine may work on it, in milliseconds.
    pub deadline_ms: u64,
    /// The tenant that holds the caller's key.
    pub tenant: Option<&'a str>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// The version of weights that is relied on; an engine with another refuses.
    pub weights: Option<u64>,
    /// KV cache, for requests to a model.
    pub cache: Option<CacheTransfer>,
    /// The last event that the caller has.
    pub resume_after: Option<&'a str>,
    /// Whether another request may follow on the connection.
    pub keeps_connection: bool,
}

/// How a request uses KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheTransfer {
    /// The name under which parts are filed and looked up.
    pub salt: String,
    /// Where the engine fetches parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Where it saves parts.
    pub save_to: Option<SocketAddr>,
}

impl CacheTransfer {
    /// What is fetched and saved, for logs.
    pub fn log_label(&self) -> &'static str {
        match (self.fetch_from, self.save_to) {
            (Some(_), Some(_)) => "fetch+save",
            (Some(_), None) => "fetch",
            (None, Some(_)) => "save",
            (None, None) => "local",
        }
    }
}

/// An engine's word that it did not run the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusedByEngine {
    /// The status, for logs.
    pub status: u16,
    /// Whether it is not the engine, or has not the weights, that were meant.
    pub is_mismatch: bool,
    /// The engine that refused because of a mismatch, where it says so.
    pub answered_by: Option<InstanceId>,
}

/// What the head of an engine's answer proves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// The engine did not run the request.
    Refused(RefusedByEngine),
    /// A success of this request.
    Success,
    /// The engine ran the request and failed.
    Failure,
    /// Not a proper answer of an engine to this request.
    Foreign {
        /// What does not fit.
        reason: &'static str,
    },
}

impl AnswerMeaning {
    /// Whether the answer is the word of the engine that was meant. After a mismatch it
    /// must have named itself: what it says may not be told of another engine.
    pub fn is_from(&self, instance: &InstanceId) -> bool {
        match self {
            Self::Success | Self::Failure => true,
            Self::Refused(refused) => {
                !refused.is_mismatch || refused.answered_by.as_ref() == Some(instance)
            }
            Self::Foreign { .. } => false,
        }
    }
}

/// The protocol of engines for requests.
pub trait EngineProtocol: Send + Sync {
    /// The head of the request to the engine.
    fn engine_head(&self, call: &EngineCall<'_>) -> RequestHead;

    /// What the head of an answer proves about the request with this id.
    fn answer_meaning(&self, request_id: &str, head: &ResponseHead) -> AnswerMeaning;

    /// What the head of an answer says of its engine.
    fn engine_signals(&self, head: &ResponseHead) -> EngineSignals;
}
