//! The evidence against one subject, its claim and its refusal.

use crate::evidence::Evidence;
use crate::quarantine::{
    Permission, BUSY_RETRY_MS, MOMENTS_UNTIL_REFUSED, REQUESTS_UNTIL_PART_REFUSED,
};
use crate::subject::Subject;
use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::update_broadcast::UpdateBroadcast;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeSet;

/// Time for which a request stays suspected without a further engine end, in milliseconds.
const SUSPICION_MS: u64 = 3_600_000;
/// Time after which a refused request gets each of its trials, in milliseconds. After these,
/// only an operator or new software releases it.
const REQUEST_TRIALS_MS: [u64; 2] = [3_600_000, 3_600_000];
/// The same for a refused part of prompts. A harmless part that was in use while engines ended
/// for other reasons has many callers, which the first trials release.
const PART_TRIALS_MS: [u64; 3] = [5_000, 20_000, 3_600_000];
/// Retry time of a refused subject that gets no more timed trials, in milliseconds.
const AFTER_TRIALS_MS: u64 = 3_600_000;
/// Time for which a node's claim is valid after its last report, in milliseconds. It is
/// reported every 250 ms, so three reports may be lost.
pub(crate) const CLAIM_TIMEOUT_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim {
    pub(crate) node: PeerId,
    pub(crate) is_sent: bool,
    pub(crate) reported_at: Millis,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) since: Millis,
    pub(crate) trials: u32,
    /// When this node learned that the refusal is stored.
    pub(crate) stored_at: Option<Millis>,
    /// Whether this node detected it and therefore stores it at once.
    pub(crate) is_own: bool,
}

/// A subject that was cleared recently.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cleared {
    pub(crate) subject: Subject,
    pub(crate) tenant: TenantTag,
    pub(crate) is_answer: bool,
    /// When it was answered or released.
    pub(crate) at: Millis,
    /// When this node recorded the clearing.
    pub(crate) known_since: Millis,
    pub(crate) broadcast: UpdateBroadcast,
}

#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    /// Whether it is a part of prompts rather than a request.
    pub(crate) is_part: bool,
    pub(crate) tenant: TenantTag,
    pub(crate) evidence: Evidence,
    pub(crate) software: BTreeSet<SoftwareVersion>,
    pub(crate) claim: Option<Claim>,
    pub(crate) refusal: Option<Refusal>,
    /// Number of copies sent by this node whose engine may have ended.
    pub(crate) undetermined: u32,
    pub(crate) changed_at: Millis,
    pub(crate) broadcast: UpdateBroadcast,
}

impl Suspect {
    pub(crate) fn new(subject: Subject, tenant: TenantTag, now: Millis) -> Self {
        Self {
            is_part: subject.is_part(),
            tenant,
            evidence: Evidence::default(),
            software: BTreeSet::new(),
            claim: None,
            refusal: None,
            undetermined: 0,
            changed_at: now,
            broadcast: UpdateBroadcast::default(),
        }
    }

    /// Records a change that the other nodes should be notified of.
    pub(crate) fn change(&mut self, now: Millis) {
        self.changed_at = now;
        self.broadcast = self.begin_broadcast(now);
    }

    /// The broadcasts of a change. The first end under a part is sent once: most parts are
    /// beside an end by chance, and the report of the second one contains the first.
    pub(crate) fn begin_broadcast(&self, now: Millis) -> UpdateBroadcast {
        match self.is_part && self.refusal.is_none() && self.evidence.moments() <= 1 {
            true => UpdateBroadcast::once(now),
            false => UpdateBroadcast::begin(now),
        }
    }

    pub(crate) fn live_claim(&self, now: Millis) -> Option<Claim> {
        let claim = self.claim;
        claim.filter(|claim| now.since(claim.reported_at) < CLAIM_TIMEOUT_MS)
    }

    /// Eviction order: the lowest rank is evicted first.
    pub(crate) fn retention_rank(&self) -> (bool, usize, Millis) {
        let is_refused = self.refusal.is_some();
        (is_refused, self.evidence.moments(), self.changed_at)
    }

    pub(crate) fn is_expired(&self, now: Millis) -> bool {
        let is_old = now.since(self.changed_at) >= SUSPICION_MS;
        let is_empty = self.evidence.ends().is_empty() && self.live_claim(now).is_none();
        self.refusal.is_none() && self.undetermined == 0 && (is_old || is_empty)
    }

    /// Whether the evidence is enough to refuse it.
    pub(crate) fn has_enough_evidence(&self) -> bool {
        let has_requests = self.evidence.requests() >= REQUESTS_UNTIL_PART_REFUSED;
        self.evidence.moments() >= MOMENTS_UNTIL_REFUSED && (has_requests || !self.is_part)
    }

    /// Whether a request with this part may be sent, once a trial of it is due. Unlike a
    /// request, a part that is not refused is not held back: all of its requests would wait
    /// for each other.
    pub(crate) fn part_permission(&self, now: Millis) -> Permission {
        match (self.refusal, self.live_claim(now)) {
            (None, _) => Permission::Free,
            (Some(_), Some(_)) => Permission::Refused {
                retry_after_ms: BUSY_RETRY_MS,
            },
            (Some(_), None) => Permission::AfterClaim,
        }
    }

    /// Time since the next trial of a refused subject is due, in milliseconds; the error is the
    /// time until then.
    pub(crate) fn due_since_ms(&self, refusal: Refusal, now: Millis) -> Result<u64, u64> {
        let trials: &[u64] = match self.is_part {
            true => &PART_TRIALS_MS,
            false => &REQUEST_TRIALS_MS,
        };
        let Some(interval_ms) = trials.get(refusal.trials as usize) else {
            return Err(AFTER_TRIALS_MS);
        };
        let age_ms = now.since(refusal.since);
        age_ms
            .checked_sub(*interval_ms)
            .ok_or_else(|| interval_ms - age_ms)
    }

    /// Time until the next trial of a refused subject, in milliseconds; 0 once it is due.
    pub(crate) fn until_trial_ms(&self, refusal: Refusal, now: Millis) -> u64 {
        self.due_since_ms(refusal, now).err().unwrap_or(0)
    }
}
