//! What nodes tell each other: loads and holders of prompts, merged from reports
//! that are lost, late and repeated, and the choices that follow from them.

use ploverlift_balancing::cache_contents::CacheContents;
use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord, InstanceId};
use ploverlift_balancing::cost::{CostRates, RegionRates};
use ploverlift_balancing::engine_caches::{follower_rank, EngineCaches};
use ploverlift_balancing::fleet::{Criteria, FleetView, PromptCriteria, StoreView};
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::peer_loads::{
    EngineLoad, EngineTag, LoadReport, PeerId, PeerLoads, ReportBuilder, ZoneTag,
    FULL_REPORT_PERIOD_MS,
};
use ploverlift_balancing::prefix_holders::{Placement, PrefixHolders};
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::selection::{choose, Choice};
use ploverlift_balancing::supply::CacheSource;
use ploverlift_balancing::unseen_reading::{filled_level, RecentReading};
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::{cache_salt, part_keys, ChainKey, PartKey, PromptPart};
use ploverlift_routing::software::{SoftwareRule, SoftwareVersion};
use ploverlift_routing::topology::Topology;
use proptest::prelude::*;
use std::net::SocketAddr;

const NOW: Millis = Millis(50_000);
const RATES: CostRates = CostRates {
    prefill_tokens_per_ms: 40.0,
    eviction_share: 0.2,
    reread_share: 2.0,
    stale_version_ms: 20.0,
    zone_ms: 2.0,
    region: RegionRates {
        round_trip_ms: 40.0,
        round_trips: 3.0,
        kilobyte_ms: 8.0,
    },
    slot_ms: 30.0,
    senders: 7.0,
};

fn instance(index: usize) -> InstanceId {
    InstanceId(format!("e{index}"))
}

fn tag(index: usize) -> EngineTag {
    EngineTag::of(&instance(index))
}

fn catalogue(weights: &[u64]) -> EngineCatalogue {
    let mut catalogue = EngineCatalogue::default();
    for (index, weights) in weights.iter().enumerate() {
        catalogue.upsert(EngineRecord {
            instance: instance(index),
            revision: 1,
            service: ServiceName::from("llm"),
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
            zone: ZoneName::from("z"),
            software: SoftwareVersion::default(),
            slots: 8,
            cold_ms: 0,
            is_leaving: false,
            weights: [("m".to_owned(), *weights)].into(),
        });
    }
    catalogue
}

fn load(requests: u32, waiting_tokens: u64) -> EngineLoad {
    EngineLoad {
        requests,
        waiting_tokens,
    }
}

fn report(sender: u64, sequence: u64, loads: &[(EngineTag, EngineLoad)]) -> LoadReport {
    LoadReport {
        sender: PeerId(sender),
        zone: ZoneTag(sender as u32 % 2),
        life: 1,
        sequence,
        is_full: false,
        loads: loads.to_vec(),
        loading: Vec::new(),
    }
}

/// Two shared parts of 2,000 and 4,000 tokens.
fn parts() -> Vec<PromptPart> {
    vec![
        PromptPart {
            id: 1,
            tokens: 2_000,
        },
        PromptPart {
            id: 2,
            tokens: 4_000,
        },
    ]
}

fn chosen(catalogue: &EngineCatalogue, loads: &PeerLoads, holders: &PrefixHolders) -> Choice {
    chosen_at(catalogue, loads, holders, &EngineCaches::default(), NOW)
}

fn chosen_at(
    catalogue: &EngineCatalogue,
    loads: &PeerLoads,
    holders: &PrefixHolders,
    caches: &EngineCaches,
    now: Millis,
) -> Choice {
    let view = FleetView {
        topology: &Topology::default(),
        round_trips: &RoundTrips::default(),
        moves: &MovesUnderWay::default(),
        catalogue,
        peer_loads: loads,
        holders,
        caches,
        recent_reading: &RecentReading::default(),
        cache_stores: Vec::new(),
    };
    chosen_in(&view, &parts(), 0.0, now)
}

