//! The order of an engine's heartbeats.

/// The heartbeat that wrote a record. Heartbeats may arrive late and out of order, so the
/// store's revision does not show which of two heartbeats is the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Start of the engine's current life, in Unix milliseconds; 0 when the engine does not
    /// report it. An engine that restarts under the same name has a later one.
    pub born_ms: u64,
    /// Sequence number within this life; 0 when the engine does not report it.
    pub sequence: u64,
}

impl Heartbeat {
    /// Whether this heartbeat is from an earlier life than `other`.
    pub(crate) fn is_of_earlier_start(self, other: Self) -> bool {
        self.born_ms != 0 && self.born_ms < other.born_ms
    }

    /// Whether this heartbeat is from a later life than `other`.
    pub fn is_of_later_start(self, other: Self) -> bool {
        other.is_of_earlier_start(self)
    }

    /// Whether `other` is a later heartbeat of the same life.
    pub(crate) fn precedes(self, other: Self) -> bool {
        self.born_ms == other.born_ms && self.sequence != 0 && self.sequence < other.sequence
    }
}
