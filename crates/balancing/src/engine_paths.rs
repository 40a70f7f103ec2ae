//! Paths from this node to engines.
//!
//! Whether an engine is up and whether this node reaches it are different questions. When
//! a direct connection fails but another node opens one, the engine is *cut off* from this
//! node: requests go through other nodes, and the direct path is probed until it works
//! again.
//!
//! ```text
//! direct ── connection failed, a peer opened one ──▶ cut off
//!    ▲                                                  │
//!    └────────── probes succeed for long enough ────────┘
//! ```
//!
//! An engine that neither this node nor a peer reaches is not cut off: it may be down
//! ([`crate::engine_losses`]).

use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;

/// Time after which a peer is asked while a direct connection attempt is still pending, in
/// milliseconds.
const TUNNEL_AFTER_MS: u64 = 75;
/// The same while this node's own link is suspected, in milliseconds.
const TUNNEL_AFTER_SUSPECTED_MS: u64 = 15;
/// Minimum number of engines that are cut off for this node's own link to be suspected.
const SUSPECTED_LINK_ENGINES: usize = 2;
/// Share of the recently contacted engines that must be cut off for that.
const SUSPECTED_LINK_SHARE: f64 = 0.5;
/// Time for which a direct connection shows that the path works, in milliseconds.
const CONTACT_VALID_MS: u64 = 10_000;
/// First and longest pause between two probes of a direct path, in milliseconds.
const FIRST_PROBE_PAUSE_MS: u64 = 250;
const MAX_PROBE_PAUSE_MS: u64 = 1_000;
/// Number of successive probes that must succeed before the direct path is used again.
const PROBES_UNTIL_RESTORED: u32 = 2;
/// The number doubles with each cut that follows the end of the last one within this time, in
/// milliseconds, so that traffic does not follow a link that comes and goes.
const FLAPPING_WITHIN_MS: u64 = 10_000;
const MAX_PROBES_UNTIL_RESTORED: u32 = 8;
/// Maximum number of probes that are due at once.
const MAX_DUE_PROBES: usize = 32;
/// Time for which the answer that no peer reaches an engine is relied on, in milliseconds.
const NO_PEER_VALID_MS: u64 = 500;
/// Time for which a failed direct connection answers the requests of other nodes for a tunnel,
/// in milliseconds.
const FAILURE_VALID_MS: u64 = 250;

/// How a direct connection attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectFailure {
    /// No answer: packets are lost on the way.
    NoAnswer,
    /// The connection was refused or reset.
    Refused,
}

impl DirectFailure {
    /// Label for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoAnswer => "no_answer",
            Self::Refused => "refused",
        }
    }
}

/// How a connection to an engine is to be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectPlan {
    /// Directly; through a peer as well once the attempt has failed or is pending for
    /// `tunnel_after_ms` milliseconds.
    Direct {
        /// Time after which a peer is asked, in milliseconds.
        tunnel_after_ms: u64,
    },
    /// Directly only: peers have recently reported that they can't reach the engine.
    DirectOnly,
    /// Through a peer; directly only if no peer opens one.
    Tunnel,
}

/// A change of the paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutNoted {
    /// Whether the engine was not cut off before.
    pub is_new: bool,
    /// Whether this node's own link is suspected from now on and was not before.
    pub has_new_link_suspicion: bool,
}

/// A restored direct path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoredPath {
    /// Duration of the cut, in milliseconds.
    pub cut_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct CutEngine {
    since: Millis,
    failure: DirectFailure,
    next_probe_at: Millis,
    probe_pause_ms: u64,
    probes_succeeded: u32,
    probes_needed: u32,
}

#[derive(Clone, Copy, Debug)]
struct EndedCut {
    at: Millis,
    probes_needed: u32,
}

/// Engines that are cut off from this node, and evidence on the others.
#[derive(Clone, Debug, Default)]
pub struct EnginePaths {
    cut: HashMap<EngineTag, CutEngine>,
    contacted: HashMap<EngineTag, Millis>,
    ended: HashMap<EngineTag, EndedCut>,
    unreached_by_peers: HashMap<EngineTag, Millis>,
    failed: HashMap<EngineTag, (Millis, DirectFailure)>,
}

impl EnginePaths {
    /// How a connection to the engine is to be opened now.
    pub fn connect_plan(&self, engine: EngineTag, now: Millis) -> ConnectPlan {
        if self.cut.contains_key(&engine) {
            return ConnectPlan::Tunnel;
        }
        let unreached = self.unreached_by_peers.get(&engine);
        if unreached.is_some_and(|at| now.since(*at) < NO_PEER_VALID_MS) {
            return ConnectPlan::DirectOnly;
        }
        let tunnel_after_ms = match self.is_link_suspected(now) {
            true => TUNNEL_AFTER_SUSPECTED_MS,
            false => TUNNEL_AFTER_MS,
        };
        ConnectPlan::Direct { tunnel_after_ms }
    }

    /// Whether the engine is cut off from this node.
    pub fn is_cut(&self, engine: EngineTag) -> bool {
        self.cut.contains_key(&engine)
    }

    /// Number of engines that are cut off from this node.
    pub fn cut_count(&self) -> usize {
        self.cut.len()
    }

