//! A choice among thousands of engines examines a bounded set of them.
//!
//! The load consists of few requests in fleets of up to 10,000 engines in five zones
//! (3,000 in most tests), so that the cost measured is that of the fleet's size. Bounds:
//! a choice may cost a request 20 ms more than an idle engine would, including the
//! distance to another zone and the ranks in the prompt's order (an eighth of the
//! shortest objective is 40 ms), and all nodes send the requests for one prompt to the
//! same engine.

#[path = "choices/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use fleet::{record, tag, NOW, RATES};
use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord, InstanceId};
use ploverlift_balancing::engine_caches::EngineCaches;
use ploverlift_balancing::engine_paths::EnginePaths;
use ploverlift_balancing::fleet::{Criteria, FleetView, PromptCriteria};
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::peer_loads::PeerLoads;
use ploverlift_balancing::prefix_holders::PrefixHolders;
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::selection::{choose, Choice, NoChoice};
use ploverlift_balancing::unreported_load::RecentPrefill;
use ploverlift_policy::ids::ZoneName;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::{cache_salt, part_keys, ChainKey, PromptPart};
use ploverlift_routing::software::SoftwareRule;
use ploverlift_routing::topology::Topology;
use std::collections::BTreeSet;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Maximum number of engines that one choice examines, for any fleet size.
const MAX_CANDIDATES: usize = 72;
/// Maximum excess of a choice's cost over that of an idle engine, in milliseconds.
const BOUND_MS: f64 = 20.0;

struct Fleet {
    catalogue: EngineCatalogue,
    loads: PeerLoads,
    holders: PrefixHolders,
    topology: Topology,
    round_trips: RoundTrips,
    caches: EngineCaches,
    prefill: RecentPrefill,
    moves: MovesUnderWay,
}

#[derive(Clone, Copy)]
struct Request<'a> {
    zone: &'a str,
    key: u64,
    sample_seed: u64,
    excluded: &'a [InstanceId],
}

impl Fleet {
    fn new(engines: usize) -> Self {
        let mut catalogue = EngineCatalogue::default();
        for index in 0..engines {
            catalogue.upsert(EngineRecord {
                zone: ZoneName::from(ZONES[index % ZONES.len()]),
                ..record(index)
            });
        }
        Self {
            catalogue,
            loads: PeerLoads::default(),
            holders: PrefixHolders::default(),
            topology: Topology::default(),
            round_trips: RoundTrips::default(),
            caches: EngineCaches::default(),
            prefill: RecentPrefill::default(),
            moves: MovesUnderWay::default(),
        }
    }

    fn choose(&self, request: Request<'_>) -> Result<Choice, NoChoice> {
        let view = FleetView {
            topology: &self.topology,
            round_trips: &self.round_trips,
            catalogue: &self.catalogue,
            peer_loads: &self.loads,
            holders: &self.holders,
            caches: &self.caches,
            paths: &EnginePaths::default(),
            recent_prefill: &self.prefill,
            moves: &self.moves,
            cache_stores: Vec::new(),
        };
        let criteria = Criteria {
            service: &ServiceName::from("llm"),
            zone: &ZoneName::from(request.zone),
            request_bytes: 1_000,
            prompt: Some(PromptCriteria {
                model: "m",
                scope: "",
                key: ChainKey(request.key),
                shared: &parts(request.key),
                move_tokens_per_ms: 1_000.0,
                required_weights: 0,
                arrival_fraction: 0.5,
            }),
            software: SoftwareRule::default(),
            sample_seed: request.sample_seed,
            excluded: request.excluded,
            leaving_grace_ms: 0,
            avoids_limited: false,
        };
        choose(&view, &criteria, &RATES, NOW)
    }
}

fn parts(key: u64) -> Vec<PromptPart> {
    vec![PromptPart {
        id: key,
        tokens: 6_300,
    }]
}

fn request(key: u64) -> Request<'static> {
    Request {
        zone: "a",
        key,
        sample_seed: key.wrapping_mul(77),
        excluded: &[],
    }
}

#[test]
fn the_number_of_candidates_is_bounded_for_any_fleet_size() {
    for engines in [3_000, 10_000] {
        let fleet = Fleet::new(engines);
        let choice = fleet.choose(request(5)).expect("a choice");
        assert!(choice.candidates <= MAX_CANDIDATES, "{choice:?}");
    }
}

