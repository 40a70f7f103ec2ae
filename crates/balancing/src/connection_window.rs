//! How many connections a node opens to one engine.
//!
//! An engine admits a number of connections from all nodes together, and resets any beyond it. It
//! may have less room than it says: it counts the connections of a machine that lost power until
//! its own time-out, and may admit fewer while its queue is long. Nodes can't know how many places
//! are left, so each learns it from the engine, in the way of congestion control:
//!
//! - A connection that the engine ends before anything was sent on it was not admitted. The node
//!   then knows of as many places as it has other connections open, or of half of those that it
//!   knew of before.
//! - From time to time it tries one connection beyond them. The time between two trials is halved
//!   with each one that is admitted, and doubled with each one that is not.
//! - Whether a connection is admitted is awaited before a request is sent on it, for as long as
//!   there is doubt: otherwise the request would be lost with it, and might have run.

use ploverlift_policy::ids::Millis;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

/// Shortest time between two connections beyond the known places, in milliseconds.
const MIN_TRIAL_MS: u64 = 25;
/// Longest time between two connections beyond the known places, in milliseconds, in a small fleet.
const MAX_TRIAL_MS: u64 = 800;
/// The same while the engine has admitted another connection of this node.
const MAX_TRIAL_BESIDE_OPEN_MS: u64 = 100;
/// The same for each node of a large fleet: all nodes together try each engine at most at the rate
/// that this sets.
const MAX_TRIAL_PER_NODE_MS: u64 = 6;
/// The first time between two such connections is the longest one divided by this.
const FIRST_TRIAL_DIVISOR: u64 = 32;
/// Upper bound of that time in the largest fleet, in milliseconds: half of the time within which
/// service must be back.
const LARGEST_MAX_TRIAL_MS: u64 = 6_000;
/// Time without a rejected connection after which places are not limited any more, in
/// milliseconds.
const FORGET_AFTER_MS: u64 = 10_000;
/// Time for which new connections are in doubt after one that was reset before it was answered, in
/// milliseconds.
const DOUBT_MS: u64 = 5_000;
/// Time from a request on a new connection to a reset that may mean that the connection was not
/// admitted, in milliseconds. A reset that comes later ended an answer.
const QUICK_RESET_MS: u64 = 30;

/// Connections of this node to one engine.
#[derive(Debug, Default)]
struct Counts {
    open: AtomicU32,
    idle: AtomicU32,
}

/// An open connection of this node to an engine, as counted against the engine's places. Dropping
/// it frees the place.
#[derive(Debug)]
pub struct EnginePlace {
    counts: Arc<Counts>,
    is_idle: bool,
    /// Number of open connections when it was taken, this one included.
    ordinal: u32,
}

impl EnginePlace {
    fn take(counts: &Arc<Counts>) -> Self {
        let before = counts.open.fetch_add(1, Ordering::AcqRel);
        Self {
            counts: Arc::clone(counts),
            is_idle: false,
            ordinal: before + 1,
        }
    }

    /// Number of connections that were open when it was taken, this one included: the engine has
    /// admitted as many if it admitted this one.
    pub fn ordinal(&self) -> u32 {
        self.ordinal
    }

    /// Records whether the connection rests between two requests.
    pub fn set_idle(&mut self, is_idle: bool) {
        if self.is_idle == is_idle {
            return;
        }
        self.is_idle = is_idle;
        match is_idle {
            true => self.counts.idle.fetch_add(1, Ordering::AcqRel),
            false => self.counts.idle.fetch_sub(1, Ordering::AcqRel),
        };
    }
}

