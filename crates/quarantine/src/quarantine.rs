//! Which requests may be sent to an engine, by what they did to engines before.
//!
//! ```text
//! no end ─▶ free ─▶ an engine ended ─▶ suspected: one copy at a time in the fleet
//!             ▲                            │ ends at three moments
//!             └── whole answer, operator ──┴─▶ refused everywhere, kept in the store
//! ```

use crate::answers::RecentAnswers;
use crate::evidence::EngineEnd;
use crate::fingerprint::RequestFingerprint;
use crate::suspect::{Claim, Cleared, Refusal, Suspect};
use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::telling::Telling;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::{BTreeSet, HashMap};

/// Moments at which engines ended under a request from which on it is refused.
pub const MOMENTS_UNTIL_REFUSED: usize = 3;
/// Time to come back while another copy of a suspected request runs, in milliseconds.
const BUSY_RETRY_MS: u64 = 500;

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Nothing speaks against it.
    Free,
    /// An engine ended under it: a node that has claimed it may send it.
    AfterClaim,
    /// Another copy of it runs, or it is being found out what one did.
    Busy {
        /// Moments at which engines ended under it.
        moments: usize,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// Engines ended under it at three moments.
    Refused {
        /// When it could work again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What an engine's end showed of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// It was answered whole a short time ago: the engine ended for another reason.
    Cleared,
    /// It is known already.
    Known,
    /// It is suspected; engines ended under it at so many moments.
    Suspected {
        /// The moments.
        moments: usize,
    },
    /// It is refused from now on.
    Refused,
}

/// What this node knows of requests under which engines ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    pub(crate) suspects: HashMap<RequestFingerprint, Suspect>,
    pub(crate) answers: RecentAnswers,
    pub(crate) cleared: Vec<Cleared>,
    /// Refused requests that are stored and were released or forgotten.
    pub(crate) to_delete: Vec<RequestFingerprint>,
    /// Whether the store's list is known.
    pub(crate) is_stored_list_known: bool,
    pub(crate) next_repeated: usize,
}

impl Quarantine {
    /// Whether a request may be sent. `has_new_software` tells whether its service has no
    /// engine left of the software that ended under it.
    pub fn permission_for(
        &self,
        request: RequestFingerprint,
        has_new_software: bool,
        now: Millis,
    ) -> Permission {
        let Some(suspect) = self.suspects.get(&request) else {
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
    pub fn refused_software(
        &self,
        request: RequestFingerprint,
    ) -> Option<&BTreeSet<SoftwareVersion>> {
        let suspect = self.suspects.get(&request)?;
        suspect.refusal.map(|_| &suspect.software)
    }

    /// Whether nothing at all is known against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Requests of which something is known.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Requests that are refused.
    pub fn refused(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|known| known.refusal.is_some()).count()
    }

    /// A node claims a request that it would send.
    pub fn claim(&mut self, request: RequestFingerprint, own: PeerId, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.claim = Some(Claim {
                node: own,
                is_sent: false,
                reported_at: now,
            });
            suspect.change(now);
        }
    }

