//! Moves of KV cache to the selected engine: their sources and durations.

use crate::fleet::{instance, tag, NOW};
use crate::site::{address, SiteView, ZONES};
use ploverlift_balancing::transfer_sources::CacheSource;
use ploverlift_policy::ids::ZoneName;
use ploverlift_routing::topology::Distance;

#[test]
fn a_move_takes_twice_as_long_between_zones_and_ten_times_between_regions() {
    for (store_zone, factor) in [("w1", 1.0), ("w2", 2.0)] {
        let mut view = SiteView::new(1);
        view.add_store(1, store_zone);
        let choice = view.choice("w1", 0);
        assert_eq!(choice.source, Some(CacheSource::Store(address(1))));
        assert_eq!(choice.move_ms, 4.0 * factor, "{store_zone}");
    }
    let mut view = SiteView::new(3);
    view.cache_prompt(2);
    view.add_waiting(&[(2, 90_000)]);
    let choice = view.choice("w1", 0);
    assert_eq!(choice.source, Some(CacheSource::Engine(instance(2))));
    assert_eq!(choice.move_ms, 40.0);
}

/// Moves from a store to other regions would saturate its link.
#[test]
fn a_store_is_a_source_for_the_engines_of_its_region() {
    let mut view = SiteView::new(4);
    view.add_store(1, "e1");
    let choice = view.choice("w1", 0);
    assert_eq!(choice.distance, Distance::OtherRegion);
    assert_eq!(choice.source, Some(CacheSource::Store(address(1))));
    // Where the other region is too far, the prompt is prefilled in this one.
    for (zone, _) in ZONES {
        let zone = ZoneName::from(zone);
        view.round_trips.observe(&zone, 400.0, NOW);
    }
    let choice = view.choice("w1", 0);
    assert_ne!(choice.distance, Distance::OtherRegion);
    assert_eq!((choice.source, choice.reusable_tokens), (None, 0));
    assert!(choice.cost.reread_ms > 0.0);
}

#[test]
fn the_source_is_the_one_by_which_the_engine_has_the_prompt_soonest() {
    let mut view = SiteView::new(1);
    view.add_store(1, "e1");
    view.add_store(2, "w2");
    view.add_store(3, "e2");
    let choice = view.choice("w1", 0);
    assert_eq!(choice.source, Some(CacheSource::Store(address(2))));
}

/// The moves to one engine run one after another.
#[test]
fn a_move_waits_for_those_before_it_and_is_not_begun_after_two_seconds() {
    let mut view = SiteView::new(1);
    view.add_store(1, "w1");
    view.moves.begin(tag(0), 300.0, NOW);
    view.moves.begin(tag(0), 500.0, NOW);
    let choice = view.choice("w1", 0);
    assert!((choice.cost.transfer_ms - 804.0).abs() < 1.0);
    view.moves.begin(tag(0), 1_300.0, NOW);
    let choice = view.choice("w1", 0);
    assert_eq!((choice.source, choice.reusable_tokens), (None, 0));
    assert_eq!(view.moves.wait_ms(tag(0), NOW.plus(2_200)), 0.0);
}
