//! The order of an engine's heartbeats.

/// The heartbeat that wrote a record. Heartbeats may arrive late and in another order than
/// they were sent, so the store's revision does not tell which of two is the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// When this life of the engine began, in Unix milliseconds; 0 where it does not tell.
    /// An engine that starts again under its name has a later one.
    pub born_ms: u64,
    /// Its number in this life; 0 where the engine does not tell.
    pub sequence: u64,
}

impl Heartbeat {
    /// Whether it is from an earlier life than the other one.
    pub(crate) fn is_of_earlier_start(self, other: Self) -> bool {
        self.born_ms != 0 && self.born_ms < other.born_ms
    }

    /// Whether it is from a later life than the other one.
    pub fn is_of_later_start(self, other: Self) -> bool {
        other.is_of_earlier_start(self)
    }

    /// Whether the same life said the other one later.
    pub(crate) fn precedes(self, other: Self) -> bool {
        self.born_ms == other.born_ms && self.sequence != 0 && self.sequence < other.sequence
    }
}
