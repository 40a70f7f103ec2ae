//! What is known of the KV cache stores, one by one, and which of them saves a prompt.
//!
//! The stores of a region share its prompts by rendezvous hashing of the prompt's
//! key: together they hold what one cannot. Once a store is filled, it gets no copy of
//! a prompt that another store, which was used while this one was lost, keeps whole.

use crate::cache_contents::{CacheContents, KeyShare};
use crate::store_room::StoreFill;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::CacheStore;
use ploverlift_routing::prompt::{ChainKey, PartKey, PromptPart};
use ploverlift_routing::topology::{Distance, Topology};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What is known of a KV cache store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheStoreState {
    /// It does not answer: nothing is fetched from it or saved to it.
    #[default]
    Lost,
    /// It works, and has no room for this node's calls for events: what it holds
    /// is not known, but for what this node has had saved.
    Unobserved,
    /// Its events are followed.
    Followed,
}

/// Time after which a store that relays tell of no longer is taken to be lost, in
/// milliseconds: as long as their silence is borne.
const REPORT_SILENCE_MS: u64 = 1_800;

/// A short name of a store's address, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreTag(pub u32);

impl StoreTag {
    /// The short name of an address.
    pub fn of(address: SocketAddr) -> Self {
        Self(xxh3_64_with_seed(address.to_string().as_bytes(), 0) as u32)
    }
}

/// What a node that follows a store tells of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreUpdate {
    /// The store.
    pub store: StoreTag,
    /// Its life.
    pub epoch: u64,
    /// Some of its parts, and the tokens that are kept of each; 0 when it was dropped.
    pub parts: Vec<(PartKey, u32)>,
    /// The share of which these are all parts; nothing where they are changes.
    pub share: Option<KeyShare>,
}

/// What this node believes of one KV cache store.
#[derive(Clone, Debug, Default)]
pub struct KnownStore {
    state: CacheStoreState,
    contents: CacheContents,
    reported_at: Option<Millis>,
}

impl KnownStore {
    /// What is known of the store itself.
    pub fn state(&self) -> CacheStoreState {
        self.state
    }

    /// What it holds.
    pub fn contents(&self) -> &CacheContents {
        &self.contents
    }

    /// What it holds, to be changed.
    pub fn contents_mut(&mut self) -> &mut CacheContents {
        &mut self.contents
    }

    /// Takes in what a call showed; tells what was known before. What a lost store held is
    /// not used. If it comes back in another life its events tell so and nothing of it is
    /// believed; nor is it where they cannot be heard.
    pub fn note_state(&mut self, state: CacheStoreState) -> CacheStoreState {
        if state == CacheStoreState::Unobserved && self.state != state {
            self.contents.forget();
        }
        std::mem::replace(&mut self.state, state)
    }
}

/// What this node believes of all KV cache stores.
#[derive(Clone, Debug, Default)]
pub struct CacheStores {
    by_address: BTreeMap<SocketAddr, KnownStore>,
}

impl CacheStores {
    /// What is believed of the store at an address; nothing when it is not in use.
    pub fn of(&self, address: SocketAddr) -> Option<&KnownStore> {
        self.by_address.get(&address)
    }

    /// What is believed of the store at an address, to be changed.
    pub fn of_mut(&mut self, address: SocketAddr) -> &mut KnownStore {
        self.by_address.entry(address).or_default()
    }

    /// Takes in what a relay tells of a store that this node does not follow by itself.
    pub fn apply_reported(&mut self, told: &StoreUpdate, now: Millis) {
        let mut stores = self.by_address.iter_mut();
        let known = stores.find(|(address, _)| StoreTag::of(**address) == told.store);
        if let Some((_, record)) = known {
            let contents = &mut record.contents;
            contents.apply_parts(told.epoch, &told.parts, told.share);
            record.state = CacheStoreState::Followed;
            record.reported_at = Some(now);
        }
    }

    /// A store is known by what relays tell alone: it is taken to be lost when they
    /// have not told of it for a while.
    pub fn expire_reported(&mut self, address: SocketAddr, now: Millis) {
        let record = self.of_mut(address);
        let is_fresh = |at| now.since(at) < REPORT_SILENCE_MS;
        if !record.reported_at.is_some_and(is_fresh) {
            record.note_state(CacheStoreState::Lost);
        }
    }

    /// Forgets the stores that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(SocketAddr) -> bool) {
        self.by_address.retain(|address, _| is_configured(*address));
    }

    /// The stores among `configured` that answer, with what is believed of them.
    pub fn in_use<'a>(
        &'a self,
        configured: impl Iterator<Item = &'a CacheStore>,
    ) -> Vec<(&'a CacheStore, &'a KnownStore)> {
        let known = configured.filter_map(|store| Some((store, self.of(store.address)?)));
        let answering = known.filter(|(_, record)| record.state != CacheStoreState::Lost);
        answering.collect()
    }
}

/// The store in which the prompts that engines of a zone read are saved: of the stores
/// of its region the one that rendezvous hashing gives the prompt. Nothing where the
/// region has none that answers: moves to other regions would keep links busy.
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

/// How full a store is believed to be.
pub fn fill(store: &CacheStore, record: &KnownStore) -> StoreFill {
    StoreFill {
        kept_tokens: record.contents.total_tokens(),
        capacity_tokens: store.capacity_tokens,
    }
}

/// Whether another store keeps the whole shared prompt.
pub fn is_kept_elsewhere(
    stores: &[(&CacheStore, &KnownStore)],
    but: SocketAddr,
    salt: &str,
    shared: &[PromptPart],
) -> bool {
    let mut others = stores.iter().filter(|(store, _)| store.address != but);
    let has = |record: &KnownStore| shared.iter().all(|part| record.contents.has(salt, part));
    others.any(|(_, record)| has(record))
}
