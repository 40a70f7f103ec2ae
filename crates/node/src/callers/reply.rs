//! Answers in JSON and typed refusals.

use ploverlift_policy::attempt::{promises_not_run, RunState};
use ploverlift_policy::request::{Refusal, RefusalReason};
use serde::Serialize;
use trillium::{Conn, KnownHeaderName, Status};

/// The body of every refusal and error.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
    /// What is known of the request's run.
    pub run_state: RunState,
}

/// What went wrong, in the shape of the OpenAI API.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorDetail {
    /// A stable word for programs.
    pub r#type: &'static str,
    /// A sentence for people.
    pub message: String,
}

/// An answer that is an error, with all that the caller needs.
#[derive(Clone, Debug)]
pub struct ErrorReply {
    /// HTTP status.
    pub status: Status,
    /// Body.
    pub body: ErrorBody,
    /// Seconds after which a new try can succeed.
    pub retry_after_seconds: Option<u64>,
}

impl ErrorReply {
    /// An error of a request that did not run and would fail again.
    pub fn rejected(status: Status, kind: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            body: ErrorBody {
                error: ErrorDetail {
                    r#type: kind,
                    message: message.into(),
                },
                run_state: RunState::NotRun,
            },
            retry_after_seconds: None,
        }
    }

    /// A refusal of a request that did not run and may succeed later.
    pub fn try_later(
        status: Status,
        kind: &'static str,
        message: impl Into<String>,
        seconds: u64,
    ) -> Self {
        let mut reply = Self::rejected(status, kind, message);
        reply.retry_after_seconds = Some(seconds);
        reply
    }

    /// The error as JSON text.
    pub fn json(&self) -> String {
        serde_json::to_string(&self.body).unwrap_or_default()
    }
}

impl From<Refusal> for ErrorReply {
    fn from(refusal: Refusal) -> Self {
        let (status, kind, message) = describe(refusal.reason);
        let is_true = refusal.run_state == RunState::NotRun || !promises_not_run(status as u16);
        Self {
            status: match is_true {
                true => status,
                // Callers that read the status alone must not take it for "not run".
                false => Status::BadGateway,
            },
            body: ErrorBody {
                error: ErrorDetail {
                    r#type: kind,
                    message: message.to_owned(),
                },
                run_state: refusal.run_state,
            },
            retry_after_seconds: Some(refusal.retry_after.seconds_rounded_up()),
        }
    }
}

fn describe(reason: RefusalReason) -> (Status, &'static str, &'static str) {
    match reason {
        RefusalReason::NoEngine => (
            Status::ServiceUnavailable,
            "no_engine",
            "no engine may serve this request now",
        ),
        RefusalReason::Duplicate => (
            Status::Conflict,
            "duplicate_request",
            "an earlier request with this key was started and its answer is not recorded yet",
        ),
        RefusalReason::KeyReused => (
            Status::UnprocessableEntity,
            "idempotency_key_reused",
            "this key was used for another request; this request was not run",
        ),
        RefusalReason::ClaimUnavailable => (
            Status::ServiceUnavailable,
            "claim_unavailable",
            "it cannot be known now whether this request ran before",
        ),
        RefusalReason::Overloaded => (
            Status::ServiceUnavailable,
            "overloaded",
            "the queue is longer than this request's deadline allows",
        ),
        RefusalReason::AttemptsFailed => (
            Status::ServiceUnavailable,
            "attempts_failed",
            "the back ends did not answer",
        ),
        RefusalReason::Deadline => (
            Status::GatewayTimeout,
            "deadline_passed",
            "the first byte did not come before the deadline",
        ),
        RefusalReason::StreamLost => (
            Status::BadGateway,
            "stream_lost",
            "the answer broke off and cannot be continued",
        ),
    }
}

/// Answers with JSON.
pub fn json(conn: Conn, status: Status, body: &impl Serialize) -> Conn {
    let text = serde_json::to_string(body).unwrap_or_default();
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(text)
        .halt()
}

/// Answers with an error.
pub fn error(conn: Conn, reply: &ErrorReply) -> Conn {
    let conn = match reply.retry_after_seconds {
        Some(seconds) => {
            conn.with_response_header(KnownHeaderName::RetryAfter, seconds.to_string())
        }
        None => conn,
    };
    json(conn, reply.status, &reply.body)
}
