//! Requests of callers, and refusals sent to them.

use ploverlift_http1::{Headers, RequestHead, ResponseHead, Target};
use ploverlift_routing::prompt::Prompt;
use snafu::Snafu;

/// A caller's request, without its body.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// Request id, unique for each attempt of the caller.
    pub id: String,
    /// Requested host.
    pub host: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: Target,
    /// The caller's key.
    pub key: Option<String>,
    /// Time for which the caller will wait, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The prompt, for requests to a model.
    pub prompt: Option<Prompt>,
    /// Tokens of the prompt plus the maximum number to generate, as declared by the caller.
    pub declared_tokens: Option<u64>,
    /// Id of the last event that the caller received of a broken stream.
    pub resume_after: Option<String>,
    /// Id of the request that brought the first event of that stream.
    pub resumes: Option<String>,
    /// Headers that are passed on to the engine unchanged.
    pub forwarded: Headers,
}

impl CallerRequest {
    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.path()
    }
}

/// Why a caller's head is not a valid request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{header}: {reason}"))]
pub struct InvalidRequest {
    /// The invalid header.
    pub header: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Why the gateway refuses or fails a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The request is malformed.
    BadRequest,
    /// The key is missing or unknown.
    Unauthorized,
    /// No route matches.
    NotFound,
    /// The request did not arrive in time; it has not run.
    RequestTimeout,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The head exceeds its limit.
    HeadTooLarge,
    /// The tenant exceeds its limit; the request has not run and will not run.
    OverLimit,
    /// The request has not run and will not run; the caller may retry.
    NotRun,
    /// The request may have run, but no valid answer was received.
    EngineFailed,
    /// The request may have run, but its deadline passed.
    TimedOut,
}

impl RefusalKind {
    /// The HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            RefusalKind::BadRequest => 400,
            RefusalKind::Unauthorized => 401,
            RefusalKind::NotFound => 404,
            RefusalKind::RequestTimeout => 408,
            RefusalKind::BodyTooLarge => 413,
            RefusalKind::HeadTooLarge => 431,
            RefusalKind::OverLimit => 429,
            RefusalKind::NotRun => 503,
            RefusalKind::EngineFailed => 502,
            RefusalKind::TimedOut => 504,
        }
    }
}

/// An answer that the gateway generates itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Machine-readable kind.
    pub kind: RefusalKind,
    /// Human-readable reason; never contains a key or text of a prompt.
    pub reason: String,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal without a retry time.
    pub fn new(kind: RefusalKind, reason: impl Into<String>) -> Self {
        Self {
            kind,
            reason: reason.into(),
            retry_after_ms: None,
        }
    }

    /// Refusal of a request that has not run; the caller may retry after `retry_after_ms`
    /// milliseconds.
    pub fn not_run(reason: impl Into<String>, retry_after_ms: u64) -> Self {
        Self {
            kind: RefusalKind::NotRun,
            reason: reason.into(),
            retry_after_ms: Some(retry_after_ms),
        }
    }
}

/// The protocol of callers.
pub trait CallerProtocol: Send + Sync {
    /// Decodes a request head.
    ///
    /// # Errors
    /// When a header is invalid.
    fn read_request(&self, head: RequestHead) -> Result<CallerRequest, InvalidRequest>;

    /// The head of a refusal, without the body's length. `request_id` is the caller's id if
    /// the request was decoded.
    fn refusal_head(&self, refusal: &Refusal, request_id: Option<&str>) -> ResponseHead;
}
