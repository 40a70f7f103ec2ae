//! The evidence against one request, its claim and its refusal.

use crate::evidence::Evidence;
use crate::fingerprint::RequestFingerprint;
use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::update_broadcast::UpdateBroadcast;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeSet;

/// Time for which a request stays suspected without a further engine end, in milliseconds.
const SUSPICION_MS: u64 = 3_600_000;
/// Time after which a refused request gets one trial, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 3_600_000;
/// Number of timed trials of a refused request. After these, only an operator or new
/// software releases it.
const MAX_TRIALS: u32 = 2;
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

/// A request that was cleared recently.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cleared {
    pub(crate) request: RequestFingerprint,
    pub(crate) tenant: TenantTag,
    pub(crate) is_answer: bool,
    pub(crate) at: Millis,
    pub(crate) broadcast: UpdateBroadcast,
}

#[derive(Clone, Debug)]
pub(crate) struct Suspect {
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
    pub(crate) fn new(tenant: TenantTag, now: Millis) -> Self {
        Self {
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
        self.broadcast = UpdateBroadcast::begin(now);
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

    /// Time until the next trial of a refused request, in milliseconds.
    pub(crate) fn until_trial_ms(&self, refusal: Refusal, now: Millis) -> u64 {
        match refusal.trials < MAX_TRIALS {
            true => TRIAL_INTERVAL_MS.saturating_sub(now.since(refusal.since)),
            false => TRIAL_INTERVAL_MS,
        }
    }
}
