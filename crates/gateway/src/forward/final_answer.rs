//! What a caller is told of a request that no engine has answered well.
//!
//! The only place where "has not run and will not" is said of a request that went to
//! engines. It follows from all that was sent, never from how the last attempt ended.

use super::Progress;
use crate::ports::{Refusal, RefusalKind};
use ploverlift_http1::ResponseHead;
use ploverlift_policy::attempt::{promises_not_run, RunState};

/// An answer of an engine that ran the request and failed.
pub(super) struct EngineFailure {
    pub(super) head: ResponseHead,
    pub(super) body: Vec<u8>,
}

/// What the caller gets.
pub(super) enum FinalAnswer {
    /// The failure of an engine, as it came.
    EngineFailure(EngineFailure),
    /// The node's own word.
    Refusal(Refusal),
}

impl FinalAnswer {
    /// What follows from the attempts at a request.
    pub(super) fn of(progress: &mut Progress, default_retry_after_ms: u64) -> Self {
        let failure = progress.engine_failure.take();
        // An engine that ran it can't promise the contrary by its status, and an answer
        // in its name must have that status: the node speaks for itself instead.
        let failure = failure.filter(|failure| !promises_not_run(failure.head.status));
        if let Some(failure) = failure {
            return Self::EngineFailure(failure);
        }
        let reason = std::mem::take(&mut progress.reason);
        Self::Refusal(match progress.attempts.run_state() {
            RunState::NotRun => {
                let retry_after_ms = progress.retry_after_ms.unwrap_or(default_retry_after_ms);
                Refusal::not_run(reason, retry_after_ms)
            }
            RunState::Unknown | RunState::Started if progress.time_is_up => {
                Refusal::new(RefusalKind::TimedOut, reason)
            }
            RunState::Unknown | RunState::Started => {
                Refusal::new(RefusalKind::EngineFailed, reason)
            }
        })
    }

    /// The outcome, for the request's log line.
    pub(super) fn outcome(&self) -> &'static str {
        match self {
            Self::EngineFailure(_) => "engine_failure",
            Self::Refusal(refusal) => match refusal.kind {
                RefusalKind::NotRun => "refused",
                RefusalKind::TimedOut => "timed_out",
                _ => "engine_lost",
            },
        }
    }
}