impl Drop for EnginePlace {
    fn drop(&mut self) {
        self.set_idle(false);
        self.counts.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Places that an engine is known to have for this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Limit {
    places: u32,
    /// When a connection beyond them may be tried.
    trial_at: Millis,
    trial_period_ms: u64,
    /// When a connection was last not admitted.
    rejected_at: Millis,
}

/// This node's connections to one engine.
#[derive(Clone, Debug, Default)]
pub struct ConnectionWindow {
    counts: Arc<Counts>,
    /// `None` while no limit is known.
    limit: Option<Limit>,
    /// Whether the engine has answered on a connection of this node.
    has_answered: bool,
    /// Until when a new connection is in doubt.
    doubted_until: Option<Millis>,
}

impl ConnectionWindow {
    /// The engine has restarted: what is known of its places ends. Connections stay counted until
    /// they are closed.
    pub(crate) fn begin_life(&mut self) {
        self.limit = None;
        self.has_answered = false;
        self.doubted_until = None;
    }

    /// Number of open connections, idle ones included.
    pub fn open(&self) -> u32 {
        self.counts.open.load(Ordering::Acquire)
    }

    /// Number of idle connections.
    pub fn idle(&self) -> u32 {
        self.counts.idle.load(Ordering::Acquire)
    }

    /// Number of connections that the engine is known to admit from this node; `None` while no
    /// limit is known.
    pub fn places(&self, now: Millis) -> Option<u32> {
        self.known_limit(now).map(|limit| limit.places)
    }

    fn known_limit(&self, now: Millis) -> Option<Limit> {
        let limit = self.limit?;
        (now.since(limit.rejected_at) < FORGET_AFTER_MS).then_some(limit)
    }

    /// Whether a request may be sent to the engine now: on an idle connection, on a new one in the
    /// place of an idle one, or on a further one.
    pub fn has_room(&self, now: Millis) -> bool {
        self.idle() > 0 || self.may_open(now)
    }

    /// Whether a connection may be opened now.
    pub fn may_open(&self, now: Millis) -> bool {
        let limit = self.known_limit(now);
        limit.is_none_or(|limit| self.open() < limit.places || now >= limit.trial_at)
    }

    /// Takes a place for a connection that is about to be opened; `None` while there is no room
    /// for it.
    pub fn take_place(&mut self, now: Millis) -> Option<EnginePlace> {
        if !self.may_open(now) {
            return None;
        }
        self.limit = self.known_limit(now);
        let open = self.open();
        if let Some(limit) = self.limit.as_mut().filter(|limit| open >= limit.places) {
            limit.trial_at = now.plus(limit.trial_period_ms);
        }
        Some(EnginePlace::take(&self.counts))
    }

    /// Takes a place for a connection that is open already.
    pub fn place_of_open(&self) -> EnginePlace {
        EnginePlace::take(&self.counts)
    }

    /// Whether a request may only be sent on a new connection once the engine is seen to have
    /// admitted it.
    pub fn is_in_doubt(&self, now: Millis) -> bool {
        let is_doubted = self.doubted_until.is_some_and(|until| now < until);
        !self.has_answered || is_doubted || self.known_limit(now).is_some()
    }

    /// Records that the engine ended a connection before anything was sent on it; `place` was its
    /// place, and `nodes` is the size of the fleet. Returns the number of places that are left.
    pub fn note_rejected(&mut self, place: EnginePlace, nodes: usize, now: Millis) -> u32 {
        drop(place);
        let open = self.open();
        let per_node_ms = MAX_TRIAL_PER_NODE_MS * nodes as u64;
        let longest_ms = match open {
            0 => per_node_ms.clamp(MAX_TRIAL_MS, LARGEST_MAX_TRIAL_MS),
            // The engine has room for this node, and connections that end leave more.
            _ => MAX_TRIAL_BESIDE_OPEN_MS,
        };
        let (places, period_ms) = match self.known_limit(now) {
            Some(known) => (open.max(known.places / 2), known.trial_period_ms * 2),
            None => (open, longest_ms / FIRST_TRIAL_DIVISOR),
        };
        let period_ms = period_ms.clamp(MIN_TRIAL_MS, longest_ms);
        self.limit = Some(Limit {
            places,
            trial_at: now.plus(period_ms),
            trial_period_ms: period_ms,
            rejected_at: now,
        });
        places
    }

    /// Records that the engine reset a new connection without an answer, `after_ms` milliseconds
    /// after a request was sent on it. The connection may not have been admitted.
    pub fn note_reset(&mut self, after_ms: u64, now: Millis) {
        if after_ms <= QUICK_RESET_MS {
            self.doubted_until = Some(now.plus(DOUBT_MS));
        }
    }

    /// Records that the engine answered a request on a connection. `ordinal` is that of the place
    /// of a new connection, and 0 for one that was used before.
    pub fn note_answered(&mut self, ordinal: u32, now: Millis) {
        self.has_answered = true;
        let limit = self.limit.as_mut();
        if let Some(limit) = limit.filter(|limit| ordinal > limit.places) {
            limit.places = ordinal;
            limit.trial_period_ms = (limit.trial_period_ms / 2).max(MIN_TRIAL_MS);
            limit.trial_at = limit.trial_at.min(now.plus(limit.trial_period_ms));
        }
    }
}
