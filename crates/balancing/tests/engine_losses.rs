//! When an engine counts as lost, and how nodes use each other's reports.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::engine_losses::{EngineLosses, LostEngine, ReportSource, MAX_REPORTED};
use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_policy::ids::Millis;
use std::net::SocketAddr;

const SENT: Millis = Millis(10_000);
/// Number of engines in the catalogue.
const FLEET: usize = 90;

fn engine() -> InstanceId {
    InstanceId("e-1".to_owned())
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn told(nodes: u32) -> [LostEngine; 1] {
    [LostEngine {
        engine: EngineTag::of(&engine()),
        nodes,
    }]
}

/// Losses after three failed connections, the last one at 12.1 s.
fn lost() -> EngineLosses {
    let mut losses = EngineLosses::default();
    for at in [10_000, 11_000, 12_100] {
        losses.note_unreachable(&engine(), address(), Millis(at), Millis(at));
    }
    losses
}

#[test]
fn an_engine_is_lost_after_three_failures_over_two_seconds() {
    let mut losses = EngineLosses::default();
    // A silence of 1.5 s, and the time-out of a connection that was begun at its end.
    for at in [10_000, 10_050, 10_100, 10_500, 11_000, 11_750] {
        losses.note_unreachable(&engine(), address(), Millis(at), Millis(at));
        assert!(!losses.is_lost_since(&engine(), SENT, FLEET));
    }
    losses.note_unreachable(&engine(), address(), Millis(12_000), Millis(12_000));
    assert!(losses.is_lost_since(&engine(), SENT, FLEET));
    // A request that was sent later needs failures of its own.
    assert!(!losses.is_lost_since(&engine(), Millis(12_001), FLEET));
}

#[test]
fn an_engine_is_due_to_be_checked_once() {
    let mut losses = lost();
    assert_eq!(losses.take_due().len(), 1);
    losses.note_unreachable(&engine(), address(), Millis(12_200), Millis(12_200));
    losses.note_record_gone(&engine(), address());
    assert!(losses.take_due().is_empty());
    assert!(losses.note_reached(&engine(), Millis(12_500)));
    assert!(!losses.is_lost_since(&engine(), SENT, FLEET));
    losses.note_unreachable(&engine(), address(), Millis(13_000), Millis(13_000));
    assert_eq!(losses.take_due().len(), 1);
}

#[test]
fn an_engine_is_dead_when_it_is_lost_and_its_record_is_gone() {
    let now = Millis(12_200);
    let mut losses = lost();
    assert!(!losses.is_dead_since(&engine(), SENT, FLEET, now));
    losses.note_record_gone(&engine(), address());
    assert!(losses.is_dead_since(&engine(), SENT, FLEET, now));
}

#[test]
fn a_record_that_is_gone_does_not_alone_make_an_engine_dead() {
    let mut losses = EngineLosses::default();
    losses.note_record_gone(&engine(), address());
    assert!(!losses.is_dead_since(&engine(), SENT, FLEET, Millis(12_200)));
}

#[test]
fn another_nodes_report_counts_for_two_seconds_and_an_echo_of_the_own_one_never() {
    let heard = Millis(12_200);
    let relay = PeerId(5);
    let mut losses = lost();
    losses.apply_reported(ReportSource::Relay, relay, &told(1), 3, heard);
    assert!(!losses.is_dead_since(&engine(), SENT, FLEET, heard));
    losses.apply_reported(ReportSource::Relay, relay, &told(2), 3, heard);
    assert!(losses.is_dead_since(&engine(), SENT, FLEET, heard));
    assert!(!losses.is_dead_since(&engine(), SENT, FLEET, heard.plus(2_000)));
    losses.apply_reported(
        ReportSource::Node,
        PeerId(6),
        &told(1),
        3,
        heard.plus(2_000),
    );
    assert!(losses.is_dead_since(&engine(), SENT, FLEET, heard.plus(2_100)));
}

#[test]
fn reports_alone_make_no_engine_lost() {
    let mut losses = EngineLosses::default();
    let to_check = losses.apply_reported(ReportSource::Node, PeerId(6), &told(80), 3, SENT);
    assert_eq!(to_check, [EngineTag::of(&engine())]);
    assert!(!losses.is_dead_since(&engine(), Millis(0), FLEET, SENT));
    assert!(!losses.is_lost_since(&engine(), Millis(0), FLEET));
}

#[test]
fn a_report_on_a_recently_reached_engine_starts_no_check() {
    let mut losses = lost();
    losses.note_reached(&engine(), Millis(12_500));
    let report = |losses: &mut EngineLosses, at: u64| {
        losses.apply_reported(ReportSource::Relay, PeerId(6), &told(2), 3, Millis(at))
    };
    assert!(report(&mut losses, 17_499).is_empty());
    assert_eq!(report(&mut losses, 17_500).len(), 1);
}

#[test]
fn a_relay_sums_its_zone_and_does_not_forward_other_zones_to_zones() {
    let now = Millis(12_200);
    let mut losses = lost();
    losses.apply_reported(ReportSource::Node, PeerId(6), &told(1), 3, now);
    losses.apply_reported(ReportSource::Node, PeerId(7), &told(1), 3, now);
    losses.apply_reported(ReportSource::OtherZone, PeerId(8), &told(4), 3, now);
    assert_eq!(losses.own(90), told(1));
    assert_eq!(losses.of_zone(90, now), told(3));
    assert_eq!(losses.of_all(90, now), told(7));
    losses.expire(now.plus(2_000));
    assert_eq!(losses.of_all(90, now.plus(2_000)), told(1));
}

#[test]
fn a_report_contains_a_bounded_number_of_engines_the_latest_first() {
    let mut losses = EngineLosses::default();
    for number in 0..40_u64 {
        let instance = InstanceId(format!("e-{number}"));
        for at in [0, 1_000, 2_000] {
            losses.note_unreachable(
                &instance,
                address(),
                Millis(10_000 + at + number),
                Millis(10_000 + at + number),
            );
        }
    }
    let told = losses.own(200);
    assert_eq!(told.len(), MAX_REPORTED);
    let latest = InstanceId("e-39".to_owned());
    assert_eq!(told[0].engine, EngineTag::of(&latest));
}

#[test]
fn a_node_that_reaches_few_engines_reports_none_as_lost() {
    let mut losses = EngineLosses::default();
    for number in 0..30_u64 {
        let instance = InstanceId(format!("e-{number}"));
        for at in [0, 1_000, 2_000] {
            losses.note_unreachable(
                &instance,
                address(),
                Millis(10_000 + at),
                Millis(10_000 + at),
            );
        }
    }
    assert!(losses.own(60).is_empty());
    assert!(!losses.own(94).is_empty());
}

#[test]
fn one_nodes_report_alone_starts_no_check() {
    let mut losses = EngineLosses::default();
    let report = |losses: &mut EngineLosses, sender| {
        losses.apply_reported(ReportSource::Node, PeerId(sender), &told(1), 3, SENT)
    };
    assert!(report(&mut losses, 6).is_empty());
    assert!(report(&mut losses, 6).is_empty());
    assert_eq!(report(&mut losses, 7).len(), 1);
    // In a large fleet more reports are needed, since some links are always disturbed.
    let relay = PeerId(9);
    let by_seven = losses.apply_reported(ReportSource::Relay, relay, &told(7), 80, SENT);
    assert!(by_seven.is_empty());
    let by_eight = losses.apply_reported(ReportSource::Relay, relay, &told(8), 80, SENT);
    assert_eq!(by_eight.len(), 1);
}

#[test]
fn refused_connections_and_unanswered_calls_make_no_engine_lost() {
    let mut losses = EngineLosses::default();
    for _ in 0..10 {
        losses.note_suspected(&engine(), address());
    }
    losses.note_record_gone(&engine(), address());
    assert_eq!(losses.take_due().len(), 1);
    assert!(!losses.is_lost_since(&engine(), Millis(0), FLEET));
    assert!(losses.own(FLEET).is_empty());
}

#[test]
fn only_connections_begun_after_the_last_sign_of_life_count_as_failures() {
    let mut losses = EngineLosses::default();
    for began in [10_000, 10_300, 11_200, 12_100] {
        let (began, ended) = (Millis(began), Millis(began + 250));
        losses.note_unreachable(&engine(), address(), began, ended);
    }
    // Three began at 10.3 s or later and span over two seconds; only two began later.
    assert!(losses.is_lost_since(&engine(), Millis(10_300), FLEET));
    assert!(!losses.is_lost_since(&engine(), Millis(10_301), FLEET));
    losses.note_unreachable(&engine(), address(), Millis(13_000), Millis(13_250));
    assert!(losses.is_lost_since(&engine(), Millis(10_301), FLEET));
}

#[test]
fn a_node_that_lost_more_than_half_of_all_engines_aborts_no_request() {
    let instances: Vec<InstanceId> = (0..4).map(|n| InstanceId(format!("e-{n}"))).collect();
    let mut losses = EngineLosses::default();
    for instance in &instances[..3] {
        for at in [10_000, 11_000, 12_100] {
            losses.note_unreachable(instance, address(), Millis(at), Millis(at));
        }
    }
    let trusts =
        |losses: &EngineLosses, engines| losses.is_lost_since(&instances[0], SENT, engines);
    assert!(!trusts(&losses, 4));
    assert!(trusts(&losses, 6));
    // Engines that were removed from the catalogue still count.
    losses.note_record_gone(&instances[0], address());
    losses.note_record_gone(&instances[1], address());
    assert!(trusts(&losses, 4));
    assert!(!trusts(&losses, 3));
    // A single engine may be lost.
    assert!(lost().is_lost_since(&engine(), SENT, 1));
}

#[test]
fn a_record_that_reappears_confirms_no_loss() {
    let now = Millis(12_200);
    let mut losses = lost();
    losses.note_record_gone(&engine(), address());
    losses.note_record_back(&engine());
    assert!(!losses.is_dead_since(&engine(), SENT, FLEET, now));
}

#[test]
fn a_check_ends_when_its_suspicion_is_cleared() {
    let mut losses = lost();
    let old = losses.take_due().remove(0);
    assert!(losses.is_current(&old));
    losses.note_reached(&engine(), Millis(12_500));
    assert!(!losses.is_current(&old));
    losses.note_suspected(&engine(), address());
    assert!(!losses.is_current(&old));
    let new = losses.take_due().remove(0);
    assert!(losses.is_current(&new));
}