/// The choice for a prompt with these shared parts and this place among those that are
/// sent unseen.
fn chosen_in(view: &FleetView<'_>, shared: &[PromptPart], place: f64, now: Millis) -> Choice {
    let criteria = Criteria {
        service: &ServiceName::from("llm"),
        zone: &ZoneName::from("z"),
        request_bytes: 0,
        prompt: Some(PromptCriteria {
            model: "m",
            scope: "",
            key: ChainKey(7),
            shared,
            move_tokens_per_ms: f64::INFINITY,
            required_weights: 0,
            place,
        }),
        software: SoftwareRule::Any,
        excluded: &[],
    };
    choose(view, &criteria, &RATES, now).expect("an engine")
}

/// The choice of a node among ten others that heard of their loads 200 ms ago and has
/// itself given engines `tokens` to read just now; the request has this place among
/// those that are sent unseen.
fn chosen_after_sending(catalogue: &EngineCatalogue, tokens: u64, place: f64) -> Choice {
    let mut loads = PeerLoads::default();
    for peer in 1..=10 {
        loads.apply(&report(peer, 1, &[]), Millis(NOW.0 - 200));
    }
    let mut recent_reading = RecentReading::default();
    recent_reading.note(tokens as f64, NOW);
    let shared = [PromptPart { id: 1, tokens: 100 }];
    let view = FleetView {
        topology: &Topology::default(),
        round_trips: &RoundTrips::default(),
        moves: &MovesUnderWay::default(),
        catalogue,
        peer_loads: &loads,
        holders: &kept_by(&(0..20).collect::<Vec<_>>(), 1, 1),
        caches: &EngineCaches::default(),
        recent_reading: &recent_reading,
        cache_stores: Vec::new(),
    };
    chosen_in(&view, &shared, place, NOW)
}

/// An engine that has just loaded a new version looks best to every node at the same
/// moment. Those that come first find it so; the others count what it was sent.
#[test]
fn the_first_engine_with_a_new_version_is_not_sent_everything() {
    let mut weights = [1_u64; 20];
    weights[3] = 2;
    let catalogue = catalogue(&weights);
    let chosen = |tokens, place| chosen_after_sending(&catalogue, tokens, place).instance;
    assert_eq!(chosen(0, 1.0), instance(3));
    assert_eq!(chosen(30_000, 0.0), instance(3));
    let elsewhere = (0..20).filter(|step| chosen(30_000, f64::from(*step) / 20.0) != instance(3));
    assert!(elsewhere.count() > 10);
}

/// Where all engines are alike, what is unseen changes nothing: a prompt keeps its home.
#[test]
fn a_prompt_keeps_its_home_under_load() {
    let catalogue = catalogue(&[1; 20]);
    let home = chosen_after_sending(&catalogue, 0, 0.0).instance;
    for place in [0.0, 0.3, 1.0] {
        assert_eq!(
            chosen_after_sending(&catalogue, 60_000, place).instance,
            home
        );
    }
}

#[test]
fn a_volume_fills_the_cheapest_engines_to_one_level() {
    assert_eq!(filled_level(&[30.0, 0.0, 100.0], 0.0), 0.0);
    assert_eq!(filled_level(&[30.0, 0.0, 100.0], 30.0), 30.0);
    assert_eq!(filled_level(&[30.0, 0.0, 100.0], 130.0), 80.0);
    assert_eq!(filled_level(&[30.0, 0.0, 100.0], 470.0), 200.0);
    assert_eq!(filled_level(&[5.0], 10.0), 15.0);
    assert_eq!(filled_level(&[], 10.0), 10.0);
}

#[test]
fn reading_that_this_node_gave_engines_is_forgotten_within_seconds() {
    let mut reading = RecentReading::default();
    reading.note(30_000.0, NOW);
    assert!((reading.per_ms(NOW) - 10.0).abs() < 0.01);
    assert!(reading.per_ms(NOW.plus(9_000)) < 0.6);
}

