//! What the calls of the store have shown of its outages.
//!
//! Feeds notice an outage at different times: a watch that waits through a short one
//! notices nothing, and is the first to be told of what lapsed meanwhile. So the
//! outcome of every call counts, whoever made it.

use crate::ports::StoreError;
use ploverlift_policy::ids::Millis;

/// Time for which a failed call alone shows an outage, in milliseconds: the longest
/// pause of a feed before its next call.
const FAILURE_COUNTS_MS: u64 = 3_000;
/// Time from the store's return within which living engines have written their
/// records again, in milliseconds (the site's promise: about two seconds).
const BACK_WITHIN_MS: u64 = 2_000;

/// The last failure and the last return of the store, as calls showed them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreOutage {
    failed_at: Option<Millis>,
    returned_at: Option<Millis>,
}

impl StoreOutage {
    /// A call of the store ended.
    pub fn note<T>(&mut self, outcome: &Result<T, StoreError>, now: Millis) {
        match outcome {
            Err(
                StoreError::Refused { .. }
                | StoreError::Unreachable { .. }
                | StoreError::Unknown { .. },
            ) => self.failed_at = Some(now),
            // The store answered: it is there.
            _ if self.is_away() => self.returned_at = Some(now),
            _ => {}
        }
    }

    /// When the store was last reached again after a failure.
    pub fn returned_at(&self) -> Option<Millis> {
        self.returned_at
    }

    fn is_away(&self) -> bool {
        self.failed_at.is_some() && self.failed_at >= self.returned_at
    }

    /// Time that is left to engines whose records lapsed, in milliseconds. While no
    /// call has succeeded since a failure, whoever is told of a lapsed record is the
    /// first to see the store's return: the whole time is left.
    pub fn time_to_come_back_ms(&self, now: Millis) -> u64 {
        let has_failed_lately = self
            .failed_at
            .is_some_and(|at| now.since(at) < FAILURE_COUNTS_MS);
        if self.is_away() && has_failed_lately {
            return BACK_WITHIN_MS;
        }
        let returned_at = self.returned_at;
        returned_at.map_or(0, |at| BACK_WITHIN_MS.saturating_sub(now.since(at)))
    }
}
