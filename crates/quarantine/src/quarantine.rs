//! Decides which subjects may be sent to an engine, given the engines that ended under them.
//!
//! ```text
//! no end ─▶ free ─▶ an engine ended ─▶ suspected: one copy of a request at a time in the
//!             ▲                            │      fleet; requests with a part as before
//!             │                            │ ends at three moments
//!             └── full answer, operator ───┴─▶ refused on all nodes, kept in the store
//! ```

use crate::answers::RecentAnswers;
use crate::evidence::EngineEnd;
use crate::part_answers::RecentPartAnswers;
use crate::subject::Subject;
use crate::suspect::{Claim, Cleared, Refusal, Suspect};
use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::{BTreeSet, HashMap};

/// Number of separate moments with engine ends after which a request is refused.
pub const MOMENTS_UNTIL_REFUSED: usize = 3;
/// Number of different requests under which engines ended after which a part of their prompts is
/// refused. Ends under copies of one request are evidence against that request.
pub const REQUESTS_UNTIL_PART_REFUSED: usize = 2;
/// Retry time while another copy of a suspected request runs, in milliseconds.
pub(crate) const BUSY_RETRY_MS: u64 = 500;

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// There is no evidence against it.
    Free,
    /// An engine ended while running it: only a node that has claimed it may send it.
    AfterClaim,
    /// Another copy of it runs, or the outcome of one is still unknown.
    Busy {
        /// Number of separate moments at which engines ended under it.
        moments: usize,
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Engines ended under it at three moments.
    Refused {
        /// Time until its next trial, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The effect of an engine's end on the state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// The request was fully answered recently, so the engine ended for another reason.
    Cleared,
    /// The end is already known or the request is already refused.
    Known,
    /// The request is suspected.
    Suspected {
        /// Number of separate moments at which engines ended under it.
        moments: usize,
    },
    /// The request is refused from now on.
    Refused,
}

/// The state of one node about subjects under which engines ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    pub(crate) suspects: HashMap<Subject, Suspect>,
    pub(crate) answers: RecentAnswers,
    pub(crate) part_answers: RecentPartAnswers,
    pub(crate) cleared: Vec<Cleared>,
    /// Stored requests to be deleted from the store, as they were released or evicted.
    pub(crate) to_delete: Vec<Subject>,
    /// Whether the list of refused requests in the store is known.
    pub(crate) is_stored_list_known: bool,
    pub(crate) next_repeated: usize,
}

impl Quarantine {
    /// Whether a subject may be sent. `has_new_software` is whether its service has no
    /// engine left with the software of the engines that ended under it.
    pub fn permission_for(
        &self,
        subject: Subject,
        has_new_software: bool,
        now: Millis,
    ) -> Permission {
        let Some(suspect) = self.suspects.get(&subject) else {
            return Permission::Free;
        };
        if let Some(refusal) = suspect.refusal {
            let left_ms = suspect.until_trial_ms(refusal, now);
            if left_ms > 0 && !has_new_software {
                return Permission::Refused {
                    retry_after_ms: left_ms,
                };
            }
        }
        if suspect.is_part {
            return suspect.part_permission(now);
        }
        if suspect.undetermined > 0 || suspect.live_claim(now).is_some() {
            return Permission::Busy {
                moments: suspect.evidence.moments(),
                retry_after_ms: BUSY_RETRY_MS,
            };
        }
        match suspect.evidence.ends().is_empty() && suspect.refusal.is_none() {
            true => Permission::Free,
            false => Permission::AfterClaim,
        }
    }

    /// The software of the engines that ended under a refused request.
    pub fn refused_software(&self, subject: Subject) -> Option<&BTreeSet<SoftwareVersion>> {
        let suspect = self.suspects.get(&subject)?;
        suspect.refusal.map(|_| &suspect.software)
    }