/// The engines keep the first `count` parts under these weights.
fn kept_by(engines: &[usize], weights: u64, count: usize) -> PrefixHolders {
    let chains = part_keys(&cache_salt("m", weights, ""), &parts()[..count]);
    let mut holders = PrefixHolders::default();
    for engine in engines {
        holders.note_own(&chains, tag(*engine), NOW);
    }
    holders
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// Whatever reports are lost, repeated or overtaken, each node's last full
    /// report that arrives leaves just its loads.
    #[test]
    fn totals_are_the_sum_of_the_last_full_reports(
        steps in prop::collection::vec((0usize..3, 0usize..4, 0u32..5, any::<bool>()), 1..60),
        order in any::<u64>(),
    ) {
        let mut catalogues = vec![catalogue(&[1; 4]); 3];
        let mut builders: Vec<ReportBuilder> =
            (0..3).map(|node| ReportBuilder::new(PeerId(node), ZoneTag(0), 1)).collect();
        let mut merged = PeerLoads::default();
        let mut late = Vec::new();
        let mut now = NOW;
        for (index, (node, engine, tokens, arrives)) in steps.iter().enumerate() {
            now = now.plus(40);
            let catalogue = &mut catalogues[*node];
            if order.rotate_left(index as u32) & 1 == 0 {
                catalogue.begin(&instance(*engine), u64::from(*tokens), now);
            } else {
                catalogue.end(&instance(*engine), u64::from(*tokens));
            }
            if let Some(report) = builders[*node].next(index as u64 + 1, catalogue, &[], false, now) {
                if *arrives {
                    merged.apply(&report, now);
                } else {
                    late.push(report);
                }
            }
        }
        now = now.plus(FULL_REPORT_PERIOD_MS);
        for node in 0..3 {
            let full = builders[node].next(1_000, &catalogues[node], &[], false, now);
            merged.apply(&full.expect("a full report"), now);
        }
        for report in late {
            prop_assert!(!merged.apply(&report, now));
        }
        for engine in 0..4 {
            let expected = catalogues.iter().filter_map(|catalogue| catalogue.get(&instance(engine)));
            let requests: u32 = expected.map(|engine| engine.in_flight).sum();
            prop_assert_eq!(merged.at(tag(engine)).requests, requests);
        }
    }
}

#[test]
fn a_silent_node_no_longer_counts() {
    let mut loads = PeerLoads::default();
    loads.apply(&report(1, 1, &[(tag(0), load(3, 900))]), NOW);
    loads.apply(&report(2, 1, &[(tag(0), load(1, 50))]), NOW.plus(1_500));
    loads.expire(NOW.plus(1_900));
    assert_eq!(loads.at(tag(0)), load(1, 50));
    assert_eq!(loads.peer_count(), 1);
}

#[test]
fn a_restarted_node_begins_without_load() {
    let mut loads = PeerLoads::default();
    loads.apply(&report(1, 900, &[(tag(0), load(3, 900))]), NOW);
    let mut restarted = report(1, 1, &[(tag(1), load(1, 10))]);
    restarted.life = 2;
    assert!(loads.apply(&restarted, NOW));
    assert_eq!(loads.at(tag(0)), EngineLoad::default());
    assert_eq!(loads.at(tag(1)), load(1, 10));
}

#[test]
fn engines_that_another_node_loads_are_known_until_it_says_otherwise() {
    let mut loads = PeerLoads::default();
    let mut loading = report(1, 1, &[]);
    loading.loading = vec![tag(2)];
    loads.apply(&loading, NOW);
    assert!(loads.is_loading(tag(2)));
    loads.apply(&report(1, 2, &[]), NOW);
    assert!(!loads.is_loading(tag(2)));
}

