//! Limits on messages, apart from those that the reader of a message sets for its head and body.

/// Limits on what a peer may send around the body of a message, and on a reader's turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageLimits {
    /// Maximum number of headers in one head.
    pub headers: usize,
    /// Maximum length of a chunk-size line or a trailer line, in bytes.
    pub line_bytes: usize,
    /// Maximum length of all chunk extensions of a body, in bytes.
    pub extension_bytes: usize,
    /// Maximum length of all trailers of a body, in bytes.
    pub trailer_bytes: usize,
    /// Number of bytes that a task reads without waiting before it lets other tasks run.
    pub turn_bytes: usize,
}

/// The limits of all connections.
pub const MESSAGE_LIMITS: MessageLimits = MessageLimits {
    headers: 96,
    line_bytes: 1_024,
    extension_bytes: 16 * 1_024,
    trailer_bytes: 16 * 1_024,
    turn_bytes: 4 * 1_024,
};
