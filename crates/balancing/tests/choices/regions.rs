//! Regions in the choice of an engine.

use crate::fleet::{instance, tag, NOW};
use crate::site::{SiteView, ZONES};
use ploverlift_balancing::health::Outcome;
use ploverlift_policy::ids::ZoneName;
use ploverlift_routing::prompt::{ChainKey, PromptPart};
use ploverlift_routing::topology::{Distance, Topology};

/// Prefilling a long prompt once for all regions saves more than the distance costs.
#[test]
fn a_long_prompt_has_one_home_and_a_short_one_has_a_home_in_each_region() {
    let mut view = SiteView::new(40);
    let home = |view: &SiteView, zone| view.choice(zone, 0).instance;
    for zone in ["w2", "e1", "e2"] {
        assert_eq!(home(&view, "w1"), home(&view, zone));
    }
    view.shared = vec![PromptPart {
        id: 1,
        tokens: 1_000,
    }];
    assert_eq!(home(&view, "w1"), home(&view, "w2"));
    assert_eq!(home(&view, "e1"), home(&view, "e2"));
    assert_ne!(home(&view, "w1"), home(&view, "e1"));
}

/// A store that is lost, or known to some nodes only, moves no home.
#[test]
fn homes_of_long_prompts_are_spread_over_the_regions_whatever_stores_there_are() {
    let mut view = SiteView::new(40);
    view.add_store(1, "w1");
    let mut in_the_west = 0;
    for id in 100..160 {
        view.key = ChainKey(id);
        view.shared = vec![PromptPart { id, tokens: 4_000 }];
        let choice = view.choice("w1", 0);
        in_the_west += usize::from(choice.distance != Distance::OtherRegion);
    }
    assert!((15..=45).contains(&in_the_west), "{in_the_west} of 60");
}

/// A prompt of any length leaves a lost engine.
#[test]
fn a_lost_engine_is_not_chosen_to_save_reading_a_very_long_prompt() {
    let mut view = SiteView::new(2);
    view.shared = vec![PromptPart {
        id: 1,
        tokens: 240_000,
    }];
    view.cache_shared(0);
    for _ in 0..4 {
        let lost = Outcome::Unreachable;
        view.catalogue.note_outcome(&instance(0), lost, NOW);
    }
    let choice = view.choice("w1", 0);
    assert_eq!(choice.instance, instance(1));
    assert_eq!(choice.cost.reread_ms, 1_000.0);
}

/// A long distance makes it cheaper to prefill the prompt in each region.
#[test]
fn a_long_prompt_has_a_home_in_each_region_when_these_are_far_apart() {
    let mut view = SiteView::new(40);
    for (zone, _) in ZONES {
        let zone = ZoneName::from(zone);
        view.round_trips.observe(&zone, 200.0, NOW);
    }
    let home = |zone| view.choice(zone, 0);
    assert_ne!(home("w1").instance, home("e1").instance);
    assert_eq!(home("w1").instance, home("w2").instance);
    assert_eq!(home("w1").cost.region_ms, 0.0);
}

#[test]
fn reading_a_prompt_that_is_kept_elsewhere_costs_more_than_its_time() {
    let mut view = SiteView::new(3);
    view.cache_prompt(2);
    // The engine that caches the prompt has 60 ms of waiting and is in another region.
    view.add_waiting(&[(2, 2_400)]);
    let choice = view.choice("w1", 0);
    // The prompt is moved from there.
    assert_eq!(choice.cost.reread_ms, 0.0);
    view.moves.begin(tag(0), 2_500.0, NOW);
    view.moves.begin(tag(1), 2_500.0, NOW);
    // No move can begin here: prefilling again costs 100 ms plus 200 ms for the reread.
    assert_eq!(view.choice("w1", 0).instance, instance(2));
}

#[test]
fn a_site_without_regions_has_one_home_and_no_cost_of_regions() {
    let mut view = SiteView::new(40);
    view.topology = Topology::default();
    let home = |zone| view.choice(zone, 9_000);
    assert_eq!(home("w1").instance, home("e1").instance);
    assert_eq!(home("w1").cost.region_ms, 0.0);
}

/// Another region is chosen only when the wait in this one exceeds the cost of the
/// distance.
#[test]
fn the_measured_round_trip_and_the_request_length_set_the_cost_of_another_region() {
    let mut view = SiteView::new(4);
    for engine in 0..4 {
        view.cache_prompt(engine);
    }
    view.add_waiting(&[(0, 6_000), (1, 6_000)]);
    // 150 ms of waiting against three round trips of 40 ms and nothing to send.
    assert_eq!(view.choice("w1", 0).distance, Distance::OtherRegion);
    // A long request raises the cost of the distance.
    assert_ne!(view.choice("w1", 9_000).distance, Distance::OtherRegion);
    // So do measured round trips; the shortest of each zone counts.
    for (zone, round_trip_ms) in [("e1", 90.0), ("e1", 70.0), ("e2", 80.0)] {
        let zone = ZoneName::from(zone);
        view.round_trips.observe(&zone, round_trip_ms, NOW);
    }
    assert_ne!(view.choice("w1", 0).distance, Distance::OtherRegion);
    for zone in ["e1", "e2"] {
        view.round_trips.observe(&ZoneName::from(zone), 10.0, NOW);
    }
    let choice = view.choice("w1", 9_000);
    assert_eq!(choice.distance, Distance::OtherRegion);
    assert!((choice.cost.region_ms - 102.0).abs() < 0.1);
}
