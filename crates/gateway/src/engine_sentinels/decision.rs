//! What a refused connection shows at the end of an answer that ends with its connection.

use std::time::{Duration, Instant};

/// Shortest time between a refused connection and the arrival of bytes, or of the end, of an
/// answer after which an engine that leaves is taken to have run on: bytes that it sent before it
/// terminated are under way for less, unless the link holds them back.
pub const RAN_ON_FOR: Duration = Duration::from_millis(100);

/// What is known from the sentinel connection to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentinelState {
    /// There is no connection, and none was refused.
    Unknown,
    /// The connection is open.
    Open,
    /// The engine closed the connection, or never accepted one, and has refused all others
    /// since.
    Refused {
        /// When it refused the first one.
        since: Instant,
    },
}

impl SentinelState {
    /// Label for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Open => "open",
            Self::Refused { .. } => "refused",
        }
    }
}

/// Why an engine refused a connection after the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It runs: another connection to it is open.
    KeepsOthersOpen,
    /// It leaves, had refused connections before, and went on with the answer.
    RefusedBefore,
    /// It has terminated, as far as is known.
    Terminated,
}

impl RefusalCause {
    /// Label for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::KeepsOthersOpen => "keeps_others_open",
            Self::RefusedBefore => "refused_before",
            Self::Terminated => "terminated",
        }
    }

    /// Derives the cause from the state of the sentinel after the refusal, and from the time at
    /// which the answer's last bytes, or its end, arrived.
    ///
    /// `leaves_within` is the time after which an engine that has announced its leaving may be
    /// terminated by its site; `None` for an engine that has not. Without an announcement, bytes
    /// that arrive after a refusal show nothing: the link may have held them back since before the
    /// engine terminated.
    pub fn of(sentinel: SentinelState, arrived: Instant, leaves_within: Option<Duration>) -> Self {
        match (sentinel, leaves_within) {
            (SentinelState::Open, _) => Self::KeepsOthersOpen,
            (SentinelState::Refused { since }, Some(leaves_within)) => {
                let ran_on_for = arrived.saturating_duration_since(since);
                match ran_on_for >= RAN_ON_FOR && ran_on_for < leaves_within {
                    true => Self::RefusedBefore,
                    false => Self::Terminated,
                }
            }
            (SentinelState::Refused { .. } | SentinelState::Unknown, _) => Self::Terminated,
        }
    }
}