#[test]
fn an_announced_load_is_avoided_until_the_next_announcement() {
    let catalogue = catalogue(&[1; 3]);
    let holders = PrefixHolders::default();
    let mut loads = PeerLoads::default();
    let home = chosen(&catalogue, &loads, &holders).instance;
    let mut loading = report(1, 1, &[]);
    loading.loading = vec![EngineTag::of(&home)];
    loads.apply(&loading, NOW);
    assert_ne!(chosen(&catalogue, &loads, &holders).instance, home);
    loads.apply(&report(1, 2, &[]), NOW);
    assert_eq!(chosen(&catalogue, &loads, &holders).instance, home);
}

#[test]
fn nodes_that_hear_of_each_other_agree_on_their_order() {
    let nodes = [7, 3, 9];
    let ranks = nodes.map(|own| {
        let mut loads = PeerLoads::default();
        for other in nodes.iter().filter(|other| **other != own) {
            loads.apply(&report(*other, 1, &[]), NOW);
        }
        loads.rank(PeerId(own))
    });
    assert_eq!(ranks, [1, 0, 2]);
}

#[test]
fn a_prompt_in_front_counts_whoever_sent_it() {
    let catalogue = catalogue(&[1; 4]);
    let holders = kept_by(&[0, 1], 1, 2);
    let mut loads = PeerLoads::default();
    let first = chosen(&catalogue, &loads, &holders);
    loads.apply(
        &report(1, 1, &[(EngineTag::of(&first.instance), load(1, 12_000))]),
        NOW,
    );
    let second = chosen(&catalogue, &loads, &holders);
    assert_ne!(second.instance, first.instance);
    assert!([instance(0), instance(1)].contains(&second.instance));
}

#[test]
fn an_engine_that_keeps_the_prompt_is_chosen_over_its_home() {
    let catalogue = catalogue(&[1; 6]);
    let home = chosen(&catalogue, &PeerLoads::default(), &PrefixHolders::default());
    let other = (0..6).find(|index| instance(*index) != home.instance);
    let other = other.expect("another engine");
    let holders = kept_by(&[other], 1, 2);
    let choice = chosen(&catalogue, &PeerLoads::default(), &holders);
    assert_eq!(choice.instance, instance(other));
    assert_eq!((choice.source, choice.kept_tokens), (None, 6_000));
}

#[test]
fn what_an_engine_lacks_comes_from_the_one_that_keeps_most() {
    let mut catalogue = catalogue(&[1; 3]);
    let mut holders = kept_by(&[0], 1, 2);
    let first_part = part_keys(&cache_salt("m", 1, ""), &parts()[..1]);
    holders.note_own(&first_part, tag(1), NOW);
    // The holder of all parts is too busy to be chosen.
    catalogue.begin(&instance(0), 90_000, NOW);
    catalogue.begin(&instance(2), 90_000, NOW);
    let choice = chosen(&catalogue, &PeerLoads::default(), &holders);
    assert_eq!(choice.instance, instance(1));
    assert_eq!(choice.source, Some(CacheSource::Engine(instance(0))));
    assert_eq!((choice.held_tokens, choice.kept_tokens), (2_000, 6_000));
    assert!(choice.cost.eviction_ms > 0.0 && choice.cost.prefill_ms == 0.0);
}

#[test]
fn an_engine_whose_events_tell_what_it_keeps_is_believed_over_old_placements() {
    let catalogue = catalogue(&[1, 1, 1]);
    // Long ago the prompt was sent to the first engine; the events of all are
    // followed, and only the last one's tell of its parts.
    let holders = kept_by(&[0], 1, 2);
    let mut caches = EngineCaches::default();
    for index in 0..3 {
        caches.follow(tag(index));
    }
    let salt = cache_salt("m", 1, "");
    for part in parts() {
        caches.follow(tag(2)).note_kept(&salt, &part);
    }
    let later = Millis(NOW.0 + 5_000);
    let loads = PeerLoads::default();
    let choice = chosen_at(&catalogue, &loads, &holders, &caches, later);
    assert_eq!((choice.instance, choice.kept_tokens), (instance(2), 6_000));
    // Without events the placement is all that is known.
    let choice = chosen_at(
        &catalogue,
        &loads,
        &holders,
        &EngineCaches::default(),
        later,
    );
    assert_eq!(choice.instance, instance(0));
}

