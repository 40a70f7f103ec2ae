//! Estimates of load that other nodes have sent and not reported yet.

use crate::fleet::{instance, NOW};
use crate::reports::{catalogue, chosen_in, kept_by, report};
use ploverlift_balancing::catalogue::EngineCatalogue;
use ploverlift_balancing::engine_caches::EngineCaches;
use ploverlift_balancing::engine_paths::EnginePaths;
use ploverlift_balancing::fleet::FleetView;
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::peer_loads::PeerLoads;
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::selection::Choice;
use ploverlift_balancing::unreported_load::{filled_level, RecentPrefill};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::PromptPart;
use ploverlift_routing::topology::Topology;

/// The choice of a node whose ten peers reported their loads 200 ms ago and which itself
/// has just sent engines `tokens` to prefill. The request has this position among the
/// unreported requests of other nodes.
fn chosen_after_sending(catalogue: &EngineCatalogue, tokens: u64, arrival_fraction: f64) -> Choice {
    let mut loads = PeerLoads::default();
    for peer in 1..=10 {
        loads.apply(&report(peer, 1, &[]), Millis(NOW.0 - 200));
    }
    let mut recent_prefill = RecentPrefill::default();
    recent_prefill.add(tokens as f64, NOW);
    let shared = [PromptPart { id: 1, tokens: 100 }];
    let view = FleetView {
        topology: &Topology::default(),
        round_trips: &RoundTrips::default(),
        moves: &MovesUnderWay::default(),
        catalogue,
        peer_loads: &loads,
        holders: &kept_by(&(0..20).collect::<Vec<_>>(), 1, 1),
        caches: &EngineCaches::default(),
        paths: &EnginePaths::default(),
        recent_prefill: &recent_prefill,
        cache_stores: Vec::new(),
    };
    chosen_in(&view, &shared, arrival_fraction, NOW)
}

/// An engine that has just loaded a new version looks best to every node at the same
/// moment. The first requests choose it; later ones take into account what the others
/// have sent to it.
#[test]
fn the_first_engine_with_a_new_version_is_not_sent_everything() {
    let mut weights = [1_u64; 20];
    weights[3] = 2;
    let catalogue = catalogue(&weights);
    let chosen = |tokens, fraction| chosen_after_sending(&catalogue, tokens, fraction).instance;
    assert_eq!(chosen(0, 1.0), instance(3));
    assert_eq!(chosen(30_000, 0.0), instance(3));
    let elsewhere = (0..20).filter(|step| chosen(30_000, f64::from(*step) / 20.0) != instance(3));
    assert!(elsewhere.count() > 10);
}

/// Where all engines cost the same, unreported load changes nothing: a prompt keeps its
/// home.
#[test]
fn a_prompt_keeps_its_home_under_load() {
    let catalogue = catalogue(&[1; 20]);
    let home = chosen_after_sending(&catalogue, 0, 0.0).instance;
    for arrival_fraction in [0.0, 0.3, 1.0] {
        assert_eq!(
            chosen_after_sending(&catalogue, 60_000, arrival_fraction).instance,
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
fn recent_prefill_decays_within_seconds() {
    let mut prefill = RecentPrefill::default();
    prefill.add(30_000.0, NOW);
    assert!((prefill.per_ms(NOW) - 10.0).abs() < 0.01);
    assert!(prefill.per_ms(NOW.plus(9_000)) < 0.6);
}
