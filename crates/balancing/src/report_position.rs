//! Ordering of the reports of one sender.

use ploverlift_policy::ids::Millis;
use std::cmp::Ordering;

/// Time after which no report of a sender's earlier life is in transit any more, in
/// milliseconds. Datagrams between nodes take a few milliseconds, or some hundred in the
/// queue of a congested link. A restart of a process takes longer than that.
const DELAYED_MS: u64 = 500;

/// Life, sequence number and arrival time of the last report of a sender.
///
/// Each receiver of reports of nodes, of relays or of zone sums keeps one position for each
/// sender.
///
/// A node identifies its life by the time of day at its start. If its clock is set back, the
/// reports after a restart would be ignored for as long as its last life is remembered.
/// Therefore a lower life counts as an earlier one only while reports of that life may still
/// be in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportPosition {
    life: u64,
    sequence: u64,
    heard_at: Millis,
}

/// A report that no later report of its sender has overtaken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewReport {
    /// Its position.
    pub position: ReportPosition,
    /// Whether the sender's life has changed since its last report.
    pub life: LifeChange,
}

/// The life of a sender's report compared to that of its last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeChange {
    /// The same life, or the first report of the sender.
    Same,
    /// A later life.
    Later,
    /// A lower life: the sender's clock was set back, or a report of an earlier life was
    /// delayed for a long time.
    Lower,
}

impl ReportPosition {
    /// The position of a report that arrives at `now`, compared to the sender's last applied
    /// report, if any; `None` when the report was overtaken.
    pub fn follow(known: Option<Self>, life: u64, sequence: u64, now: Millis) -> Option<NewReport> {
        if known.is_some_and(|known| known.overtakes(life, sequence, now)) {
            return None;
        }
        let known_life = known.map_or(life, |known| known.life);
        Some(NewReport {
            position: Self {
                life,
                sequence,
                heard_at: now,
            },
            life: match life.cmp(&known_life) {
                Ordering::Equal => LifeChange::Same,
                Ordering::Greater => LifeChange::Later,
                Ordering::Less => LifeChange::Lower,
            },
        })
    }

    /// The time at which the report arrived.
    pub fn heard_at(&self) -> Millis {
        self.heard_at
    }

    /// Whether this report was sent after the one that arrives at `now`, or is the same one.
    /// A report of a lower life counts as overtaken for [`DELAYED_MS`] only.
    fn overtakes(&self, life: u64, sequence: u64, now: Millis) -> bool {
        if life < self.life {
            return now.since(self.heard_at) < DELAYED_MS;
        }
        (self.life, self.sequence) >= (life, sequence)
    }
}
