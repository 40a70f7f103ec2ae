//! What callers send, and how they are refused.

use ploverlift_http1::{Headers, RequestHead, ResponseHead};
use ploverlift_routing::prompt::Prompt;
use snafu::Snafu;

/// A caller's request, without its body.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// Names this attempt of the caller.
    pub id: String,
    /// The host it names.
    pub host: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller will wait, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The prompt, for requests to a model.
    pub prompt: Option<Prompt>,
    /// Tokens of the prompt and the most to generate, as the caller declares them.
    pub declared_tokens: Option<u64>,
    /// The last event of a broken stream that the caller has.
    pub resume_after: Option<String>,
    /// Headers that are passed on to the engine unchanged.
    pub forwarded: Headers,
}

impl CallerRequest {
    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Why a caller's head is not a proper request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{header}: {reason}"))]
pub struct InvalidRequest {
    /// The header that does not fit.
    pub header: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Why the gateway answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The request is not proper.
    BadRequest,
    /// No known key.
    Unauthorized,
    /// No route.
    NotFound,
    /// The head did not come in time; the request has not run.
    RequestTimeout,
    /// The body is over its limit.
    BodyTooLarge,
    /// The head is over its limit.
    HeadTooLarge,
    /// The tenant is over its limit; the request has not run and will not.
    OverLimit,
    /// The request has not run and will not; the caller may come back.
    NotRun,
    /// The request may have run; no proper answer came.
    EngineFailed,
    /// The request may have run; the time was up.
    TimedOut,
}

impl RefusalKind {
    /// The HTTP status.
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

/// An answer of the gateway itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why, as the caller's program reads it.
    pub kind: RefusalKind,
    /// Why, as a person reads it; never a key or text of a prompt.
    pub reason: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(kind: RefusalKind, reason: impl Into<String>) -> Self {
        Self {
            kind,
            reason: reason.into(),
            retry_after_ms: None,
        }
    }

    /// A request that has not run; the caller may come back after this time.
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
    /// Reads a head.
    ///
    /// # Errors
    /// When a header does not fit.
    fn read_request(&self, head: RequestHead) -> Result<CallerRequest, InvalidRequest>;

    /// The head of a refusal, without its length. `request_id` is the caller's,
    /// when it was read.
    fn refusal_head(&self, refusal: &Refusal, request_id: Option<&str>) -> ResponseHead;
}
