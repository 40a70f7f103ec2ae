//! One node's view of one lease.

use crate::step::{LeaseReason, LeaseStep, LeaseWrite};
use crate::timing::LeaseTiming;
use crate::token::{FencingToken, NodeNumber};
use ploverlift_policy::ids::{Millis, NodeName, ResourceVersion, StoreEra};
use ploverlift_policy::objects::LeaseSpec;

/// Pause after an engine refused a token before the next write, in milliseconds: an
/// engine that refuses each token must not keep the store busy. An order waits for the
/// store and the engine some 100 ms at most, so a load is late by little more than this.
const REFUSED_TOKEN_BACKOFF_MS: u64 = 250;

/// A lease as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLease {
    /// Its version in the store.
    pub version: ResourceVersion,
    /// Holder and token.
    pub spec: LeaseSpec,
    /// The era of the store in which its holder wrote it; 0 where the store has none.
    pub era: StoreEra,
}

impl StoredLease {
    /// The holder's token.
    pub fn token(&self) -> FencingToken {
        FencingToken(self.spec.fencing_token)
    }
}

/// What a node has seen of the lease in the present era.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Observed {
    /// Nothing yet.
    Unread,
    /// The store has none since then.
    Absent { since: Millis },
    /// The store has had it just so since then.
    Present { lease: StoredLease, since: Millis },
}

/// One node's view of one lease.
#[derive(Clone, Debug)]
pub struct LeaseView {
    timing: LeaseTiming,
    own_name: NodeName,
    own_life: u64,
    own_number: NodeNumber,
    /// The latest era of the store that is known.
    era: StoreEra,
    observed: Observed,
    /// When the last renewal of the lease that is seen began, if it is this node's.
    renewed_at: Option<Millis>,
    /// Until when this node might have acted when the store came back from a copy. Nobody
    /// else can have taken the lease before.
    prior_era_right_until: Option<Millis>,
    writing_since: Option<Millis>,
    /// The highest token of anybody that is known.
    highest_known: FencingToken,
    /// When another holder was last heard.
    announced_at: Option<Millis>,
    /// The highest token that an engine has refused.
    highest_refused: FencingToken,
    refused_at: Option<Millis>,
}

impl LeaseView {
    /// A view that has seen nothing yet, with the usual durations.
    pub fn new(own_name: NodeName, own_life: u64) -> Self {
        Self::with_timing(own_name, own_life, LeaseTiming::default())
    }

    /// A view that has seen nothing yet.
    pub fn with_timing(own_name: NodeName, own_life: u64, timing: LeaseTiming) -> Self {
        Self {
            timing,
            own_number: NodeNumber::of(&own_name),
            own_name,
            own_life,
            era: StoreEra(0),
            observed: Observed::Unread,
            renewed_at: None,
            prior_era_right_until: None,
            writing_since: None,
            highest_known: FencingToken::default(),
            announced_at: None,
            highest_refused: FencingToken::default(),
            refused_at: None,
        }
    }

    /// The store is known to be in an era. In a later one than was known, what was seen of
    /// the lease is void, and this node's right to act ends at once.
    pub fn on_era(&mut self, era: StoreEra, now: Millis) {
        if era <= self.era {
            return;
        }
        let right_until = self.token(now).and(self.renewed_at);
        let right_until = right_until.map(|at| at.plus(self.timing.stop_acting_after_ms));
        self.prior_era_right_until = self.prior_era_right_until.max(right_until);
        self.era = era;
        self.observed = Observed::Unread;
        self.renewed_at = None;
    }

    /// Takes in the lease, or that there is none, as the store of an era told. `known_at` is
    /// when this node first knew of it so. A lease of this node does not count as renewed
    /// by it: when it was written is not known.
    pub fn on_read(&mut self, lease: Option<StoredLease>, era: StoreEra, known_at: Millis) {
        self.on_era(era, known_at);
        if era < self.era {
            return;
        }
        let Some(lease) = lease else {
            self.renewed_at = None;
            if !matches!(self.observed, Observed::Absent { .. }) {
                self.observed = Observed::Absent { since: known_at };
            }
            return;
        };
        self.highest_known = self.highest_known.max(lease.token());
        if !self.is_own(&lease) {
            self.renewed_at = None;
        }
        let is_known =
            matches!(&self.observed, Observed::Present { lease: known, .. } if *known == lease);
        if !is_known {
            let since = known_at;
            self.observed = Observed::Present { lease, since };
        }
    }

