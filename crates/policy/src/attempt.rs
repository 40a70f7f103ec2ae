//! The state of one attempt at a back end, and the run state that may be reported for it.

use serde::{Deserialize, Serialize};

/// How far an attempt got. The later the state, the less certain it is that the request
/// did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// No byte of the request was handed to the operating system.
    Unsent,
    /// The back end reported that it did not run the request.
    Refused,
    /// Bytes were sent and no answer was received.
    MaybeSent,
    /// The back end began to answer.
    Answered,
}

/// Whether a request ran, as reported to the caller with a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request runs or ran.
    Started,
}

/// Whether an answer with this HTTP status guarantees that the request has not run and
/// never will, no matter which server on the path sent it. Callers retry such requests.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

impl AttemptState {
    /// The run state of a request whose only attempt ended in this state.
    pub fn run_state(self) -> RunState {
        match self {
            AttemptState::Unsent | AttemptState::Refused => RunState::NotRun,
            AttemptState::MaybeSent => RunState::Unknown,
            AttemptState::Answered => RunState::Started,
        }
    }
}

impl RunState {
    /// The run state of a request after two attempts: `Started` if either started, else
    /// `Unknown` if either may have run.
    pub fn join(self, other: RunState) -> RunState {
        match (self, other) {
            (RunState::Started, _) | (_, RunState::Started) => RunState::Started,
            (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
            (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
        }
    }
}
