//! What engines read for others and no report tells yet.

use crate::fleet::{instance, NOW};
use crate::reports::{catalogue, chosen_in, kept_by, report};
use ploverlift_balancing::catalogue::EngineCatalogue;
use ploverlift_balancing::engine_caches::EngineCaches;
use ploverlift_balancing::fleet::FleetView;
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::peer_loads::PeerLoads;
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::selection::Choice;
use ploverlift_balancing::unseen_reading::{filled_level, RecentReading};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::PromptPart;
use ploverlift_routing::topology::Topology;

/// The choice of a node among ten others that heard of their loads 200 ms ago and has
/// itself given engines `tokens` to read just now; the request has this place among
/// those that are sent unseen.
fn chosen_after_sending(catalogue: &EngineCatalogue, tokens: u64, place: f64) -> Choice {
    let mut loads = PeerLoads::default();
    for peer in 1..=10 {
        loads.apply(&report(peer, 1, &[]), Millis(NOW.0 - 200));
    }
    let mut recent_reading = RecentReading::default();
    recent_reading.add(tokens as f64, NOW);
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
    reading.add(30_000.0, NOW);
    assert!((reading.per_ms(NOW) - 10.0).abs() < 0.01);
    assert!(reading.per_ms(NOW.plus(9_000)) < 0.6);
}
