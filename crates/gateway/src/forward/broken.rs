//! How an attempt broke that was sent and has no whole answer.

use crate::engine_connection::FailureReason;
use ploverlift_http1::HttpError;

/// What broke an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BreakCause {
    /// The engine closed or reset the connection: it may have ended.
    ConnectionEnded,
    /// The request's time was up.
    TimeIsUp,
    /// The wait was given up, or the answer is none.
    Other,
}

/// An attempt that was sent and has no whole answer.
#[derive(Clone, Debug)]
pub(super) struct Broken {
    pub(super) reason: String,
    pub(super) cause: BreakCause,
}

impl Broken {
    /// A wait that was given up, or an answer that is none.
    pub(super) fn other(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
            cause: BreakCause::Other,
        }
    }

    /// Silence for too long.
    pub(super) fn timed_out(reason: &str, time_is_up: bool) -> Self {
        Self {
            reason: reason.to_owned(),
            cause: match time_is_up {
                true => BreakCause::TimeIsUp,
                false => BreakCause::Other,
            },
        }
    }

    /// What an error inside an answer says.
    pub(super) fn in_answer(error: &HttpError) -> Self {
        Self::caused_by(&FailureReason::of(error), false)
    }

    /// What kept the head of an answer from coming.
    pub(super) fn caused_by(reason: &FailureReason, time_is_up: bool) -> Self {
        let text = reason.to_string();
        match reason {
            _ if time_is_up => Self::timed_out(&text, true),
            FailureReason::ConnectionEnded(_) => Self {
                reason: text,
                cause: BreakCause::ConnectionEnded,
            },
            _ => Self::other(text),
        }
    }

    pub(super) fn time_is_up(&self) -> bool {
        self.cause == BreakCause::TimeIsUp
    }
}
