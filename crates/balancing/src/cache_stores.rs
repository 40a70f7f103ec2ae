//! The known state of each KV cache store, and the choice of the store that saves a prompt.
//!
//! The prompts of a region are distributed over its stores by rendezvous hashing of the
//! prompt's key, so that the stores add up in capacity. A full store gets no copy of a
//! prompt that another store holds completely, because that one was used while this store
//! was lost.

use crate::cache_contents::{CacheContents, KeyShare};
use crate::store_admission::StoreFill;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::CacheStore;
use ploverlift_routing::prompt::{ChainKey, PartKey, PromptPart};
use ploverlift_routing::topology::{Distance, Topology};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Whether a KV cache store answers, and whether its events are followed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheStoreState {
    /// The store does not answer: nothing is fetched from it or saved to it.
    #[default]
    Lost,
    /// The store works, but has no capacity for this node's event calls: of its contents
    /// only the parts are known that this node has had saved.
    Unobserved,
    /// The store's events are followed.
    Followed,
}

/// Time without a relay's report on a store after which the store counts as lost, in
/// milliseconds; the same time for which silence of the relays is tolerated.
const REPORT_SILENCE_MS: u64 = 1_800;

/// A hash of a store's address, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreTag(pub u32);

impl StoreTag {
    /// The tag of the store at an address.
    pub fn of(address: SocketAddr) -> Self {
        Self(xxh3_64_with_seed(address.to_string().as_bytes(), 0) as u32)
    }
}

/// A report on a store's contents by a node that follows its events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreUpdate {
    /// The store.
    pub store: StoreTag,
    /// The store's epoch.
    pub epoch: u64,
    /// Some of its parts, with the tokens that are held of each; 0 for an evicted part.
    pub parts: Vec<(PartKey, u32)>,
    /// The share that the parts cover completely; `None` when they are changes only.
    pub share: Option<KeyShare>,
}

/// The known state and contents of one KV cache store.
#[derive(Clone, Debug, Default)]
pub struct KnownStore {
    state: CacheStoreState,
    contents: CacheContents,
    reported_at: Option<Millis>,
}

impl KnownStore {
    /// The state of the store.
    pub fn state(&self) -> CacheStoreState {
        self.state
    }

    /// The known contents.
    pub fn contents(&self) -> &CacheContents {
        &self.contents
    }

    /// The known contents, mutable.
    pub fn contents_mut(&mut self) -> &mut CacheContents {
        &mut self.contents
    }

    /// Sets the state that a call has shown; returns the former one. The contents of a lost
    /// store are kept but not used. They are discarded if the store comes back in a new epoch,
    /// as its events show, or if its events cannot be followed.
    pub fn note_state(&mut self, state: CacheStoreState) -> CacheStoreState {
        if state == CacheStoreState::Unobserved && self.state != state {
            self.contents.forget();
        }
        std::mem::replace(&mut self.state, state)
    }
}

/// The known state of all KV cache stores, by address.
#[derive(Clone, Debug, Default)]
pub struct CacheStores {
    by_address: BTreeMap<SocketAddr, KnownStore>,
}

impl CacheStores {
    /// The store at an address; `None` when nothing is known of it.
    pub fn of(&self, address: SocketAddr) -> Option<&KnownStore> {
        self.by_address.get(&address)
    }

    /// The store at an address, mutable; added when it is not known yet.
    pub fn of_mut(&mut self, address: SocketAddr) -> &mut KnownStore {
        self.by_address.entry(address).or_default()
    }

    /// Applies a relay's report on a store whose events this node does not follow itself.
    pub fn apply_reported(&mut self, update: &StoreUpdate, now: Millis) {
        let mut stores = self.by_address.iter_mut();
        let known = stores.find(|(address, _)| StoreTag::of(**address) == update.store);
        if let Some((_, record)) = known {
            let contents = &mut record.contents;
            contents.apply_parts(update.epoch, &update.parts, update.share);
            record.state = CacheStoreState::Followed;
            record.reported_at = Some(now);
        }
    }

    /// Marks a store that is known from relays' reports only as lost when there was no recent
    /// report on it.
    pub fn expire_reported(&mut self, address: SocketAddr, now: Millis) {
        let record = self.of_mut(address);
        let is_fresh = |at| now.since(at) < REPORT_SILENCE_MS;
        if !record.reported_at.is_some_and(is_fresh) {
            record.note_state(CacheStoreState::Lost);
        }
    }

    /// Removes the stores that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(SocketAddr) -> bool) {
        self.by_address.retain(|address, _| is_configured(*address));
    }

    /// The stores among `configured` that answer, with their known state.
    pub fn in_use<'a>(
        &'a self,
        configured: impl Iterator<Item = &'a CacheStore>,
    ) -> Vec<(&'a CacheStore, &'a KnownStore)> {
        let known = configured.filter_map(|store| Some((store, self.of(store.address)?)));
        let answering = known.filter(|(_, record)| record.state != CacheStoreState::Lost);
        answering.collect()
    }
}

/// The store that saves a prompt read by an engine of this zone: the one of the region's
/// stores that rendezvous hashing selects for the prompt. `None` when the region has no
/// store that answers, since transfers to other regions would load the links.
pub fn saving_store<'a>(
    stores: &[(&'a CacheStore, &'a KnownStore)],
    topology: &Topology,
    zone: &ZoneName,
    key: ChainKey,
) -> Option<(&'a CacheStore, &'a KnownStore)> {
    let is_near =
        |store: &CacheStore| topology.distance(zone, &store.zone) != Distance::OtherRegion;
    let weight =
        |store: &CacheStore| xxh3_64_with_seed(store.address.to_string().as_bytes(), key.0);
    let near = stores.iter().copied().filter(|(store, _)| is_near(store));
    near.max_by_key(|(store, _)| weight(store))
}

/// The assumed fill level of a store.
pub fn fill(store: &CacheStore, record: &KnownStore) -> StoreFill {
    StoreFill {
        kept_tokens: record.contents.total_tokens(),
        capacity_tokens: store.capacity_tokens,
    }
}

/// Whether a store other than the one at `excluded` holds the shared prompt completely.
pub fn is_kept_elsewhere(
    stores: &[(&CacheStore, &KnownStore)],
    excluded: SocketAddr,
    salt: &str,
    shared: &[PromptPart],
) -> bool {
    let mut others = stores.iter().filter(|(store, _)| store.address != excluded);
    let has = |record: &KnownStore| shared.iter().all(|part| record.contents.has(salt, part));
    others.any(|(_, record)| has(record))
}