    /// Whether so many of the recently contacted engines are cut off that the fault lies
    /// with this node's own link.
    pub fn is_link_suspected(&self, now: Millis) -> bool {
        if self.cut.len() < SUSPECTED_LINK_ENGINES {
            return false;
        }
        let is_recent = |at: &&Millis| now.since(**at) < CONTACT_VALID_MS;
        let direct = self.contacted.values().filter(is_recent).count();
        self.cut.len() as f64 >= (self.cut.len() + direct) as f64 * SUSPECTED_LINK_SHARE
    }

    /// Records that a direct connection to the engine failed.
    pub fn note_direct_failed(&mut self, engine: EngineTag, failure: DirectFailure, now: Millis) {
        self.failed.insert(engine, (now, failure));
    }

    /// Why this node does not reach the engine directly, as far as it knows without another
    /// attempt.
    pub fn known_failure(&self, engine: EngineTag, now: Millis) -> Option<DirectFailure> {
        if let Some(cut) = self.cut.get(&engine) {
            return Some(cut.failure);
        }
        let (at, failure) = self.failed.get(&engine)?;
        (now.since(*at) < FAILURE_VALID_MS).then_some(*failure)
    }

    /// Records that a direct connection to the engine was established.
    pub fn note_direct(&mut self, engine: EngineTag, now: Millis) {
        self.unreached_by_peers.remove(&engine);
        self.failed.remove(&engine);
        if !self.cut.contains_key(&engine) {
            self.contacted.insert(engine, now);
        }
    }

    /// Records that a peer reached an engine to which the direct connection failed or is
    /// pending.
    pub fn note_cut(&mut self, engine: EngineTag, failure: DirectFailure, now: Millis) -> CutNoted {
        let was_suspected = self.is_link_suspected(now);
        self.unreached_by_peers.remove(&engine);
        self.contacted.remove(&engine);
        let is_new = !self.cut.contains_key(&engine);
        if is_new {
            let cut = CutEngine {
                since: now,
                failure,
                next_probe_at: now.plus(FIRST_PROBE_PAUSE_MS),
                probe_pause_ms: FIRST_PROBE_PAUSE_MS,
                probes_succeeded: 0,
                probes_needed: self.probes_needed(engine, now),
            };
            self.cut.insert(engine, cut);
        }
        CutNoted {
            is_new,
            has_new_link_suspicion: !was_suspected && self.is_link_suspected(now),
        }
    }

    fn probes_needed(&self, engine: EngineTag, now: Millis) -> u32 {
        let ended = self.ended.get(&engine);
        let recent = ended.filter(|ended| now.since(ended.at) < FLAPPING_WITHIN_MS);
        recent.map_or(PROBES_UNTIL_RESTORED, |ended| {
            (ended.probes_needed * 2).min(MAX_PROBES_UNTIL_RESTORED)
        })
    }

    /// Records that neither this node nor the peers that it asked reach the engine, so that it
    /// is no longer known to be up.
    pub fn note_unreached_by_peers(&mut self, engine: EngineTag, now: Millis) {
        self.cut.remove(&engine);
        self.unreached_by_peers.insert(engine, now);
    }

    /// The engines whose direct path is to be probed now; their next probe is scheduled.
    pub fn take_due_probes(&mut self, now: Millis) -> Vec<EngineTag> {
        let due = self.cut.iter_mut();
        let due = due.filter(|(_, cut)| cut.next_probe_at <= now);
        let due = due.take(MAX_DUE_PROBES).map(|(engine, cut)| {
            cut.next_probe_at = now.plus(cut.probe_pause_ms);
            *engine
        });
        due.collect()
    }

    /// Records the result of a probe of the direct path; returns the path if it is restored.
    pub fn note_probe(
        &mut self,
        engine: EngineTag,
        succeeded: bool,
        now: Millis,
    ) -> Option<RestoredPath> {
        let cut = self.cut.get_mut(&engine)?;
        if !succeeded {
            cut.probes_succeeded = 0;
            cut.probe_pause_ms = (cut.probe_pause_ms * 2).min(MAX_PROBE_PAUSE_MS);
            cut.next_probe_at = now.plus(cut.probe_pause_ms);
            return None;
        }
        cut.probes_succeeded += 1;
        cut.probe_pause_ms = FIRST_PROBE_PAUSE_MS;
        cut.next_probe_at = now.plus(FIRST_PROBE_PAUSE_MS);
        if cut.probes_succeeded < cut.probes_needed {
            return None;
        }
        let restored = RestoredPath {
            cut_ms: now.since(cut.since),
        };
        let ended = EndedCut {
            at: now,
            probes_needed: cut.probes_needed,
        };
        self.cut.remove(&engine);
        self.ended.insert(engine, ended);
        self.contacted.insert(engine, now);
        Some(restored)
    }

    /// Drops what is known of an engine that is gone.
    pub fn forget(&mut self, engine: EngineTag) {
        self.cut.remove(&engine);
        self.contacted.remove(&engine);
        self.ended.remove(&engine);
        self.unreached_by_peers.remove(&engine);
        self.failed.remove(&engine);
    }

    /// Removes expired evidence.
    pub fn expire(&mut self, now: Millis) {
        self.contacted
            .retain(|_, at| now.since(*at) < CONTACT_VALID_MS);
        self.ended
            .retain(|_, ended| now.since(ended.at) < FLAPPING_WITHIN_MS);
        self.unreached_by_peers
            .retain(|_, at| now.since(*at) < NO_PEER_VALID_MS);
        self.failed
            .retain(|_, (at, _)| now.since(*at) < FAILURE_VALID_MS);
    }
}
