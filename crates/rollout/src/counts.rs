//! Counts that a node reports for a running rollout, and their sums over the fleet.
//!
//! All counts are cumulative since the node's process life began to count for the
//! rollout, so a report that is late, duplicated or lost changes no sum: for each node
//! and life the highest counts apply. A restarted node has a later life, whose counts
//! are added to those of the former one.

use crate::first_byte::FirstByteHistogram;
use crate::stage::RolloutNumber;
use ploverlift_balancing::peer_loads::PeerId;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A route, identified by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteTag(pub u32);

impl RouteTag {
    /// The route with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// One side of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// Engines of the target version.
    Target,
    /// Engines of any other version.
    Established,
}

/// Outcomes of attempts at the engines of one side on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SideCounts {
    /// Number of outcomes, including failures.
    pub answers: u64,
    /// Answers that failed, broke off or never arrived.
    pub failures: u64,
    /// Times to the first byte.
    pub first_byte: FirstByteHistogram,
}

impl SideCounts {
    fn merge_max(&mut self, other: &Self) {
        self.answers = self.answers.max(other.answers);
        self.failures = self.failures.max(other.failures);
        self.first_byte.merge_max(&other.first_byte);
    }

    fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.first_byte.add(&other.first_byte);
    }

    /// The counts that were added since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            first_byte: self.first_byte.since(&earlier.first_byte),
        }
    }
}

/// The counts of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Whether its requests may be executed more than once.
    pub is_repeatable: bool,
    /// Requests that reached the service, each counted once.
    pub requests: u64,
    /// Arrivals at engines of the target, including retries and second attempts.
    pub target_arrivals: u64,
    /// Outcomes at engines of the target.
    pub target: SideCounts,
    /// Outcomes at all other engines.
    pub established: SideCounts,
}

impl RouteCounts {
    /// The counts of one side.
    pub fn side(&self, side: Side) -> &SideCounts {
        match side {
            Side::Target => &self.target,
            Side::Established => &self.established,
        }
    }

    fn merge_max(&mut self, other: &Self) {
        self.is_repeatable |= other.is_repeatable;
        self.requests = self.requests.max(other.requests);
        self.target_arrivals = self.target_arrivals.max(other.target_arrivals);
        self.target.merge_max(&other.target);
        self.established.merge_max(&other.established);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            is_repeatable: self.is_repeatable,
            requests: self.requests.saturating_sub(earlier.requests),
            target_arrivals: self.target_arrivals.saturating_sub(earlier.target_arrivals),
            target: self.target.since(&earlier.target),
            established: self.established.since(&earlier.established),
        }
    }

    fn add(&mut self, other: &Self) {
        self.is_repeatable |= other.is_repeatable;
        self.requests += other.requests;
        self.target_arrivals += other.target_arrivals;
        self.target.add(&other.target);
        self.established.add(&other.established);
    }
}

/// Number of slots over which the engines of the target are spread by the hash of their
/// names.
pub const ENGINE_SLOTS: usize = 16;

/// Outcomes of attempts at the engines of one slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineSlotCounts {
    /// Number of outcomes, including failures.
    pub answers: u64,
    /// Answers that failed, broke off or never arrived.
    pub failures: u64,
}

/// Counts by route, and of the target also by engine slot: a bad version is bad on every
/// engine, while a single bad engine does not make a bad version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Counts by route.
    pub routes: BTreeMap<RouteTag, RouteCounts>,
    /// Counts of the target's engines, by slot.
    pub target_engines: [EngineSlotCounts; ENGINE_SLOTS],
}

impl Counts {
    /// Counts a request that reached the service, at its first attempt.
    pub fn note_request(&mut self, route: RouteTag, is_repeatable: bool) {
        let counts = self.routes.entry(route).or_default();
        counts.is_repeatable = is_repeatable;
        counts.requests += 1;
    }

    /// Counts an attempt that was sent to an engine of the target.
    pub fn note_target_arrival(&mut self, route: RouteTag) {
        self.routes.entry(route).or_default().target_arrivals += 1;
    }

    /// Counts the outcome of an attempt.
    pub fn note_answer(&mut self, route: RouteTag, side: Side, answer: &Answer) {
        if side == Side::Target {
            let slot = &mut self.target_engines[answer.engine as usize % ENGINE_SLOTS];
            slot.answers += 1;
            slot.failures += u64::from(answer.has_failed);
        }
        let counts = self.routes.entry(route).or_default();
        let side = match side {
            Side::Target => &mut counts.target,
            Side::Established => &mut counts.established,
        };
        side.answers += 1;
        side.failures += u64::from(answer.has_failed);
        if let Some(first_byte_ms) = answer.first_byte_ms {
            side.first_byte.note(first_byte_ms);
        }
    }

