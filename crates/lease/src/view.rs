//! A node's view of a lease.

use crate::step::{LeaseReason, LeaseStep, LeaseWrite};
use crate::timing::LeaseTiming;
use crate::token::{FencingToken, NodeNumber};
use ploverlift_policy::ids::{Millis, NodeName, ResourceVersion, StoreEra};
use ploverlift_policy::objects::LeaseSpec;

/// Backoff after an engine refused a token before the next write, in milliseconds. It keeps
/// an engine that refuses every token from overloading the store with writes. An order
/// waits about 100 ms at most for the store and the engine, so a weights load is delayed by
/// little more than this backoff.
const REFUSED_TOKEN_BACKOFF_MS: u64 = 250;

/// A lease as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLease {
    /// Version in the store.
    pub version: ResourceVersion,
    /// Holder, fencing token and expiry.
    pub spec: LeaseSpec,
    /// The store era in which the holder wrote the lease; 0 if the store reports none.
    pub era: StoreEra,
}

impl StoredLease {
    /// The holder's fencing token.
    pub fn token(&self) -> FencingToken {
        FencingToken(self.spec.fencing_token)
    }
}

/// The last state of the lease that a node has observed in the current store era.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Observed {
    /// The lease has not been read yet.
    Unread,
    /// The store has had no lease since then.
    Absent { since: Millis },
    /// The store has had this lease, unchanged, since then.
    Present { lease: StoredLease, since: Millis },
}

/// A node's view of a lease.
#[derive(Clone, Debug)]
pub struct LeaseView {
    timing: LeaseTiming,
    own_name: NodeName,
    own_life: u64,
    own_number: NodeNumber,
    /// The latest known era of the store.
    era: StoreEra,
    observed: Observed,
    /// When the last renewal of the observed lease began, if this node wrote it.
    renewed_at: Option<Millis>,
    /// When this node's right to act under its lease of an earlier era would have ended.
    /// Until then no other node can have taken the lease.
    prior_era_right_until: Option<Millis>,
    writing_since: Option<Millis>,
    /// The highest known token of any node.
    highest_known: FencingToken,
    /// When another holder last announced its token.
    announced_at: Option<Millis>,
    /// The highest token that an engine has refused.
    highest_refused: FencingToken,
    refused_at: Option<Millis>,
}

impl LeaseView {
    /// Creates a view of a lease that has not been read yet, with the default durations.
    pub fn new(own_name: NodeName, own_life: u64) -> Self {
        Self::with_timing(own_name, own_life, LeaseTiming::default())
    }

    /// Creates a view of a lease that has not been read yet.
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

    /// Records the store's era. When it is later than the known one, the observed lease is
    /// discarded and this node's right to act ends immediately.
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

    /// Handles a read of the lease, or of its absence, from the store in the given era.
    /// `known_at` is when this node first knew that state. A read does not count as a renewal
    /// of a lease of this node, because the time of the write is unknown.
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

    /// Handles the confirmation, by the store in the given era, of a write of this node that
    /// started at `began`. A write made for another era is no renewal, because other nodes
    /// may have acted in between.
    pub fn on_written(&mut self, lease: StoredLease, began: Millis, era: StoreEra, now: Millis) {
        self.writing_since = None;
        self.on_era(era, now);
        if lease.era != era || era < self.era {
            // The write may be lost with its era, or may have replaced another lease.
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

    /// Handles a write that failed or whose response was lost.
    pub fn on_write_failed(&mut self) {
        self.writing_since = None;
    }

    /// Handles the announcement at `announced_at` that a holder acts under a token. Tokens of
    /// this node, sent back by others, do not count as announcements.
    pub fn on_holder_announced(&mut self, token: FencingToken, announced_at: Millis) {
        self.highest_known = self.highest_known.max(token);
        if token.node() != Some(self.own_number) {
            self.announced_at = self.announced_at.max(Some(announced_at));
        }
    }

    /// Handles an engine's refusal of an order of this node because of a higher token. The
    /// node gives no more orders under the refused token, even if a renewal with it is in
    /// flight, and its next write raises the token.
    pub fn on_token_refused(&mut self, token: FencingToken, now: Millis) {
        self.highest_refused = self.highest_refused.max(token);
        self.refused_at = Some(now);
    }

    /// The last lease that was observed in the current era.
    pub fn observed_lease(&self) -> Option<&StoredLease> {
        match &self.observed {
            Observed::Present { lease, .. } => Some(lease),
            Observed::Unread | Observed::Absent { .. } => None,
        }
    }

    /// Since when the observed state, a lease or its absence, has been unchanged.
    pub fn observed_since(&self) -> Option<Millis> {
        match &self.observed {
            Observed::Unread => None,
            Observed::Absent { since } | Observed::Present { since, .. } => Some(*since),
        }
    }

    /// Whether the lease must be read before the node can act on it.
    pub fn is_unread(&self) -> bool {
        self.observed == Observed::Unread
    }

    /// Whether the last observed lease belongs to this node and the current era, even if it
    /// has lapsed.
    pub fn is_own_lease(&self) -> bool {
        let last_read = self.observed_lease();
        last_read.is_some_and(|lease| self.is_own(lease) && self.is_of_present_era(lease))
    }

    /// Whether another holder announced its token within the lease's duration. Until that has
    /// passed this node does not take over.
    pub fn has_recent_announcement(&self, now: Millis) -> bool {
        let announced_at = self.announced_at;
        announced_at.is_some_and(|announced_at| now.since(announced_at) < self.timing.duration_ms)
    }

    /// The highest known token of any node.
    pub fn highest_token(&self) -> FencingToken {
        self.highest_known
    }

    /// The token for orders; `None` when this node may not act as the holder.
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        let renewed_at = self.renewed_at?;
        let lease = self.observed_lease()?;
        let is_fresh = now.since(renewed_at) < self.timing.stop_acting_after_ms;
        let may_act = is_fresh && self.is_own_lease() && !self.is_overtaken(lease);
        may_act.then(|| lease.token())
    }

    /// The next action at `now`. `is_candidate` is whether this node may become the holder.
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

    /// The reason for this node to write the lease now; `None` when it may not.
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
                // An earlier incarnation of this node is no longer running.
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
            // After a pause longer than the lease another holder may have acted.
            return (!self.has_recent_announcement(now)).then_some(LeaseReason::Lapsed);
        }
        (passed_ms >= self.timing.renew_after_ms).then_some(LeaseReason::Renewal)
    }

    /// The reason to write when there is no lease of the current era. The holder of the last
    /// lease may still act, so other nodes wait for its expiry.
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

    /// Whether a higher token than that of this node's lease is known, or an engine refused
    /// the lease's token or a higher one.
    fn is_overtaken(&self, lease: &StoredLease) -> bool {
        lease.token() < self.highest_known || lease.token() <= self.highest_refused
    }
}
