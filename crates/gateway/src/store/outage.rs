//! Detection of store outages from the outcomes of calls.
//!
//! Feeds notice an outage at different times: a watch that waits through a short outage
//! does not notice it, and is then the first to receive the expiry of records. Therefore the
//! outcomes of all calls count, independent of the caller.
//!
//! A call may also fail for a local reason, such as a saturated link, so a failure alone
//! does not show that records may have expired: an engine record expires only if the store
//! accepted none of the engine's heartbeats for a time, and in that time the store answered
//! no call of this node either.

use crate::ports::StoreError;
use crate::settings::GatewaySettings;
use ploverlift_policy::ids::Millis;

/// Time for which a failed call is evidence of an outage while no call has succeeded since,
/// in milliseconds: the longest pause of a feed before its next call.
const FAILURE_RELEVANT_MS: u64 = 3_000;
/// Time after an outage within which running engines have written their records again, in
/// milliseconds (the site promises about two seconds).
const RECORD_GRACE_MS: u64 = 2_000;
/// Minimum number of heartbeat periods in an outage in which a record expires: a record
/// expires after three missed heartbeats, the first of which may have been due just before
/// the outage.
const MISSED_HEARTBEATS: u64 = 2;

/// Outages of the store, as observed from the outcomes of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOutage {
    failed_at: Option<Millis>,
    returned_at: Option<Millis>,
    /// When the first call after the last answer began.
    unanswered_since: Option<Millis>,
    /// When an outage in which records may have expired ended.
    lapses_ended_at: Option<Millis>,
    /// Shortest time without answers in which records may expire, in milliseconds.
    shortest_silence_ms: u64,
    /// Time after an outage for which expired records are kept, in milliseconds.
    grace_ms: u64,
}

/// Change of the outage state at the end of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageChange {
    /// The first failure after an answer.
    Began {
        /// Time for which calls have had no answer, in milliseconds.
        silence_ms: Option<u64>,
    },
    /// The first answer after a failure.
    Ended {
        /// Time for which calls had no answer, in milliseconds.
        silence_ms: Option<u64>,
        /// Whether records may have expired during the outage.
        may_have_lapsed: bool,
    },
}

impl Default for StoreOutage {
    fn default() -> Self {
        Self {
            failed_at: None,
            returned_at: None,
            unanswered_since: None,
            lapses_ended_at: None,
            shortest_silence_ms: 0,
            grace_ms: RECORD_GRACE_MS,
        }
    }
}

impl StoreOutage {
    /// The state before the first call. Expired records are kept for at most
    /// `engines_age_limit_ms`, the maximum age of the engine list.
    pub fn new(settings: &GatewaySettings, engines_age_limit_ms: u64) -> Self {
        Self {
            shortest_silence_ms: settings.store.engine_heartbeat_ms * MISSED_HEARTBEATS,
            grace_ms: RECORD_GRACE_MS.min(engines_age_limit_ms),
            ..Self::default()
        }
    }

    /// Records that a call began. Times without calls do not count as times without answers.
    pub fn note_call_began(&mut self, now: Millis) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that this node was suspended: missing answers in that time are not evidence of
    /// an outage.
    pub fn note_suspension(&mut self) {
        self.unanswered_since = None;
    }

    /// Records the outcome of a call and returns the resulting change, if any.
    pub fn note_call_ended<T>(
        &mut self,
        outcome: &Result<T, StoreError>,
        now: Millis,
    ) -> Option<OutageChange> {
        let was_unavailable = self.is_unavailable();
        let silence_ms = self.unanswered_since.map(|at| now.since(at));
        if is_failure(outcome) {
            self.failed_at = Some(now);
            return (!was_unavailable).then_some(OutageChange::Began { silence_ms });
        }
        let may_have_lapsed = was_unavailable && self.is_long_silence(now);
        self.unanswered_since = None;
        if !was_unavailable {
            return None;
        }
        // Any answer shows that the store is available.
        self.returned_at = Some(now);
        if may_have_lapsed {
            self.lapses_ended_at = Some(now);
        }
        Some(OutageChange::Ended {
            silence_ms,
            may_have_lapsed,
        })
    }

    /// Records that the store was restored from a copy, which lacks records written since.
    pub fn note_restored(&mut self, now: Millis) {
        self.lapses_ended_at = Some(now);
    }

    /// When a call last succeeded after a failure.
    pub fn returned_at(&self) -> Option<Millis> {
        self.returned_at
    }

    /// When a call last failed, if none has succeeded since.
    pub fn failing_since(&self) -> Option<Millis> {
        self.failed_at.filter(|_| self.is_unavailable())
    }

    fn is_unavailable(&self) -> bool {
        self.failed_at.is_some() && self.failed_at >= self.returned_at
    }

    fn is_long_silence(&self, now: Millis) -> bool {
        let silence_ms = self.unanswered_since.map_or(0, |at| now.since(at));
        silence_ms >= self.shortest_silence_ms
    }

    /// Remaining grace period of engines whose records expired, in milliseconds; 0 if no
    /// record can have expired. While no call has succeeded since a failure, the feed that
    /// receives an expired record is the first to observe the end of the outage, so the whole
    /// grace period remains.
    pub fn remaining_grace_ms(&self, now: Millis) -> u64 {
        let has_recent_failure = self
            .failed_at
            .is_some_and(|at| now.since(at) < FAILURE_RELEVANT_MS);
        if self.is_unavailable() && has_recent_failure && self.is_long_silence(now) {
            return self.grace_ms;
        }
        let ended_at = self.lapses_ended_at;
        ended_at.map_or(0, |at| self.grace_ms.saturating_sub(now.since(at)))
    }
}

fn is_failure<T>(outcome: &Result<T, StoreError>) -> bool {
    matches!(
        outcome,
        Err(StoreError::Refused { .. }
            | StoreError::Unreachable { .. }
            | StoreError::Unknown { .. })
    )
}
