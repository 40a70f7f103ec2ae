//! Leases in the object API for duties that need one holder, with fencing.
//!
//! Clocks of nodes are never compared: a node counts a lease as expired when
//! its version has not changed for the lease's whole duration by the node's own
//! clock. The holder stops acting before that. What a paused holder still sends
//! carries an old fencing token, which engines refuse.

use ploverlift_policy::ids::{Millis, NodeName, ResourceVersion};
use ploverlift_policy::objects::LeaseSpec;

/// Duration of a lease, in milliseconds.
pub const LEASE_DURATION_MS: u64 = 6_000;
/// The holder renews when so much of the lease has passed, in milliseconds.
pub const RENEW_AFTER_MS: u64 = 2_000;
/// The holder stops acting when it has not renewed for so long, in milliseconds.
pub const STOP_ACTING_AFTER_MS: u64 = 4_000;

/// Pause after an engine refused a token before the next write, in milliseconds: an
/// engine that refuses each token must not keep the store busy. An order waits for the
/// store and the engine some 100 ms at most, so a load is late by little more than this.
const REFUSED_PAUSE_MS: u64 = 250;

/// Durations of a lease. Two holders never act within
/// `duration_ms - stop_acting_after_ms` of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// A lease expires when it was not renewed for so long, in milliseconds.
    pub duration_ms: u64,
    /// The holder renews when so much has passed, in milliseconds.
    pub renew_after_ms: u64,
    /// The holder stops acting when it has not renewed for so long, in milliseconds.
    pub stop_acting_after_ms: u64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            duration_ms: LEASE_DURATION_MS,
            renew_after_ms: RENEW_AFTER_MS,
            stop_acting_after_ms: STOP_ACTING_AFTER_MS,
        }
    }
}

/// What a node should do about a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing now.
    Wait,
    /// Store this description if the version is still `version`.
    Write {
        /// Version that must still be stored; 0 to create.
        version: ResourceVersion,
        /// What to store.
        spec: LeaseSpec,
        /// When the write began; the lease counts from then.
        began: Millis,
    },
}

/// One node's view of one lease.
#[derive(Clone, Debug)]
pub struct LeaseView {
    timing: LeaseTiming,
    own: NodeName,
    own_life: u64,
    seen: Option<(ResourceVersion, LeaseSpec)>,
    seen_at: Millis,
    renewed_at: Option<Millis>,
    writing_since: Option<Millis>,
    /// The highest token that an engine has refused; 0 for none.
    refused_token: u64,
    refused_at: Option<Millis>,
}

impl LeaseView {
    /// A view that has seen nothing yet, with the usual durations.
    pub fn new(own: NodeName, own_life: u64) -> Self {
        Self::with_timing(own, own_life, LeaseTiming::default())
    }

    /// A view that has seen nothing yet.
    pub fn with_timing(own: NodeName, own_life: u64, timing: LeaseTiming) -> Self {
        Self {
            timing,
            own,
            own_life,
            seen: None,
            seen_at: Millis(0),
            renewed_at: None,
            writing_since: None,
            refused_token: 0,
            refused_at: None,
        }
    }

    /// Takes in the stored lease as read or watched; `now` is when this node first
    /// knew of this version. A lease of this node does not count as renewed by it:
    /// when it was written is not known.
    pub fn on_seen(&mut self, version: ResourceVersion, spec: LeaseSpec, now: Millis) {
        let newer = self.seen.as_ref().is_none_or(|(known, _)| *known < version);
        if !newer {
            return;
        }
        if !self.is_own(&spec) {
            self.renewed_at = None;
        }
        self.seen = Some((version, spec));
        self.seen_at = now;
    }

    /// A write of this node that `began` then was stored.
    pub fn on_written(
        &mut self,
        version: ResourceVersion,
        spec: LeaseSpec,
        began: Millis,
        now: Millis,
    ) {
        self.writing_since = None;
        let current = self
            .seen
            .as_ref()
            .is_none_or(|(known, _)| *known <= version);
        if current {
            self.renewed_at = self.renewed_at.max(Some(began));
        }
        self.on_seen(version, spec, now);
    }