    /// Whether the claim of this node still stands right before the request is sent, and
    /// so may be sent. From then on no other claim goes before it.
    pub fn begin_attempt(
        &mut self,
        request: RequestFingerprint,
        own: PeerId,
        has_new_software: bool,
        now: Millis,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return true;
        };
        let may_be_tried = match suspect.refusal {
            Some(refusal) => has_new_software || suspect.until_trial_ms(refusal, now) == 0,
            None => true,
        };
        let may_be_sent = may_be_tried && suspect.undetermined == 0;
        let is_live = suspect.live_claim(now).is_some();
        let own_claim = suspect.claim.as_mut();
        let own_claim = own_claim.filter(|claim| is_live && claim.node == own);
        let Some(claim) = own_claim.filter(|_| may_be_sent) else {
            return false;
        };
        claim.is_sent = true;
        claim.reported_at = now;
        if let Some(refusal) = &mut suspect.refusal {
            // Counted before it runs: whoever ends with it must not forget it.
            refusal.trials += 1;
            refusal.since = now;
            refusal.stored_at = None;
            refusal.is_own = true;
            suspect.change(now);
        }
        true
    }

    /// Whether a node's claim stands.
    pub fn is_claimed_by(&self, request: RequestFingerprint, node: PeerId) -> bool {
        let claim = self.suspects.get(&request).and_then(|known| known.claim);
        claim.is_some_and(|claim| claim.node == node)
    }

    /// Whether the engine of a copy of this node may have ended, and it is not known yet.
    pub fn is_outcome_pending(&self, request: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.undetermined > 0)
    }

    /// The copy of this node that held the claim is over.
    pub fn release(&mut self, request: RequestFingerprint, own: PeerId, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            if suspect.claim.is_some_and(|claim| claim.node == own) {
                suspect.claim = None;
                suspect.change(now);
            }
        }
    }

    /// The engine of a copy may have ended: nobody here sends another one before that is
    /// found out.
    pub fn note_undetermined_outcome(
        &mut self,
        request: RequestFingerprint,
        tenant: TenantTag,
        now: Millis,
    ) {
        self.suspect(request, tenant, now).undetermined += 1;
    }

    /// It was found out of a copy that was cut.
    pub fn note_determined_outcome(&mut self, request: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.undetermined = suspect.undetermined.saturating_sub(1);
        }
    }

    /// An engine has ended under a request.
    pub fn note_end(
        &mut self,
        request: RequestFingerprint,
        tenant: TenantTag,
        end: EngineEnd,
        software: Option<SoftwareVersion>,
        now: Millis,
    ) -> EndOutcome {
        if self.answers.clear(request, end.at) {
            return EndOutcome::Cleared;
        }
        let suspect = self.suspect(request, tenant, now);
        if !suspect.evidence.add(end) {
            return EndOutcome::Known;
        }
        suspect.change(now);
        suspect.software.extend(software);
        let moments = suspect.evidence.moments();
        match suspect.refusal {
            Some(_) => EndOutcome::Known,
            None if moments >= MOMENTS_UNTIL_REFUSED => {
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

    /// A request was answered whole; tells whether it was suspected or refused.
    pub fn note_answered(&mut self, request: RequestFingerprint, now: Millis) -> bool {
        self.answers.note(request, now);
        self.clear_and_report(request, true, now)
    }

    /// An operator releases a request. That is no answer: engines that end under it from
    /// now on count.
    pub fn note_released(&mut self, request: RequestFingerprint, now: Millis) -> bool {
        self.clear_and_report(request, false, now)
    }

    pub(crate) fn clear_and_report(
        &mut self,
        request: RequestFingerprint,
        is_answer: bool,
        at: Millis,
    ) -> bool {
        let Some(suspect) = self.suspects.get(&request) else {
            return false;
        };
        self.cleared.push(Cleared {
            request,
            tenant: suspect.tenant,
            is_answer,
            at,
            telling: Telling::begin(at),
        });
        self.clear(request, at);
        true
    }

    pub(crate) fn clear(&mut self, request: RequestFingerprint, cleared_at: Millis) {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        suspect.evidence.clear_until(cleared_at);
        suspect.changed_at = suspect.changed_at.max(cleared_at);
        if let Some(refusal) = suspect.refusal.filter(|known| known.since <= cleared_at) {
            if refusal.stored_at.is_some() {
                self.to_delete.push(request);
            }
            suspect.refusal = None;
        }
        let is_needed = suspect.undetermined > 0 || suspect.refusal.is_some();
        if suspect.evidence.ends().is_empty() && !is_needed {
            self.suspects.remove(&request);
        }
    }

    /// Whether a request is refused.
    pub fn is_refused(&self, request: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| suspect.refusal.is_some())
    }
}
