//! The final answer to a request that no engine has answered successfully.
//!
//! This is the only place that reports "has not run and will not" for a request that was
//! sent to engines. The report follows from all sends, never from the end of the last
//! attempt alone.

use super::Progress;
use crate::held_body::HeldBody;
use crate::ports::{Refusal, RefusalKind};
use ploverlift_http1::ResponseHead;
use ploverlift_policy::attempt::{promises_not_run, RunState};

/// An answer of an engine that ran the request and failed.
pub(super) struct EngineFailure {
    pub(super) head: ResponseHead,
    pub(super) body: HeldBody,
}

/// The final answer to the caller.
pub(super) enum FinalAnswer {
    /// The failure answer of an engine, unchanged.
    EngineFailure(EngineFailure),
    /// A refusal by this node.
    Refusal(Refusal),
}

impl FinalAnswer {
    /// Derives the final answer from the attempts of a request.
    pub(super) fn of(progress: &mut Progress, default_retry_after_ms: u64) -> Self {
        let failure = progress.engine_failure.take();
        // The status would promise "not run" although the engine ran the request, and an
        // answer in the engine's name can't have another status: the node refuses in its own
        // name instead.
        let failure = failure.filter(|failure| !promises_not_run(failure.head.status.get()));
        if let Some(failure) = failure {
            return Self::EngineFailure(failure);
        }
        let reason = std::mem::take(&mut progress.reason);
        Self::Refusal(match progress.attempts.run_state_if_abandoned() {
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

    /// Outcome for the request's log line.
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
