//! Regions in the choice of an engine, in moves of KV cache and in the use of its
//! stores.

use ploverlift_balancing::cache_contents::{CacheContents, CacheEvents};
use ploverlift_balancing::cache_stores::{
    is_kept_elsewhere, saving_store, CacheStoreState, CacheStores,
};
use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord, InstanceId};
use ploverlift_balancing::cost::{CostRates, RegionRates};
use ploverlift_balancing::engine_caches::EngineCaches;
use ploverlift_balancing::fleet::{Criteria, FleetView, PromptCriteria, StoreView};
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::peer_loads::ZoneTag;
use ploverlift_balancing::peer_loads::{EngineLoad, EngineTag, LoadReport, PeerId, PeerLoads};
use ploverlift_balancing::prefix_holders::PrefixHolders;
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::selection::{choose, Choice};
use ploverlift_balancing::supply::CacheSource;
use ploverlift_balancing::unseen_reading::RecentReading;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::{CacheStore, ServiceName};
use ploverlift_routing::prompt::{cache_salt, part_keys, ChainKey, PromptPart};
use ploverlift_routing::software::{SoftwareRule, SoftwareVersion};
use ploverlift_routing::topology::{Distance, RegionName, Topology};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const NOW: Millis = Millis(50_000);
const RATES: CostRates = CostRates {
    prefill_tokens_per_ms: 40.0,
    eviction_share: 0.5,
    reread_share: 2.0,
    stale_version_ms: 80.0,
    zone_ms: 12.0,
    region: RegionRates {
        round_trip_ms: 40.0,
        round_trips: 3.0,
        kilobyte_ms: 8.0,
    },
    slot_ms: 30.0,
    senders: 7.0,
};
/// Two zones in each of two regions.
const ZONES: [(&str, &str); 4] = [
    ("w1", "west"),
    ("w2", "west"),
    ("e1", "east"),
    ("e2", "east"),
];
/// Tokens that move in a millisecond within a zone.
const MOVE_RATE: f64 = 1_000.0;

fn topology() -> Topology {
    let zones = ZONES.iter();
    let regions = zones.map(|(zone, region)| (ZoneName::from(*zone), RegionName((*region).into())));
    Topology::new(regions.collect())
}

fn instance(index: usize) -> InstanceId {
    InstanceId(format!("e{index}"))
}

fn tag(index: usize) -> EngineTag {
    EngineTag::of(&instance(index))
}

/// Engine `n` is in the zone with the number `n` modulo four.
fn catalogue(engines: usize) -> EngineCatalogue {
    let mut catalogue = EngineCatalogue::default();
    for index in 0..engines {
        catalogue.upsert(EngineRecord {
            instance: instance(index),
            revision: 1,
            service: ServiceName::from("llm"),
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
            zone: ZoneName::from(ZONES[index % ZONES.len()].0),
            software: SoftwareVersion::default(),
            cold_ms: 0,
            slots: 8,
            is_leaving: false,
            weights: [("m".to_owned(), 1)].into(),
        });
    }
    catalogue
}

fn parts() -> Vec<PromptPart> {
    vec![PromptPart {
        id: 1,
        tokens: 4_000,
    }]
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], index))
}

/// A site as one node sees it.
struct Known {
    topology: Topology,
    catalogue: EngineCatalogue,
    loads: PeerLoads,
    holders: PrefixHolders,
    round_trips: RoundTrips,
    moves: MovesUnderWay,
    stores: Vec<(SocketAddr, ZoneName, CacheContents)>,
    key: ChainKey,
    shared: Vec<PromptPart>,
}

impl Known {
    fn new(engines: usize) -> Self {
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

    /// An engine keeps the prompt.
    fn keep(&mut self, engine: usize) {
        let keys = part_keys(&cache_salt("m", 1, ""), &parts());
        self.holders.note_own(&keys, tag(engine), NOW);
    }

    /// An engine keeps the prompt that is asked for.
    fn keep_shared(&mut self, engine: usize) {
        let keys = part_keys(&cache_salt("m", 1, ""), &self.shared);
        self.holders.note_own(&keys, tag(engine), NOW);
    }

    /// A store in a zone keeps the prompt.
    fn store(&mut self, index: u16, zone: &str) {
        let mut contents = CacheContents::default();
        for part in parts() {
            contents.note_kept(&cache_salt("m", 1, ""), &part);
        }
        let zone = ZoneName::from(zone);
        self.stores.push((address(index), zone, contents));
    }

    /// Prompt tokens wait at engines.
    fn wait(&mut self, tokens: &[(usize, u64)]) {
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

    fn choice(&self, zone: &str, request_bytes: u64) -> Choice {
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
            recent_reading: &RecentReading::default(),
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
                place: 0.0,
            }),
            software: SoftwareRule::Any,
            excluded: &[],
        };
        choose(&view, &criteria, &RATES, NOW).expect("an engine")
    }
}