    /// Number of requests on all routes.
    pub fn requests(&self) -> u64 {
        self.routes.values().map(|route| route.requests).sum()
    }

    /// Number of arrivals at the target on all routes.
    pub fn target_arrivals(&self) -> u64 {
        self.routes
            .values()
            .map(|route| route.target_arrivals)
            .sum()
    }

    /// One side's counts on all routes.
    pub fn all_routes(&self, side: Side) -> SideCounts {
        let mut sum = SideCounts::default();
        for route in self.routes.values() {
            sum.add(route.side(side));
        }
        sum
    }

    /// Keeps the higher of each count.
    pub fn merge_max(&mut self, other: &Self) {
        for (route, counts) in &other.routes {
            self.routes.entry(*route).or_default().merge_max(counts);
        }
        for (slot, more) in self.target_engines.iter_mut().zip(&other.target_engines) {
            slot.answers = slot.answers.max(more.answers);
            slot.failures = slot.failures.max(more.failures);
        }
    }

    /// Adds each count.
    pub fn add(&mut self, other: &Self) {
        for (route, counts) in &other.routes {
            self.routes.entry(*route).or_default().add(counts);
        }
        for (slot, more) in self.target_engines.iter_mut().zip(&other.target_engines) {
            slot.answers += more.answers;
            slot.failures += more.failures;
        }
    }

    /// The counts that were added since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        let nothing = RouteCounts::default();
        let mut added = self.clone();
        for (route, counts) in &mut added.routes {
            *counts = counts.since(earlier.routes.get(route).unwrap_or(&nothing));
        }
        for (slot, before) in added.target_engines.iter_mut().zip(&earlier.target_engines) {
            slot.answers = slot.answers.saturating_sub(before.answers);
            slot.failures = slot.failures.saturating_sub(before.failures);
        }
        added
    }
}

/// Outcome of a request's first attempt, for the comparison of versions. Retries are
/// left out: they go to established engines only, and a request that fails by itself
/// fails again, so with them the sides could not be compared. Refusals (full, loading,
/// leaving) and attempts without a connection are not answers; the caller leaves out
/// engines that are cold, load weights, or are ejected or cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Hash of the engine's name.
    pub engine: u64,
    /// Whether the attempt failed, broke off or was never answered.
    pub has_failed: bool,
    /// Time from the send to the first byte of content, in milliseconds.
    pub first_byte_ms: Option<u64>,
}

/// A node's report of its counts for a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountReport {
    /// The rollout.
    pub rollout: RolloutNumber,
    /// The node.
    pub node: PeerId,
    /// The node's process life; a later life has a higher number.
    pub life: u64,
    /// Cumulative counts since that life began.
    pub counts: Counts,
}

/// The counts of all nodes for one rollout, as known to this node.
#[derive(Clone, Debug, Default)]
pub struct FleetCounts {
    rollout: RolloutNumber,
    reported: BTreeMap<(PeerId, u64), Counts>,
    sums: Counts,
}

impl FleetCounts {
    /// Empty counts of a rollout.
    pub fn of(rollout: RolloutNumber) -> Self {
        Self {
            rollout,
            ..Self::default()
        }
    }

    /// The rollout.
    pub fn rollout(&self) -> RolloutNumber {
        self.rollout
    }

    /// Merges a report, received directly or through a relay; a report of another
    /// rollout is ignored. Returns true if a count has risen.
    pub fn merge_report(&mut self, report: &CountReport) -> bool {
        if report.rollout != self.rollout {
            return false;
        }
        let key = (report.node, report.life);
        let known = self.reported.entry(key).or_default();
        let before = known.clone();
        known.merge_max(&report.counts);
        let added = known.since(&before);
        let has_risen = *known != before;
        self.sums.add(&added);
        has_risen
    }

    /// Sums over the fleet.
    pub fn sums(&self) -> &Counts {
        &self.sums
    }

    /// The counts of each node and life, for a relay to forward.
    pub fn reports(&self) -> impl Iterator<Item = CountReport> + '_ {
        self.reported
            .iter()
            .map(|((node, life), counts)| CountReport {
                rollout: self.rollout,
                node: *node,
                life: *life,
                counts: counts.clone(),
            })
    }

    /// The counts of one life of a node.
    pub fn of_life(&self, node: PeerId, life: u64) -> Option<&Counts> {
        self.reported.get(&(node, life))
    }
}