#[test]
fn each_engine_is_followed_by_as_many_nodes_as_it_has_room_for() {
    let nodes: Vec<PeerId> = (1..=69).map(PeerId).collect();
    for engine in 0..90 {
        let followers = nodes.iter().filter(|own| {
            let others = nodes.iter().copied().filter(|other| other != *own);
            follower_rank(**own, others, EngineTag(engine)) < 12
        });
        assert_eq!(followers.count(), 12);
    }
}

#[test]
fn what_the_store_keeps_need_not_be_read_and_its_move_takes_its_time() {
    let catalogue = catalogue(&[1, 1]);
    let salt = cache_salt("m", 1, "");
    let mut contents = CacheContents::default();
    for part in parts() {
        contents.note_kept(&salt, &part);
    }
    let shared = parts();
    let far = ZoneName::from("far");
    let choice_with = |from_store: f64, holders: &PrefixHolders| {
        let criteria = Criteria {
            service: &ServiceName::from("llm"),
            zone: &ZoneName::from("z"),
            request_bytes: 0,
            prompt: Some(PromptCriteria {
                model: "m",
                scope: "",
                key: ChainKey(7),
                shared: &shared,
                move_tokens_per_ms: 600.0,
                required_weights: 0,
                place: 0.0,
            }),
            software: SoftwareRule::Any,
            excluded: &[],
        };
        let view = FleetView {
            topology: &Topology::default(),
            round_trips: &RoundTrips::default(),
            moves: &MovesUnderWay::default(),
            catalogue: &catalogue,
            peer_loads: &PeerLoads::default(),
            holders,
            caches: &EngineCaches::default(),
            recent_reading: &RecentReading::default(),
            cache_stores: vec![StoreView {
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                contents: &contents,
                zone: &far,
                tokens_per_ms: from_store,
            }],
        };
        choose(&view, &criteria, &RATES, NOW).expect("an engine")
    };
    // Between zones a move takes twice as long.
    let choice = choice_with(300.0, &PrefixHolders::default());
    let store = SocketAddr::from(([127, 0, 0, 1], 1));
    assert_eq!(choice.source, Some(CacheSource::Store(store)));
    assert_eq!((choice.held_tokens, choice.kept_tokens), (0, 6_000));
    assert_eq!(choice.cost.prefill_ms, 0.0);
    assert!((choice.cost.transfer_ms - 40.0).abs() < 1.5);
    // An engine that keeps the prompt itself needs no move.
    let holders = kept_by(&[0], 1, 2);
    let choice = choice_with(300.0, &holders);
    assert_eq!((choice.instance, choice.held_tokens), (instance(0), 6_000));
}

#[test]
fn a_dropped_part_is_told_once_and_no_longer_relied_on() {
    let part = PartKey(9);
    let mut follower = PrefixHolders::default();
    let mut other = PrefixHolders::default();
    for holders in [&mut follower, &mut other] {
        holders.note_own(&[part], tag(0), NOW);
    }
    let (_, next) = follower.news_after(0, 16);
    // A part that no request has used is nobody's news.
    follower.note_dropped(&[part, PartKey(10)], tag(0), true, NOW.plus(500));
    let (news, _) = follower.news_after(next, 16);
    assert_eq!(news.len(), 1);
    assert!(!news[0].is_kept);
    other.note(news[0], NOW.plus(600));
    for holders in [&follower, &other] {
        assert_eq!(holders.age_ms(part, tag(0), NOW.plus(600)), None);
    }
}

