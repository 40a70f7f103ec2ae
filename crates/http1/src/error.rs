//! Errors of this layer.

use snafu::Snafu;

/// Why a message could not be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum HttpError {
    /// The peer closed the connection before the first byte of a message.
    #[snafu(display("the connection was closed"))]
    Closed,
    /// The peer closed the connection inside a message.
    #[snafu(display("the connection was closed inside a message"))]
    Truncated,
    /// The head is larger than the limit.
    #[snafu(display("the head is over {limit} bytes"))]
    HeadTooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The bytes are not a message in the protocol.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// What does not fit.
        reason: String,
    },
    /// The operating system reported an error.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// What it said.
        source: std::io::Error,
    },
}

/// A [`HttpError::Malformed`] with this reason.
pub fn malformed(reason: impl Into<String>) -> HttpError {
    HttpError::Malformed {
        reason: reason.into(),
    }
}