/// Reading a long prompt once for all regions saves more than the way there costs.
#[test]
fn a_long_prompt_has_one_home_and_a_short_one_has_a_home_in_each_region() {
    let mut known = Known::new(40);
    let home = |known: &Known, zone| known.choice(zone, 0).instance;
    for zone in ["w2", "e1", "e2"] {
        assert_eq!(home(&known, "w1"), home(&known, zone));
    }
    known.shared = vec![PromptPart {
        id: 1,
        tokens: 1_000,
    }];
    assert_eq!(home(&known, "w1"), home(&known, "w2"));
    assert_eq!(home(&known, "e1"), home(&known, "e2"));
    assert_ne!(home(&known, "w1"), home(&known, "e1"));
}

/// A store that is lost, or known to some nodes alone, moves no home.
#[test]
fn homes_of_long_prompts_are_spread_over_the_regions_whatever_stores_there_are() {
    let mut known = Known::new(40);
    known.store(1, "w1");
    let mut in_the_west = 0;
    for id in 100..160 {
        known.key = ChainKey(id);
        known.shared = vec![PromptPart { id, tokens: 4_000 }];
        let choice = known.choice("w1", 0);
        in_the_west += usize::from(choice.distance != Distance::OtherRegion);
    }
    assert!((15..=45).contains(&in_the_west), "{in_the_west} of 60");
}

/// A prompt leaves an engine that is lost, however long it is.
#[test]
fn a_lost_engine_is_not_chosen_to_save_reading_a_very_long_prompt() {
    let mut known = Known::new(2);
    known.shared = vec![PromptPart {
        id: 1,
        tokens: 240_000,
    }];
    known.keep_shared(0);
    for _ in 0..4 {
        let lost = Outcome::Unreachable;
        known.catalogue.note_outcome(&instance(0), lost, NOW);
    }
    let choice = known.choice("w1", 0);
    assert_eq!(choice.instance, instance(1));
    assert_eq!(choice.cost.reread_ms, 1_000.0);
}

/// A long way makes it cheaper to read the prompt in each region.
#[test]
fn a_long_prompt_has_a_home_in_each_region_when_these_are_far_apart() {
    let mut known = Known::new(40);
    for (zone, _) in ZONES {
        let zone = ZoneName::from(zone);
        known.round_trips.observe(&zone, 200.0, NOW);
    }
    let home = |zone| known.choice(zone, 0);
    assert_ne!(home("w1").instance, home("e1").instance);
    assert_eq!(home("w1").instance, home("w2").instance);
    assert_eq!(home("w1").cost.region_ms, 0.0);
}

#[test]
fn what_is_kept_elsewhere_costs_more_to_read_than_its_time() {
    let mut known = Known::new(3);
    known.keep(2);
    // The engine that keeps it has 60 ms of waiting and the way to it.
    known.wait(&[(2, 2_400)]);
    let choice = known.choice("w1", 0);
    // It is moved from there.
    assert_eq!(choice.cost.reread_ms, 0.0);
    known.moves.begin(tag(0), 2_500.0, NOW);
    known.moves.begin(tag(1), 2_500.0, NOW);
    // No move can be begun here: reading it again costs 100 ms and 200 ms more.
    assert_eq!(known.choice("w1", 0).instance, instance(2));
}

#[test]
fn a_site_without_regions_has_one_home_and_no_cost_of_regions() {
    let mut known = Known::new(40);
    known.topology = Topology::default();
    let home = |zone| known.choice(zone, 9_000);
    assert_eq!(home("w1").instance, home("e1").instance);
    assert_eq!(home("w1").cost.region_ms, 0.0);
}

