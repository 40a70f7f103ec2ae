//! Engines that are cut off from one node, and the peers that are asked for tunnels.

use ploverlift_balancing::engine_paths::{ConnectPlan, DirectFailure, EnginePaths};
use ploverlift_balancing::names::{EngineTag, PeerId, ZoneTag};
use ploverlift_balancing::tunnel_peers::{PeerFailure, TunnelPeer, TunnelPeers};
use ploverlift_policy::ids::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const ENGINE: EngineTag = EngineTag(1);
/// Longest time until a direct path that works again is used, in milliseconds, after a cut that
/// follows no other.
const RESTORED_WITHIN_MS: u64 = 2_000;

fn cut(paths: &mut EnginePaths, engine: EngineTag, now: Millis) {
    paths.note_cut(engine, DirectFailure::NoAnswer, now);
}

/// Probes until the path is restored, with a direct path that works; returns when it is.
fn probe_until_restored(paths: &mut EnginePaths, mut now: Millis) -> Millis {
    loop {
        for engine in paths.take_due_probes(now) {
            if paths.note_probe(engine, true, now).is_some() {
                return now;
            }
        }
        now = now.plus(50);
    }
}

#[test]
fn an_engine_is_cut_off_only_when_a_peer_reached_it() {
    let mut paths = EnginePaths::default();
    paths.note_direct_failed(ENGINE, DirectFailure::Refused, Millis(0));
    assert!(!paths.is_cut(ENGINE));
    paths.note_unreached_by_peers(ENGINE, Millis(0));
    assert!(!paths.is_cut(ENGINE));
    assert_eq!(
        paths.connect_plan(ENGINE, Millis(1)),
        ConnectPlan::DirectOnly
    );
    cut(&mut paths, ENGINE, Millis(2));
    assert_eq!(paths.connect_plan(ENGINE, Millis(3)), ConnectPlan::Tunnel);
}

// Guards against a tour through the peers for each request to an engine that is down.
#[test]
fn peers_are_asked_once_in_a_while_for_an_engine_that_none_reaches() {
    let mut paths = EnginePaths::default();
    let mut tours = 0;
    for ms in 0..10_000 {
        let now = Millis(ms);
        if paths.connect_plan(ENGINE, now) != ConnectPlan::DirectOnly {
            tours += 1;
            paths.note_unreached_by_peers(ENGINE, now);
        }
    }
    assert!(tours <= 20, "{tours} tours in 10 s");
}

#[test]
fn the_direct_path_is_used_again_after_successive_probes() {
    let mut paths = EnginePaths::default();
    cut(&mut paths, ENGINE, Millis(0));
    // One success between failures proves nothing.
    assert_eq!(paths.note_probe(ENGINE, true, Millis(250)), None);
    assert_eq!(paths.note_probe(ENGINE, false, Millis(500)), None);
    let healed_at = Millis(20_000);
    let restored_at = probe_until_restored(&mut paths, healed_at);
    assert!(restored_at.since(healed_at) <= RESTORED_WITHIN_MS);
    assert!(!paths.is_cut(ENGINE));
}

// Guards against requests that follow a link that comes and goes.
#[test]
fn a_path_that_fails_again_has_to_work_for_longer() {
    let mut paths = EnginePaths::default();
    cut(&mut paths, ENGINE, Millis(0));
    let first = probe_until_restored(&mut paths, Millis(0));
    cut(&mut paths, ENGINE, first.plus(100));
    let second = probe_until_restored(&mut paths, first.plus(100));
    assert!(second.since(first.plus(100)) >= 2 * first.since(Millis(0)));
    // Half a minute later it counts as new.
    let later = second.plus(30_000);
    cut(&mut paths, ENGINE, later);
    let third = probe_until_restored(&mut paths, later);
    assert_eq!(third.since(later), first.since(Millis(0)));
}

#[test]
fn the_own_link_is_suspected_when_most_contacted_engines_are_cut_off() {
    let now = Millis(1_000);
    let mut paths = EnginePaths::default();
    for engine in 0..12 {
        paths.note_direct(EngineTag(engine), now);
    }
    cut(&mut paths, EngineTag(0), now);
    cut(&mut paths, EngineTag(1), now);
    assert!(!paths.is_link_suspected(now), "two of twelve");
    for engine in 2..6 {
        cut(&mut paths, EngineTag(engine), now);
    }
    assert!(paths.is_link_suspected(now), "six of twelve");
}

