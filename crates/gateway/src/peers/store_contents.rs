//! Reports of relays on the contents of KV cache stores of other regions.
//!
//! Each event that a node receives from another region is charged as traffic. Therefore
//! only the relays of a zone follow stores of other regions, and report to the other nodes:
//! changes at once, and all parts in rotation, which repairs lost datagrams and serves
//! nodes that have just started.

use ploverlift_balancing::cache_contents::{CacheContents, CacheEvent, KeyShare};
use ploverlift_balancing::cache_stores::{CacheStoreState, CacheStores, StoreTag, StoreUpdate};
use ploverlift_routing::prompt::PartKey;
use ploverlift_wire::peers;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of parts in one datagram.
pub const MAX_REPORTED_PARTS: usize = 70;
/// Maximum number of queued changes of one store; the oldest are discarded, and their parts
/// are reported in the rotation.
const MAX_WAITING_PARTS: usize = 1_024;
/// Minimum number of reports over which all cached parts of a store are reported once, in
/// addition to changes: 10 s; more reports for a store with many parts.
const MIN_SHARES: usize = 100;
/// Parts of the rotation in one report for such a store.
const TARGET_SHARE_PARTS: usize = 40;

/// Queued changes of the stores.
#[derive(Clone, Debug, Default)]
pub struct StoreChanges {
    waiting: BTreeMap<SocketAddr, VecDeque<(PartKey, u32)>>,
}

impl StoreChanges {
    /// Queues events of a store that this node follows. `is_reset` states that they belong
    /// to another epoch of the store, or follow a gap.
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

    /// The updates of a period, one for each datagram. Stores that do not answer are left
    /// out.
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

    /// Removes stores that are not followed.
    pub fn retain(&mut self, is_followed: impl Fn(SocketAddr) -> bool) {
        self.waiting.retain(|address, _| is_followed(*address));
    }
}

/// Updates with the changes of one store and with the share of its parts that is due.
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
    let cached_parts: Vec<(PartKey, u32)> = contents.kept_in(share).collect();
    let changes = changes.chunks(MAX_REPORTED_PARTS);
    let mut pieces: Vec<StoreUpdate> = changes.map(|parts| piece(parts, None)).collect();
    // A share that happens to be too large is truncated and not marked as complete.
    let complete_share = (cached_parts.len() <= MAX_REPORTED_PARTS).then_some(share);
    pieces.push(piece(
        &cached_parts[..cached_parts.len().min(MAX_REPORTED_PARTS)],
        complete_share,
    ));
    pieces
}

/// The share that is reported in a period: small enough for one datagram.
fn share_of(contents: &CacheContents, period: u64) -> KeyShare {
    let shares = (contents.len() / TARGET_SHARE_PARTS).max(MIN_SHARES) as u32;
    KeyShare {
        shares,
        share: (period % u64::from(shares)) as u32,
    }
}

/// The message for an update of a store.
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

/// Reads an update of a store. Of lists of unequal length, excess entries are ignored.
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