    /// A write of this node that `began` then was stored, as the store of an era told.
    /// Written for another era it is no renewal: others may have acted in between.
    pub fn on_written(&mut self, lease: StoredLease, began: Millis, era: StoreEra, now: Millis) {
        self.writing_since = None;
        self.on_era(era, now);
        if lease.era != era || era < self.era {
            // It may be gone with the era, or stand where another lease did.
            self.observed = Observed::Unread;
            self.renewed_at = None;
            return;
        }
        let had_token = self.observed_lease().map(StoredLease::token);
        let is_same_token = had_token == Some(lease.token());
        let renewed_before = self.renewed_at.filter(|_| is_same_token);
        self.on_read(Some(lease), era, now);
        self.renewed_at = renewed_before.max(Some(began));
        self.prior_era_right_until = None;
    }

    /// A write failed or its reply was lost.
    pub fn on_write_failed(&mut self) {
        self.writing_since = None;
    }

    /// A holder told at `announced_at` that it acts under a token. The echo of this node's own
    /// is ignored.
    pub fn on_holder_announced(&mut self, token: FencingToken, announced_at: Millis) {
        self.highest_known = self.highest_known.max(token);
        if token.node() != Some(self.own_number) {
            self.announced_at = self.announced_at.max(Some(announced_at));
        }
    }

    /// An engine refused an order of this node because it has seen a higher token: this
    /// node gives no more orders under this one, also when a renewal of it is on its way,
    /// and the next write raises it.
    pub fn on_token_refused(&mut self, token: FencingToken, now: Millis) {
        self.highest_refused = self.highest_refused.max(token);
        self.refused_at = Some(now);
    }

    /// The last lease that was seen in the present era.
    pub fn observed_lease(&self) -> Option<&StoredLease> {
        match &self.observed {
            Observed::Present { lease, .. } => Some(lease),
            Observed::Unread | Observed::Absent { .. } => None,
        }
    }

    /// Since when the store has been seen to have the lease, or none, as it is.
    pub fn observed_since(&self) -> Option<Millis> {
        match &self.observed {
            Observed::Unread => None,
            Observed::Absent { since } | Observed::Present { since, .. } => Some(*since),
        }
    }

    /// Whether the lease must be read before anything can be done about it.
    pub fn is_unread(&self) -> bool {
        self.observed == Observed::Unread
    }

    /// Whether the last lease that was seen is this node's of the present era, lapsed or
    /// not.
    pub fn is_own_lease(&self) -> bool {
        let last_read = self.observed_lease();
        last_read.is_some_and(|lease| self.is_own(lease) && self.is_of_present_era(lease))
    }

    /// Whether another holder was heard within the lease's duration: nobody succeeds it.
    pub fn has_recent_announcement(&self, now: Millis) -> bool {
        let announced_at = self.announced_at;
        announced_at.is_some_and(|announced_at| now.since(announced_at) < self.timing.duration_ms)
    }

    /// The highest token that is known of anybody.
    pub fn highest_token(&self) -> FencingToken {
        self.highest_known
    }