#[test]
fn a_part_that_was_read_again_since_is_still_kept() {
    let part = PartKey(9);
    let mut holders = PrefixHolders::default();
    holders.note_own(&[part], tag(0), NOW.plus(500));
    holders.note_dropped(&[part], tag(0), true, NOW.plus(520));
    assert_eq!(holders.age_ms(part, tag(0), NOW.plus(520)), Some(20));
}

#[test]
fn cache_of_other_weights_is_no_source() {
    let catalogue = catalogue(&[2, 1]);
    let holders = kept_by(&[1], 1, 2);
    let mut loads = PeerLoads::default();
    loads.apply(&report(1, 1, &[(tag(1), load(1, 90_000))]), NOW);
    let choice = chosen(&catalogue, &loads, &holders);
    assert_eq!(choice.instance, instance(0));
    assert_eq!((choice.source, choice.kept_tokens), (None, 0));
}

#[test]
fn holders_are_forgotten_and_their_number_is_bounded() {
    let mut holders = PrefixHolders::default();
    for part in 0..50_000 {
        let placement = Placement {
            part: PartKey(part),
            engine: tag(0),
            is_kept: true,
        };
        holders.note(placement, NOW);
    }
    assert!(holders.len() <= 20_000);
    let engines: Vec<usize> = (0..130).collect();
    let holders = kept_by(&engines, 1, 1);
    let part = part_keys(&cache_salt("m", 1, ""), &parts()[..1])[0];
    let known = |index: &usize| holders.age_ms(part, tag(*index), NOW);
    let forgotten = engines.iter().filter(|index| known(index).is_none());
    assert_eq!(forgotten.collect::<Vec<_>>(), [&0, &1]);
    let later = NOW.plus(20_000);
    let mut all = engines.iter();
    assert!(all.all(|index| holders.age_ms(part, tag(*index), later).is_none()));
}

#[test]
fn a_placement_is_reported_once_and_again_when_it_is_old() {
    let chains = [PartKey(9)];
    let mut holders = PrefixHolders::default();
    holders.note_own(&chains, tag(0), NOW);
    holders.note_own(&chains, tag(0), NOW.plus(100));
    let (news, next) = holders.news_after(0, 16);
    assert_eq!((news.len(), next), (1, 1));
    holders.note_own(&chains, tag(0), NOW.plus(200));
    assert_eq!(holders.news_after(next, 16).0.len(), 0);
    holders.note_own(&chains, tag(0), NOW.plus(9_000));
    assert_eq!(holders.news_after(next, 16).0.len(), 1);
    // Another reader of the news has its own position.
    assert_eq!(holders.news_after(0, 16).0.len(), 2);
}

#[test]
fn a_reader_of_placements_that_fell_behind_goes_on_with_the_latest() {
    let mut holders = PrefixHolders::default();
    for chain in 0..1_000 {
        holders.note_own(&[PartKey(chain)], tag(0), NOW);
    }
    let (news, next) = holders.news_after(5, 16);
    assert_eq!(news[0].part, PartKey(1_000 - 256));
    assert_eq!(next, 1_000 - 256 + 16);
}

#[test]
fn a_prompt_that_must_be_read_is_read_on_the_newest_weights() {
    let old = [1, 1, 1, 2, 1, 1];
    let choice = chosen(
        &catalogue(&old),
        &PeerLoads::default(),
        &PrefixHolders::default(),
    );
    assert_eq!(choice.instance, instance(3));
}

#[test]
fn a_prompt_that_is_kept_under_older_weights_still_goes_there() {
    let old = [1, 1, 1, 2, 1, 1];
    let holders = kept_by(&[4], 1, 2);
    let choice = chosen(&catalogue(&old), &PeerLoads::default(), &holders);
    assert_eq!(choice.instance, instance(4));
    assert!(choice.cost.stale_version_ms > 0.0);
}