#[test]
fn one_cut_engine_says_nothing_about_the_link() {
    let mut paths = EnginePaths::default();
    cut(&mut paths, ENGINE, Millis(0));
    assert!(!paths.is_link_suspected(Millis(0)));
}

fn peers(count: u64, zones: u32) -> Vec<TunnelPeer> {
    let peers = (0..count).map(|number| TunnelPeer {
        id: PeerId(number),
        address: SocketAddr::from(([10, 0, 0, 1], 9)),
        zone: ZoneTag(number as u32 % zones),
    });
    peers.collect()
}

/// Asks peers as a node of zone 0 does for an engine there, until one helps; returns how many
/// were asked.
fn ask_until_reached(
    memory: &mut TunnelPeers,
    all: &[TunnelPeer],
    reaches: impl Fn(PeerId) -> bool,
    draws: &mut fastrand::Rng,
    now: Millis,
) -> usize {
    let near = [ZoneTag(0), ZoneTag(0)];
    for asked in 1.. {
        let peer = memory.choose(all.iter().copied(), ENGINE, near, draws.f64(), now);
        let peer = peer.expect("a peer");
        if reaches(peer.id) {
            return asked;
        }
        memory.note_failure(peer.id, ENGINE, PeerFailure::LinkSuspected, now);
    }
    0
}

// Guards against the peers that share a partition being asked again and again.
#[test]
fn few_peers_are_asked_at_each_size_when_half_of_a_zone_is_partitioned() {
    for (nodes, zones) in [(7, 3), (69, 3), (985, 13)] {
        let all = peers(nodes, zones);
        let mut memory = TunnelPeers::default();
        let mut draws = fastrand::Rng::with_seed(nodes);
        let is_cut = |peer: PeerId| peer.0 % 2 == 0 && peer.0 as u32 % zones == 0;
        let mut asked = 0;
        let requests = 1_000;
        for request in 0..requests {
            let now = Millis(request);
            asked += ask_until_reached(&mut memory, &all, |peer| !is_cut(peer), &mut draws, now);
        }
        let failed = asked - requests as usize;
        assert!(
            failed <= nodes as usize,
            "{failed} of {asked} at {nodes} nodes"
        );
    }
}

// Guards against one peer carrying the tunnels of all partitioned nodes.
#[test]
fn tunnels_are_spread_over_the_peers_of_the_near_zones() {
    let all = peers(69, 3);
    let memory = TunnelPeers::default();
    let mut draws = fastrand::Rng::with_seed(1);
    let mut chosen: BTreeMap<PeerId, usize> = BTreeMap::new();
    for _ in 0..4_600 {
        let near = [ZoneTag(0), ZoneTag(1)];
        let draw = draws.f64();
        let peer = memory.choose(all.iter().copied(), ENGINE, near, draw, Millis(0));
        *chosen.entry(peer.expect("a peer").id).or_default() += 1;
    }
    let zones: BTreeSet<u64> = chosen.keys().map(|peer| peer.0 % 3).collect();
    assert_eq!(zones, BTreeSet::from([0, 1]));
    assert!(chosen.values().all(|count| *count <= 200), "{chosen:?}");
}

#[test]
fn a_peer_of_another_zone_is_asked_when_no_near_one_may_be() {
    let all = peers(6, 3);
    let mut memory = TunnelPeers::default();
    let near = [ZoneTag(0), ZoneTag(1)];
    for peer in all.iter().filter(|peer| near.contains(&peer.zone)) {
        memory.note_failure(peer.id, ENGINE, PeerFailure::NoAnswer, Millis(0));
    }
    let choose = |now| memory.choose(all.iter().copied(), ENGINE, near, 0.0, now);
    assert_eq!(choose(Millis(1)).expect("a peer").zone, ZoneTag(2));
    // Later the near ones are asked again.
    assert_eq!(choose(Millis(10_000)).expect("a peer").zone, ZoneTag(0));
}
