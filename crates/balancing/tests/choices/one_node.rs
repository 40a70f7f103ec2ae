//! The choice of an engine: affinity, load, health and weights.

use crate::fleet::{self, instance, RATES};
use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord, Heartbeat, InstanceId};
use ploverlift_balancing::engine_caches::EngineCaches;
use ploverlift_balancing::engine_paths::EnginePaths;
use ploverlift_balancing::fleet::{Criteria, FleetView, PromptCriteria};
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::peer_loads::PeerLoads;
use ploverlift_balancing::prefix_holders::PrefixHolders;
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::selection::{choose, NoChoice};
use ploverlift_balancing::unreported_load::RecentPrefill;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::{ChainKey, PromptPart};
use ploverlift_routing::software::SoftwareRule;
use ploverlift_routing::topology::Topology;
use proptest::prelude::*;

const NOW: Millis = Millis(10_000);

fn record(index: usize, weights: u64) -> EngineRecord {
    EngineRecord {
        zone: ZoneName::from(if index % 2 == 0 { "z0" } else { "z1" }),
        weights: [("m".to_owned(), weights)].into(),
        ..fleet::record(index)
    }
}

fn catalogue(engines: usize) -> EngineCatalogue {
    let mut catalogue = EngineCatalogue::default();
    for index in 0..engines {
        catalogue.upsert(record(index, 1));
    }
    catalogue
}

fn chosen(
    catalogue: &EngineCatalogue,
    zone: &str,
    key: u64,
    required_weights: u64,
    excluded: &[InstanceId],
    now: Millis,
) -> Result<InstanceId, NoChoice> {
    let prompt = PromptCriteria {
        model: "m",
        scope: "",
        key: ChainKey(key),
        shared: &[PromptPart {
            id: key,
            tokens: 4_000,
        }],
        move_tokens_per_ms: f64::INFINITY,
        required_weights,
        arrival_fraction: 0.0,
    };
    let view = FleetView {
        topology: &Topology::default(),
        round_trips: &RoundTrips::default(),
        moves: &MovesUnderWay::default(),
        catalogue,
        peer_loads: &PeerLoads::default(),
        holders: &PrefixHolders::default(),
        caches: &EngineCaches::default(),
        paths: &EnginePaths::default(),
        recent_prefill: &RecentPrefill::default(),
        cache_stores: Vec::new(),
    };
    let criteria = Criteria {
        service: &ServiceName::from("llm"),
        zone: &ZoneName::from(zone),
        request_bytes: 0,
        prompt: Some(prompt),
        software: SoftwareRule::Any,
        sample_seed: 1,
        excluded,
        leaving_grace_ms: 0,
        avoids_limited: false,
    };
    choose(&view, &criteria, &RATES, now).map(|choice| choice.instance)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// Idle nodes of every zone place a long prompt on the same engine.
    #[test]
    fn all_nodes_agree_on_a_prompts_home(key: u64, engines in 1usize..20) {
        let catalogue = catalogue(engines);
        let here = chosen(&catalogue, "z0", key, 0, &[], NOW);
        let there = chosen(&catalogue, "z1", key, 0, &[], NOW);
        prop_assert_eq!(here, there);
    }

    /// The loss of an engine moves only its own prompts.
    #[test]
    fn a_lost_engine_moves_only_its_own_prompts(key: u64, lost in 0usize..12) {
        let mut catalogue = catalogue(12);
        let before = chosen(&catalogue, "z0", key, 0, &[], NOW).expect("an engine");
        catalogue.remove(&instance(lost), 1);
        let after = chosen(&catalogue, "z0", key, 0, &[], NOW).expect("an engine");
        prop_assert!(before == after || before == instance(lost));
    }

    /// Engines that have too old weights, are leaving or were tried are never chosen.
    #[test]
    fn ineligible_engines_are_never_chosen(
        key: u64,
        old in prop::collection::vec(any::<bool>(), 6),
        leaving in prop::collection::vec(any::<bool>(), 6),
        tried in prop::collection::vec(any::<bool>(), 6),
    ) {
        let mut catalogue = EngineCatalogue::default();
        for index in 0..6 {
            let mut record = record(index, if old[index] { 1 } else { 2 });
            record.is_leaving = leaving[index];
            catalogue.upsert(record);
        }
        let excluded: Vec<InstanceId> =
            (0..6).filter(|index| tried[*index]).map(instance).collect();
        let allowed = (0..6).any(|index| !old[index] && !leaving[index] && !tried[index]);
        match chosen(&catalogue, "z0", key, 2, &excluded, NOW) {
            Ok(found) => {
                let index = (0..6).find(|index| instance(*index) == found).expect("known");
                prop_assert!(!old[index] && !leaving[index] && !tried[index]);
            }
            Err(_) => prop_assert!(!allowed),
        }
    }
}

