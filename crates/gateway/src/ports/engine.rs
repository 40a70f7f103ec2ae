//! What engines are sent, and what their answers prove.

use super::CallerRequest;
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
    pub fn in_words(&self) -> &'static str {
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
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The engine at the address is another one than was meant.
    pub other_instance: Option<InstanceId>,
    /// The weights that it has, when it refused because of them.
    pub weights: Option<u64>,
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
    /// Whether the answer is the word of the engine that was meant.
    pub fn is_of(&self, instance: &InstanceId) -> bool {
        match self {
            Self::Success | Self::Failure => true,
            Self::Refused(refused) => {
                let answered = refused.other_instance.as_ref();
                answered.is_none_or(|answered| answered == instance)
            }
            Self::Foreign { .. } => false,
        }
    }
}

/// What an answer says of the rate at which its engine takes requests.
#[derive(Clone, Debug, PartialEq)]
pub enum AdvertisedLimit {
    /// Nothing: the engine takes what it has room for.
    Unlimited,
    /// So many requests a second, from all nodes together.
    PerSecond(f64),
    /// What the answer names is no rate.
    Invalid {
        /// As it stands there, shortened.
        text: String,
    },
}

/// The protocol of engines for requests.
pub trait EngineProtocol: Send + Sync {
    /// The head of the request to the engine.
    fn engine_head(&self, call: &EngineCall<'_>) -> RequestHead;

    /// What the head of an answer proves about the request with this id.
    fn answer_meaning(&self, request_id: &str, head: &ResponseHead) -> AnswerMeaning;

    /// The version of weights that an answer tells.
    fn answer_weights(&self, head: &ResponseHead) -> Option<u64>;

    /// The rate limit that an answer names.
    fn answer_limit(&self, head: &ResponseHead) -> AdvertisedLimit;
}
