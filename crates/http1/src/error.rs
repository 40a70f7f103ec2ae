//! Errors of reading and writing HTTP/1.1 messages.

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
    /// The bytes are not a valid HTTP/1.1 message.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// The violated rule.
        reason: String,
    },
    /// The operating system reported an error.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// An [`HttpError::Malformed`] with this reason.
pub fn malformed(reason: impl Into<String>) -> HttpError {
    HttpError::Malformed {
        reason: reason.into(),
    }
}
