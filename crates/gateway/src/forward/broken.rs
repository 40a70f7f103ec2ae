//! Attempts whose request was sent and that got no complete answer.

use crate::engine_connection::FailureReason;
use ploverlift_http1::HttpError;

/// Why an attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BreakCause {
    /// The engine closed or reset the connection; the engine itself may have ended.
    ConnectionEnded,
    /// The request's deadline or its route's time-out has passed.
    TimeIsUp,
    /// The wait was given up, or the answer is invalid.
    Other,
}

/// A request was sent and got no complete answer.
#[derive(Clone, Debug)]
pub(super) struct BrokenAttempt {
    pub(super) reason: String,
    pub(super) cause: BreakCause,
}

impl BrokenAttempt {
    /// The wait was given up, or the answer is invalid.
    pub(super) fn other(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
            cause: BreakCause::Other,
        }
    }

    /// The engine closed the connection before its answer was whole.
    pub(super) fn connection_ended(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
            cause: BreakCause::ConnectionEnded,
        }
    }

    /// Nothing arrived in time. `time_is_up` when the request itself has no time left.
    pub(super) fn timed_out(reason: &str, time_is_up: bool) -> Self {
        Self {
            reason: reason.to_owned(),
            cause: match time_is_up {
                true => BreakCause::TimeIsUp,
                false => BreakCause::Other,
            },
        }
    }

    /// An error occurred after the head of the answer.
    pub(super) fn in_answer(error: &HttpError) -> Self {
        Self::due_to(&FailureReason::of(error), false)
    }

    /// The exchange with the engine failed for a reason. `time_is_up` when the request itself
    /// has no time left.
    pub(super) fn due_to(reason: &FailureReason, time_is_up: bool) -> Self {
        let text = reason.to_string();
        match reason {
            _ if time_is_up => Self::timed_out(&text, true),
            FailureReason::ConnectionEnded(_) => Self::connection_ended(text),
            _ => Self::other(text),
        }
    }

    pub(super) fn time_is_up(&self) -> bool {
        self.cause == BreakCause::TimeIsUp
    }
}