#[test]
fn all_nodes_find_the_same_home_for_a_prompt() {
    let fleet = Fleet::new(3_000);
    for key in 0..50 {
        let chosen = ZONES.map(|zone| {
            let here = Request {
                zone,
                sample_seed: key + zone.len() as u64,
                ..request(key)
            };
            let choice = fleet.choose(here).expect("a choice");
            choice.instance
        });
        let engines: BTreeSet<_> = chosen.iter().collect();
        assert!(engines.len() <= ZONES.len(), "{engines:?}");
        let again = Request {
            sample_seed: 99_999 + key,
            ..request(key)
        };
        assert_eq!(fleet.choose(again).expect("a choice").instance, chosen[0]);
    }
}

#[test]
fn prompts_spread_over_the_engines() {
    let fleet = Fleet::new(3_000);
    let mut chosen = BTreeSet::new();
    for key in 0..600 {
        chosen.insert(fleet.choose(request(key)).expect("a choice").instance);
    }
    // 600 prompts placed at random on a zone of 600 engines use 379 of them on average.
    assert!(chosen.len() > 300, "{} engines", chosen.len());
}

#[test]
fn an_engine_that_keeps_the_prompt_is_a_candidate_in_any_zone() {
    let mut fleet = Fleet::new(3_000);
    for key in 0..20 {
        let holder = tag(1_234 + key as usize * 5);
        let keys = part_keys(&cache_salt("m", 1, ""), &parts(key));
        fleet.holders.note_own(&keys, holder, NOW);
        let choice = fleet.choose(request(key)).expect("a choice");
        assert!(choice.reusable_tokens == 6_300, "{choice:?}");
    }
}

#[test]
fn a_lost_engine_moves_its_own_prompts_alone() {
    let mut fleet = Fleet::new(3_000);
    let before: Vec<InstanceId> = (0..200)
        .map(|key| fleet.choose(request(key)).expect("a choice").instance)
        .collect();
    let lost = before[0].clone();
    fleet.catalogue.remove(&lost, 99_999);
    for (key, before) in (0..).zip(&before) {
        let after = fleet.choose(request(key)).expect("a choice").instance;
        assert!(
            after == *before || *before == lost,
            "{key}: {before} {after}"
        );
    }
}

#[test]
fn a_choice_costs_little_more_than_the_best_engine() {
    let mut fleet = Fleet::new(2_000);
    let mut random = fastrand::Rng::with_seed(7);
    // Half of the engines are busy.
    for index in 0..1_000 {
        let instance = record(index * 2).instance;
        for _ in 0..random.u32(1..12) {
            fleet
                .catalogue
                .begin(&instance, random.u64(100..9_000), NOW);
        }
    }
    for key in 0..100 {
        let choice = fleet.choose(request(key)).expect("a choice");
        // An idle engine prefills the prompt and may evict other entries for it.
        let idle_ms = 6_300.0 / RATES.prefill_tokens_per_ms * RATES.eviction_share;
        let most_ms = idle_ms + BOUND_MS;
        assert!(
            choice.cost.total_ms() <= most_ms,
            "{key}: {:?}",
            choice.cost
        );
    }
}

#[test]
fn all_engines_are_examined_where_no_candidate_may_serve() {
    let fleet = Fleet::new(600);
    let all = (0..600).map(|index| record(index).instance);
    let all_but_one: Vec<InstanceId> = all
        .filter(|instance| *instance != record(77).instance)
        .collect();
    let last = Request {
        excluded: &all_but_one,
        ..request(3)
    };
    assert_eq!(
        fleet.choose(last).expect("a choice").instance,
        record(77).instance
    );
    let all: Vec<InstanceId> = (0..600).map(|index| record(index).instance).collect();
    let none = Request {
        excluded: &all,
        ..request(3)
    };
    assert_eq!(fleet.choose(none), Err(NoChoice::AllTried));
}

/// Taking in a list of the whole fleet must not compare each engine with every other one.
/// Eight times as many engines may take at most 32 times as long.
#[test]
fn a_list_takes_time_in_proportion_to_its_engines() {
    let taken = |engines: usize| {
        let records: Vec<EngineRecord> = (0..engines).map(record).collect();
        let began = std::time::Instant::now();
        let fleet = Fleet::new(engines);
        assert_eq!(fleet.catalogue.missing_in(&records).len(), 0);
        began.elapsed()
    };
    let small = taken(2_500);
    let large = taken(20_000);
    assert!(
        large < small * 8 * 4,
        "{small:?} for 2,500, {large:?} for 20,000"
    );
}