    /// Whether the last lease that was seen is this node's, lapsed or not.
    pub fn is_own_lease(&self) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|(_, spec)| self.is_own(spec))
    }

    /// The last lease that was seen, and its version.
    pub fn seen(&self) -> Option<(LeaseSpec, ResourceVersion)> {
        let (version, spec) = self.seen.as_ref()?;
        Some((spec.clone(), *version))
    }

    /// When this node first knew of that version.
    pub fn seen_at(&self) -> Millis {
        self.seen_at
    }

    /// The revision of the last lease that was seen.
    pub fn revision(&self) -> Option<u64> {
        self.seen.as_ref().map(|(version, _)| version.0)
    }

    fn is_own(&self, spec: &LeaseSpec) -> bool {
        spec.holder == self.own && spec.holder_life == self.own_life
    }

    /// A write failed or its reply was lost.
    pub fn on_write_failed(&mut self) {
        self.writing_since = None;
    }

    /// An engine refused an order of this node because it has seen a higher token:
    /// this node gives no more orders under this one, also when a renewal of it is on
    /// its way, and the next write raises it. A store whose lease was lost may have
    /// forgotten that another machine has had the raised token: engines cannot tell
    /// the two apart, so the store must keep the lease.
    pub fn on_token_refused(&mut self, token: u64, now: Millis) {
        self.refused_token = self.refused_token.max(token);
        self.refused_at = Some(now);
    }

    /// Whether an engine has refused the token of this description, or a higher one.
    fn is_refused(&self, spec: &LeaseSpec) -> bool {
        spec.fencing_token <= self.refused_token
    }

    /// The token for orders, while this node may act as the holder.
    pub fn token(&self, now: Millis) -> Option<u64> {
        let renewed_at = self.renewed_at?;
        let (_, spec) = self.seen.as_ref()?;
        let fresh = now.since(renewed_at) < self.timing.stop_acting_after_ms;
        let is_valid = fresh && self.is_own(spec) && !self.is_refused(spec);
        is_valid.then_some(spec.fencing_token)
    }

    /// What to do at `now`. `wants` tells whether this node is a candidate.
    pub fn step(&mut self, wants: bool, unix_ms: u64, now: Millis) -> LeaseStep {
        let writing = self
            .writing_since
            .is_some_and(|since| now.since(since) < self.timing.renew_after_ms);
        let pauses = self
            .refused_at
            .is_some_and(|refused_at| now.since(refused_at) < REFUSED_PAUSE_MS);
        if writing || pauses {
            return LeaseStep::Wait;
        }
        let (version, token) = match &self.seen {
            None if wants => (ResourceVersion(0), 1),
            None => return LeaseStep::Wait,
            Some((version, spec)) if self.is_own(spec) => {
                let renewed = self.renewed_at.unwrap_or(Millis(0));
                let is_refused = self.is_refused(spec);
                if now.since(renewed) < self.timing.renew_after_ms && !is_refused {
                    return LeaseStep::Wait;
                }
                // After a pause beyond the lease somebody else may have acted.
                let lapsed = is_refused || now.since(renewed) >= self.timing.stop_acting_after_ms;
                (*version, spec.fencing_token + u64::from(lapsed))
            }
            Some((version, spec)) => {
                // An earlier life of this node is certainly over.
                let earlier_life = spec.holder == self.own;
                let expired = earlier_life || now.since(self.seen_at) >= self.timing.duration_ms;
                if !(wants && expired) {
                    return LeaseStep::Wait;
                }
                (*version, spec.fencing_token + 1)
            }
        };
        self.writing_since = Some(now);
        LeaseStep::Write {
            version,
            spec: LeaseSpec {
                holder: self.own.clone(),
                holder_life: self.own_life,
                fencing_token: token,
                expires_unix_ms: unix_ms + self.timing.duration_ms,
            },
            began: now,
        }
    }
}
