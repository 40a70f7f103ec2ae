//! Requests to engines, and the meaning of their answers.

use super::{CallerRequest, EngineSignals};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_http1::{HttpError, RequestHead, ResponseHead};
use std::net::SocketAddr;

/// A request to an engine, without its body.
#[derive(Clone, Debug)]
pub struct EngineCall<'a> {
    /// The caller's request.
    pub request: &'a CallerRequest,
    /// Length of the body, in bytes.
    pub body_length: usize,
    /// Engine incarnation that the request is for; any other one refuses it.
    pub instance: &'a InstanceId,
    /// Time for which the engine may work on the request, in milliseconds.
    pub deadline_ms: u64,
    /// The tenant that owns the caller's key.
    pub tenant: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Required version of the weights; an engine with another version refuses the request.
    pub weights: Option<u64>,
    /// Use of KV cache, for requests to a model.
    pub cache: Option<CacheTransfer>,
    /// Id of the last event that the caller received.
    pub resume_after: Option<&'a str>,
    /// Whether the connection may be reused for another request.
    pub keeps_connection: bool,
}

/// How a request uses KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheTransfer {
    /// Namespace in which cached prompt parts are stored and looked up.
    pub salt: String,
    /// Address from which the engine fetches parts that it has not cached.
    pub fetch_from: Option<SocketAddr>,
    /// Address to which the engine saves parts.
    pub save_to: Option<SocketAddr>,
}

impl CacheTransfer {
    /// Label of the transfer for logs.
    pub fn log_label(&self) -> &'static str {
        match (self.fetch_from, self.save_to) {
            (Some(_), Some(_)) => "fetch+save",
            (Some(_), None) => "fetch",
            (None, Some(_)) => "save",
            (None, None) => "local",
        }
    }
}

/// An engine's statement that it did not run the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusedByEngine {
    /// HTTP status, for logs.
    pub status: u16,
    /// Whether another engine answered than the request was for, or the engine lacks the
    /// required weights.
    pub is_mismatch: bool,
    /// The engine that refused because of a mismatch, if the answer names it.
    pub answered_by: Option<InstanceId>,
}

/// What the head of an engine's answer proves about the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// The engine did not run the request.
    Refused(RefusedByEngine),
    /// The engine ran the request and succeeded.
    Success,
    /// The engine ran the request and failed.
    Failure,
    /// Not a valid answer of an engine to this request.
    Foreign {
        /// What is wrong with the answer.
        reason: &'static str,
    },
}

impl AnswerMeaning {
    /// Whether the answer comes from the engine that the request was for. After a mismatch the
    /// answer must name that engine, as otherwise the statements of one engine could be
    /// attributed to another.
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

/// A question that only asks whether an engine instance runs.
#[derive(Clone, Copy, Debug)]
pub struct LivenessProbe<'a> {
    /// The instance; any other one refuses the probe.
    pub instance: &'a InstanceId,
    /// Path of its service's health check, if it is known.
    pub health_path: Option<&'a str>,
    /// Whether engines of its service report on their models.
    pub reports: bool,
    /// Whether the connection is known to lead to the instance, so that the answer need not
    /// name it.
    pub is_instance_known: bool,
    /// Time for which the engine may hold the probe, in milliseconds.
    pub deadline_ms: u64,
}

/// What the head of an answer to a [`LivenessProbe`] shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAnswer {
    /// The instance answered.
    Instance,
    /// An engine answered that does not name itself.
    Unnamed,
    /// Another instance answered.
    OtherInstance,
    /// Not an engine's answer to a probe.
    Foreign,
}

/// The engines' protocol for requests.
pub trait EngineProtocol: Send + Sync {
    /// The head of the request to the engine.
    ///
    /// # Errors
    /// When a value of the call, such as the engine's identifier, can't be written in a head.
    fn engine_head(&self, call: &EngineCall<'_>) -> Result<RequestHead, HttpError>;

    /// What the head of an answer proves about the request with the id `request_id`.
    fn answer_meaning(&self, request_id: &str, head: &ResponseHead) -> AnswerMeaning;

    /// The head of a probe; `None` if there is no way to ask: no path, or one that can't be written.
    fn liveness_head(&self, probe: &LivenessProbe<'_>) -> Option<RequestHead>;

    /// What the head of an answer to a probe of this instance shows.
    fn liveness_answer(&self, instance: &InstanceId, head: &ResponseHead) -> LivenessAnswer;

    /// Signals about its engine in the head of an answer.
    fn engine_signals(&self, head: &ResponseHead) -> EngineSignals;
}