    /// Whether there is no evidence against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of subjects with recorded state.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Number of refused subjects.
    pub fn refused(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|known| known.refusal.is_some()).count()
    }

    /// Claims a request for this node before it is sent.
    pub fn claim(&mut self, subject: Subject, own: PeerId, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.claim = Some(Claim {
                node: own,
                is_sent: false,
                reported_at: now,
            });
            suspect.change(now);
        }
    }

    /// Marks an attempt as sent if this node's claim is still valid right before sending.
    /// Returns whether the request may be sent. From then on, this claim has precedence
    /// over all others.
    pub fn begin_attempt(
        &mut self,
        subject: Subject,
        own: PeerId,
        has_new_software: bool,
        now: Millis,
    ) -> bool {
        if !self.may_begin_attempt(subject, own, has_new_software, now) {
            return false;
        }
        let Some(suspect) = self.suspects.get_mut(&subject) else {
            return true;
        };
        let Some(claim) = suspect.claim.as_mut() else {
            return false;
        };
        claim.is_sent = true;
        claim.reported_at = now;
        if let Some(refusal) = &mut suspect.refusal {
            // Counted before the request runs, so that the trial is recorded even if this
            // node ends during it.
            refusal.trials += 1;
            refusal.since = now;
            refusal.stored_at = None;
            refusal.is_own = true;
            suspect.change(now);
        }
        true
    }

    /// Whether this node's claim is still valid and the subject may be sent.
    pub(crate) fn may_begin_attempt(
        &self,
        subject: Subject,
        own: PeerId,
        has_new_software: bool,
        now: Millis,
    ) -> bool {
        let Some(suspect) = self.suspects.get(&subject) else {
            return true;
        };
        let may_be_tried = match suspect.refusal {
            Some(refusal) => has_new_software || suspect.until_trial_ms(refusal, now) == 0,
            None => true,
        };
        let claim = suspect.live_claim(now);
        let is_own = claim.is_some_and(|claim| claim.node == own);
        may_be_tried && suspect.undetermined == 0 && is_own
    }

    /// Time since the next trial of a refused subject is due, in milliseconds; `None` if it is
    /// not due or the subject is not refused.
    pub(crate) fn trial_due_since_ms(&self, subject: Subject, now: Millis) -> Option<u64> {
        let suspect = self.suspects.get(&subject)?;
        suspect.due_since_ms(suspect.refusal?, now).ok()
    }

    /// Whether a node has claimed a request.
    pub fn is_claimed_by(&self, subject: Subject, node: PeerId) -> bool {
        let claim = self.suspects.get(&subject).and_then(|known| known.claim);
        claim.is_some_and(|claim| claim.node == node)
    }

    /// Whether it is still unknown if the engine of a copy sent by this node has ended.
    pub fn is_outcome_pending(&self, subject: Subject) -> bool {
        let suspect = self.suspects.get(&subject);
        suspect.is_some_and(|suspect| suspect.undetermined > 0)
    }

    /// Releases the claim of this node after its copy has finished.
    pub fn release(&mut self, subject: Subject, own: PeerId, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            if suspect.claim.is_some_and(|claim| claim.node == own) {
                suspect.claim = None;
                suspect.change(now);
            }
        }
    }

    /// Records that the engine of a copy may have ended. This node sends no other copy
    /// until the outcome is determined.
    pub fn note_undetermined_outcome(&mut self, subject: Subject, tenant: TenantTag, now: Millis) {
        self.suspect(subject, tenant, now).undetermined += 1;
    }

    /// Records that the outcome of a copy has been determined.
    pub fn note_determined_outcome(&mut self, subject: Subject) {
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.undetermined = suspect.undetermined.saturating_sub(1);
        }
    }

    /// Records that an engine ended while running a request.
    pub fn note_end(
        &mut self,
        subject: Subject,
        tenant: TenantTag,
        end: EngineEnd,
        software: Option<SoftwareVersion>,
        now: Millis,
    ) -> EndOutcome {
        if self.is_excused(subject, end.at) {
            return EndOutcome::Cleared;
        }
        let suspect = self.suspect(subject, tenant, now);
        if !suspect.evidence.add(end) {
            return EndOutcome::Known;
        }
        suspect.change(now);
        suspect.software.extend(software);
        let moments = suspect.evidence.moments();
        match suspect.refusal {
            Some(_) => EndOutcome::Known,
            None if suspect.has_enough_evidence() => {
                suspect.refusal = Some(Refusal {
                    since: now,
                    trials: 0,
                    stored_at: None,
                    is_own: true,
                });
                EndOutcome::Refused
            }
            None => EndOutcome::Suspected { moments },
        }
    }

    /// Records that a request was fully answered. Returns whether it was suspected or
    /// refused.
    pub fn note_answered(&mut self, subject: Subject, now: Millis) -> bool {
        self.record_answer(subject, now);
        self.clear_and_report(subject, true, now)
    }

    /// Records that an operator released a request. Unlike an answer, this does not excuse
    /// later ends: engines that end under it from now on count.
    pub fn note_released(&mut self, subject: Subject, now: Millis) -> bool {
        self.clear_and_report(subject, false, now)
    }

    /// Whether a request is refused.
    pub fn is_refused(&self, subject: Subject) -> bool {
        let suspect = self.suspects.get(&subject);
        suspect.is_some_and(|suspect| suspect.refusal.is_some())
    }
}