/// Another region is worth it only when the wait here is longer than the way there.
#[test]
fn a_measured_round_trip_and_the_request_s_length_decide_how_far_another_region_is() {
    let mut known = Known::new(4);
    for engine in 0..4 {
        known.keep(engine);
    }
    known.wait(&[(0, 6_000), (1, 6_000)]);
    // 150 ms of waiting against three round trips of 40 ms and nothing to send.
    assert_eq!(known.choice("w1", 0).distance, Distance::OtherRegion);
    // A long request makes it further.
    assert_ne!(known.choice("w1", 9_000).distance, Distance::OtherRegion);
    // So do measured round trips; the shortest of each zone counts.
    for (zone, round_trip_ms) in [("e1", 90.0), ("e1", 70.0), ("e2", 80.0)] {
        let zone = ZoneName::from(zone);
        known.round_trips.observe(&zone, round_trip_ms, NOW);
    }
    assert_ne!(known.choice("w1", 0).distance, Distance::OtherRegion);
    for zone in ["e1", "e2"] {
        known.round_trips.observe(&ZoneName::from(zone), 10.0, NOW);
    }
    let choice = known.choice("w1", 9_000);
    assert_eq!(choice.distance, Distance::OtherRegion);
    assert!((choice.cost.region_ms - 102.0).abs() < 0.1);
}

#[test]
fn a_longer_way_is_noticed_after_two_windows() {
    let zone = ZoneName::from("e1");
    let mut round_trips = RoundTrips::default();
    assert_eq!(round_trips.to_ms(&zone, NOW), None);
    round_trips.observe(&zone, 40.0, NOW);
    for step in 1..=5 {
        round_trips.observe(&zone, 90.0, NOW.plus(step * 5_000));
    }
    assert_eq!(round_trips.to_ms(&zone, NOW.plus(25_000)), Some(90.0));
    for index in 0..200 {
        round_trips.observe(&ZoneName(format!("z{index}")), 1.0, NOW);
    }
    assert!(round_trips.len() <= 64);
}

/// A zone that looked far once gets no requests that could show otherwise.
#[test]
fn a_slow_connection_does_not_keep_a_zone_far_for_good() {
    let zone = ZoneName::from("e1");
    let mut round_trips = RoundTrips::default();
    round_trips.observe(&zone, 240.0, NOW);
    assert_eq!(round_trips.to_ms(&zone, NOW.plus(5_000)), Some(240.0));
    let later = NOW.plus(25_000);
    assert_eq!(round_trips.to_ms(&zone, later), None);
    round_trips.observe(&zone, 41.0, later);
    assert_eq!(round_trips.to_ms(&zone, later), Some(41.0));
}

#[test]
fn a_move_takes_twice_as_long_between_zones_and_ten_times_between_regions() {
    for (store_zone, factor) in [("w1", 1.0), ("w2", 2.0)] {
        let mut known = Known::new(1);
        known.store(1, store_zone);
        let choice = known.choice("w1", 0);
        assert_eq!(choice.source, Some(CacheSource::Store(address(1))));
        assert_eq!(choice.move_ms, 4.0 * factor, "{store_zone}");
    }
    let mut known = Known::new(3);
    known.keep(2);
    known.wait(&[(2, 90_000)]);
    let choice = known.choice("w1", 0);
    assert_eq!(choice.source, Some(CacheSource::Engine(instance(2))));
    assert_eq!(choice.move_ms, 40.0);
}

/// Moves from a store to other regions would keep its link busy.
#[test]
fn a_store_is_a_source_for_the_engines_of_its_region() {
    let mut known = Known::new(4);
    known.store(1, "e1");
    let choice = known.choice("w1", 0);
    assert_eq!(choice.distance, Distance::OtherRegion);
    assert_eq!(choice.source, Some(CacheSource::Store(address(1))));
    // Where the way is too long the prompt is read.
    for (zone, _) in ZONES {
        let zone = ZoneName::from(zone);
        known.round_trips.observe(&zone, 400.0, NOW);
    }
    let choice = known.choice("w1", 0);
    assert_ne!(choice.distance, Distance::OtherRegion);
    assert_eq!((choice.source, choice.kept_tokens), (None, 0));
    assert!(choice.cost.reread_ms > 0.0);
}

#[test]
fn the_source_is_the_one_by_which_the_engine_has_the_prompt_soonest() {
    let mut known = Known::new(1);
    known.store(1, "e1");
    known.store(2, "w2");
    known.store(3, "e2");
    let choice = known.choice("w1", 0);
    assert_eq!(choice.source, Some(CacheSource::Store(address(2))));
}