#[test]
fn a_busy_home_gives_way_when_waiting_costs_more_than_moving() {
    let mut catalogue = catalogue(6);
    let home = chosen(&catalogue, "z0", 7, 0, &[], NOW).expect("home");
    catalogue.begin(&home, 1_000, NOW);
    assert_eq!(chosen(&catalogue, "z0", 7, 0, &[], NOW), Ok(home.clone()));
    catalogue.begin(&home, 20_000, NOW);
    let next = chosen(&catalogue, "z0", 7, 0, &[], NOW).expect("next");
    assert_ne!(next, home);
    catalogue.end(&home, 20_000);
    catalogue.end(&home, 1_000);
    assert_eq!(chosen(&catalogue, "z0", 7, 0, &[], NOW), Ok(home));
}

#[test]
fn an_unreachable_engine_is_ejected_and_tried_again_by_one_request() {
    let mut catalogue = catalogue(3);
    let home = chosen(&catalogue, "z0", 7, 0, &[], NOW).expect("home");
    catalogue.note_outcome(&home, Outcome::Unreachable, NOW);
    assert_ne!(chosen(&catalogue, "z0", 7, 0, &[], NOW), Ok(home.clone()));
    let later = NOW.plus(500);
    assert_eq!(chosen(&catalogue, "z0", 7, 0, &[], later), Ok(home.clone()));
    catalogue.begin(&home, 10, later);
    assert_ne!(chosen(&catalogue, "z0", 7, 0, &[], later), Ok(home.clone()));
    catalogue.note_outcome(&home, Outcome::Answered, later);
    assert_eq!(chosen(&catalogue, "z0", 7, 0, &[], later), Ok(home));
}

#[test]
fn engines_are_never_ejected_all_at_once() {
    let mut catalogue = catalogue(3);
    for index in 0..3 {
        catalogue.note_outcome(&instance(index), Outcome::Unreachable, NOW);
    }
    assert!(chosen(&catalogue, "z0", 7, 0, &[], NOW).is_ok());
}

#[test]
fn an_engine_that_fails_more_than_its_service_is_avoided_for_a_while() {
    let mut catalogue = catalogue(3);
    let home = chosen(&catalogue, "z0", 7, 0, &[], NOW).expect("home");
    for _ in 0..8 {
        catalogue.note_outcome(&home, Outcome::Failed, NOW);
    }
    assert_ne!(chosen(&catalogue, "z0", 7, 0, &[], NOW), Ok(home.clone()));
    let later = NOW.plus(60_000);
    assert_eq!(chosen(&catalogue, "z0", 7, 0, &[], later), Ok(home));
}

#[test]
fn a_record_that_lags_does_not_take_weights_back() {
    let mut catalogue = catalogue(1);
    catalogue.note_weights(&instance(0), "m", 3);
    let mut lagging = record(0, 2);
    lagging.revision = 2;
    assert!(catalogue.upsert(lagging));
    assert_eq!(catalogue.newest_weights("m"), 3);
}

#[test]
fn older_records_of_an_engine_are_ignored_even_after_its_removal() {
    let mut catalogue = EngineCatalogue::default();
    let at = |revision: u64, is_leaving: bool| EngineRecord {
        revision,
        heartbeat: Heartbeat::default(),
        is_leaving,
        ..record(0, 1)
    };
    assert!(catalogue.upsert(at(5, true)));
    assert!(!catalogue.upsert(at(4, false)));
    assert!(
        catalogue
            .get(&instance(0))
            .expect("known")
            .record
            .is_leaving
    );
    assert!(!catalogue.remove(&instance(0), 4));
    assert!(catalogue.remove(&instance(0), 7));
    assert!(!catalogue.upsert(at(6, false)));
    assert!(catalogue.is_empty());
    assert!(catalogue.upsert(at(8, false)));
}

#[test]
fn a_misdirected_engine_may_be_chosen_again_later() {
    let mut catalogue = catalogue(1);
    catalogue.note_misdirected(&instance(0), NOW);
    let choice = |catalogue: &EngineCatalogue, now| chosen(catalogue, "z0", 1, 0, &[], now);
    let soon = NOW.plus(4_900);
    assert_eq!(choice(&catalogue, soon), Err(NoChoice::NoEngine));
    let later = NOW.plus(5_000);
    assert_eq!(choice(&catalogue, later), Ok(instance(0)));
    // A newer record gives the engine's address, which clears the mark.
    let mut newer = record(0, 1);
    newer.revision = 2;
    catalogue.upsert(newer);
    assert_eq!(choice(&catalogue, soon), Ok(instance(0)));
}