    /// The token for orders, while this node may act as the holder.
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        let renewed_at = self.renewed_at?;
        let lease = self.observed_lease()?;
        let is_fresh = now.since(renewed_at) < self.timing.stop_acting_after_ms;
        let may_act = is_fresh && self.is_own_lease() && !self.is_overtaken(lease);
        may_act.then(|| lease.token())
    }

    /// What to do at `now`. `is_candidate` tells whether this node is a candidate.
    pub fn step(&mut self, is_candidate: bool, unix_ms: u64, now: Millis) -> LeaseStep {
        if self.must_pause(now) {
            return LeaseStep::Wait;
        }
        let Some(reason) = self.write_reason(is_candidate, now) else {
            return LeaseStep::Wait;
        };
        let Some(token) = self.token_for(reason) else {
            return LeaseStep::NoTokenLeft;
        };
        self.writing_since = Some(now);
        let condition = self
            .observed_lease()
            .map_or(ResourceVersion(0), |lease| lease.version);
        let spec = LeaseSpec {
            holder: self.own_name.clone(),
            holder_life: self.own_life,
            fencing_token: token.0,
            expires_unix_ms: unix_ms + self.timing.duration_ms,
        };
        LeaseStep::Write(LeaseWrite {
            condition,
            lease: StoredLease {
                version: ResourceVersion(0),
                spec,
                era: self.era,
            },
            began: now,
            reason,
        })
    }

    fn must_pause(&self, now: Millis) -> bool {
        let is_within = |since: Option<Millis>, pause_ms| {
            since.is_some_and(|since| now.since(since) < pause_ms)
        };
        is_within(self.writing_since, self.timing.renew_after_ms)
            || is_within(self.refused_at, REFUSED_TOKEN_BACKOFF_MS)
    }

    /// Why this node may write the lease now, if it may.
    fn write_reason(&self, is_candidate: bool, now: Millis) -> Option<LeaseReason> {
        match &self.observed {
            Observed::Unread => None,
            Observed::Present { lease, since } if self.is_of_present_era(lease) => {
                if self.is_own(lease) {
                    return self.holder_reason(lease, now);
                }
                if !is_candidate || self.has_recent_announcement(now) {
                    return None;
                }
                // An earlier life of this node is certainly over.
                if lease.spec.holder == self.own_name {
                    return Some(LeaseReason::EarlierLife);
                }
                self.has_waited_for_expiry(*since, now)
                    .then_some(LeaseReason::Expired)
            }
            Observed::Present { since, .. } => self.era_reason(is_candidate, *since, now),
            Observed::Absent { since } => {
                let reason = self.era_reason(is_candidate, *since, now)?;
                Some(match reason {
                    LeaseReason::Expired => LeaseReason::Absent,
                    reason => reason,
                })
            }
        }
    }

    fn holder_reason(&self, lease: &StoredLease, now: Millis) -> Option<LeaseReason> {
        if self.has_recent_announcement(now) && self.is_overtaken(lease) {
            return None;
        }
        if self.is_overtaken(lease) {
            return Some(LeaseReason::Overtaken);
        }
        let renewed_at = self.renewed_at.unwrap_or(Millis(0));
        let passed_ms = now.since(renewed_at);
        if passed_ms >= self.timing.stop_acting_after_ms {
            // After a pause beyond the lease somebody else may have acted.
            return (!self.has_recent_announcement(now)).then_some(LeaseReason::Lapsed);
        }
        (passed_ms >= self.timing.renew_after_ms).then_some(LeaseReason::Renewal)
    }

    /// There is no lease of the present era: whoever held the last one may still act.
    fn era_reason(&self, is_candidate: bool, since: Millis, now: Millis) -> Option<LeaseReason> {
        if !is_candidate {
            return None;
        }
        if self.prior_era_right_until.is_some_and(|until| now < until) {
            return Some(LeaseReason::Continuation);
        }
        let is_over = self.has_waited_for_expiry(since, now) && !self.has_recent_announcement(now);
        is_over.then_some(LeaseReason::Expired)
    }

    fn has_waited_for_expiry(&self, since: Millis, now: Millis) -> bool {
        now.since(since) >= self.timing.duration_ms
    }

    fn token_for(&self, reason: LeaseReason) -> Option<FencingToken> {
        if reason == LeaseReason::Renewal {
            return self.observed_lease().map(StoredLease::token);
        }
        let known = self.highest_known.max(self.highest_refused);
        FencingToken::next(known, self.era, self.own_number)
    }

    fn is_own(&self, lease: &StoredLease) -> bool {
        lease.spec.holder == self.own_name && lease.spec.holder_life == self.own_life
    }

    fn is_of_present_era(&self, lease: &StoredLease) -> bool {
        lease.era == self.era
    }

    /// Whether a token above that of a lease of this node is known, or an engine refused it.
    fn is_overtaken(&self, lease: &StoredLease) -> bool {
        lease.token() < self.highest_known || lease.token() <= self.highest_refused
    }
}