/// The moves to one engine go one after another.
#[test]
fn a_move_waits_for_those_before_it_and_is_not_begun_after_two_seconds() {
    let mut known = Known::new(1);
    known.store(1, "w1");
    known.moves.begin(tag(0), 300.0, NOW);
    known.moves.begin(tag(0), 500.0, NOW);
    let choice = known.choice("w1", 0);
    assert!((choice.cost.transfer_ms - 804.0).abs() < 1.0);
    known.moves.begin(tag(0), 1_300.0, NOW);
    let choice = known.choice("w1", 0);
    assert_eq!((choice.source, choice.kept_tokens), (None, 0));
    assert_eq!(known.moves.wait_ms(tag(0), NOW.plus(2_200)), 0.0);
}

fn store(index: u16, zone: &str) -> CacheStore {
    CacheStore {
        address: address(index),
        zone: ZoneName::from(zone),
        capacity_tokens: 10_000,
        link_mbps: None,
        max_event_calls: None,
    }
}

#[test]
fn the_stores_of_a_region_share_its_prompts_and_those_of_others_take_none() {
    let configured = [store(1, "w1"), store(2, "w2"), store(3, "e1")];
    let mut stores = CacheStores::default();
    for store in &configured {
        let belief = stores.of_mut(store.address);
        belief.note_state(CacheStoreState::Followed);
    }
    let saving = |stores: &CacheStores, zone: &str| {
        let in_use = stores.in_use(configured.iter());
        let zone = ZoneName::from(zone);
        let chosen = |key| saving_store(&in_use, &topology(), &zone, ChainKey(key));
        let chosen = (0..64).filter_map(chosen);
        chosen
            .map(|(store, _)| store.address)
            .collect::<BTreeSet<_>>()
    };
    assert_eq!(saving(&stores, "w1"), [address(1), address(2)].into());
    assert_eq!(saving(&stores, "w1"), saving(&stores, "w2"));
    assert_eq!(saving(&stores, "e2"), [address(3)].into());
    let lost = CacheStoreState::Lost;
    stores.of_mut(address(3)).note_state(lost);
    assert_eq!(saving(&stores, "e2"), BTreeSet::new());
    stores.of_mut(address(2)).note_state(lost);
    assert_eq!(saving(&stores, "w2"), [address(1)].into());
}

#[test]
fn what_a_lost_or_emptied_store_held_is_not_believed() {
    let part = parts().remove(0);
    let configured = [store(1, "w1")];
    let mut stores = CacheStores::default();
    let believed = |stores: &CacheStores| {
        let in_use = stores.in_use(configured.iter());
        let mut in_use = in_use.iter();
        in_use.any(|(_, belief)| belief.contents().has("s", &part))
    };
    let hear = |stores: &mut CacheStores, epoch| {
        let belief = stores.of_mut(address(1));
        belief.note_state(CacheStoreState::Followed);
        belief.contents_mut().apply(&CacheEvents {
            epoch,
            ..CacheEvents::default()
        });
    };
    hear(&mut stores, 1);
    let keep = |stores: &mut CacheStores| {
        let contents = stores.of_mut(address(1)).contents_mut();
        contents.note_kept("s", &part);
    };
    keep(&mut stores);
    assert!(believed(&stores));
    // A call failed: nothing is believed until the store answers in the same life.
    stores.of_mut(address(1)).note_state(CacheStoreState::Lost);
    assert!(!believed(&stores));
    hear(&mut stores, 1);
    assert!(believed(&stores));
    // Another life of it began empty.
    stores.of_mut(address(1)).note_state(CacheStoreState::Lost);
    hear(&mut stores, 2);
    assert!(!believed(&stores));
    // Where it answers and tells nothing, its life is not known.
    keep(&mut stores);
    stores.of_mut(address(1)).note_state(CacheStoreState::Lost);
    let belief = stores.of_mut(address(1));
    belief.note_state(CacheStoreState::Unobserved);
    assert!(!believed(&stores));
}

#[test]
fn a_prompt_that_another_store_keeps_is_known_to_be_there() {
    let configured = [store(1, "w1"), store(2, "e1")];
    let mut stores = CacheStores::default();
    for store in &configured {
        stores
            .of_mut(store.address)
            .note_state(CacheStoreState::Followed);
    }
    stores
        .of_mut(address(2))
        .contents_mut()
        .note_kept("s", &parts()[0]);
    let in_use = stores.in_use(configured.iter());
    assert!(is_kept_elsewhere(&in_use, address(1), "s", &parts()));
    assert!(!is_kept_elsewhere(&in_use, address(2), "s", &parts()));
    assert!(!is_kept_elsewhere(&in_use, address(1), "t", &parts()));
}
