//! What relays tell the nodes of their zone of KV cache stores of other regions.
//!
//! Each event that a node hears from another region is paid for. So of the nodes of a
//! zone only its relays follow stores of other regions, and tell the others: what
//! changed at once, and everything in turns, which repairs what was lost and serves
//! nodes that have just started.

use ploverlift_balancing::cache_contents::{CacheContents, CacheEvent, KeyShare};
use ploverlift_balancing::cache_stores::{CacheStoreState, CacheStores, StoreTag, StoreUpdate};
use ploverlift_routing::prompt::PartKey;
use ploverlift_wire::peers;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Parts in one datagram.
pub const MAX_REPORTED_PARTS: usize = 70;
/// Changes of one store that wait to be told; the oldest give way, and are told in
/// their turn.
const MAX_WAITING_PARTS: usize = 1_024;
/// Reports over which all parts that a store keeps are told once, in addition to
/// changes: 10 s; more where it keeps many.
const MIN_SHARES: usize = 100;
/// Parts that are told in one report then.
const TARGET_SHARE_PARTS: usize = 40;

/// Changes of stores that wait to be told.
#[derive(Clone, Debug, Default)]
pub struct StoreChanges {
    waiting: BTreeMap<SocketAddr, VecDeque<(PartKey, u32)>>,
}

impl StoreChanges {
    /// A store that this node follows has told of changes; `is_anew` says that they are
    /// of another life of it, or come after a gap.
    pub fn note_events(&mut self, store: SocketAddr, events: &[CacheEvent], is_reset: bool) {
        let waiting = self.waiting.entry(store).or_default();
        if is_reset {
            waiting.clear();
        }
        for event in events {
            if waiting.len() >= MAX_WAITING_PARTS {
                waiting.pop_front();
            }
            let kept_tokens = u32::try_from(event.kept_tokens).unwrap_or(u32::MAX);
            waiting.push_back((PartKey::of(&event.salt, event.part), kept_tokens));
        }
    }

    /// What is to be told of the stores in a period, in pieces of one datagram each. A
    /// store that does not answer is not told of.
    pub fn next(&mut self, stores: &CacheStores, period: u64) -> Vec<StoreUpdate> {
        let mut pieces = Vec::new();
        for (address, waiting) in &mut self.waiting {
            let belief = stores.of(*address);
            let followed = belief.filter(|known| known.state() == CacheStoreState::Followed);
            let parts: Vec<(PartKey, u32)> = waiting.drain(..).collect();
            if let Some(belief) = followed {
                pieces.extend(updates_of(*address, belief.contents(), &parts, period));
            }
        }
        pieces
    }

    /// Forgets the stores that are not followed.
    pub fn retain(&mut self, is_followed: impl Fn(SocketAddr) -> bool) {
        self.waiting.retain(|address, _| is_followed(*address));
    }
}

/// Changes, and the share whose turn it is.
fn updates_of(
    address: SocketAddr,
    contents: &CacheContents,
    changes: &[(PartKey, u32)],
    period: u64,
) -> Vec<StoreUpdate> {
    let Some(epoch) = contents.epoch() else {
        return Vec::new();
    };
    let piece = |parts: &[(PartKey, u32)], share| StoreUpdate {
        store: StoreTag::of(address),
        epoch,
        parts: parts.to_vec(),
        share,
    };
    let share = share_of(contents, period);
    let kept: Vec<(PartKey, u32)> = contents.kept_in(share).collect();
    let changes = changes.chunks(MAX_REPORTED_PARTS);
    let mut pieces: Vec<StoreUpdate> = changes.map(|parts| piece(parts, None)).collect();
    // A share that is too large by chance is told without what it lacks.
    let complete_share = (kept.len() <= MAX_REPORTED_PARTS).then_some(share);
    pieces.push(piece(
        &kept[..kept.len().min(MAX_REPORTED_PARTS)],
        complete_share,
    ));
    pieces
}

/// The share that is told in a period: so small that it fits one datagram.
fn share_of(contents: &CacheContents, period: u64) -> KeyShare {
    let shares = (contents.len() / TARGET_SHARE_PARTS).max(MIN_SHARES) as u32;
    KeyShare {
        shares,
        share: (period % u64::from(shares)) as u32,
    }
}

/// The message for what is told of a store.
pub fn store_message(update: &StoreUpdate) -> peers::StoreContents {
    peers::StoreContents {
        store: update.store.0,
        epoch: update.epoch,
        parts: update.parts.iter().map(|(part, _)| part.0).collect(),
        kept_tokens: update.parts.iter().map(|(_, tokens)| *tokens).collect(),
        shares: update.share.map_or(0, |share| share.shares),
        share: update.share.map_or(0, |share| share.share),
    }
}

/// Reads what is told of a store; of lists that are not equally long, as many as the
/// shorter has.
pub fn read_store(message: &peers::StoreContents) -> StoreUpdate {
    let parts = message.parts.iter().copied().map(PartKey);
    StoreUpdate {
        store: StoreTag(message.store),
        epoch: message.epoch,
        parts: parts.zip(message.kept_tokens.iter().copied()).collect(),
        share: (message.shares > 0).then_some(KeyShare {
            shares: message.shares,
            share: message.share,
        }),
    }
}
