//! Choices that follow from what nodes report about loads and cached prompts.

use crate::fleet::{instance, tag, NOW};
use crate::reports::{
    catalogue, chosen, chosen_at, chosen_for, criteria_of, kept_by, load, parts, report,
};
use ploverlift_balancing::cache_contents::CacheContents;
use ploverlift_balancing::engine_caches::{followers_before, EngineCaches};
use ploverlift_balancing::engine_paths::EnginePaths;
use ploverlift_balancing::fleet::{FleetView, PromptCriteria, StoreView};
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::peer_loads::{EngineTag, PeerId, PeerLoads};
use ploverlift_balancing::prefix_holders::PrefixHolders;
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::transfer_sources::CacheSource;
use ploverlift_balancing::unreported_load::RecentPrefill;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::prompt::{cache_salt, part_keys};
use ploverlift_routing::topology::Topology;
use std::net::SocketAddr;

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
fn a_queued_prompt_counts_whichever_node_sent_it() {
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
    assert_eq!((choice.source, choice.reusable_tokens), (None, 6_000));
}

#[test]
fn what_an_engine_lacks_comes_from_the_one_that_keeps_most() {
    let mut catalogue = catalogue(&[1; 3]);
    let mut holders = kept_by(&[0], 1, 2);
    let first_part = part_keys(&cache_salt("m", 1, ""), &parts()[..1]);
    holders.note_own(&first_part, tag(1), NOW);
    // The engine that caches all parts is too busy to be chosen.
    catalogue.begin(&instance(0), 90_000, NOW);
    catalogue.begin(&instance(2), 90_000, NOW);
    let choice = chosen(&catalogue, &PeerLoads::default(), &holders);
    assert_eq!(choice.instance, instance(1));
    assert_eq!(choice.source, Some(CacheSource::Engine(instance(0))));
    assert_eq!(
        (choice.local_tokens, choice.reusable_tokens),
        (2_000, 6_000)
    );
    assert!(choice.cost.eviction_ms > 0.0 && choice.cost.prefill_ms == 0.0);
}

#[test]
fn cache_events_take_precedence_over_old_placements() {
    let catalogue = catalogue(&[1, 1, 1]);
    // The prompt was sent to the first engine long ago. The events of all engines are
    // followed, and only those of the last one report its parts.
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
    assert_eq!(
        (choice.instance, choice.reusable_tokens),
        (instance(2), 6_000)
    );
    // Without events only the placement is known.
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
fn each_engine_is_followed_by_as_many_nodes_as_its_limit_allows() {
    let nodes: Vec<PeerId> = (1..=69).map(PeerId).collect();
    for engine in 0..90 {
        let followers = nodes.iter().filter(|own| {
            let others = nodes.iter().copied().filter(|other| other != *own);
            followers_before(**own, others, EngineTag(engine)).count() < 12
        });
        assert_eq!(followers.count(), 12);
    }
}

#[test]
fn parts_kept_by_a_store_are_not_read_again_and_their_move_takes_time() {
    let catalogue = catalogue(&[1, 1]);
    let salt = cache_salt("m", 1, "");
    let mut contents = CacheContents::default();
    for part in parts() {
        contents.note_kept(&salt, &part);
    }
    let shared = parts();
    let far = ZoneName::from("far");
    let choice_with = |from_store: f64, holders: &PrefixHolders| {
        let prompt = PromptCriteria {
            move_tokens_per_ms: 600.0,
            ..criteria_of(&shared)
        };
        let view = FleetView {
            topology: &Topology::default(),
            round_trips: &RoundTrips::default(),
            moves: &MovesUnderWay::default(),
            catalogue: &catalogue,
            peer_loads: &PeerLoads::default(),
            holders,
            caches: &EngineCaches::default(),
            paths: &EnginePaths::default(),
            recent_prefill: &RecentPrefill::default(),
            cache_stores: vec![StoreView {
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                contents: &contents,
                zone: &far,
                tokens_per_ms: from_store,
            }],
        };
        chosen_for(&view, prompt, NOW)
    };
    // Between zones a move takes twice as long.
    let choice = choice_with(300.0, &PrefixHolders::default());
    let store = SocketAddr::from(([127, 0, 0, 1], 1));
    assert_eq!(choice.source, Some(CacheSource::Store(store)));
    assert_eq!((choice.local_tokens, choice.reusable_tokens), (0, 6_000));
    assert_eq!(choice.cost.prefill_ms, 0.0);
    assert!((choice.cost.transfer_ms - 40.0).abs() < 1.5);
    // An engine that caches the prompt itself needs no move.
    let holders = kept_by(&[0], 1, 2);
    let choice = choice_with(300.0, &holders);
    assert_eq!((choice.instance, choice.local_tokens), (instance(0), 6_000));
}

#[test]
fn cache_of_other_weights_is_no_source() {
    let catalogue = catalogue(&[2, 1]);
    let holders = kept_by(&[1], 1, 2);
    let mut loads = PeerLoads::default();
    loads.apply(&report(1, 1, &[(tag(1), load(1, 90_000))]), NOW);
    let choice = chosen(&catalogue, &loads, &holders);
    assert_eq!(choice.instance, instance(0));
    assert_eq!((choice.source, choice.reusable_tokens), (None, 0));
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
