//! Which of a sender's reports is the newest.

use ploverlift_policy::ids::Millis;

/// Time after which no report of a sender's earlier life is still on its way, in
/// milliseconds: datagrams between nodes take a few milliseconds, a queue that a full
/// link holds up some hundred. A process that ended is back later than that.
const DELAYED_MS: u64 = 500;

/// Life and number of the last report of a sender, and when it came.
///
/// Each place that hears reports of nodes, of relays or of the sums of a zone has one
/// for each sender.
///
/// A node names its life by the time of day at its start, which may be set back: a
/// node that restarts then would not be heard for as long as its last life is
/// remembered. So a lower life counts as an earlier one only as long as a report of
/// that may still be on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportPosition {
    life: u64,
    sequence: u64,
    heard_at: Millis,
}

impl ReportPosition {
    /// The position of a report that was taken in.
    pub fn new(life: u64, sequence: u64, heard_at: Millis) -> Self {
        Self {
            life,
            sequence,
            heard_at,
        }
    }

    /// The sender's life.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// When the report came.
    pub fn heard_at(&self) -> Millis {
        self.heard_at
    }

    /// Whether this report was sent after one that comes now, or is the same. Of a
    /// lower life that is so for half a second only.
    pub fn overtakes(&self, life: u64, sequence: u64, now: Millis) -> bool {
        if life < self.life {
            return now.since(self.heard_at) < DELAYED_MS;
        }
        (self.life, self.sequence) >= (life, sequence)
    }
}
