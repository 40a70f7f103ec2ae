//! What is known of one attempt at a back end, and what may be said of it.

use serde::{Deserialize, Serialize};

/// How far an attempt got. The order is the order in which knowledge is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// No byte of the request was handed to the operating system.
    Unsent,
    /// The back end itself said that it did not run the request.
    Refused,
    /// Bytes were sent and no answer came.
    MaybeSent,
    /// The back end began to answer.
    Answered,
}

/// What a refusal tells the caller about its request.
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

/// Whether an answer with this HTTP status tells a caller that its request has not run
/// and never will, whoever gave it. Callers send such requests again.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

impl AttemptState {
    /// What may truthfully be said of a request whose only attempt ended so.
    pub fn run_state(self) -> RunState {
        match self {
            AttemptState::Unsent | AttemptState::Refused => RunState::NotRun,
            AttemptState::MaybeSent => RunState::Unknown,
            AttemptState::Answered => RunState::Started,
        }
    }
}

impl RunState {
    /// Joins what is known of two attempts: the least certain one counts.
    pub fn join(self, other: RunState) -> RunState {
        match (self, other) {
            (RunState::Started, _) | (_, RunState::Started) => RunState::Started,
            (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
            (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
        }
    }
}
