//! What the calls of the store have shown of its outages.
//!
//! Feeds notice an outage at different times: a watch that waits through a short one
//! notices nothing, and is the first to be told of what lapsed meanwhile. So the
//! outcome of every call counts, whoever made it.
//!
//! A call may fail for a reason of this node's own, as when its link is full. So a
//! failure alone does not show that records may have lapsed: an engine's record lapses
//! only when the store took none of its heartbeats for a time, and through that time it
//! answered no call of this node either.

use crate::ports::StoreError;
use crate::settings::GatewaySettings;
use ploverlift_policy::ids::Millis;

/// Time for which a failed call alone shows an outage, in milliseconds: the longest
/// pause of a feed before its next call.
const FAILURE_RELEVANT_MS: u64 = 3_000;
/// Time from the store's return within which living engines have written their
/// records again, in milliseconds (the site's promise: about two seconds).
const RECORD_GRACE_MS: u64 = 2_000;
/// Heartbeats that the store has missed at least when a record lapses: three, of which
/// the first may have been due just before the outage.
const MISSED_HEARTBEATS: u64 = 2;

/// What calls have shown of the store's outages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOutage {
    failed_at: Option<Millis>,
    returned_at: Option<Millis>,
    /// When the first call after the last answer began.
    unanswered_since: Option<Millis>,
    /// When the store answered again after a silence in which records may have lapsed.
    lapses_ended_at: Option<Millis>,
    /// Shortest silence of the store in which records may lapse, in milliseconds.
    shortest_silence_ms: u64,
    /// Time from the store's return for which lapsed records are kept, in milliseconds.
    grace_ms: u64,
}

/// What the end of a call has changed.
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
        /// Whether records may have lapsed meanwhile.
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
    /// No call was made yet. Lapsed records are kept no longer than knowledge of the
    /// engines may be old, `engines_age_limit_ms`.
    pub fn new(settings: &GatewaySettings, engines_age_limit_ms: u64) -> Self {
        Self {
            shortest_silence_ms: settings.store.engine_heartbeat_ms * MISSED_HEARTBEATS,
            grace_ms: RECORD_GRACE_MS.min(engines_age_limit_ms),
            ..Self::default()
        }
    }

    /// A call of the store begins. A node that makes none for a time shows no silence.
    pub fn note_call_began(&mut self, now: Millis) {
        self.unanswered_since.get_or_insert(now);
    }

    /// This node stood still: that it heard nothing meanwhile was not the store's silence.
    pub fn note_suspension(&mut self) {
        self.unanswered_since = None;
    }

    /// A call of the store ended; tells what is news.
    pub fn note_call_ended<T>(
        &mut self,
        outcome: &Result<T, StoreError>,
        now: Millis,
    ) -> Option<OutageChange> {
        let was_away = self.is_away();
        let silence_ms = self.unanswered_since.map(|at| now.since(at));
        if is_failure(outcome) {
            self.failed_at = Some(now);
            return (!was_away).then_some(OutageChange::Began { silence_ms });
        }
        let may_have_lapsed = was_away && self.is_long_silence(now);
        self.unanswered_since = None;
        if !was_away {
            return None;
        }
        // The store answered: it is there.
        self.returned_at = Some(now);
        if may_have_lapsed {
            self.lapses_ended_at = Some(now);
        }
        Some(OutageChange::Ended {
            silence_ms,
            may_have_lapsed,
        })
    }

    /// The store came back from a copy, which lacks records that were written since.
    pub fn note_restored(&mut self, now: Millis) {
        self.lapses_ended_at = Some(now);
    }

    /// When the store was last reached again after a failure.
    pub fn returned_at(&self) -> Option<Millis> {
        self.returned_at
    }

    /// When a call last failed, where none has gone well since.
    pub fn failing_since(&self) -> Option<Millis> {
        self.failed_at.filter(|_| self.is_away())
    }

    fn is_away(&self) -> bool {
        self.failed_at.is_some() && self.failed_at >= self.returned_at
    }

    fn is_long_silence(&self, now: Millis) -> bool {
        let silence_ms = self.unanswered_since.map_or(0, |at| now.since(at));
        silence_ms >= self.shortest_silence_ms
    }

    /// Time that is left to engines whose records lapsed, in milliseconds; none where no
    /// record can have lapsed. While no call has succeeded since a failure, whoever is
    /// told of a lapsed record is the first to see the store's return: the whole time
    /// is left.
    pub fn remaining_grace_ms(&self, now: Millis) -> u64 {
        let has_recent_failure = self
            .failed_at
            .is_some_and(|at| now.since(at) < FAILURE_RELEVANT_MS);
        if self.is_away() && has_recent_failure && self.is_long_silence(now) {
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
