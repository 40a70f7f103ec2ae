//! Chooses the peers that are asked for a tunnel to an engine.
//!
//! No node keeps a list of which peer reaches which engine. A peer is asked, and its answer
//! is remembered for a short time.

use crate::names::{EngineTag, PeerId, ZoneTag};
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time for which a peer is not asked after it did not answer, in milliseconds.
const UNANSWERED_MS: u64 = 2_000;
/// Time for which a peer is not asked after it said that it opens none, in milliseconds.
const BUSY_MS: u64 = 500;
/// Time for which a peer that is shutting down is not asked, in milliseconds.
const STOPPING_MS: u64 = 5_000;
/// Time for which a peer that suspects its own link is not asked, in milliseconds.
const SUSPECTED_MS: u64 = 1_000;
/// Time for which a peer is not asked for an engine that it does not reach, in milliseconds.
const UNREACHED_MS: u64 = 1_000;

/// A node that opens tunnels for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelPeer {
    /// The node.
    pub id: PeerId,
    /// Where it is asked.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneTag,
}

/// Why a peer was of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFailure {
    /// It did not answer in time, or the connection to it failed.
    NoAnswer,
    /// It opens no tunnel for the moment.
    Busy,
    /// It is shutting down.
    Stopping,
    /// It suspects its own link.
    LinkSuspected,
    /// It does not reach, does not know or does not use this engine.
    EngineUnreached,
}

/// Peers that are not asked for the moment.
#[derive(Clone, Debug, Default)]
pub struct TunnelPeers {
    avoided_until: HashMap<PeerId, Millis>,
    unreached_until: HashMap<(PeerId, EngineTag), Millis>,
}

impl TunnelPeers {
    /// Records that a peer opened no tunnel to an engine.
    pub fn note_failure(
        &mut self,
        peer: PeerId,
        engine: EngineTag,
        failure: PeerFailure,
        now: Millis,
    ) {
        let avoid_ms = match failure {
            PeerFailure::NoAnswer => UNANSWERED_MS,
            PeerFailure::Busy => BUSY_MS,
            PeerFailure::Stopping => STOPPING_MS,
            PeerFailure::LinkSuspected => SUSPECTED_MS,
            PeerFailure::EngineUnreached => {
                let until = now.plus(UNREACHED_MS);
                self.unreached_until.insert((peer, engine), until);
                return;
            }
        };
        self.avoided_until.insert(peer, now.plus(avoid_ms));
    }

    /// Records that a peer opened a tunnel to an engine.
    pub fn note_opened(&mut self, peer: PeerId, engine: EngineTag) {
        self.avoided_until.remove(&peer);
        self.unreached_until.remove(&(peer, engine));
    }

    /// Whether the peer may be asked for a tunnel to the engine.
    fn may_ask(&self, peer: PeerId, engine: EngineTag, now: Millis) -> bool {
        let avoided = self.avoided_until.get(&peer);
        let unreached = self.unreached_until.get(&(peer, engine));
        let is_over = |until: Option<&Millis>| until.is_none_or(|until| now >= *until);
        is_over(avoided) && is_over(unreached)
    }

    /// Chooses a random peer for an engine: one of the zones of this node or the engine, from
    /// which the bytes cross no more zones than without a tunnel, or else any other one.
    /// `draw` is a random number from 0 to 1.
    pub fn choose(
        &self,
        peers: impl Iterator<Item = TunnelPeer>,
        engine: EngineTag,
        near_zones: [ZoneTag; 2],
        draw: f64,
        now: Millis,
    ) -> Option<TunnelPeer> {
        let usable = peers.filter(|peer| self.may_ask(peer.id, engine, now));
        let (near, far): (Vec<TunnelPeer>, Vec<TunnelPeer>) =
            usable.partition(|peer| near_zones.contains(&peer.zone));
        let from = match near.is_empty() {
            true => far,
            false => near,
        };
        let index = (draw * from.len() as f64) as usize;
        from.get(index.min(from.len().saturating_sub(1))).copied()
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now: Millis) {
        self.avoided_until.retain(|_, until| now < *until);
        self.unreached_until.retain(|_, until| now < *until);
    }
}
