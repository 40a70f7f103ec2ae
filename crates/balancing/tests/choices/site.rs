//! A site of two regions as seen by one node.

use crate::fleet::{self, record, tag, NOW};
use ploverlift_balancing::cache_contents::CacheContents;
use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord};
use ploverlift_balancing::cost::CostRates;
use ploverlift_balancing::engine_caches::EngineCaches;
use ploverlift_balancing::engine_paths::EnginePaths;
use ploverlift_balancing::fleet::{Criteria, FleetView, PromptCriteria, StoreView};
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::peer_loads::{EngineLoad, LoadReport, PeerId, PeerLoads, ZoneTag};
use ploverlift_balancing::prefix_holders::PrefixHolders;
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::selection::{choose, Choice};
use ploverlift_balancing::unreported_load::RecentPrefill;
use ploverlift_policy::ids::ZoneName;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::{cache_salt, part_keys, ChainKey, PromptPart};
use ploverlift_routing::software::SoftwareRule;
use ploverlift_routing::topology::{RegionName, Topology};
use std::net::SocketAddr;

const RATES: CostRates = CostRates {
    stale_version_ms: 80.0,
    zone_ms: 12.0,
    ..fleet::RATES
};

/// Two zones in each of two regions.
pub const ZONES: [(&str, &str); 4] = [
    ("w1", "west"),
    ("w2", "west"),
    ("e1", "east"),
    ("e2", "east"),
];

/// Rate of moves within a zone, in tokens per millisecond.
pub const MOVE_RATE: f64 = 1_000.0;

pub fn topology() -> Topology {
    let zones = ZONES.iter();
    let regions = zones.map(|(zone, region)| (ZoneName::from(*zone), RegionName((*region).into())));
    Topology::new(regions.collect())
}

/// Engine `n` is in zone `n` modulo four.
pub fn catalogue(engines: usize) -> EngineCatalogue {
    let mut catalogue = EngineCatalogue::default();
    for index in 0..engines {
        catalogue.upsert(EngineRecord {
            zone: ZoneName::from(ZONES[index % ZONES.len()].0),
            ..record(index)
        });
    }
    catalogue
}

pub fn parts() -> Vec<PromptPart> {
    vec![PromptPart {
        id: 1,
        tokens: 4_000,
    }]
}

pub fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], index))
}

/// A site as seen by one node.
pub struct SiteView {
    pub topology: Topology,
    pub catalogue: EngineCatalogue,
    pub loads: PeerLoads,
    pub holders: PrefixHolders,
    pub round_trips: RoundTrips,
    pub moves: MovesUnderWay,
    pub stores: Vec<(SocketAddr, ZoneName, CacheContents)>,
    pub key: ChainKey,
    pub shared: Vec<PromptPart>,
}

impl SiteView {
    pub fn new(engines: usize) -> Self {
        Self {
            topology: topology(),
            catalogue: catalogue(engines),
            loads: PeerLoads::default(),
            holders: PrefixHolders::default(),
            round_trips: RoundTrips::default(),
            moves: MovesUnderWay::default(),
            stores: Vec::new(),
            key: ChainKey(7),
            shared: parts(),
        }
    }

    /// Lets an engine cache the default prompt.
    pub fn cache_prompt(&mut self, engine: usize) {
        let keys = part_keys(&cache_salt("m", 1, ""), &parts());
        self.holders.note_own(&keys, tag(engine), NOW);
    }

    /// Lets an engine cache the shared parts of the prompt that is requested.
    pub fn cache_shared(&mut self, engine: usize) {
        let keys = part_keys(&cache_salt("m", 1, ""), &self.shared);
        self.holders.note_own(&keys, tag(engine), NOW);
    }

    /// Adds a store in a zone that contains the default prompt.
    pub fn add_store(&mut self, index: u16, zone: &str) {
        let mut contents = CacheContents::default();
        for part in parts() {
            contents.note_kept(&cache_salt("m", 1, ""), &part);
        }
        let zone = ZoneName::from(zone);
        self.stores.push((address(index), zone, contents));
    }

    /// Reports prompt tokens that wait at engines.
    pub fn add_waiting(&mut self, tokens: &[(usize, u64)]) {
        let loads = tokens.iter().map(|(engine, waiting_tokens)| {
            let load = EngineLoad {
                requests: 1,
                waiting_tokens: *waiting_tokens,
            };
            (tag(*engine), load)
        });
        let report = LoadReport {
            sender: PeerId(9),
            zone: ZoneTag(1),
            life: 1,
            sequence: 1,
            is_full: true,
            loads: loads.collect(),
            loading: Vec::new(),
        };
        self.loads.apply(&report, NOW);
    }

    pub fn choice(&self, zone: &str, request_bytes: u64) -> Choice {
        let stores = self.stores.iter();
        let stores = stores.map(|(address, zone, contents)| StoreView {
            address: *address,
            zone,
            contents,
            tokens_per_ms: MOVE_RATE,
        });
        let view = FleetView {
            topology: &self.topology,
            round_trips: &self.round_trips,
            catalogue: &self.catalogue,
            peer_loads: &self.loads,
            holders: &self.holders,
            caches: &EngineCaches::default(),
            paths: &EnginePaths::default(),
            recent_prefill: &RecentPrefill::default(),
            moves: &self.moves,
            cache_stores: stores.collect(),
        };
        let criteria = Criteria {
            service: &ServiceName::from("llm"),
            zone: &ZoneName::from(zone),
            request_bytes,
            prompt: Some(PromptCriteria {
                model: "m",
                scope: "",
                key: self.key,
                shared: &self.shared,
                move_tokens_per_ms: MOVE_RATE,
                required_weights: 0,
                arrival_fraction: 0.0,
            }),
            software: SoftwareRule::Any,
            sample_seed: 1,
            excluded: &[],
            leaving_grace_ms: 0,
            avoids_limited: false,
        };
        choose(&view, &criteria, &RATES, NOW).expect("an engine")
    }
}
